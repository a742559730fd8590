package decision

import "time"

// This file defines the events that a gateway handles. Times are durations since an arbitrary fixed origin. Struct tags
// keep the field names that recorded traces use; neither the tags nor the order of the fields may change.

// Event is an input of a gateway: one of the types of this file.
type Event interface{ event() }

// RequestArrived reports a request of a client. The request gets exactly one final answer: the answer of an attempt, a
// Reject or a Fail.
type RequestArrived struct {
	Request  RequestID
	Class    ClassID
	Plan     PlanID
	Customer string
	TimeLeft time.Duration `json:"Left"` // until the client gives up
	Units    float64       // units that the request uses of the customer's quota; a negative or non-finite value means 1
	Spread   int           // number of instances that receive the customer's requests
	First    int           // number of the first of these instances; no rule reads it
	Retry    bool          // the client marked the request as a retry; it does not count as demand
}

// ClientDisconnected reports that the client of a request is gone. The request needs no answer any more.
type ClientDisconnected struct{ Request RequestID }

// Outcome is the result of an attempt, a probe or a call of the counter.
type Outcome int

// The outcomes. Whether the request may have run decides about retries, see retry.go.
const (
	OK              Outcome = iota
	BackendError            // the backend returned an error; the request may have run
	Rejected                // the backend rejected the request before running it
	TimedOut                // no answer before the timeout; the request may have run
	ConnectFailed           // no connection to the backend was established
	ConnectionReset         // the connection broke; the request may have run
	Cancelled               // cancelled by this gateway; the request may have run
	NotSent                 // dropped before the first byte was written
)

// AttemptEnded reports the end of an attempt. Each SendAttempt is followed by exactly one, even if the request has
// already ended.
type AttemptEnded struct {
	Request   RequestID
	Attempt   int       // number of the attempt, from 0
	Backend   BackendID `json:"Server"`
	Outcome   Outcome
	Latency   time.Duration // no rule reads it: the gateway measures the time since SendAttempt
	RoundTrip time.Duration `json:"Way"`     // network round-trip time, which is part of the latency; 0 if unknown
	Answered  bool          `json:"Settled"` // the client has its final answer
	Units     float64       // actual units if they are known only after the answer; 0 if unknown; no rule reads them
	Load      []float64     // load report, in the order of Settings.LoadFields; nil without a report
}

// StreamStarted reports that the answer of an attempt is being streamed to the client. From then on the request is not
// retried and has no deadline.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Backend BackendID `json:"Server"`
}

// ProbeEnded reports the result of a Probe.
type ProbeEnded struct {
	Backend BackendID `json:"Server"`
	Outcome Outcome
	Load    []float64 // as in AttemptEnded
}

// CounterReplied reports the result of an AddToCounter. The replies for one name arrive in the order of the calls.
type CounterReplied struct {
	Name    string
	Outcome Outcome // OK; Rejected, ConnectFailed: not added; TimedOut: may have been added
	Total   float64 // total under the name, including the added amount
}

// EndpointState is the state of a backend in discovery.
type EndpointState int

// The states of an endpoint. Only backends that are Up get new attempts.
const (
	Up EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of discovery's endpoint list.
type Endpoint struct {
	Backend BackendID `json:"Server"`
	Zone    int
	Cell    int
	State   EndpointState
	Weight  float64       // no rule reads it
	Started time.Duration // when its process last started; 0: long ago
}

// EndpointsChanged is a watch event of discovery. It carries the full endpoint list, or only the changed endpoints.
type EndpointsChanged struct {
	Full      bool       // Endpoints is the complete list: backends that are not in it are removed
	Failed    bool       // the watch failed; the event carries no endpoints
	Cached    bool       // a full list that an earlier process cached, possibly outdated; no rule reads it
	Endpoints []Endpoint `json:"Entries"`
}

// TimerFired reports that a timer has fired.
type TimerFired struct{ Timer Timer }

func (RequestArrived) event()     {}
func (ClientDisconnected) event() {}
func (AttemptEnded) event()       {}
func (StreamStarted) event()      {}
func (ProbeEnded) event()         {}
func (CounterReplied) event()     {}
func (EndpointsChanged) event()   {}
func (TimerFired) event()         {}
