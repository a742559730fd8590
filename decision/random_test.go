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
	p := &eventGenerator{t: t, rng: rng, driver: startDriver(t, settings, 0, upEndpoints(1, 2, 3, 4, 5)...),
		requests: map[decision.RequestID]*observedRequest{}, states: map[decision.BackendID]decision.EndpointState{}}
	for range 3000 {
		p.driver.advance(time.Duration(rng.IntN(20)) * time.Millisecond)
		p.checkActions()
		p.sendEvent()
		p.checkActions()
		p.checkDeadlines()
	}
	for id, r := range p.requests {
		if r.answers > 1 || r.ended && r.answers > 0 {
			t.Fatalf("request %d: %d local responses, ended %v", id, r.answers, r.ended)
		}
	}
}

func (p *eventGenerator) sendEvent() {
	switch k := p.rng.IntN(20); {
	case k < 9:
		p.sendRequest()
	case k < 17 && len(p.ids) > 0:
		p.endAttempts(p.ids[max(0, len(p.ids)-1-p.rng.IntN(30))])
	case k == 17 && len(p.ids) > 0:
		id := p.ids[p.rng.IntN(len(p.ids))]
		if p.requests[id].answers == 0 {
			p.requests[id].ended = true
		}
		p.driver.handle(decision.ClientDisconnected{Request: id})
	case k == 18:
		backend := decision.BackendID(1 + p.rng.IntN(6))
		p.states[backend] = decision.EndpointState(p.rng.IntN(3))
		p.driver.handle(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: backend, State: p.states[backend], Started: p.driver.now}}})
	default: // events that refer to unknown objects
		p.driver.handle(decision.CounterReplied{Name: "x.1", Total: 5})
		p.driver.handle(decision.AttemptEnded{Request: 1 << 40, Attempt: -1, Outcome: decision.OK})
		p.driver.handle(decision.ProbeEnded{Backend: 99})
	}
}

func (p *eventGenerator) sendRequest() {
	id := decision.RequestID(len(p.ids) + 1)
	p.ids = append(p.ids, id)
	left := time.Duration(200+p.rng.IntN(1800)) * time.Millisecond
	r := &observedRequest{class: decision.ClassID(p.rng.IntN(3)), deadline: p.driver.now + left}
	p.requests[id] = r
	p.driver.handle(decision.RequestArrived{Request: id, Class: r.class, Plan: decision.PlanID(p.rng.IntN(5) - 1),
		Customer: fmt.Sprint(p.rng.IntN(9)), TimeLeft: left, Units: float64(p.rng.IntN(3)), Spread: p.rng.IntN(4)})
}

// endAttempts ends the attempts of a request that are in flight with random outcomes.
func (p *eventGenerator) endAttempts(id decision.RequestID) {
	r := p.requests[id]
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if !attempt.open {
			continue
		}
		outcome := decision.Outcome(p.rng.IntN(8))
		attempt.open = false
		attempt.ran = outcome != decision.Rejected && outcome != decision.ConnectFailed && outcome != decision.NotSent
		answered := outcome == decision.OK || r.answers > 0 || r.ended
		r.ended = r.ended || outcome == decision.OK && r.answers == 0
		p.driver.handle(decision.AttemptEnded{Request: id, Attempt: i, Backend: attempt.backend, Outcome: outcome, Answered: answered})
	}
}

// checkActions checks the gateway's actions since the last call.
func (p *eventGenerator) checkActions() {
	for _, action := range p.driver.actions[p.checked:] {
		switch action := action.(type) {
		case decision.SendAttempt:
			p.checkAttempt(action)
		case decision.Reject:
			r := p.requests[action.Request]
			r.answers++
			for _, attempt := range r.attempts {
				if r.class != 0 && (attempt.ran || attempt.open) {
					p.t.Fatalf("request %d was rejected, but may have run", action.Request)
				}
			}
		case decision.Fail:
			p.requests[action.Request].answers++
		}
	}
	p.checked = len(p.driver.actions)
}

func (p *eventGenerator) checkAttempt(action decision.SendAttempt) {
	r := p.requests[action.Request]
	if r.ended || r.answers > 0 {
		p.t.Fatalf("an attempt of request %d was sent after its end", action.Request)
	}
	if p.states[action.Backend] != decision.Up {
		p.t.Fatalf("an attempt was sent to backend %d, which is not up", action.Backend)
	}
	for _, attempt := range r.attempts {
		if attempt.open {
			p.t.Fatalf("two attempts of request %d are in flight", action.Request)
		}
		if attempt.ran && r.class == 1 {
			p.t.Fatalf("request %d is not idempotent and was sent again", action.Request)
		}
	}
	r.attempts = append(r.attempts, observedAttempt{backend: action.Backend, open: true})
}

// checkDeadlines fails the test if one of the last 300 requests had no answer by its deadline.
func (p *eventGenerator) checkDeadlines() {
	for _, id := range p.ids[max(0, len(p.ids)-300):] {
		if r := p.requests[id]; !r.ended && r.answers == 0 && p.driver.now > r.deadline+time.Millisecond {
			p.t.Fatalf("request %d got no answer by its deadline", id)
		}
	}
}
