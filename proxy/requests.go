package proxy

import (
	"time"

	"sandyard/decision"
)

// RequestArrived takes an exchange in. It is owed a final answer within its patience, less limits.answer-margin, which is
// kept for the way back.
//
// One with the name of another that is open is turned away: boxes know them by that name.
func (inst *Instance) RequestArrived(now time.Duration, ex *Exchange) {
	inst.advanceTo(now)
	if ex.UniqueName != "" {
		if inst.exchangesByName[ex.UniqueName] != nil {
			ex.state = Done
			ex.Status = duplicateName.Status
			closeAfterResponse := ex.CloseAfterResponse || inst.shared.closesAfterResponse()
			inst.emit(Effect{Kind: Respond, Exchange: ex, CloseAfterResponse: closeAfterResponse, Bytes: inst.shared.appendLocalResponse(nil, &duplicateName, ex.Method, ex.MinorVersion, closeAfterResponse, 0)})
			inst.shared.release(ex.reservedBytes)
			ex.reservedBytes = 0
			return
		}
		inst.exchangesByName[ex.UniqueName] = ex
	}
	inst.lastRequestID++
	ex.ID, ex.state = inst.lastRequestID, Deciding
	inst.requests[ex.ID] = ex
	inst.unanswered++
	inst.Stats.Arrived++
	timeLeft := inst.answerDeadline(ex) - inst.now
	inst.handle(decision.RequestArrived{Request: ex.ID, Class: ex.Class, Plan: ex.Customer.Plan, Customer: ex.Customer.Name,
		TimeLeft: max(0, timeLeft), Units: ex.Units, Spread: ex.Customer.Spread, First: ex.Customer.First, Retry: ex.IsRetry}, ex.Operation.Index+1)
	inst.drainEvents()
}

// answerDeadline is when an exchange must be answered.
func (inst *Instance) answerDeadline(ex *Exchange) time.Duration {
	return ex.Arrived + ex.Timeout - time.Duration(inst.shared.Config.Limits.ResponseMargin)
}

// ClientLeft tells that an exchange's client is gone.
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
	if wasStreaming { // the line that carries the answer stops; the gateway hears of its end
		inst.closeConn(ex.streamingConn)
		inst.endAttemptUnreported(ex, ex.streamingAttempt, decision.Cancelled, true)
	}
	inst.handleAndDrain(decision.ClientDisconnected{Request: ex.ID})
	inst.releaseIfDone(ex)
}

// answerLocally gives the answer that the gateway decided on.
func (inst *Instance) answerLocally(id decision.RequestID, event exchangeEvent, response localResponse, retryAfter time.Duration) {
	ex := inst.requests[id]
	if ex == nil || !ex.apply(event) {
		inst.Stats.IgnoredEvents++
		return
	}
	switch {
	case event == eventFailed:
		inst.Stats.Failed++
	case response.Status == 429:
		inst.Stats.RejectedOverQuota++
	default:
		inst.Stats.RejectedNoCapacity++
	}
	ex.Status = response.Status
	inst.unanswered--
	closeAfterResponse := ex.CloseAfterResponse || inst.shared.closesAfterResponse()
	inst.emit(Effect{Kind: Respond, Exchange: ex, CloseAfterResponse: closeAfterResponse, Bytes: inst.shared.appendLocalResponse(nil, &response, ex.Method, ex.MinorVersion, closeAfterResponse, retryAfter)})
	inst.releaseIfDone(ex)
}

// releaseIfDone lets an exchange go once it is answered and nothing of it is out.
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
