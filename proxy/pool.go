package proxy

import (
	"slices"
	"time"

	"sandyard/decision"
)

// idleSweepInterval is how often idle lines are looked at.
const idleSweepInterval = time.Second

// assignConn gives an attempt a line: an idle one, or a new one. An unsafe request only goes out on a line that was used
// just now, since one that a box closes while the request is on its way leaves open whether it ran.
func (inst *Instance) assignConn(ex *Exchange, index int, backend *backendEntry) {
	if backend == nil {
		inst.endAttemptUnreported(ex, index, decision.NotSent, false)
		return
	}
	limits := inst.shared.Config.Limits
	maxIdle := time.Duration(limits.BackendIdleTimeout)
	if !ex.isProbe && inst.shared.Config.Settings.Classes[ex.Class].Idempotency == decision.NotIdempotent {
		maxIdle = min(maxIdle, time.Duration(limits.NonIdempotentIdle))
	}
	newest := len(backend.idleConns) - 1
	for newest >= 0 && inst.now-backend.idleConns[newest].lastUsedAt < time.Duration(limits.ReuseDelay) {
		newest--
	}
	if newest >= 0 && inst.now-backend.idleConns[newest].lastUsedAt <= maxIdle {
		conn := backend.idleConns[newest]
		backend.idleConns = slices.Delete(backend.idleConns, newest, newest+1)
		ex.attempts[index].conn = conn
		inst.writeAttempt(conn, ex, index)
		return
	}
	if backend.connCount >= limits.ConnsPerBackend && len(backend.idleConns) == 0 {
		inst.endAttemptUnreported(ex, index, decision.NotSent, false)
		return
	}
	if backend.connCount >= limits.ConnsPerBackend || len(backend.idleConns) > 1 && maxIdle < time.Duration(limits.BackendIdleTimeout) {
		inst.closeConn(backend.idleConns[0]) // the new line takes the place of the oldest, so that unsafe requests do not pile up idle ones
	}
	if inst.connCount >= limits.BackendConns && !inst.evictOldestIdle() {
		inst.endAttemptUnreported(ex, index, decision.NotSent, false)
		return
	}
	inst.lastConnID++
	conn := &BackendConn{Addr: backend.addr, processStarted: backend.processStarted, backend: backend, state: connDialing, lastUsedAt: inst.now, exchange: ex, attempt: index, id: inst.lastConnID}
	backend.connCount++
	inst.connCount++
	ex.attempts[index].conn = conn
	inst.Stats.Dials++
	inst.emit(Effect{Kind: DialBackend, Conn: conn, Addr: conn.Addr})
	inst.timers.push(timer{at: inst.now + time.Duration(limits.ConnectTimeout), kind: dialTimer, conn: conn})
}

// closeConn closes a line for good.
func (inst *Instance) closeConn(conn *BackendConn) {
	if conn.state == connClosed {
		return
	}
	if conn.state == connIdle {
		conn.backend.idleConns = slices.DeleteFunc(conn.backend.idleConns, func(other *BackendConn) bool { return other == conn })
	}
	conn.state, conn.exchange = connClosed, nil
	conn.backend.connCount--
	inst.connCount--
	inst.emit(Effect{Kind: CloseBackend, Conn: conn})
	inst.removeIfUnused(conn.backend)
}

// evictOldestIdle closes the line that has been idle for longest, to make room for another.
func (inst *Instance) evictOldestIdle() bool {
	var oldest *BackendConn
	for _, backend := range inst.backendsInOrder {
		if len(backend.idleConns) > 0 && (oldest == nil || backend.idleConns[0].lastUsedAt < oldest.lastUsedAt) {
			oldest = backend.idleConns[0]
		}
	}
	if oldest == nil {
		return false
	}
	inst.closeConn(oldest)
	return true
}

// returnToPool makes a line idle.
func (inst *Instance) returnToPool(conn *BackendConn) {
	conn.exchange, conn.lastUsedAt = nil, inst.now
	if backend := conn.backend; !backend.listed || backend.endpoint.State != decision.Up || !backend.isSameProcess(conn) || inst.stopped {
		conn.state = connBusy // so that hang does not look for it among the idle
		inst.closeConn(conn)
	} else {
		conn.state = connIdle
		backend.idleConns = append(backend.idleConns, conn)
	}
}

// closeExpiredIdleConns closes lines that were idle for too long.
func (inst *Instance) closeExpiredIdleConns() {
	limit := time.Duration(inst.shared.Config.Limits.BackendIdleTimeout)
	for _, backend := range slices.Clone(inst.backendsInOrder) {
		for len(backend.idleConns) > 0 && inst.now-backend.idleConns[0].lastUsedAt > limit {
			inst.closeConn(backend.idleConns[0])
		}
	}
}

// closeIdleConns closes a box's idle lines.
func (inst *Instance) closeIdleConns(backend *backendEntry) {
	for len(backend.idleConns) > 0 {
		inst.closeConn(backend.idleConns[len(backend.idleConns)-1])
	}
}
