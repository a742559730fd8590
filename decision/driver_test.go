package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// driver is the owner of one gateway: it keeps the time, fires timers and records the actions. Attempts end only when a
// test ends them.
type driver struct {
	t             *testing.T
	gateway       *decision.Gateway
	now           time.Duration
	timers        []decision.SetTimer
	actions       []decision.Action
	nextRequest   decision.RequestID
	attemptsEnded map[decision.RequestID]int
	counter       counterFunc // replies to calls at once; nil: calls get no reply
}

// startDriver starts a gateway and gives it a cached endpoint list.
func startDriver(t *testing.T, settings decision.Settings, at time.Duration, endpoints ...decision.Endpoint) *driver {
	t.Helper()
	return startSeeded(t, settings, 1, at, endpoints)
}

func startSeeded(t *testing.T, settings decision.Settings, seed uint64, at time.Duration, endpoints []decision.Endpoint) *driver {
	t.Helper()
	gateway, first, err := decision.New(settings, seed, at)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, gateway: gateway, now: at, nextRequest: 1, attemptsEnded: map[decision.RequestID]int{}}
	d.record(first)
	d.handle(decision.EndpointsChanged{Full: true, Cached: true, Endpoints: endpoints})
	return d
}

// record stores the actions and the timers among them.
func (d *driver) record(actions []decision.Action) []decision.Action {
	for _, a := range actions {
		if t, ok := a.(decision.SetTimer); ok {
			d.timers = append(d.timers, t)
		}
	}
	d.actions = append(d.actions, actions...)
	return actions
}

// handle passes an event to the gateway and returns its actions, followed by the actions that replies of the counter
// led to.
func (d *driver) handle(e decision.Event) []decision.Action {
	actions := d.record(d.gateway.Handle(e, d.now))
	for i := 0; i < len(actions) && d.counter != nil; i++ {
		if a, ok := actions[i].(decision.AddToCounter); ok {
			o, total := d.counter(a)
			actions = append(actions, d.record(d.gateway.Handle(decision.CounterReplied{Name: a.Name, Outcome: o, Total: total}, d.now))...)
		}
	}
	return actions
}

// advanceTo advances the time and fires timers in order.
func (d *driver) advanceTo(at time.Duration) {
	for {
		first := -1
		for i, t := range d.timers {
			if t.At <= at && (first < 0 || t.At < d.timers[first].At) {
				first = i
			}
		}
		if first < 0 {
			d.now = at
			return
		}
		t := d.timers[first]
		d.timers = append(d.timers[:first], d.timers[first+1:]...)
		d.now = max(d.now, t.At)
		d.handle(decision.TimerFired{Timer: t.Timer})
	}
}

// advance advances the time by elapsed.
func (d *driver) advance(elapsed time.Duration) { d.advanceTo(d.now + elapsed) }

// request sends a request to the gateway. sent is false if the gateway did not send an attempt at once.
func (d *driver) request(customer string, class decision.ClassID, spread int) (id decision.RequestID, backend decision.BackendID, sent bool) {
	id = d.nextRequest
	d.nextRequest++
	for _, a := range d.handle(decision.RequestArrived{Request: id, Class: class, Customer: customer, TimeLeft: 2 * time.Second,
		Units: 1, Spread: spread}) {
		if a, ok := a.(decision.SendAttempt); ok {
			return id, a.Backend, true
		}
	}
	return id, 0, false
}

// endAttempt ends the latest attempt of a request.
func (d *driver) endAttempt(id decision.RequestID, backend decision.BackendID, o decision.Outcome) []decision.Action {
	n := d.attemptsEnded[id]
	d.attemptsEnded[id]++
	return d.handle(decision.AttemptEnded{Request: id, Attempt: n, Backend: backend, Outcome: o, Answered: o == decision.OK})
}

// upEndpoints lists backends that are up and started long ago.
func upEndpoints(ids ...decision.BackendID) (out []decision.Endpoint) {
	for _, id := range ids {
		out = append(out, decision.Endpoint{Backend: id, Weight: 1})
	}
	return out
}

// basicSettings returns settings with an idempotent class, one that is not idempotent, and one that is idempotent by
// key, and with a plan that no test exceeds by accident.
func basicSettings() decision.Settings {
	return decision.Settings{
		Instances: 1, MaxAttempts: 3, Cancel: true, Counter: true, DrainGrace: time.Second,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, OverloadFactor: 4, OverloadTime: time.Second,
		Classes: []decision.Class{
			{Idempotency: decision.Idempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Idempotency: decision.NotIdempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2},
			{Idempotency: decision.IdempotentByKey, KeyScope: decision.KeyScopeZone, KeyTTL: time.Second, LatencyObjective: time.Second,
				Deadline: 2 * time.Second, PriorityWeight: 1, LateShare: 0.5},
		},
		Plans: []decision.Plan{{Rate: 1000, Burst: 1000, WeightFactor: 1}},
	}
}

// countActions counts the actions of one type.
func countActions[A decision.Action](actions []decision.Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

// sendRequests sends n requests of a class at a constant rate and returns the number of attempts at each backend.
// behave returns the latency and the outcome of an attempt; if the latency is zero, the attempt never ends.
func sendRequests(driver *driver, class decision.ClassID, n int, gap time.Duration,
	behave func(backend decision.BackendID) (time.Duration, decision.Outcome)) map[decision.BackendID]int {
	type attempt struct {
		request decision.RequestID
		backend decision.BackendID
		endsAt  time.Duration
		outcome decision.Outcome
	}
	var inFlight []attempt
	got := map[decision.BackendID]int{}
	for range n {
		driver.advance(gap)
		for i := 0; i < len(inFlight); i++ {
			if a := inFlight[i]; a.endsAt <= driver.now {
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				i--
				driver.endAttempt(a.request, a.backend, a.outcome)
			}
		}
		if id, backend, ok := driver.request("a", class, 1); ok {
			got[backend]++
			if took, o := behave(backend); took > 0 {
				inFlight = append(inFlight, attempt{id, backend, driver.now + took, o})
			}
		}
	}
	return got
}

// answersIn50ms is the behavior of a healthy backend.
func answersIn50ms() (time.Duration, decision.Outcome) { return 50 * time.Millisecond, decision.OK }

// counterFunc implements the shared counter: it returns the outcome of a call and the total.
type counterFunc func(decision.AddToCounter) (decision.Outcome, float64)

func timesOut(decision.AddToCounter) (decision.Outcome, float64) { return decision.TimedOut, 0 }

func unreachable(decision.AddToCounter) (decision.Outcome, float64) { return decision.ConnectFailed, 0 }

// onlyCaller returns a counter that no other instance adds to.
func onlyCaller() counterFunc { return counterWithFactor(1) }

// othersUseTheSame returns a counter to which the other instances add as much as this one.
func othersUseTheSame() counterFunc { return counterWithFactor(2) }

// counterWithFactor returns a counter to which all instances together add factor times the amounts of this one.
func counterWithFactor(factor float64) counterFunc {
	totals := map[string]float64{}
	return func(a decision.AddToCounter) (decision.Outcome, float64) {
		totals[a.Name] += factor * a.Amount
		return decision.OK, totals[a.Name]
	}
}

// sharedCounter is a counter that several drivers share.
type sharedCounter map[string]float64

func (c sharedCounter) add(a decision.AddToCounter) (decision.Outcome, float64) {
	c[a.Name] += a.Amount
	return decision.OK, c[a.Name]
}

// startInstances starts n instances with the same settings, endpoints and counter.
func startInstances(t *testing.T, n int, settings decision.Settings, at time.Duration, counter counterFunc, endpoints ...decision.Endpoint) []*driver {
	t.Helper()
	settings.Instances = n
	instances := make([]*driver, n)
	for i := range instances {
		settings.Self = i
		instances[i] = startSeeded(t, settings, uint64(i+1), at, endpoints)
		instances[i].counter = counter
	}
	return instances
}
