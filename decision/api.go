package decision

import "time"

// Struct tags keep the names under which recorded traces hold these values.

// Typed names for what the gateway is told about. Times are durations since any fixed origin.
type (
	// BackendID names a back-end server; it survives a restart of the server's process.
	BackendID uint32
	// RequestID names one client try; it is never reused during a gateway's life.
	RequestID uint64
	// ClassID is a position in Settings.Classes.
	ClassID int
	// PlanID is a position in Settings.Plans.
	PlanID int
)

// Idempotency says what a second run of a request would do.
type Idempotency int

// The repeat classes.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // repeats are discarded within Scope, for KeyTTL
	NotIdempotent                      // must never run twice
)

// KeyScope is the group of servers that discards repeats of a keyed request.
type KeyScope int

// The scopes.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes one kind of request.
type Class struct {
	Idempotency      Idempotency `json:"Repeat"`
	KeyScope         KeyScope    `json:"Scope"`
	KeyTTL           time.Duration
	LatencyObjective time.Duration `json:"Aim"` // an answer within this earns the full worth
	Deadline         time.Duration // what a client waits in all
	PriorityWeight   float64       `json:"Worth"`
	LateShare        float64       // share of the worth that a late answer earns
	Stream           bool
}

// Plan holds what each customer of it is entitled to, over all gateways together. Zero means no such limit.
type Plan struct {
	Rate, Burst               float64 // units per second, units
	MaxInFlight               int     `json:"Open"`      // attempts out at once
	WeightFactor              float64 `json:"Price"`     // factor on the worth of its requests
	OverQuotaValue            float64 `json:"OverWorth"` // earned beyond the quota, as a share of the weight
	OverQuotaCost             float64 `json:"OverCost"`  // paid beyond it, likewise
	CeilingRate, CeilingBurst float64 // hard limit: units per second, units
	CeilingSlack              float64 // units by which it may be passed
}

// LoadField is a figure that a load report may carry.
type LoadField int

// The load fields; FieldOther stands for figures that this library does not use.
const (
	FieldOther LoadField = iota
	FieldInFlight
	FieldQueue
	FieldUtil
	FieldLatency // milliseconds
	FieldServed  // requests per second
	FieldErrors  // errors per second
)

// Settings is all that a gateway is told at its start.
type Settings struct {
	Self             int // this instance's number
	Instances        int `json:"Gateways"` // how many there are
	Zone             int
	Classes          []Class
	Plans            []Plan
	LoadFields       []LoadField
	LoadInAnswers    bool    // reports come with answers
	LoadByProbe      bool    // reports come with probes only
	Probes           bool    // probing is allowed
	ProbeCost        float64 `json:"ProbePrice"`
	Cancel           bool    // attempts may be cancelled
	Hedging          bool    `json:"SecondCopies"` // a request may have two attempts out
	RetryAfter       bool    // clients are told how long to stay away
	MaxRetryAfter    time.Duration
	MaxAttempts      int
	Subscribe        bool          // the server list must be asked for
	PollInterval     time.Duration `json:"AskWithin"`
	DrainGrace       time.Duration
	SlowStartShare   float64       `json:"ColdShare"` // least share of its capacity that a started server has
	SlowStartTime    time.Duration `json:"ColdTime"`
	OverloadFactor   float64       // a cold server sent this multiple of its capacity
	OverloadTime     time.Duration
	Counter          bool // the shared counter may be called
	CounterTimeout   time.Duration
	CounterCost      float64 `json:"CounterPrice"`
	MaxUnits         float64 `json:"MostUnits"` // most units that one request counts
	UnitsSettleLater bool    // units are a guess until the first good answer
}

// Event is something that happened; see the types below.
type Event interface{ event() }

// RequestArrived is a client's request, which is owed exactly one final answer.
type RequestArrived struct {
	Request       RequestID
	Class         ClassID
	Plan          PlanID
	Customer      string
	TimeLeft      time.Duration `json:"Left"` // until the client gives up
	Units         float64
	Spread, First int  // the customer comes in through Spread gateways, from number First on
	Retry         bool // the client says that it has tried before
}

// ClientDisconnected ends a request from the client's side.
type ClientDisconnected struct{ Request RequestID }

// Outcome says how an attempt ended.
type Outcome int

// The outcomes.
const (
	OK              Outcome = iota
	BackendError            // an error from the server; it may have run
	Rejected                // turned away unseen
	TimedOut                // no answer in time; it may have run
	ConnectFailed           // never reached the server
	ConnectionReset         // connection lost; it may have run
	Cancelled               // withdrawn; it may have run
	NotSent                 // never sent
)

// AttemptEnded closes an attempt; each Send gets one.
type AttemptEnded struct {
	Request   RequestID
	Attempt   int
	Backend   BackendID `json:"Server"`
	Outcome   Outcome
	Latency   time.Duration
	RoundTrip time.Duration `json:"Way"`     // of that, what the network takes by itself, as far as known; 0 else
	Answered  bool          `json:"Settled"` // the client has its final answer
	Units     float64       // true units, where they settle later; 0 if not told
	Load      []float64     // values in the order of Settings.LoadFields; nil if none
}

// StreamStarted says that an attempt's answer has begun and belongs to the client now.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Backend BackendID `json:"Server"`
}

// ProbeEnded answers a Probe.
type ProbeEnded struct {
	Backend BackendID `json:"Server"`
	Outcome Outcome
	Load    []float64
}

// CounterReplied answers a Count. Answers for one name come in the order of the calls.
type CounterReplied struct {
	Name    string
	Outcome Outcome // OK; Full, ConnectFailed: not added; TimedOut: may have been added
	Total   float64
}

// EndpointState is what discovery knows of a server.
type EndpointState int

// The server states.
const (
	Up EndpointState = iota
	Draining
	Removed
)

// Endpoint is one line of a server list.
type Endpoint struct {
	Backend BackendID `json:"Server"`
	Zone    int
	Cell    int
	State   EndpointState
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// EndpointsChanged is news of discovery: a full list, or only what changed.
type EndpointsChanged struct {
	Full, Failed bool       // Failed: a call did not succeed; no entries come with it
	Cached       bool       // a full list from an earlier life, possibly outdated
	Endpoints    []Endpoint `json:"Entries"`
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

// TimerKind tells timers apart.
type TimerKind int

// The timers a gateway sets.
const (
	TickTimer TimerKind = iota
	DeadlineTimer
)

// Timer is handed back as it was set.
type Timer struct {
	Kind    TimerKind
	Request RequestID
}

// Action is something to do now; see the types below.
type Action interface{ action() }

// SendAttempt starts the next attempt of a request (numbered from 0) at a server.
type SendAttempt struct {
	Request RequestID
	Backend BackendID `json:"Server"`
	Timeout time.Duration
}

// CancelAttempt withdraws an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// RejectReason says what a request was refused for.
type RejectReason int

// The reasons.
const (
	NoCapacity RejectReason = iota // the back end has none for it in time
	OverQuota                      // its customer's plan allows no more now
)

// Reject is a final answer that promises that a retry is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no hint
	Reason     RejectReason  `json:"Why"`
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// Probe asks a server for its load.
type Probe struct {
	Backend BackendID `json:"Server"`
}

// AddToCounter adds to a number that all gateways share.
type AddToCounter struct {
	Name   string
	Amount float64
	TTL    time.Duration
}

// SetTimer asks for a TimerFired at or after At.
type SetTimer struct {
	At    time.Duration
	Timer Timer
}

// WatchEndpoints asks discovery for changes from now on.
type WatchEndpoints struct{}

func (SendAttempt) action()    {}
func (CancelAttempt) action()  {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Probe) action()          {}
func (AddToCounter) action()   {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
