package proxy

import (
	"testing"
)

// A request without an answer at the end of a shutdown would be cut off when the process ends. Each must get exactly one
// final answer: 503 if it was not sent to a backend, which makes a retry safe, or 502 if it was sent and may have run. A
// streamed response is aborted. Nothing more may be sent.
func TestFailUnanswered(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.request("GET", "/look", "ka", "")
	waiting := r.want(DialBackend)
	r.instance.FailUnanswered(r.now)
	r.wantResponse("503")
	r.instance.BackendConnected(r.now, waiting.Conn)
	r.wantNone(WriteAttempt)

	r = newHarness(t, 1, 1, "")
	_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	conn, _ := r.connect()
	r.instance.FailUnanswered(r.now)
	r.wantResponse("502")
	r.reply(conn, ex, ok200)
	r.wantNone(Respond)
	r.wantNone(DialBackend)
	r.requireQuiescent()

	r = newHarness(t, 1, 1, "")
	_, ex = r.request("GET", "/feed", "ka", "")
	conn, _ = r.connect()
	r.reply(conn, ex, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	r.want(StreamResponse)
	r.instance.FailUnanswered(r.now)
	r.want(AbortClient)
	if effect := r.want(CloseBackend); effect.Conn != conn {
		t.Error("another connection was closed")
	}
	r.requireQuiescent()
}
