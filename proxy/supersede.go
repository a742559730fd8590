package proxy

import (
	"slices"
	"time"

	"sandyard/decision"
)

// Two backends of the endpoint list can have one address: a new process has started where that of another backend was, and the
// list still has both. The process that started later is the one that listens there. The other backend is superseded: it gets
// no attempts, as if it were removed, because they would reach the new process. That one does not know the idempotency keys of
// the other, and may be warming up. The backend stays superseded until the list gives it another address or start.

// isUsable reports whether a backend's own process can be reached, as far as the endpoint list tells.
func (backend *backendEntry) isUsable() bool {
	return backend.listed && !backend.superseded && backend.endpoint.State != decision.Removed
}

// startedAfter reports whether a backend's process started after that of another one. A process without a known start started
// long ago.
func (backend *backendEntry) startedAfter(other *backendEntry) bool {
	return time.Time(backend.processStarted).After(time.Time(other.processStarted))
}

// supersedeBackends finds the backends that the changed ones supersede, or are superseded by, and marks superseded ones as
// removed. It returns the changed backends and those that are newly superseded.
func (inst *Instance) supersedeBackends(changed []*backendEntry) []*backendEntry {
	all := changed
	for _, backend := range changed {
		if superseded := inst.claimAddress(backend); superseded != nil && !slices.Contains(changed, superseded) {
			all = append(all, superseded)
		}
	}
	for _, backend := range all {
		if backend.superseded {
			backend.endpoint.State = decision.Removed
		}
	}
	return all
}

// claimAddress records that a backend's process listens at its address, unless that of another backend started later. It
// returns the backend that is newly superseded, if any. Backends with equal starts don't supersede each other.
func (inst *Instance) claimAddress(backend *backendEntry) (superseded *backendEntry) {
	if !backend.isUsable() {
		inst.releaseAddress(backend)
		return nil
	}
	owner := inst.addressOwners[backend.addr]
	if owner == nil || owner == backend || owner.addr != backend.addr || !owner.isUsable() {
		inst.addressOwners[backend.addr] = backend
		return nil
	}
	if owner.startedAfter(backend) {
		backend.superseded = true
		return backend
	}
	inst.addressOwners[backend.addr] = backend
	if !backend.startedAfter(owner) {
		return nil
	}
	owner.superseded = true
	return owner
}

// releaseAddress forgets that a backend's process listens at its address.
func (inst *Instance) releaseAddress(backend *backendEntry) {
	if inst.addressOwners[backend.addr] == backend {
		delete(inst.addressOwners, backend.addr)
	}
}
