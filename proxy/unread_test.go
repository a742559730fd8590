package proxy

import (
	"testing"
	"time"
)

// A message of the endpoint list lay unread while an attempt began: it may have been that the backend drains. An attempt does
// not begin once the message has waited for half of the drain grace; its request may go on to nobody, and is rejected.
func TestAttemptIsNotBegunBesideUnreadEndpoints(t *testing.T) {
	for _, c := range []struct {
		unreadFor func(grace time.Duration) time.Duration
		writes    bool
	}{
		{func(time.Duration) time.Duration { return 0 }, true},
		{func(grace time.Duration) time.Duration { return grace/unreadGraceDivisor - 1 }, true},
		{func(grace time.Duration) time.Duration { return grace / unreadGraceDivisor }, false},
	} {
		r := newHarness(t, 1, 1, "")
		unreadFor := c.unreadFor(r.shared.Config.Settings.DrainGrace)
		r.instance.EndpointsUnreadFor = func() time.Duration { return unreadFor }
		r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
		dial := r.want(DialBackend)
		r.instance.BackendConnected(r.now, dial.Conn)
		if wrote := r.hasEffect(WriteAttempt); wrote != c.writes {
			t.Errorf("unread for %v: it is written: %v", unreadFor, wrote)
		}
		if !c.writes {
			r.wantResponse("503") // unsafe, but known not to have run: a refusal
		}
	}
}
