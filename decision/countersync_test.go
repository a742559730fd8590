package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// A counter that restarts loses its totals, so it would allow a customer to use its ceiling a second time. Its reply is
// far below the expected total: nothing beyond the split is admitted until the use before the restart has decayed.
func TestCounterResetBlocksUseBeyondCeilingSplit(t *testing.T) {
	set := basicSettings()
	set.Instances = 2
	set.Plans = []decision.Plan{{Rate: 36, Burst: 36, WeightFactor: 1, CeilingRate: 40, CeilingBurst: 40, CeilingSlack: 4}}
	driver := startDriver(t, set, time.Minute, upEndpoints(1, 2, 3, 4)...)
	total := 0.0
	driver.counter = func(a decision.AddToCounter) (decision.Outcome, float64) {
		total += a.Amount
		return decision.OK, total
	}
	admit := func() (n int) {
		for range 40 {
			if id, backend, sent := driver.request("a", 0, 2); sent {
				n++
				driver.endAttempt(id, backend, decision.OK)
			}
		}
		return n
	}
	first := admit()
	total = 0
	second := admit()
	driver.advance(time.Second) // the fade time
	third := admit()
	if first < 10 || second > 0 || third < 10 {
		t.Errorf("admitted %d, then %d after the counter lost its totals, then %d; want at least 10, 0, at least 10", first, second, third)
	}
}

// High use at other instances for a moment makes this instance reject all requests of a customer without a call of the
// counter. The customer must get its quota again after that use has decayed.
func TestRejectedCustomerGetsItsQuotaAgain(t *testing.T) {
	set := basicSettings()
	set.Instances = 2
	set.Plans = []decision.Plan{{Rate: 10, Burst: 10, WeightFactor: 1}}
	driver := startDriver(t, set, 0, upEndpoints(1, 2, 3)...)
	seen, admittedLast, spike := 0, 0, 300.0
	for driver.now < 20*time.Second {
		driver.advance(25 * time.Millisecond)
		for ; seen < len(driver.actions); seen++ {
			if a, ok := driver.actions[seen].(decision.AddToCounter); ok { // the first reply reports high use at other instances
				driver.handle(decision.CounterReplied{Name: a.Name, Total: a.Amount + spike})
				spike = 0
			}
		}
		if id, backend, ok := driver.request("a", 0, 2); ok {
			driver.endAttempt(id, backend, decision.OK)
			if driver.now > 10*time.Second {
				admittedLast++
			}
		}
	}
	if admittedLast < 40 {
		t.Errorf("%d admitted in the last 10 s, want at least 40 of the split of 50", admittedLast)
	}
}

// Under a plan that limits attempts in flight, those of other instances count.
func TestInFlightLimitCountsOtherInstances(t *testing.T) {
	cases := []struct {
		name      string
		elsewhere float64 // attempts in flight at other instances
		want      int
	}{{"nobody else", 0, 3}, {"two in flight elsewhere", 2, 1}, {"the limit reached elsewhere", 3, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := basicSettings()
			set.Instances = 2
			set.Plans = []decision.Plan{{MaxInFlight: 3, WeightFactor: 1}}
			driver := startDriver(t, set, time.Minute, upEndpoints(1, 2, 3)...)
			total := c.elsewhere
			scale := 0.0 // weight of one attempt
			driver.counter = func(a decision.AddToCounter) (decision.Outcome, float64) {
				if scale == 0 {
					scale = a.Amount
				}
				total += a.Amount / scale
				return decision.OK, total * scale
			}
			got := 0
			for range 6 {
				if _, _, ok := driver.request("a", 0, 2); ok {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d attempts in flight, want %d", got, c.want)
			}
		})
	}
}

// A customer whose requests are spread over a hundred instances, each of which rarely sees it, gets its full quota and
// not much more, however many requests it sends. Splits of the quota would give it nothing, or one request per
// instance.
func TestQuotaOverAHundredInstances(t *testing.T) {
	cases := []struct {
		name     string
		rate     float64 // requests per second, for a minute
		answer   counterFunc
		min, max int
	}{
		{"half the quota", 1, sharedCounter{}.add, 58, 60},
		{"four times the quota", 8, sharedCounter{}.add, 110, 135},
		{"sixteen times the quota", 32, sharedCounter{}.add, 110, 140},
		{"sixteen times, counter times out", 32, timesOut, 0, 135},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := basicSettings()
			set.CounterTimeout = 80 * time.Millisecond
			set.Plans = []decision.Plan{{Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaCost: 1}}
			instances := startInstances(t, 100, set, time.Hour, c.answer, upEndpoints(1, 2, 3, 4, 5, 6)...)
			rng := rand.New(rand.NewPCG(1, 2))
			sent := 0
			for at := time.Hour; at < time.Hour+time.Minute; at += time.Duration(float64(time.Second) / c.rate) {
				driver := instances[rng.IntN(len(instances))]
				driver.advanceTo(at)
				if id, backend, ok := driver.request("a", 0, 100); ok {
					sent++
					driver.advance(20 * time.Millisecond)
					driver.endAttempt(id, backend, decision.OK)
				}
			}
			if sent < c.min || sent > c.max {
				t.Errorf("%d of %v admitted, want %d to %d", sent, 60*c.rate, c.min, c.max)
			}
		})
	}
}

// The counter's total is reduced when an attempt in flight ends, and when a request whose units were added is rejected.
// Otherwise the limit would stay used up.
func TestInFlightLimitOverManyInstances(t *testing.T) {
	set := basicSettings()
	set.Plans = []decision.Plan{{MaxInFlight: 3, WeightFactor: 1, OverQuotaCost: 1}}
	shared := sharedCounter{}
	instances := startInstances(t, 40, set, time.Hour, shared.add, upEndpoints(1, 2, 3, 4)...)
	type attempt struct {
		driver  *driver
		request decision.RequestID
		backend decision.BackendID
	}
	for round := range 5 {
		var inFlight []attempt
		for i := range 12 {
			driver := instances[(round*12+i)%len(instances)]
			driver.advanceTo(time.Hour + time.Duration(round)*100*time.Millisecond)
			if id, backend, ok := driver.request("a", 0, 40); ok {
				inFlight = append(inFlight, attempt{driver, id, backend})
			}
		}
		if len(inFlight) != 3 {
			t.Fatalf("round %d: %d attempts in flight under a limit of 3", round, len(inFlight))
		}
		for _, a := range inFlight {
			a.driver.endAttempt(a.request, a.backend, decision.OK)
		}
	}
}

// The counter rejects three of four calls, so fewer calls are made. Use that was admitted without a call waits for one
// if it is a tenth of the quota or more: about half of it reaches the counter. Without waiting it would be a sixth.
func TestPendingUseWaitsForCounter(t *testing.T) {
	reported := func(rejects bool) (sum float64) {
		set := basicSettings()
		set.Instances = 2
		set.Plans = []decision.Plan{{Rate: 1, Burst: 20, WeightFactor: 1, OverQuotaCost: 1}}
		driver := startDriver(t, set, time.Second, upEndpoints(1, 2)...)
		calls := 0
		driver.counter = func(c decision.AddToCounter) (decision.Outcome, float64) {
			if calls++; rejects && calls%4 != 0 {
				return decision.Rejected, 0
			}
			sum += c.Amount
			return decision.OK, sum
		}
		for i := range 64 {
			if id, backend, ok := driver.request(fmt.Sprint("c", i%8), 0, 2); ok {
				driver.endAttempt(id, backend, decision.OK)
			}
			driver.advance(10 * time.Millisecond)
		}
		driver.advance(10 * time.Second)
		return sum
	}
	if all, some := reported(false), reported(true); some < 0.4*all {
		t.Errorf("a counter that rejects three of four calls got %.0f units, one that rejects none got %.0f", some, all)
	}
}
