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

func request(id string, r Idempotency) Request {
	return Request{ID: id, Operation: id, Customer: "s", Plan: "p", Idempotency: r, Units: 1, Timeout: time.Second, LatencyObjective: time.Second, Value: 1}
}

// A check that finds nothing would pass every run. For each rule there are runs that keep it, in which the check must find
// nothing, and runs that break it, in which it must count each violation once.
func TestCheckerFindsViolationsOfEachRule(t *testing.T) {
	for _, c := range []struct {
		name string
		rule int
		want int
		feed func(a *Auditor)
	}{
		{"response in time", 0, 0, func(a *Auditor) {
			a.RequestSent(request("1", Idempotent))
			a.RequestEnded(Outcome{"1", Served, 900 * ms, 1})
		}},
		{"no response", 0, 1, func(a *Auditor) { a.RequestSent(request("1", Idempotent)) }},
		{"client timed out", 0, 1, func(a *Auditor) {
			a.RequestSent(request("1", Idempotent))
			a.RequestEnded(Outcome{"1", ClientTimedOut, time.Second, 0})
		}},
		{"late response", 0, 1, func(a *Auditor) {
			a.RequestSent(request("1", Idempotent))
			a.RequestEnded(Outcome{"1", Served, 1100 * ms, 1})
		}},
		{"two responses", 0, 1, func(a *Auditor) {
			a.RequestSent(request("1", Idempotent))
			a.RequestEnded(Outcome{"1", Served, 100 * ms, 2})
		}},
		{"broken connection", 0, 1, func(a *Auditor) {
			a.RequestSent(request("1", Idempotent))
			a.RequestEnded(Outcome{"1", ConnectionBroken, 100 * ms, 0})
		}},
		{"connection broken by a killed instance", 0, 0, func(a *Auditor) {
			a.RequestSent(request("1", Idempotent))
			a.InstanceDown(0, 90*ms)
			a.RequestEnded(Outcome{"1", ConnectionBroken, 100 * ms, 0})
		}},
		{"connection broken long after its instance was killed", 0, 1, func(a *Auditor) {
			x := request("1", Idempotent)
			x.SentAt = 10 * time.Second
			a.RequestSent(x)
			a.InstanceDown(0, 90*ms)
			a.InstanceUp(0, time.Second)
			a.RequestEnded(Outcome{"1", ConnectionBroken, 10100 * ms, 0})
		}},
		{"forwarded after its final response", 0, 1, func(a *Auditor) {
			a.RequestSent(request("1", Idempotent))
			a.RequestEnded(Outcome{"1", Rejected, 100 * ms, 1})
			a.RequestReceived(Receipt{"1", "b", 300 * ms, 0, 0})
		}},
		{"non-idempotent run once", 1, 0, func(a *Auditor) {
			a.RequestSent(request("1", NotIdempotent))
			a.RequestExecuted(Execution{"1", "", "b", 1})
		}},
		{"non-idempotent run twice", 1, 1, func(a *Auditor) {
			a.RequestSent(request("1", NotIdempotent))
			a.RequestExecuted(Execution{"1", "", "b", 1})
			a.RequestExecuted(Execution{"1", "", "c", 2})
		}},
		{"non-idempotent run by two requests of one operation", 1, 1, func(a *Auditor) {
			x, y := request("1", NotIdempotent), request("2", NotIdempotent)
			y.Operation = "1"
			a.RequestSent(x)
			a.RequestSent(y)
			a.RequestExecuted(Execution{"1", "", "b", 1})
			a.RequestExecuted(Execution{"2", "", "b", 2})
		}},
		{"non-idempotent run and rejected", 1, 1, func(a *Auditor) {
			a.RequestSent(request("1", NotIdempotent))
			a.RequestExecuted(Execution{"1", "", "b", 1})
			a.RequestEnded(Outcome{"1", Rejected, 2, 1})
		}},
		{"key repeated in time", 1, 0, func(a *Auditor) {
			a.RequestSent(request("1", IdempotentByKey))
			a.RequestReceived(Receipt{"1", "b", 1, 0, 0})
			a.RequestReceived(Receipt{"1", "c", 5 * time.Second, 0, 0})
		}},
		{"key repeated after its lifetime", 1, 1, func(a *Auditor) {
			a.RequestSent(request("1", IdempotentByKey))
			a.RequestReceived(Receipt{"1", "b", 1, 0, 0})
			a.RequestReceived(Receipt{"1", "c", 7 * time.Second, 0, 0})
		}},
		{"key repeated in another cell", 1, 1, func(a *Auditor) {
			a.limits.CellOf = func(backend string) string { return backend }
			a.RequestSent(request("1", IdempotentByKey))
			a.RequestReceived(Receipt{"1", "b", 1, 0, 0})
			a.RequestReceived(Receipt{"1", "c", 2, 0, 0})
		}},
		{"sent within the drain grace", 2, 0, func(a *Auditor) { a.EndpointRemoved("b", 0); a.RequestReceived(Receipt{"1", "b", time.Second, 0, 0}) }},
		{"sent beyond the drain grace", 2, 1, func(a *Auditor) { a.EndpointRemoved("b", 0); a.RequestReceived(Receipt{"1", "b", 1100 * ms, 0, 0}) }},
		{"sent to a backend that is up again", 2, 0, func(a *Auditor) {
			a.EndpointRemoved("b", 0)
			a.record(time.Second, stateChange, func(c *Checker) { c.EndpointListed(AllInstances, "b", time.Second) })
			a.RequestReceived(Receipt{"1", "b", 3 * time.Second, 0, 0})
		}},
		{"warming backend collapsed", 3, 1, func(a *Auditor) { a.BackendStarted("b", 0); a.BackendCollapsed("b", time.Second) }},
		{"within the burst and slack", 4, 0, func(a *Auditor) { sendSchoolRequests(a, 5, 0) }},
		{"beyond the burst and slack", 4, 1, func(a *Auditor) { sendSchoolRequests(a, 6, 0) }},
		{"beyond the burst at the sustained rate", 4, 0, func(a *Auditor) { sendSchoolRequests(a, 20, 500*ms) }},
	} {
		a := New(limits())
		c.feed(a)
		v := a.Verdict()
		if got := v.Rules[c.rule].Count; got != c.want {
			t.Errorf("%s: %d violations, want %d: %v", c.name, got, c.want, v.Rules[c.rule].Violations)
		}
	}
}

// sendSchoolRequests records n requests of a customer of plan school, at the given interval. Each reaches two backends.
func sendSchoolRequests(a *Auditor, n int, gap time.Duration) {
	for i := range n {
		x := request(string(rune('a'+i)), Idempotent)
		x.Plan = "school"
		a.RequestSent(x)
		a.RequestReceived(Receipt{x.ID, "b", time.Duration(i) * gap, 0, 0})
		a.RequestReceived(Receipt{x.ID, "c", time.Duration(i) * gap, 0, 0}) // a retry uses no more units
	}
}

func TestSlowStartNearnessIsShareOfCollapseLoad(t *testing.T) {
	a := New(limits())
	a.BackendStarted("b", 0)
	for i := range 8 { // 0.8 s of work in a second; 4 x 0.2 x 2 = 1.6 s make it collapse
		x := request(string(rune('a'+i)), Idempotent)
		x.Work = 100 * ms
		a.RequestSent(x)
		a.RequestReceived(Receipt{x.ID, "b", 0, 0, 0})
	}
	if r := a.Verdict().Rules[3]; r.Cases != 1 || r.Nearest < 0.49 || r.Nearest > 0.51 {
		t.Errorf("%+v", r)
	}
}

func TestVerdictListsRulesNotExercised(t *testing.T) {
	if v := New(limits()).Verdict(); len(v.NotExercised) != 5 {
		t.Errorf("%v", v.NotExercised)
	}
}

// With too wide an exemption, an instance could break a rule unnoticed whenever the reason for the exemption applies. Each
// exempted case must be counted under its reason, and a violation in a similar situation must still be found.
func TestExemptionsAreCountedAndHideNoViolation(t *testing.T) {
	later := func(d time.Duration) Request {
		x := request("1", IdempotentByKey)
		x.SentAt, x.Timeout = d, 20*time.Second
		return x
	}
	for _, c := range []struct {
		reason              string
		exempted, violating func(a *Auditor)
	}{
		{"no answer: its door was killed or stood still",
			func(a *Auditor) {
				a.RequestSent(later(0))
				a.InstanceDown(0, 90*ms)
				a.RequestEnded(Outcome{"1", ConnectionBroken, 100 * ms, 0})
			},
			func(a *Auditor) { // sent to the new process
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
		c.exempted(a)
		c.violating(b)
		if v := a.Verdict(); v.Violations != 0 || v.Exemptions[c.reason] != 1 {
			t.Errorf("%s: %d violations, exemptions %v", c.reason, v.Violations, v.Exemptions)
		}
		if v := b.Verdict(); v.Violations == 0 {
			t.Errorf("a violation is exempted as %q", c.reason)
		}
	}
}

// A late response earns a share of its value; a response in time to a retry of the same operation earns the rest.
func TestSummaryCountsShareOfValueForLateResponses(t *testing.T) {
	first, second := request("a", Idempotent), request("b", Idempotent)
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
