package proxy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sandyard/internal/http1"
)

// excessBodies are rests of bodies that can't begin a request, and partialRequests such as could.
var (
	excessBodies    = []string{"56789", `"}`, "\x00", "xxxxxxxxxxxxxxxxxxxx", "A WORD OF TEXT\r\n", "\r\n\r\n"}
	partialRequests = []string{"GET", "TX", "WACO-TX", "GET /a HTTP/1.1", "\r", "\r\nGET"}
)

// cutRequest returns a request whose head states 5 bytes, and which is followed by a rest.
func cutRequest(rest string) []byte {
	return append(requestText("POST", "/pay", "ka", "Content-Length: 5\r\n"), "01234"+rest...)
}

// requireRejected checks that a connection answered 400 and closes.
func requireRejected(t *testing.T, c *ClientConn, rest string) {
	t.Helper()
	if closes, _ := c.Closing(); !closes || !strings.HasPrefix(string(c.Outgoing), "HTTP/1.1 400") {
		t.Errorf("%q: closes %v, %q", rest, closes, c.Outgoing)
	}
}

// TestCutRequestIsRejected guards against a part of a request that takes effect: the client states a part of its body's length, and
// the rest of the body arrives with it. A rest that could begin a request is no request if its line does not become whole.
func TestCutRequestIsRejected(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	for _, rest := range append(slices.Clone(excessBodies), partialRequests...) {
		c := r.newClientConn()
		if c.Feed(r.now, cutRequest(rest)) != nil {
			t.Errorf("%q: passed on", rest)
		}
		if slices.Contains(partialRequests, rest) {
			if len(c.Outgoing) != 0 {
				t.Errorf("%q: answered at once: %q", rest, c.Outgoing)
			}
			if wait := c.Deadline() - r.now; wait <= 0 || wait > followingRequestTimeout {
				t.Errorf("%q: waits for %v", rest, wait)
			}
			c.DeadlinePassed(c.Deadline())
		}
		requireRejected(t, c, rest)
	}
	if n := r.shared.ReservedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// TestCutRequestInPiecesIsRejected guards against a rest that looks like the beginning of a request at first, and is text then.
func TestCutRequestInPiecesIsRejected(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	for _, part := range []string{string(cutRequest("WACO")), "-TX", "\r\n"} {
		if c.Feed(r.now, []byte(part)) != nil {
			t.Errorf("passed on after %q", part)
		}
	}
	requireRejected(t, c, "WACO-TX")
}

// TestClientLeavesBehindPartialRequest guards against a request that runs though its client left before it was known to be whole.
func TestClientLeavesBehindPartialRequest(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	c.Feed(r.now, cutRequest("TX"))
	if c.Disconnected() != nil || c.Resume(r.now) != nil || r.shared.ReservedBytes.Load() != 0 {
		t.Errorf("passed on, or %d bytes are still reserved", r.shared.ReservedBytes.Load())
	}
}

// TestCutRequestIsRejectedAfterNextRead guards against the same where the rest arrives while the response is awaited: the client must
// not get the response to a part of its request as if it were that to all of it.
func TestCutRequestIsRejectedAfterNextRead(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	ex := c.Feed(r.now, append(requestText("POST", "/pay", "ka", "Content-Length: 5\r\n"), "01234"...))
	if ex == nil {
		t.Fatalf("no exchange: %q", c.Outgoing)
	}
	c.Feed(r.now, []byte("56789"))
	if closes, _ := c.Closing(); !closes || !strings.HasPrefix(string(c.Outgoing), "HTTP/1.1 400") {
		t.Errorf("closes %v, %q", closes, c.Outgoing)
	}
	if !ex.clientDone.Load() || c.Respond(r.now, ex, []byte(ok200), false) {
		t.Error("the instance's answer is still awaited")
	}
}

// TestResponseToCutRequestIsHeld guards against a cut request that is answered as served: the rest arrives while the response is
// awaited, and could be the beginning of a request.
func TestResponseToCutRequestIsHeld(t *testing.T) {
	for _, rest := range partialRequests {
		r := newHarness(t, 1, 1, "")
		c := r.newClientConn()
		ex := c.Feed(r.now, cutRequest(""))
		c.Feed(r.now, []byte(rest))
		if !c.Respond(r.now, ex, []byte(ok200), false) || len(c.Outgoing) != 0 || !c.AwaitingResponse() {
			t.Errorf("%q: %q", rest, c.Outgoing)
		}
		c.DeadlinePassed(c.Deadline())
		requireRejected(t, c, rest)
	}
}

// TestResponseToCutRequestAfterWait checks that a rest which had its time before the response came is not waited for again.
func TestResponseToCutRequestAfterWait(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	ex := c.Feed(r.now, cutRequest(""))
	c.Feed(r.now, []byte("TX"))
	c.Respond(r.now+followingRequestTimeout, ex, []byte(ok200), false)
	requireRejected(t, c, "TX")
}

// TestPipelinedRequestAfterBodyIsServed checks that a request behind a body is served, wherever it is split, and that the request
// before it is passed on as soon as the line behind it is whole.
func TestPipelinedRequestAfterBodyIsServed(t *testing.T) {
	first := append(requestText("POST", "/look", "ka", "Content-Length: 5\r\n"), "01234"...)
	next := append([]byte("\r\n"), requestText("GET", "/look", "ka", "")...)
	for split := range len(next) {
		r := newHarness(t, 1, 1, "")
		c := r.newClientConn()
		ex := c.Feed(r.now, append(first[:len(first):len(first)], next[:split]...))
		if isPartial := http1.CheckFollowing(next[:split]) == http1.FollowingPartialRequest; isPartial != (ex == nil) {
			t.Fatalf("split at %d: exchange %v, %q", split, ex != nil, c.Outgoing)
		}
		later := r.now + time.Millisecond
		if rest := c.Feed(later, next[split:]); ex == nil {
			ex = rest
		}
		if ex == nil || ex.Arrived != r.now {
			t.Fatalf("split at %d: %+v, %q", split, ex, c.Outgoing)
		}
		if !c.Respond(later, ex, []byte(ok200), false) || string(c.Outgoing) != ok200 || c.Resume(later) == nil {
			t.Errorf("split at %d: %q", split, c.Outgoing)
		}
	}
}

// TestPipelinedRequestAfterResponseIsServed checks that a response waits for the line of the request behind it, wherever that is
// split, and that this request is then served.
func TestPipelinedRequestAfterResponseIsServed(t *testing.T) {
	first := append(requestText("POST", "/look", "ka", "Content-Length: 5\r\n"), "01234"...)
	next := requestText("GET", "/look", "ka", "")
	for split := range len(next) {
		r := newHarness(t, 1, 1, "")
		c := r.newClientConn()
		ex := c.Feed(r.now, first)
		c.Feed(r.now, next[:split])
		c.Respond(r.now, ex, []byte(ok200), false)
		if second := c.Feed(r.now, next[split:]); string(c.Outgoing) != ok200 || second == nil && c.Resume(r.now) == nil {
			t.Errorf("split at %d: %q", split, c.Outgoing)
		}
	}
}
