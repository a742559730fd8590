package proxy

import (
	"strings"
	"testing"
	"time"
)

// A backend resets its connection in the middle of a response. If the response was buffered, nothing has reached the client,
// and another backend must be tried. If it was streamed, the client's connection must be aborted, so that the client sees
// that the response is incomplete.
func TestResetMidResponse(t *testing.T) {
	r := newHarness(t, 2, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nxxx")
	r.instance.BackendDisconnected(r.now, conn, false)
	r.wantNone(Respond)
	conn, _ = r.connect()
	r.reply(conn, ex, ok200)
	r.wantResponse("200")

	_, ex = r.request("GET", "/feed", "ka", "")
	effect := r.want(WriteAttempt)
	r.reply(effect.Conn, ex, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	if sent := string(r.want(StreamResponse).Bytes); !strings.HasSuffix(sent, "3\r\nabc\r\n") {
		t.Errorf("%q", sent)
	}
	r.instance.BackendDisconnected(r.now, effect.Conn, false)
	if r.want(AbortClient).Exchange != ex {
		t.Error("the client of another exchange is aborted")
	}
	r.wantNone(Respond)
	r.requireQuiescent()
}

// Clients read large responses slowly. The time that a client takes to read a streamed response must not be part of the
// attempt's latency: the backend would look slow, and the next requests would be rejected.
func TestSlowClientIsNotCountedAsSlowBackend(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	for range 30 {
		_, ex := r.request("GET", "/look", "ka", "")
		conn, _ := r.connect()
		reader := r.reply(conn, ex, "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n"+strings.Repeat("x", 2000))
		r.want(StreamResponse)
		r.advance(5 * time.Second)
		response := reader.Feed([]byte(strings.Repeat("x", 1000)))
		r.instance.ResponseReceived(r.now, conn, &response)
		r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil}) // so that each request has its own connection
		r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 0)})
		r.effects = nil
	}
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.requireQuiescent()
}

// A streamed response that is incomplete at the exchange's deadline must be aborted, or the client would keep waiting for
// the rest until it times out. A response of a streaming class continues.
func TestStreamBeyondClientTimeoutIsAborted(t *testing.T) {
	for path, aborts := range map[string]bool{"/look": true, "/feed": false} {
		r := newHarness(t, 1, 1, "")
		_, ex := r.request("GET", path, "ka", "")
		conn, _ := r.connect()
		r.reply(conn, ex, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 2000))
		r.want(StreamResponse)
		r.advance(2*time.Second - 21*time.Millisecond)
		r.wantNone(AbortClient)
		r.advance(2 * time.Millisecond)
		if !aborts {
			r.wantNone(AbortClient)
			continue
		}
		if r.want(AbortClient).Exchange != ex || r.want(CloseBackend).Conn != conn {
			t.Error("another client or connection is aborted")
		}
		r.requireQuiescent()
	}
}

// A backend sends extra bytes after its response. They belong to no request and would be parsed as the response to the next
// one, so the connection must be closed.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200+"HTTP/1.1 200 OK\r\n")
	r.wantResponse("200")
	if r.want(CloseBackend).Conn != conn {
		t.Error("the connection is not closed")
	}
}
