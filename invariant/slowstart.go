package invariant

import "time"

// Rule SlowStart: a backend in its slow start is not sent so much work that it collapses.

// warmingBackend is a backend in its slow start, with the work that it received within the last OverloadTime.
type warmingBackend struct {
	startedAt   time.Duration
	arrivals    []time.Duration
	arrivedWork []float64 // seconds on a warm core, by arrival
	windowWork  float64   // sum of arrivedWork
	counted     bool      // in Rule.Cases
}

// BackendStarted records that a backend started and is in slow start.
func (c *Checker) BackendStarted(backend string, at time.Duration) {
	c.warming[backend] = &warmingBackend{startedAt: at}
}

// BackendCollapsed records that a backend collapsed under load.
func (c *Checker) BackendCollapsed(backend string, at time.Duration) {
	c.violation(SlowStart, "%s fell over at %v", backend, at)
}

// checkSlowStart compares the work that a warming backend received within OverloadTime with the work that makes it collapse.
// work is in seconds on a warm core.
func (c *Checker) checkSlowStart(rc Receipt, work float64) {
	l, b := c.limits, c.warming[rc.Backend]
	if b == nil || l.OverloadFactor <= 0 || l.SlowStartTime <= 0 || rc.At > b.startedAt+l.SlowStartTime {
		return
	}
	rule := &c.rules[SlowStart]
	if !b.counted {
		b.counted = true
		rule.Cases++
	}
	b.add(rc.At, work, rc.At-l.OverloadTime)
	speed := (l.warmShare(rc.At-b.startedAt) + l.warmShare(rc.At-l.OverloadTime-b.startedAt)) / 2
	rule.noteLimitUse(b.windowWork / (l.OverloadFactor * speed * l.Cores * l.OverloadTime.Seconds()))
}

// add adds work that arrived, and drops the work that arrived no later than since.
func (b *warmingBackend) add(at time.Duration, work float64, since time.Duration) {
	b.arrivals, b.arrivedWork = append(b.arrivals, at), append(b.arrivedWork, work)
	b.windowWork += work
	for b.arrivals[0] <= since {
		b.windowWork -= b.arrivedWork[0]
		b.arrivals, b.arrivedWork = b.arrivals[1:], b.arrivedWork[1:]
	}
}

// warmShare returns which share of its warm capacity a backend has at an age.
func (l Limits) warmShare(age time.Duration) float64 {
	return l.SlowStartShare + (1-l.SlowStartShare)*max(0, float64(age))/float64(l.SlowStartTime)
}
