package invariant

import "time"

// Rule SlowStart: a backend that has just started is not sent so much that it collapses.

// warmingBackend is a backend in its slow start, with the work that arrived within the last OverloadTime.
type warmingBackend struct {
	startedAt   time.Duration
	arrivals    []time.Duration
	arrivedWork []float64 // seconds on a warm core, by arrival
	windowWork  float64   // sum of arrivedWork
	counted     bool      // as a case of the rule
}

// BackendStarted notes a backend's cold start.
func (c *Checker) BackendStarted(backend string, at time.Duration) {
	c.warming[backend] = &warmingBackend{startedAt: at}
}

// BackendCollapsed notes that a backend collapsed under load.
func (c *Checker) BackendCollapsed(backend string, at time.Duration) {
	c.violation(SlowStart, "%s fell over at %v", backend, at)
}

// checkSlowStart compares the work that a warming backend was sent within OverloadTime with what makes it collapse. work
// is in seconds on a warm core.
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
	rule.approach(b.windowWork / (l.OverloadFactor * speed * l.Cores * l.OverloadTime.Seconds()))
}

// add notes work that arrived, and forgets what arrived at since or before.
func (b *warmingBackend) add(at time.Duration, work float64, since time.Duration) {
	b.arrivals, b.arrivedWork = append(b.arrivals, at), append(b.arrivedWork, work)
	b.windowWork += work
	for b.arrivals[0] <= since {
		b.windowWork -= b.arrivedWork[0]
		b.arrivals, b.arrivedWork = b.arrivals[1:], b.arrivedWork[1:]
	}
}

// warmShare returns the share of its warm capacity that a backend of an age has.
func (l Limits) warmShare(age time.Duration) float64 {
	return l.SlowStartShare + (1-l.SlowStartShare)*max(0, float64(age))/float64(l.SlowStartTime)
}
