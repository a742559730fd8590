package proxy

import (
	"strings"
	"testing"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/strictyaml"
)

// TestOneOpenRequestOfAName: while one is open another of its name gets 409, and nothing of it goes out.
func TestOneOpenRequestOfAName(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, first := r.ask("GET", "/look", "ka", "")
	first.Name = "n" // as a dialect sets it; the rig's sets none
	r.core.open["n"] = first
	l, _ := r.up()
	c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
	second := c.Feed(r.now, text("GET", "/look", "ka", ""))
	second.Name = "n"
	r.core.RequestArrived(r.now, second)
	r.final("409")
	r.none(DialBackend)
	r.reply(l, first, ok200)
	r.final("200")
	third := NewClientConn(r.shared, nil, "192.0.2.1", r.now).Feed(r.now, text("GET", "/look", "ka", ""))
	third.Name = "n"
	r.core.RequestArrived(r.now, third)
	r.none(Respond)
}

// TestLinesRest: bytes behind an answer are seen before its line is used again.
func TestLinesRest(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.ReuseDelay = strictyaml.Duration(20 * time.Millisecond)
	_, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	b := r.reply(l, ex, ok200)
	r.final("200")
	r.ask("GET", "/look", "ka", "")
	r.none(WriteAttempt) // on the line that has just answered
	d := r.want(DialBackend)
	r.core.BackendDisconnected(r.now, d.Conn, true)
	if a := b.Feed([]byte(ok200)); a.Kind != Malformed {
		t.Fatalf("a second copy of an answer: %+v", a)
	}
	r.pass(time.Second)
	r.ask("GET", "/look", "ka", "")
	if w := r.want(WriteAttempt); w.Conn != l {
		t.Error("a rested line is not used")
	}
}

// TestLinesAreBoundedOverAllBoxes: at the bound an idle line makes room, and where none is idle nothing is sent.
func TestLinesAreBoundedOverAllBoxes(t *testing.T) {
	r := newRig(t, 3, 1, "")
	r.shared.Config.Limits.BackendConns = 2
	for range 20 {
		r.ask("GET", "/look", "ka", "")
	}
	if _, _, lines := r.core.Sizes(); lines != 2 {
		t.Fatalf("%d lines of 2", lines)
	}
	for _, w := range r.wishes {
		if w.Kind == DialBackend {
			r.core.BackendConnected(r.now, w.Conn)
			r.reply(w.Conn, w.Conn.ex, ok200)
		}
	}
	for range 40 {
		r.pass(50 * time.Millisecond)
		r.ask("GET", "/look", "ka", "")
	}
	if r.want(CloseBackend); r.core.lines > 2 {
		t.Errorf("%d lines of 2", r.core.lines)
	}
}

// TestAnswersBeyondTheBoundAreSpoilt: by what the head claims as well as by what comes.
func TestAnswersBeyondTheBoundAreSpoilt(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.Response = 1 << 10
	for _, in := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 0x800)} {
		b := NewResponseReader(r.shared)
		b.Expect(&Exchange{Method: "GET"})
		if a := b.Feed([]byte(in)); a.Kind != Malformed {
			t.Errorf("%.60q: %+v", in, a.Kind)
		}
	}
}

// TestChangesOfTheList: what is not named stays, a box that is gone is forgotten, one that was never known adds nothing.
func TestChangesOfTheList(t *testing.T) {
	r := newRig(t, 2, 1, "")
	gone := config.EndpointState(decision.Removed)
	r.core.UpdateEndpoints(r.now, []config.Endpoint{{Name: "box-0", State: gone}, {Name: "never", State: gone}, {Name: "box-2", Address: "10.0.0.9:80"}}, time.Time{})
	r.take()
	seen := map[string]bool{}
	for range 60 {
		r.ask("GET", "/look", "ka", "")
	}
	for _, w := range r.wishes {
		if w.Kind == DialBackend {
			seen[w.Addr] = true
		}
	}
	if len(seen) != 2 || !seen["10.0.0.1:80"] || !seen["10.0.0.9:80"] || len(r.core.boxes) != 2 {
		t.Errorf("%v, %d boxes", seen, len(r.core.boxes))
	}
}

// TestFirstRequestInTime: a connection that says nothing, or half a request at a time, ends by its first request's time.
func TestFirstRequestInTime(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.FirstTimeout = strictyaml.Duration(2 * time.Second)
	for _, said := range []string{"", "GET /look HT", "POST /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\nContent-Length: 9\r\n\r\nabc"} {
		c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
		c.Feed(r.now+1900*time.Millisecond, []byte(said))
		c.Expired(r.now + 2*time.Second)
		if closes, _ := c.Closing(); !closes || said != "" && !strings.HasPrefix(string(c.Out), "HTTP/1.1 408") {
			t.Errorf("%q: closes %v, %q", said, closes, c.Out)
		}
	}
}

// TestUnsafeRequestsDoNotPileUpLines: where unsafe requests get lines of their own, those take the places of older ones.
func TestUnsafeRequestsDoNotPileUpLines(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.NonIdempotentIdle, r.shared.Config.Limits.ConnsPerBackend = 0, 100
	for range 20 {
		_, ex := r.ask("POST", "/pay", "ka", "Content-Length: 0\r\n")
		l, _ := r.up() // a new one each time
		r.reply(l, ex, ok200)
		r.final("200")
		r.pass(20 * time.Millisecond)
	}
	if _, _, lines := r.core.Sizes(); lines > 2 {
		t.Errorf("%d lines for one request at a time", lines)
	}
}
