package proxy

import (
	"testing"
	"time"

	"sandyard/internal/strictyaml"
)

// maxChoices is the number of requests within which each of two backends is chosen, by far.
const maxChoices = 102

// writeOn sends requests until one is written on a given idle connection, as its backend is chosen, and returns its
// exchange. Requests that get another connection are answered, and that connection is closed.
func (r *harness) writeOn(conn *BackendConn, path, more string) *Exchange {
	r.Helper()
	for range maxChoices {
		_, ex := r.request("POST", path, "ka", more+"Content-Length: 0\r\n")
		r.collect()
		if effect := r.effects[len(r.effects)-1]; effect.Kind == WriteAttempt && effect.Conn == conn {
			r.effects = nil
			return ex
		}
		other, otherExchange := r.connect()
		r.reply(other, otherExchange, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		r.wantResponse("200")
		r.effects = nil
	}
	r.Fatal("the idle connection is never used")
	return nil
}

// A backend closed an idle connection just as a request was written on it. Requests that may run twice, by their class
// or by an idempotency key, are sent to another backend. One that may not fails, unless none of its bytes had been
// written.
func TestStalePooledConnection(t *testing.T) {
	for _, c := range []struct {
		path, more string
		unsent     bool
		again      bool
	}{
		{"/look", "", false, true}, {"/book", "Idempotency-Key: k\r\n", false, true}, {"/pay", "", false, false},
		{"/look", "", true, true}, {"/book", "Idempotency-Key: k\r\n", true, true}, {"/pay", "", true, true},
	} {
		r := newHarness(t, 2, 1, "")
		_, ex := r.request("POST", "/look", "ka", "Content-Length: 0\r\n")
		conn, _ := r.connect()
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		ex = r.writeOn(conn, c.path, c.more)
		r.instance.BackendDisconnected(r.now, conn, c.unsent)
		r.collect()
		if !c.again {
			r.wantResponse("502")
			r.wantNone(DialBackend)
			r.requireQuiescent()
			continue
		}
		r.wantNone(Respond)
		conn, got := r.connect()
		if got != ex {
			t.Fatal("another exchange")
		}
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		r.requireQuiescent()
	}
}

// A request that must not run twice is not written on a connection that was idle for longer than limits.unsafe-idle,
// which its backend may be about to close; other requests are.
func TestNonIdempotentAvoidsLongIdleConnections(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200)
	r.advance(2 * time.Second)
	r.effects = nil
	r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	r.want(DialBackend)
	r.request("GET", "/look", "ka", "")
	if r.want(WriteAttempt).Conn != conn {
		t.Error("a safe one is not")
	}
}

// Where requests that must not run twice get a new connection each, the old ones would pile up idle. A new one takes
// the place of the oldest idle one.
func TestNonIdempotentRequestsReplaceIdleConnections(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.shared.Config.Limits.NonIdempotentIdle, r.shared.Config.Limits.ConnsPerBackend = 0, 100
	for range 20 {
		_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
		conn, _ := r.connect() // a new one each time
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		r.advance(20 * time.Millisecond)
	}
	if _, _, conns := r.instance.Sizes(); conns > 2 {
		t.Errorf("%d connections for one request at a time", conns)
	}
}

// A backend sent a second copy of a response a moment after the first, and the next request on the connection got it as
// its own. Connections rest for limits.line-rest, within which such bytes are seen.
func TestConnectionIsNotReusedWithinReuseDelay(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.shared.Config.Limits.ReuseDelay = strictyaml.Duration(20 * time.Millisecond)
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	b := r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.request("GET", "/look", "ka", "")
	r.wantNone(WriteAttempt) // on the connection that has just had a response
	dial := r.want(DialBackend)
	r.instance.BackendDisconnected(r.now, dial.Conn, true)
	if a := b.Feed([]byte(ok200)); a.Kind != Malformed {
		t.Fatalf("a second copy of a response: %+v", a)
	}
	r.advance(time.Second)
	r.request("GET", "/look", "ka", "")
	if effect := r.want(WriteAttempt); effect.Conn != conn {
		t.Error("a connection that rested is not used")
	}
}

// Beyond limits.lines-per-box an attempt is known never to have been sent, and its request is rejected.
func TestConnectionsPerBackendAreBounded(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	for range 6 {
		r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	}
	if _, _, conns := r.instance.Sizes(); conns != 4 {
		t.Errorf("%d connections", conns)
	}
	r.wantResponse("503")
	r.wantResponse("503")
	r.wantNone(Respond)
}

// At limits.lines an idle connection to any backend is closed to make room for another, and where none is idle nothing
// is sent.
func TestConnectionsToAllBackendsAreBounded(t *testing.T) {
	r := newHarness(t, 3, 1, "")
	r.shared.Config.Limits.BackendConns = 2
	for range 20 {
		r.request("GET", "/look", "ka", "")
	}
	if _, _, conns := r.instance.Sizes(); conns != 2 {
		t.Fatalf("%d connections of 2", conns)
	}
	for _, effect := range r.effects {
		if effect.Kind == DialBackend {
			r.instance.BackendConnected(r.now, effect.Conn)
			r.reply(effect.Conn, effect.Conn.exchange, ok200)
		}
	}
	for range 40 {
		r.advance(50 * time.Millisecond)
		r.request("GET", "/look", "ka", "")
	}
	if r.want(CloseBackend); r.instance.connCount > 2 {
		t.Errorf("%d connections of 2", r.instance.connCount)
	}
}
