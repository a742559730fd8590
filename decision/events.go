package decision

import "time"

// This file holds the events that a gateway takes in. Times are durations since any fixed origin. Struct tags keep the names under
// which recorded traces hold the fields; neither they nor the order of the fields may change.

// Event is something that happened: one of the types of this file.
type Event interface{ event() }

// RequestArrived is a client's request. The gateway owes it exactly one final answer: the answer of an attempt, a
// Reject or a Fail.
type RequestArrived struct {
	Request  RequestID
	Class    ClassID
	Plan     PlanID
	Customer string
	TimeLeft time.Duration `json:"Left"` // until the client gives up
	Units    float64       // what it counts in the customer's quota; an impossible number is taken as 1
	Spread   int           // number of instances through which the customer comes in
	First    int           // number of the first of these instances; no rule reads it
	Retry    bool          // the client says that it has tried before; it does not count as demand
}

// ClientDisconnected ends a request from the client's side; no answer is owed any more.
type ClientDisconnected struct{ Request RequestID }

// Outcome says how an attempt, a probe or a call of the counter ended.
type Outcome int

// The outcomes. "May have run" is what decides about retries, see retry.go.
const (
	OK              Outcome = iota
	BackendError            // an error of the backend; the request may have run
	Rejected                // rejected by the backend before it ran
	TimedOut                // no answer in time; it may have run
	ConnectFailed           // the backend was never reached
	ConnectionReset         // the connection broke; it may have run
	Cancelled               // cancelled by this gateway; it may have run
	NotSent                 // dropped before the first byte was written
)

// AttemptEnded ends an attempt; each SendAttempt gets exactly one, also when the request is over.
type AttemptEnded struct {
	Request   RequestID
	Attempt   int       // number of the attempt, from 0
	Backend   BackendID `json:"Server"`
	Outcome   Outcome
	Latency   time.Duration // no rule reads it: the gateway takes the time from SendAttempt on
	RoundTrip time.Duration `json:"Way"`     // of that, what the network takes, as far as known; 0 else
	Answered  bool          `json:"Settled"` // the client has its final answer
	Units     float64       // true units, where they settle later; 0 if unknown; no rule reads them
	Load      []float64     // load report, in the order of Settings.LoadFields; nil if none came
}

// StreamStarted says that the client gets the answer of an attempt from now on: the request is not retried any more
// and has no deadline.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Backend BackendID `json:"Server"`
}

// ProbeEnded answers a Probe.
type ProbeEnded struct {
	Backend BackendID `json:"Server"`
	Outcome Outcome
	Load    []float64 // as in AttemptEnded
}

// CounterReplied answers an AddToCounter. The answers for one name come in the order of the calls.
type CounterReplied struct {
	Name    string
	Outcome Outcome // OK; Rejected, ConnectFailed: not added; TimedOut: may have been added
	Total   float64 // of the name, with what was added
}

// EndpointState is what discovery knows of a backend.
type EndpointState int

// The states of an endpoint. Only backends that are Up get new attempts.
const (
	Up EndpointState = iota
	Draining
	Removed
)

// Endpoint is a backend as discovery lists it.
type Endpoint struct {
	Backend BackendID `json:"Server"`
	Zone    int
	Cell    int
	State   EndpointState
	Weight  float64       // no rule reads it
	Started time.Duration // when its process last started; 0: long ago
}

// EndpointsChanged is a watch event of discovery: the full list, or only what changed.
type EndpointsChanged struct {
	Full      bool       // Endpoints is the whole list: what is not on it is removed
	Failed    bool       // the watch failed; no endpoints come with it
	Cached    bool       // a full list from an earlier process, possibly outdated; no rule reads it
	Endpoints []Endpoint `json:"Entries"`
}

// TimerFired returns a Timer that was set.
type TimerFired struct{ Timer Timer }

func (RequestArrived) event()     {}
func (ClientDisconnected) event() {}
func (AttemptEnded) event()       {}
func (StreamStarted) event()      {}
func (ProbeEnded) event()         {}
func (CounterReplied) event()     {}
func (EndpointsChanged) event()   {}
func (TimerFired) event()         {}
