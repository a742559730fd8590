package decision

import "time"

// This file decides whether a request is sent again after an attempt that brought no answer. It must be harmless: a
// request that may have run is sent again only if it is idempotent, or by its idempotency key while backends are sure to
// know that (and then only to backends that do, see balancer.go). A request that is not idempotent is retried only if no
// attempt can have run. And it must be of use: an answer that still earns something must be possible. What retries add
// to the load, admission control sees.

// keyTTLShare is the share of an idempotency key's lifetime that is relied on: the rest is for clock drift and the time
// that the network takes.
const keyTTLShare = 0.9

// mayHaveRun tells whether the backend may have run a request whose attempt ended so.
func (o Outcome) mayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NotSent
}

// reliableKeyLifetime is how long the backends are sure to know an idempotency key, from the first attempt on.
func reliableKeyLifetime(class Class) time.Duration {
	return time.Duration(keyTTLShare * float64(class.KeyTTL))
}

// mayRetry tells whether a further attempt is harmless and of use.
func (g *Gateway) mayRetry(request *requestRecord, class Class) bool {
	if len(request.attempts) >= g.settings.MaxAttempts || request.streaming {
		return false
	}
	if request.mayHaveRun && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && g.now >= request.firstRunSentAt+reliableKeyLifetime(class)) {
		return false
	}
	useful := request.deadline
	if class.LateShare == 0 {
		useful = min(useful, request.arrivedAt+class.LatencyObjective)
	}
	return (useful - g.now).Seconds() > g.classLatency[request.class].mean/2
}
