package invariant

import "time"

// Idempotency states whether requests of a class may run more than once.
type Idempotency uint8

// The classes of idempotency.
const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key; backends discard repeats of a key for Limits.KeyTTL.
	IdempotentByKey
	// NotIdempotent requests must run at most once.
	NotIdempotent
)

// Request is one request of a client. Its ID is unique; a client's retry is another Request with the same Operation.
type Request struct {
	ID               string
	Operation        string // the same for a request and its client's retries of it
	Customer         string
	Plan             string
	Idempotency      Idempotency
	Units            float64       // taken from the customer's quota
	Work             time.Duration // service time on a warm core of a backend
	Instance         int           // proxy instance that it was sent to
	SentAt           time.Duration
	Timeout          time.Duration // of the client
	Value            float64       // of a response within LatencyObjective
	LateShare        float64       // share of Value that a later response still has
	LatencyObjective time.Duration
}

// Ending is how a request ended for its client.
type Ending uint8

// The endings. Their numbers are part of recorded digests. Those up to Failed include a final response.
const (
	// Served is a successful response.
	Served Ending = iota
	// Rejected is a rejection, which promises that a retry is harmless.
	Rejected
	// Failed is an error response without that promise.
	Failed
	// ConnectionBroken is a connection that ended without a complete response.
	ConnectionBroken
	// NotAccepted is a connection that could not be made, so that no instance took the request.
	NotAccepted
	// ClientTimedOut is a request without a response within its timeout.
	ClientTimedOut
	// ClientLeft is a client that disconnected before its timeout.
	ClientLeft
)

// answered reports whether the client has had its final response.
func (e Ending) answered() bool { return e <= Failed }

// Outcome is the end of a request.
type Outcome struct {
	ID        string
	Ending    Ending
	At        time.Duration
	Responses int // complete responses received; more than one is a violation
}

// Receipt is the arrival of a complete request at a backend.
type Receipt struct {
	ID, Backend string
	At          time.Duration
	Instance    int           // that sent the request; the removal notices to it and to AllInstances apply
	SentAt      time.Duration // 0 if unknown; a request that was sent in time may be delayed by the network
}

// sentAt returns when the request was sent, or when it was received if that is unknown.
func (r Receipt) sentAt() time.Duration {
	if r.SentAt > 0 {
		return r.SentAt
	}
	return r.At
}

// Execution is a request's effect at a backend.
type Execution struct {
	ID, Key, Backend string
	At               time.Duration
}

// AllInstances stands for every proxy instance.
const AllInstances = -1

// Limits are the limits that the rules check.
type Limits struct {
	DrainGrace     time.Duration               // how long a removed backend may still be sent requests
	Slack          time.Duration               // allowed delay between an event and its record in another process
	KeyTTL         time.Duration               // how long backends remember an idempotency key
	SlowStartShare float64                     // share of its warm capacity that a backend has when it starts
	SlowStartTime  time.Duration               // from the start of a backend until it is warm
	OverloadFactor float64                     // multiple of its capacity at which a warming backend collapses
	OverloadTime   time.Duration               // window whose work counts towards a collapse
	Cores          float64                     // of a backend
	Ceilings       map[string]Ceiling          // by plan
	CellOf         func(backend string) string // the cell within which repeats of a key are discarded; nil: all backends are one cell
}

// Ceiling is a plan's hard limit: the rate (units per second), the burst above it (units), and the slack (units) allowed to a
// distributed limiter.
type Ceiling struct{ Rate, Burst, Slack float64 }
