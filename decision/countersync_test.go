package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sandyard/decision"
)

// The counter restarts and has lost its totals, so it would let a customer use its ceiling a second time. Its answer is far
// below the total expected: nothing beyond the split is admitted until the use before has faded.
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
			if id, s, sent := driver.request("a", 0, 2); sent {
				n++
				driver.endAttempt(id, s, decision.OK)
			}
		}
		return n
	}
	first := admit()
	total = 0
	second := admit()
	driver.advance(time.Second) // the fading time
	third := admit()
	if first < 10 || second > 0 || third < 10 {
		t.Errorf("%d, then %d once the counter has forgotten, then %d", first, second, third)
	}
}

// Others used very much for a moment, so that all requests of a customer are rejected here and the counter is not called for
// it. It must get its quota again when their use has faded.
func TestRejectedCustomerGetsItsQuotaAgain(t *testing.T) {
	set := basicSettings()
	set.Instances = 2
	set.Plans = []decision.Plan{{Rate: 10, Burst: 10, WeightFactor: 1}}
	driver := startDriver(t, set, 0, upEndpoints(1, 2, 3)...)
	seen, late, spike := 0, 0, 300.0
	for driver.now < 20*time.Second {
		driver.advance(25 * time.Millisecond)
		for ; seen < len(driver.actions); seen++ {
			if a, ok := driver.actions[seen].(decision.AddToCounter); ok { // once, the others used very much
				driver.handle(decision.CounterReplied{Name: a.Name, Total: a.Amount + spike})
				spike = 0
			}
		}
		if id, s, ok := driver.request("a", 0, 2); ok {
			driver.endAttempt(id, s, decision.OK)
			if driver.now > 10*time.Second {
				late++
			}
		}
	}
	if late < 40 {
		t.Errorf("%d admitted in 10 s, want at least the split of 50", late)
	}
}

// Attempts in flight at other instances count under a plan that limits them.
func TestInFlightLimitCountsOtherInstances(t *testing.T) {
	cases := []struct {
		name      string
		elsewhere float64
		want      int
	}{{"nobody else", 0, 3}, {"two in flight elsewhere", 2, 1}, {"the limit reached elsewhere", 3, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := basicSettings()
			set.Instances = 2
			set.Plans = []decision.Plan{{MaxInFlight: 3, WeightFactor: 1}}
			driver := startDriver(t, set, time.Minute, upEndpoints(1, 2, 3)...)
			total := c.elsewhere
			scale := 0.0 // what one attempt counts as
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

// A customer that comes in through a hundred instances, each of which hardly ever sees it, gets its quota: all of it, and not
// much more, whatever it asks for. Splits would give it nothing, or a request at each instance.
func TestQuotaOverAHundredInstances(t *testing.T) {
	cases := []struct {
		name     string
		asked    float64 // a second, for a minute
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
			for at := time.Hour; at < time.Hour+time.Minute; at += time.Duration(float64(time.Second) / c.asked) {
				driver := instances[rng.IntN(len(instances))]
				driver.advanceTo(at)
				if id, s, ok := driver.request("a", 0, 100); ok {
					sent++
					driver.advance(20 * time.Millisecond)
					driver.endAttempt(id, s, decision.OK)
				}
			}
			if sent < c.min || sent > c.max {
				t.Errorf("%d of %v admitted, want %d to %d", sent, 60*c.asked, c.min, c.max)
			}
		})
	}
}

// Attempts in flight are taken back at the counter when they end, and so is what was added for a request that was rejected: else
// the limit would stay used up.
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
			if id, s, ok := driver.request("a", 0, 40); ok {
				inFlight = append(inFlight, attempt{driver, id, s})
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

// The counter rejects three calls of four, so fewer are made. Use that was admitted without asking waits for a call where it is a
// tenth of the quota or more: about half of it reaches the counter; without waiting it would be a sixth.
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
			if id, s, ok := driver.request(fmt.Sprint("c", i%8), 0, 2); ok {
				driver.endAttempt(id, s, decision.OK)
			}
			driver.advance(10 * time.Millisecond)
		}
		driver.advance(10 * time.Second)
		return sum
	}
	if all, some := reported(false), reported(true); some < 0.4*all {
		t.Errorf("a counter that rejects three calls of four got %.0f units, another %.0f", some, all)
	}
}
