package proxy

import (
	"slices"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// backendEntry is a backend as the endpoint list describes it, with its pool of connections. It stays until the list has
// left it out and its last connection is closed.
type backendEntry struct {
	endpoint       decision.Endpoint
	name           string
	addr           string           // host:port
	processStarted config.Timestamp // when its process started, as the list says
	idleConns      []*BackendConn   // the last used is the last
	connCount      int              // connections to it, idle, busy and being made
	listed         bool             // the endpoint list has it
	roundTrip      roundTripEstimate
}

// isSameProcess reports whether a connection was made to the process that the backend is now, as far as the list says.
func (backend *backendEntry) isSameProcess(conn *BackendConn) bool {
	return backend.addr == conn.Addr && time.Time(backend.processStarted).Equal(time.Time(conn.processStarted))
}

// EndpointsUpdate is a message from the source of the endpoint list.
type EndpointsUpdate struct {
	Endpoints []config.Endpoint
	// Origin is the calendar time at which the instance's clock stood at zero; the starts of processes are calendar times.
	Origin time.Time
}

// ReplaceEndpoints takes a whole endpoint list in: backends that it leaves out are removed.
func (inst *Instance) ReplaceEndpoints(now time.Duration, update EndpointsUpdate) {
	for _, backend := range inst.backendsInOrder {
		backend.listed = false
	}
	inst.applyEndpoints(now, update, decision.EndpointsChanged{Full: true})
}

// UpdateEndpoints takes in what has changed of the endpoint list; other backends stay as they are.
func (inst *Instance) UpdateEndpoints(now time.Duration, update EndpointsUpdate) {
	inst.applyEndpoints(now, update, decision.EndpointsChanged{})
}

// EndpointPollFailed reports that the endpoint list could not be read; the last one stays in force.
func (inst *Instance) EndpointPollFailed(now time.Duration) {
	inst.advanceTo(now)
	inst.handleAndDrain(decision.EndpointsChanged{Failed: true})
}

// applyEndpoints takes an update in and hands it to the decision gateway as one event, change.
func (inst *Instance) applyEndpoints(now time.Duration, update EndpointsUpdate, change decision.EndpointsChanged) {
	inst.advanceTo(now)
	for i := range update.Endpoints {
		entry := &update.Endpoints[i]
		backend := inst.findOrAddBackend(entry)
		if backend == nil {
			continue
		}
		inst.applyEndpoint(backend, entry, update.Origin)
		removed := backend.endpoint.State == decision.Removed
		// A change that removes a backend has it forgotten with its last connection. One that a whole list names as removed
		// is kept until a list leaves it out.
		backend.listed = change.Full || !removed
		change.Endpoints = append(change.Endpoints, backend.endpoint)
		if inst.RecordDecision != nil {
			inst.endpointNames = append(inst.endpointNames, entry.Name)
		}
	}
	inst.retireBackends()
	inst.handle(change, 0)
	inst.endpointNames = nil
	inst.drainEvents()
}

// findOrAddBackend returns the backend that an update is of, or nil if that was never known and is removed.
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

// applyEndpoint takes an update of one backend in. Connections to a process that is no longer at the backend's address are
// closed where they are idle; on the others no further attempt begins.
func (inst *Instance) applyEndpoint(backend *backendEntry, update *config.Endpoint, origin time.Time) {
	addressChanged := backend.addr != update.Address
	processChanged := addressChanged || !time.Time(backend.processStarted).Equal(time.Time(update.Started))
	backend.addr, backend.processStarted = update.Address, update.Started
	backend.listed = true // before connections are closed: an unlisted backend is removed with its last one
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

// retireBackends marks backends that the list has left out as removed, those that were draining as well, and closes the idle
// connections of all that are not up. Attempts that were written are let finish; isObsolete drops those that were not.
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

// removeIfUnused forgets a backend that the endpoint list has left out, once it has no connection.
func (inst *Instance) removeIfUnused(backend *backendEntry) {
	if !backend.listed && backend.connCount == 0 && inst.backendsByName[backend.name] == backend {
		delete(inst.backendsByName, backend.name)
		delete(inst.backends, backend.endpoint.Backend)
		inst.backendsInOrder = slices.DeleteFunc(inst.backendsInOrder, func(other *backendEntry) bool { return other == backend })
	}
}
