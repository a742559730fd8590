package proxy

import (
	"strings"
	"testing"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/strictyaml"
)

// TestDuplicateRequestNameIsRejected: while one is open another of its name gets 409, and nothing of it goes out.
func TestDuplicateRequestNameIsRejected(t *testing.T) {
	r := newRig(t, 1, 1, "")
	_, first := r.request("GET", "/look", "ka", "")
	first.UniqueName = "n" // as a dialect sets it; the rig's sets none
	r.instance.exchangesByName["n"] = first
	l, _ := r.connect()
	c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
	second := c.Feed(r.now, requestText("GET", "/look", "ka", ""))
	second.UniqueName = "n"
	r.instance.RequestArrived(r.now, second)
	r.wantResponse("409")
	r.wantNone(DialBackend)
	r.reply(l, first, ok200)
	r.wantResponse("200")
	third := NewClientConn(r.shared, nil, "192.0.2.1", r.now).Feed(r.now, requestText("GET", "/look", "ka", ""))
	third.UniqueName = "n"
	r.instance.RequestArrived(r.now, third)
	r.wantNone(Respond)
}

// TestConnectionIsNotReusedWithinReuseDelay: bytes behind an answer are seen before its line is used again.
func TestConnectionIsNotReusedWithinReuseDelay(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.ReuseDelay = strictyaml.Duration(20 * time.Millisecond)
	_, ex := r.request("GET", "/look", "ka", "")
	l, _ := r.connect()
	b := r.reply(l, ex, ok200)
	r.wantResponse("200")
	r.request("GET", "/look", "ka", "")
	r.wantNone(WriteAttempt) // on the line that has just answered
	d := r.want(DialBackend)
	r.instance.BackendDisconnected(r.now, d.Conn, true)
	if a := b.Feed([]byte(ok200)); a.Kind != Malformed {
		t.Fatalf("a second copy of an answer: %+v", a)
	}
	r.advance(time.Second)
	r.request("GET", "/look", "ka", "")
	if w := r.want(WriteAttempt); w.Conn != l {
		t.Error("a rested line is not used")
	}
}

// TestConnectionsToAllBackendsAreBounded: at the bound an idle line makes room, and where none is idle nothing is sent.
func TestConnectionsToAllBackendsAreBounded(t *testing.T) {
	r := newRig(t, 3, 1, "")
	r.shared.Config.Limits.BackendConns = 2
	for range 20 {
		r.request("GET", "/look", "ka", "")
	}
	if _, _, lines := r.instance.Sizes(); lines != 2 {
		t.Fatalf("%d lines of 2", lines)
	}
	for _, w := range r.effects {
		if w.Kind == DialBackend {
			r.instance.BackendConnected(r.now, w.Conn)
			r.reply(w.Conn, w.Conn.exchange, ok200)
		}
	}
	for range 40 {
		r.advance(50 * time.Millisecond)
		r.request("GET", "/look", "ka", "")
	}
	if r.want(CloseBackend); r.instance.connCount > 2 {
		t.Errorf("%d lines of 2", r.instance.connCount)
	}
}

// TestOversizedResponsesAreMalformed: by what the head claims as well as by what comes.
func TestOversizedResponsesAreMalformed(t *testing.T) {
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

// TestEndpointUpdates: what is not named stays, a box that is gone is forgotten, one that was never known adds nothing.
func TestEndpointUpdates(t *testing.T) {
	r := newRig(t, 2, 1, "")
	gone := config.EndpointState(decision.Removed)
	r.instance.UpdateEndpoints(r.now, []config.Endpoint{{Name: "box-0", State: gone}, {Name: "never", State: gone}, {Name: "box-2", Address: "10.0.0.9:80"}}, time.Time{})
	r.collect()
	seen := map[string]bool{}
	for range 60 {
		r.request("GET", "/look", "ka", "")
	}
	for _, w := range r.effects {
		if w.Kind == DialBackend {
			seen[w.Addr] = true
		}
	}
	if len(seen) != 2 || !seen["10.0.0.1:80"] || !seen["10.0.0.9:80"] || len(r.instance.backends) != 2 {
		t.Errorf("%v, %d boxes", seen, len(r.instance.backends))
	}
}

// TestFirstRequestTimeout: a connection that says nothing, or half a request at a time, ends by its first request's time.
func TestFirstRequestTimeout(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.FirstTimeout = strictyaml.Duration(2 * time.Second)
	for _, said := range []string{"", "GET /look HT", "POST /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\nContent-Length: 9\r\n\r\nabc"} {
		c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
		c.Feed(r.now+1900*time.Millisecond, []byte(said))
		c.DeadlinePassed(r.now + 2*time.Second)
		if closes, _ := c.Closing(); !closes || said != "" && !strings.HasPrefix(string(c.Outgoing), "HTTP/1.1 408") {
			t.Errorf("%q: closes %v, %q", said, closes, c.Outgoing)
		}
	}
}

// TestNonIdempotentRequestsReplaceIdleConnections: where unsafe requests get lines of their own, those take the places of older ones.
func TestNonIdempotentRequestsReplaceIdleConnections(t *testing.T) {
	r := newRig(t, 1, 1, "")
	r.shared.Config.Limits.NonIdempotentIdle, r.shared.Config.Limits.ConnsPerBackend = 0, 100
	for range 20 {
		_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
		l, _ := r.connect() // a new one each time
		r.reply(l, ex, ok200)
		r.wantResponse("200")
		r.advance(20 * time.Millisecond)
	}
	if _, _, lines := r.instance.Sizes(); lines > 2 {
		t.Errorf("%d lines for one request at a time", lines)
	}
}
