package proxy

import (
	"testing"
	"time"
)

// A message of the endpoint list lay unread while an attempt began: it may have been that the backend drains. An attempt does
// not begin once the message has waited for half of the drain grace, nor is a connection made for it; its request is
// rejected.
func TestAttemptIsNotBegunBesideUnhandledEndpoints(t *testing.T) {
	const grace = time.Second
	const late = grace / unhandledGraceDivisor
	for _, c := range []struct {
		name                  string
		atDecision, atConnect time.Duration // for how long the message has waited
		dials, writes         bool
	}{
		{"none waits", 0, 0, true, true},
		{"it has just come", late - 1, late - 1, true, true},
		{"it waits for too long while the connection is made", late - 1, late, true, false},
		{"it has waited for too long", late, late, false, false},
	} {
		r := newHarness(t, 1, 1, "")
		r.shared.Config.Settings.DrainGrace = grace
		unhandledFor := c.atDecision
		r.instance.EndpointsUnhandledFor = func() time.Duration { return unhandledFor }
		r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
		if !c.dials {
			r.wantNone(DialBackend)
			r.wantResponse("503")
			continue
		}
		dial := r.want(DialBackend)
		unhandledFor = c.atConnect
		r.instance.BackendConnected(r.now, dial.Conn)
		if wrote := r.hasEffect(WriteAttempt); wrote != c.writes {
			t.Errorf("%s: it is written: %v", c.name, wrote)
		}
		if !c.writes {
			r.wantResponse("503") // unsafe, but known not to have run: a refusal
		}
	}
}
