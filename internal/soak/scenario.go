package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Scenario is a kind of plan in whose shutdown backends leave the endpoint list while requests live long, with one trouble
// more. The zero value is none: the plan that Draw draws.
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

// scenarioDraws add each scenario's trouble to a plan that exposeShutdown has changed.
var scenarioDraws = map[Scenario]func(*Plan, *rand.Rand){
	FramedNotices: (*Plan).drawFraming,
	LateFirstList: (*Plan).drawStaleStart,
	OldFullList:   (*Plan).drawOlderList,
	DialHangs:     (*Plan).drawHangingDial,
	RequestBatch:  (*Plan).drawBatch,
	DrainWaves:    (*Plan).drawWaves,
}

// Scenarios are all scenarios, by name.
func Scenarios() []Scenario { return slices.Sorted(maps.Keys(scenarioDraws)) }

// scenarioStream keeps the draws of scenarios apart from those of plans and clients.
const scenarioStream = 2

// DrawScenario draws the plan of a seed and changes it by a scenario. It draws from a random stream of its own.
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
	p.exposeShutdown(rng)
	draw(p, rng)
	return p, nil
}

// exposeShutdown makes requests live through the shutdown, by long deadlines and backends that hang and reject, and takes
// backends off the list in its first tenths of a second. Two backends stay. Other troubles of the plan end.
func (p *Plan) exposeShutdown(rng *rand.Rand) {
	p.LongestDeadline = []time.Duration{1500, 3500}[rng.IntN(2)] * time.Millisecond
	p.Warmup = between(rng, 300*time.Millisecond, 600*time.Millisecond)
	p.Signals = []Signal{{0, syscall.SIGTERM}}
	p.MovesAtReload, p.Watch, p.Crowd, p.ChecksIdle = false, NoWatchFault, 0, false
	p.Changes = nil
	kinds := []ChangeKind{Drains, Drains, Removed, LeftOut, DrainOut}
	for backend := range backendCount - 2 {
		at := between(rng, 20*time.Millisecond, 400*time.Millisecond)
		p.Changes = append(p.Changes, Change{at, backend, kinds[rng.IntN(len(kinds))]})
	}
	p.Faults = []BackendFault{
		{between(rng, -200*time.Millisecond, 0), backendCount - 1, Hang},
		{between(rng, -200*time.Millisecond, 200*time.Millisecond), backendCount - 2, NotRun},
	}
}
