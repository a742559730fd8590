package decision_test

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"sandyard/decision"
)

// A replay of a trace starts from a recorded state. A corrupt state, or one of other settings, must give an error with
// its place instead of a gateway that uses it. A valid state gives a gateway with the same state.
func TestRestoreChecksTheState(t *testing.T) {
	settings := basicSettings()
	settings.Instances = 2
	settings.Plans = []decision.Plan{{Rate: 10, Burst: 20, WeightFactor: 1}}
	driver := startDriver(t, settings, time.Hour, upEndpoints(1, 2)...)
	driver.request("a", 0, 1) // gets an attempt
	driver.request("b", 0, 2) // waits for the counter
	snapshot := func() decision.State {
		state, err := driver.gateway.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return state
	}
	restored, err := decision.Restore(settings, snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Snapshot(); err != nil || !reflect.DeepEqual(again, snapshot()) {
		t.Errorf("the restored gateway has another state (%v)", err)
	}
	for _, c := range []struct {
		table  string
		row    int
		change func(*decision.State)
	}{
		{"Random", -1, func(s *decision.State) { s.Random = nil }},
		{"Controllers", -1, func(s *decision.State) { s.Controllers = s.Controllers[1:] }},
		{"KnownRequests", -1, func(s *decision.State) { s.KnownRequests = 3 }},
		{"Customers", 1, func(s *decision.State) { s.Customers[1].Plan = 2 }},
		{"Backends", 0, func(s *decision.State) { s.Backends[0].Failures = nil }},
		{"UpBackends", 1, func(s *decision.State) { s.UpBackends[1] = 2 }},
		{"Requests", 0, func(s *decision.State) { s.Requests[0].Attempts[0].Backend = -1 }},
		{"CounterCalls", 0, func(s *decision.State) { s.CounterCalls[0].Request = 4 }},
	} {
		state := snapshot()
		c.change(&state)
		_, err := decision.Restore(settings, state)
		var place *decision.StateError
		if !errors.Is(err, decision.ErrStateMismatch) || !errors.As(err, &place) || place.Table != c.table || place.Row != c.row {
			t.Errorf("error %v, want one at %s %d", err, c.table, c.row)
		}
	}
}
