package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// Random events, possible and impossible, keep the rules that can be seen from outside: one final answer by the deadline, no
// attempt at a backend that is not up, no second attempt of what must not run twice.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomEvents(t, seed) })
	}
}

// playedAttempt is an attempt as the test sees it.
type playedAttempt struct {
	backend decision.BackendID
	open    bool
	ran     bool // it may have run
}

// playedRequest is a request as the test sees it.
type playedRequest struct {
	class    decision.ClassID
	attempts []playedAttempt
	answers  int  // of the gateway's own
	ended    bool // by an attempt's answer, or by its client
	deadline time.Duration
}

// eventPlayer brings random events to a gateway and checks its actions.
type eventPlayer struct {
	t        *testing.T
	rng      *rand.Rand
	driver   *driver
	requests map[decision.RequestID]*playedRequest
	ids      []decision.RequestID
	states   map[decision.BackendID]decision.EndpointState
	checked  int // actions
}

func playRandomEvents(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := basicSettings()
	settings.Instances = 1 + rng.IntN(3)
	settings.Plans = append(settings.Plans, decision.Plan{MaxInFlight: 2, WeightFactor: 2},
		decision.Plan{Rate: 5, Burst: 5, WeightFactor: 3, CeilingRate: 8, CeilingBurst: 10, CeilingSlack: 2})
	p := &eventPlayer{t: t, rng: rng, driver: startDriver(t, settings, 0, upEndpoints(1, 2, 3, 4, 5)...),
		requests: map[decision.RequestID]*playedRequest{}, states: map[decision.BackendID]decision.EndpointState{}}
	for range 3000 {
		p.driver.advance(time.Duration(rng.IntN(20)) * time.Millisecond)
		p.checkActions()
		p.playEvent()
		p.checkActions()
		p.checkDeadlines()
	}
	for id, r := range p.requests {
		if r.answers > 1 || r.ended && r.answers > 0 {
			t.Fatalf("%d: %d answers, ended %v", id, r.answers, r.ended)
		}
	}
}

func (p *eventPlayer) playEvent() {
	switch k := p.rng.IntN(20); {
	case k < 9:
		p.playRequest()
	case k < 17 && len(p.ids) > 0:
		p.playAttemptEnds(p.ids[max(0, len(p.ids)-1-p.rng.IntN(30))])
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
	default: // events about what is not known
		p.driver.handle(decision.CounterReplied{Name: "x.1", Total: 5})
		p.driver.handle(decision.AttemptEnded{Request: 1 << 40, Attempt: -1, Outcome: decision.OK})
		p.driver.handle(decision.ProbeEnded{Backend: 99})
	}
}

func (p *eventPlayer) playRequest() {
	id := decision.RequestID(len(p.ids) + 1)
	p.ids = append(p.ids, id)
	left := time.Duration(200+p.rng.IntN(1800)) * time.Millisecond
	r := &playedRequest{class: decision.ClassID(p.rng.IntN(3)), deadline: p.driver.now + left}
	p.requests[id] = r
	p.driver.handle(decision.RequestArrived{Request: id, Class: r.class, Plan: decision.PlanID(p.rng.IntN(5) - 1),
		Customer: fmt.Sprint(p.rng.IntN(9)), TimeLeft: left, Units: float64(p.rng.IntN(3)), Spread: p.rng.IntN(4)})
}

// playAttemptEnds ends the attempts of a request that are in flight, each with a random outcome.
func (p *eventPlayer) playAttemptEnds(id decision.RequestID) {
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

// checkActions checks what the gateway did since it was called last.
func (p *eventPlayer) checkActions() {
	for _, action := range p.driver.actions[p.checked:] {
		switch action := action.(type) {
		case decision.SendAttempt:
			p.checkAttempt(action)
		case decision.Reject:
			r := p.requests[action.Request]
			r.answers++
			for _, attempt := range r.attempts {
				if r.class != 0 && (attempt.ran || attempt.open) {
					p.t.Fatalf("rejected %d, which may have run", action.Request)
				}
			}
		case decision.Fail:
			p.requests[action.Request].answers++
		}
	}
	p.checked = len(p.driver.actions)
}

func (p *eventPlayer) checkAttempt(action decision.SendAttempt) {
	r := p.requests[action.Request]
	if r.ended || r.answers > 0 {
		p.t.Fatalf("sent after the end of %d", action.Request)
	}
	if p.states[action.Backend] != decision.Up {
		p.t.Fatalf("sent to %d, which is not up", action.Backend)
	}
	for _, attempt := range r.attempts {
		if attempt.open {
			p.t.Fatalf("two attempts of %d in flight", action.Request)
		}
		if attempt.ran && r.class == 1 {
			p.t.Fatalf("%d is not idempotent and sent again", action.Request)
		}
	}
	r.attempts = append(r.attempts, playedAttempt{backend: action.Backend, open: true})
}

// checkDeadlines finds a request of the last 300 that had no answer by its deadline.
func (p *eventPlayer) checkDeadlines() {
	for _, id := range p.ids[max(0, len(p.ids)-300):] {
		if r := p.requests[id]; !r.ended && r.answers == 0 && p.driver.now > r.deadline+time.Millisecond {
			p.t.Fatalf("no answer for %d by its deadline", id)
		}
	}
}
