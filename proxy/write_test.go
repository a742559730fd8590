package proxy

import (
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// TestWriteLooksAgain: what was decided on is looked at once more just before an attempt's first byte, however long its line
// took and wherever attempts can't be withdrawn. Each case is one change between the two.
func TestWriteLooksAgain(t *testing.T) {
	keepsOn := strings.Replace(rigConfig, "attempts: {most: 3}", "attempts: {most: 3, cancel: false}", 1)
	gone := entries(1, 0)
	for _, c := range []struct {
		name   string
		change func(r *rig, cl *ClientConn, ex *Exchange)
		writes bool
	}{
		{"nothing", func(*rig, *ClientConn, *Exchange) {}, true},
		{"the client left", func(r *rig, cl *ClientConn, ex *Exchange) { r.core.ClientLeft(r.now, cl.Gone()) }, false},
		{"the client left, and the core has not heard", func(r *rig, cl *ClientConn, ex *Exchange) { cl.Gone() }, false},
		{"its time is up", func(r *rig, cl *ClientConn, ex *Exchange) { r.now = r.core.due(ex) }, false},
		{"a whole list leaves its box out", func(r *rig, cl *ClientConn, ex *Exchange) { r.core.ReplaceEndpoints(r.now, nil, time.Time{}) }, false},
		{"its box has gone", func(r *rig, cl *ClientConn, ex *Exchange) {
			gone[0].State = config.EndpointState(2)
			r.core.UpdateEndpoints(r.now, gone, time.Time{})
		}, false},
		{"its box drains, a moment ago", func(r *rig, cl *ClientConn, ex *Exchange) { r.core.UpdateEndpoints(r.now, entries(1, 1), time.Time{}) }, true},
	} {
		r := newRigOf(t, keepsOn, 1, 1, "")
		cl, ex := r.ask("GET", "/look", "ka", "")
		d := r.want(DialBackend)
		c.change(r, cl, ex)
		r.take()
		r.core.BackendConnected(r.now, d.Conn)
		r.take()
		wrote := false
		for _, w := range r.wishes {
			wrote = wrote || w.Kind == WriteAttempt
		}
		if wrote != c.writes {
			t.Errorf("%s: it is written: %v", c.name, wrote)
		}
	}
}

// TestNamedAgain: a box that a whole list left out, while a line to it was being made, may be named again, and is used again.
func TestNamedAgain(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.ask("GET", "/look", "ka", "")
	d := r.want(DialBackend)
	r.core.ReplaceEndpoints(r.now, nil, time.Time{})
	r.core.UpdateEndpoints(r.now, entries(1, 0), time.Time{})
	r.take()
	r.core.BackendConnected(r.now, d.Conn)
	r.want(WriteAttempt)
}

// TestToldTimeIsWhatIsLeft: a request whose line came up late tells its box what is left by then.
func TestToldTimeIsWhatIsLeft(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, ex := r.ask("GET", "/look", "ka", "")
	d := r.want(DialBackend)
	r.now += 100 * time.Millisecond
	told := timeTold{r.shared.Protocol.(*product), new(time.Duration)}
	r.shared.Protocol = told
	r.core.BackendConnected(r.now, d.Conn)
	r.want(WriteAttempt)
	if want := ex.attempts[0].until - r.now; *told.left != want || want <= 0 || r.now+want > r.core.due(ex) {
		t.Errorf("%v is told, %v is left", *told.left, want)
	}
}

// timeTold keeps the time that the last attempt was told of.
type timeTold struct {
	*product
	left *time.Duration
}

func (d timeTold) RenderAttempt(wire []byte, head int, left time.Duration) []byte {
	*d.left = left
	return wire
}
