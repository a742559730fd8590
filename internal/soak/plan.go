package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// Parameters of a run. Points in time of a plan count from the first SIGTERM; they are negative before it.
const (
	backendCount               = 5
	drainGrace                 = 200 * time.Millisecond         // time after a departure notice in which attempts at the backend may still begin
	killDelay                  = 700 * time.Millisecond         // time that the platform adds to the longest deadline before the earliest SIGKILL
	maxCountedDeadline         = 3 * time.Second                // upper limit of the deadline from which the platform derives the time of SIGKILL
	idleConnTimeout            = 500 * time.Millisecond         // time after which a backend closes an idle connection
	defaultSockets             = 640                            // descriptor limit of the instance
	socketsWithIdleConnections = 64                             // descriptor limit in a run with idle connections
	idleConnectionCount        = 3 * socketsWithIdleConnections // more idle connections than the descriptor limit
)

// Plan is the schedule of one run. The same seed draws the same plan.
type Plan struct {
	Seed                      uint64
	LongestDeadline           time.Duration // longest deadline of all classes
	MayCancel                 bool          // the instance is allowed to cancel attempts
	Warmup                    time.Duration // from readiness to the first SIGTERM
	Signals                   []Signal
	NewConnectionTime         time.Duration // time after SIGTERM during which clients still open new connections
	Clients                   int
	DisconnectShare           float64         // share of the requests whose clients disconnect early
	LongPauseClients          int             // further clients, with longer pauses between requests
	IdleConnections           int             // number of idle connections that fill the descriptors; 0: none
	StalledClientConnectTimes []time.Duration // connect times of clients that stop in the middle of a request and keep their connections
	Changes                   []Change
	Watch                     WatchFault
	WatchFaultAt              time.Duration // when Watch happens, if there is one
	Faults                    []BackendFault
	MovesAtReload             bool          // SIGHUP moves discovery and counter to their second addresses
	CounterSilentAt           time.Duration // when the counter stops answering
	ChecksIdle                bool          // check before SIGTERM that an idle instance has released descriptors and memory

	// Set by scenarios only.
	Framing     Framing
	StaleStart  StaleStart
	OlderList   OlderList
	HangingDial HangingDial
	Batch       Batch
	Fleet       Fleet
}

// Signal is a signal to the instance and the time at which it is sent.
type Signal struct {
	At     time.Duration
	Signal syscall.Signal
}

// ChangeKind is how a backend leaves the endpoint list.
type ChangeKind string

// The kinds of changes.
const (
	Drains            ChangeKind = "drains"
	Removed           ChangeKind = "is removed"
	Omitted           ChangeKind = "is left out of a whole list"
	DrainsThenOmitted ChangeKind = "drains and is left out of a whole list"
)

// Change takes a backend off the endpoint list.
type Change struct {
	At      time.Duration
	Backend int
	Kind    ChangeKind
}

// WatchFault is a fault of the open watches.
type WatchFault string

// The faults of watches.
const (
	NoWatchFault WatchFault = ""
	WatchBreaks  WatchFault = "breaks"
	WatchSilent  WatchFault = "falls silent"
)

// FaultKind is how a faulty backend treats requests.
type FaultKind string

// The kinds of faults.
const (
	Hang   FaultKind = "hangs"
	Reset  FaultKind = "resets"
	NotRun FaultKind = "rejects"
	Slow   FaultKind = "is slow"
)

// BackendFault is a fault of a backend that lasts from a time to the end of the run.
type BackendFault struct {
	At      time.Duration
	Backend int
	Kind    FaultKind
}

// KillAt returns when SIGKILL is sent: at the earliest time that the platform allows.
func (p *Plan) KillAt() time.Duration {
	return min(p.LongestDeadline, maxCountedDeadline) + killDelay
}

// planStream is the random stream of plans. It differs from the streams of clients.
const planStream = 1

// Draw draws the plan of a seed.
func Draw(seed uint64) *Plan {
	rng := rand.New(rand.NewPCG(seed, planStream))
	p := &Plan{
		Seed:              seed,
		LongestDeadline:   []time.Duration{600, 1000, 1500, 3500}[rng.IntN(4)] * time.Millisecond,
		MayCancel:         rng.IntN(4) > 0,
		Warmup:            between(rng, 300*time.Millisecond, 1200*time.Millisecond),
		NewConnectionTime: between(rng, 200*time.Millisecond, 400*time.Millisecond),
		Clients:           6 + rng.IntN(10),
		LongPauseClients:  rng.IntN(16),
		DisconnectShare:   0.1 * rng.Float64(),
		CounterSilentAt:   between(rng, -200*time.Millisecond, 4*time.Second),
	}
	for range rng.IntN(3) {
		p.StalledClientConnectTimes = append(p.StalledClientConnectTimes, between(rng, -500*time.Millisecond, p.NewConnectionTime))
	}
	p.drawSignals(rng)
	p.drawChanges(rng)
	p.drawFaults(rng)
	if rng.IntN(4) == 0 {
		p.IdleConnections = idleConnectionCount
	}
	p.ChecksIdle = p.IdleConnections == 0 && p.Warmup > 0 && rng.IntN(4) == 0
	return p
}

// drawSignals draws a series of signals.
func (p *Plan) drawSignals(rng *rand.Rand) {
	term := Signal{0, syscall.SIGTERM}
	reloadAt := func(from, to time.Duration) Signal { return Signal{between(rng, from, to), syscall.SIGHUP} }
	switch rng.IntN(6) {
	case 0:
		p.Signals = []Signal{term}
	case 1:
		p.Signals = []Signal{term, {between(rng, 0, time.Second), syscall.SIGTERM}}
	case 2:
		p.Signals = []Signal{reloadAt(-50*time.Millisecond, 0), term}
	case 3:
		p.Signals = []Signal{term, reloadAt(0, 600*time.Millisecond)}
	case 4:
		p.Signals = []Signal{reloadAt(-300*time.Millisecond, -200*time.Millisecond), reloadAt(-200*time.Millisecond, -100*time.Millisecond),
			reloadAt(-100*time.Millisecond, 0), term}
	case 5: // right after the instance is ready
		p.Signals = []Signal{term}
		p.Warmup = 0
	}
	p.MovesAtReload = rng.IntN(2) == 0
}

// drawChanges draws which backends leave the endpoint list at about the time of SIGTERM, and the fault of the watches. At least
// two backends stay.
func (p *Plan) drawChanges(rng *rand.Rand) {
	kinds := []ChangeKind{Drains, Drains, Removed, Omitted, DrainsThenOmitted}
	for backend := range 1 + rng.IntN(backendCount-2) {
		at := between(rng, -200*time.Millisecond, 500*time.Millisecond)
		p.Changes = append(p.Changes, Change{at, backend, kinds[rng.IntN(len(kinds))]})
	}
	p.Watch = []WatchFault{NoWatchFault, NoWatchFault, WatchBreaks, WatchSilent}[rng.IntN(4)]
	p.WatchFaultAt = between(rng, -400*time.Millisecond, 300*time.Millisecond)
}

// drawFaults draws the faults of backends. A backend that leaves the list may have a fault as well.
func (p *Plan) drawFaults(rng *rand.Rand) {
	kinds := []FaultKind{Hang, Hang, Reset, NotRun, Slow}
	for range rng.IntN(4) {
		at := between(rng, -500*time.Millisecond, 500*time.Millisecond)
		p.Faults = append(p.Faults, BackendFault{at, rng.IntN(backendCount), kinds[rng.IntN(len(kinds))]})
	}
}

func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Float64()*float64(to-from))
}

// String describes the plan, except Seed, DisconnectShare, CounterSilentAt and ChecksIdle.
func (p *Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "longest deadline %v, cancel %v, warm-up %v, %d clients, %d resting, crowd %d, new connections for %v, kill at %v",
		p.LongestDeadline, p.MayCancel, p.Warmup, p.Clients, p.LongPauseClients, p.IdleConnections, p.NewConnectionTime, p.KillAt())
	for _, at := range p.StalledClientConnectTimes {
		fmt.Fprintf(&b, "; a client stalls at %v", at)
	}
	for _, signal := range p.Signals {
		fmt.Fprintf(&b, "; %v at %v", signal.Signal, signal.At)
	}
	if p.MovesAtReload {
		b.WriteString(" (SIGHUP moves discovery and counter)")
	}
	for _, change := range p.Changes {
		fmt.Fprintf(&b, "; backend %d %s at %v", change.Backend, change.Kind, change.At)
	}
	for _, fault := range p.Faults {
		fmt.Fprintf(&b, "; backend %d %s from %v on", fault.Backend, fault.Kind, fault.At)
	}
	if p.Watch != NoWatchFault {
		fmt.Fprintf(&b, "; the watch %s at %v", p.Watch, p.WatchFaultAt)
	}
	for _, part := range []fmt.Stringer{p.Framing, p.StaleStart, p.OlderList, p.HangingDial, p.Batch, p.Fleet} {
		if text := part.String(); text != "" {
			b.WriteString("; " + text)
		}
	}
	return b.String()
}
