package proxy

import (
	"maps"
	"slices"
	"time"

	"sandyard/decision"
)

// RequestArrived takes an exchange in, for which a client waits. It gets its final answer within its timeout, less
// limits.answer-margin, and earlier where the instance has been late.
//
// One with the unique name of another that is open is answered 409 at once, and the decision gateway gets no event for it:
// backends know requests by that name.
func (inst *Instance) RequestArrived(now time.Duration, ex *Exchange) {
	inst.advanceTo(now)
	if ex.UniqueName != "" {
		if inst.exchangesByName[ex.UniqueName] != nil {
			inst.rejectDuplicate(ex)
			return
		}
		inst.exchangesByName[ex.UniqueName] = ex
	}
	inst.lastRequestID++
	ex.ID, ex.state = inst.lastRequestID, Deciding
	ex.latenessMargin = inst.shared.latenessMargin(ex.Timeout)
	inst.requests[ex.ID] = ex
	inst.unanswered++
	inst.Stats.Arrived++
	inst.handle(decision.RequestArrived{
		Request:  ex.ID,
		Class:    ex.Class,
		Plan:     ex.Customer.Plan,
		Customer: ex.Customer.Name,
		TimeLeft: max(0, inst.answerDeadline(ex)-inst.now),
		Units:    ex.Units,
		Spread:   ex.Customer.Spread,
		First:    ex.Customer.First,
		Retry:    ex.IsRetry,
	}, ex.Operation.Index+1)
	inst.drainEvents()
}

// rejectDuplicate answers an exchange whose unique name is in use. The exchange was never in the instance's tables.
func (inst *Instance) rejectDuplicate(ex *Exchange) {
	ex.state = Done
	inst.respondLocally(ex, &duplicateName, 0)
	inst.shared.release(ex.reservedBytes)
	ex.reservedBytes = 0
}

// answerDeadline is when an exchange must be answered: limits.answer-margin is for the answer to reach the client, the other
// margin for timers that are late.
func (inst *Instance) answerDeadline(ex *Exchange) time.Duration {
	return ex.Arrived + ex.Timeout - time.Duration(inst.shared.Config.Limits.ResponseMargin) - ex.latenessMargin
}

// ClientLeft reports that an exchange's client is gone. It gets no answer; the decision gateway gets the event and may
// cancel attempts that are open. A backend connection whose response was being streamed is closed.
func (inst *Instance) ClientLeft(now time.Duration, ex *Exchange) {
	inst.advanceTo(now)
	if inst.requests[ex.ID] != ex {
		return
	}
	wasStreaming := ex.state == Streaming
	if !ex.apply(eventClientLeft) {
		return
	}
	inst.Stats.ClientsLeft++
	inst.unanswered--
	if wasStreaming {
		inst.closeConn(ex.streamingConn)
		inst.endAttemptWithOutcome(ex, ex.streamingAttempt, decision.Cancelled, true)
	}
	inst.handleAndDrain(decision.ClientDisconnected{Request: ex.ID})
	inst.releaseIfDone(ex)
}

// FailUnanswered gives every exchange without an answer its final one, at the end of a shutdown: one of which no byte was
// sent to a backend is rejected, any other fails, and a response that is being streamed breaks off.
func (inst *Instance) FailUnanswered(now time.Duration) {
	inst.advanceTo(now)
	for _, id := range slices.Sorted(maps.Keys(inst.requests)) {
		ex := inst.requests[id]
		switch {
		case ex == nil || ex.isProbe || ex.state == Done:
			continue
		case ex.state == Streaming:
			inst.closeConn(ex.streamingConn)
			inst.failAttempt(ex, ex.streamingAttempt, decision.Cancelled)
		case ex.wasSent():
			inst.answerLocally(id, eventFailed, &attemptFailed, 0)
		default:
			inst.answerLocally(id, eventRejected, &shuttingDown, localRetryAfter)
		}
		inst.handleAndDrain(decision.ClientDisconnected{Request: id})
	}
}

// wasSent reports whether the first byte of an attempt was written.
func (ex *Exchange) wasSent() bool {
	return slices.ContainsFunc(ex.attempts, func(attempt attempt) bool { return attempt.firstByteAt > 0 })
}

// reject carries out the decision gateway's action.
func (inst *Instance) reject(action decision.Reject) {
	response := &noCapacity
	if action.Reason == decision.OverQuota {
		response = &overQuota
	}
	inst.answerLocally(action.Request, eventRejected, response, action.RetryAfter)
}

// fail carries out the decision gateway's action. The answer says whether the time had run out.
func (inst *Instance) fail(action decision.Fail) {
	response := &attemptFailed
	if ex := inst.requests[action.Request]; ex != nil && inst.now >= inst.answerDeadline(ex) {
		response = &deadlineExceeded
	}
	inst.answerLocally(action.Request, eventFailed, response, 0)
}

// answerLocally gives the answer that the decision gateway decided on, if the exchange's state allows one: event is
// eventRejected or eventFailed. retryAfter, if above 0, goes into the response.
func (inst *Instance) answerLocally(id decision.RequestID, event exchangeEvent, response *localResponse, retryAfter time.Duration) {
	ex := inst.requests[id]
	if ex == nil || !ex.apply(event) {
		inst.Stats.IgnoredEvents++
		return
	}
	switch {
	case event == eventFailed:
		inst.Stats.Failed++
	case response.Status == overQuota.Status:
		inst.Stats.RejectedOverQuota++
	default:
		inst.Stats.RejectedNoCapacity++
	}
	inst.unanswered--
	inst.respondLocally(ex, response, retryAfter)
	inst.releaseIfDone(ex)
}

// respondLocally hands one of the gateway's own responses to an exchange's client.
func (inst *Instance) respondLocally(ex *Exchange, response *localResponse, retryAfter time.Duration) {
	ex.Status = response.Status
	closeAfterResponse := ex.CloseAfterResponse || inst.shared.closesAfterResponse()
	rendered := inst.shared.appendLocalResponse(nil, response, ex.Method, ex.MinorVersion, closeAfterResponse, retryAfter)
	inst.emit(Effect{Kind: Respond, Exchange: ex, Bytes: rendered, CloseAfterResponse: closeAfterResponse})
}

// releaseIfDone forgets an exchange, and gives its memory back, once it is answered and none of its attempts is open.
func (inst *Instance) releaseIfDone(ex *Exchange) {
	if ex.state == Done && ex.openAttempts == 0 && inst.requests[ex.ID] == ex {
		delete(inst.requests, ex.ID)
		if ex.UniqueName != "" {
			delete(inst.exchangesByName, ex.UniqueName)
		}
		inst.shared.release(ex.reservedBytes)
		ex.reservedBytes = 0
	}
}
