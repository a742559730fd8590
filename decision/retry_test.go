package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// A request that may have run must not have its effect twice. After each outcome of an attempt, a request is sent again
// only if its class makes that safe. A request that may have run and must not run again fails, since a rejection would
// invite the client to repeat it.
func TestRetryRespectsIdempotency(t *testing.T) {
	cases := []struct {
		name    string
		class   decision.ClassID
		outcome decision.Outcome
		sends   int
		rejects int
		fails   int
	}{
		{"idempotent after an error", 0, decision.BackendError, 1, 0, 0},
		{"idempotent after a rejection", 0, decision.Rejected, 1, 0, 0},
		{"not idempotent after a rejection", 1, decision.Rejected, 1, 0, 0},
		{"not idempotent after a failed connect", 1, decision.ConnectFailed, 1, 0, 0},
		{"not idempotent after an error", 1, decision.BackendError, 0, 0, 1},
		{"not idempotent after a reset", 1, decision.ConnectionReset, 0, 0, 1},
		{"not idempotent after a timeout", 1, decision.TimedOut, 0, 0, 1},
		{"not idempotent after a cancel", 1, decision.Cancelled, 0, 0, 1},
		{"not idempotent and never sent", 1, decision.NotSent, 1, 0, 0},
		{"idempotent by key after an error", 2, decision.BackendError, 1, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2, 3)...)
			id, backend, _ := driver.request("a", c.class, 1)
			driver.advance(20 * time.Millisecond)
			actions := driver.endAttempt(id, backend, c.outcome)
			if n := countActions[decision.SendAttempt](actions); n != c.sends {
				t.Errorf("%d attempts, want %d", n, c.sends)
			}
			if n := countActions[decision.Reject](actions); n != c.rejects {
				t.Errorf("%d rejections, want %d", n, c.rejects)
			}
			if n := countActions[decision.Fail](actions); n != c.fails {
				t.Errorf("%d failures, want %d", n, c.fails)
			}
		})
	}
}

// Backends of one zone know the idempotency key. Those of the other zone would run the request again, and after the
// key's lifetime all would. A retry must stay in the zone, and must not be sent when the key may have expired.
func TestKeyedRetryStaysInScopeAndKeyLifetime(t *testing.T) {
	endpoints := []decision.Endpoint{{Backend: 1, Zone: 0}, {Backend: 2, Zone: 0}, {Backend: 3, Zone: 1}, {Backend: 4, Zone: 1}}
	zone := map[decision.BackendID]int{1: 0, 2: 0, 3: 1, 4: 1}
	for range 20 {
		driver := startDriver(t, basicSettings(), 0, endpoints...)
		id, backend, _ := driver.request("a", 2, 1)
		driver.advance(10 * time.Millisecond)
		for _, a := range driver.endAttempt(id, backend, decision.BackendError) {
			if a, ok := a.(decision.SendAttempt); ok && zone[a.Backend] != zone[backend] {
				t.Fatalf("resent from zone %d to %d", zone[backend], zone[a.Backend])
			}
		}
	}
	driver := startDriver(t, basicSettings(), 0, endpoints...)
	id, backend, _ := driver.request("a", 2, 1)
	driver.advance(1500 * time.Millisecond) // the key has expired
	actions := driver.endAttempt(id, backend, decision.BackendError)
	if countActions[decision.SendAttempt](actions) != 0 || countActions[decision.Fail](actions) != 1 {
		t.Errorf("after the key's lifetime: %v, want a failure", actions)
	}
}
