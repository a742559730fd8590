package proxy

import (
	"slices"
	"time"

	"sandyard/decision"
)

// idleSweepInterval is how often idle backend connections are checked against limits.box-idle-timeout. A second is short
// beside the timeout, which is tens of seconds, and the check is cheap.
const idleSweepInterval = time.Second

// assignConn gives an attempt a connection to its backend: an idle one, on which it begins at once, or a new one, on
// which it begins when that is made. Where the bounds on connections allow neither the attempt ends as not sent.
func (inst *Instance) assignConn(ex *Exchange, index int, backend *backendEntry) {
	if backend == nil {
		inst.endAttemptWithOutcome(ex, index, decision.NotSent, false)
		return
	}
	limits := &inst.shared.Config.Limits
	maxIdle := inst.maxIdleTime(ex)
	if conn := inst.takeIdle(backend, maxIdle); conn != nil {
		ex.attempts[index].conn = conn
		inst.writeAttempt(conn, ex, index)
		return
	}
	if inst.endpointsOutdated() || !inst.makeRoom(backend, maxIdle) { // a connection would be made for nothing
		inst.endAttemptWithOutcome(ex, index, decision.NotSent, false)
		return
	}
	conn := &BackendConn{
		Addr:           backend.addr,
		processStarted: backend.processStarted,
		backend:        backend,
		state:          connDialing,
		dialStartedAt:  inst.now,
		exchange:       ex,
		attempt:        index,
	}
	backend.connCount++
	inst.connCount++
	ex.attempts[index].conn = conn
	inst.Stats.Dials++
	inst.emit(Effect{Kind: DialBackend, Conn: conn, Addr: conn.Addr})
	inst.timers.push(timer{at: inst.now + time.Duration(limits.ConnectTimeout), kind: dialTimer, conn: conn})
}

// maxIdleTime is how long a connection may have been idle to carry an exchange. For a request that must not run twice it
// is limits.unsafe-idle: where the backend closes a connection that has been idle for long just as the request is on its
// way, it can't be known whether it ran, and it fails without a retry.
func (inst *Instance) maxIdleTime(ex *Exchange) time.Duration {
	limits := &inst.shared.Config.Limits
	maxIdle := time.Duration(limits.BackendIdleTimeout)
	if !ex.isProbe && inst.shared.Config.Settings.Classes[ex.Class].Idempotency == decision.NotIdempotent {
		maxIdle = min(maxIdle, time.Duration(limits.NonIdempotentIdle))
	}
	return maxIdle
}

// takeIdle takes the idle connection that was used last out of the pool, if it was used within maxIdle, and nil else.
//
// Those used within limits.line-rest are passed over. Bytes that a backend sends behind its response show up meanwhile,
// and the connection is closed; after the next request was written they would be taken for its response, since nothing in
// HTTP/1.1 names the request that a response is for.
func (inst *Instance) takeIdle(backend *backendEntry, maxIdle time.Duration) *BackendConn {
	reuseDelay := time.Duration(inst.shared.Config.Limits.ReuseDelay)
	newest := len(backend.idleConns) - 1
	for newest >= 0 && inst.now-backend.idleConns[newest].idleSince < reuseDelay {
		newest--
	}
	if newest < 0 || inst.now-backend.idleConns[newest].idleSince > maxIdle {
		return nil
	}
	conn := backend.idleConns[newest]
	backend.idleConns = slices.Delete(backend.idleConns, newest, newest+1)
	return conn
}

// makeRoom reports whether a connection to a backend may be added to limits.lines-per-box and limits.lines, closing idle
// ones where that is needed. One for a request that must not run twice also takes the place of the backend's oldest idle
// connection where the backend has more than one, also below the limits; such requests get new connections each time, and
// idle ones would pile up.
func (inst *Instance) makeRoom(backend *backendEntry, maxIdle time.Duration) bool {
	limits := &inst.shared.Config.Limits
	full := backend.connCount >= limits.ConnsPerBackend
	if full && len(backend.idleConns) == 0 {
		return false
	}
	if full || len(backend.idleConns) > 1 && maxIdle < time.Duration(limits.BackendIdleTimeout) {
		inst.closeConn(backend.idleConns[0])
	}
	return inst.connCount < limits.BackendConns || inst.evictOldestIdle()
}

// evictOldestIdle closes the connection to any backend that has been idle for longest, and reports whether there was one.
func (inst *Instance) evictOldestIdle() bool {
	var oldest *BackendConn
	for _, backend := range inst.backendsInOrder {
		if len(backend.idleConns) > 0 && (oldest == nil || backend.idleConns[0].idleSince < oldest.idleSince) {
			oldest = backend.idleConns[0]
		}
	}
	if oldest == nil {
		return false
	}
	inst.closeConn(oldest)
	return true
}

// returnToPool makes a connection idle that carries no attempt any more. It is closed where it can't be used again: its
// backend is removed, draining or another process by now, or the instance is stopped.
func (inst *Instance) returnToPool(conn *BackendConn) {
	conn.exchange, conn.idleSince = nil, inst.now
	backend := conn.backend
	if !backend.listed || backend.endpoint.State != decision.Up || !backend.isSameProcess(conn) || inst.stopped {
		inst.closeUnpooled(conn)
		return
	}
	conn.state = connIdle
	backend.idleConns = append(backend.idleConns, conn)
}

// closeConn closes a connection for good. For one that is closed it does nothing.
func (inst *Instance) closeConn(conn *BackendConn) {
	if conn.state == connClosed {
		return
	}
	inst.removeConn(conn)
	inst.emit(Effect{Kind: CloseBackend, Conn: conn})
	inst.removeIfUnused(conn.backend)
}

// closeUnpooled closes a connection that is not closed already and is not in its backend's idleConns, which it does not
// search.
func (inst *Instance) closeUnpooled(conn *BackendConn) {
	inst.markClosed(conn)
	inst.emit(Effect{Kind: CloseBackend, Conn: conn})
	inst.removeIfUnused(conn.backend)
}

// removeConn marks a connection as closed and takes it out of the pool and of the counts. It must not be closed already.
func (inst *Instance) removeConn(conn *BackendConn) {
	backend := conn.backend
	if conn.state == connIdle {
		backend.idleConns = slices.DeleteFunc(backend.idleConns, func(other *BackendConn) bool { return other == conn })
	}
	inst.markClosed(conn)
}

// markClosed marks a connection as closed and takes it out of the counts. It must not be closed already.
func (inst *Instance) markClosed(conn *BackendConn) {
	conn.state, conn.exchange = connClosed, nil
	conn.backend.connCount--
	inst.connCount--
}

// closeExpiredIdleConns closes connections that were idle for longer than limits.box-idle-timeout.
func (inst *Instance) closeExpiredIdleConns() {
	limit := time.Duration(inst.shared.Config.Limits.BackendIdleTimeout)
	for _, backend := range slices.Clone(inst.backendsInOrder) { // closing may remove a backend
		for len(backend.idleConns) > 0 && inst.now-backend.idleConns[0].idleSince > limit {
			inst.closeConn(backend.idleConns[0])
		}
	}
}

// closeIdleConns closes a backend's idle connections, the last used first.
func (inst *Instance) closeIdleConns(backend *backendEntry) {
	for len(backend.idleConns) > 0 {
		inst.closeConn(backend.idleConns[len(backend.idleConns)-1])
	}
}
