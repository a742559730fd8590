package proxy

import (
	"fmt"
	"testing"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// The endpoint list becomes empty and then contains the same backends again. In between, requests must be rejected and no
// state of the old backends may remain. Afterwards, requests must be served.
func TestAllEndpointsRemovedAndReturned(t *testing.T) {
	r := newHarness(t, 2, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: nil})
	if r.want(CloseBackend).Conn != conn {
		t.Error("the idle connection is not closed")
	}
	r.request("GET", "/look", "ka", "")
	r.wantResponse("503")
	r.wantNone(DialBackend)
	if len(r.instance.backendsInOrder) != 0 || len(r.instance.backendsByName) != 0 {
		t.Error("removed backends are still in the tables")
	}
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: endpointList(2, 0)})
	_, ex = r.request("GET", "/look", "ka", "")
	conn, _ = r.connect()
	r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.requireQuiescent()
}

// An update must not change backends that it does not contain, must forget a removed backend, and must not add an unknown
// backend that it removes.
func TestEndpointUpdates(t *testing.T) {
	r := newHarness(t, 2, 1, "")
	removed := config.EndpointState(decision.Removed)
	r.instance.UpdateEndpoints(r.now, EndpointsUpdate{Endpoints: []config.Endpoint{{Name: "box-0", State: removed}, {Name: "never", State: removed}, {Name: "box-2", Address: "10.0.0.9:80"}}})
	r.collect()
	seen := map[string]bool{}
	for range 60 {
		r.request("GET", "/look", "ka", "")
	}
	for _, effect := range r.effects {
		if effect.Kind == DialBackend {
			seen[effect.Addr] = true
		}
	}
	if len(seen) != 2 || !seen["10.0.0.1:80"] || !seen["10.0.0.9:80"] || len(r.instance.backends) != 2 {
		t.Errorf("%v, %d backends", seen, len(r.instance.backends))
	}
}

// A backend's process restarts while all connections to it are idle. They must be closed, but the backend must not be
// forgotten with the last of them: it gets requests on a new connection.
func TestBackendRestartsWithIdleConnections(t *testing.T) {
	r := newHarness(t, 1, 1, "")
	_, ex := r.request("GET", "/look", "ka", "")
	idle, _ := r.connect()
	r.reply(idle, ex, ok200)
	r.wantResponse("200")
	restarted := endpointList(1, 0)
	restarted[0].Started = config.Timestamp(time.Unix(100, 0))
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: restarted})
	if effect := r.want(CloseBackend); effect.Conn != idle {
		t.Error("another connection was closed")
	}
	_, ex = r.request("GET", "/look", "ka", "")
	conn, _ := r.connect()
	r.reply(conn, ex, ok200)
	r.wantResponse("200")
	r.requireQuiescent()
}

func endpointList(n int, state config.EndpointState) (list []config.Endpoint) {
	for i := range n {
		list = append(list, config.Endpoint{Name: fmt.Sprintf("box-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), State: state})
	}
	return list
}
