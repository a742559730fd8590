package invariant

import "time"

// Idempotency is what a request's class says about running it more than once.
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

// Request is one request of a client, with an id of its own. A client's retry is another Request with the same Operation.
type Request struct {
	ID               string
	Operation        string // the same for all requests by which a client tries to get one thing done
	Customer         string
	Plan             string
	Idempotency      Idempotency
	Units            float64       // drawn from the customer's quota
	Work             time.Duration // service time on a warm core of a backend
	Instance         int           // proxy instance that it was sent to
	SentAt           time.Duration
	Timeout          time.Duration // after which the client gives up
	Value            float64       // of a response within LatencyObjective
	LateShare        float64       // share of Value that a later response still has
	LatencyObjective time.Duration
}

// Ending says how a request ended for its client.
type Ending uint8

// The endings. Their numbers are part of recorded digests; those up to Failed had a final response.
const (
	// Served is a success.
	Served Ending = iota
	// Rejected is a refusal that promises that a retry is harmless.
	Rejected
	// Failed is an error response without that promise.
	Failed
	// ConnectionBroken is a connection that ended without a complete response.
	ConnectionBroken
	// NotAccepted is a connection that could not be made, so that no instance took the request.
	NotAccepted
	// ClientTimedOut is a request without a response within its timeout.
	ClientTimedOut
	// ClientLeft is a client that went away by itself, before its timeout.
	ClientLeft
)

// answered reports whether the client has had its final response.
func (e Ending) answered() bool { return e <= Failed }

// Outcome is the end of a request.
type Outcome struct {
	ID        string
	Ending    Ending
	At        time.Duration
	Responses int // complete responses that came; more than one is a violation
}

// Receipt is a request that has arrived whole at a backend.
type Receipt struct {
	ID, Backend string
	At          time.Duration
	Instance    int           // that sent it; removals that it was notified of count, and those of AllInstances
	SentAt      time.Duration // 0 if unknown; the network may hold up what was sent in time
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

// Limits are the figures that the rules compare with.
type Limits struct {
	DrainGrace     time.Duration               // in which a removed backend may still be sent requests
	Slack          time.Duration               // allowed between where something happens and where it is noted
	KeyTTL         time.Duration               // for which backends remember an idempotency key
	SlowStartShare float64                     // of its warm capacity that a backend has when it starts
	SlowStartTime  time.Duration               // until a backend is warm
	OverloadFactor float64                     // a warming backend collapses when sent this multiple of its capacity
	OverloadTime   time.Duration               // for this long
	Cores          float64                     // of a backend
	Ceilings       map[string]Ceiling          // by plan
	CellOf         func(backend string) string // the cell within which repeats of a key are discarded; nil: all backends are one cell
}

// Ceiling is a plan's hard limit: units a second, the burst above it, and the slack that a distributed limiter may add.
type Ceiling struct{ Rate, Burst, Slack float64 }
