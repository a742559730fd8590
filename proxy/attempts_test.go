package proxy

import (
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// changeWhileConnecting is a change between the decision to send an attempt and its first byte.
type changeWhileConnecting struct {
	name   string
	change func(r *harness, client *ClientConn, ex *Exchange)
	writes bool // the attempt must still be written
}

// changesWhileConnecting returns the cases of TestAttemptIsCheckedBeforeFirstByte.
func changesWhileConnecting() []changeWhileConnecting {
	removed := endpointList(1, 0)
	removed[0].State = config.EndpointState(2)
	return []changeWhileConnecting{
		{"nothing", func(*harness, *ClientConn, *Exchange) {}, true},
		{"the client left", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.ClientLeft(r.now, client.Disconnected())
		}, false},
		{"the client left, and the instance was not notified yet", func(r *harness, client *ClientConn, ex *Exchange) { client.Disconnected() }, false},
		{"its deadline has passed", func(r *harness, client *ClientConn, ex *Exchange) { r.now = r.instance.responseDeadline(ex) }, false},
		{"a full endpoint list does not contain its backend", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil})
		}, false},
		{"its backend is removed", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: removed})
		}, false},
		{"its backend started to drain, and a full endpoint list does not contain it", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 1)})
			r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil})
		}, false},
		{"its backend has just started to drain", func(r *harness, client *ClientConn, ex *Exchange) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 1)})
		}, false},
	}
}

// While a connection is being established, the client may leave, the deadline may pass, or the endpoint list may remove the
// backend. A request that is written anyway runs for a client that no longer waits, or on a backend that is about to stop.
// Each case makes one change between the decision and the first byte, in a deployment that does not cancel attempts.
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
			t.Errorf("%s: the attempt is written: %v", c.name, wrote)
		}
	}
}

// While a connection is being established, a full endpoint list omits its backend, and an update lists it again. The attempt
// must start, because the backend is listed.
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

// The first attempt of a request with an idempotency key may have run, and its retry waits long for a connection. The retry
// must not be written after the backend may have forgotten the key, because the request could take effect twice.
func TestIdempotencyKeyExpiresWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		delay  time.Duration
		writes bool
	}{{100 * time.Millisecond, true}, {200 * time.Millisecond, false}} {
		r := newHarness(t, 2, 1, "")
		r.shared.Config.Settings.Classes[1].KeyTTL = 150 * time.Millisecond
		r.request("POST", "/book", "ka", "Idempotency-Key: k\r\nContent-Length: 0\r\n")
		conn, _ := r.connect()
		r.instance.BackendDisconnected(r.now, conn, false) // it may have run
		second := r.want(DialBackend)
		r.advance(c.delay)
		r.instance.BackendConnected(r.now, second.Conn)
		if wrote := r.hasEffect(WriteAttempt); wrote != c.writes {
			t.Errorf("%v after the first attempt, the retry is written: %v", c.delay, wrote)
		}
	}
}

// A backend starts to drain while a connection to it is being established. A request that is written late in the drain grace
// would be cut off when the process stops, so it must not be written. A request that was written before may finish, and its
// connection is not reused.
func TestBackendDrainsWhileConnecting(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
	dial := r.want(DialBackend)
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 1)})
	r.advance(200 * time.Millisecond)
	r.instance.BackendConnected(r.now, dial.Conn)
	r.wantNone(WriteAttempt)
	r.want(CloseBackend)
	r.wantResponse("503") // non-idempotent, but known not to have run: rejected

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

// A backend's process is replaced by another at the same address while a connection is being established. A request for the
// old process, which was warm, must not be written to the new one, which is still cold. A connection to the old process must
// not be reused.
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
	conn, ex := r.connect() // non-idempotent, but known not to have run: retried
	if conn == dial.Conn {
		t.Error("the retry uses the same connection")
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

// A connection is established late. The timeout that the attempt sends to the backend must be the time left at the first
// byte, not at the decision.
func TestAttemptCarriesRemainingTime(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	dial := r.want(DialBackend)
	r.now += 100 * time.Millisecond
	reported := timeoutRecorder{r.shared.Protocol.(*configuredProtocol), new(time.Duration)}
	r.shared.Protocol = reported
	r.instance.BackendConnected(r.now, dial.Conn)
	r.want(WriteAttempt)
	if want := ex.attempts[0].deadline - r.now; *reported.remaining != want || want <= 0 || r.now+want > r.instance.responseDeadline(ex) {
		t.Errorf("the attempt carries %v, but %v is left", *reported.remaining, want)
	}
}

// timeoutRecorder is a protocol that records the timeout of the last attempt.
type timeoutRecorder struct {
	*configuredProtocol
	remaining *time.Duration
}

func (recorder timeoutRecorder) RenderAttempt(rendered []byte, attemptFieldsAt int, timeLeft time.Duration) []byte {
	*recorder.remaining = timeLeft
	return rendered
}
