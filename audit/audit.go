// Package audit checks the five rules on what crossed the wire: what clients asked and were answered, what boxes
// received and ran, what the list said and when. It never looks into a gateway. It is pure; sockets and virtual time
// feed the same auditor. An Auditor has one owner; facts may come in any order and are judged by Verdict.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Repeat is what a request says of itself.
type Repeat uint8

// The repeat classes. A keyed request's repeats are discarded by all boxes.
const (
	Safe Repeat = iota
	Keyed
	Unsafe
)

// Try is one request of a client, with an id of its own.
type Try struct {
	ID       string
	Op       string // the same for a client's tries of one thing
	Studio   string
	Plan     string
	Repeat   Repeat
	Units    float64
	Work     time.Duration // that it asks of a box
	Door     int
	Asked    time.Duration
	Patience time.Duration
	Worth    float64
	Aim      time.Duration
}

// Ending says how a try ended for its client.
type Ending uint8

// The endings.
const (
	Served  Ending = iota
	Refused        // with the promise that a retry is harmless
	Failed         // without
	Cut            // the connection ended without a whole answer
	NoDoor         // the connection could not be made: nothing was accepted
	GaveUp         // no answer came within the client's patience
	Left           // the client went away by itself
)

// End is the end of a try.
type End struct {
	ID      string
	Ending  Ending
	At      time.Duration
	Answers int // whole answers that came; more than one is a broken rule
}

// Receipt is a request whole at a box.
type Receipt struct {
	ID, Box string
	At      time.Duration
}

// Run is a request's effect at a box.
type Run struct {
	ID, Key, Box string
	At           time.Duration
}

// Limits are the figures of the rules.
type Limits struct {
	DrainGrace     time.Duration
	Slack          time.Duration // for the way between where things happen and where they are noted
	KeyTTL         time.Duration
	ColdShare      float64
	ColdTime       time.Duration
	OverloadFactor float64
	OverloadTime   time.Duration
	Cores          float64                 // of a box
	Ceilings       map[string]Ceiling      // by plan
	Group          func(box string) string // that discards a keyed request's repeats; nil: all boxes do
}

// Ceiling is a plan's hard limit.
type Ceiling struct{ Rate, Burst, Slack float64 }

type span struct{ from, to time.Duration }

// Auditor collects facts.
type Auditor struct {
	limits   Limits
	tries    map[string]*Try
	order    []*Try
	ends     map[string]End
	receipts []Receipt
	runs     []Run
	fell     []Run
	gone     map[string][]span // by box: told to drain or gone, until listed as up again
	cold     []cold
	down     map[int][]span // by door
}

type cold struct {
	box string
	at  time.Duration
}

// New begins an audit.
func New(l Limits) *Auditor {
	return &Auditor{limits: l, tries: map[string]*Try{}, ends: map[string]End{}, gone: map[string][]span{}, down: map[int][]span{}}
}

// Asked notes a try.
func (a *Auditor) Asked(t Try) {
	a.tries[t.ID] = &t
	a.order = append(a.order, &t)
}

// Ended notes how a try ended.
func (a *Auditor) Ended(e End) { a.ends[e.ID] = e }

// Received notes a request at a box.
func (a *Auditor) Received(r Receipt) { a.receipts = append(a.receipts, r) }

// Ran notes an effect.
func (a *Auditor) Ran(r Run) { a.runs = append(a.runs, r) }

// Fell notes that a box fell over.
func (a *Auditor) Fell(box string, at time.Duration) {
	a.fell = append(a.fell, Run{Box: box, At: at})
}

// Unlisted notes that all doors were told that a box drains or is gone.
func (a *Auditor) Unlisted(box string, at time.Duration) {
	a.gone[box] = append(a.gone[box], span{from: at, to: -1})
}

// Listed notes that a box was listed as up.
func (a *Auditor) Listed(box string, at time.Duration) {
	if g := a.gone[box]; len(g) > 0 && g[len(g)-1].to < 0 {
		g[len(g)-1].to = at
	}
}

// Started notes a box's cold start.
func (a *Auditor) Started(box string, at time.Duration) { a.cold = append(a.cold, cold{box, at}) }

// DoorDown notes that a door was killed, and DoorUp that it runs again.
func (a *Auditor) DoorDown(door int, at time.Duration) {
	a.down[door] = append(a.down[door], span{from: at, to: -1})
}

// DoorUp ends DoorDown.
func (a *Auditor) DoorUp(door int, at time.Duration) {
	if d := a.down[door]; len(d) > 0 {
		d[len(d)-1].to = at
	}
}

// Rule is what was found about one rule.
type Rule struct {
	Name       string   `json:"name"`
	Cases      int      `json:"cases"`      // situations in which it could have been broken
	Violations []string `json:"violations"` // at most mostTold, in words
	Count      int      `json:"count"`      // of violations
	Nearest    float64  `json:"nearest"`    // the most that was made of the limit, as a share of it
	Of         string   `json:"of"`         // what the limit is
}

const mostTold = 20

func (r *Rule) broken(format string, args ...any) {
	if r.Count++; len(r.Violations) < mostTold {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// PlanTally counts what became of a plan's tries.
type PlanTally struct {
	Plan                          string
	Tries, Served, Late           int
	Refused, Failed, Lost         int
	Cut, NoDoor, Left             int
	WorthAsked, WorthServedInTime float64
	operations, inTime            map[string]bool
}

// Verdict is the outcome of an audit.
type Verdict struct {
	Rules      []Rule      `json:"rules"`
	Plans      []PlanTally `json:"plans"`
	Violations int         `json:"violations"`
	Unseen     []string    `json:"not_exercised"`
}

// Verdict judges what was noted. Tries without an end are judged as if their clients had waited in vain.
func (a *Auditor) Verdict() Verdict {
	slices.SortStableFunc(a.order, func(x, y *Try) int { return cmp.Compare(x.Asked, y.Asked) })
	slices.SortStableFunc(a.receipts, func(x, y Receipt) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(a.runs, func(x, y Run) int { return cmp.Compare(x.At, y.At) })
	v := Verdict{Rules: []Rule{a.oneAnswer(), a.noEffectTwice(), a.drains(), a.coldBoxes(), a.ceilings()}, Plans: a.plans()}
	for _, r := range v.Rules {
		v.Violations += r.Count
		if r.Cases == 0 {
			v.Unseen = append(v.Unseen, r.Name)
		}
	}
	return v
}

func (a *Auditor) wasDown(door int, from, to time.Duration) bool {
	return slices.ContainsFunc(a.down[door], func(s span) bool { return s.from <= to && (s.to < 0 || from <= s.to) })
}

// oneAnswer: what a running front door accepts gets one final answer before its client gives up, and nothing is sent
// for it after that.
func (a *Auditor) oneAnswer() Rule {
	r := Rule{Name: "no request is lost", Of: "the client's patience"}
	for _, t := range a.order {
		e, ended := a.ends[t.ID]
		until := t.Asked + t.Patience + a.limits.Slack
		switch {
		case ended && (e.Ending == NoDoor || e.Ending == Left):
			continue
		case a.wasDown(t.Door, t.Asked, min(until, max(e.At, t.Asked))) && (!ended || e.Ending == Cut || e.Ending == GaveUp):
			continue // what a killed door held is its client's to retry
		}
		r.Cases++
		switch {
		case !ended || e.Ending == GaveUp:
			r.broken("%s at door %d: no answer within %v", t.ID, t.Door, t.Patience)
		case e.Ending == Cut:
			r.broken("%s at door %d: the connection ended without a whole answer after %v", t.ID, t.Door, e.At-t.Asked)
		case e.Answers > 1:
			r.broken("%s at door %d: %d answers", t.ID, t.Door, e.Answers)
		case e.At > until:
			r.broken("%s at door %d: answered %v after its client gave up", t.ID, t.Door, e.At-t.Asked-t.Patience)
		default:
			r.Nearest = max(r.Nearest, float64(e.At-t.Asked)/float64(max(1, t.Patience)))
		}
	}
	for _, rc := range a.receipts {
		if e, ok := a.ends[rc.ID]; ok && e.Ending <= Failed && rc.At > e.At+a.limits.Slack {
			r.broken("%s reached %s %v after its final answer", rc.ID, rc.Box, rc.At-e.At)
		}
	}
	return r
}

// noEffectTwice: an unsafe thing runs once at most, and not at all if it was refused. A keyed request may reach boxes
// again only within the group that discards its repeats, and only while they still remember it: counted from where it
// was first received, which is after it was sent.
func (a *Auditor) noEffectTwice() Rule {
	r := Rule{Name: "no effect happens twice", Of: "one run, or the time that keys are remembered"}
	first := map[string]Receipt{}
	received := map[string]int{}
	for _, rc := range a.receipts {
		received[rc.ID]++
		t := a.tries[rc.ID]
		if t == nil || t.Repeat != Keyed {
			continue
		}
		o, again := first[rc.ID]
		if !again {
			first[rc.ID] = rc
			continue
		}
		r.Nearest = max(r.Nearest, float64(rc.At-o.At)/float64(max(1, a.limits.KeyTTL)))
		if rc.At > o.At+a.limits.KeyTTL+a.limits.Slack {
			r.broken("keyed %s reached %s and %v later, when its key may be forgotten, %s", rc.ID, o.Box, rc.At-o.At, rc.Box)
		}
		if g := a.limits.Group; g != nil && g(o.Box) != g(rc.Box) {
			r.broken("keyed %s reached %s and %s, which does not know the other's keys", rc.ID, o.Box, rc.Box)
		}
	}
	runs := map[string][]Run{} // by operation
	for _, run := range a.runs {
		t := a.tries[run.ID]
		if t == nil || t.Repeat != Unsafe {
			continue
		}
		for _, o := range runs[t.Op] {
			r.broken("unsafe %s ran as %s at %s and as %s at %s", t.Op, o.ID, o.Box, run.ID, run.Box)
		}
		runs[t.Op] = append(runs[t.Op], run)
		r.Nearest = max(r.Nearest, float64(len(runs[t.Op])))
		if e := a.ends[run.ID]; e.Ending == Refused {
			r.broken("unsafe %s ran at %s and was refused, which promises that a retry is harmless", run.ID, run.Box)
		}
	}
	for _, t := range a.order { // it mattered where an attempt reached a box and its client did not hear of it
		if e := a.ends[t.ID]; t.Repeat != Safe && received[t.ID] > 0 && (e.Ending != Served || received[t.ID] > 1) {
			r.Cases++
		}
	}
	return r
}

// drains: nothing new reaches a box later than the grace after the doors were told that it drains or is gone.
func (a *Auditor) drains() Rule {
	r := Rule{Name: "drains are kept", Of: "the grace"}
	for _, spans := range a.gone {
		r.Cases += len(spans)
	}
	for _, rc := range a.receipts {
		for _, s := range a.gone[rc.Box] {
			if rc.At < s.from || s.to >= 0 && rc.At >= s.to {
				continue
			}
			late := rc.At - s.from
			r.Nearest = max(r.Nearest, float64(late)/float64(max(1, a.limits.DrainGrace)))
			if late > a.limits.DrainGrace+a.limits.Slack {
				r.broken("%s reached %s %v after it was listed as draining or gone", rc.ID, rc.Box, late)
			}
		}
	}
	return r
}

// coldBoxes: a started box is not given more than a multiple of what it can do.
func (a *Auditor) coldBoxes() Rule {
	l := a.limits
	r := Rule{Name: "cold boxes are not pushed over", Of: "the load that pushes one over"}
	for _, f := range a.fell {
		r.broken("%s fell over at %v", f.Box, f.At)
	}
	if l.OverloadFactor <= 0 || l.ColdTime <= 0 {
		return r
	}
	for _, c := range a.cold {
		var at []time.Duration
		var work []float64
		sum, first := 0.0, 0
		for _, rc := range a.receipts {
			if rc.Box != c.box || rc.At < c.at || rc.At > c.at+l.ColdTime {
				continue
			}
			t := a.tries[rc.ID]
			if t == nil {
				continue
			}
			at, work = append(at, rc.At), append(work, t.Work.Seconds())
			sum += t.Work.Seconds()
			for at[first] <= rc.At-l.OverloadTime {
				sum -= work[first]
				first++
			}
			speed := l.ColdShare + (1-l.ColdShare)*float64(rc.At-c.at)/float64(l.ColdTime)
			r.Nearest = max(r.Nearest, sum/(l.OverloadFactor*speed*l.Cores*l.OverloadTime.Seconds()))
		}
		if len(at) > 0 {
			r.Cases++
		}
	}
	return r
}

// bucket is what is used of a ceiling.
type bucket struct{ used, at float64 }

// draw adds units at a time and returns how far the use is beyond the burst.
func (b *bucket) draw(c Ceiling, at time.Duration, units float64) float64 {
	now := at.Seconds()
	b.used = max(0, b.used-(now-b.at)*c.Rate) + units
	b.at = now
	return b.used - c.Burst
}

// ceilings: what all doors pass on for a studio stays under its plan's ceiling and slack. A try draws its units when
// it first reaches a box.
func (a *Auditor) ceilings() Rule {
	r := Rule{Name: "ceilings are kept", Of: "the burst and its slack"}
	asked, tested := map[string]*bucket{}, map[string]bool{}
	at := func(m map[string]*bucket, t *Try) *bucket {
		b := m[t.Studio]
		if b == nil {
			b = &bucket{}
			m[t.Studio] = b
		}
		return b
	}
	for _, t := range a.order { // a case is a studio that asked for more than its ceiling
		if c, ok := a.limits.Ceilings[t.Plan]; ok && at(asked, t).draw(c, t.Asked, t.Units) > c.Slack {
			tested[t.Studio] = true
		}
	}
	r.Cases = len(tested)
	passed, seen := map[string]*bucket{}, map[string]bool{}
	for _, rc := range a.receipts {
		t := a.tries[rc.ID]
		if t == nil || seen[rc.ID] {
			continue
		}
		seen[rc.ID] = true
		c, ok := a.limits.Ceilings[t.Plan]
		if !ok {
			continue
		}
		over := at(passed, t).draw(c, rc.At, t.Units)
		r.Nearest = max(r.Nearest, (over+c.Burst)/(c.Burst+c.Slack))
		if over > c.Slack+1e-6 {
			r.broken("%s of plan %s: %.1f units above its ceiling's %.1f at %v, slack %.1f", t.Studio, t.Plan, over, c.Burst, rc.At, c.Slack)
		}
	}
	return r
}

func (a *Auditor) plans() []PlanTally {
	by := map[string]*PlanTally{}
	var names []string
	for _, t := range a.order {
		p := by[t.Plan]
		if p == nil {
			p = &PlanTally{Plan: t.Plan, operations: map[string]bool{}, inTime: map[string]bool{}}
			by[t.Plan] = p
			names = append(names, t.Plan)
		}
		p.Tries++
		if !p.operations[t.Op] {
			p.operations[t.Op] = true
			p.WorthAsked += t.Worth
		}
		e, ok := a.ends[t.ID]
		if !ok {
			p.Lost++
			continue
		}
		switch e.Ending {
		case Served:
			p.Served++
			if e.At-t.Asked > t.Aim {
				p.Late++
			} else if !p.inTime[t.Op] {
				p.inTime[t.Op] = true
				p.WorthServedInTime += t.Worth
			}
		case Refused:
			p.Refused++
		case Failed:
			p.Failed++
		case Cut:
			p.Cut++
		case NoDoor:
			p.NoDoor++
		case Left:
			p.Left++
		case GaveUp:
			p.Lost++
		}
	}
	slices.Sort(names)
	var out []PlanTally
	for _, n := range names {
		out = append(out, *by[n])
	}
	return out
}
