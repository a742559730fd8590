package choice

import "time"

// Typed names for what the gateway is told about. Times are durations since any fixed origin.
type (
	// ServerID names a back-end server; it survives a restart of the server's process.
	ServerID uint32
	// RequestID names one client try; it is never reused during a gateway's life.
	RequestID uint64
	// ClassID is a position in Settings.Classes.
	ClassID int
	// PlanID is a position in Settings.Plans.
	PlanID int
)

// Repeat says what a second run of a request would do.
type Repeat int

// The repeat classes.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // repeats are discarded within Scope, for KeyTTL
	Unsafe               // must never run twice
)

// Scope is the group of servers that discards repeats of a keyed request.
type Scope int

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Repeat    Repeat
	Scope     Scope
	KeyTTL    time.Duration
	Aim       time.Duration // an answer within this earns the full worth
	Deadline  time.Duration // what a client waits in all
	Worth     float64
	LateShare float64 // share of the worth that a late answer earns
	Stream    bool
}

// Plan holds what each customer of it is entitled to, over all gateways together. Zero means no such limit.
type Plan struct {
	Rate, Burst               float64 // units per second, units
	Open                      int     // attempts out at once
	Price                     float64 // factor on the worth of its requests
	OverWorth, OverCost       float64 // earned and paid beyond the quota, as shares of the worth
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
	Self, Gateways   int // this gateway's number, and how many there are
	Zone             int
	Classes          []Class
	Plans            []Plan
	LoadFields       []LoadField
	LoadInAnswers    bool // reports come with answers
	LoadByProbe      bool // reports come with probes only
	Probes           bool // probing is allowed
	ProbePrice       float64
	Cancel           bool // attempts may be cancelled
	SecondCopies     bool // a request may have two attempts out
	RetryAfter       bool // clients are told how long to stay away
	MaxRetryAfter    time.Duration
	MaxAttempts      int
	Subscribe        bool // the server list must be asked for
	AskWithin        time.Duration
	DrainGrace       time.Duration
	ColdShare        float64 // least share of its capacity that a started server has
	ColdTime         time.Duration
	OverloadFactor   float64 // a cold server sent this multiple of its capacity
	OverloadTime     time.Duration
	Counter          bool // the shared counter may be called
	CounterTimeout   time.Duration
	CounterPrice     float64
	MostUnits        float64 // most units that one request counts
	UnitsSettleLater bool    // units are a guess until the first good answer
}

// Event is something that happened; see the types below.
type Event interface{ event() }

// Arrived is a client's request, which is owed exactly one final answer.
type Arrived struct {
	Request       RequestID
	Class         ClassID
	Plan          PlanID
	Customer      string
	Left          time.Duration // until the client gives up
	Units         float64
	Spread, First int  // the customer comes in through Spread gateways, from number First on
	Retry         bool // the client says that it has tried before
}

// ClientLeft ends a request from the client's side.
type ClientLeft struct{ Request RequestID }

// Outcome says how an attempt ended.
type Outcome int

// The outcomes.
const (
	OK            Outcome = iota
	Error                 // an error from the server; it may have run
	Full                  // turned away unseen
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // never reached the server
	Reset                 // connection lost; it may have run
	Cancelled             // withdrawn; it may have run
	Void                  // never sent
)

// AttemptEnded closes an attempt; each Send gets one.
type AttemptEnded struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Outcome Outcome
	Latency time.Duration
	Way     time.Duration // of that, what the network takes by itself, as far as known; 0 else
	Settled bool          // the client has its final answer
	Units   float64       // true units, where they settle later; 0 if not told
	Load    []float64     // values in the order of Settings.LoadFields; nil if none
}

// StreamStarted says that an attempt's answer has begun and belongs to the client now.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
}

// ProbeEnded answers a Probe.
type ProbeEnded struct {
	Server  ServerID
	Outcome Outcome
	Load    []float64
}

// Counted answers a Count. Answers for one name come in the order of the calls.
type Counted struct {
	Name    string
	Outcome Outcome // OK; Full, ConnectFailed: not added; TimedOut: may have been added
	Total   float64
}

// ServerState is what discovery knows of a server.
type ServerState int

// The server states.
const (
	Up ServerState = iota
	Draining
	Gone
)

// ServerEntry is one line of a server list.
type ServerEntry struct {
	Server  ServerID
	Zone    int
	Cell    int
	State   ServerState
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// ServersChanged is news of discovery: a full list, or only what changed.
type ServersChanged struct {
	Full, Failed bool // Failed: a call did not succeed; no entries come with it
	Cached       bool // a full list from an earlier life, possibly outdated
	Entries      []ServerEntry
}

// TimerFired returns a Timer that was set.
type TimerFired struct{ Timer Timer }

func (Arrived) event()        {}
func (ClientLeft) event()     {}
func (AttemptEnded) event()   {}
func (StreamStarted) event()  {}
func (ProbeEnded) event()     {}
func (Counted) event()        {}
func (ServersChanged) event() {}
func (TimerFired) event()     {}

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

// Send starts the next attempt of a request (numbered from 0) at a server.
type Send struct {
	Request RequestID
	Server  ServerID
	Timeout time.Duration
}

// Cancel withdraws an attempt.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Why says what a request was refused for.
type Why int

// The reasons.
const (
	NoRoom    Why = iota // the back end has none for it in time
	OverQuota            // its customer's plan allows no more now
)

// Refuse is a final answer that promises that a retry is harmless.
type Refuse struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no hint
	Why        Why
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// Probe asks a server for its load.
type Probe struct{ Server ServerID }

// Count adds to a number that all gateways share.
type Count struct {
	Name   string
	Amount float64
	TTL    time.Duration
}

// SetTimer asks for a TimerFired at or after At.
type SetTimer struct {
	At    time.Duration
	Timer Timer
}

// Subscribe asks discovery for changes from now on.
type Subscribe struct{}

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Probe) action()     {}
func (Count) action()     {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
