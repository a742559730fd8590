package proxy

import (
	"strings"
	"testing"
)

// TestRequestIsForwardedAndAnswered checks one request: backends get its end-to-end fields, but not its key and hop-by-hop
// fields. The client gets the response without the load report.
func TestRequestIsForwardedAndAnswered(t *testing.T) {
	r := newHarness(t, 2, 1, "")
	c, ex := r.request("POST", "/look", "ka", "X-Forwarded-For: 192.0.2.9\r\nTraceparent: 00-1-2-01\r\nConnection: x-hop\r\nX-Hop: 1\r\nTE: x\r\nContent-Length: 0\r\n")
	conn, _ := r.connect()
	wire := string(ex.RenderedRequest)
	for _, want := range []string{"X-Forwarded-For: 192.0.2.9, 192.0.2.1\r\n", "Via: 1.1 t\r\n", "Traceparent: 00-1-2-01\r\n", "Host: h\r\n", "Content-Length: 0\r\n"} {
		if !strings.Contains(wire, want) {
			t.Errorf("want %q in %q", want, wire)
		}
	}
	for _, no := range []string{"X-Hop", "TE:", "Connection", "ka"} {
		if strings.Contains(wire, no) {
			t.Errorf("%q is forwarded: %q", no, wire)
		}
	}
	r.reply(conn, ex, "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5, named_metrics.n=3\r\nKeep-Alive: x\r\nContent-Length: 2\r\n\r\nhi")
	effect := r.wantResponse("200")
	if s := string(effect.Bytes); strings.Contains(s, "endpoint-load") || strings.Contains(s, "Keep-Alive") || !strings.HasSuffix(s, "\r\n\r\nhi") {
		t.Errorf("%q", s)
	}
	c.Respond(r.now, ex, effect.Bytes, false)
	if c.AwaitingResponse() {
		t.Error("the connection still awaits a response")
	}
	r.requireQuiescent()
}

// A client leaves after its request was admitted, while the connection for its attempt is being established. The attempt
// must not be written: the backend would run a request, and quota would be used, for a client that no longer waits.
func TestClientLeavesWhileConnecting(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c, ex := r.request("GET", "/look", "ka", "")
	dial := r.want(DialBackend)
	if c.Disconnected() != ex {
		t.Fatal("Disconnected does not return the exchange")
	}
	r.instance.ClientLeft(r.now, ex)
	r.instance.BackendConnected(r.now, dial.Conn)
	r.wantNone(WriteAttempt)
	r.wantNone(Respond)
	r.requireQuiescent()
}

// A client leaves while a response is streamed to it. The backend connection must be closed, because no client reads the
// rest, and no answer may be sent.
func TestClientLeavesMidStream(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	c, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 2000))
	c.BeginResponse(ex, r.want(StreamResponse).Bytes, false)
	r.instance.ClientLeft(r.now, c.Disconnected())
	if r.want(CloseBackend).Conn != conn {
		t.Fatal("another connection is closed")
	}
	r.wantNone(Respond)
	r.wantNone(AbortClient)
	r.requireQuiescent()
}

// While a request with a unique name is open, another request with the same name must get 409 and must not be sent, because
// backends identify requests by that name. After the first is answered, the name can be used again.
func TestDuplicateRequestNameIsRejected(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	_, first := r.request("GET", "/look", "ka", "")
	first.UniqueName = "n" // normally set by the protocol; the harness's protocol does not set it
	r.instance.exchangesByName["n"] = first
	conn, _ := r.connect()
	c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
	second := c.Feed(r.now, requestText("GET", "/look", "ka", ""))
	second.UniqueName = "n"
	r.instance.RequestArrived(r.now, second)
	r.wantResponse("409")
	r.wantNone(DialBackend)
	r.reply(conn, first, ok200)
	r.wantResponse("200")
	third := NewClientConn(r.shared, nil, "192.0.2.1", r.now).Feed(r.now, requestText("GET", "/look", "ka", ""))
	third.UniqueName = "n"
	r.instance.RequestArrived(r.now, third)
	r.wantNone(Respond)
}
