package decision_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"sandyard/decision"
)

// bench drives one gateway by hand: it keeps the time, fires timers and remembers what was done.
type bench struct {
	t      *testing.T
	g      *decision.Gateway
	now    time.Duration
	timers []decision.SetTimer
	did    []decision.Action
	next   decision.RequestID
	tries  map[decision.RequestID]int
	// counter, if set, answers calls at once
	counter func(decision.AddToCounter) (decision.Outcome, float64)
}

func start(t *testing.T, set decision.Settings, at time.Duration, servers ...decision.Endpoint) *bench {
	t.Helper()
	g, first, err := decision.New(set, 1, at)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, g: g, now: at, next: 1, tries: map[decision.RequestID]int{}}
	b.take(first)
	b.tell(decision.EndpointsChanged{Full: true, Cached: true, Endpoints: servers})
	return b
}

func (b *bench) take(actions []decision.Action) []decision.Action {
	for _, a := range actions {
		if t, ok := a.(decision.SetTimer); ok {
			b.timers = append(b.timers, t)
		}
	}
	b.did = append(b.did, actions...)
	return actions
}

func (b *bench) tell(e decision.Event) []decision.Action {
	did := b.take(b.g.Handle(e, b.now))
	for i := 0; i < len(did) && b.counter != nil; i++ {
		if a, ok := did[i].(decision.AddToCounter); ok {
			o, total := b.counter(a)
			did = append(did, b.take(b.g.Handle(decision.CounterReplied{Name: a.Name, Outcome: o, Total: total}, b.now))...)
		}
	}
	return did
}

// until lets time pass, firing timers in order.
func (b *bench) until(at time.Duration) {
	for {
		first := -1
		for i, t := range b.timers {
			if t.At <= at && (first < 0 || t.At < b.timers[first].At) {
				first = i
			}
		}
		if first < 0 {
			b.now = at
			return
		}
		t := b.timers[first]
		b.timers = append(b.timers[:first], b.timers[first+1:]...)
		b.now = max(b.now, t.At)
		b.tell(decision.TimerFired{Timer: t.Timer})
	}
}

func (b *bench) wait(d time.Duration) { b.until(b.now + d) }

// ask brings a request and returns its id and the server it was sent to; sent is false if it was refused.
func (b *bench) ask(customer string, class decision.ClassID, spread int) (id decision.RequestID, s decision.BackendID, sent bool) {
	id = b.next
	b.next++
	for _, a := range b.tell(decision.RequestArrived{Request: id, Class: class, Customer: customer, TimeLeft: 2 * time.Second,
		Units: 1, Spread: spread}) {
		if a, ok := a.(decision.SendAttempt); ok {
			return id, a.Backend, true
		}
	}
	return id, 0, false
}

// answer ends the latest attempt of a request.
func (b *bench) answer(id decision.RequestID, s decision.BackendID, o decision.Outcome) []decision.Action {
	n := b.tries[id]
	b.tries[id]++
	return b.tell(decision.AttemptEnded{Request: id, Attempt: n, Backend: s, Outcome: o, Answered: o == decision.OK})
}

func up(ids ...decision.BackendID) (out []decision.Endpoint) {
	for _, id := range ids {
		out = append(out, decision.Endpoint{Backend: id, Weight: 1})
	}
	return out
}

func basic() decision.Settings {
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

func count[A decision.Action](actions []decision.Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

func TestRetryKeepsRepeatClass(t *testing.T) {
	cases := []struct {
		name    string
		class   decision.ClassID
		outcome decision.Outcome
		send    int
		refuse  int
		fail    int
	}{
		{"safe after an error", 0, decision.BackendError, 1, 0, 0},
		{"safe after full", 0, decision.Rejected, 1, 0, 0},
		{"unsafe after full", 1, decision.Rejected, 1, 0, 0},
		{"unsafe after no connection", 1, decision.ConnectFailed, 1, 0, 0},
		{"unsafe after an error", 1, decision.BackendError, 0, 0, 1},
		{"unsafe after a reset", 1, decision.ConnectionReset, 0, 0, 1},
		{"unsafe after a time-out", 1, decision.TimedOut, 0, 0, 1},
		{"unsafe after a cancel", 1, decision.Cancelled, 0, 0, 1},
		{"unsafe never sent", 1, decision.NotSent, 1, 0, 0},
		{"keyed after an error", 2, decision.BackendError, 1, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := start(t, basic(), 0, up(1, 2, 3)...)
			id, s, _ := b.ask("a", c.class, 1)
			b.wait(20 * time.Millisecond)
			did := b.answer(id, s, c.outcome)
			if n := count[decision.SendAttempt](did); n != c.send {
				t.Errorf("%d sends, want %d", n, c.send)
			}
			if n := count[decision.Reject](did); n != c.refuse {
				t.Errorf("%d refusals, want %d", n, c.refuse)
			}
			if n := count[decision.Fail](did); n != c.fail {
				t.Errorf("%d failures, want %d", n, c.fail)
			}
		})
	}
}

func TestKeyedStaysInZoneAndTime(t *testing.T) {
	servers := []decision.Endpoint{{Backend: 1, Zone: 0}, {Backend: 2, Zone: 0}, {Backend: 3, Zone: 1}, {Backend: 4, Zone: 1}}
	zone := map[decision.BackendID]int{1: 0, 2: 0, 3: 1, 4: 1}
	for range 20 {
		b := start(t, basic(), 0, servers...)
		id, s, _ := b.ask("a", 2, 1)
		b.wait(10 * time.Millisecond)
		for _, a := range b.answer(id, s, decision.BackendError) {
			if a, ok := a.(decision.SendAttempt); ok && zone[a.Backend] != zone[s] {
				t.Fatalf("resent from zone %d to %d", zone[s], zone[a.Backend])
			}
		}
	}
	b := start(t, basic(), 0, servers...)
	id, s, _ := b.ask("a", 2, 1)
	b.wait(1500 * time.Millisecond) // the key is forgotten by now
	did := b.answer(id, s, decision.BackendError)
	if count[decision.SendAttempt](did) != 0 || count[decision.Fail](did) != 1 {
		t.Errorf("after the key's life: %v, want a failure", did)
	}
}

func TestDrainingAndGoneGetNothing(t *testing.T) {
	for _, state := range []decision.EndpointState{decision.Draining, decision.Removed} {
		b := start(t, basic(), 0, up(1, 2)...)
		id, first, _ := b.ask("a", 0, 1)
		other := 3 - first
		b.tell(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: other, State: state}}})
		for range 30 {
			if _, s, sent := b.ask("a", 0, 1); sent && s == other {
				t.Fatalf("sent to a server in state %v", state)
			}
		}
		for _, a := range b.answer(id, first, decision.Rejected) {
			if a, ok := a.(decision.SendAttempt); ok && a.Backend == other {
				t.Fatal("retried at a server that is not up")
			}
		}
	}
	b := start(t, basic(), 0, up(1, 2)...)
	b.tell(decision.EndpointsChanged{Full: true})
	if _, _, sent := b.ask("a", 0, 1); sent || count[decision.Reject](b.did) != 1 {
		t.Error("an empty list must give a prompt refusal")
	}
}

func TestDeadlineAnswersOnce(t *testing.T) {
	for class, fail := range []int{0, 1} {
		b := start(t, basic(), 0, up(1)...)
		id, s, _ := b.ask("a", decision.ClassID(class), 1)
		b.wait(2 * time.Second)
		b.answer(id, s, decision.TimedOut)
		b.answer(id, s, decision.OK) // late and doubled news
		b.tell(decision.ClientDisconnected{Request: id})
		b.wait(time.Minute)
		if r, f := count[decision.Reject](b.did), count[decision.Fail](b.did); r != 1-fail || f != fail {
			t.Errorf("class %d: %d refusals and %d failures", class, r, f)
		}
	}
}

// A begun stream belongs to the client: no deadline ends it, and no further attempt replaces it.
func TestStreamHasNoDeadline(t *testing.T) {
	set := basic()
	set.Classes[0].Stream = true
	b := start(t, set, 0, up(1, 2)...)
	id, s, _ := b.ask("a", 0, 1)
	b.tell(decision.StreamStarted{Request: id, Backend: s})
	b.did = nil
	b.wait(10 * time.Second)
	b.answer(id, s, decision.ConnectionReset)
	if n := count[decision.SendAttempt](b.did) + count[decision.CancelAttempt](b.did); n != 0 {
		t.Errorf("%d sends and cancels for a begun stream", n)
	}
	if n := count[decision.Fail](b.did) + count[decision.Reject](b.did); n != 1 {
		t.Errorf("%d answers after it broke unsettled, want 1", n)
	}
}

func TestNoCancelWhereForbidden(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := basic()
		set.Cancel = allowed
		b := start(t, set, 0, up(1)...)
		id, _, _ := b.ask("a", 0, 1)
		if n := count[decision.CancelAttempt](b.tell(decision.ClientDisconnected{Request: id})); (n == 1) != allowed {
			t.Errorf("allowed %v: %d cancels", allowed, n)
		}
	}
}

// A gateway that starts, perhaps again, does not know what its customers have drawn: of a ceiling it has the slack.
func TestCeilingAfterRestart(t *testing.T) {
	set := basic()
	set.Instances = 2
	set.Plans = []decision.Plan{{Rate: 100, Burst: 100, WeightFactor: 1, CeilingRate: 10, CeilingBurst: 50, CeilingSlack: 6}}
	b := start(t, set, time.Hour, up(1, 2, 3)...)
	b.counter = silent
	sent := 0
	for range 30 {
		if id, s, ok := b.ask("a", 0, 2); ok {
			sent++
			b.answer(id, s, decision.OK)
		}
	}
	if sent != 3 {
		t.Errorf("%d sent on at once, want the split of the slack", sent)
	}
}

// load keeps a rate of requests of one class on servers that each behave in their own way, and counts what each got.
func load(b *bench, class decision.ClassID, n int, gap time.Duration,
	behave func(s decision.BackendID) (time.Duration, decision.Outcome)) map[decision.BackendID]int {
	type out struct {
		id  decision.RequestID
		s   decision.BackendID
		due time.Duration
		o   decision.Outcome
	}
	var waiting []out
	got := map[decision.BackendID]int{}
	for range n {
		b.wait(gap)
		for i := 0; i < len(waiting); i++ {
			if w := waiting[i]; w.due <= b.now {
				waiting = append(waiting[:i], waiting[i+1:]...)
				i--
				b.answer(w.id, w.s, w.o)
			}
		}
		if id, s, ok := b.ask("a", class, 1); ok {
			got[s]++
			if took, o := behave(s); took > 0 {
				waiting = append(waiting, out{id, s, b.now + took, o})
			}
		}
	}
	return got
}

func healthy() (time.Duration, decision.Outcome) { return 50 * time.Millisecond, decision.OK }

func TestColdServerGetsItsShare(t *testing.T) {
	set := basic()
	set.SlowStartTime = time.Hour // stays at its coldest
	servers := up(1, 2, 3, 4)
	servers[3].Started = time.Hour
	b := start(t, set, time.Hour, servers...)
	got := load(b, 0, 1000, 5*time.Millisecond, func(s decision.BackendID) (time.Duration, decision.Outcome) {
		if s == 4 {
			return time.Millisecond, decision.OK // its line is always the shortest
		}
		return 300 * time.Millisecond, decision.OK
	})
	all := got[1] + got[2] + got[3] + got[4]
	if share := float64(got[4]) / float64(all); share > 3*0.2/3.2*1.1 { // drawn once in three by its warmth
		t.Errorf("cold server got %.2f of %d", share, all)
	}
}

// A fleet replaced at a stroke: the only server is cold, and must not be sent what the whole fleet is asked, but
// its share of what a warm one bore. With one that is warm nothing is turned away for it; where nothing is known
// yet, requests go out about one after the other.
func TestColdFleet(t *testing.T) {
	set := basic()
	set.SlowStartTime = time.Hour // stays at its coldest
	for _, c := range []struct {
		name        string
		known       bool
		warm        int
		least, most int
	}{{"replaced", true, 0, 150, 400}, {"one is left", true, 1, 990, 1000}, {"unknown", false, 0, 5, 100}} {
		servers := up(1, 2, 3)
		servers[0].Started = time.Hour
		b := start(t, set, time.Hour, servers[2])
		good := func(decision.BackendID) (time.Duration, decision.Outcome) { return time.Millisecond, decision.OK }
		if c.known {
			load(b, 0, 1000, 5*time.Millisecond, good)
		}
		b.tell(decision.EndpointsChanged{Full: true, Endpoints: servers[:1+c.warm]})
		got := load(b, 0, 1000, 5*time.Millisecond, good)
		if all := got[1] + got[2]; all < c.least || all > c.most {
			t.Errorf("%s: %d of 1000 were sent", c.name, all)
		}
	}
}

// Where nothing is said of what pushes a cold server over, nothing is held back.
func TestColdFleetWithoutLimit(t *testing.T) {
	for _, change := range []func(*decision.Settings){
		func(s *decision.Settings) { s.OverloadFactor = 0 },
		func(s *decision.Settings) { s.OverloadTime = 0 },
	} {
		set := basic()
		set.SlowStartTime, set.SlowStartShare = time.Hour, 0.5
		change(&set)
		servers := up(1)
		servers[0].Started = time.Hour
		b := start(t, set, time.Hour, servers...)
		got := load(b, 0, 1000, 5*time.Millisecond, func(decision.BackendID) (time.Duration, decision.Outcome) { return time.Millisecond, decision.OK })
		if got[1] < 990 {
			t.Errorf("%d of 1000 were sent", got[1])
		}
	}
}

func TestHungServerIsLeft(t *testing.T) {
	b := start(t, basic(), 0, up(1, 2, 3, 4)...)
	got := load(b, 1, 400, 100*time.Millisecond, func(s decision.BackendID) (time.Duration, decision.Outcome) {
		if s == 1 {
			return 0, decision.OK // never
		}
		return healthy()
	})
	if got[1] > 20 {
		t.Errorf("a server that answers nothing got %d of 400", got[1])
	}
}

// Errors come back at once, so the line at their server is always the shortest.
func TestFastErrorsAreLeft(t *testing.T) {
	b := start(t, basic(), 0, up(1, 2, 3, 4)...)
	got := load(b, 1, 400, 20*time.Millisecond, func(s decision.BackendID) (time.Duration, decision.Outcome) {
		if s == 1 {
			return time.Millisecond, decision.BackendError
		}
		return healthy()
	})
	if got[1] > 20 {
		t.Errorf("a server that fails fast got %d of 400", got[1])
	}
}

// Trouble that all share leaves all in use.
func TestAllFailingAlikeEjectsNobody(t *testing.T) {
	b := start(t, basic(), 0, up(1, 2, 3, 4, 5, 6)...)
	failing := func(decision.BackendID) (time.Duration, decision.Outcome) {
		return 20 * time.Millisecond, decision.BackendError
	}
	load(b, 1, 300, 30*time.Millisecond, failing)
	got := load(b, 1, 60, 30*time.Millisecond, failing)
	if len(got) < 4 { // at most 0.4 of the list is out
		t.Errorf("only %d of 6 equally failing servers are used", len(got))
	}
}

func TestQuota(t *testing.T) {
	cases := []struct {
		name     string
		plan     decision.Plan
		spread   int
		counter  func(decision.AddToCounter) (decision.Outcome, float64) // what the counter says to an add
		min, max int                                                     // of 400 requests in 10 s
	}{
		{"one gateway holds the whole", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 1, nil, 115, 121},
		{"silent counter: the split", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, silent, 55, 61},
		{"refusing counter: the split", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, refusing, 55, 61},
		{"alone at the counter: the whole", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, alone(), 100, 121},
		{"others use the same: half", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1}, 2, twice(), 40, 75},
		{"a burst smaller than the split: still a request", decision.Plan{Rate: 1, Burst: 4, WeightFactor: 1}, 11, alone(), 6, 14},
		{"soft plan: the loops decide", decision.Plan{Rate: 10, Burst: 20, WeightFactor: 1, OverQuotaValue: 0.5}, 1, nil, 350, 400},
		{"ceiling, silent counter: the slack and its split",
			decision.Plan{Rate: 100, Burst: 100, WeightFactor: 1, CeilingRate: 10, CeilingBurst: 20, CeilingSlack: 4}, 2, silent, 15, 52},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := basic()
			set.Instances = 11
			set.Plans = []decision.Plan{c.plan}
			b := start(t, set, 0, up(1, 2, 3, 4, 5, 6)...)
			b.counter = c.counter
			sent := 0
			for range 400 {
				b.wait(25 * time.Millisecond)
				if id, s, ok := b.ask("a", 0, c.spread); ok {
					sent++
					b.answer(id, s, decision.OK)
				}
			}
			if sent < c.min || sent > c.max {
				t.Errorf("%d sent on, want %d to %d", sent, c.min, c.max)
			}
		})
	}
}

func silent(decision.AddToCounter) (decision.Outcome, float64)   { return decision.TimedOut, 0 }
func refusing(decision.AddToCounter) (decision.Outcome, float64) { return decision.ConnectFailed, 0 }

func alone() func(decision.AddToCounter) (decision.Outcome, float64) { return shared(1) }
func twice() func(decision.AddToCounter) (decision.Outcome, float64) { return shared(2) }

// shared is a counter to which all gateways together add factor times what this one does.
func shared(factor float64) func(decision.AddToCounter) (decision.Outcome, float64) {
	totals := map[string]float64{}
	return func(a decision.AddToCounter) (decision.Outcome, float64) {
		totals[a.Name] += factor * a.Amount
		return decision.OK, totals[a.Name]
	}
}

// Of a ceiling no part is passed on by asking a counter that lost what it was told, until the use before has faded.
func TestCounterThatForgets(t *testing.T) {
	set := basic()
	set.Instances = 2
	set.Plans = []decision.Plan{{Rate: 36, Burst: 36, WeightFactor: 1, CeilingRate: 40, CeilingBurst: 40, CeilingSlack: 4}}
	b := start(t, set, time.Minute, up(1, 2, 3, 4)...)
	total := 0.0
	b.counter = func(a decision.AddToCounter) (decision.Outcome, float64) {
		total += a.Amount
		return decision.OK, total
	}
	letIn := func() (n int) {
		for range 40 {
			if id, s, sent := b.ask("a", 0, 2); sent {
				n++
				b.answer(id, s, decision.OK)
			}
		}
		return n
	}
	first := letIn()
	total = 0
	second := letIn()
	b.wait(time.Second) // what it fades by
	third := letIn()
	if first < 10 || second > 0 || third < 10 {
		t.Errorf("%d, then %d once the counter has forgotten, then %d", first, second, third)
	}
}

func TestBadSettings(t *testing.T) {
	for _, change := range []func(*decision.Settings){
		func(s *decision.Settings) { s.Classes = nil },
		func(s *decision.Settings) { s.Plans[0].Rate = -1 },
		func(s *decision.Settings) { s.Plans[0].Burst = math.NaN() },
		func(s *decision.Settings) { s.Classes[0].LatencyObjective = -1 },
	} {
		set := basic()
		change(&set)
		if _, _, err := decision.New(set, 1, 0); err == nil {
			t.Errorf("no error for %+v", set)
		}
	}
	set := basic()
	set.SlowStartShare, set.MaxAttempts, set.Instances, set.OverloadTime, set.SlowStartTime = 0, 0, 0, 0, 0
	set.Classes[0].LatencyObjective = 0
	b := start(t, set, 0, up(1)...)
	b.ask("a", 0, 0)
	b.wait(3 * time.Second)
}

// A line that would make an answer late is not joined by what can be refused without harm.
func TestRefusesRatherThanLate(t *testing.T) {
	b := start(t, basic(), 0, up(1, 2)...)
	for range 40 { // learn that attempts take 100 ms each
		id, s, ok := b.ask("a", 0, 1)
		b.wait(100 * time.Millisecond)
		if ok {
			b.answer(id, s, decision.OK)
		}
	}
	sent := 0
	for range 200 { // at one stroke
		if _, _, ok := b.ask("a", 0, 1); ok {
			sent++
		}
	}
	if sent < 4 || sent > 20 {
		t.Errorf("%d begun at once at two servers of 100 ms a place with an aim of 1 s", sent)
	}
}

// The way to servers that are far is not taken for load, and what they wait for is.
func TestFarServersAreNotLoaded(t *testing.T) {
	for _, c := range []struct {
		way  time.Duration
		took time.Duration
		all  bool
	}{{0, 600 * time.Millisecond, false}, {550 * time.Millisecond, 600 * time.Millisecond, true}, {50 * time.Millisecond, 600 * time.Millisecond, false},
		{time.Hour, 600 * time.Millisecond, true}, {-time.Hour, 600 * time.Millisecond, false}} {
		set := basic()
		set.Classes[0].Idempotency = decision.NotIdempotent
		b := start(t, set, 0, up(1, 2)...)
		refused := 0
		for i := range 60 {
			id, s, ok := b.ask(fmt.Sprint("c", i), 0, 1)
			b.wait(c.took)
			if ok {
				b.tell(decision.AttemptEnded{Request: id, Backend: s, Outcome: decision.OK, Latency: c.took, RoundTrip: c.way})
			} else {
				refused++
			}
		}
		if c.all != (refused == 0) {
			t.Errorf("%d of 60 refused, one at a time, of %v each, %v of them the way", refused, c.took, c.way)
		}
	}
}

// Under lasting overload the cheaper plan is cut and the dearer one is not.
func TestLowerWorthIsCutFirst(t *testing.T) {
	set := basic()
	set.Plans = slices.Repeat([]decision.Plan{{Rate: 1000, Burst: 1000}}, 4)
	for i := range set.Plans {
		set.Plans[i].WeightFactor = float64(i + 1)
	}
	b := start(t, set, 0, up(1, 2)...)
	type out struct {
		id  decision.RequestID
		s   decision.BackendID
		due time.Duration
	}
	var line []out
	free := b.now
	sent, asked := [4]float64{}, [4]float64{}
	for i := range 4000 { // 100 a second, of which the servers can do 60
		b.wait(10 * time.Millisecond)
		for len(line) > 0 && line[0].due <= b.now {
			b.answer(line[0].id, line[0].s, decision.OK)
			line = line[1:]
		}
		plan := i % 4
		id := b.next
		b.next++
		asked[plan]++
		for _, a := range b.tell(decision.RequestArrived{Request: id, Plan: decision.PlanID(plan), TimeLeft: 2 * time.Second,
			Customer: fmt.Sprint("c", i%200), Units: 1, Spread: 1}) {
			if a, ok := a.(decision.SendAttempt); ok {
				sent[plan]++
				free = max(free, b.now) + 16*time.Millisecond
				line = append(line, out{id, a.Backend, max(free, b.now+100*time.Millisecond)})
			}
		}
	}
	if sent[3] < 0.75*asked[3] || sent[0] > 0.5*asked[0] || sent[0] > 0.6*sent[1] {
		t.Errorf("admitted %v, cheapest first, of %v", sent, asked)
	}
}

func TestSubscribesAgain(t *testing.T) {
	set := basic()
	set.Subscribe = true
	b := start(t, set, 0)
	b.wait(time.Second)
	if n := count[decision.WatchEndpoints](b.did); n != 1 {
		t.Fatalf("%d subscriptions at the start", n)
	}
	if n := count[decision.WatchEndpoints](b.tell(decision.EndpointsChanged{Failed: true})); n != 0 {
		t.Errorf("asked again at once")
	}
	b.wait(time.Second)
	if n := count[decision.WatchEndpoints](b.did); n != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", n)
	}
}

// A customer whose requests were all refused hears nothing of the counter; it must get its share again.
func TestRefusedCustomerIsHeardAgain(t *testing.T) {
	set := basic()
	set.Instances = 2
	set.Plans = []decision.Plan{{Rate: 10, Burst: 10, WeightFactor: 1}}
	b := start(t, set, 0, up(1, 2, 3)...)
	seen, late, spike := 0, 0, 300.0
	for b.now < 20*time.Second {
		b.wait(25 * time.Millisecond)
		for ; seen < len(b.did); seen++ {
			if a, ok := b.did[seen].(decision.AddToCounter); ok { // once, the others used very much
				b.tell(decision.CounterReplied{Name: a.Name, Total: a.Amount + spike})
				spike = 0
			}
		}
		if id, s, ok := b.ask("a", 0, 2); ok {
			b.answer(id, s, decision.OK)
			if b.now > 10*time.Second {
				late++
			}
		}
	}
	if late < 40 {
		t.Errorf("%d sent on in 10 s, want at least the split of 50", late)
	}
}

func TestOpenCapCountsOthers(t *testing.T) {
	cases := []struct {
		name      string
		elsewhere float64
		want      int
	}{{"nobody else", 0, 3}, {"two out elsewhere", 2, 1}, {"the cap reached elsewhere", 3, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := basic()
			set.Instances = 2
			set.Plans = []decision.Plan{{MaxInFlight: 3, WeightFactor: 1}}
			b := start(t, set, time.Minute, up(1, 2, 3)...)
			total := c.elsewhere
			scale := 0.0 // what one attempt counts as
			b.counter = func(a decision.AddToCounter) (decision.Outcome, float64) {
				if scale == 0 {
					scale = a.Amount
				}
				total += a.Amount / scale
				return decision.OK, total * scale
			}
			got := 0
			for range 6 {
				if _, _, ok := b.ask("a", 0, 2); ok {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d attempts out, want %d", got, c.want)
			}
		})
	}
}

// What is past leaves nothing behind: a day of ever new customers, requests, servers and calls.
func TestStateIsBounded(t *testing.T) {
	set := basic()
	set.Instances = 2
	b := start(t, set, 0, up(1, 2, 3)...)
	b.counter = func(a decision.AddToCounter) (decision.Outcome, float64) { return decision.OK, max(0, a.Amount) }
	heap := func() uint64 {
		b.did = nil
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		runtime.KeepAlive(b)
		return m.HeapAlloc
	}
	day := func(from, to int) {
		for i := from; i < to; i++ {
			b.wait(20 * time.Millisecond)
			id, s, ok := b.ask(fmt.Sprint("customer", i), 0, 2)
			if ok {
				b.answer(id, s, decision.OK)
			}
			delete(b.tries, id)
			b.did = b.did[:0]
			if i%50 == 0 {
				n := decision.BackendID(10 + i)
				b.tell(decision.EndpointsChanged{Endpoints: up(n)})
				b.tell(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: n, State: decision.Removed}}})
			}
		}
	}
	day(0, 10000)
	before := heap()
	day(10000, 40000)
	if after := heap(); after > before+before/2 {
		t.Errorf("heap grew from %d to %d bytes", before, after)
	}
}

// TestInvariants plays random events against gateways and checks the rules that can be seen from outside.
func TestInvariants(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandom(t, seed) })
	}
}

func playRandom(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	set := basic()
	set.Instances = 1 + rng.IntN(3)
	set.Plans = append(set.Plans, decision.Plan{MaxInFlight: 2, WeightFactor: 2},
		decision.Plan{Rate: 5, Burst: 5, WeightFactor: 3, CeilingRate: 8, CeilingBurst: 10, CeilingSlack: 2})
	b := start(t, set, 0, up(1, 2, 3, 4, 5)...)
	type try struct {
		server decision.BackendID
		open   bool
		ran    bool
	}
	type row struct {
		class   decision.ClassID
		tries   []try
		answers int
		ended   bool
		due     time.Duration
	}
	rows := map[decision.RequestID]*row{}
	var ids []decision.RequestID
	state := map[decision.BackendID]decision.EndpointState{}
	check := func(actions []decision.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case decision.SendAttempt:
				r := rows[a.Request]
				if r.ended || r.answers > 0 {
					t.Fatalf("sent after the end of %d", a.Request)
				}
				if state[a.Backend] != decision.Up {
					t.Fatalf("sent to %d, which is not up", a.Backend)
				}
				for _, o := range r.tries {
					if o.open {
						t.Fatalf("second copy of %d", a.Request)
					}
					if o.ran && r.class == 1 {
						t.Fatalf("unsafe %d sent again", a.Request)
					}
				}
				r.tries = append(r.tries, try{server: a.Backend, open: true})
			case decision.Reject:
				r := rows[a.Request]
				r.answers++
				for _, o := range r.tries {
					if r.class != 0 && (o.ran || o.open) {
						t.Fatalf("refused %d, which may have run", a.Request)
					}
				}
			case decision.Fail:
				rows[a.Request].answers++
			}
		}
	}
	seen := 0
	flush := func() { check(b.did[seen:]); seen = len(b.did) }
	for range 3000 {
		b.wait(time.Duration(rng.IntN(20)) * time.Millisecond)
		flush()
		switch k := rng.IntN(20); {
		case k < 9:
			id := decision.RequestID(len(ids) + 1)
			ids = append(ids, id)
			left := time.Duration(200+rng.IntN(1800)) * time.Millisecond
			r := &row{class: decision.ClassID(rng.IntN(3)), due: b.now + left}
			rows[id] = r
			b.tell(decision.RequestArrived{Request: id, Class: r.class, Plan: decision.PlanID(rng.IntN(5) - 1),
				Customer: fmt.Sprint(rng.IntN(9)), TimeLeft: left, Units: float64(rng.IntN(3)), Spread: rng.IntN(4)})
		case k < 17 && len(ids) > 0:
			id := ids[max(0, len(ids)-1-rng.IntN(30))]
			r := rows[id]
			for i := range r.tries {
				if a := &r.tries[i]; a.open {
					o := decision.Outcome(rng.IntN(8))
					a.open = false
					a.ran = o != decision.Rejected && o != decision.ConnectFailed && o != decision.NotSent
					settled := o == decision.OK || r.answers > 0 || r.ended
					r.ended = r.ended || o == decision.OK && r.answers == 0
					b.tell(decision.AttemptEnded{Request: id, Attempt: i, Backend: a.server, Outcome: o, Answered: settled})
				}
			}
		case k == 17 && len(ids) > 0:
			id := ids[rng.IntN(len(ids))]
			if rows[id].answers == 0 {
				rows[id].ended = true
			}
			b.tell(decision.ClientDisconnected{Request: id})
		case k == 18:
			s := decision.BackendID(1 + rng.IntN(6))
			state[s] = decision.EndpointState(rng.IntN(3))
			b.tell(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: s, State: state[s], Started: b.now}}})
		default: // news of what is not known
			b.tell(decision.CounterReplied{Name: "x.1", Total: 5})
			b.tell(decision.AttemptEnded{Request: 1 << 40, Attempt: -1, Outcome: decision.OK})
			b.tell(decision.ProbeEnded{Backend: 99})
		}
		flush()
		for _, id := range ids[max(0, len(ids)-300):] {
			if r := rows[id]; !r.ended && r.answers == 0 && b.now > r.due+time.Millisecond {
				t.Fatalf("no answer for %d by its deadline", id)
			}
		}
	}
	for id, r := range rows {
		if r.answers > 1 || r.ended && r.answers > 0 {
			t.Fatalf("%d: %d answers, ended %v", id, r.answers, r.ended)
		}
	}
}

// counter is a counter as gateways share it.
type counter map[string]float64

func (c counter) call(a decision.AddToCounter) (decision.Outcome, float64) {
	c[a.Name] += a.Amount
	return decision.OK, c[a.Name]
}

// fleet starts gateways that share a counter.
func fleet(t *testing.T, n int, set decision.Settings, at time.Duration, answer func(decision.AddToCounter) (decision.Outcome, float64),
	servers ...decision.Endpoint) []*bench {
	set.Instances = n
	out := make([]*bench, n)
	for i := range out {
		set.Self = i
		g, first, err := decision.New(set, uint64(i+1), at)
		if err != nil {
			t.Fatal(err)
		}
		out[i] = &bench{t: t, g: g, now: at, next: 1, tries: map[decision.RequestID]int{}, counter: answer}
		out[i].take(first)
		out[i].tell(decision.EndpointsChanged{Full: true, Cached: true, Endpoints: servers})
	}
	return out
}

// A customer that comes through a hundred gateways, each of which hardly ever sees it, gets its quota: all of
// it, and not much more, whatever it asks. Per-gateway splits would give it nothing, or each a request.
func TestQuotaOverAHundredGateways(t *testing.T) {
	silentNow := func(decision.AddToCounter) (decision.Outcome, float64) { return decision.TimedOut, 0 }
	cases := []struct {
		name     string
		asked    float64 // a second, for a minute
		answer   func(decision.AddToCounter) (decision.Outcome, float64)
		min, max int
	}{
		{"half the quota", 1, counter{}.call, 58, 60},
		{"four times the quota", 8, counter{}.call, 110, 135},
		{"sixteen times the quota", 32, counter{}.call, 110, 140},
		{"sixteen times, counter silent", 32, silentNow, 0, 135},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := basic()
			set.CounterTimeout = 80 * time.Millisecond
			set.Plans = []decision.Plan{{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaCost: 1}}
			gates := fleet(t, 100, set, time.Hour, c.answer, up(1, 2, 3, 4, 5, 6)...)
			rng := rand.New(rand.NewPCG(1, 2))
			sent := 0
			for at := time.Hour; at < time.Hour+time.Minute; at += time.Duration(float64(time.Second) / c.asked) {
				b := gates[rng.IntN(len(gates))]
				b.until(at)
				if id, s, ok := b.ask("a", 0, 100); ok {
					sent++
					b.wait(20 * time.Millisecond)
					b.answer(id, s, decision.OK)
				}
			}
			if sent < c.min || sent > c.max {
				t.Errorf("%d of %v sent on, want %d to %d", sent, 60*c.asked, c.min, c.max)
			}
		})
	}
}

// Attempts out are taken back when they end, and so is what was added for a try that was refused.
func TestOpenCapOverManyGateways(t *testing.T) {
	set := basic()
	set.Plans = []decision.Plan{{MaxInFlight: 3, WeightFactor: 1, OverQuotaCost: 1}}
	shared := counter{}
	gates := fleet(t, 40, set, time.Hour, shared.call, up(1, 2, 3, 4)...)
	type try struct {
		b  *bench
		id decision.RequestID
		s  decision.BackendID
	}
	for round := range 5 {
		var out []try
		for i := range 12 {
			b := gates[(round*12+i)%len(gates)]
			b.until(time.Hour + time.Duration(round)*100*time.Millisecond)
			if id, s, ok := b.ask("a", 0, 40); ok {
				out = append(out, try{b, id, s})
			}
		}
		if len(out) != 3 {
			t.Fatalf("round %d: %d attempts out of a cap of 3", round, len(out))
		}
		for _, o := range out {
			o.b.answer(o.id, o.s, decision.OK)
		}
	}
}

// A ceiling holds while the counter is silent, from the first moment on, over all gateways together.
func TestCeilingOverManyGatewaysWithoutCounter(t *testing.T) {
	set := basic()
	set.Plans = []decision.Plan{{Rate: 20, Burst: 40, WeightFactor: 1, OverQuotaCost: 1, CeilingRate: 40, CeilingBurst: 80, CeilingSlack: 8}}
	gates := fleet(t, 40, set, time.Hour, silent, up(1, 2, 3, 4)...)
	rng := rand.New(rand.NewPCG(3, 4))
	level, last := 80.0, time.Hour
	for at := time.Hour; at < time.Hour+20*time.Second; at += 2 * time.Millisecond {
		b := gates[rng.IntN(len(gates))]
		b.until(at)
		level = min(80, level+40*(at-last).Seconds())
		last = at
		if id, s, ok := b.ask("a", 0, 40); ok {
			if level--; level < -8 {
				t.Fatalf("the ceiling is passed by %v after %v", -level, at-time.Hour)
			}
			b.answer(id, s, decision.OK)
		}
	}
}

// Many gateways hear of a cold server at once: their first sends together stay near its share by warmth.
func TestColdServerAndManyGateways(t *testing.T) {
	servers := up(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	servers[9].Started = time.Hour
	gates := fleet(t, 200, basic(), time.Hour, counter{}.call, servers...)
	cold := 0
	for i, b := range gates {
		b.until(time.Hour + time.Duration(i)*time.Millisecond)
		if _, s, ok := b.ask(fmt.Sprint("c", i), 0, 1); ok && s == 10 {
			cold++
		}
	}
	if cold > 12 { // 200 * 0.2/9.2 are 4, three times that where its line looks shortest
		t.Errorf("the cold one got %d of the first 200", cold)
	}
}

// Where failures are rare, one keeps a gateway away from a server that it meets seldom; a server that fails
// one class goes on serving the others.
func TestOneFailureTells(t *testing.T) {
	set := basic()
	set.Instances = 100
	b := start(t, set, 0, up(1, 2, 3, 4, 5, 6, 7, 8)...)
	got := load(b, 1, 400, 200*time.Millisecond, func(s decision.BackendID) (time.Duration, decision.Outcome) {
		if s == 1 {
			return 300 * time.Millisecond, decision.ConnectionReset
		}
		return healthy()
	})
	if got[1] > 20 { // an equal share is 50
		t.Errorf("a server that fails got %d of 400", got[1])
	}
}

// A long line heard of once must not be believed for ever by a gateway that refuses all and hears no more.
func TestOldLineFades(t *testing.T) {
	set := basic()
	set.LoadFields = []decision.LoadField{decision.FieldInFlight}
	b := start(t, set, 0, up(1, 2)...)
	for range 12 {
		id, s, ok := b.ask("a", 0, 1)
		b.wait(100 * time.Millisecond)
		if ok {
			b.tell(decision.AttemptEnded{Request: id, Backend: s, Answered: true, Load: []float64{500}})
		}
	}
	if _, _, ok := b.ask("a", 0, 1); ok {
		t.Error("begun at a line of 500")
	}
	b.wait(20 * time.Second)
	if _, _, ok := b.ask("a", 0, 1); !ok {
		t.Error("refused 20 s after the last news")
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{30, 100} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			set := basic()
			set.Instances = 300
			var ids []decision.BackendID
			for i := range n {
				ids = append(ids, decision.BackendID(i+1))
			}
			g, _, _ := decision.New(set, 1, 0)
			g.Handle(decision.EndpointsChanged{Full: true, Endpoints: up(ids...)}, 0)
			names := make([]string, 4000)
			for i := range names {
				names[i] = fmt.Sprint("customer", i)
			}
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += 100 * time.Millisecond
				id := decision.RequestID(i + 1)
				for _, a := range g.Handle(decision.RequestArrived{Request: id, Customer: names[i%4000], TimeLeft: time.Second, Units: 1,
					Spread: 200}, now) {
					if c, ok := a.(decision.AddToCounter); ok {
						for _, a := range g.Handle(decision.CounterReplied{Name: c.Name, Total: c.Amount}, now) {
							if s, ok := a.(decision.SendAttempt); ok {
								g.Handle(decision.AttemptEnded{Request: id, Backend: s.Backend, Answered: true}, now)
							}
						}
					}
				}
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	set := basic()
	set.Instances = 300
	g, _, _ := decision.New(set, 1, 0)
	var ids []decision.BackendID
	for i := range 100 {
		ids = append(ids, decision.BackendID(i+1))
	}
	g.Handle(decision.EndpointsChanged{Full: true, Endpoints: up(ids...)}, 0)
	for i := range 4000 {
		g.Handle(decision.RequestArrived{Request: decision.RequestID(i + 1), Customer: fmt.Sprint(i), TimeLeft: time.Second, Units: 1,
			Spread: 200}, 0)
	}
	now := time.Duration(0)
	for b.Loop() {
		now += 50 * time.Millisecond
		g.Handle(decision.TimerFired{Timer: decision.Timer{Kind: decision.TickTimer}}, now)
	}
}

// A spread of nothing, above the number of gateways or changing between requests never gives more than one gateway
// alone would get, and a plan that changes neither.
func TestOddSpreadsAndPlans(t *testing.T) {
	set := basic()
	set.Instances = 10
	set.Plans = []decision.Plan{{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaCost: 1}, {Rate: 4, Burst: 8, WeightFactor: 2, OverQuotaCost: 1}}
	b := start(t, set, time.Hour, up(1, 2, 3)...)
	b.counter = counter{}.call
	sent := 0
	for i := range 1000 {
		b.wait(10 * time.Millisecond)
		id := b.next
		b.next++
		for _, a := range b.tell(decision.RequestArrived{Request: id, Customer: "a", Plan: decision.PlanID(i % 2), TimeLeft: time.Second,
			Units: 1, Spread: []int{0, 5, 1000, -3}[i%4]}) {
			if a, ok := a.(decision.SendAttempt); ok {
				sent++
				b.answer(id, a.Backend, decision.OK)
			}
		}
	}
	if sent < 8 || sent > 50 { // 8 at once and 2 to 4 a second
		t.Errorf("%d sent on in 10 s", sent)
	}
}

// A cold server that few attempts push over gets fewer still than its share of them, since chance decides how many come
// together and what work they are: where five of mean work push it over, hardly ever more than three come. Nor does the pace
// die away because little is sent: gateways that hold back learn nothing.
func TestFewAttemptsLeaveRoomForChance(t *testing.T) {
	set := basic()
	set.SlowStartShare, set.SlowStartTime, set.OverloadFactor, set.OverloadTime = 0.25, time.Hour, 2, time.Second
	gates := fleet(t, 20, set, time.Hour, silent, up(1)...)
	rng := rand.New(rand.NewPCG(5, 6))
	type out struct {
		b    *bench
		id   decision.RequestID
		s    decision.BackendID
		done time.Duration
	}
	var open []out
	var sent []time.Duration
	play := func(from, to, gap time.Duration) {
		for at := from; at < to; at += gap {
			b := gates[rng.IntN(len(gates))]
			b.until(at)
			for len(open) > 0 && open[0].done <= at {
				open[0].b.until(at)
				open[0].b.answer(open[0].id, open[0].s, decision.OK)
				open = open[1:]
			}
			if id, s, ok := b.ask(fmt.Sprint("c", rng.IntN(1000)), 0, 1); ok {
				open, sent = append(open, out{b, id, s, at + 100*time.Millisecond}), append(sent, at)
			}
		}
	}
	const minute = time.Minute
	play(time.Hour, time.Hour+minute, 100*time.Millisecond) // ten a second is what it bears
	servers := up(1)
	servers[0].Started = time.Hour + minute
	for _, b := range gates {
		b.until(time.Hour + minute)
		b.tell(decision.EndpointsChanged{Full: true, Endpoints: servers})
	}
	sent = nil
	play(time.Hour+minute, time.Hour+6*minute, 25*time.Millisecond)
	over, window := 0, 0
	for i, at := range sent {
		for sent[window] <= at-time.Second {
			window++
		}
		if i-window+1 > 3 {
			over++
		}
	}
	if len(sent) < 90 || len(sent) > 300 || over > 5 {
		t.Errorf("%d sent in 300 s, where one a second is meant; %d of them as the fourth or later in a second", len(sent), over)
	}
}

// A refusal says when to come back: no sooner than makes sense, within what clients heed, and a few tries fit in the
// aim; nothing is said where the settings don't allow it.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := basic()
		set.RetryAfter, set.MaxRetryAfter = allowed, 500*time.Millisecond
		set.Plans = []decision.Plan{{Rate: 20, Burst: 1, WeightFactor: 1, OverQuotaCost: 1}}
		b := start(t, set, time.Second, up(1, 2)...)
		told := []time.Duration{}
		for range 4 {
			id := b.next
			b.next++
			for _, a := range b.tell(decision.RequestArrived{Request: id, Customer: "c", TimeLeft: 2 * time.Second, Units: 1, Spread: 1}) {
				if a, ok := a.(decision.Reject); ok {
					told = append(told, a.RetryAfter)
				}
			}
		}
		if len(told) != 3 {
			t.Fatalf("%d refused of 4 with a burst of 1", len(told))
		}
		for _, d := range told {
			if most := set.Classes[0].LatencyObjective / 2; allowed != (d > 0) || d > most {
				t.Errorf("allowed %v: told %v, at most %v was expected", allowed, d, most)
			}
		}
	}
}

// A plan that limits attempts out is about how long they take: where they are quick, many fit in a second, and a
// counter that turns calls away does not keep them out.
func TestQuickAttemptsFitUnderAnOpenCap(t *testing.T) {
	set := basic()
	set.Instances = 4
	set.Plans = []decision.Plan{{MaxInFlight: 2, WeightFactor: 1, OverQuotaCost: 0.8}}
	b := start(t, set, time.Second, up(1, 2)...)
	b.counter = func(decision.AddToCounter) (decision.Outcome, float64) { return decision.Rejected, 0 }
	sent := 0
	for range 50 {
		id, s, ok := b.ask("c", 0, 4)
		if b.wait(50 * time.Millisecond); ok {
			sent++
			b.answer(id, s, decision.OK)
		}
		b.wait(150 * time.Millisecond)
	}
	if sent < 45 {
		t.Errorf("%d of 50 tries let in, one at a time, 50 ms each, under a limit of 2", sent)
	}
}

// What is spent without asking waits for a call where it is a tenth of the quota or more: about half of it reaches even
// a counter that turns three calls of four away; a sixth without waiting.
func TestUseWaitsToBeTold(t *testing.T) {
	told := func(turnsAway bool) (sum float64) {
		set := basic()
		set.Instances = 2
		set.Plans = []decision.Plan{{Rate: 1, Burst: 20, WeightFactor: 1, OverQuotaCost: 1}}
		b := start(t, set, time.Second, up(1, 2)...)
		calls := 0
		b.counter = func(c decision.AddToCounter) (decision.Outcome, float64) {
			if calls++; turnsAway && calls%4 != 0 {
				return decision.Rejected, 0
			}
			sum += c.Amount
			return decision.OK, sum
		}
		for i := range 64 {
			if id, s, ok := b.ask(fmt.Sprint("c", i%8), 0, 2); ok {
				b.answer(id, s, decision.OK)
			}
			b.wait(10 * time.Millisecond)
		}
		b.wait(10 * time.Second)
		return sum
	}
	if all, some := told(false), told(true); some < 0.4*all {
		t.Errorf("a counter that turns three calls of four away was told of %.0f units, another of %.0f", some, all)
	}
}
