package proxy

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"sandyard/internal/strictyaml"
)

// A connection that sends nothing, or an incomplete request, must be closed after limits.first-timeout, in any phase.
func TestFirstRequestTimeout(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.shared.Config.Limits.FirstTimeout = strictyaml.Duration(2 * time.Second)
	for _, sent := range []string{"", "GET /look HT", "POST /look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\nContent-Length: 9\r\n\r\nabc"} {
		c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
		c.Feed(r.now+1900*time.Millisecond, []byte(sent))
		c.DeadlinePassed(r.now + 2*time.Second)
		if closes, _ := c.Closing(); !closes || sent != "" && !strings.HasPrefix(string(c.Outgoing), "HTTP/1.1 408") {
			t.Errorf("%q: closes %v, %q", sent, closes, c.Outgoing)
		}
	}
}

func (r *harness) newClientConn() *ClientConn {
	return NewClientConn(r.shared, nil, "192.0.2.1", r.now)
}

var statusLine = regexp.MustCompile(`HTTP/1\.1 (\d{3}) `)

func statuses(out []byte) (s []string) {
	for _, m := range statusLine.FindAllSubmatch(out, -1) {
		s = append(s, string(m[1]))
	}
	return s
}

// A hundred requests in one write, one of which has an unknown key, must be answered in order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	r := newHarness(t, 2, 1, "")
	c := r.newClientConn()
	var in []byte
	for i := range 100 {
		key := "ka"
		if i == 42 {
			key = "kx"
		}
		in = append(in, requestText("GET", "/look", key, "")...)
	}
	n := 0
	for ex := c.Feed(r.now, in); ex != nil; ex = c.Resume(r.now) {
		r.instance.RequestArrived(r.now, ex)
		r.collect()
		if len(r.effects) > 0 && r.effects[len(r.effects)-1].Kind == DialBackend {
			r.connect()
			r.instance.Tick(r.now)
		}
		conn := ex.attempts[0].conn
		r.reply(conn, ex, ok200)
		effect := r.want(Respond)
		r.effects = nil
		c.Respond(r.now, ex, effect.Bytes, false)
		n++
	}
	got := statuses(c.Outgoing)
	if n != 99 || len(got) != 100 || got[42] != "401" || got[41] != "200" || got[43] != "200" || got[99] != "200" {
		t.Fatalf("%d decided, %d answers: %v", n, len(got), got)
	}
	r.requireQuiescent()
}

// TestLocalResponses sends requests that need no decision, in one piece and byte by byte. Each must get its status, and no
// memory may stay reserved.
func TestLocalResponses(t *testing.T) {
	big := strings.Repeat("x", 2000)
	for _, c := range []struct{ name, in, want string }{
		{"no key", "GET /look HTTP/1.1\r\nHost: h\r\n\r\n", "401"},
		{"bearer token, unknown path", "GET /nowhere HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ka\r\n\r\n", "404"},
		{"unknown path", string(requestText("GET", "/nowhere", "ka", "")), "404"},
		{"method not allowed", string(requestText("DELETE", "/look", "ka", "")), "405"},
		{"dot segments", string(requestText("GET", "/x/../look", "ka", "")), "400"},
		{"no idempotency key", string(requestText("POST", "/book", "ka", "Content-Length: 0\r\n")), "400"},
		{"invalid timeout", string(requestText("GET", "/look", "ka", "X-Patience: soon\r\n")), "400"},
		{"body too large", string(requestText("POST", "/look", "ka", "Content-Length: 2000\r\n")) + big, "413"},
		{"chunked body too large", string(requestText("POST", "/look", "ka", "Transfer-Encoding: chunked\r\n")) + "7d0\r\n" + big + "\r\n0\r\n\r\n", "413"},
		{"malformed", "GET / HTTP/1.1\nHost: h\n\n", "400"},
		{"unsupported version", "GET / HTTP/3.0\r\nHost: h\r\n\r\n", "505"},
		{"rejected with a body, then another request", string(requestText("POST", "/nowhere", "ka", "Content-Length: 3\r\n")) + "abc" + string(requestText("GET", "/nowhere", "ka", "")), "404 404"},
		{"body longer than its Content-Length", string(requestText("POST", "/nowhere", "ka", "Content-Length: 3\r\n")) + "abcdefg\r\n\r\n", "404 400"},
		{"rejected while the client waits for 100", string(requestText("POST", "/nowhere", "ka", "Content-Length: 3\r\nExpect: 100-continue\r\n")), "404"},
	} {
		r := newHarness(t, 1, 1, "")
		for _, bytewise := range []bool{false, true} {
			client := r.newClientConn()
			if !bytewise {
				if ex := client.Feed(r.now, []byte(c.in)); ex != nil {
					t.Errorf("%s: Feed returned an exchange", c.name)
				}
			} else {
				for i := range len(c.in) {
					client.Feed(r.now, []byte{c.in[i]})
				}
			}
			if got := strings.Join(statuses(client.Outgoing), " "); got != c.want {
				t.Errorf("%s: %s, want %s", c.name, got, c.want)
			}
			if n := r.shared.ReservedBytes.Load(); n != 0 && c.want != "404 400" {
				t.Errorf("%s: %d bytes are still reserved", c.name, n)
			}
		}
	}
}

// More bytes follow a request than its Content-Length. They are parsed as the next request, which is malformed. None of them
// may be forwarded with the first request.
func TestBodyBeyondContentLength(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	ex := c.Feed(r.now, append(requestText("POST", "/look", "ka", "Content-Length: 3\r\n"), "abcGET /pay HTTP/1.1\r\n\r\n"...))
	if ex == nil || !strings.HasSuffix(string(ex.RenderedRequest), "\r\n\r\nabc") {
		t.Fatalf("%v", ex)
	}
	r.instance.RequestArrived(r.now, ex)
	conn, _ := r.connect()
	r.reply(conn, ex, ok200)
	c.Respond(r.now, ex, r.wantResponse("200").Bytes, false)
	if c.Resume(r.now) != nil || strings.Join(statuses(c.Outgoing), " ") != "200 400" {
		t.Errorf("%q", c.Outgoing)
	}
	if closes, _ := c.Closing(); !closes {
		t.Error("the connection is not closed")
	}
}

// A client that expects 100 Continue gets it. The field must not be forwarded, because the instance buffers the body anyway.
func TestExpectContinue(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	if ex := c.Feed(r.now, requestText("POST", "/look", "ka", "Content-Length: 3\r\nExpect: 100-continue\r\n")); ex != nil || statuses(c.Outgoing)[0] != "100" {
		t.Fatalf("%q", c.Outgoing)
	}
	if ex := c.Feed(r.now, []byte("abc")); ex == nil || strings.Contains(string(ex.RenderedRequest), "Expect") {
		t.Error("no exchange, or Expect is forwarded")
	}
}

// A client sends one byte per second to keep its connection open. It must get 408 after limits.head-timeout or
// limits.body-timeout.
func TestSlowSenderTimesOut(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	for _, in := range []string{string(requestText("GET", "/look", "ka", "")), string(requestText("POST", "/look", "ka", "Content-Length: 100\r\n")) + strings.Repeat("x", 99)} {
		c := r.newClientConn()
		now := r.now
		for i := 0; i < len(in); i++ {
			if d := c.Deadline(); d > 0 && now >= d {
				c.DeadlinePassed(now)
				break
			}
			step := time.Second
			if i < 80 && len(in) > 100 {
				step = 0
			}
			c.Feed(now, []byte{in[i]})
			now += step
		}
		if closes, _ := c.Closing(); !closes || len(statuses(c.Outgoing)) != 1 || statuses(c.Outgoing)[0] != "408" {
			t.Errorf("%q: %q", in, c.Outgoing)
		}
	}
}

// limits.memory bounds the total size of bodies: requests beyond it get 503, and the memory of clients that leave must be
// released.
func TestBodyMemoryIsBounded(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	var conns []*ClientConn
	rejected := 0
	for range 40 {
		c := r.newClientConn()
		c.Feed(r.now, append(requestText("POST", "/look", "ka", "Content-Length: 1000\r\n"), strings.Repeat("x", 900)...))
		if s := statuses(c.Outgoing); len(s) == 1 && s[0] == "503" {
			rejected++
		}
		if r.shared.ReservedBytes.Load() > 16<<10 {
			t.Fatalf("%d bytes are reserved", r.shared.ReservedBytes.Load())
		}
		conns = append(conns, c)
	}
	if rejected == 0 {
		t.Error("no request was rejected")
	}
	for _, c := range conns {
		c.Disconnected()
	}
	if n := r.shared.ReservedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are never released", n)
	}
}

// A client keeps sending while it waits for its response. limits.head and limits.body bound the buffered bytes. Reading
// continues beyond the bound. Complete buffered requests are answered in order, and then the connection is closed.
func TestReadAheadIsBounded(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	ex := c.Feed(r.now, requestText("GET", "/look", "ka", ""))
	c.Feed(r.now, requestText("GET", "/look?2", "ka", ""))
	for range 100 {
		c.Feed(r.now, make([]byte, 16<<10))
		if most := 16<<10 + 1<<10; c.readAhead.len() > most || r.shared.ReservedBytes.Load() > int64(most)+4<<10 { // limits.head and limits.body
			t.Fatalf("%d bytes are buffered, %d reserved", c.readAhead.len(), r.shared.ReservedBytes.Load())
		}
	}
	c.Feed(r.now, requestText("GET", "/look?3", "ka", "")) // must not be parsed as the request after the second
	c.Respond(r.now, ex, []byte("1"), false)
	if ex = c.Resume(r.now); ex == nil || !strings.HasPrefix(string(ex.RenderedRequest), "GET /look?2") {
		t.Fatalf("after the first: %+v", ex)
	}
	c.Respond(r.now, ex, []byte("2"), false)
	if ex = c.Resume(r.now); ex != nil {
		t.Fatalf("after the second: %q", ex.RenderedRequest)
	}
	if closes, linger := c.Closing(); !closes || !linger {
		t.Error("the connection stays open although bytes were dropped")
	}
}

// A client sends more than the read-ahead buffer holds while it waits for its response, and then disconnects. Reading must
// continue beyond the bound: otherwise the disconnect would go undetected, and the request would run for no client.
func TestDisconnectIsDetectedBeyondReadAhead(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	if c.Feed(r.now, requestText("GET", "/look", "ka", "")) == nil {
		t.Fatal("no exchange")
	}
	c.Feed(r.now, make([]byte, 64<<10))
	if c.Disconnected() == nil {
		t.Error("the disconnect is not detected")
	}
}

// Many clients send further requests while they wait for their responses. limits.memory must bound all buffered bytes.
func TestReadAheadOfAllClientsIsBounded(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	var all []*ClientConn
	for range 100 {
		c := r.newClientConn()
		c.Feed(r.now, requestText("GET", "/look", "ka", ""))
		c.Feed(r.now, make([]byte, 1<<10))
		all = append(all, c)
	}
	if n := r.shared.ReservedBytes.Load(); n > 16<<10 {
		t.Errorf("%d bytes are reserved", n)
	}
	for _, c := range all {
		if ex := c.Disconnected(); ex != nil {
			r.shared.release(ex.reservedBytes)
		}
	}
}

// A response whose body is delimited by the end of the connection is cut off. For an HTTP/1.0 client a regular close would
// look like a complete response, so its connection must be reset. An HTTP/1.1 client sees that the last chunk is missing.
func TestTruncatedResponseWithoutLength(t *testing.T) {
	for version, resets := range map[string]bool{"1.0": true, "1.1": false} {
		r := newHarness(t, 1, 1, "")
		c := r.newClientConn()
		ex := c.Feed(r.now, []byte("GET /feed HTTP/"+version+"\r\nHost: h\r\nX-Api-Key: ka\r\nConnection: keep-alive\r\n\r\n"))
		r.instance.RequestArrived(r.now, ex)
		conn, _ := r.connect()
		r.reply(conn, ex, "HTTP/1.1 200 OK\r\n\r\nabc")
		g := r.want(StreamResponse)
		c.BeginResponse(ex, g.Bytes, g.CloseAfterResponse)
		r.instance.BackendDisconnected(r.now, conn, false)
		r.want(AbortClient)
		c.AbortResponse(ex)
		if closes, _ := c.Closing(); !closes || c.MustReset() != resets || !strings.Contains(string(c.Outgoing), "abc") {
			t.Errorf("%s: closes %v, resets %v: %q", version, closes, c.MustReset(), c.Outgoing)
		}
	}
}

// The second half of a request arrives after the previous response, while the first half is still buffered. The halves must
// be parsed in order.
func TestReadAheadIsParsedFirst(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c := r.newClientConn()
	ex := c.Feed(r.now, requestText("GET", "/look", "ka", ""))
	second := requestText("GET", "/look?2", "ka", "")
	c.Feed(r.now, second[:20])
	c.Respond(r.now, ex, []byte("1"), false)
	if ex = c.Feed(r.now, second[20:]); ex == nil || !strings.HasPrefix(string(ex.RenderedRequest), "GET /look?2 ") {
		t.Fatalf("%+v %s", ex, c.Outgoing)
	}
}
