package door

import (
	"strings"
	"testing"
	"time"

	"sandyard/choice"
	"sandyard/config"
	"sandyard/internal/strict"
)

// TestOneOpenRequestOfAName: while one is open another of its name gets 409, and nothing of it goes out.
func TestOneOpenRequestOfAName(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, first := r.ask("GET", "/look", "ka", "")
	first.Name = "n" // as a dialect sets it; the rig's sets none
	r.core.open["n"] = first
	l, _ := r.up()
	c := NewClient(r.shared, nil, "192.0.2.1", r.now)
	second := c.Feed(r.now, text("GET", "/look", "ka", ""))
	second.Name = "n"
	r.core.Arrive(r.now, second)
	r.final("409")
	r.none(Dial)
	r.reply(l, first, ok200)
	r.final("200")
	third := NewClient(r.shared, nil, "192.0.2.1", r.now).Feed(r.now, text("GET", "/look", "ka", ""))
	third.Name = "n"
	r.core.Arrive(r.now, third)
	r.none(Final)
}

// TestLinesRest: bytes behind an answer are seen before its line is used again.
func TestLinesRest(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.LineRest = strict.Duration(20 * time.Millisecond)
	_, ex := r.ask("GET", "/look", "ka", "")
	l, _ := r.up()
	b := r.reply(l, ex, ok200)
	r.final("200")
	r.ask("GET", "/look", "ka", "")
	r.none(Write) // on the line that has just answered
	d := r.want(Dial)
	r.core.LineDown(r.now, d.Line, true)
	if a := b.Feed([]byte(ok200)); a.Kind != Broken {
		t.Fatalf("a second copy of an answer: %+v", a)
	}
	r.pass(time.Second)
	r.ask("GET", "/look", "ka", "")
	if w := r.want(Write); w.Line != l {
		t.Error("a rested line is not used")
	}
}

// TestLinesAreBoundedOverAllBoxes: at the bound an idle line makes room, and where none is idle nothing is sent.
func TestLinesAreBoundedOverAllBoxes(t *testing.T) {
	r := newRig(t, 3, 1, "")
	r.shared.Config.Limits.Lines = 2
	for range 20 {
		r.ask("GET", "/look", "ka", "")
	}
	if _, _, lines := r.core.Sizes(); lines != 2 {
		t.Fatalf("%d lines of 2", lines)
	}
	for _, w := range r.wishes {
		if w.Kind == Dial {
			r.core.LineUp(r.now, w.Line)
			r.reply(w.Line, w.Line.ex, ok200)
		}
	}
	for range 40 {
		r.pass(50 * time.Millisecond)
		r.ask("GET", "/look", "ka", "")
	}
	if r.want(Hang); r.core.lines > 2 {
		t.Errorf("%d lines of 2", r.core.lines)
	}
}

// TestAnswersBeyondTheBoundAreSpoilt: by what the head claims as well as by what comes.
func TestAnswersBeyondTheBoundAreSpoilt(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.Answer = 1 << 10
	for _, in := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 0x800)} {
		b := NewBoxConn(r.shared)
		b.Expect(&Exchange{Method: "GET"})
		if a := b.Feed([]byte(in)); a.Kind != Broken {
			t.Errorf("%.60q: %+v", in, a.Kind)
		}
	}
}

// TestChangesOfTheList: what is not named stays, a box that is gone is forgotten, one that was never known adds nothing.
func TestChangesOfTheList(t *testing.T) {
	r := newRig(t, 2, 1, "")
	gone := config.State(choice.Gone)
	r.core.Changes(r.now, []config.Box{{Name: "box-0", State: gone}, {Name: "never", State: gone}, {Name: "box-2", Address: "10.0.0.9:80"}}, time.Time{})
	r.take()
	seen := map[string]bool{}
	for range 60 {
		r.ask("GET", "/look", "ka", "")
	}
	for _, w := range r.wishes {
		if w.Kind == Dial {
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
	r.shared.Config.Limits.FirstTimeout = strict.Duration(2 * time.Second)
	for _, said := range []string{"", "GET /look HT", "POST /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\nContent-Length: 9\r\n\r\nabc"} {
		c := NewClient(r.shared, nil, "192.0.2.1", r.now)
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
	r.shared.Config.Limits.UnsafeIdle, r.shared.Config.Limits.LinesPerBox = 0, 100
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
