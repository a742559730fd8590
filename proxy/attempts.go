package proxy

import (
	"time"

	"sandyard/decision"
)

// usableKeyTTLShare is the share of an idempotency key's lifetime, counted from an attempt's first byte, within which a
// retry with the same key may start. The decision gateway decides on retries within a smaller share, 0.9 (keyTTLShare),
// which leaves time to connect. The remaining twentieth is for the retry to reach the backend: a retry that arrives after
// the key has expired would take effect twice.
const usableKeyTTLShare = 0.95

// unhandledGraceDivisor sets the fraction of the drain grace for which an endpoint list message may wait while attempts are
// still started: half of it. The other half is for the request to reach the backend.
const unhandledGraceDivisor = 2

// minUnhandledTime is the time allowed for reading and handling a new endpoint list message if the drain grace is zero or
// very short.
const minUnhandledTime = 20 * time.Millisecond

// attempt is one attempt to send an exchange to a backend. It is created by a decision of the decision gateway, starts with
// its first byte, and ends exactly once, with endAttempt.
type attempt struct {
	conn        *BackendConn  // nil before a connection is assigned and after the attempt's end
	decidedAt   time.Duration // when the decision gateway decided to send it
	deadline    time.Duration // when it times out
	firstByteAt time.Duration // when it was written; 0: not yet
	open        bool          // it has not ended
}

// sendAttempt executes the decision gateway's action: it opens an attempt and assigns it a connection.
func (inst *Instance) sendAttempt(action decision.SendAttempt) {
	ex := inst.requests[action.Request]
	if ex == nil {
		inst.Stats.IgnoredEvents++
		return
	}
	index := len(ex.attempts)
	ex.attempts = append(ex.attempts, attempt{decidedAt: inst.now, deadline: inst.now + action.Timeout, open: true})
	ex.openAttempts++
	if !ex.apply(eventAttemptSent) {
		inst.Stats.IgnoredEvents++
		inst.endAttemptWithOutcome(ex, index, decision.NotSent, ex.state == Done)
		return
	}
	inst.Stats.Attempts++
	inst.timers.push(timer{at: inst.now + action.Timeout, kind: attemptTimer, request: ex.ID, attempt: int32(index)})
	inst.assignConn(ex, index, inst.backends[action.Backend])
}

// startProbe executes the decision gateway's action: it sends a health check as an exchange that has no client and a single
// attempt, and that ends with the attempt.
func (inst *Instance) startProbe(action decision.Probe) {
	backend := inst.backends[action.Backend]
	if backend == nil {
		inst.queueEvent(decision.ProbeEnded{Backend: action.Backend, Outcome: decision.NotSent})
		return
	}
	inst.lastRequestID++
	ex := &Exchange{
		ID:              inst.lastRequestID,
		Method:          "GET",
		MinorVersion:    1,
		RenderedRequest: inst.shared.Protocol.RenderProbe(backend.addr),
		isProbe:         true,
		probedBackend:   action.Backend,
		state:           Forwarding,
		attempts:        []attempt{{decidedAt: inst.now, open: true}},
		openAttempts:    1,
	}
	inst.requests[ex.ID] = ex
	inst.Stats.Probes++
	timeout := time.Duration(inst.shared.Config.Limits.ConnectTimeout)
	inst.timers.push(timer{at: inst.now + timeout, kind: attemptTimer, request: ex.ID})
	inst.assignConn(ex, 0, backend)
}

// writeAttempt starts an attempt on an established connection that carries no other attempt. It is the only place where the
// first byte of an attempt is sent, and first checks whether the decision to send the attempt is still valid.
func (inst *Instance) writeAttempt(conn *BackendConn, ex *Exchange, index int) {
	if inst.isObsolete(conn, ex, index) {
		inst.returnToPool(conn)
		inst.endAttemptWithOutcome(ex, index, decision.NotSent, ex.state != Forwarding)
		return
	}
	conn.state, conn.exchange, conn.attempt = connBusy, ex, index
	attempt := &ex.attempts[index]
	attempt.firstByteAt = inst.now
	timeLeft := max(0, attempt.deadline-inst.now)
	rendered := inst.shared.Protocol.RenderAttempt(ex.RenderedRequest, ex.attemptFieldsAt, timeLeft)
	inst.emit(Effect{Kind: WriteAttempt, Conn: conn, Exchange: ex, Bytes: rendered})
}

// isObsolete reports whether an attempt must not start any more because circumstances changed since the decision, for
// example while the connection was being established. The attempt would reach the wrong process or a backend that is about
// to stop, would run for a client that no longer waits, or could take effect twice.
func (inst *Instance) isObsolete(conn *BackendConn, ex *Exchange, index int) bool {
	backend := conn.backend
	switch {
	case !backend.isSameProcess(conn): // another process now has the address, and the decision was made for the old one
		return true
	case backend.endpoint.State != decision.Up: // it drains and accepts no new requests, or is removed, even if it still responds
		return true
	case inst.endpointsOutdated(): // the waiting message may say that the backend drains
		return true
	case ex.isProbe:
		return false
	case ex.state != Forwarding || ex.clientDone.Load(): // already answered, or the client left; some deployments don't cancel attempts
		return true
	case inst.now >= ex.attempts[index].deadline: // no time is left for the backend
		return true
	}
	return inst.keyMayHaveExpired(ex, index)
}

// endpointsOutdated reports whether an endpoint list message has been waiting for so long that a backend's drain grace may
// end before a request reaches it.
func (inst *Instance) endpointsOutdated() bool {
	if inst.EndpointsUnhandledFor == nil {
		return false
	}
	allowed := inst.shared.Config.Settings.DrainGrace / unhandledGraceDivisor
	return inst.EndpointsUnhandledFor() >= max(allowed, minUnhandledTime)
}

// keyMayHaveExpired reports whether an attempt would repeat a request that an earlier attempt may have run, so late that
// backends may have forgotten the idempotency key when the attempt arrives. The request would then take effect twice.
func (inst *Instance) keyMayHaveExpired(ex *Exchange, index int) bool {
	if ex.isProbe {
		return false
	}
	class := &inst.shared.Config.Settings.Classes[ex.Class]
	if class.Idempotency != decision.IdempotentByKey {
		return false
	}
	usable := time.Duration(usableKeyTTLShare * float64(class.KeyTTL))
	for i := range ex.attempts[:index] {
		firstByteAt := ex.attempts[i].firstByteAt
		if firstByteAt > 0 && inst.now >= firstByteAt+usable {
			return true
		}
	}
	return false
}

// cancelAttempt executes the decision gateway's action.
func (inst *Instance) cancelAttempt(action decision.CancelAttempt) {
	ex, index := inst.requests[action.Request], action.Attempt
	if ex == nil || index < 0 || index >= len(ex.attempts) || !ex.attempts[index].open {
		return
	}
	if ex.apply(eventAttemptCancelled) {
		inst.abandonAttempt(ex, index, decision.Cancelled)
	}
}

// abandonAttempt ends an attempt that timed out or was cancelled. If the attempt was written, its connection is closed,
// which is the only way to cancel a request in HTTP/1.1. A connection that is still being established is kept, and may
// serve another attempt.
func (inst *Instance) abandonAttempt(ex *Exchange, index int, outcome decision.Outcome) {
	conn := ex.attempts[index].conn
	if conn != nil && conn.state == connDialing {
		conn.exchange = nil
		if outcome == decision.Cancelled { // nothing was sent to the backend
			outcome = decision.NotSent
		} else {
			outcome = decision.ConnectFailed
		}
	} else if conn != nil {
		conn.exchange = nil
		inst.closeConn(conn)
	}
	ex.apply(eventAttemptLost)
	inst.endAttemptWithOutcome(ex, index, outcome, ex.state != Forwarding)
}

// failAttempt ends an attempt that produced no complete response. If its response was being streamed, the client's
// connection is aborted, so that the client sees that the response is incomplete. Otherwise the decision gateway decides
// between a retry and an answer.
func (inst *Instance) failAttempt(ex *Exchange, index int, outcome decision.Outcome) {
	if ex.state == Streaming && ex.streamingAttempt == index && ex.apply(eventResponseEnded) {
		inst.unanswered--
		inst.Stats.BrokenResponses++
		inst.emit(Effect{Kind: AbortClient, Exchange: ex})
		inst.endAttemptWithOutcome(ex, index, outcome, true)
		inst.releaseIfDone(ex)
		return
	}
	ex.apply(eventAttemptLost)
	inst.endAttemptWithOutcome(ex, index, outcome, ex.state != Forwarding)
}

// endAttemptWithOutcome ends an attempt of which only the outcome is known. answered reports whether the client has its
// final answer or has left.
func (inst *Instance) endAttemptWithOutcome(ex *Exchange, index int, outcome decision.Outcome, answered bool) {
	inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: outcome, Answered: answered})
}

// endAttempt ends an attempt and reports its end to the decision gateway. It does nothing if the attempt has already ended.
// The caller sets Outcome, Answered, Load and Units.
func (inst *Instance) endAttempt(ex *Exchange, index int, ended decision.AttemptEnded) {
	attempt := &ex.attempts[index]
	if !attempt.open {
		return
	}
	attempt.open = false
	ex.openAttempts--
	if ex.isProbe {
		delete(inst.requests, ex.ID)
		inst.queueEvent(decision.ProbeEnded{Backend: ex.probedBackend, Outcome: ended.Outcome, Load: ended.Load})
		return
	}
	ex.mayHaveRun = ex.mayHaveRun || attempt.firstByteAt > 0 && ended.Outcome.MayHaveRun()
	ended.Request, ended.Attempt, ended.Latency = ex.ID, index, inst.now-attempt.decidedAt
	if attempt.conn != nil {
		ended.Backend = attempt.conn.backend.endpoint.Backend
		ended.RoundTrip = attempt.conn.backend.roundTrip.shortest()
		if attempt.firstByteAt > attempt.decidedAt {
			ended.RoundTrip *= 2 // it waited for its connection, which takes another round trip to establish
		}
	}
	attempt.conn = nil
	inst.queueEvent(ended)
	inst.releaseIfDone(ex)
}
