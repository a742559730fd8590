package decision_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// warmUpScenario is a fleet under whose traffic some backends restart at once, as a burst begins.
type warmUpScenario struct {
	instances, backends, returning int
	leaving                        int // warm backends that go as the others return
	overloadFactor, slowStartShare float64
	overloadTime, slowStartTime    time.Duration
	warmsByWork                    bool // backends warm up by the work they do rather than by time
	load, burst                    float64
	meanWork                       time.Duration // mean, on a warm core
	maxInFlight                    int           // requests that a backend takes at a time
	seed                           uint64
}

// attemptEnd is an attempt's end to come.
type attemptEnd struct {
	at      time.Duration
	driver  *driver
	request decision.RequestID
	backend decision.BackendID
	outcome decision.Outcome
}

type attemptEnds []attemptEnd

func (h attemptEnds) Len() int           { return len(h) }
func (h attemptEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h attemptEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *attemptEnds) Push(x any)        { *h = append(*h, x.(attemptEnd)) }
func (h *attemptEnds) Pop() any          { n := len(*h) - 1; x := (*h)[n]; *h = (*h)[:n]; return x }

// backendModel is a backend of two cores.
type backendModel struct {
	coreFreeAt   [2]time.Duration
	inFlight     int
	workDone     float64
	warmingUp    bool
	sentAt       []time.Duration // attempts in the window, with their work in terms of the mean
	work         []float64
	workInWindow float64
	workSent     float64
}

const (
	fleetBegin   = time.Hour
	fleetReturn  = fleetBegin + 6*time.Second // when backends return, and the burst begins
	fleetEnd     = fleetReturn + 10*time.Second
	networkDelay = 2 * time.Millisecond // from an attempt's end at the backend to its end at the instance
	customers    = 4000
)

// fleetSimulation is a run of a scenario.
type fleetSimulation struct {
	warmUpScenario
	rng       *rand.Rand
	instances []*driver
	shares    []float64           // of the traffic by instance: uneven, and summed up
	endpoints []decision.Endpoint // the first ones return
	models    []backendModel      // of the backends, by number, from 1
	ends      attemptEnds
	returned  bool
	worst     float64 // the most that a warming backend got in the window against what makes it fail
}

// play runs the scenario. worst is the most that a warming backend got in the window against what makes it fail (at 1 it does);
// used is the mean of what warming backends got, against the same without the margin for chance.
func (scenario warmUpScenario) play(t *testing.T) (worst, used float64) {
	simulation := scenario.start(t)
	for now := fleetBegin; now < fleetEnd; {
		now += time.Duration(simulation.rng.ExpFloat64() / simulation.requestRate() * float64(time.Second))
		simulation.endAttemptsUntil(now)
		if !simulation.returned && now >= fleetReturn {
			simulation.returnBackends(now)
		}
		simulation.sendRequest(now)
	}
	return simulation.worst, simulation.workToReturned() / simulation.allowance()
}

// start makes the instances, which know only the backends that do not return later.
func (scenario warmUpScenario) start(t *testing.T) *fleetSimulation {
	settings := basicSettings()
	settings.SlowStartShare = scenario.slowStartShare
	settings.SlowStartTime = scenario.slowStartTime
	settings.OverloadFactor = scenario.overloadFactor
	settings.OverloadTime = scenario.overloadTime
	backendIDs := make([]decision.BackendID, scenario.backends)
	for i := range backendIDs {
		backendIDs[i] = decision.BackendID(i + 1)
	}
	simulation := &fleetSimulation{
		warmUpScenario: scenario,
		rng:            rand.New(rand.NewPCG(scenario.seed, 7)),
		endpoints:      upEndpoints(backendIDs...),
		models:         make([]backendModel, scenario.backends+1),
	}
	simulation.instances = startInstances(t, scenario.instances, settings, fleetBegin, sharedCounter{}.add, simulation.endpoints[scenario.returning:]...)
	sum := 0.0
	for range simulation.instances {
		sum += math.Exp(simulation.rng.NormFloat64() * 0.8)
		simulation.shares = append(simulation.shares, sum)
	}
	return simulation
}

// warmRate is the number of requests of mean work that a warm backend does in a second.
func (scenario warmUpScenario) warmRate() float64 { return 2 / scenario.meanWork.Seconds() }

// requestRate is the number of requests a second that all clients send now.
func (s *fleetSimulation) requestRate() float64 {
	switch {
	case !s.returned:
		return s.load * s.warmRate() * float64(s.backends-s.returning)
	case s.leaving > 0: // those that leave give their work to the others
		return s.load * s.warmRate() * float64(s.backends-s.returning) * s.burst
	default:
		return s.load * s.warmRate() * float64(s.backends-s.leaving) * s.burst
	}
}

// warmth is the share of its capacity that a backend has.
func (scenario warmUpScenario) warmth(model *backendModel, now time.Duration) float64 {
	if !model.warmingUp {
		return 1
	}
	workToWarm := scenario.warmRate() * scenario.slowStartTime.Seconds() / 2 // work until a backend is warm, where that decides
	progress := model.workDone / workToWarm
	if !scenario.warmsByWork || now-fleetReturn >= scenario.slowStartTime {
		progress = (now - fleetReturn).Seconds() / scenario.slowStartTime.Seconds()
	}
	return scenario.slowStartShare + (1-scenario.slowStartShare)*min(1, progress)
}

// returnBackends restarts the backends that return, and takes away those that leave.
func (s *fleetSimulation) returnBackends(now time.Duration) {
	s.returned = true
	for i := range s.returning {
		s.models[i+1].warmingUp = true
		s.endpoints[i].Started = fleetReturn
	}
	for _, driver := range s.instances {
		driver.advanceTo(now)
		driver.handle(decision.EndpointsChanged{Full: true, Endpoints: s.endpoints[:len(s.endpoints)-s.leaving]})
	}
}

// sendRequest sends a request of a random customer through a random instance.
func (s *fleetSimulation) sendRequest(now time.Duration) {
	x := s.rng.Float64() * s.shares[len(s.shares)-1]
	chosen := 0
	for s.shares[chosen] < x {
		chosen++
	}
	driver := s.instances[chosen]
	driver.advanceTo(now)
	if id, backend, ok := driver.request(fmt.Sprint("c", s.rng.IntN(customers)), 0, 1); ok {
		s.sendAttempt(driver, id, backend)
	}
	driver.actions = driver.actions[:0]
}

// sendAttempt brings an attempt to its backend, which rejects it or puts it on the core that is free first.
func (s *fleetSimulation) sendAttempt(driver *driver, id decision.RequestID, backend decision.BackendID) {
	model := &s.models[backend]
	now := driver.now
	work := s.rng.ExpFloat64()
	warmth := s.warmth(model, now)
	if model.warmingUp {
		s.recordWork(model, now, work, warmth)
	}
	if model.inFlight >= s.maxInFlight {
		heap.Push(&s.ends, attemptEnd{now + networkDelay, driver, id, backend, decision.Rejected})
		return
	}
	model.inFlight++
	core := 0
	if model.coreFreeAt[1] < model.coreFreeAt[0] {
		core = 1
	}
	model.coreFreeAt[core] = max(now, model.coreFreeAt[core]) + time.Duration(work*float64(s.meanWork)/warmth)
	model.workDone += work
	heap.Push(&s.ends, attemptEnd{model.coreFreeAt[core] + networkDelay, driver, id, backend, decision.OK})
}

// recordWork notes what a warming backend is sent, and how near that comes to what makes it fail.
func (s *fleetSimulation) recordWork(model *backendModel, now time.Duration, work, warmth float64) {
	for len(model.sentAt) > 0 && model.sentAt[0] <= now-s.overloadTime {
		model.workInWindow -= model.work[0]
		model.sentAt, model.work = model.sentAt[1:], model.work[1:]
	}
	model.sentAt = append(model.sentAt, now)
	model.work = append(model.work, work)
	model.workInWindow += work
	model.workSent += work
	n := s.overloadFactor * warmth * s.warmRate() * s.overloadTime.Seconds()
	s.worst = max(s.worst, model.workInWindow/(n+2*math.Sqrt(n)+2))
}

// endAttemptsUntil ends the attempts that are due, and sends those that follow.
func (s *fleetSimulation) endAttemptsUntil(at time.Duration) {
	for len(s.ends) > 0 && s.ends[0].at <= at {
		end := heap.Pop(&s.ends).(attemptEnd)
		if end.outcome == decision.OK {
			s.models[end.backend].inFlight--
		}
		end.driver.advanceTo(max(end.driver.now, end.at))
		for _, action := range end.driver.endAttempt(end.request, end.backend, end.outcome) {
			if retry, ok := action.(decision.SendAttempt); ok {
				s.sendAttempt(end.driver, retry.Request, retry.Backend)
			}
		}
	}
}

// workToReturned is the mean work that the backends which returned were sent.
func (s *fleetSimulation) workToReturned() float64 {
	mean := 0.0
	for i := range s.returning {
		mean += s.models[i+1].workSent / float64(s.returning)
	}
	return mean
}

// allowance is the work that makes a backend fail, from its return to the end. One that warms up by its work is taken as
// idle.
func (scenario warmUpScenario) allowance() float64 {
	sum := 0.0
	for at := fleetReturn; at < fleetEnd; at += 100 * time.Millisecond {
		sum += scenario.overloadFactor * scenario.warmth(&backendModel{warmingUp: true}, at) * scenario.warmRate() * 0.1
	}
	return sum
}

// What all instances together send warming backends, at any moment of the ramp, stays under what makes one fail, with chance; and
// warming backends are not left idle, however thin the traffic is spread. Backends reject early in this model, so that instances
// that know nothing of slow start make none fail here either: what the token bucket alone prevents is shown by
// TestSlowStartLeavesMarginForChance and by the simulator's crowded days.
func TestSlowStartOverFleets(t *testing.T) {
	for _, count := range []int{4, 20, 30, 300} {
		worst, least := 0.0, math.Inf(1)
		for seed := range uint64(8) {
			rng := rand.New(rand.NewPCG(seed, uint64(count)))
			d := warmUpScenario{instances: count, backends: 12 + rng.IntN(20), overloadFactor: []float64{2, 3, 4, 5}[rng.IntN(4)], slowStartShare: 0.2 + 0.3*rng.Float64(),
				overloadTime: time.Duration(1000+rng.IntN(2000)) * time.Millisecond, slowStartTime: time.Duration(4+rng.IntN(10)) * time.Second,
				warmsByWork: seed%2 == 1, load: 0.4 + 0.3*rng.Float64(), burst: 1.1 + 0.4*rng.Float64(), seed: seed,
				meanWork: time.Duration(30+rng.IntN(100)) * time.Millisecond, maxInFlight: 6 + rng.IntN(16)}
			d.returning = max(1, d.backends*(2+rng.IntN(6))/8)
			if seed%4 == 3 { // hardly a warm one is left
				d.returning, d.leaving = d.backends/2, d.backends-d.backends/2-rng.IntN(3)
				d.overloadFactor, d.burst, d.meanWork, d.maxInFlight = 2+rng.Float64(), 1.5, 30*time.Millisecond, 8
			}
			if seed == 2 { // few servers return, and little pushes them over
				d.returning, d.leaving, d.overloadFactor, d.slowStartShare, d.load, d.burst = d.backends/8, 0, 1.5, 0.2, 0.7, 1.4
				d.meanWork, d.slowStartTime, d.overloadTime = 40*time.Millisecond, 10*time.Second, 2*time.Second
			}
			w, u := d.play(t)
			if w >= 1 {
				t.Errorf("%+v: a warming backend got %.2f of what makes it fail", d, w)
			}
			worst, least = max(worst, w), min(least, u)
		}
		t.Logf("%d instances: at most %.2f of what makes a warming backend fail; at least %.3f of it used", count, worst, least)
		if least < 0.025 {
			t.Errorf("%d instances: warming backends get %.3f of what they could serve", count, least)
		}
	}
}
