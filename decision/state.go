package decision

import (
	"errors"
	"fmt"
	"time"
)

// This file defines the serializable state of a gateway, for traces, replays and inspection. Struct tags keep the field
// names that recorded traces use; neither the tags nor the order of the fields may change. Pointers are represented as
// indexes into tables. An index that may be absent counts from 1, and 0 means none.

// State is the complete state of a gateway between two events. Snapshot returns it, and Restore of the same build
// accepts it.
type State struct {
	Random                  []byte // state of the random source
	Now                     time.Duration
	LoadSampledAt           time.Duration     `json:"Sampled"`
	Load                    [5]AverageState   `json:"Sensor"` // requests in flight, CPU utilization, latency ratio, queue position, bad share
	Controllers             []ControllerState `json:"Loops"`
	InsideShare             []AverageState    `json:"Lets"`    // by plan
	ClassFailureRate        []AverageState    `json:"Failing"` // by class
	ReportedUseShare        AverageState      `json:"Told"`
	Throughput              AverageState      `json:"Borne"`
	EffectiveCapacity       AverageState      `json:"Able"`
	ServiceRate             float64           `json:"Pace"`
	SuccessesInPeriod       float64           `json:"Good"`
	AttemptsEndedInPeriod   float64           `json:"Ends"`
	SlowStartChecksInPeriod float64           `json:"Picks"`
	ChoicesInPeriod         float64           `json:"Tries"`
	SlowStartCheckRate      AverageState      `json:"Picked"`
	ChoiceRate              AverageState      `json:"Tried"`
	HeldBackUntil           time.Duration     `json:"Short"`
	ClassLatency            [][2]float64      `json:"Latency"` // mean and deviation, seconds, by class
	CounterCallProbability  float64           `json:"Asking"`
	CounterLastBadCallAt    time.Duration     `json:"Crowded"`
	InFlight                int               `json:"Open"`
	StartedAt               time.Duration     `json:"Born,omitempty"` // start of the gateway; 0 if the counter is used
	ProbeTurn               int               `json:"Turn"`
	SweepPosition           int               `json:"Swept"`
	WatchPending            bool              `json:"Subscribe"`
	Customers               []CustomerState   // in sweep order, then those that are only referenced by other records
	ListedCustomers         int               `json:"Roll"`    // number of customers in the customer table
	PendingUseQueue         []int             `json:"Due"`     // indexes into Customers
	Backends                []BackendState    `json:"Servers"` // by ID, then those that are only referenced by other records
	KnownBackends           int               `json:"Known"`   // number of backends in the endpoint table
	UpBackends              []int             `json:"List"`    // indexes into Backends
	Requests                []RequestState    // by ID, then those that are only referenced by other records
	KnownRequests           int               `json:"Held"`  // number of requests in the request table
	CounterCalls            []CallState       `json:"Calls"` // by name, then in the order of the calls
}

// AverageState is the state of a moving average.
type AverageState struct {
	Value  float64
	Weight float64
	Gap    float64       // seconds
	At     time.Duration // time of the last value
}

// ControllerState is the state of the controller of one priority.
type ControllerState struct {
	AdmitRatio   float64 `json:"F"`
	LastError    float64 `json:"Err"`
	AdmittedWork float64 `json:"Work"`  // seconds of service
	OfferedWork  float64 `json:"Asked"` // seconds of service
}

// CustomerState is the state of a customer.
type CustomerState struct {
	ID                     string
	Instances              float64 `json:"Spread"` // instances that receive the customer's requests
	Plan                   int
	UsesCounter            bool          `json:"Asks"`
	PendingUseQueued       bool          `json:"Queued"`
	LastUsedAt             time.Duration `json:"Used"`
	RefilledAt             time.Duration `json:"At"`
	Tokens                 float64       `json:"Level"`            // remaining units of this instance's split of the quota
	SplitThreshold         float64       `json:"Chance,omitempty"` // share of a request's units that Tokens must reach if the full split is smaller than the request
	CeilingTokens          float64       `json:"Ceiling"`          // remaining units of this instance's split of the ceiling
	CounterTotal           float64       `json:"Total"`            // units, decayed use at all instances at CounterTotalAt
	CounterTotalAt         time.Duration `json:"Heard"`            // 0: the counter has given no total yet
	OverQuotaUntil         time.Duration `json:"Next"`
	CounterDistrustedUntil time.Duration `json:"Wary"`
	PendingUse             float64       `json:"Fresh"` // units admitted by this instance that were not added to the counter yet
	RecentDemand           float64       `json:"Seen"`  // units that were requested from this instance recently
	PendingUseDueAt        time.Duration `json:"AddAt"`
	InFlight               int           `json:"Open"` // attempts
}

// BackendState is the state of a backend.
type BackendState struct {
	Endpoint            Endpoint        `json:"Entry"`
	InFlight            int             `json:"Open"` // attempts of this instance
	AnswerDueAt         time.Duration   `json:"Due"`
	Slowness            float64         // latency per queue position, relative to all backends
	Failures            []float64       `json:"Fails"` // by class
	Attempts            []float64       `json:"N"`     // by class
	OutcomesAt          []time.Duration `json:"HealthAt"`
	WarmingUp           bool            `json:"Cold"`
	StartedAt           time.Duration   `json:"ColdAt"`
	SlowStartTokens     float64         `json:"Room"` // attempts
	SlowStartThreshold  float64         `json:"Need"` // attempts
	SlowStartRefilledAt time.Duration   `json:"RoomAt"`
}

// RequestState is the state of a request.
type RequestState struct {
	ID              RequestID
	Class           ClassID
	Customer        int // index into State.Customers
	Units           float64
	ArrivedAt       time.Duration `json:"Arrived"`
	Deadline        time.Duration
	Attempts        []AttemptState
	MayHaveRun      bool `json:"Ran"`
	Ended           bool
	Streaming       bool
	FirstRunBackend int           `json:"RanAt"` // index into State.Backends, from 1
	FirstRunSentAt  time.Duration `json:"RanSent"`
	CounterName     string        `json:"Name"`
	CounterWeight   float64       `json:"Weight"` // weight of one unit
	AddedToCounter  bool          `json:"Told"`
	RejectReason    RejectReason  `json:"Why"`
}

// AttemptState is the state of an attempt.
type AttemptState struct {
	Backend       int           `json:"Server"` // index into State.Backends
	SentAt        time.Duration `json:"Sent"`
	QueuePosition float64       `json:"Place"`
	Open          bool          // in flight
}

// CallState is a call of the counter that has not been answered yet.
type CallState struct {
	Name         string
	Customer     int           // index into State.Customers
	Request      int           // the request that waits for the reply: index into State.Requests, from 1
	UnitWeight   float64       `json:"Weight"`
	PendingUnits float64       `json:"Units"`
	SentAt       time.Duration `json:"At"`
}

// ErrStateMismatch is wrapped by every error about a state that does not match the settings or is corrupt.
var ErrStateMismatch = errors.New("decision: state does not match the settings")

// StateError describes the part of a state that cannot be restored. It wraps ErrStateMismatch and Cause.
type StateError struct {
	Table string // field of State
	Row   int    // index into the table; -1: the whole table
	Cause error  // nil: the row or table does not match the settings or the other tables
}

// Error returns a message with the place and the cause.
func (e *StateError) Error() string {
	text := fmt.Sprintf("%v: %s", ErrStateMismatch, e.Table)
	if e.Row >= 0 {
		text = fmt.Sprintf("%s %d", text, e.Row)
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns ErrStateMismatch and the cause, if there is one.
func (e *StateError) Unwrap() []error {
	if e.Cause == nil {
		return []error{ErrStateMismatch}
	}
	return []error{ErrStateMismatch, e.Cause}
}

// mismatch returns an error about a row that does not match; -1 means the whole table.
func mismatch(table string, row int) error { return &StateError{Table: table, Row: row} }
