package proxy

import (
	"maps"
	"slices"
	"time"

	"sandyard/decision"
)

// RequestArrived starts handling an exchange. The exchange gets its final answer within its timeout minus
// limits.answer-margin, or earlier if timers have been firing late.
//
// An exchange with the unique name of another open exchange is answered 409 at once, without an event for the decision
// gateway, because backends identify requests by that name. So is one with the name of a recent exchange that is not idempotent
// and may have run.
func (inst *Instance) RequestArrived(now time.Duration, ex *Exchange) {
	inst.advanceTo(now)
	if ex.UniqueName != "" {
		if inst.exchangesByName[ex.UniqueName] != nil {
			inst.rejectDuplicate(ex, &duplicateName)
			return
		}
		if inst.recentNames.contains(now, ex.UniqueName) {
			inst.rejectDuplicate(ex, &repeatedName)
			return
		}
		inst.exchangesByName[ex.UniqueName] = ex
	}
	inst.lastRequestID++
	ex.ID, ex.state = inst.lastRequestID, Deciding
	ex.timerDelayMargin = inst.shared.timerDelayMargin(ex.Timeout)
	inst.requests[ex.ID] = ex
	inst.unanswered++
	inst.Stats.Arrived++
	inst.handle(decision.RequestArrived{
		Request:  ex.ID,
		Class:    ex.Class,
		Plan:     ex.Customer.Plan,
		Customer: ex.Customer.Name,
		TimeLeft: max(0, inst.responseDeadline(ex)-inst.now),
		Units:    ex.Units,
		Spread:   ex.Customer.Spread,
		First:    ex.Customer.First,
		Retry:    ex.IsRetry,
	}, ex.Operation.Index+1)
	inst.drainEvents()
}

// rejectDuplicate answers an exchange whose unique name is in use, or was used recently. The exchange must not be in the
// instance's tables.
func (inst *Instance) rejectDuplicate(ex *Exchange, response *localResponse) {
	ex.state = Done
	inst.respondLocally(ex, response, 0)
	inst.shared.release(ex.reservedBytes)
	ex.reservedBytes = 0
}

// responseDeadline returns the time by which an exchange must be answered. limits.answer-margin is for the answer to reach the
// client, timerDelayMargin for timers that fire late.
func (inst *Instance) responseDeadline(ex *Exchange) time.Duration {
	return ex.Arrived + ex.Timeout - time.Duration(inst.shared.Config.Limits.ResponseMargin) - ex.timerDelayMargin
}

// ClientLeft reports that an exchange's client disconnected. The exchange gets no answer. The decision gateway gets an event
// and may cancel open attempts. If a response was being streamed, its backend connection is closed.
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

// FailUnanswered answers every unanswered exchange at the end of a shutdown. An exchange of which no byte was sent to a
// backend is rejected; any other fails. A response that is being streamed is aborted.
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

// reject executes the decision gateway's action.
func (inst *Instance) reject(action decision.Reject) {
	response := &noCapacity
	if action.Reason == decision.OverQuota {
		response = &overQuota
	}
	inst.answerLocally(action.Request, eventRejected, response, action.RetryAfter)
}

// fail executes the decision gateway's action. The answer is 504 if the answer deadline has passed, and 502 otherwise.
func (inst *Instance) fail(action decision.Fail) {
	response := &attemptFailed
	if ex := inst.requests[action.Request]; ex != nil && inst.now >= inst.responseDeadline(ex) {
		response = &deadlineExceeded
	}
	inst.answerLocally(action.Request, eventFailed, response, 0)
}

// answerLocally answers an exchange with one of the gateway's own responses, if the exchange's state allows it. event is
// eventRejected or eventFailed. retryAfter is included in the response if it is above 0.
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

// respondLocally sends one of the gateway's own responses to an exchange's client.
func (inst *Instance) respondLocally(ex *Exchange, response *localResponse, retryAfter time.Duration) {
	ex.Status = response.Status
	closeAfterResponse := ex.CloseAfterResponse || inst.shared.closesAfterResponse()
	rendered := inst.shared.appendLocalResponse(nil, response, ex.Method, ex.MinorVersion, closeAfterResponse, retryAfter)
	inst.emit(Effect{Kind: Respond, Exchange: ex, Bytes: rendered, CloseAfterResponse: closeAfterResponse})
}

// releaseIfDone removes an exchange from the tables and releases its reserved memory if the exchange is done and none of its
// attempts is open.
func (inst *Instance) releaseIfDone(ex *Exchange) {
	if ex.state == Done && ex.openAttempts == 0 && inst.requests[ex.ID] == ex {
		delete(inst.requests, ex.ID)
		if ex.UniqueName != "" {
			delete(inst.exchangesByName, ex.UniqueName)
			if ex.mayHaveRun && inst.shared.Config.Settings.Classes[ex.Class].Idempotency != decision.Idempotent {
				inst.recentNames.add(inst.now, ex.UniqueName)
			}
		}
		inst.shared.release(ex.reservedBytes)
		ex.reservedBytes = 0
	}
}
