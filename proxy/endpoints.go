package proxy

import (
	"slices"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// backendEntry is a backend from the endpoint list with its pool of connections. It is kept until the list no longer
// contains it and its last connection is closed.
type backendEntry struct {
	endpoint       decision.Endpoint
	name           string
	addr           string           // host:port
	processStarted config.Timestamp // when its process started, according to the endpoint list
	idleConns      []*BackendConn   // ordered by last use, the most recent last
	connCount      int              // connections to it: idle, busy and dialling
	listed         bool             // the endpoint list contains it
	superseded     bool             // another backend's process listens at its address, see supersede.go
	roundTrip      roundTripEstimate
}

// isSameProcess reports whether a connection was dialled to the backend's current process, according to the endpoint list.
func (backend *backendEntry) isSameProcess(conn *BackendConn) bool {
	return backend.addr == conn.Addr && time.Time(backend.processStarted).Equal(time.Time(conn.processStarted))
}

// EndpointsUpdate is a message from the source of the endpoint list.
type EndpointsUpdate struct {
	Endpoints []config.Endpoint
	// Origin is the wall-clock time at time 0 of the instance. It converts the start times of processes, which are
	// wall-clock times.
	Origin time.Time
}

// ReplaceEndpoints applies a complete endpoint list: backends that it does not contain are removed.
func (inst *Instance) ReplaceEndpoints(now time.Duration, update EndpointsUpdate) {
	for _, backend := range inst.backendsInOrder {
		backend.listed = false
	}
	inst.applyEndpoints(now, update, decision.EndpointsChanged{Full: true})
}

// UpdateEndpoints applies changes of the endpoint list; all other backends stay unchanged.
func (inst *Instance) UpdateEndpoints(now time.Duration, update EndpointsUpdate) {
	inst.applyEndpoints(now, update, decision.EndpointsChanged{})
}

// EndpointPollFailed reports that the endpoint list could not be read. The last list remains in use.
func (inst *Instance) EndpointPollFailed(now time.Duration) {
	inst.advanceTo(now)
	inst.handleAndDrain(decision.EndpointsChanged{Failed: true})
}

// applyEndpoints applies an update and passes it to the decision gateway as one event, change.
func (inst *Instance) applyEndpoints(now time.Duration, update EndpointsUpdate, change decision.EndpointsChanged) {
	inst.advanceTo(now)
	var changed []*backendEntry
	for i := range update.Endpoints {
		entry := &update.Endpoints[i]
		backend := inst.findOrAddBackend(entry)
		if backend == nil {
			continue
		}
		inst.applyEndpoint(backend, entry, update.Origin)
		removed := backend.endpoint.State == decision.Removed
		// A backend that an incremental update removes is forgotten when its last connection is closed. A backend that a
		// complete list names as removed is kept until a list does not contain it.
		backend.listed = change.Full || !removed
		changed = append(changed, backend)
	}
	for _, backend := range inst.supersedeBackends(changed) {
		change.Endpoints = append(change.Endpoints, backend.endpoint)
		if inst.RecordDecision != nil {
			inst.endpointNames = append(inst.endpointNames, backend.name)
		}
	}
	inst.retireBackends()
	inst.handle(change, 0)
	inst.endpointNames = nil
	inst.drainEvents()
}

// findOrAddBackend returns the backend that an update refers to, or nil if the backend is unknown and the update removes it.
func (inst *Instance) findOrAddBackend(update *config.Endpoint) *backendEntry {
	if backend := inst.backendsByName[update.Name]; backend != nil {
		return backend
	}
	if decision.EndpointState(update.State) == decision.Removed {
		return nil
	}
	inst.lastBackendID++
	backend := &backendEntry{name: update.Name, endpoint: decision.Endpoint{Backend: inst.lastBackendID}}
	inst.backendsByName[backend.name] = backend
	inst.backends[backend.endpoint.Backend] = backend
	inst.backendsInOrder = append(inst.backendsInOrder, backend)
	return backend
}

// applyEndpoint applies an update of one backend. If the backend's process or address changed, its idle connections are
// closed, and no further attempt starts on the others.
func (inst *Instance) applyEndpoint(backend *backendEntry, update *config.Endpoint, origin time.Time) {
	addressChanged := backend.addr != update.Address
	if addressChanged {
		inst.releaseAddress(backend)
	}
	processChanged := addressChanged || !time.Time(backend.processStarted).Equal(time.Time(update.Started))
	backend.addr, backend.processStarted = update.Address, update.Started
	backend.listed = true // set before connections are closed: an unlisted backend is removed with its last connection
	if processChanged {
		backend.superseded = false
	}
	if addressChanged {
		backend.roundTrip = roundTripEstimate{}
	}
	if processChanged {
		inst.closeIdleConns(backend)
	}
	endpoint := decision.Endpoint{
		Backend: backend.endpoint.Backend,
		Zone:    max(0, slices.Index(inst.shared.Config.Zones, update.Zone)),
		Cell:    update.Cell,
		State:   decision.EndpointState(update.State),
		Weight:  update.Weight,
	}
	if startedAt := time.Time(update.Started); !startedAt.IsZero() {
		endpoint.Started = max(0, startedAt.Sub(origin))
	}
	backend.endpoint = endpoint
}

// retireBackends marks backends that the list does not contain as removed, including draining ones, and closes the idle
// connections of all backends that are not up. Attempts that were already written may finish; isObsolete stops the others.
func (inst *Instance) retireBackends() {
	for _, backend := range slices.Clone(inst.backendsInOrder) { // closing may remove a backend
		if !backend.listed {
			backend.endpoint.State = decision.Removed
		}
		if backend.endpoint.State != decision.Up {
			inst.closeIdleConns(backend)
			inst.removeIfUnused(backend)
		}
	}
}

// removeIfUnused forgets a backend if the endpoint list does not contain it and it has no connections.
func (inst *Instance) removeIfUnused(backend *backendEntry) {
	if !backend.listed && backend.connCount == 0 && inst.backendsByName[backend.name] == backend {
		inst.releaseAddress(backend)
		delete(inst.backendsByName, backend.name)
		delete(inst.backends, backend.endpoint.Backend)
		inst.backendsInOrder = slices.DeleteFunc(inst.backendsInOrder, func(other *backendEntry) bool { return other == backend })
	}
}
