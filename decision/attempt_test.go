package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// If a client disconnects while its attempt is in flight, the attempt is cancelled only if the settings allow it.
func TestCancelsOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := basicSettings()
		set.Cancel = allowed
		driver := startDriver(t, set, 0, upEndpoints(1)...)
		id, _, _ := driver.request("a", 0, 1)
		if n := countActions[decision.CancelAttempt](driver.handle(decision.ClientDisconnected{Request: id})); (n == 1) != allowed {
			t.Errorf("Cancel %v: %d CancelAttempt actions", allowed, n)
		}
	}
}

// Of two hundred simultaneous requests, those whose answer would be too late are rejected before any attempt.
func TestRejectsRequestsThatWouldBeLate(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2)...)
	for range 40 { // the gateway learns that attempts take 100 ms each
		id, backend, ok := driver.request("a", 0, 1)
		driver.advance(100 * time.Millisecond)
		if ok {
			driver.endAttempt(id, backend, decision.OK)
		}
	}
	sent := 0
	for range 200 { // simultaneously
		if _, _, ok := driver.request("a", 0, 1); ok {
			sent++
		}
	}
	if sent < 4 || sent > 20 {
		t.Errorf("%d simultaneous attempts at two backends that take 100 ms per request, with an objective of 1 s, want 4 to 20", sent)
	}
}
