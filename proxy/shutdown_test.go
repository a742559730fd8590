package proxy

import (
	"testing"
)

// Requests without an answer at the end of a shutdown were cut off with the process. Each gets its one final answer: one
// that was sent to no backend may be retried harmlessly, one that was sent may have run, and nothing more is sent.
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
