// Package invariant checks the five rules (OneResponse to Ceilings) against the traffic on the wire: the requests and responses
// of clients, the requests that backends received and executed, and the changes of the endpoint list with their times. It never
// reads the state of a gateway. It does no I/O; runs on sockets and simulated runs use the same checker. A Checker takes facts in
// the order of their times. An Auditor takes them in any order, as several processes deliver them. Neither is safe for concurrent
// use.
package invariant

import (
	"cmp"
	"slices"
	"time"
)

// unansweredTimeout is how long after the last fact the requests without an end count as timed out. It is far longer than all
// client timeouts.
const unansweredTimeout = time.Hour

// precedence orders facts of the same time, so that facts on which the judgement of a request depends come first.
type precedence int

const (
	stateChange precedence = iota // also the sending of a request
	arrival
	effect
	ending
)

// fact is a recorded event that is passed to a Checker in the order of times.
type fact struct {
	at         time.Duration
	precedence precedence
	apply      func(*Checker)
}

// Auditor collects facts in any order, as several processes deliver them.
type Auditor struct {
	limits   Limits
	facts    []fact
	requests []*Request
	outcomes map[string]Outcome
}

// New returns an empty Auditor.
func New(l Limits) *Auditor { return &Auditor{limits: l, outcomes: map[string]Outcome{}} }

func (a *Auditor) record(at time.Duration, p precedence, apply func(*Checker)) {
	a.facts = append(a.facts, fact{at, p, apply})
}

// RequestSent records that a client sent a request.
func (a *Auditor) RequestSent(r Request) {
	a.requests = append(a.requests, &r)
	a.record(r.SentAt, stateChange, func(c *Checker) { c.RequestSent(r) })
}

// RequestEnded records how a request ended.
func (a *Auditor) RequestEnded(o Outcome) {
	a.outcomes[o.ID] = o
	a.record(o.At, ending, func(c *Checker) { c.RequestEnded(o) })
}

// RequestReceived records a request that arrived complete at a backend.
func (a *Auditor) RequestReceived(r Receipt) {
	a.record(r.At, arrival, func(c *Checker) { c.RequestReceived(r) })
}

// RequestExecuted records an effect at a backend.
func (a *Auditor) RequestExecuted(e Execution) {
	a.record(e.At, effect, func(c *Checker) { c.RequestExecuted(e) })
}

// BackendCollapsed records that a backend collapsed under load.
func (a *Auditor) BackendCollapsed(backend string, at time.Duration) {
	a.record(at, effect, func(c *Checker) { c.BackendCollapsed(backend, at) })
}

// EndpointRemoved records that all instances were notified that a backend is draining or removed.
func (a *Auditor) EndpointRemoved(backend string, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.EndpointRemoved(AllInstances, backend, at) })
}

// BackendStarted records that a backend started and is in slow start.
func (a *Auditor) BackendStarted(backend string, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.BackendStarted(backend, at) })
}

// InstanceDown records that an instance was killed.
func (a *Auditor) InstanceDown(instance int, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.InstanceDown(instance, at) })
}

// InstanceUp records that an instance that was down runs again.
func (a *Auditor) InstanceUp(instance int, at time.Duration) {
	a.record(at, stateChange, func(c *Checker) { c.InstanceUp(instance, at) })
}

// Verdict judges the recorded facts. Requests without an end are judged as if their clients had timed out.
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
	c.TimeOutUnanswered(last + unansweredTimeout)
	return Judge(c, Summarize(a.requests, a.outcomes))
}
