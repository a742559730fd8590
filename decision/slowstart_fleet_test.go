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

// play runs the scenario. worst is the most that a warming backend got in the window against what makes it fail (at 1 it does);
// used is the mean of what warming backends got, against the same without the margin for chance.
func (scenario warmUpScenario) play(t *testing.T) (worst, used float64) {
	set := basicSettings()
	set.SlowStartShare, set.SlowStartTime, set.OverloadFactor, set.OverloadTime = scenario.slowStartShare, scenario.slowStartTime, scenario.overloadFactor, scenario.overloadTime
	const begin = time.Hour
	back := begin + 6*time.Second // when backends return, and the burst begins
	end := back + 10*time.Second
	backendIDs := make([]decision.BackendID, scenario.backends)
	for i := range backendIDs {
		backendIDs[i] = decision.BackendID(i + 1)
	}
	all := upEndpoints(backendIDs...)
	instances := startInstances(t, scenario.instances, set, begin, sharedCounter{}.add, all[scenario.returning:]...)
	rng := rand.New(rand.NewPCG(scenario.seed, 7))
	var shares []float64 // of the traffic: uneven, and summed up
	sum := 0.0
	for range instances {
		sum += math.Exp(rng.NormFloat64() * 0.8)
		shares = append(shares, sum)
	}
	backends := make([]backendModel, scenario.backends+1)
	warmRate := 2 / scenario.meanWork.Seconds()
	var ends attemptEnds
	workToWarm := warmRate * scenario.slowStartTime.Seconds() / 2 // of work until a backend is warm, where that decides
	warmth := func(model *backendModel, now time.Duration) float64 {
		if !model.warmingUp {
			return 1
		}
		by := model.workDone / workToWarm
		if !scenario.warmsByWork || now-back >= scenario.slowStartTime {
			by = (now - back).Seconds() / scenario.slowStartTime.Seconds()
		}
		return scenario.slowStartShare + (1-scenario.slowStartShare)*min(1, by)
	}
	allowance := 0.0
	send := func(driver *driver, id decision.RequestID, backend decision.BackendID) {
		model, now := &backends[backend], driver.now
		work := rng.ExpFloat64()
		warmth := warmth(model, now)
		if model.warmingUp {
			for len(model.sentAt) > 0 && model.sentAt[0] <= now-scenario.overloadTime {
				model.workInWindow -= model.work[0]
				model.sentAt, model.work = model.sentAt[1:], model.work[1:]
			}
			model.sentAt, model.work, model.workInWindow, model.workSent = append(model.sentAt, now), append(model.work, work), model.workInWindow+work, model.workSent+work
			n := scenario.overloadFactor * warmth * warmRate * scenario.overloadTime.Seconds()
			worst = max(worst, model.workInWindow/(n+2*math.Sqrt(n)+2))
		}
		if model.inFlight >= scenario.maxInFlight {
			heap.Push(&ends, attemptEnd{now + 2*time.Millisecond, driver, id, backend, decision.Rejected})
			return
		}
		model.inFlight++
		core := 0
		if model.coreFreeAt[1] < model.coreFreeAt[0] {
			core = 1
		}
		model.coreFreeAt[core] = max(now, model.coreFreeAt[core]) + time.Duration(work*float64(scenario.meanWork)/warmth)
		model.workDone += work
		heap.Push(&ends, attemptEnd{model.coreFreeAt[core] + 2*time.Millisecond, driver, id, backend, decision.OK})
	}
	sendAll := func(driver *driver, actions []decision.Action) {
		for _, a := range actions {
			if a, ok := a.(decision.SendAttempt); ok {
				send(driver, a.Request, a.Backend)
			}
		}
	}
	until := func(at time.Duration) {
		for len(ends) > 0 && ends[0].at <= at {
			e := heap.Pop(&ends).(attemptEnd)
			if e.outcome == decision.OK {
				backends[e.backend].inFlight--
			}
			e.driver.advanceTo(max(e.driver.now, e.at))
			sendAll(e.driver, e.driver.endAttempt(e.request, e.backend, e.outcome))
		}
	}
	returned := false
	for now := begin; now < end; {
		rate := scenario.load * warmRate * float64(scenario.backends-scenario.returning)
		if returned {
			rate = scenario.load * warmRate * float64(scenario.backends-scenario.leaving) * scenario.burst
			if scenario.leaving > 0 { // they leave their work to the others
				rate = scenario.load * warmRate * float64(scenario.backends-scenario.returning) * scenario.burst
			}
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		until(now)
		if !returned && now >= back {
			returned = true
			for i := range scenario.returning {
				backends[i+1].warmingUp = true
				all[i].Started = back
			}
			for _, driver := range instances {
				driver.advanceTo(now)
				driver.handle(decision.EndpointsChanged{Full: true, Endpoints: all[:scenario.backends-scenario.leaving]})
			}
		}
		x, chosen := rng.Float64()*sum, 0
		for shares[chosen] < x {
			chosen++
		}
		driver := instances[chosen]
		driver.advanceTo(now)
		if id, s, ok := driver.request(fmt.Sprint("c", rng.IntN(4000)), 0, 1); ok {
			send(driver, id, s)
		}
		driver.actions = driver.actions[:0]
	}
	for i := range scenario.returning {
		model := &backends[i+1]
		used += model.workSent / float64(scenario.returning)
	}
	for at := back; at < end; at += 100 * time.Millisecond {
		allowance += scenario.overloadFactor * warmth(&backendModel{warmingUp: true}, at) * warmRate * 0.1
	}
	return worst, used / allowance
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
