package proxy

import (
	"time"

	"sandyard/decision"
)

// usableKeyLife is the share of an idempotency key's lifetime, from an attempt's first byte, within which a retry with the
// same key may begin. The decision gateway decides on retries within a smaller share, 0.9 (keyTTLShare), which leaves time
// for a connection to be made. The rest, a twentieth, is for the retry to reach the backend: one that arrives after the key
// was forgotten would have its effect twice.
const usableKeyLife = 0.95

// unhandledGraceDivisor sets the part of a drain grace for which a message of the endpoint list may wait while attempts
// begin: the first half. The other half is for the request to reach the backend.
const unhandledGraceDivisor = 2

// minUnhandledTime is for a message that has just come to be read and handed over, where a deployment has no drain grace.
const minUnhandledTime = 20 * time.Millisecond

// attempt is one sending of an exchange to a backend. It is decided on by the decision gateway, begins with its first
// byte, and ends exactly once, with endAttempt.
type attempt struct {
	conn        *BackendConn  // nil until it has one, and after its end
	decidedAt   time.Duration // when the decision gateway chose it
	deadline    time.Duration // when it is given up
	firstByteAt time.Duration // when it was written; 0: it has not been
	open        bool          // it has not ended
}

// sendAttempt carries out the decision gateway's action: it opens an attempt and assigns it a connection.
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

// startProbe carries out the decision gateway's action: it sends a health check as an exchange without a client, whose
// only attempt is its whole life.
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

// writeAttempt begins an attempt on a connected connection that carries no other: it is the only place where the first
// byte of an attempt goes out, and checks just before it what may have changed since the attempt was decided on.
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

// isObsolete reports whether an attempt must not begin any more, although it was decided on: connecting took a while. In
// each case its first byte would go to the wrong process or to a backend that is about to end, or serve nobody, or could
// have an effect twice.
func (inst *Instance) isObsolete(conn *BackendConn, ex *Exchange, index int) bool {
	backend := conn.backend
	switch {
	case !backend.isSameProcess(conn): // another process has the address, and what was decided for the first does not hold for it
		return true
	case backend.endpoint.State != decision.Up: // it drains and wants nothing new, or is gone, also where it still answers
		return true
	case inst.endpointsOutdated(): // what waits to be read or handled may be that the backend drains
		return true
	case ex.isProbe:
		return false
	case ex.state != Forwarding || ex.unawaited.Load(): // answered, or nobody waits for it; some deployments don't cancel attempts
		return true
	case inst.now >= ex.attempts[index].deadline: // there is no time left for the backend
		return true
	}
	return inst.keyMayHaveExpired(ex, index)
}

// endpointsOutdated reports whether a message of the endpoint list has waited for so long that a backend's drain grace may
// end before a request is there.
func (inst *Instance) endpointsOutdated() bool {
	if inst.EndpointsUnhandledFor == nil {
		return false
	}
	allowed := inst.shared.Config.Settings.DrainGrace / unhandledGraceDivisor
	return inst.EndpointsUnhandledFor() >= max(allowed, minUnhandledTime)
}

// keyMayHaveExpired reports whether an attempt would repeat what an earlier one may have run, so late that backends may
// have forgotten its idempotency key by the time it arrives. It shows as an effect that happens twice.
func (inst *Instance) keyMayHaveExpired(ex *Exchange, index int) bool {
	if ex.isProbe {
		return false
	}
	class := &inst.shared.Config.Settings.Classes[ex.Class]
	if class.Idempotency != decision.IdempotentByKey {
		return false
	}
	usable := time.Duration(usableKeyLife * float64(class.KeyTTL))
	for i := range ex.attempts[:index] {
		firstByteAt := ex.attempts[i].firstByteAt
		if firstByteAt > 0 && inst.now >= firstByteAt+usable {
			return true
		}
	}
	return false
}

// cancelAttempt carries out the decision gateway's action.
func (inst *Instance) cancelAttempt(action decision.CancelAttempt) {
	ex, index := inst.requests[action.Request], action.Attempt
	if ex == nil || index < 0 || index >= len(ex.attempts) || !ex.attempts[index].open {
		return
	}
	if ex.apply(eventAttemptCancelled) {
		inst.abandonAttempt(ex, index, decision.Cancelled)
	}
}

// abandonAttempt ends an attempt from the instance's side. Where it was written its connection is closed, which is the
// only means to cancel a request in HTTP/1.1; one that is still being made may serve another attempt.
func (inst *Instance) abandonAttempt(ex *Exchange, index int, outcome decision.Outcome) {
	conn := ex.attempts[index].conn
	if conn != nil && conn.state == connDialing {
		conn.exchange = nil
		if outcome == decision.Cancelled { // the backend has seen nothing of it
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

// failAttempt ends an attempt that brought no complete response. A response that was being streamed is cut off at the
// client, which sees that it is not complete; else the decision gateway chooses between a retry and an answer.
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

// endAttemptWithOutcome ends an attempt of which only the outcome is known. answered says that the client has its final
// answer, or has left.
func (inst *Instance) endAttemptWithOutcome(ex *Exchange, index int, outcome decision.Outcome, answered bool) {
	inst.endAttempt(ex, index, decision.AttemptEnded{Outcome: outcome, Answered: answered})
}

// endAttempt ends an attempt and reports it to the decision gateway, once; for one that has ended it does nothing. The
// caller fills what only it knows: Outcome, Answered, Load and Units.
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
		ended.RoundTrip = attempt.conn.backend.roundTrip.shortest()
		if attempt.firstByteAt > attempt.decidedAt {
			ended.RoundTrip *= 2 // it waited for its connection to be made, which takes a round trip of its own
		}
	}
	attempt.conn = nil
	inst.queueEvent(ended)
	inst.releaseIfDone(ex)
}
