// Package invariant checks the five rules on what crossed the wire: what clients asked and were answered, what boxes
// received and ran, what the list said and when. It never looks into a gateway. It is pure; sockets and virtual time
// feed the same auditor. An Auditor has one owner; facts may come in any order and are judged by Verdict.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Idempotency is what a request says of itself.
type Idempotency uint8

// The repeat classes. A keyed request's repeats are discarded by all boxes.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NotIdempotent
)

// Request is one request of a client, with an id of its own.
type Request struct {
	ID               string
	Operation        string // the same for a client's tries of one thing
	Customer         string
	Plan             string
	Idempotency      Idempotency
	Units            float64
	Work             time.Duration // that it asks of a box
	Instance         int
	SentAt           time.Duration
	Timeout          time.Duration
	Value            float64
	LateShare        float64 // share of Worth that an answer after Aim still has
	LatencyObjective time.Duration
}

// Ending says how a try ended for its client.
type Ending uint8

// The endings.
const (
	Served           Ending = iota
	Rejected                // with the promise that a retry is harmless
	Failed                  // without
	ConnectionBroken        // the connection ended without a whole answer
	NotAccepted             // the connection could not be made: nothing was accepted
	ClientTimedOut          // no answer came within the client's patience
	ClientLeft              // the client went away by itself
)

// Outcome is the end of a try.
type Outcome struct {
	ID        string
	Ending    Ending
	At        time.Duration
	Responses int // whole answers that came; more than one is a broken rule
}

// Receipt is a request whole at a box.
type Receipt struct {
	ID, Backend string
	At          time.Duration
	Instance    int           // that sent it; only its own notices of drains count, and those to AllInstances
	SentAt      time.Duration // when it was, if that is known: what a network holds up is not new
}

// Execution is a request's effect at a box.
type Execution struct {
	ID, Key, Backend string
	At               time.Duration
}

// Limits are the figures of the rules.
type Limits struct {
	DrainGrace     time.Duration
	Slack          time.Duration // for the way between where things happen and where they are noted
	KeyTTL         time.Duration
	SlowStartShare float64
	SlowStartTime  time.Duration
	OverloadFactor float64
	OverloadTime   time.Duration
	Cores          float64                 // of a box
	Ceilings       map[string]Ceiling      // by plan
	CellOf         func(box string) string // that discards a keyed request's repeats; nil: all boxes do
}

// Ceiling is a plan's hard limit.
type Ceiling struct{ Rate, Burst, Slack float64 }

// fact is something noted, to be told to a Checker in the order of times.
type fact struct {
	at    time.Duration
	order int // of facts that share a time
	apply func(*Checker)
}

// Auditor collects facts that come in any order, as from several processes.
type Auditor struct {
	limits   Limits
	facts    []fact
	requests []*Request
	ends     map[string]Outcome
}

// New begins an audit.
func New(l Limits) *Auditor { return &Auditor{limits: l, ends: map[string]Outcome{}} }

func (a *Auditor) record(at time.Duration, order int, tell func(*Checker)) {
	a.facts = append(a.facts, fact{at, order, tell})
}

// RequestSent notes a try.
func (a *Auditor) RequestSent(t Request) {
	a.requests = append(a.requests, &t)
	a.record(t.SentAt, 0, func(c *Checker) { c.RequestSent(t) })
}

// RequestEnded notes how a try ended.
func (a *Auditor) RequestEnded(e Outcome) {
	a.ends[e.ID] = e
	a.record(e.At, 3, func(c *Checker) { c.RequestEnded(e) })
}

// RequestReceived notes a request at a box.
func (a *Auditor) RequestReceived(r Receipt) {
	a.record(r.At, 1, func(c *Checker) { c.RequestReceived(r) })
}

// RequestExecuted notes an effect.
func (a *Auditor) RequestExecuted(r Execution) {
	a.record(r.At, 2, func(c *Checker) { c.RequestExecuted(r) })
}

// BackendCollapsed notes that a box fell over.
func (a *Auditor) BackendCollapsed(box string, at time.Duration) {
	a.record(at, 2, func(c *Checker) { c.BackendCollapsed(box, at) })
}

// EndpointRemoved notes that all doors were told that a box drains or is gone.
func (a *Auditor) EndpointRemoved(box string, at time.Duration) {
	a.record(at, 0, func(c *Checker) { c.EndpointRemoved(AllInstances, box, at) })
}

// EndpointListed notes that a box was listed as up.
func (a *Auditor) EndpointListed(box string, at time.Duration) {
	a.record(at, 0, func(c *Checker) { c.EndpointListed(AllInstances, box, at) })
}

// BackendStarted notes a box's cold start.
func (a *Auditor) BackendStarted(box string, at time.Duration) {
	a.record(at, 0, func(c *Checker) { c.BackendStarted(box, at) })
}

// InstanceDown notes that a door was killed, and InstanceUp that it runs again.
func (a *Auditor) InstanceDown(door int, at time.Duration) {
	a.record(at, 0, func(c *Checker) { c.InstanceDown(door, at) })
}

// InstanceUp ends InstanceDown.
func (a *Auditor) InstanceUp(door int, at time.Duration) {
	a.record(at, 0, func(c *Checker) { c.InstanceUp(door, at) })
}

// Rule is what was found about one rule.
type Rule struct {
	Name       string   `json:"name"`
	Cases      int      `json:"cases"`      // situations in which it could have been broken
	Violations []string `json:"violations"` // at most maxReported, in words
	Count      int      `json:"count"`      // of violations
	Nearest    float64  `json:"nearest"`    // the most that was made of the limit, as a share of it
	Of         string   `json:"of"`         // what the limit is
}

const maxReported = 20

func (r *Rule) violation(format string, args ...any) {
	if r.Count++; len(r.Violations) < maxReported {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// PlanSummary counts what became of a plan's tries.
type PlanSummary struct {
	Plan         string
	Requests     int `json:"Tries"`
	Served       int
	Late         int // of those served, later than their latency objective
	Rejected     int `json:"Refused"`
	Failed       int
	TimedOut     int     `json:"Lost"`
	Broken       int     `json:"Cut"`
	NotAccepted  int     `json:"NoDoor"`
	Abandoned    int     `json:"Left"`
	ValueOffered float64 `json:"WorthAsked"`  // of the operations that clients wanted
	ValueServed  float64 `json:"WorthServed"` // of them; a late response has the share that its class states

	servedShare map[string]float64 // by operation: the share of its value that was served
}

// Verdict is the outcome of an audit.
type Verdict struct {
	Rules        []Rule        `json:"rules"`
	Plans        []PlanSummary `json:"plans"`
	Violations   int           `json:"violations"`
	NotExercised []string      `json:"not_exercised"`
	// Exemptions counts the cases that a check let pass which by their facts alone could have been held against a rule.
	Exemptions map[string]int `json:"excuses,omitempty"`
}

// Verdict judges what was noted. Tries without an end are judged as if their clients had waited in vain.
func (a *Auditor) Verdict() Verdict {
	slices.SortStableFunc(a.facts, func(x, y fact) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.order, y.order)) })
	c := NewChecker(a.limits)
	var last time.Duration
	for _, f := range a.facts {
		f.apply(c)
		last = f.at
	}
	c.Overdue(last + time.Hour)
	return Judge(c, Summarize(a.requests, a.ends))
}

// Judge is a checker's verdict.
func Judge(c *Checker, plans []PlanSummary) Verdict {
	v := Verdict{Rules: c.Rules(), Plans: plans, Violations: c.Violations(), Exemptions: c.exemptions}
	for _, r := range v.Rules {
		if r.Cases == 0 {
			v.NotExercised = append(v.NotExercised, r.Name)
		}
	}
	return v
}

// bucket is what is used of a ceiling.
type bucket struct{ used, at float64 }

// add adds units at a time and returns how far the use is beyond the burst.
func (b *bucket) add(c Ceiling, at time.Duration, units float64) float64 {
	now := at.Seconds()
	b.used = max(0, b.used-(now-b.at)*c.Rate) + units
	b.at = now
	return b.used - c.Burst
}

// Summarize counts what became of tries, by plan.
func Summarize(tries []*Request, ends map[string]Outcome) []PlanSummary {
	by := map[string]*PlanSummary{}
	var names []string
	for _, t := range tries {
		p := by[t.Plan]
		if p == nil {
			p = &PlanSummary{Plan: t.Plan, servedShare: map[string]float64{}}
			by[t.Plan] = p
			names = append(names, t.Plan)
		}
		p.Requests++
		if _, known := p.servedShare[t.Operation]; !known {
			p.servedShare[t.Operation] = 0
			p.ValueOffered += t.Value
		}
		e, ok := ends[t.ID]
		if !ok {
			p.TimedOut++
			continue
		}
		switch e.Ending {
		case Served:
			p.Served++
			share := 1.0
			if e.At-t.SentAt > t.LatencyObjective {
				p.Late++
				share = t.LateShare
			}
			if had := p.servedShare[t.Operation]; share > had {
				p.servedShare[t.Operation] = share
				p.ValueServed += (share - had) * t.Value
			}
		case Rejected:
			p.Rejected++
		case Failed:
			p.Failed++
		case ConnectionBroken:
			p.Broken++
		case NotAccepted:
			p.NotAccepted++
		case ClientLeft:
			p.Abandoned++
		case ClientTimedOut:
			p.TimedOut++
		}
	}
	slices.Sort(names)
	var out []PlanSummary
	for _, n := range names {
		out = append(out, *by[n])
	}
	return out
}
