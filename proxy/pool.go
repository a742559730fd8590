package proxy

import (
	"slices"
	"time"

	"sandyard/decision"
)

// idleSweepInterval is the interval at which idle backend connections are checked against limits.box-idle-timeout. A second
// is short compared with usual values of that timeout, such as 15 s, and the check is cheap.
const idleSweepInterval = time.Second

// assignConn assigns an attempt a connection to its backend: an idle one, on which the attempt starts at once, or a new one,
// on which it starts when the connection is established. If the connection limits allow neither, the attempt ends as not
// sent.
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
	if inst.endpointsOutdated() || !inst.makeRoom(backend, maxIdle) { // with an outdated list, isObsolete would stop the attempt
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

// maxIdleTime returns how long a connection may have been idle and still be used for an exchange. For a non-idempotent
// request it is limits.unsafe-idle: if a backend closes a long-idle connection just as the request is being sent, it is not
// known whether the request ran, and the request fails without a retry.
func (inst *Instance) maxIdleTime(ex *Exchange) time.Duration {
	limits := &inst.shared.Config.Limits
	maxIdle := time.Duration(limits.BackendIdleTimeout)
	if !ex.isProbe && inst.shared.Config.Settings.Classes[ex.Class].Idempotency == decision.NotIdempotent {
		maxIdle = min(maxIdle, time.Duration(limits.NonIdempotentIdle))
	}
	return maxIdle
}

// takeIdle removes the most recently used idle connection from the pool and returns it. It returns nil if there is none, or
// if that connection has been idle for longer than maxIdle.
//
// Connections used within limits.line-rest are skipped. Extra bytes that a backend sends after its response and that arrive
// within that time close the connection. If the next request had already been written, they would be parsed as its
// response, because HTTP/1.1 does not identify the request to which a response belongs.
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

// makeRoom reports whether limits.lines-per-box and limits.lines allow another connection to a backend. It closes idle
// connections if necessary. If maxIdle is below limits.box-idle-timeout, as it usually is for non-idempotent requests, it
// closes the backend's oldest idle connection even below the limits, provided that the backend has more than one: such
// requests may get a new connection each time, and idle ones would accumulate.
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

// evictOldestIdle closes the connection that has been idle for the longest time, of any backend. It reports whether there
// was one.
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

// returnToPool makes a connection idle that carries no attempt any more. It closes the connection if it can't be reused: its
// backend is removed, draining or a different process now, or the instance is stopped.
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

// closeConn closes a connection. It does nothing if the connection is already closed.
func (inst *Instance) closeConn(conn *BackendConn) {
	if conn.state == connClosed {
		return
	}
	inst.removeConn(conn)
	inst.emit(Effect{Kind: CloseBackend, Conn: conn})
	inst.removeIfUnused(conn.backend)
}

// closeUnpooled closes a connection that is neither closed nor in its backend's idleConns. It skips the search of idleConns
// that closeConn does.
func (inst *Instance) closeUnpooled(conn *BackendConn) {
	inst.markClosed(conn)
	inst.emit(Effect{Kind: CloseBackend, Conn: conn})
	inst.removeIfUnused(conn.backend)
}

// removeConn marks a connection as closed and removes it from the pool and the counts. It must not be closed already.
func (inst *Instance) removeConn(conn *BackendConn) {
	backend := conn.backend
	if conn.state == connIdle {
		backend.idleConns = slices.DeleteFunc(backend.idleConns, func(other *BackendConn) bool { return other == conn })
	}
	inst.markClosed(conn)
}

// markClosed marks a connection as closed and removes it from the counts. It must not be closed already.
func (inst *Instance) markClosed(conn *BackendConn) {
	conn.state, conn.exchange = connClosed, nil
	conn.backend.connCount--
	inst.connCount--
}

// closeExpiredIdleConns closes connections that have been idle for longer than limits.box-idle-timeout.
func (inst *Instance) closeExpiredIdleConns() {
	limit := time.Duration(inst.shared.Config.Limits.BackendIdleTimeout)
	for _, backend := range slices.Clone(inst.backendsInOrder) { // closing may remove a backend
		for len(backend.idleConns) > 0 && inst.now-backend.idleConns[0].idleSince > limit {
			inst.closeConn(backend.idleConns[0])
		}
	}
}

// closeIdleConns closes a backend's idle connections, the most recently used first.
func (inst *Instance) closeIdleConns(backend *backendEntry) {
	for len(backend.idleConns) > 0 {
		inst.closeConn(backend.idleConns[len(backend.idleConns)-1])
	}
}
