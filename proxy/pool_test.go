package proxy

import (
	"testing"
	"time"

	"sandyard/internal/strictyaml"
)

// maxRequestsUntilChosen is the number of requests within which each of two backends is expected to be chosen.
const maxRequestsUntilChosen = 102

// writeOn sends requests until one is written on a given idle connection, which happens when its backend is chosen, and
// returns its exchange. Requests on other connections are answered, and those connections are closed.
func (r *harness) writeOn(conn *BackendConn, path, extraFields string) *Exchange {
	r.Helper()
	for range maxRequestsUntilChosen {
		_, ex := r.request("POST", path, "ka", extraFields+"Content-Length: 0\r\n")
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

// A backend closes an idle connection just as a request is written on it. A request that is idempotent, by its class or by
// an idempotency key, must be retried on another backend. A non-idempotent request fails, unless it was not written
// completely.
func TestStalePooledConnection(t *testing.T) {
	for _, c := range []struct {
		path, extraFields string
		unsent            bool
		retries           bool
	}{
		{"/look", "", false, true}, {"/book", "Idempotency-Key: k\r\n", false, true}, {"/pay", "", false, false},
		{"/look", "", true, true}, {"/book", "Idempotency-Key: k\r\n", true, true}, {"/pay", "", true, true},
	} {
		r := newHarness(t, 2, 1, "")
		_, ex := r.request("POST", "/look", "ka", "Content-Length: 0\r\n")
		conn, _ := r.connect()
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		ex = r.writeOn(conn, c.path, c.extraFields)
		r.instance.BackendDisconnected(r.now, conn, c.unsent)
		r.collect()
		if !c.retries {
			r.wantResponse("502")
			r.wantNone(DialBackend)
			r.requireQuiescent()
			continue
		}
		r.wantNone(Respond)
		conn, got := r.connect()
		if got != ex {
			t.Fatal("another exchange is written")
		}
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		r.requireQuiescent()
	}
}

// A non-idempotent request must not be written on a connection that was idle for longer than limits.unsafe-idle, because the
// backend may be about to close it. Other requests use the connection.
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
		t.Error("an idempotent request does not use the idle connection")
	}
}

// If each non-idempotent request gets a new connection, idle connections would accumulate. Each new connection must replace
// the oldest idle one.
func TestNonIdempotentRequestsReplaceIdleConnections(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.shared.Config.Limits.NonIdempotentIdle, r.shared.Config.Limits.ConnsPerBackend = 0, 100
	for range 20 {
		_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
		conn, _ := r.connect() // a new connection each time
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		r.advance(20 * time.Millisecond)
	}
	if _, _, conns := r.instance.Sizes(); conns > 2 {
		t.Errorf("%d connections, although there is only one request at a time", conns)
	}
}

// A backend sends a second copy of a response just after the first. The next request on the connection would get it as its
// response. A connection must not be reused within limits.line-rest, so that such bytes are detected.
func TestConnectionIsNotReusedWithinReuseDelay(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.shared.Config.Limits.ReuseDelay = strictyaml.Duration(20 * time.Millisecond)
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	reader := r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.request("GET", "/look", "ka", "")
	r.wantNone(WriteAttempt) // on the connection that has just carried a response
	dial := r.want(DialBackend)
	r.instance.BackendDisconnected(r.now, dial.Conn, true)
	if response := reader.Feed([]byte(ok200)); response.Kind != Malformed {
		t.Fatalf("a second copy of a response is not malformed: %+v", response)
	}
	r.advance(time.Second)
	r.request("GET", "/look", "ka", "")
	if effect := r.want(WriteAttempt); effect.Conn != conn {
		t.Error("the connection is not reused after limits.line-rest")
	}
}

// An attempt beyond limits.lines-per-box ends as not sent, and its request is rejected.
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

// At limits.lines, an idle connection to any backend is closed to make room for a new one. If none is idle, nothing is sent.
func TestConnectionsToAllBackendsAreBounded(t *testing.T) {
	r := newHarness(t, 3, 1, "")
	r.shared.Config.Limits.BackendConns = 2
	for range 20 {
		r.request("GET", "/look", "ka", "")
	}
	if _, _, conns := r.instance.Sizes(); conns != 2 {
		t.Fatalf("%d connections, want 2", conns)
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
		t.Errorf("%d connections, want at most 2", r.instance.connCount)
	}
}
