package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// scenario is a whole script rather than single faults: it brings a deployment to where a rule's guards act and keeps it there
// for long enough that control loops settle. Single faults come on top in half of the scripts.
type scenario struct {
	name string
	draw func(d *scenarioBuilder)
}

var scenarios = []scenario{
	{"overload", (*scenarioBuilder).overload},
	{"replacement", (*scenarioBuilder).replacement},
	{"ceilings", (*scenarioBuilder).ceilings},
	{"keys", (*scenarioBuilder).keyExpiry},
	{"drains", (*scenarioBuilder).draining},
	{"flows", (*scenarioBuilder).streaming},
}

// drawScenario draws one of the scenarios and returns its name.
func drawScenario(s *Script, rng *rand.Rand) string {
	builder := &scenarioBuilder{s, rng}
	k := scenarios[rng.IntN(len(scenarios))]
	k.draw(builder)
	return k.name
}

// Bounds of generated scripts, so that a sweep of thousands stays within minutes.
const (
	maxRate               = 420.0  // requests a second, without surges
	maxRequests           = 5000.0 // requests in all, without surges
	minRequestsToCollapse = 14.0   // mean requests that make a backend in slow start collapse: fewer are chance
)

// scenarioBuilder draws a script step by step.
type scenarioBuilder struct {
	*Script
	rng *rand.Rand
}

func (b *scenarioBuilder) oneOf(xs ...float64) float64 { return xs[b.rng.IntN(len(xs))] }

// between draws uniformly, to two decimal places.
func (b *scenarioBuilder) between(a, target float64) float64 {
	return math.Round((a+(target-a)*b.rng.Float64())*100) / 100
}

func (b *scenarioBuilder) milliseconds(a, target float64) time.Duration {
	return time.Duration(b.between(a, target)) * time.Millisecond
}

// chance returns true with a probability.
func (b *scenarioBuilder) chance(p float64) bool { return b.rng.Float64() < p }

// fleet draws 1 to 75 backends and 1 to 40 instances.
func (b *scenarioBuilder) fleet() {
	b.Backends.Cores = int(b.oneOf(1, 1, 2))
	b.Backends.Work = strictyaml.Duration(time.Duration(b.oneOf(40, 80, 120, 160)) * time.Millisecond)
	b.Backends.Queue = int(b.oneOf(8, 24, 64))
	b.Backends.Count = 1 + b.rng.IntN(int(b.oneOf(3, 8, 8, 20, 75)))
	b.Instances = 1 + b.rng.IntN(int(b.oneOf(2, 4, 8, 40)))
}

// setLoad sets the rate to a share of the backends' capacity, and the length of the run by the number of requests.
func (b *scenarioBuilder) setLoad(share float64) {
	can := float64(b.Backends.Count*b.Backends.Cores) / time.Duration(b.Backends.Work).Seconds()
	b.Rate = math.Round(min(maxRate, max(2, share*can)))
	b.Seconds = math.Round(min(b.Seconds, max(6, maxRequests/b.Rate)))
}

// drawSlowStart draws how backends start, such that it takes some requests to make one collapse.
func (b *scenarioBuilder) drawSlowStart() {
	c := &b.SlowStart
	c.Share, c.OverloadFactor = b.oneOf(0.1, 0.22, 0.25, 0.5), b.oneOf(3, 4, 4, 6)
	c.Duration, c.OverloadTime = strictyaml.Duration(time.Duration(b.oneOf(4, 8, 16))*time.Second), strictyaml.Duration(time.Duration(b.oneOf(1, 1.5, 2)*1000)*time.Millisecond)
	b.boundWork()
}

func (b *scenarioBuilder) addFault(at time.Duration, e fault.Event) {
	e.At = at.Truncate(time.Millisecond)
	b.Events = append(b.Events, e)
}

func (b *scenarioBuilder) backendName(i int) string { return fmt.Sprintf("box-%d", i) }

// portion draws a tenth, a half or all of the backends, one at least.
func (b *scenarioBuilder) portion() int {
	return max(1, int(math.Round(float64(b.Backends.Count)*b.oneOf(0.1, 0.5, 0.5, 1))))
}

// boundWork bounds the work of a request, so that it takes minRequestsToCollapse to make a backend in slow start collapse.
func (s *Script) boundWork() {
	c := s.SlowStart
	if c.OverloadFactor == 0 {
		return
	}
	most := c.OverloadFactor * c.Share * float64(s.Backends.Cores) * time.Duration(c.OverloadTime).Seconds() / minRequestsToCollapse
	s.Backends.Work = strictyaml.Duration(min(time.Duration(s.Backends.Work), time.Duration(most*float64(time.Second)).Truncate(time.Millisecond)))
}
