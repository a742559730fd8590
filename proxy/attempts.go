package proxy

import (
	"time"

	"sandyard/decision"
)

// attempt is one send of an exchange.
type attempt struct {
	conn        *BackendConn
	decidedAt   time.Duration
	deadline    time.Duration // when it is given up
	firstByteAt time.Duration // when it went out on its line; 0: it has not
	open        bool
}

// usableKeyLife is the share of a key's life in which a repeat may go out; the rest is for the way.
const usableKeyLife = 0.95

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
		inst.endAttemptUnreported(ex, index, decision.NotSent, ex.state == Done)
		return
	}
	inst.Stats.Attempts++
	inst.timers.push(timer{at: inst.now + action.Timeout, kind: attemptTimer, request: ex.ID, attempt: int32(index)})
	inst.assignConn(ex, index, inst.backends[action.Backend])
}

// writeAttempt begins an attempt: its first byte goes out. What may have changed since it was decided on is looked at here, and
// nowhere else.
func (inst *Instance) writeAttempt(conn *BackendConn, ex *Exchange, index int) {
	if inst.isObsolete(conn, ex, index) {
		inst.returnToPool(conn)
		inst.endAttemptUnreported(ex, index, decision.NotSent, ex.state != Forwarding)
		return
	}
	conn.state, conn.exchange, conn.attempt = connBusy, ex, index
	ex.attempts[index].firstByteAt = inst.now
	inst.emit(Effect{Kind: WriteAttempt, Conn: conn, Exchange: ex,
		Bytes: inst.shared.Protocol.RenderAttempt(ex.RenderedRequest, ex.attemptFieldsAt, max(0, ex.attempts[index].deadline-inst.now))})
}

// endAttemptUnreported ends an attempt and tells the gateway.
func (inst *Instance) endAttemptUnreported(ex *Exchange, index int, outcome decision.Outcome, answered bool) {
	inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: outcome, Answered: answered})
}

// endAttempt closes the books of an attempt; e needs what only its caller knows.
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
	ended.Request, ended.Attempt, ended.Latency = ex.ID, index, inst.now-attempt.decidedAt
	if attempt.conn != nil {
		ended.Backend = attempt.conn.backend.endpoint.Backend
		if ended.RoundTrip = attempt.conn.backend.roundTrip.shortest(); attempt.firstByteAt > attempt.decidedAt {
			ended.RoundTrip *= 2 // the line was made for it
		}
	}
	attempt.conn = nil
	inst.queueEvent(ended)
	inst.releaseIfDone(ex)
}

// isObsolete tells that an attempt must not begin any more, although it was decided on: making its line took a while.
func (inst *Instance) isObsolete(conn *BackendConn, ex *Exchange, index int) bool {
	backend := conn.backend
	switch {
	case !backend.isSameProcess(conn): // another process has taken the box's place, and what was decided on is not there
		return true
	case backend.endpoint.State == decision.Removed: // a list that leaves a box out says so, also where it still answers
		return true
	case backend.endpoint.State != decision.Up && inst.now >= backend.notUpSince+inst.shared.Config.Settings.DrainGrace/2:
		return true // its grace may end before the request is there
	case ex.isProbe:
		return false
	case ex.state != Forwarding || ex.clientLeft.Load(): // answered, or nobody waits for it; not every deployment lets attempts be withdrawn
		return true
	case inst.now >= ex.attempts[index].deadline: // there is no time left to tell the box of
		return true
	}
	return inst.keyMayHaveExpired(ex, index)
}

// keyMayHaveExpired tells that an attempt repeats what an earlier one may have run, so late that its key may be forgotten by the
// time it is there: its line took long to be made.
func (inst *Instance) keyMayHaveExpired(ex *Exchange, index int) bool {
	if ex.isProbe {
		return false
	}
	class := &inst.shared.Config.Settings.Classes[ex.Class]
	if class.Idempotency != decision.IdempotentByKey {
		return false
	}
	for i := range ex.attempts[:index] {
		if firstByteAt := ex.attempts[i].firstByteAt; firstByteAt > 0 && inst.now >= firstByteAt+time.Duration(usableKeyLife*float64(class.KeyTTL)) {
			return true
		}
	}
	return false
}

// failAttempt ends an attempt that brought no whole answer. An answer that had begun is cut off at the client, which
// sees that it is not whole.
func (inst *Instance) failAttempt(ex *Exchange, index int, outcome decision.Outcome) {
	if ex.state == Streaming && ex.streamingAttempt == index && ex.apply(eventResponseEnded) {
		inst.unanswered--
		inst.Stats.BrokenResponses++
		inst.emit(Effect{Kind: AbortClient, Exchange: ex})
		inst.endAttemptUnreported(ex, index, outcome, true)
		inst.releaseIfDone(ex)
		return
	}
	ex.apply(eventAttemptLost)
	inst.endAttemptUnreported(ex, index, outcome, ex.state != Forwarding)
}

// cancelAttempt withdraws an attempt: HTTP/1.1 has no other way than to close its connection.
func (inst *Instance) cancelAttempt(action decision.CancelAttempt) {
	ex := inst.requests[action.Request]
	if ex == nil || action.Attempt < 0 || action.Attempt >= len(ex.attempts) || !ex.attempts[action.Attempt].open || !ex.apply(eventAttemptCancelled) {
		return
	}
	inst.abandonAttempt(ex, action.Attempt, decision.Cancelled)
}

// abandonAttempt ends an attempt from our side.
func (inst *Instance) abandonAttempt(ex *Exchange, index int, outcome decision.Outcome) {
	conn := ex.attempts[index].conn
	if conn != nil && conn.state == connDialing {
		conn.exchange = nil // the line may still be of use, and the box has seen nothing
		if outcome == decision.Cancelled {
			outcome = decision.NotSent
		} else {
			outcome = decision.ConnectFailed
		}
	} else if conn != nil {
		conn.exchange = nil
		inst.closeConn(conn)
	}
	ex.apply(eventAttemptLost)
	inst.endAttemptUnreported(ex, index, outcome, ex.state != Forwarding)
}

func (inst *Instance) startProbe(action decision.Probe) {
	backend := inst.backends[action.Backend]
	if backend == nil {
		inst.queueEvent(decision.ProbeEnded{Backend: action.Backend, Outcome: decision.NotSent})
		return
	}
	inst.lastRequestID++
	ex := &Exchange{ID: inst.lastRequestID, Method: "GET", MinorVersion: 1, RenderedRequest: inst.shared.Protocol.RenderProbe(backend.addr), isProbe: true, probedBackend: action.Backend, state: Forwarding,
		attempts: []attempt{{decidedAt: inst.now, open: true}}, openAttempts: 1}
	inst.requests[ex.ID] = ex
	inst.Stats.Probes++
	inst.timers.push(timer{at: inst.now + time.Duration(inst.shared.Config.Limits.ConnectTimeout), kind: attemptTimer, request: ex.ID})
	inst.assignConn(ex, 0, backend)
}
