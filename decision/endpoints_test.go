package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// A backend that is draining or removed may end at any time: it gets no first attempt and no retry. Without any backend,
// requests are rejected at once.
func TestDrainingAndRemovedBackendsGetNoAttempts(t *testing.T) {
	for _, state := range []decision.EndpointState{decision.Draining, decision.Removed} {
		driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2)...)
		id, first, _ := driver.request("a", 0, 1)
		other := 3 - first
		driver.handle(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: other, State: state}}})
		for range 30 {
			if _, s, sent := driver.request("a", 0, 1); sent && s == other {
				t.Fatalf("sent to a backend in state %v", state)
			}
		}
		for _, a := range driver.endAttempt(id, first, decision.Rejected) {
			if a, ok := a.(decision.SendAttempt); ok && a.Backend == other {
				t.Fatal("retried at a backend that is not up")
			}
		}
	}
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2)...)
	driver.handle(decision.EndpointsChanged{Full: true})
	if _, _, sent := driver.request("a", 0, 1); sent || countActions[decision.Reject](driver.actions) != 1 {
		t.Error("an empty list must give a rejection at once")
	}
}

// Backends that had drained before they were removed stayed in the table for ever: a change that removes them, and a full
// list that leaves them out, must have them forgotten.
func TestDrainedBackendsAreForgotten(t *testing.T) {
	for name, removal := range map[string]decision.EndpointsChanged{
		"a change":    {Endpoints: []decision.Endpoint{{Backend: 2, State: decision.Removed}}},
		"a full list": {Full: true, Endpoints: upEndpoints(1)},
	} {
		driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2)...)
		driver.handle(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: 2, State: decision.Draining}}})
		driver.handle(removal)
		state, err := driver.gateway.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if state.KnownBackends != 1 {
			t.Errorf("%s: %d backends are kept, 1 is listed", name, state.KnownBackends)
		}
	}
}

// A watch that failed is asked for again, but not at once: all instances see the failure together.
func TestWatchesAgainAfterFailure(t *testing.T) {
	set := basicSettings()
	set.Subscribe = true
	driver := startDriver(t, set, 0)
	driver.advance(time.Second)
	if n := countActions[decision.WatchEndpoints](driver.actions); n != 1 {
		t.Fatalf("%d watches at the start", n)
	}
	if n := countActions[decision.WatchEndpoints](driver.handle(decision.EndpointsChanged{Failed: true})); n != 0 {
		t.Errorf("watched again at once")
	}
	driver.advance(time.Second)
	if n := countActions[decision.WatchEndpoints](driver.actions); n != 2 {
		t.Errorf("%d watches after a failure, want 2", n)
	}
}
