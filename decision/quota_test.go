package decision_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// An instance that restarts does not know that its customers are at their ceilings. At first it may admit only its
// split of the slack.
func TestCeilingAfterInstanceRestart(t *testing.T) {
	set := basicSettings()
	set.Instances = 2
	set.Plans = []decision.Plan{{Rate: 100, Burst: 100, WeightFactor: 1, CeilingRate: 10, CeilingBurst: 50, CeilingSlack: 6}}
	driver := startDriver(t, set, time.Hour, upEndpoints(1, 2, 3)...)
	driver.counter = timesOut
	sent := 0
	for range 30 {
		if id, backend, ok := driver.request("a", 0, 2); ok {
			sent++
			driver.endAttempt(id, backend, decision.OK)
		}
	}
	if sent != 3 {
		t.Errorf("%d admitted at once, want 3, the split of the slack", sent)
	}
}

// One instance receives requests for four times the quota, alone or as one of several, with a counter that replies,
// fails, or reports use at other instances.
func TestQuotaOfOneInstance(t *testing.T) {
	cases := []struct {
		name     string
		plan     decision.Plan
		spread   int
		counter  counterFunc
		min, max int // of 400 requests in 10 s
	}{
		{"one instance has the whole quota", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 1, nil, 115, 121},
		{"counter times out: the split", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, timesOut, 55, 61},
		{"counter unreachable: the split", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, unreachable, 55, 61},
		{"no use elsewhere: the whole quota", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, onlyCaller(), 100, 121},
		{"the same use elsewhere: half", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, othersUseTheSame(), 40, 75},
		{"a split below one request: the counter decides", decision.Plan{Rate: 1, Burst: 4, WeightFactor: 1}, 11, onlyCaller(), 6, 14},
		{"use beyond the quota pays: load shedding decides", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1, OverQuotaValue: 0.5}, 1, nil, 350, 400},
		{"ceiling, counter times out: the split and the slack",
			decision.Plan{Rate: 100, Burst: 100, WeightFactor: 1, CeilingRate: 10, CeilingBurst: 20, CeilingSlack: 4}, 2, timesOut, 15, 52},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := basicSettings()
			set.Instances = 11
			set.Plans = []decision.Plan{c.plan}
			driver := startDriver(t, set, 0, upEndpoints(1, 2, 3, 4, 5, 6)...)
			driver.counter = c.counter
			sent := 0
			for range 400 {
				driver.advance(25 * time.Millisecond)
				if id, backend, ok := driver.request("a", 0, c.spread); ok {
					sent++
					driver.endAttempt(id, backend, decision.OK)
				}
			}
			if sent < c.min || sent > c.max {
				t.Errorf("%d admitted, want %d to %d", sent, c.min, c.max)
			}
		})
	}
}

// The counter never replies, and forty instances receive far more requests of a customer than its ceiling allows.
// Together they must not exceed the ceiling.
func TestCeilingOverManyInstancesWithoutCounter(t *testing.T) {
	set := basicSettings()
	set.Plans = []decision.Plan{{Rate: 20, Burst: 40, WeightFactor: 1, OverQuotaCost: 1, CeilingRate: 40, CeilingBurst: 80, CeilingSlack: 8}}
	instances := startInstances(t, 40, set, time.Hour, timesOut, upEndpoints(1, 2, 3, 4)...)
	rng := rand.New(rand.NewPCG(3, 4))
	tokens, last := 80.0, time.Hour
	for at := time.Hour; at < time.Hour+20*time.Second; at += 2 * time.Millisecond {
		driver := instances[rng.IntN(len(instances))]
		driver.advanceTo(at)
		tokens = min(80, tokens+40*(at-last).Seconds())
		last = at
		if id, backend, ok := driver.request("a", 0, 40); ok {
			if tokens--; tokens < -8 {
				t.Fatalf("the ceiling is exceeded by %v after %v", -tokens, at-time.Hour)
			}
			driver.endAttempt(id, backend, decision.OK)
		}
	}
}

// Requests with a spread of zero, a negative spread or one above the number of instances, and changes of the plan, must
// not give a customer more than a single instance would.
func TestImpossibleSpreadsAndPlanChanges(t *testing.T) {
	set := basicSettings()
	set.Instances = 10
	set.Plans = []decision.Plan{{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaCost: 1}, {Rate: 4, Burst: 8, WeightFactor: 2, OverQuotaCost: 1}}
	driver := startDriver(t, set, time.Hour, upEndpoints(1, 2, 3)...)
	driver.counter = sharedCounter{}.add
	sent := 0
	for i := range 1000 {
		driver.advance(10 * time.Millisecond)
		id := driver.nextRequest
		driver.nextRequest++
		for _, a := range driver.handle(decision.RequestArrived{Request: id, Customer: "a", Plan: decision.PlanID(i % 2), TimeLeft: time.Second,
			Units: 1, Spread: []int{0, 5, 1000, -3}[i%4]}) {
			if a, ok := a.(decision.SendAttempt); ok {
				sent++
				driver.endAttempt(id, a.Backend, decision.OK)
			}
		}
	}
	if sent < 8 || sent > 50 { // 8 at once, then 2 to 4 per second
		t.Errorf("%d admitted in 10 s", sent)
	}
}

// A plan limits attempts in flight, and the counter rejects every call. Short sequential attempts stay below the limit,
// so none of them is shed.
func TestQuickAttemptsFitUnderInFlightLimit(t *testing.T) {
	set := basicSettings()
	set.Instances = 4
	set.Plans = []decision.Plan{{MaxInFlight: 2, WeightFactor: 1, OverQuotaCost: 0.8}}
	driver := startDriver(t, set, time.Second, upEndpoints(1, 2)...)
	driver.counter = func(decision.AddToCounter) (decision.Outcome, float64) { return decision.Rejected, 0 }
	sent := 0
	for range 50 {
		id, backend, ok := driver.request("c", 0, 4)
		if driver.advance(50 * time.Millisecond); ok {
			sent++
			driver.endAttempt(id, backend, decision.OK)
		}
		driver.advance(150 * time.Millisecond)
	}
	if sent < 45 {
		t.Errorf("%d of 50 sequential requests of 50 ms each admitted, under a limit of 2", sent)
	}
}
