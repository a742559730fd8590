package decision

import "time"

// This file decides how a request enters and how it ends: each gets exactly one final answer, by its deadline. An answer
// of the gateway's own is a rejection, which promises that a retry by the client is harmless, or a failure, which
// promises nothing. A request that may have run is rejected only if it is idempotent everywhere. A rejection may say
// when to come back.

// maxRetryAfterShare is the share of the latency objective that a client is asked to stay away at most, so that several
// tries fit in its time. A protocol that states whole seconds rounds the hint up to 1 s, which may be longer.
const maxRetryAfterShare = 0.1

// handleRequest takes in a new request: it is decided at once, or held until the shared counter has answered.
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

// resolveUnknownQuota asks the shared counter about a request, or decides without it where it would be shed anyway or
// the counter may not be called.
func (g *Gateway) resolveUnknownQuota(request *requestRecord) {
	customer := request.customer
	if g.admission.controller(request.class, customer.plan).cuts(customer) {
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
		g.finishWithoutAnswer(request)
	}
}

func (g *Gateway) handleStreamStart(event StreamStarted) {
	if request := g.requests[event.Request]; request != nil && !request.ended {
		request.streaming = true
	}
}

// handleDeadline answers a request while its client still waits, whatever became of its attempts. Later it is called
// again, to close attempts whose end never came, and at last to forget the request.
func (g *Gateway) handleDeadline(id RequestID) {
	request := g.requests[id]
	if request == nil || g.now < request.deadline {
		return
	}
	if !request.ended && !request.streaming {
		g.finishWithAnswer(request)
	} else if request.ended && g.now >= request.deadline+lostAttemptTTL {
		for i := range request.attempts {
			g.closeAttempt(request, &request.attempts[i])
		}
		g.forgetIfOver(request)
	}
	if g.requests[id] != nil {
		g.emit(SetTimer{At: g.now + lostAttemptTTL, Timer: Timer{Kind: DeadlineTimer, Request: id}})
	}
}

// finishWithAnswer ends a request whose client still waits: with a rejection where a retry by the client is harmless,
// else with a failure. With finishWithoutAnswer it is the only place where a request ends.
func (g *Gateway) finishWithAnswer(request *requestRecord) {
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
	g.forgetIfOver(request)
}

// finishWithoutAnswer ends a request whose client has its answer or is gone.
func (g *Gateway) finishWithoutAnswer(request *requestRecord) {
	request.ended = true
	g.cancelAttempts(request)
	g.forgetIfOver(request)
}

// clientMayRetry tells whether a retry by the client is harmless. It is not for a request that may have run and must
// not run again, or whose repeats only some backends discard.
func (g *Gateway) clientMayRetry(request *requestRecord) bool {
	class := g.settings.Classes[request.class]
	cannotHaveRun := !request.mayHaveRun && !request.inFlight()
	discardedEverywhere := class.Idempotency == IdempotentByKey && class.KeyScope == KeyScopeAll
	return class.Idempotency == Idempotent || cannotHaveRun || discardedEverywhere
}

// cancelAttempts withdraws the attempts of a request that are in flight, where that is allowed.
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

// forgetIfOver forgets an ended request once no attempt of it is in flight.
func (g *Gateway) forgetIfOver(request *requestRecord) {
	if !request.inFlight() {
		delete(g.requests, request.id)
	}
}

// retryAfter is the time after which a rejected request has a chance, 0 for no hint: beyond the quota, when the counter
// may be asked again, the split has filled or an attempt in flight is likely over; without capacity, when admission
// control has made its next step. It is bounded by maxRetryAfterShare and by what clients heed.
func (g *Gateway) retryAfter(request *requestRecord) time.Duration {
	if !g.settings.RetryAfter {
		return 0
	}
	wait := controlPeriod
	if request.rejectReason == OverQuota {
		wait = g.timeToQuota(request)
	}
	longest := time.Duration(maxRetryAfterShare * float64(g.settings.Classes[request.class].LatencyObjective))
	return min(max(housekeepingInterval, min(wait, longest)), max(0, g.settings.MaxRetryAfter))
}

// timeToQuota is the time until a request's quota may allow it.
func (g *Gateway) timeToQuota(request *requestRecord) time.Duration {
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
