package proxy

import (
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// TestAttemptIsCheckedBeforeFirstByte: what was decided on is looked at once more just before an attempt's first byte, however long its line
// took and wherever attempts can't be withdrawn. Each case is one change between the two.
func TestAttemptIsCheckedBeforeFirstByte(t *testing.T) {
	keepsOn := strings.Replace(rigConfig, "attempts: {most: 3}", "attempts: {most: 3, cancel: false}", 1)
	gone := entries(1, 0)
	for _, c := range []struct {
		name   string
		change func(r *rig, cl *ClientConn, ex *Exchange)
		writes bool
	}{
		{"nothing", func(*rig, *ClientConn, *Exchange) {}, true},
		{"the client left", func(r *rig, cl *ClientConn, ex *Exchange) { r.instance.ClientLeft(r.now, cl.Disconnected()) }, false},
		{"the client left, and the core has not heard", func(r *rig, cl *ClientConn, ex *Exchange) { cl.Disconnected() }, false},
		{"its time is up", func(r *rig, cl *ClientConn, ex *Exchange) { r.now = r.instance.answerDeadline(ex) }, false},
		{"a whole list leaves its box out", func(r *rig, cl *ClientConn, ex *Exchange) { r.instance.ReplaceEndpoints(r.now, nil, time.Time{}) }, false},
		{"its box has gone", func(r *rig, cl *ClientConn, ex *Exchange) {
			gone[0].State = config.EndpointState(2)
			r.instance.UpdateEndpoints(r.now, gone, time.Time{})
		}, false},
		{"its box drains, a moment ago", func(r *rig, cl *ClientConn, ex *Exchange) {
			r.instance.UpdateEndpoints(r.now, entries(1, 1), time.Time{})
		}, true},
	} {
		r := newRigOf(t, keepsOn, 1, 1, "")
		cl, ex := r.request("GET", "/look", "ka", "")
		d := r.want(DialBackend)
		c.change(r, cl, ex)
		r.collect()
		r.instance.BackendConnected(r.now, d.Conn)
		r.collect()
		wrote := false
		for _, w := range r.effects {
			wrote = wrote || w.Kind == WriteAttempt
		}
		if wrote != c.writes {
			t.Errorf("%s: it is written: %v", c.name, wrote)
		}
	}
}

// TestRemovedEndpointReturnsWhileConnecting: a box that a whole list left out, while a line to it was being made, may be named again, and is used again.
func TestRemovedEndpointReturnsWhileConnecting(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.request("GET", "/look", "ka", "")
	d := r.want(DialBackend)
	r.instance.ReplaceEndpoints(r.now, nil, time.Time{})
	r.instance.UpdateEndpoints(r.now, entries(1, 0), time.Time{})
	r.collect()
	r.instance.BackendConnected(r.now, d.Conn)
	r.want(WriteAttempt)
}

// TestAttemptCarriesRemainingTime: a request whose line came up late tells its box what is left by then.
func TestAttemptCarriesRemainingTime(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	d := r.want(DialBackend)
	r.now += 100 * time.Millisecond
	told := recordedTimeout{r.shared.Protocol.(*configuredProtocol), new(time.Duration)}
	r.shared.Protocol = told
	r.instance.BackendConnected(r.now, d.Conn)
	r.want(WriteAttempt)
	if want := ex.attempts[0].deadline - r.now; *told.remaining != want || want <= 0 || r.now+want > r.instance.answerDeadline(ex) {
		t.Errorf("%v is told, %v is left", *told.remaining, want)
	}
}

// recordedTimeout keeps the time that the last attempt was told of.
type recordedTimeout struct {
	*configuredProtocol
	remaining *time.Duration
}

func (d recordedTimeout) RenderAttempt(wire []byte, head int, left time.Duration) []byte {
	*d.remaining = left
	return wire
}
