package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// With random valid and invalid events, the gateway keeps its externally visible invariants: one final answer by the
// deadline, no attempt at a backend that is not up, and no second attempt of a request that must not run twice.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomEvents(t, seed) })
	}
}

// observedAttempt is the test's record of an attempt.
type observedAttempt struct {
	backend decision.BackendID
	open    bool
	ran     bool // the request may have run
}

// observedRequest is the test's record of a request.
type observedRequest struct {
	class    decision.ClassID
	attempts []observedAttempt
	answers  int  // number of local responses
	ended    bool // ended by an attempt's answer or by its client
	deadline time.Duration
}

// eventGenerator sends random events to a gateway and checks its actions.
type eventGenerator struct {
	t        *testing.T
	rng      *rand.Rand
	driver   *driver
	requests map[decision.RequestID]*observedRequest
	ids      []decision.RequestID
	states   map[decision.BackendID]decision.EndpointState
	checked  int // number of actions that were checked
}

func runRandomEvents(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := basicSettings()
	settings.Instances = 1 + rng.IntN(3)
	settings.Plans = append(settings.Plans, decision.Plan{MaxInFlight: 2, WeightFactor: 2},
		decision.Plan{Rate: 5, Burst: 5, WeightFactor: 3, CeilingRate: 8, CeilingBurst: 10, CeilingSlack: 2})
	g := &eventGenerator{t: t, rng: rng, driver: startDriver(t, settings, 0, upEndpoints(1, 2, 3, 4, 5)...),
		requests: map[decision.RequestID]*observedRequest{}, states: map[decision.BackendID]decision.EndpointState{}}
	for range 3000 {
		g.driver.advance(time.Duration(rng.IntN(20)) * time.Millisecond)
		g.checkActions()
		g.sendEvent()
		g.checkActions()
		g.checkDeadlines()
	}
	for id, r := range g.requests {
		if r.answers > 1 || r.ended && r.answers > 0 {
			t.Fatalf("request %d: %d local responses, ended %v", id, r.answers, r.ended)
		}
	}
}

func (g *eventGenerator) sendEvent() {
	switch k := g.rng.IntN(20); {
	case k < 9:
		g.sendRequest()
	case k < 17 && len(g.ids) > 0:
		g.endAttempts(g.ids[max(0, len(g.ids)-1-g.rng.IntN(30))])
	case k == 17 && len(g.ids) > 0:
		id := g.ids[g.rng.IntN(len(g.ids))]
		if g.requests[id].answers == 0 {
			g.requests[id].ended = true
		}
		g.driver.handle(decision.ClientDisconnected{Request: id})
	case k == 18:
		backend := decision.BackendID(1 + g.rng.IntN(6))
		g.states[backend] = decision.EndpointState(g.rng.IntN(3))
		g.driver.handle(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: backend, State: g.states[backend], Started: g.driver.now}}})
	default: // events that refer to unknown objects
		g.driver.handle(decision.CounterReplied{Name: "x.1", Total: 5})
		g.driver.handle(decision.AttemptEnded{Request: 1 << 40, Attempt: -1, Outcome: decision.OK})
		g.driver.handle(decision.ProbeEnded{Backend: 99})
	}
}

func (g *eventGenerator) sendRequest() {
	id := decision.RequestID(len(g.ids) + 1)
	g.ids = append(g.ids, id)
	left := time.Duration(200+g.rng.IntN(1800)) * time.Millisecond
	r := &observedRequest{class: decision.ClassID(g.rng.IntN(3)), deadline: g.driver.now + left}
	g.requests[id] = r
	g.driver.handle(decision.RequestArrived{Request: id, Class: r.class, Plan: decision.PlanID(g.rng.IntN(5) - 1),
		Customer: fmt.Sprint(g.rng.IntN(9)), TimeLeft: left, Units: float64(g.rng.IntN(3)), Spread: g.rng.IntN(4)})
}

// endAttempts ends the attempts of a request that are in flight with random outcomes.
func (g *eventGenerator) endAttempts(id decision.RequestID) {
	r := g.requests[id]
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if !attempt.open {
			continue
		}
		outcome := decision.Outcome(g.rng.IntN(8))
		attempt.open = false
		attempt.ran = outcome != decision.Rejected && outcome != decision.ConnectFailed && outcome != decision.NotSent
		answered := outcome == decision.OK || r.answers > 0 || r.ended
		r.ended = r.ended || outcome == decision.OK && r.answers == 0
		g.driver.handle(decision.AttemptEnded{Request: id, Attempt: i, Backend: attempt.backend, Outcome: outcome, Answered: answered})
	}
}

// checkActions checks the gateway's actions since the last call.
func (g *eventGenerator) checkActions() {
	for _, action := range g.driver.actions[g.checked:] {
		switch action := action.(type) {
		case decision.SendAttempt:
			g.checkAttempt(action)
		case decision.Reject:
			r := g.requests[action.Request]
			r.answers++
			for _, attempt := range r.attempts {
				if r.class != 0 && (attempt.ran || attempt.open) {
					g.t.Fatalf("request %d was rejected, but may have run", action.Request)
				}
			}
		case decision.Fail:
			g.requests[action.Request].answers++
		}
	}
	g.checked = len(g.driver.actions)
}

func (g *eventGenerator) checkAttempt(action decision.SendAttempt) {
	r := g.requests[action.Request]
	if r.ended || r.answers > 0 {
		g.t.Fatalf("an attempt of request %d was sent after its end", action.Request)
	}
	if g.states[action.Backend] != decision.Up {
		g.t.Fatalf("an attempt was sent to backend %d, which is not up", action.Backend)
	}
	for _, attempt := range r.attempts {
		if attempt.open {
			g.t.Fatalf("two attempts of request %d are in flight", action.Request)
		}
		if attempt.ran && r.class == 1 {
			g.t.Fatalf("request %d is not idempotent and was sent again", action.Request)
		}
	}
	r.attempts = append(r.attempts, observedAttempt{backend: action.Backend, open: true})
}

// checkDeadlines fails the test if one of the last 300 requests had no answer by its deadline.
func (g *eventGenerator) checkDeadlines() {
	for _, id := range g.ids[max(0, len(g.ids)-300):] {
		if r := g.requests[id]; !r.ended && r.answers == 0 && g.driver.now > r.deadline+time.Millisecond {
			g.t.Fatalf("request %d got no answer by its deadline", id)
		}
	}
}
