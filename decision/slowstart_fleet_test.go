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

// warmUpScenario is a fleet in which some backends restart at the same time, while a burst of traffic begins.
type warmUpScenario struct {
	instances, backends, restarting int
	removed                         int // warm backends that are removed when the others have restarted
	overloadFactor, slowStartShare  float64
	overloadTime, slowStartTime     time.Duration
	warmsByWork                     bool          // backends warm up with the work they do instead of with time
	load, burst                     float64       // traffic as a share of full capacity; factor on it after the restart
	meanWork                        time.Duration // mean time of a request on a warm core
	maxInFlight                     int           // number of requests that a backend accepts at a time
	seed                            uint64
}

// attemptEnd is the scheduled end of an attempt.
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

// backendModel is a model of a backend with two cores.
type backendModel struct {
	coreFreeAt   [2]time.Duration
	inFlight     int
	workDone     float64
	warmingUp    bool
	sentAt       []time.Duration // attempts in the window, with their work as a multiple of the mean
	work         []float64
	workInWindow float64
	workSent     float64 // since the backend's restart
}

const (
	fleetBegin   = time.Hour
	fleetRestart = fleetBegin + 6*time.Second // when backends have restarted and the burst begins
	fleetEnd     = fleetRestart + 10*time.Second
	networkDelay = 2 * time.Millisecond // from an attempt's end at the backend to its end at the instance
	customers    = 4000
)

// fleetSimulation is the state of a run of a scenario.
type fleetSimulation struct {
	warmUpScenario
	rng       *rand.Rand
	instances []*driver
	shares    []float64           // cumulative shares of the traffic by instance, which are uneven
	endpoints []decision.Endpoint // the first ones restart
	models    []backendModel      // by number of the backend, from 1
	ends      attemptEnds
	restarted bool
	worst     float64 // highest load of a warming backend in the window, relative to the load at which it fails
}

// run runs the scenario. worst is the highest load of a warming backend in the window, relative to the load at which it
// fails (at 1 it fails). used is the mean load of the warming backends, relative to the load at which they fail without
// the margin for random variation.
func (scenario warmUpScenario) run(t *testing.T) (worst, used float64) {
	simulation := scenario.start(t)
	for now := fleetBegin; now < fleetEnd; {
		now += time.Duration(simulation.rng.ExpFloat64() / simulation.requestRate() * float64(time.Second))
		simulation.endAttemptsUntil(now)
		if !simulation.restarted && now >= fleetRestart {
			simulation.restartBackends(now)
		}
		simulation.sendRequest(now)
	}
	return simulation.worst, simulation.workToRestarted() / simulation.allowance()
}

// start starts the instances, which at first know only the backends that do not restart.
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
	simulation.instances = startInstances(t, scenario.instances, settings, fleetBegin, sharedCounter{}.add, simulation.endpoints[scenario.restarting:]...)
	sum := 0.0
	for range simulation.instances {
		sum += math.Exp(simulation.rng.NormFloat64() * 0.8)
		simulation.shares = append(simulation.shares, sum)
	}
	return simulation
}

// warmRate returns the number of requests of mean work that a warm backend serves per second.
func (scenario warmUpScenario) warmRate() float64 { return 2 / scenario.meanWork.Seconds() }

// requestRate returns the number of requests per second that all clients send now.
func (s *fleetSimulation) requestRate() float64 {
	switch {
	case !s.restarted:
		return s.load * s.warmRate() * float64(s.backends-s.restarting)
	case s.removed > 0: // the remaining backends take over the load of the removed ones
		return s.load * s.warmRate() * float64(s.backends-s.restarting) * s.burst
	default:
		return s.load * s.warmRate() * float64(s.backends-s.removed) * s.burst
	}
}

// capacityShare returns the share of its full capacity that a backend has.
func (scenario warmUpScenario) capacityShare(model *backendModel, now time.Duration) float64 {
	if !model.warmingUp {
		return 1
	}
	workToWarm := scenario.warmRate() * scenario.slowStartTime.Seconds() / 2 // work after which a backend is warm, for warmsByWork
	progress := model.workDone / workToWarm
	if !scenario.warmsByWork || now-fleetRestart >= scenario.slowStartTime {
		progress = (now - fleetRestart).Seconds() / scenario.slowStartTime.Seconds()
	}
	return scenario.slowStartShare + (1-scenario.slowStartShare)*min(1, progress)
}

// restartBackends adds the restarted backends and removes those that leave the fleet.
func (s *fleetSimulation) restartBackends(now time.Duration) {
	s.restarted = true
	for i := range s.restarting {
		s.models[i+1].warmingUp = true
		s.endpoints[i].Started = fleetRestart
	}
	for _, driver := range s.instances {
		driver.advanceTo(now)
		driver.handle(decision.EndpointsChanged{Full: true, Endpoints: s.endpoints[:len(s.endpoints)-s.removed]})
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

// sendAttempt delivers an attempt to its backend, which rejects it or runs it on the core that is free first.
func (s *fleetSimulation) sendAttempt(driver *driver, id decision.RequestID, backend decision.BackendID) {
	model := &s.models[backend]
	now := driver.now
	work := s.rng.ExpFloat64()
	capacityShare := s.capacityShare(model, now)
	if model.warmingUp {
		s.recordWork(model, now, work, capacityShare)
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
	model.coreFreeAt[core] = max(now, model.coreFreeAt[core]) + time.Duration(work*float64(s.meanWork)/capacityShare)
	model.workDone += work
	heap.Push(&s.ends, attemptEnd{model.coreFreeAt[core] + networkDelay, driver, id, backend, decision.OK})
}

// recordWork records the work that a warming backend is sent, and its ratio to the work at which the backend fails.
func (s *fleetSimulation) recordWork(model *backendModel, now time.Duration, work, capacityShare float64) {
	for len(model.sentAt) > 0 && model.sentAt[0] <= now-s.overloadTime {
		model.workInWindow -= model.work[0]
		model.sentAt, model.work = model.sentAt[1:], model.work[1:]
	}
	model.sentAt = append(model.sentAt, now)
	model.work = append(model.work, work)
	model.workInWindow += work
	model.workSent += work
	n := s.overloadFactor * capacityShare * s.warmRate() * s.overloadTime.Seconds()
	s.worst = max(s.worst, model.workInWindow/(n+2*math.Sqrt(n)+2))
}

// endAttemptsUntil ends the attempts that are due, and sends their retries.
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

// workToRestarted returns the mean work that the restarted backends were sent.
func (s *fleetSimulation) workToRestarted() float64 {
	mean := 0.0
	for i := range s.restarting {
		mean += s.models[i+1].workSent / float64(s.restarting)
	}
	return mean
}

// allowance returns the work at which a backend fails, summed from its restart to the end of the run. A backend that
// warms up with its work is treated as idle.
func (scenario warmUpScenario) allowance() float64 {
	sum := 0.0
	for at := fleetRestart; at < fleetEnd; at += 100 * time.Millisecond {
		sum += scenario.overloadFactor * scenario.capacityShare(&backendModel{warmingUp: true}, at) * scenario.warmRate() * 0.1
	}
	return sum
}

// At any time of the slow start, the load that all instances together send to a warming backend stays below the load at
// which it fails, including random variation. Warming backends are not left idle either, however thinly the traffic is
// spread. Backends reject early in this model, so that instances without slow start make none of them fail either.
// TestSlowStartLeavesMarginForChance and the crowded scenarios of the simulator show what only the token bucket
// prevents.
func TestSlowStartOverFleets(t *testing.T) {
	for _, count := range []int{4, 20, 30, 300} {
		worst, least := 0.0, math.Inf(1)
		for seed := range uint64(8) {
			rng := rand.New(rand.NewPCG(seed, uint64(count)))
			scenario := warmUpScenario{instances: count, backends: 12 + rng.IntN(20), overloadFactor: []float64{2, 3, 4, 5}[rng.IntN(4)], slowStartShare: 0.2 + 0.3*rng.Float64(),
				overloadTime: time.Duration(1000+rng.IntN(2000)) * time.Millisecond, slowStartTime: time.Duration(4+rng.IntN(10)) * time.Second,
				warmsByWork: seed%2 == 1, load: 0.4 + 0.3*rng.Float64(), burst: 1.1 + 0.4*rng.Float64(), seed: seed,
				meanWork: time.Duration(30+rng.IntN(100)) * time.Millisecond, maxInFlight: 6 + rng.IntN(16)}
			scenario.restarting = max(1, scenario.backends*(2+rng.IntN(6))/8)
			if seed%4 == 3 { // hardly any warm backend is left
				scenario.restarting, scenario.removed = scenario.backends/2, scenario.backends-scenario.backends/2-rng.IntN(3)
				scenario.overloadFactor, scenario.burst, scenario.meanWork, scenario.maxInFlight = 2+rng.Float64(), 1.5, 30*time.Millisecond, 8
			}
			if seed == 2 { // few backends restart, and little load makes them fail
				scenario.restarting, scenario.removed, scenario.overloadFactor, scenario.slowStartShare, scenario.load, scenario.burst = scenario.backends/8, 0, 1.5, 0.2, 0.7, 1.4
				scenario.meanWork, scenario.slowStartTime, scenario.overloadTime = 40*time.Millisecond, 10*time.Second, 2*time.Second
			}
			w, u := scenario.run(t)
			if w >= 1 {
				t.Errorf("%+v: a warming backend got %.2f of the load at which it fails", scenario, w)
			}
			worst, least = max(worst, w), min(least, u)
		}
		t.Logf("%d instances: at most %.2f of the load at which a warming backend fails; at least %.3f of it used", count, worst, least)
		if least < 0.025 {
			t.Errorf("%d instances: warming backends get only %.3f of the load that they could serve", count, least)
		}
	}
}
