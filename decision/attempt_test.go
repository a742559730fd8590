package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// A client leaves while its attempt is in flight: the attempt is cancelled only where the settings allow it.
func TestCancelsOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := basicSettings()
		set.Cancel = allowed
		driver := startDriver(t, set, 0, upEndpoints(1)...)
		id, _, _ := driver.request("a", 0, 1)
		if n := countActions[decision.CancelAttempt](driver.handle(decision.ClientDisconnected{Request: id})); (n == 1) != allowed {
			t.Errorf("allowed %v: %d cancels", allowed, n)
		}
	}
}

// Two hundred requests come at one stroke. Those whose answer would come too late are rejected before any attempt.
func TestShedsWhatWouldBeLate(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2)...)
	for range 40 { // learn that attempts take 100 ms each
		id, s, ok := driver.request("a", 0, 1)
		driver.advance(100 * time.Millisecond)
		if ok {
			driver.endAttempt(id, s, decision.OK)
		}
	}
	sent := 0
	for range 200 { // at one stroke
		if _, _, ok := driver.request("a", 0, 1); ok {
			sent++
		}
	}
	if sent < 4 || sent > 20 {
		t.Errorf("%d attempts at once at two backends of 100 ms a request with an objective of 1 s", sent)
	}
}
