package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// A shape is a whole day rather than single troubles: it brings a deployment to where a rule's defences act and keeps it
// there for long enough that loops settle. Troubles of the usual kinds come on top in half of the days.
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

// drawScenario draws a day of one of the shapes.
func drawScenario(s *Script, rng *rand.Rand) string {
	builder := &scenarioBuilder{s, rng}
	k := scenarios[rng.IntN(len(scenarios))]
	k.draw(builder)
	return k.name
}

// Bounds of drawn days, so that a sweep of thousands stays within minutes.
const (
	maxRate               = 420.0  // requests a second at the usual rate
	maxRequests           = 5000.0 // requests in all at the usual rate
	minRequestsToCollapse = 14.0   // mean requests that push a cold box over, at the least: fewer are chance
)

// scenarioBuilder is a script under way.
type scenarioBuilder struct {
	*Script
	rng *rand.Rand
}

func (b *scenarioBuilder) oneOf(xs ...float64) float64 { return xs[b.rng.IntN(len(xs))] }

// between draws evenly, to two places.
func (b *scenarioBuilder) between(a, target float64) float64 {
	return math.Round((a+(target-a)*b.rng.Float64())*100) / 100
}

func (b *scenarioBuilder) milliseconds(a, target float64) time.Duration {
	return time.Duration(b.between(a, target)) * time.Millisecond
}

// chance tells yes with a chance.
func (b *scenarioBuilder) chance(p float64) bool { return b.rng.Float64() < p }

// fleet draws boxes and doors, with 1 to 75 and 1 to 40 of them.
func (b *scenarioBuilder) fleet() {
	b.Backends.Cores = int(b.oneOf(1, 1, 2))
	b.Backends.Work = strictyaml.Duration(time.Duration(b.oneOf(40, 80, 120, 160)) * time.Millisecond)
	b.Backends.Queue = int(b.oneOf(8, 24, 64))
	b.Backends.Count = 1 + b.rng.IntN(int(b.oneOf(3, 8, 8, 20, 75)))
	b.Instances = 1 + b.rng.IntN(int(b.oneOf(2, 4, 8, 40)))
}

// setLoad sets the rate to a share of what the boxes can do, and the length of the day by what that asks for.
func (b *scenarioBuilder) setLoad(share float64) {
	can := float64(b.Backends.Count*b.Backends.Cores) / time.Duration(b.Backends.Work).Seconds()
	b.Rate = math.Round(min(maxRate, max(2, share*can)))
	b.Seconds = math.Round(min(b.Seconds, max(6, maxRequests/b.Rate)))
}

// drawSlowStart draws how boxes start, such that it takes some requests to push one over.
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

// portion is a tenth, a half or all of the boxes, one at least.
func (b *scenarioBuilder) portion() int {
	return max(1, int(math.Round(float64(b.Backends.Count)*b.oneOf(0.1, 0.5, 0.5, 1))))
}

// boundWork bounds the work of a request, so that it takes some to push a cold box over.
func (s *Script) boundWork() {
	c := s.SlowStart
	if c.OverloadFactor == 0 {
		return
	}
	most := c.OverloadFactor * c.Share * float64(s.Backends.Cores) * time.Duration(c.OverloadTime).Seconds() / minRequestsToCollapse
	s.Backends.Work = strictyaml.Duration(min(time.Duration(s.Backends.Work), time.Duration(most*float64(time.Second)).Truncate(time.Millisecond)))
}
