package decision

import "time"

// This file defines the actions that a gateway returns to its owner. Struct tags keep the field names that recorded
// traces use; neither the tags nor the order of the fields may change.

// Action is an instruction that the owner carries out at once, in the order in which the gateway returned it: one of
// the types of this file.
type Action interface{ action() }

// SendAttempt sends the next attempt of a request (numbered from 0) to a backend. An AttemptEnded must follow; if the
// attempt has not ended when Timeout has passed, its outcome is TimedOut.
type SendAttempt struct {
	Request RequestID
	Backend BackendID `json:"Server"`
	Timeout time.Duration
}

// CancelAttempt cancels an attempt. Its AttemptEnded must still follow.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// RejectReason says why a request was rejected.
type RejectReason int

// The reasons for a rejection.
const (
	// NoCapacity covers every reason except the quota: load shedding, no backend that could answer in time, attempts
	// without an answer, or no reply of the shared counter before the deadline.
	NoCapacity RejectReason = iota
	// OverQuota means that the customer's plan allows no more requests now.
	OverQuota
)

// Reject answers a request with a rejection, a final answer which guarantees that a retry by the client is safe.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // time that the client should wait before a retry; 0: no hint
	Reason     RejectReason  `json:"Why"`
}

// Fail answers a request with a failure, a final answer without any guarantee: the request may have run.
type Fail struct{ Request RequestID }

// Probe requests a load report from a backend. A ProbeEnded must follow.
type Probe struct {
	Backend BackendID `json:"Server"`
}

// AddToCounter adds an amount to a total of the shared counter. A CounterReplied must follow.
type AddToCounter struct {
	Name   string
	Amount float64       // negative to refund units that were added before
	TTL    time.Duration // the counter may delete the name after this time
}

// TimerKind is the purpose of a timer.
type TimerKind int

// The timers that a gateway sets.
const (
	TickTimer     TimerKind = iota // periodic work, every housekeepingInterval
	DeadlineTimer                  // the deadline of a request, then every lostAttemptTTL until the request is deleted
)

// Timer identifies a timer. TimerFired returns it unchanged.
type Timer struct {
	Kind    TimerKind
	Request RequestID // for DeadlineTimer
}

// SetTimer requests a TimerFired at or after At. Timers are never cancelled.
type SetTimer struct {
	At    time.Duration
	Timer Timer
}

// WatchEndpoints starts a watch of discovery's endpoints.
type WatchEndpoints struct{}

func (SendAttempt) action()    {}
func (CancelAttempt) action()  {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Probe) action()          {}
func (AddToCounter) action()   {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
