package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// A backend accepts requests and answers nothing: silence must keep requests away before the timeouts come.
func TestHangingBackendIsAvoided(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2, 3, 4)...)
	got := playRequests(driver, 1, 400, 100*time.Millisecond, func(s decision.BackendID) (time.Duration, decision.Outcome) {
		if s == 1 {
			return 0, decision.OK // never
		}
		return answersIn50ms()
	})
	if got[1] > 20 {
		t.Errorf("a backend that answers nothing got %d of 400", got[1])
	}
}

// A backend fails every request at once, so its queue is always the shortest and would draw all requests.
func TestBackendWithFastErrorsIsAvoided(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2, 3, 4)...)
	got := playRequests(driver, 1, 400, 20*time.Millisecond, func(s decision.BackendID) (time.Duration, decision.Outcome) {
		if s == 1 {
			return time.Millisecond, decision.BackendError
		}
		return answersIn50ms()
	})
	if got[1] > 20 {
		t.Errorf("a backend that fails fast got %d of 400", got[1])
	}
}

// All backends fail alike, as when what they share is down: all stay in use.
func TestBackendsFailingAlikeStayInUse(t *testing.T) {
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2, 3, 4, 5, 6)...)
	failing := func(decision.BackendID) (time.Duration, decision.Outcome) {
		return 20 * time.Millisecond, decision.BackendError
	}
	playRequests(driver, 1, 300, 30*time.Millisecond, failing)
	got := playRequests(driver, 1, 60, 30*time.Millisecond, failing)
	if len(got) < 4 { // more than that would be one part ejected for the others
		t.Errorf("only %d of 6 equally failing backends are used", len(got))
	}
}

// One of a hundred instances meets each backend seldom. Where failures are rare, one failure keeps it away from a backend.
func TestOneFailureIsEvidence(t *testing.T) {
	set := basicSettings()
	set.Instances = 100
	driver := startDriver(t, set, 0, upEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	got := playRequests(driver, 1, 400, 200*time.Millisecond, func(s decision.BackendID) (time.Duration, decision.Outcome) {
		if s == 1 {
			return 300 * time.Millisecond, decision.ConnectionReset
		}
		return answersIn50ms()
	})
	if got[1] > 20 { // an equal share is 50
		t.Errorf("a backend that fails got %d of 400", got[1])
	}
}
