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

// TestResponseWithTrailingBytesIsRetried guards against a client that gets one of two responses, or a part of one, as its answer:
// the backend sent more bytes behind its response. Another backend is tried, and the connection is closed.
func TestResponseWithTrailingBytesIsRetried(t *testing.T) {
	r := newHarness(t, 2, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200+"HTTP/1.1 200 OK\r\n")
	r.wantNone(Respond)
	if r.want(CloseBackend).Conn != conn {
		t.Error("the connection is not closed")
	}
	second, _ := r.connect()
	if second.Addr == conn.Addr {
		t.Error("the same backend is tried again")
	}
	r.reply(second, ex, ok200)
	r.wantResponse("200")
	r.requireQuiescent()
}

// TestResponseWithTrailingBytesIsNotRetriedIfUnsafe checks that a request that must not run twice fails: its attempt may have run.
func TestResponseWithTrailingBytesIsNotRetriedIfUnsafe(t *testing.T) {
	r := newHarness(t, 2, 1, "")
	_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200+"more")
	r.wantResponse("502")
	r.wantNone(DialBackend)
	r.requireQuiescent()
}

// TestStreamedResponseWithTrailingBytesIsAborted guards against a client that gets the first part of a streamed response as
// complete. The last bytes are withheld and its connection is aborted, so that it sees that the response is incomplete.
func TestStreamedResponseWithTrailingBytesIsAborted(t *testing.T) {
	first := strings.Repeat("x", 2000)
	for name, parts := range map[string][2]string{
		"length":  {"HTTP/1.1 200 OK\r\nContent-Length: 2500\r\n\r\n" + first, strings.Repeat("y", 1000)},
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + first + "\r\n", "2\r\nhi\r\n0\r\n\r\nmore"},
	} {
		r := newHarness(t, 2, 1, "")
		_, ex := r.request("GET", "/look", "ka", "")
		conn, _ := r.connect()
		reader := r.reply(conn, ex, parts[0])
		r.want(StreamResponse)
		response := reader.Feed([]byte(parts[1]))
		if len(response.Bytes) > 0 {
			t.Errorf("%s: forwarded behind the beginning: %q", name, response.Bytes)
		}
		r.instance.ResponseReceived(r.now, conn, &response)
		if r.want(AbortClient).Exchange != ex {
			t.Errorf("%s: the client of another exchange is aborted", name)
		}
		if r.want(CloseBackend).Conn != conn {
			t.Errorf("%s: the connection is not closed", name)
		}
		r.wantNone(Respond)
		r.requireQuiescent()
	}
}
