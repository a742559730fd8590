package proxy

import (
	"testing"
	"time"
)

// An endpoint list message is still unread when an attempt is about to start; it may say that the backend drains. When the
// message has waited for half of the drain grace, no attempt may start and no connection may be dialled, and the request is
// rejected.
func TestAttemptIsNotSentWhileEndpointUpdateWaits(t *testing.T) {
	const grace = time.Second
	const late = grace / unhandledGraceDivisor
	for _, c := range []struct {
		name                  string
		atDecision, atConnect time.Duration // how long the message has waited
		dials, writes         bool
	}{
		{"no message waits", 0, 0, true, true},
		{"the message has waited for less than the limit", late - 1, late - 1, true, true},
		{"the limit is reached while the connection is being established", late - 1, late, true, false},
		{"the limit is reached before the decision", late, late, false, false},
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
			t.Errorf("%s: the attempt is written: %v", c.name, wrote)
		}
		if !c.writes {
			r.wantResponse("503") // non-idempotent, but known not to have run: rejected
		}
	}
}
