package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// scenario draws a whole script instead of single faults. It puts a deployment under conditions in which the gateway
// must act to keep an invariant, and keeps it there until the gateway's control loops settle. In half of these
// scripts, up to half of Profile.MaxFaults single faults are added.
type scenario struct {
	name string
	draw func(b *scenarioBuilder)
}

var scenarios = []scenario{
	{"overload", (*scenarioBuilder).overload},
	{"replacement", (*scenarioBuilder).replacement},
	{"ceilings", (*scenarioBuilder).ceilings},
	{"keys", (*scenarioBuilder).keyExpiry},
	{"drains", (*scenarioBuilder).draining},
	{"flows", (*scenarioBuilder).streaming},
}

// drawScenario draws a script from a random scenario and returns the name of the scenario.
func drawScenario(s *Script, rng *rand.Rand) string {
	builder := &scenarioBuilder{s, rng}
	chosen := scenarios[rng.IntN(len(scenarios))]
	chosen.draw(builder)
	return chosen.name
}

// Bounds of generated scripts. The first two keep a sweep of thousands of scripts within minutes.
const (
	maxRate               = 420.0  // highest rate without surges (requests/s)
	maxRequests           = 5000.0 // requests in total, without surges
	minRequestsToCollapse = 14.0   // fewest requests of mean work that make a backend in slow start collapse; with fewer, chance decides whether it collapses
)

// scenarioBuilder draws a script step by step.
type scenarioBuilder struct {
	*Script
	rng *rand.Rand
}

// oneOf draws one of the values.
func (b *scenarioBuilder) oneOf(xs ...float64) float64 { return xs[b.rng.IntN(len(xs))] }

// between draws uniformly between low and high, to two decimal places.
func (b *scenarioBuilder) between(low, high float64) float64 {
	return math.Round((low+(high-low)*b.rng.Float64())*100) / 100
}

// milliseconds draws a duration between low and high (milliseconds), truncated to whole milliseconds.
func (b *scenarioBuilder) milliseconds(low, high float64) time.Duration {
	return time.Duration(b.between(low, high)) * time.Millisecond
}

// chance returns true with probability p.
func (b *scenarioBuilder) chance(p float64) bool { return b.rng.Float64() < p }

// drawFleet draws 1 to 75 backends and 1 to 40 instances, and the cores, mean work and queue length of the backends.
func (b *scenarioBuilder) drawFleet() {
	b.Backends.Cores = int(b.oneOf(1, 1, 2))
	b.Backends.Work = strictyaml.Duration(time.Duration(b.oneOf(40, 80, 120, 160)) * time.Millisecond)
	b.Backends.Queue = int(b.oneOf(8, 24, 64))
	b.Backends.Count = 1 + b.rng.IntN(int(b.oneOf(3, 8, 8, 20, 75)))
	b.Instances = 1 + b.rng.IntN(int(b.oneOf(2, 4, 8, 40)))
}

// setLoad sets the rate to a share of the backends' capacity, and limits the length of the run by the number of requests.
func (b *scenarioBuilder) setLoad(share float64) {
	capacity := float64(b.Backends.Count*b.Backends.Cores) / time.Duration(b.Backends.Work).Seconds()
	b.Rate = math.Round(min(maxRate, max(2, share*capacity)))
	b.Seconds = math.Round(min(b.Seconds, max(6, maxRequests/b.Rate)))
}

// drawSlowStart draws the parameters of slow start, and ensures that it takes several requests to make a backend collapse.
func (b *scenarioBuilder) drawSlowStart() {
	c := &b.SlowStart
	c.Share, c.OverloadFactor = b.oneOf(0.1, 0.22, 0.25, 0.5), b.oneOf(3, 4, 4, 6)
	c.Duration, c.OverloadTime = strictyaml.Duration(time.Duration(b.oneOf(4, 8, 16))*time.Second), strictyaml.Duration(time.Duration(b.oneOf(1, 1.5, 2)*1000)*time.Millisecond)
	b.boundWork()
}

// addFault adds a fault that begins at a time, truncated to milliseconds.
func (b *scenarioBuilder) addFault(at time.Duration, e fault.Event) {
	e.At = at.Truncate(time.Millisecond)
	b.Events = append(b.Events, e)
}

func (b *scenarioBuilder) backendName(i int) string { return fmt.Sprintf("box-%d", i) }

// affectedBackends draws a number of backends: a tenth, a half or all of them, at least one.
func (b *scenarioBuilder) affectedBackends() int {
	return max(1, int(math.Round(float64(b.Backends.Count)*b.oneOf(0.1, 0.5, 0.5, 1))))
}

// boundWork limits the work of a request, so that it takes minRequestsToCollapse requests to make a backend in slow start
// collapse.
func (s *Script) boundWork() {
	c := s.SlowStart
	if c.OverloadFactor == 0 {
		return
	}
	maxWork := c.OverloadFactor * c.Share * float64(s.Backends.Cores) * time.Duration(c.OverloadTime).Seconds() / minRequestsToCollapse
	s.Backends.Work = strictyaml.Duration(min(time.Duration(s.Backends.Work), time.Duration(maxWork*float64(time.Second)).Truncate(time.Millisecond)))
}
