// Package invariant checks the five rules on what crossed the wire: what clients asked and were answered, what backends
// received and ran, what the endpoint list said and when. It never looks into a gateway. It is pure; sockets and
// simulation feed the same checker. A Checker takes facts in the order of their times; an Auditor takes them in any order,
// as from several processes. Each has one owner.
package invariant

import (
	"cmp"
	"slices"
	"time"
)

// overdueTime is how long after the last fact the requests without an end are judged: far beyond all timeouts.
const overdueTime = time.Hour

// precedence orders facts that share a time, so that what must be known before a request is judged comes first.
type precedence int

const (
	stateChange precedence = iota // and requests as they are sent
	arrival
	effect
	ending
)

// fact is something noted, to be handed to a Checker in the order of times.
type fact struct {
	at         time.Duration
	precedence precedence
	apply      func(*Checker)
}

// Auditor collects facts that come in any order, as from several processes.
type Auditor struct {
	limits   Limits
	facts    []fact
	requests []*Request
	outcomes map[string]Outcome
}

// New begins an audit.
func New(l Limits) *Auditor { return &Auditor{limits: l, outcomes: map[string]Outcome{}} }

func (a *Auditor) record(at time.Duration, p precedence, apply func(*Checker)) {
	a.facts = append(a.facts, fact{at, p, apply})
}

// RequestSent notes that a client sent a request.
func (a *Auditor) RequestSent(r Request) {
	a.requests = append(a.requests, &r)
	a.record(r.SentAt, stateChange, func(c *Checker) { c.RequestSent(r) })
}

// RequestEnded notes how a request ended.
func (a *Auditor) RequestEnded(o Outcome) {
	a.outcomes[o.ID] = o
	a.record(o.At, ending, func(c *Checker) { c.RequestEnded(o) })
}

// RequestReceived notes a request that arrived whole at a backend.
func (a *Auditor) RequestReceived(r Receipt) {
	a.record(r.At, arrival, func(c *Checker) { c.RequestReceived(r) })
}

// RequestExecuted notes an effect at a backend.
func (a *Auditor) RequestExecuted(e Execution) {
	a.record(e.At, effect, func(c *Checker) { c.RequestExecuted(e) })
}

// BackendCollapsed notes that a backend collapsed under load.
func (a *Auditor) BackendCollapsed(backend string, at time.Duration) {
	a.record(at, effect, func(c *Checker) { c.BackendCollapsed(backend, at) })
}

// EndpointRemoved notes that all instances were notified that a backend is draining or removed.
func (a *Auditor) EndpointRemoved(backend string, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.EndpointRemoved(AllInstances, backend, at) })
}

// BackendStarted notes a backend's cold start.
func (a *Auditor) BackendStarted(backend string, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.BackendStarted(backend, at) })
}

// InstanceDown notes that an instance was killed, and InstanceUp that it runs again.
func (a *Auditor) InstanceDown(instance int, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.InstanceDown(instance, at) })
}

// InstanceUp ends InstanceDown.
func (a *Auditor) InstanceUp(instance int, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.InstanceUp(instance, at) })
}

// Verdict judges what was noted. Requests without an end are judged as if their clients had waited in vain.
func (a *Auditor) Verdict() Verdict {
	slices.SortStableFunc(a.facts, func(x, y fact) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.precedence, y.precedence))
	})
	c := NewChecker(a.limits)
	var last time.Duration
	for _, f := range a.facts {
		f.apply(c)
		last = f.at
	}
	c.Overdue(last + overdueTime)
	return Judge(c, Summarize(a.requests, a.outcomes))
}
