package decision

import (
	"errors"
	"fmt"
	"time"
)

// This file holds the form of a gateway's state as data, for traces, replays and inspection. Struct tags keep the names
// under which recorded traces hold the fields; neither they nor the order of the fields may change. Positions in tables
// stand for pointers; those that may be absent count from 1, and 0 is none.

// State is a gateway's whole state between two events. It is taken with Snapshot and given to Restore of the same build.
type State struct {
	Random                  []byte // of the random source
	Now                     time.Duration
	LoadSampledAt           time.Duration     `json:"Sampled"`
	Load                    [5]AverageState   `json:"Sensor"` // requests in flight, processor use, latency ratio, queue position, bad share
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
	CounterOverloadedAt     time.Duration     `json:"Crowded"`
	InFlight                int               `json:"Open"`
	StartedAt               time.Duration     `json:"Born,omitempty"` // of the gateway; 0 where a counter is called
	ProbeTurn               int               `json:"Turn"`
	SweepPosition           int               `json:"Swept"`
	WatchPending            bool              `json:"Subscribe"`
	Customers               []CustomerState   // in the order of sweeping, then those that only others refer to
	ListedCustomers         int               `json:"Roll"`    // how many of them are swept
	PendingUseQueue         []int             `json:"Due"`     // customers
	Backends                []BackendState    `json:"Servers"` // in the order of their numbers, then those that only others refer to
	KnownBackends           int               `json:"Known"`   // how many of them are in the table
	UpBackends              []int             `json:"List"`    // backends
	Requests                []RequestState    // in the order of their numbers, then those that only others refer to
	KnownRequests           int               `json:"Held"`  // how many of them are in the table
	CounterCalls            []CallState       `json:"Calls"` // by name, then in order
}

// AverageState is a moving average.
type AverageState struct {
	Value  float64
	Weight float64
	Gap    float64       // seconds
	At     time.Duration // of the last value
}

// ControllerState is the controller of one priority.
type ControllerState struct {
	AdmitRatio   float64 `json:"F"`
	LastError    float64 `json:"Err"`
	AdmittedWork float64 `json:"Work"`  // seconds of service
	OfferedWork  float64 `json:"Asked"` // likewise
}

// CustomerState is a customer.
type CustomerState struct {
	ID                     string
	Instances              float64 `json:"Spread"` // through which it comes in
	Plan                   int
	UsesCounter            bool          `json:"Asks"`
	PendingUseQueued       bool          `json:"Queued"`
	LastUsedAt             time.Duration `json:"Used"`
	RefilledAt             time.Duration `json:"At"`
	Tokens                 float64       `json:"Level"`            // units left of this instance's split of the quota
	SplitDraw              float64       `json:"Chance,omitempty"` // share of a request that Tokens must reach where the split is smaller than it
	CeilingTokens          float64       `json:"Ceiling"`          // units left of its split of the ceiling
	CounterTotal           float64       `json:"Total"`            // units, use at all instances, faded, as of CounterTotalAt
	CounterTotalAt         time.Duration `json:"Heard"`            // 0: never
	OverQuotaUntil         time.Duration `json:"Next"`
	CounterDistrustedUntil time.Duration `json:"Wary"`
	PendingUse             float64       `json:"Fresh"` // units spent here that were not added to the counter yet
	RecentDemand           float64       `json:"Seen"`  // units asked for here lately
	PendingUseDueAt        time.Duration `json:"AddAt"`
	InFlight               int           `json:"Open"` // attempts
}

// BackendState is a backend.
type BackendState struct {
	Endpoint            Endpoint        `json:"Entry"`
	InFlight            int             `json:"Open"` // own attempts
	AnswerDueAt         time.Duration   `json:"Due"`
	Slowness            float64         // relative to all backends
	Failures            []float64       `json:"Fails"` // by class
	Attempts            []float64       `json:"N"`     // by class
	OutcomesAt          []time.Duration `json:"HealthAt"`
	WarmingUp           bool            `json:"Cold"`
	StartedAt           time.Duration   `json:"ColdAt"`
	SlowStartTokens     float64         `json:"Room"` // attempts
	SlowStartThreshold  float64         `json:"Need"` // attempts
	SlowStartRefilledAt time.Duration   `json:"RoomAt"`
}

// RequestState is a request.
type RequestState struct {
	ID              RequestID
	Class           ClassID
	Customer        int // position
	Units           float64
	ArrivedAt       time.Duration `json:"Arrived"`
	Deadline        time.Duration
	Attempts        []AttemptState
	MayHaveRun      bool `json:"Ran"`
	Ended           bool
	Streaming       bool
	FirstRunBackend int           `json:"RanAt"` // position, from 1
	FirstRunSentAt  time.Duration `json:"RanSent"`
	CounterName     string        `json:"Name"`
	CounterWeight   float64       `json:"Weight"` // of a unit
	AddedToCounter  bool          `json:"Told"`
	RejectReason    RejectReason  `json:"Why"`
}

// AttemptState is an attempt.
type AttemptState struct {
	Backend       int           `json:"Server"` // position
	SentAt        time.Duration `json:"Sent"`
	QueuePosition float64       `json:"Place"`
	Open          bool          // in flight
}

// CallState is a call of the counter that was not answered yet.
type CallState struct {
	Name         string
	Customer     int           // position
	Request      int           // that waits for it: position, from 1
	UnitWeight   float64       `json:"Weight"`
	PendingUnits float64       `json:"Units"`
	SentAt       time.Duration `json:"At"`
}

// ErrStateMismatch is the cause of every error about a state that is not of the settings, or is broken.
var ErrStateMismatch = errors.New("decision: a state that is not of these settings")

// StateError says which part of a state can't be restored. errors.Is with ErrStateMismatch holds for it, and with the
// cause if there is another.
type StateError struct {
	Table string // field of State
	Row   int    // position in it; -1: the whole
	Cause error  // nil: it does not fit the settings or the other tables
}

// Error names the place and the cause.
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

// Unwrap gives ErrStateMismatch and the cause, if there is one.
func (e *StateError) Unwrap() []error {
	if e.Cause == nil {
		return []error{ErrStateMismatch}
	}
	return []error{ErrStateMismatch, e.Cause}
}

// mismatch is an error about a row that does not fit; -1 stands for the whole table.
func mismatch(table string, row int) error { return &StateError{Table: table, Row: row} }
