package decision

import "time"

// This file holds what a gateway asks its owner to do. Struct tags keep the names under which recorded traces hold the
// fields; neither they nor the order of the fields may change.

// Action is something to do now, in the order in which it was returned: one of the types of this file.
type Action interface{ action() }

// SendAttempt starts the next attempt of a request (numbered from 0) at a backend. An AttemptEnded must follow, with
// TimedOut at the latest when Timeout has passed.
type SendAttempt struct {
	Request RequestID
	Backend BackendID `json:"Server"`
	Timeout time.Duration
}

// CancelAttempt withdraws an attempt; its AttemptEnded is still expected.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// RejectReason says why a request was rejected.
type RejectReason int

// The reasons.
const (
	// NoCapacity is any reason but the quota: load, no backend that could answer in time, attempts that brought no
	// answer, or no answer of the shared counter by the deadline.
	NoCapacity RejectReason = iota
	// OverQuota: its customer's plan allows no more now.
	OverQuota
)

// Reject is a final answer that promises that a retry by the client is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // how long the client should stay away; 0: no hint
	Reason     RejectReason  `json:"Why"`
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct{ Request RequestID }

// Probe asks a backend for its load; a ProbeEnded must follow.
type Probe struct {
	Backend BackendID `json:"Server"`
}

// AddToCounter adds to a number that all instances share; a CounterReplied must follow.
type AddToCounter struct {
	Name   string
	Amount float64       // may be negative: what was added is taken back
	TTL    time.Duration // the counter may forget the name after this
}

// TimerKind tells timers apart.
type TimerKind int

// The timers that a gateway sets.
const (
	TickTimer     TimerKind = iota // periodic work, every housekeepingInterval
	DeadlineTimer                  // a request's deadline, and every lostAttemptTTL after it until the request is forgotten
)

// Timer is handed back as it was set.
type Timer struct {
	Kind    TimerKind
	Request RequestID // for DeadlineTimer
}

// SetTimer asks for a TimerFired at or after At. Timers are never withdrawn.
type SetTimer struct {
	At    time.Duration
	Timer Timer
}

// WatchEndpoints asks discovery for watch events from now on.
type WatchEndpoints struct{}

func (SendAttempt) action()    {}
func (CancelAttempt) action()  {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Probe) action()          {}
func (AddToCounter) action()   {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
