package decision

import (
	"slices"
	"time"
)

// This file decides which backends exist and which may get new attempts, from the watch events of discovery. A backend
// that is draining or removed gets none; its record stays while attempts are in flight there. One whose process started
// anew is warming up (slowstart.go).

// backendRecord is what a gateway knows of a backend.
type backendRecord struct {
	Endpoint
	inFlight    int              // own attempts
	answerDueAt time.Duration    // when the silence of those in flight becomes suspect, see outlier.go
	slowness    float64          // latency in a queue position, relative to all backends
	outcomes    []outcomeHistory // by class

	// See slowstart.go.
	warmingUp           bool
	startedAt           time.Duration // of the process that is warming up
	slowStartTokens     float64       // attempts that it may get while it warms up, as of slowStartRefilledAt
	slowStartThreshold  float64       // what slowStartTokens must reach for the next attempt
	slowStartRefilledAt time.Duration // 0: not considered for an attempt since it started
}

// endpointTable holds the backends.
type endpointTable struct {
	known        map[BackendID]*backendRecord
	up           []*backendRecord // those that may get attempts, in the order in which they came up
	watchPending bool             // discovery is to be asked for watch events at the next control period
	probeTurn    int              // counts probes, to give each backend its turn
}

func newEndpointTable(subscribe bool) endpointTable {
	return endpointTable{known: map[BackendID]*backendRecord{}, watchPending: subscribe}
}

// forgetIfGone forgets a removed backend if nothing is in flight there. It is called when endpoints have changed, and when
// an attempt at the backend ends.
func (t *endpointTable) forgetIfGone(backend *backendRecord) {
	if backend.State == Removed && backend.inFlight == 0 {
		delete(t.known, backend.Backend)
	}
}

// watchAgain asks discovery for watch events where that is due. It is not done at once after a failure: all instances
// hear of the failure together, and would come back together.
func (g *Gateway) watchAgain() {
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
	g.endpoints.dropNotUp()
}

// dropNotUp takes the backends that may get no more attempts off the list, and forgets those that are gone.
func (t *endpointTable) dropNotUp() {
	for _, backend := range t.known {
		t.forgetIfGone(backend)
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

// updateEndpoint takes in the present state of one endpoint.
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

// beginSlowStart notes that a backend's process has started anew. The outcomes of attempts at the earlier process are
// forgotten; slowness and answerDueAt stay. A start that is learnt of only when SlowStartTime has passed is not noted,
// and nothing is forgotten.
func (g *Gateway) beginSlowStart(backend *backendRecord, startedAt time.Duration) {
	backend.warmingUp = true
	backend.startedAt = startedAt
	backend.slowStartTokens = 0
	backend.slowStartRefilledAt = 0
	backend.slowStartThreshold = g.rng.Float64()
	clear(backend.outcomes)
}
