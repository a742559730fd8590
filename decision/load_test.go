package decision_test

import (
	"fmt"
	"testing"
	"time"

	"sandyard/decision"
)

// With distant backends, the round-trip time does not count as load, but the rest of the latency does. Invalid
// round-trip times do not hide load.
func TestRoundTripDoesNotCountAsLoad(t *testing.T) {
	for _, c := range []struct {
		roundTrip   time.Duration
		latency     time.Duration
		allAdmitted bool
	}{{0, 600 * time.Millisecond, false}, {550 * time.Millisecond, 600 * time.Millisecond, true}, {50 * time.Millisecond, 600 * time.Millisecond, false},
		{time.Hour, 600 * time.Millisecond, true}, {-time.Hour, 600 * time.Millisecond, false}} {
		set := basicSettings()
		set.Classes[0].Idempotency = decision.NotIdempotent
		driver := startDriver(t, set, 0, upEndpoints(1, 2)...)
		rejected := 0
		for i := range 60 {
			id, backend, ok := driver.request(fmt.Sprint("c", i), 0, 1)
			driver.advance(c.latency)
			if ok {
				driver.handle(decision.AttemptEnded{Request: id, Backend: backend, Outcome: decision.OK, Latency: c.latency, RoundTrip: c.roundTrip})
			} else {
				rejected++
			}
		}
		if c.allAdmitted != (rejected == 0) {
			t.Errorf("%d of 60 sequential requests rejected, with a latency of %v and a round-trip time of %v", rejected, c.latency, c.roundTrip)
		}
	}
}

// After a report of a long queue, all requests are rejected, so no more reports arrive. The old report must not count
// forever.
func TestOldQueueReportFades(t *testing.T) {
	set := basicSettings()
	set.LoadFields = []decision.LoadField{decision.FieldInFlight}
	driver := startDriver(t, set, 0, upEndpoints(1, 2)...)
	for range 12 {
		id, backend, ok := driver.request("a", 0, 1)
		driver.advance(100 * time.Millisecond)
		if ok {
			driver.handle(decision.AttemptEnded{Request: id, Backend: backend, Answered: true, Load: []float64{500}})
		}
	}
	if _, _, ok := driver.request("a", 0, 1); ok {
		t.Error("an attempt was sent at a reported queue of 500")
	}
	driver.advance(20 * time.Second)
	if _, _, ok := driver.request("a", 0, 1); !ok {
		t.Error("rejected 20 s after the last report")
	}
}
