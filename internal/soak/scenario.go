package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Scenario is a kind of plan. During its shutdown backends leave the endpoint list while long requests are in flight, and one
// more fault happens. The zero value is no scenario: the plan that Draw draws.
type Scenario string

// The scenarios.
const (
	NoScenario    Scenario = ""
	FramedNotices Scenario = "framed-notices"
	LateFirstList Scenario = "late-first-list"
	OldFullList   Scenario = "older-list"
	DialHangs     Scenario = "hanging-dial"
	RequestBatch  Scenario = "batch"
	DrainWaves    Scenario = "waves"
)

// scenarioDraws add the fault of each scenario to a plan that extendIntoShutdown has modified.
var scenarioDraws = map[Scenario]func(*Plan, *rand.Rand){
	FramedNotices: (*Plan).drawFraming,
	LateFirstList: (*Plan).drawStaleStart,
	OldFullList:   (*Plan).drawOlderList,
	DialHangs:     (*Plan).drawHangingDial,
	RequestBatch:  (*Plan).drawBatch,
	DrainWaves:    (*Plan).drawWaves,
}

// Scenarios returns all scenarios, sorted by name.
func Scenarios() []Scenario { return slices.Sorted(maps.Keys(scenarioDraws)) }

// scenarioStream is the random stream of scenarios. It differs from the streams of plans and clients.
const scenarioStream = 2

// DrawScenario draws the plan of a seed and modifies it for a scenario. The modifications use a separate random stream.
func DrawScenario(seed uint64, scenario Scenario) (*Plan, error) {
	p := Draw(seed)
	if scenario == NoScenario {
		return p, nil
	}
	draw, ok := scenarioDraws[scenario]
	if !ok {
		return nil, fmt.Errorf("no scenario %q; there are %q", scenario, Scenarios())
	}
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	p.extendIntoShutdown(rng)
	draw(p, rng)
	return p, nil
}

// extendIntoShutdown keeps requests in flight during the shutdown, by long deadlines and by backends that hang and reject. It
// takes backends off the list in the first tenths of a second of the shutdown. Two backends stay. It removes the plan's reloads,
// watch fault, idle connections and idle check, and replaces its backend faults.
func (p *Plan) extendIntoShutdown(rng *rand.Rand) {
	p.LongestDeadline = []time.Duration{1500, 3500}[rng.IntN(2)] * time.Millisecond
	p.Warmup = between(rng, 300*time.Millisecond, 600*time.Millisecond)
	p.Signals = []Signal{{0, syscall.SIGTERM}}
	p.MovesAtReload, p.Watch, p.IdleConnections, p.ChecksIdle = false, NoWatchFault, 0, false
	p.Changes = nil
	kinds := []ChangeKind{Drains, Drains, Removed, Omitted, DrainsThenOmitted}
	for backend := range backendCount - 2 {
		at := between(rng, 20*time.Millisecond, 400*time.Millisecond)
		p.Changes = append(p.Changes, Change{at, backend, kinds[rng.IntN(len(kinds))]})
	}
	p.Faults = []BackendFault{
		{between(rng, -200*time.Millisecond, 0), backendCount - 1, Hang},
		{between(rng, -200*time.Millisecond, 200*time.Millisecond), backendCount - 2, NotRun},
	}
}
