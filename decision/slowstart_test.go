package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// A warming backend answers faster than all others, so its queue is always the shortest. It must still be chosen no
// more often than it is drawn by its capacity share.
func TestWarmingBackendGetsItsShare(t *testing.T) {
	set := basicSettings()
	set.SlowStartTime = time.Hour // longer than the test
	endpoints := upEndpoints(1, 2, 3, 4)
	endpoints[3].Started = time.Hour
	driver := startDriver(t, set, time.Hour, endpoints...)
	got := sendRequests(driver, 0, 1000, 5*time.Millisecond, func(backend decision.BackendID) (time.Duration, decision.Outcome) {
		if backend == 4 {
			return time.Millisecond, decision.OK // its queue is always the shortest
		}
		return 300 * time.Millisecond, decision.OK
	})
	all := got[1] + got[2] + got[3] + got[4]
	if share := float64(got[4]) / float64(all); share > 3*0.2/3.2*1.1 { // three candidates per choice
		t.Errorf("the warming backend got a share of %.2f of %d attempts", share, all)
	}
}

// All backends are replaced at once: the only backend is warming up and must not get all requests, but its share of
// what a warm backend served. With a warm backend beside it, no requests are rejected because of the slow start. If the
// service rate is not known yet, requests are sent about one at a time.
func TestFleetReplacedAtOnceIsNotOverloaded(t *testing.T) {
	set := basicSettings()
	set.SlowStartTime = time.Hour // longer than the test
	for _, c := range []struct {
		name        string
		known       bool // the service rate is known when the backends are replaced
		warm        int  // number of warm backends beside the warming one
		least, most int  // of 1000 requests
	}{{"replaced", true, 0, 150, 400}, {"one is left", true, 1, 990, 1000}, {"unknown", false, 0, 5, 100}} {
		endpoints := upEndpoints(1, 2, 3)
		endpoints[0].Started = time.Hour
		driver := startDriver(t, set, time.Hour, endpoints[2])
		answersIn1ms := func(decision.BackendID) (time.Duration, decision.Outcome) { return time.Millisecond, decision.OK }
		if c.known {
			sendRequests(driver, 0, 1000, 5*time.Millisecond, answersIn1ms)
		}
		driver.handle(decision.EndpointsChanged{Full: true, Endpoints: endpoints[:1+c.warm]})
		got := sendRequests(driver, 0, 1000, 5*time.Millisecond, answersIn1ms)
		if all := got[1] + got[2]; all < c.least || all > c.most {
			t.Errorf("%s: %d of 1000 requests were sent", c.name, all)
		}
	}
}

// If the settings do not define the load at which a warming backend fails, no attempt is held back.
func TestReplacedFleetWithoutOverloadLimit(t *testing.T) {
	for _, change := range []func(*decision.Settings){
		func(s *decision.Settings) { s.OverloadFactor = 0 },
		func(s *decision.Settings) { s.OverloadTime = 0 },
	} {
		set := basicSettings()
		set.SlowStartTime, set.SlowStartShare = time.Hour, 0.5
		change(&set)
		endpoints := upEndpoints(1)
		endpoints[0].Started = time.Hour
		driver := startDriver(t, set, time.Hour, endpoints...)
		got := sendRequests(driver, 0, 1000, 5*time.Millisecond, func(decision.BackendID) (time.Duration, decision.Outcome) { return time.Millisecond, decision.OK })
		if got[1] < 990 {
			t.Errorf("%d of 1000 requests were sent", got[1])
		}
	}
}

// When two hundred instances learn of a warming backend at the same time, their first attempts together must stay near
// its capacity share.
func TestWarmingBackendAndManyInstances(t *testing.T) {
	endpoints := upEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	endpoints[9].Started = time.Hour
	instances := startInstances(t, 200, basicSettings(), time.Hour, sharedCounter{}.add, endpoints...)
	toWarming := 0
	for i, driver := range instances {
		driver.advanceTo(time.Hour + time.Duration(i)*time.Millisecond)
		if _, backend, ok := driver.request(fmt.Sprint("c", i), 0, 1); ok && backend == 10 {
			toWarming++
		}
	}
	if toWarming > 12 { // 200 * 0.2/9.2 are 4, three times that if its queue looks shortest
		t.Errorf("the warming backend got %d of the first 200 attempts", toWarming)
	}
}

// If few attempts make a warming backend fail, it must get even fewer than their share, since the number of
// simultaneous attempts and their work vary at random: if five attempts of mean work make it fail, there are rarely
// more than three. The estimated service rate must not decay because little is sent: instances that hold attempts back
// get no samples.
func TestSlowStartLeavesMarginForChance(t *testing.T) {
	set := basicSettings()
	set.SlowStartShare, set.SlowStartTime, set.OverloadFactor, set.OverloadTime = 0.25, time.Hour, 2, time.Second
	instances := startInstances(t, 20, set, time.Hour, timesOut, upEndpoints(1)...)
	rng := rand.New(rand.NewPCG(5, 6))
	type attempt struct {
		driver  *driver
		request decision.RequestID
		backend decision.BackendID
		endsAt  time.Duration
	}
	var inFlight []attempt
	var sent []time.Duration
	run := func(from, to, gap time.Duration) {
		for at := from; at < to; at += gap {
			driver := instances[rng.IntN(len(instances))]
			driver.advanceTo(at)
			for len(inFlight) > 0 && inFlight[0].endsAt <= at {
				inFlight[0].driver.advanceTo(at)
				inFlight[0].driver.endAttempt(inFlight[0].request, inFlight[0].backend, decision.OK)
				inFlight = inFlight[1:]
			}
			if id, backend, ok := driver.request(fmt.Sprint("c", rng.IntN(1000)), 0, 1); ok {
				inFlight = append(inFlight, attempt{driver, id, backend, at + 100*time.Millisecond})
				sent = append(sent, at)
			}
		}
	}
	const minute = time.Minute
	run(time.Hour, time.Hour+minute, 100*time.Millisecond) // the warm backend serves ten requests per second
	endpoints := upEndpoints(1)
	endpoints[0].Started = time.Hour + minute
	for _, driver := range instances {
		driver.advanceTo(time.Hour + minute)
		driver.handle(decision.EndpointsChanged{Full: true, Endpoints: endpoints})
	}
	sent = nil
	run(time.Hour+minute, time.Hour+6*minute, 25*time.Millisecond)
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
		t.Errorf("%d attempts in 300 s, want about one per second; %d of them were the fourth or later within a second", len(sent), over)
	}
}
