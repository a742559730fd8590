package proxy

import (
	"testing"
	"time"

	"sandyard/decision"
)

// TestRoundTripEstimate: a slow connection does not make a box look far, and a longer route is believed in the end.
func TestRoundTripEstimate(t *testing.T) {
	var w roundTripEstimate
	for _, step := range []struct{ at, took, want time.Duration }{
		{0, 20, 20}, {1, 900, 20}, {2, 15, 15}, {roundTripMemory - 1, 200, 15}, {roundTripMemory, 200, 15}, {2*roundTripMemory - 1, 300, 15}, {2 * roundTripMemory, 300, 200},
		{3 * roundTripMemory, 300, 300}, {9 * roundTripMemory, 0, 1},
	} {
		if w.add(step.took, step.at); w.shortest() != step.want {
			t.Errorf("at %v: %v, not %v", step.at, w.shortest(), step.want)
		}
	}
}

// TestAttemptReportsRoundTrip: what is told of an attempt has the round trip, twice if its line had to be made; another address is another
// way.
func TestAttemptReportsRoundTrip(t *testing.T) {
	r := newRig(t, 1, 1, "")
	var told []time.Duration
	r.instance.RecordDecision = func(s DecisionStep) {
		if e, ok := s.Event.(decision.AttemptEnded); ok {
			told = append(told, e.RoundTrip)
		}
	}
	for range 2 {
		_, ex := r.request("GET", "/look", "ka", "")
		r.collect()
		var l *BackendConn
		for _, w := range r.effects {
			if w.Kind == DialBackend {
				r.advance(30 * time.Millisecond)
				r.instance.BackendConnected(r.now, w.Conn)
			}
		}
		l = r.want(WriteAttempt).Conn
		r.advance(50 * time.Millisecond)
		r.reply(l, ex, ok200)
		r.wantResponse("200")
		r.effects = nil
	}
	moved := entries(1, 0)
	moved[0].Address = "10.0.9.9:80"
	r.instance.ReplaceEndpoints(r.now, moved, time.Time{})
	_, ex := r.request("GET", "/look", "ka", "")
	l, _ := r.connect()
	r.reply(l, ex, ok200)
	if len(told) != 3 || told[0] != 60*time.Millisecond || told[1] != 30*time.Millisecond || told[2] != 1 {
		t.Errorf("%v", told)
	}
}
