package proxy

import (
	"testing"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// successor is an endpoint whose process has started at the address of box-0.
func successor() config.Endpoint {
	return config.Endpoint{Name: "successor", Address: "10.0.0.0:80", Started: config.Timestamp(time.Unix(100, 0))}
}

// requireOnlySuccessor checks that requests are sent to the successor and not to box-0.
func requireOnlySuccessor(r *harness) {
	r.Helper()
	for range 20 {
		_, ex := r.request("GET", "/look", "ka", "")
		conn, _ := r.connect()
		if conn.backend.name != "successor" {
			r.Fatalf("a request is sent to %s", conn.backend.name)
		}
		r.reply(conn, ex, ok200)
		r.wantResponse("200")
		r.advance(time.Second)
		r.instance.closeIdleConns(conn.backend)
		r.collect()
	}
}

// TestBackendIsSupersededAtItsAddress guards against work that is sent to a new process as if it were the old one: the list names a
// new backend at the address of another, which it still names as up. It must get no attempts, and its connections must be closed.
func TestBackendIsSupersededAtItsAddress(t *testing.T) {
	for name, update := range map[string]func(*harness){
		"a change": func(r *harness) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: []config.Endpoint{successor()}})
		},
		"a full list": func(r *harness) {
			r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: append(endpointList(1, 0), successor())})
		},
		"a full list in the other order": func(r *harness) {
			r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: append([]config.Endpoint{successor()}, endpointList(1, 0)...)})
		},
		"a change, and the old one is listed again": func(r *harness) {
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: []config.Endpoint{successor()}})
			r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(1, 0)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 1, 1, "")
			_, ex := r.request("GET", "/look", "ka", "")
			idle, _ := r.connect()
			r.reply(idle, ex, ok200)
			r.wantResponse("200")
			update(r)
			r.collect()
			if r.want(CloseBackend).Conn != idle {
				t.Error("the idle connection is not closed")
			}
			requireOnlySuccessor(r)
		})
	}
}

// TestBackendIsSupersededWhileConnecting guards against the same where a connection to the old process is being established.
func TestBackendIsSupersededWhileConnecting(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	r.request("GET", "/look", "ka", "")
	dial := r.want(DialBackend)
	r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: []config.Endpoint{successor()}})
	r.instance.BackendConnected(r.now, dial.Conn)
	r.collect()
	r.wantNone(WriteAttempt)
	if r.want(CloseBackend).Conn != dial.Conn {
		t.Error("another connection is closed")
	}
}

// TestSupersededBackendReturns checks that a backend is used again when the list gives it a new start, and that one which is removed
// supersedes no other.
func TestSupersededBackendReturns(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	removed := successor()
	removed.State = config.EndpointState(decision.Removed)
	restarted := endpointList(1, 0)
	restarted[0].Started = config.Timestamp(time.Unix(50, 0)) // before the successor, which has gone
	for _, update := range [][]config.Endpoint{{successor()}, {removed}, restarted} {
		r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: update})
	}
	r.collect()
	r.request("GET", "/look", "ka", "")
	if conn, _ := r.connect(); conn.backend.name != "box-0" {
		t.Errorf("the request is sent to %s", conn.backend.name)
	}
}

// TestBackendsWithEqualStartsShareAddress checks that backends are not superseded if the list does not tell which process is newer.
func TestBackendsWithEqualStartsShareAddress(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	other := successor()
	other.Started = config.Timestamp{}
	r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: []config.Endpoint{other}})
	seen := map[string]bool{}
	for range 40 {
		r.request("GET", "/look", "ka", "")
	}
	for _, effect := range r.effects {
		if effect.Kind == DialBackend {
			seen[effect.Conn.backend.name] = true
		}
	}
	if len(seen) != 2 {
		t.Errorf("only %v get requests", seen)
	}
}
