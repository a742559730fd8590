package invariant

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func limits() Limits {
	return Limits{DrainGrace: time.Second, Slack: 50 * ms, KeyTTL: 6 * time.Second, SlowStartShare: 0.2, SlowStartTime: 10 * time.Second,
		OverloadFactor: 4, OverloadTime: time.Second, Cores: 2, Ceilings: map[string]Ceiling{"school": {Rate: 2, Burst: 4, Slack: 1}}}
}

func try(id string, r Idempotency) Request {
	return Request{ID: id, Operation: id, Customer: "s", Plan: "p", Idempotency: r, Units: 1, Timeout: time.Second, LatencyObjective: time.Second, Value: 1}
}

// TestEachRuleCanBreak: for each rule, a run that keeps it and runs that break it.
func TestEachRuleCanBreak(t *testing.T) {
	for _, c := range []struct {
		name string
		rule int
		want int
		feed func(a *Auditor)
	}{
		{"answered", 0, 0, func(a *Auditor) {
			a.RequestSent(try("1", Idempotent))
			a.RequestEnded(Outcome{"1", Served, 900 * ms, 1})
		}},
		{"never answered", 0, 1, func(a *Auditor) { a.RequestSent(try("1", Idempotent)) }},
		{"gave up", 0, 1, func(a *Auditor) {
			a.RequestSent(try("1", Idempotent))
			a.RequestEnded(Outcome{"1", ClientTimedOut, time.Second, 0})
		}},
		{"late", 0, 1, func(a *Auditor) {
			a.RequestSent(try("1", Idempotent))
			a.RequestEnded(Outcome{"1", Served, 1100 * ms, 1})
		}},
		{"twice", 0, 1, func(a *Auditor) {
			a.RequestSent(try("1", Idempotent))
			a.RequestEnded(Outcome{"1", Served, 100 * ms, 2})
		}},
		{"cut", 0, 1, func(a *Auditor) {
			a.RequestSent(try("1", Idempotent))
			a.RequestEnded(Outcome{"1", ConnectionBroken, 100 * ms, 0})
		}},
		{"cut by a killed door", 0, 0, func(a *Auditor) {
			a.RequestSent(try("1", Idempotent))
			a.InstanceDown(0, 90*ms)
			a.RequestEnded(Outcome{"1", ConnectionBroken, 100 * ms, 0})
		}},
		{"cut long after a door was killed", 0, 1, func(a *Auditor) {
			x := try("1", Idempotent)
			x.SentAt = 10 * time.Second
			a.RequestSent(x)
			a.InstanceDown(0, 90*ms)
			a.InstanceUp(0, time.Second)
			a.RequestEnded(Outcome{"1", ConnectionBroken, 10100 * ms, 0})
		}},
		{"sent after its answer", 0, 1, func(a *Auditor) {
			a.RequestSent(try("1", Idempotent))
			a.RequestEnded(Outcome{"1", Rejected, 100 * ms, 1})
			a.RequestReceived(Receipt{"1", "b", 300 * ms, 0, 0})
		}},
		{"unsafe once", 1, 0, func(a *Auditor) {
			a.RequestSent(try("1", NotIdempotent))
			a.RequestExecuted(Execution{"1", "", "b", 1})
		}},
		{"unsafe twice", 1, 1, func(a *Auditor) {
			a.RequestSent(try("1", NotIdempotent))
			a.RequestExecuted(Execution{"1", "", "b", 1})
			a.RequestExecuted(Execution{"1", "", "c", 2})
		}},
		{"unsafe by two tries", 1, 1, func(a *Auditor) {
			x, y := try("1", NotIdempotent), try("2", NotIdempotent)
			y.Operation = "1"
			a.RequestSent(x)
			a.RequestSent(y)
			a.RequestExecuted(Execution{"1", "", "b", 1})
			a.RequestExecuted(Execution{"2", "", "b", 2})
		}},
		{"unsafe ran and refused", 1, 1, func(a *Auditor) {
			a.RequestSent(try("1", NotIdempotent))
			a.RequestExecuted(Execution{"1", "", "b", 1})
			a.RequestEnded(Outcome{"1", Rejected, 2, 1})
		}},
		{"keyed again in time", 1, 0, func(a *Auditor) {
			a.RequestSent(try("1", IdempotentByKey))
			a.RequestReceived(Receipt{"1", "b", 1, 0, 0})
			a.RequestReceived(Receipt{"1", "c", 5 * time.Second, 0, 0})
		}},
		{"keyed after its time", 1, 1, func(a *Auditor) {
			a.RequestSent(try("1", IdempotentByKey))
			a.RequestReceived(Receipt{"1", "b", 1, 0, 0})
			a.RequestReceived(Receipt{"1", "c", 7 * time.Second, 0, 0})
		}},
		{"keyed outside its group", 1, 1, func(a *Auditor) {
			a.limits.CellOf = func(box string) string { return box }
			a.RequestSent(try("1", IdempotentByKey))
			a.RequestReceived(Receipt{"1", "b", 1, 0, 0})
			a.RequestReceived(Receipt{"1", "c", 2, 0, 0})
		}},
		{"within the grace", 2, 0, func(a *Auditor) { a.EndpointRemoved("b", 0); a.RequestReceived(Receipt{"1", "b", time.Second, 0, 0}) }},
		{"beyond the grace", 2, 1, func(a *Auditor) { a.EndpointRemoved("b", 0); a.RequestReceived(Receipt{"1", "b", 1100 * ms, 0, 0}) }},
		{"listed again", 2, 0, func(a *Auditor) {
			a.EndpointRemoved("b", 0)
			a.EndpointListed("b", time.Second)
			a.RequestReceived(Receipt{"1", "b", 3 * time.Second, 0, 0})
		}},
		{"fell over", 3, 1, func(a *Auditor) { a.BackendStarted("b", 0); a.BackendCollapsed("b", time.Second) }},
		{"under the ceiling", 4, 0, func(a *Auditor) { school(a, 5, 0) }},
		{"over the ceiling", 4, 1, func(a *Auditor) { school(a, 6, 0) }},
		{"over it slowly", 4, 0, func(a *Auditor) { school(a, 20, 500*ms) }},
	} {
		a := New(limits())
		c.feed(a)
		v := a.Verdict()
		if got := v.Rules[c.rule].Count; got != c.want {
			t.Errorf("%s: %d violations, want %d: %v", c.name, got, c.want, v.Rules[c.rule].Violations)
		}
	}
}

func school(a *Auditor, n int, gap time.Duration) {
	for i := range n {
		x := try(string(rune('a'+i)), Idempotent)
		x.Plan = "school"
		a.RequestSent(x)
		a.RequestReceived(Receipt{x.ID, "b", time.Duration(i) * gap, 0, 0})
		a.RequestReceived(Receipt{x.ID, "c", time.Duration(i) * gap, 0, 0}) // a second attempt draws nothing
	}
}

func TestColdNearest(t *testing.T) {
	a := New(limits())
	a.BackendStarted("b", 0)
	for i := range 8 { // 0.8 s of work in a second, where 4 x 0.2 x 2 = 1.6 s pushes it over
		x := try(string(rune('a'+i)), Idempotent)
		x.Work = 100 * ms
		a.RequestSent(x)
		a.RequestReceived(Receipt{x.ID, "b", 0, 0, 0})
	}
	if r := a.Verdict().Rules[3]; r.Cases != 1 || r.Nearest < 0.49 || r.Nearest > 0.51 {
		t.Errorf("%+v", r)
	}
}

func TestUnseen(t *testing.T) {
	if v := New(limits()).Verdict(); len(v.NotExercised) != 5 {
		t.Errorf("%v", v.NotExercised)
	}
}

// TestExcuses: what a check lets pass by a reason is counted under it, and a front door that hides behind the reason is
// found all the same.
func TestExcuses(t *testing.T) {
	later := func(d time.Duration) Request {
		x := try("1", IdempotentByKey)
		x.SentAt, x.Timeout = d, 20*time.Second
		return x
	}
	for _, c := range []struct {
		reason         string
		excused, hides func(a *Auditor)
	}{
		{"no answer: its door was killed or stood still",
			func(a *Auditor) {
				a.RequestSent(later(0))
				a.InstanceDown(0, 90*ms)
				a.RequestEnded(Outcome{"1", ConnectionBroken, 100 * ms, 0})
			},
			func(a *Auditor) { // asked of the process after
				a.InstanceDown(0, 90*ms)
				a.InstanceUp(0, 100*ms)
				a.RequestSent(later(200 * ms))
				a.RequestEnded(Outcome{"1", ConnectionBroken, 300 * ms, 0})
			}},
		{"received after a grace: sent before",
			func(a *Auditor) {
				a.EndpointRemoved("b", 0)
				a.RequestReceived(Receipt{"1", "b", 2 * time.Second, 0, 500 * ms})
			},
			func(a *Auditor) {
				a.EndpointRemoved("b", 0)
				a.RequestReceived(Receipt{"1", "b", 2 * time.Second, 0, 0})
			}},
		{"received after the final answer: sent before",
			func(a *Auditor) {
				a.RequestSent(later(0))
				a.RequestEnded(Outcome{"1", Rejected, 100 * ms, 1})
				a.RequestReceived(Receipt{"1", "b", time.Second, 0, 50 * ms})
			},
			func(a *Auditor) {
				a.RequestSent(later(0))
				a.RequestEnded(Outcome{"1", Rejected, 100 * ms, 1})
				a.RequestReceived(Receipt{"1", "b", time.Second, 0, 500 * ms})
			}},
		{"keyed repeat after its key's time: sent before",
			func(a *Auditor) {
				a.RequestSent(later(0))
				a.RequestReceived(Receipt{"1", "b", 100 * ms, 0, 90 * ms})
				a.RequestReceived(Receipt{"1", "c", 7 * time.Second, 0, 5 * time.Second})
				a.RequestEnded(Outcome{"1", Served, 8 * time.Second, 1})
			},
			func(a *Auditor) {
				a.RequestSent(later(0))
				a.RequestReceived(Receipt{"1", "b", 100 * ms, 0, 90 * ms})
				a.RequestReceived(Receipt{"1", "c", 7 * time.Second, 0, 6500 * ms})
				a.RequestEnded(Outcome{"1", Served, 8 * time.Second, 1})
			}},
		{"no answer: its client left",
			func(a *Auditor) { a.RequestSent(later(0)); a.RequestEnded(Outcome{"1", ClientLeft, time.Second, 0}) },
			func(a *Auditor) {
				a.RequestSent(later(0))
				a.RequestEnded(Outcome{"1", ClientTimedOut, 20 * time.Second, 0})
			}},
	} {
		a, b := New(limits()), New(limits())
		c.excused(a)
		c.hides(b)
		if v := a.Verdict(); v.Violations != 0 || v.Exemptions[c.reason] != 1 {
			t.Errorf("%s: %d violations, excuses %v", c.reason, v.Violations, v.Exemptions)
		}
		if v := b.Verdict(); v.Violations == 0 {
			t.Errorf("a door hides behind %q", c.reason)
		}
	}
}

// A late answer has a share of the worth; an answer in time to a later try has the rest.
func TestTallyLateShare(t *testing.T) {
	first, second := try("a", Idempotent), try("b", Idempotent)
	first.Operation, second.Operation = "o", "o"
	first.Value, second.Value, first.LateShare, second.LateShare = 4, 4, 0.25, 0.25
	ends := map[string]Outcome{"a": {Ending: Served, At: first.LatencyObjective + 1}}
	if p := Summarize([]*Request{&first, &second}, ends)[0]; p.ValueOffered != 4 || p.ValueServed != 1 || p.Late != 1 {
		t.Errorf("late: %+v", p)
	}
	ends["b"] = Outcome{Ending: Served, At: second.LatencyObjective}
	if p := Summarize([]*Request{&first, &second}, ends)[0]; p.ValueOffered != 4 || p.ValueServed != 4 {
		t.Errorf("late, then in time: %+v", p)
	}
}
