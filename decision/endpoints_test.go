package decision_test

import (
	"testing"
	"time"

	"sandyard/decision"
)

// A draining or removed backend may stop at any time: it gets no first attempt and no retry. Without any backend,
// requests are rejected at once.
func TestDrainingAndRemovedBackendsGetNoAttempts(t *testing.T) {
	for _, state := range []decision.EndpointState{decision.Draining, decision.Removed} {
		driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2)...)
		id, first, _ := driver.request("a", 0, 1)
		other := 3 - first
		driver.handle(decision.EndpointsChanged{Endpoints: []decision.Endpoint{{Backend: other, State: state}}})
		for range 30 {
			if _, backend, sent := driver.request("a", 0, 1); sent && backend == other {
				t.Fatalf("sent an attempt to a backend in state %v", state)
			}
		}
		for _, a := range driver.endAttempt(id, first, decision.Rejected) {
			if a, ok := a.(decision.SendAttempt); ok && a.Backend == other {
				t.Fatal("sent a retry to a backend that is not up")
			}
		}
	}
	driver := startDriver(t, basicSettings(), 0, upEndpoints(1, 2)...)
	driver.handle(decision.EndpointsChanged{Full: true})
	if _, _, sent := driver.request("a", 0, 1); sent || countActions[decision.Reject](driver.actions) != 1 {
		t.Error("a request after an empty endpoint list was not rejected at once")
	}
}

// Backends that had drained before they were removed stayed in the table forever. Both a change that removes such a
// backend and a full list without it must delete it.
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
			t.Errorf("%s: %d backends in the table, want 1", name, state.KnownBackends)
		}
	}
}

// A failed watch is requested again, but not at once, because all instances see the failure at the same time.
func TestWatchesAgainAfterFailure(t *testing.T) {
	set := basicSettings()
	set.Subscribe = true
	driver := startDriver(t, set, 0)
	driver.advance(time.Second)
	if n := countActions[decision.WatchEndpoints](driver.actions); n != 1 {
		t.Fatalf("%d watches at the start", n)
	}
	if n := countActions[decision.WatchEndpoints](driver.handle(decision.EndpointsChanged{Failed: true})); n != 0 {
		t.Errorf("the watch was requested again at once")
	}
	driver.advance(time.Second)
	if n := countActions[decision.WatchEndpoints](driver.actions); n != 2 {
		t.Errorf("%d watches after a failure, want 2", n)
	}
}
