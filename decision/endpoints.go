package decision

import (
	"slices"
	"time"
)

// This file maintains the backends and decides which of them may get new attempts, from the watch events of discovery.
// A draining or removed backend gets no new attempts; its record is kept while attempts are in flight there. A backend
// whose process has restarted warms up (slowstart.go).

// backendRecord is a gateway's record of a backend.
type backendRecord struct {
	Endpoint
	inFlight    int              // attempts of this instance
	answerDueAt time.Duration    // time after which attempts in flight without an answer are suspect, see outlier.go
	slowness    float64          // latency per queue position, relative to all backends
	outcomes    []outcomeHistory // by class

	// See slowstart.go.
	warmingUp           bool
	startedAt           time.Duration // start of the process that is warming up
	slowStartTokens     float64       // attempts that the backend may get while it warms up, at slowStartRefilledAt
	slowStartThreshold  float64       // value that slowStartTokens must reach for the next attempt
	slowStartRefilledAt time.Duration // 0: not considered for an attempt since the process started
}

// endpointTable holds the backends.
type endpointTable struct {
	known        map[BackendID]*backendRecord
	up           []*backendRecord // backends that may get attempts, in the order in which they were added
	watchPending bool             // a watch has to be requested in the next control period
	probeTurn    int              // number of probes, which selects the next backend in turn
}

func newEndpointTable(subscribe bool) endpointTable {
	return endpointTable{known: map[BackendID]*backendRecord{}, watchPending: subscribe}
}

// deleteIfRemoved deletes a removed backend without attempts in flight. It is called when endpoints have changed and
// when an attempt at the backend ends.
func (t *endpointTable) deleteIfRemoved(backend *backendRecord) {
	if backend.State == Removed && backend.inFlight == 0 {
		delete(t.known, backend.Backend)
	}
}

// requestPendingWatch requests a watch of the endpoints at the start and after a watch has failed. It runs once per
// control period instead of directly after a failure: all instances learn of the failure at the same time, and would
// reconnect at the same time.
func (g *Gateway) requestPendingWatch() {
	if !g.endpoints.watchPending {
		return
	}
	g.endpoints.watchPending = false
	g.emit(WatchEndpoints{})
}

func (g *Gateway) handleEndpoints(event EndpointsChanged) {
	if event.Failed {
		g.endpoints.watchPending = g.settings.Subscribe
		return
	}
	if event.Full {
		for _, backend := range g.endpoints.known {
			backend.State = Removed
		}
	}
	for _, endpoint := range event.Endpoints {
		g.updateEndpoint(endpoint)
	}
	g.endpoints.removeNotUp()
}

// removeNotUp takes the backends that may get no more attempts out of the list of backends that are up, and deletes
// removed backends.
func (t *endpointTable) removeNotUp() {
	for _, backend := range t.known {
		t.deleteIfRemoved(backend)
	}
	stillUp := t.up[:0]
	for _, backend := range t.up {
		if backend.State == Up {
			stillUp = append(stillUp, backend)
		}
	}
	clear(t.up[len(stillUp):])
	t.up = stillUp
}

// updateEndpoint records the current state of one endpoint.
func (g *Gateway) updateEndpoint(endpoint Endpoint) {
	backend := g.endpoints.known[endpoint.Backend]
	if backend == nil && endpoint.State == Removed {
		return
	}
	if backend == nil {
		backend = &backendRecord{slowness: 1, outcomes: make([]outcomeHistory, len(g.settings.Classes))}
		g.endpoints.known[endpoint.Backend] = backend
	}
	if endpoint.Started > backend.Started && endpoint.Started > 0 && endpoint.Started+g.settings.SlowStartTime > g.now {
		g.beginSlowStart(backend, endpoint.Started)
	}
	backend.Endpoint = endpoint
	if endpoint.State == Up && !slices.Contains(g.endpoints.up, backend) {
		g.endpoints.up = append(g.endpoints.up, backend)
	}
}

// beginSlowStart records that a backend's process has restarted. It clears the outcomes of attempts at the earlier
// process, but keeps slowness and answerDueAt. It is not called for a start that becomes known only after SlowStartTime
// has passed; nothing is cleared then.
func (g *Gateway) beginSlowStart(backend *backendRecord, startedAt time.Duration) {
	backend.warmingUp = true
	backend.startedAt = startedAt
	backend.slowStartTokens = 0
	backend.slowStartRefilledAt = 0
	backend.slowStartThreshold = g.rng.Float64()
	clear(backend.outcomes)
}
