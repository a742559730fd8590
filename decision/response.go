package decision

import "time"

// This file decides how a request starts and how it ends: each request gets exactly one final answer, by its deadline.
// A local response is a rejection, which guarantees that a retry by the client is safe, or a failure, which guarantees
// nothing. A request that may have run is rejected only if all backends handle a repeat safely. A rejection may carry a
// Retry-After hint.

// maxRetryAfterShare is the longest Retry-After hint as a share of the latency objective, so that several tries fit
// into the client's time. In a protocol with whole seconds, the hint is rounded up to 1 s, which may be longer.
const maxRetryAfterShare = 0.1

// handleRequest handles a new request. It decides on the request at once, or holds it until the shared counter has
// replied.
func (g *Gateway) handleRequest(event RequestArrived) {
	if g.requests[event.Request] != nil {
		return
	}
	if event.Class < 0 || int(event.Class) >= len(g.settings.Classes) {
		g.emit(Fail{Request: event.Request})
		return
	}
	customer := g.findOrAddCustomer(event)
	request := g.newRequest(event, customer)
	g.requests[request.id] = request
	g.emit(SetTimer{At: request.deadline, Timer: Timer{Kind: DeadlineTimer, Request: request.id}})
	switch g.checkQuota(customer, request.units) {
	case quotaInside:
		g.admitOrShed(request, insideUncounted)
	case quotaExceeded:
		g.admitOrShed(request, beyondQuota)
	default:
		g.resolveUnknownQuota(request)
	}
	if !event.Retry {
		customer.recentDemand += request.units
	}
}

func (g *Gateway) newRequest(event RequestArrived, customer *customerRecord) *requestRecord {
	request := &requestRecord{
		id:        event.Request,
		class:     event.Class,
		customer:  customer,
		units:     event.Units,
		arrivedAt: g.now,
		deadline:  g.now + max(0, event.TimeLeft),
	}
	if anyNegativeOrNotFinite(event.Units) || customer.quota.countsInFlight() {
		request.units = 1
	}
	return request
}

// resolveUnknownQuota calls the shared counter for a request, or decides without it if the request would be shed anyway
// or the counter may not be called.
func (g *Gateway) resolveUnknownQuota(request *requestRecord) {
	customer := request.customer
	if g.admission.controller(request.class, customer.plan).sheds(customer) {
		g.admitOrShed(request, insideUncounted)
		return
	}
	callPriority := g.insideProbability(customer, request.class) * g.settings.Plans[customer.plan].WeightFactor / g.counter.maxPlanWeight
	if g.mayCallCounter(callPriority) {
		g.callCounter(customer, request.units, request)
		return
	}
	g.admitOrShed(request, uncountedDecision(g.decideWithoutCounter(customer, request.class, request.units)))
}

func (g *Gateway) handleDisconnect(event ClientDisconnected) {
	if request := g.requests[event.Request]; request != nil && !request.ended {
		g.finishWithoutLocalResponse(request)
	}
}

func (g *Gateway) handleStreamStart(event StreamStarted) {
	if request := g.requests[event.Request]; request != nil && !request.ended {
		request.streaming = true
	}
}

// handleDeadline answers a request whose client still waits at the deadline, whatever the state of its attempts, unless
// an answer is being streamed. It is called again later to close attempts without an AttemptEnded, and finally to
// delete the request.
func (g *Gateway) handleDeadline(id RequestID) {
	request := g.requests[id]
	if request == nil || g.now < request.deadline {
		return
	}
	if !request.ended && !request.streaming {
		g.finishWithLocalResponse(request)
	} else if request.ended && g.now >= request.deadline+lostAttemptTTL {
		for i := range request.attempts {
			g.closeAttempt(request, &request.attempts[i])
		}
		g.deleteIfEnded(request)
	}
	if g.requests[id] != nil {
		g.emit(SetTimer{At: g.now + lostAttemptTTL, Timer: Timer{Kind: DeadlineTimer, Request: id}})
	}
}

// finishWithLocalResponse sends a local response to a client that still waits, and ends the request. The response is a
// rejection if a retry by the client is safe, otherwise a failure. A request ends only here and in
// finishWithoutLocalResponse.
func (g *Gateway) finishWithLocalResponse(request *requestRecord) {
	request.ended = true
	g.cancelAttempts(request)
	if g.clientMayRetry(request) {
		if len(request.attempts) > 0 {
			request.rejectReason = NoCapacity
		}
		g.emit(Reject{Request: request.id, Reason: request.rejectReason, RetryAfter: g.retryAfter(request)})
	} else {
		g.emit(Fail{Request: request.id})
	}
	g.deleteIfEnded(request)
}

// finishWithoutLocalResponse ends a request whose client has its answer or has disconnected.
func (g *Gateway) finishWithoutLocalResponse(request *requestRecord) {
	request.ended = true
	g.cancelAttempts(request)
	g.deleteIfEnded(request)
}

// clientMayRetry reports whether a retry by the client is safe. It is not safe for a request that may have run and must
// not run again, or whose repeats only some backends discard.
func (g *Gateway) clientMayRetry(request *requestRecord) bool {
	class := g.settings.Classes[request.class]
	cannotHaveRun := !request.mayHaveRun && !request.inFlight()
	discardedEverywhere := class.Idempotency == IdempotentByKey && class.KeyScope == KeyScopeAll
	return class.Idempotency == Idempotent || cannotHaveRun || discardedEverywhere
}

// cancelAttempts cancels the attempts of a request that are in flight, if the settings allow it and no answer is being
// streamed.
func (g *Gateway) cancelAttempts(request *requestRecord) {
	if !g.settings.Cancel || request.streaming {
		return
	}
	for i := range request.attempts {
		if request.attempts[i].open {
			g.emit(CancelAttempt{Request: request.id, Attempt: i})
		}
	}
}

// deleteIfEnded deletes an ended request if none of its attempts is in flight.
func (g *Gateway) deleteIfEnded(request *requestRecord) {
	if !request.inFlight() {
		delete(g.requests, request.id)
	}
}

// retryAfter returns the time after which a retry of a rejected request may succeed; 0 means no hint. Beyond the quota,
// that is when the counter may be called again, the split has refilled, or an attempt in flight has probably ended.
// Without capacity, it is the next step of admission control. The hint is limited by maxRetryAfterShare and by the
// longest hint that clients respect (Settings.MaxRetryAfter).
func (g *Gateway) retryAfter(request *requestRecord) time.Duration {
	if !g.settings.RetryAfter {
		return 0
	}
	wait := controlPeriod
	if request.rejectReason == OverQuota {
		wait = g.timeUntilQuota(request)
	}
	longest := time.Duration(maxRetryAfterShare * float64(g.settings.Classes[request.class].LatencyObjective))
	return min(max(housekeepingInterval, min(wait, longest)), max(0, g.settings.MaxRetryAfter))
}

// timeUntilQuota returns the time until the quota may allow a request.
func (g *Gateway) timeUntilQuota(request *requestRecord) time.Duration {
	customer := request.customer
	switch {
	case customer.overQuotaUntil > g.now:
		return customer.overQuotaUntil - g.now
	case !customer.quota.countsInFlight():
		missing := max(0, request.units-customer.tokens) / (customer.quota.rate / customer.instances)
		return seconds(min(maxOverQuotaWait, missing))
	default:
		return seconds(g.classLatency[request.class].mean)
	}
}
