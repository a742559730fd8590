package door

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
		change func(r *rig, cl *Client, ex *Exchange)
		writes bool
	}{
		{"nothing", func(*rig, *Client, *Exchange) {}, true},
		{"the client left", func(r *rig, cl *Client, ex *Exchange) { r.core.Leave(r.now, cl.Gone()) }, false},
		{"the client left, and the core has not heard", func(r *rig, cl *Client, ex *Exchange) { cl.Gone() }, false},
		{"its time is up", func(r *rig, cl *Client, ex *Exchange) { r.now = r.core.due(ex) }, false},
		{"a whole list leaves its box out", func(r *rig, cl *Client, ex *Exchange) { r.core.List(r.now, nil, time.Time{}) }, false},
		{"its box has gone", func(r *rig, cl *Client, ex *Exchange) {
			gone[0].State = config.State(2)
			r.core.Changes(r.now, gone, time.Time{})
		}, false},
		{"its box drains, a moment ago", func(r *rig, cl *Client, ex *Exchange) { r.core.Changes(r.now, entries(1, 1), time.Time{}) }, true},
	} {
		r := newRigOf(t, keepsOn, 1, 1, "")
		cl, ex := r.ask("GET", "/look", "ka", "")
		d := r.want(Dial)
		c.change(r, cl, ex)
		r.take()
		r.core.LineUp(r.now, d.Line)
		r.take()
		wrote := false
		for _, w := range r.wishes {
			wrote = wrote || w.Kind == Write
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
	d := r.want(Dial)
	r.core.List(r.now, nil, time.Time{})
	r.core.Changes(r.now, entries(1, 0), time.Time{})
	r.take()
	r.core.LineUp(r.now, d.Line)
	r.want(Write)
}

// TestToldTimeIsWhatIsLeft: a request whose line came up late tells its box what is left by then.
func TestToldTimeIsWhatIsLeft(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, ex := r.ask("GET", "/look", "ka", "")
	d := r.want(Dial)
	r.now += 100 * time.Millisecond
	told := timeTold{r.shared.Dialect.(*product), new(time.Duration)}
	r.shared.Dialect = told
	r.core.LineUp(r.now, d.Line)
	r.want(Write)
	if want := ex.attempts[0].until - r.now; *told.left != want || want <= 0 || r.now+want > r.core.due(ex) {
		t.Errorf("%v is told, %v is left", *told.left, want)
	}
}

// timeTold keeps the time that the last attempt was told of.
type timeTold struct {
	*product
	left *time.Duration
}

func (d timeTold) Attempt(wire []byte, head int, left time.Duration) []byte {
	*d.left = left
	return wire
}
