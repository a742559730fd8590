package proxy

import (
	"testing"
	"time"

	"sandyard/decision"
)

// A single slow connection must not raise the estimate. A permanently longer round trip must be accepted after one to two
// windows.
func TestRoundTripEstimate(t *testing.T) {
	var estimate roundTripEstimate
	for _, step := range []struct{ at, took, want time.Duration }{
		{0, 20, 20}, {1, 900, 20}, {2, 15, 15}, {roundTripWindow - 1, 200, 15}, {roundTripWindow, 200, 15}, {2*roundTripWindow - 1, 300, 15}, {2 * roundTripWindow, 300, 200},
		{3 * roundTripWindow, 300, 300}, {9 * roundTripWindow, 0, 1},
	} {
		if estimate.add(step.took, step.at); estimate.shortest() != step.want {
			t.Errorf("at %v: %v, want %v", step.at, estimate.shortest(), step.want)
		}
	}
}

// The decision gateway gets the round-trip time of each attempt, doubled if the attempt had to wait for a new connection.
// When the address of a backend changes, a new estimate is started.
func TestAttemptReportsRoundTrip(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	var reported []time.Duration
	r.instance.RecordDecision = func(s DecisionStep) {
		if e, ok := s.Event.(decision.AttemptEnded); ok {
			reported = append(reported, e.RoundTrip)
		}
	}
	for range 2 {
		_, ex := r.request("GET", "/look", "ka", "")
		r.collect()
		var conn *BackendConn
		for _, effect := range r.effects {
			if effect.Kind == DialBackend {
				r.advance(30 * time.Millisecond)
				r.instance.BackendConnected(r.now, effect.Conn)
			}
		}
		conn = r.want(WriteAttempt).Conn
		r.advance(50 * time.Millisecond)
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		r.effects = nil
	}
	moved := endpointList(1, 0)
	moved[0].Address = "10.0.9.9:80"
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: moved})
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200)
	if len(reported) != 3 || reported[0] != 60*time.Millisecond || reported[1] != 30*time.Millisecond || reported[2] != 1 {
		t.Errorf("%v", reported)
	}
}
