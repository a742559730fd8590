package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// A backend accepts requests but never answers. Overdue answers must divert requests before the attempts time out.
func TestHangingBackendIsAvoided(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2, 3, 4)...)
	got := sendRequests(driver, 1, 400, 100*time.Millisecond, func(backend decision.BackendID) (time.Duration, decision.Outcome) {
		if backend == 1 {
			return 0, decision.OK // never
		}
		return answersIn50ms()
	})
	if got[1] > 20 {
		t.Errorf("a backend that never answers got %d of 400 requests", got[1])
	}
}

// A backend fails every request at once, so its queue is always the shortest and would attract all requests.
func TestBackendWithFastErrorsIsAvoided(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2, 3, 4)...)
	got := sendRequests(driver, 1, 400, 20*time.Millisecond, func(backend decision.BackendID) (time.Duration, decision.Outcome) {
		if backend == 1 {
			return time.Millisecond, decision.BackendError
		}
		return answersIn50ms()
	})
	if got[1] > 20 {
		t.Errorf("a backend that fails fast got %d of 400 requests", got[1])
	}
}

// If all backends fail equally, for example because a shared dependency is down, all of them stay in use.
func TestEquallyFailingBackendsStayInUse(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2, 3, 4, 5, 6)...)
	failing := func(decision.BackendID) (time.Duration, decision.Outcome) {
		return 20 * time.Millisecond, decision.BackendError
	}
	sendRequests(driver, 1, 300, 30*time.Millisecond, failing)
	got := sendRequests(driver, 1, 60, 30*time.Millisecond, failing)
	if len(got) < 4 { // fewer would mean that some backends are ejected in favor of the others
		t.Errorf("only %d of 6 equally failing backends are used", len(got))
	}
}

// One of a hundred instances rarely sends to each backend. If failures are rare, a single failure must divert its
// requests from a backend.
func TestSingleFailureDivertsRequests(t *testing.T) {
	set := basicSettings()
	set.Instances = 100
	driver := startDriver(t, set, 0, upEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	got := sendRequests(driver, 1, 400, 200*time.Millisecond, func(backend decision.BackendID) (time.Duration, decision.Outcome) {
		if backend == 1 {
			return 300 * time.Millisecond, decision.ConnectionReset
		}
		return answersIn50ms()
	})
	if got[1] > 20 { // an equal share is 50
		t.Errorf("a failing backend got %d of 400 requests", got[1])
	}
}
