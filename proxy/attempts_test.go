package proxy

import (
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// changeWhileConnecting is what happens between the decision to send an attempt and its first byte, and whether the attempt
// is written all the same.
type changeWhileConnecting struct {
	name   string
	change func(r *harness, client *ClientConn, ex *Exchange)
	writes bool
}

// changesWhileConnecting are the changes that TestAttemptIsCheckedBeforeFirstByte makes.
func changesWhileConnecting() []changeWhileConnecting {
	removed := endpointList(1, 0)
	removed[0].State = config.EndpointState(2)
	return []changeWhileConnecting{
		{"nothing", func(*harness, *ClientConn, *Exchange) {}, true},
		{"the client left", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.ClientLeft(r.now, client.Disconnected())
		}, false},
		{"the client left, and the instance does not know yet", func(r *harness, client *ClientConn, ex *Exchange) { client.Disconnected() }, false},
		{"its time is up", func(r *harness, client *ClientConn, ex *Exchange) { r.now = r.instance.answerDeadline(ex) }, false},
		{"a whole endpoint list leaves its backend out", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil})
		}, false},
		{"its backend is removed", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: removed})
		}, false},
		{"its backend began to drain, and a whole endpoint list leaves it out", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 1)})
			r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil})
		}, false},
		{"its backend has just begun to drain", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 1)})
		}, false},
	}
}

// Connections take time to be made. Meanwhile a client leaves, a deadline passes, or the endpoint list removes the
// backend; a request that is written all the same runs for nobody, or on a backend that is going away. Each case is one
// change between the decision and the first byte, in a deployment that does not cancel attempts.
func TestAttemptIsCheckedBeforeFirstByte(t *testing.T) {
	withoutCancel := strings.Replace(harnessConfig, "attempts: {most: 3}", "attempts: {most: 3, cancel: false}", 1)
	for _, c := range changesWhileConnecting() {
		r := newHarnessOf(t, withoutCancel, 1, 1, "")
		client, ex := r.request("GET", "/look", "ka", "")
		dial := r.want(DialBackend)
		c.change(r, client, ex)
		r.collect()
		r.instance.BackendConnected(r.now, dial.Conn)
		if wrote := r.hasEffect(WriteAttempt); wrote != c.writes {
			t.Errorf("%s: it is written: %v", c.name, wrote)
		}
	}
}

// A whole endpoint list left a backend out while a connection to it was being made, and an update named it again. The
// attempt begins: the backend is there.
func TestRemovedEndpointReturnsWhileConnecting(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.request("GET", "/look", "ka", "")
	dial := r.want(DialBackend)
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil})
	r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 0)})
	r.collect()
	r.instance.BackendConnected(r.now, dial.Conn)
	r.want(WriteAttempt)
}

// The first attempt of a request with an idempotency key may have run; its retry waited long for a connection. Written
// after the backend may have forgotten the key, it would have its effect twice, and so it does not go out.
func TestIdempotencyKeyExpiresWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		late time.Duration
		out  bool
	}{{100 * time.Millisecond, true}, {200 * time.Millisecond, false}} {
		r := newHarness(t, 2, 1, "")
		r.shared.Config.Settings.Classes[1].KeyTTL = 150 * time.Millisecond
		r.request("POST", "/book", "ka", "Idempotency-Key: k\r\nContent-Length: 0\r\n")
		conn, _ := r.connect()
		r.instance.BackendDisconnected(r.now, conn, false) // it may have run
		second := r.want(DialBackend)
		r.advance(c.late)
		r.instance.BackendConnected(r.now, second.Conn)
		if out := r.hasEffect(WriteAttempt); out != c.out {
			t.Errorf("%v after the first went out the repeat goes out: %v", c.late, out)
		}
	}
}

// A backend began to drain while a connection to it was being made. A request that is written late in the drain grace
// is cut off with the process, so that it is not written; one that was written before is let finish, and its connection
// is not kept.
func TestBackendDrainsWhileConnecting(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	dial := r.want(DialBackend)
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 1)})
	r.advance(200 * time.Millisecond)
	r.instance.BackendConnected(r.now, dial.Conn)
	r.wantNone(WriteAttempt)
	r.want(CloseBackend)
	r.wantResponse("503") // unsafe, but known not to have run: a refusal

	r = newHarness(t, 1, 1, "")
	_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	conn, _ := r.connect()
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 1)})
	r.wantNone(CloseBackend)
	r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.want(CloseBackend)
	r.requireQuiescent()
}

// A backend's process was replaced by another at the same address while a connection was being made. What was decided
// for the old one, which was warm, must not be written to the new one, which is cold. Nor is a connection kept that was
// made to the process before.
func TestBackendRestartsWhileConnecting(t *testing.T) {
	restarted := endpointList(1, 0)
	restarted[0].Started = config.Timestamp(time.Unix(100, 0))
	r := newHarness(t, 1, 1, "")
	r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	dial := r.want(DialBackend)
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: restarted})
	r.instance.BackendConnected(r.now, dial.Conn)
	if effect := r.want(CloseBackend); effect.Conn != dial.Conn {
		t.Error("another connection was closed")
	}
	r.wantNone(WriteAttempt)
	conn, ex := r.connect() // unsafe, but known not to have run: tried again
	if conn == dial.Conn {
		t.Error("the same connection")
	}
	r.reply(conn, ex, ok200)
	r.wantResponse("200")

	r = newHarness(t, 1, 1, "")
	_, ex = r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	conn, _ = r.connect()
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: restarted})
	r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.want(CloseBackend)
	r.requireQuiescent()
}

// A connection was made late. The time that the attempt tells the backend is what is left at the first byte, not at the
// decision.
func TestAttemptCarriesRemainingTime(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	dial := r.want(DialBackend)
	r.now += 100 * time.Millisecond
	reported := recordedTimeout{r.shared.Protocol.(*configuredProtocol), new(time.Duration)}
	r.shared.Protocol = reported
	r.instance.BackendConnected(r.now, dial.Conn)
	r.want(WriteAttempt)
	if want := ex.attempts[0].deadline - r.now; *reported.remaining != want || want <= 0 || r.now+want > r.instance.answerDeadline(ex) {
		t.Errorf("the attempt carries %v, %v is left", *reported.remaining, want)
	}
}

// recordedTimeout keeps the time that the last attempt was told of.
type recordedTimeout struct {
	*configuredProtocol
	remaining *time.Duration
}

func (d recordedTimeout) RenderAttempt(wire []byte, head int, left time.Duration) []byte {
	*d.remaining = left
	return wire
}
