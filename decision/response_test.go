package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// The deadline passes, the end of the attempt is reported late and twice, and the client disconnects: the request gets
// exactly one answer.
func TestDeadlineAnswersExactlyOnce(t *testing.T) {
	for class, fail := range []int{0, 1} {
		driver := startDriver(t, basicSettings(), 0, upEndpoints(1)...)
		id, backend, _ := driver.request("a", decision.ClassID(class), 1)
		driver.advance(2 * time.Second)
		driver.endAttempt(id, backend, decision.TimedOut)
		driver.endAttempt(id, backend, decision.OK) // a second, late report
		driver.handle(decision.ClientDisconnected{Request: id})
		driver.advance(time.Minute)
		if r, f := countActions[decision.Reject](driver.actions), countActions[decision.Fail](driver.actions); r != 1-fail || f != fail {
			t.Errorf("class %d: %d rejections and %d failures", class, r, f)
		}
	}
}

// A client that receives a stream already has its answer: no deadline cuts the stream off, and no retry replaces it.
func TestStreamHasNoDeadline(t *testing.T) {
	set := basicSettings()
	set.Classes[0].Stream = true
	driver := startDriver(t, set, 0, upEndpoints(1, 2)...)
	id, backend, _ := driver.request("a", 0, 1)
	driver.handle(decision.StreamStarted{Request: id, Backend: backend})
	driver.actions = nil
	driver.advance(10 * time.Second)
	driver.endAttempt(id, backend, decision.ConnectionReset)
	if n := countActions[decision.SendAttempt](driver.actions) + countActions[decision.CancelAttempt](driver.actions); n != 0 {
		t.Errorf("%d attempts sent or cancelled while the answer was being streamed", n)
	}
	if n := countActions[decision.Fail](driver.actions) + countActions[decision.Reject](driver.actions); n != 1 {
		t.Errorf("%d local responses after the stream's connection was reset, want 1", n)
	}
}

// A rejection carries a Retry-After hint that clients respect, so short that a few tries fit into the latency
// objective. There is no hint if the settings do not allow it.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := basicSettings()
		set.RetryAfter, set.MaxRetryAfter = allowed, 500*time.Millisecond
		set.Plans = []decision.Plan{{Rate: 20, Burst: 1, WeightFactor: 1, OverQuotaCost: 1}}
		driver := startDriver(t, set, time.Second, upEndpoints(1, 2)...)
		hints := []time.Duration{}
		for range 4 {
			id := driver.nextRequest
			driver.nextRequest++
			for _, a := range driver.handle(decision.RequestArrived{Request: id, Customer: "c", TimeLeft: 2 * time.Second, Units: 1, Spread: 1}) {
				if a, ok := a.(decision.Reject); ok {
					hints = append(hints, a.RetryAfter)
				}
			}
		}
		if len(hints) != 3 {
			t.Fatalf("%d rejected of 4 with a burst of 1", len(hints))
		}
		for _, d := range hints {
			if most := set.Classes[0].LatencyObjective / 2; allowed != (d > 0) || d > most {
				t.Errorf("RetryAfter %v: hint %v, want at most %v", allowed, d, most)
			}
		}
	}
}
