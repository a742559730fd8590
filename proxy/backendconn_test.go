package proxy

import (
	"strings"
	"testing"
	"time"
)

// A backend reset its connection in the middle of a response. While the response was held nothing has reached the
// client, and another backend is tried; once it is streamed the client's connection is aborted, so that it sees that
// the response is not complete.
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
	if g := string(r.want(StreamResponse).Bytes); !strings.HasSuffix(g, "3\r\nabc\r\n") {
		t.Errorf("%q", g)
	}
	r.instance.BackendDisconnected(r.now, effect.Conn, false)
	if r.want(AbortClient).Exchange != ex {
		t.Error("another exchange is cut")
	}
	r.wantNone(Respond)
	r.requireQuiescent()
}

// Clients that read large responses slowly made their backend look slow, and the next requests were rejected. How long
// a client takes over a streamed response is not part of the attempt's latency; others are admitted as before.
func TestSlowClientIsNotCountedAsSlowBackend(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	for range 30 {
		_, ex := r.request("GET", "/look", "ka", "")
		conn, _ := r.connect()
		b := r.reply(conn, ex, "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n"+strings.Repeat("x", 2000))
		r.want(StreamResponse)
		r.advance(5 * time.Second)
		a := b.Feed([]byte(strings.Repeat("x", 1000)))
		r.instance.ResponseReceived(r.now, conn, &a)
		r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil}) // so that each has a connection of its own
		r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 0)})
		r.effects = nil
	}
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.requireQuiescent()
}

// A streamed response is not complete when its client gives up waiting, which would take it for one that goes on. It is
// aborted at the exchange's deadline; that of a streaming class goes on.
func TestStreamBeyondClientTimeoutIsAborted(t *testing.T) {
	for path, cut := range map[string]bool{"/look": true, "/feed": false} {
		r := newHarness(t, 1, 1, "")
		_, ex := r.request("GET", path, "ka", "")
		conn, _ := r.connect()
		r.reply(conn, ex, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 2000))
		r.want(StreamResponse)
		r.advance(2*time.Second - 21*time.Millisecond)
		r.wantNone(AbortClient)
		r.advance(2 * time.Millisecond)
		if !cut {
			r.wantNone(AbortClient)
			continue
		}
		if r.want(AbortClient).Exchange != ex || r.want(CloseBackend).Conn != conn {
			t.Error("another one is cut")
		}
		r.requireQuiescent()
	}
}

// A backend sent more than its response. The bytes behind it belong to no request and would be taken for the next one's
// response, so that the connection is closed.
func TestBytesBehindResponseCloseConnection(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200+"HTTP/1.1 200 OK\r\n")
	r.wantResponse("200")
	if r.want(CloseBackend).Conn != conn {
		t.Error("the connection is kept")
	}
}
