package decision

import "time"

// This file decides whether a request is sent again after an attempt that brought no answer. It must be harmless: a
// request that may have run is sent again only if it is idempotent, or by its idempotency key while backends are sure to
// know that (and then only to backends that do, see balancer.go). A request that is not idempotent is retried only if no
// attempt can have run. And it must be of use: an answer that still has some value must be possible. What retries add
// to the load, admission control sees.

// keyTTLShare is the share of an idempotency key's lifetime that is relied on: the rest is for clock drift and the time
// that the network takes.
const keyTTLShare = 0.9

// mayHaveRun tells whether the backend may have run a request whose attempt ended so.
func (o Outcome) mayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NotSent
}

// keyReliableUntil is the time until which the backends are sure to know an idempotency key that they first saw at
// seenAt. Callers use an earlier time where they can't know that one: the arrival of the request (attemptTimeout), or
// the decision to send its first attempt that may have run (mayRetry).
func keyReliableUntil(class Class, seenAt time.Duration) time.Duration {
	return seenAt + time.Duration(keyTTLShare*float64(class.KeyTTL))
}

// mayRetry tells whether a further attempt is harmless and of use.
func (g *Gateway) mayRetry(request *requestRecord, class Class) bool {
	if len(request.attempts) >= g.settings.MaxAttempts || request.streaming {
		return false
	}
	keyExpired := class.Idempotency == IdempotentByKey && g.now >= keyReliableUntil(class, request.firstRunSentAt)
	mustNotRepeat := class.Idempotency == NotIdempotent || keyExpired
	if request.mayHaveRun && mustNotRepeat {
		return false
	}
	useful := request.deadline
	if class.LateShare == 0 {
		useful = min(useful, request.arrivedAt+class.LatencyObjective)
	}
	return (useful - g.now).Seconds() > g.classLatency[request.class].mean/2
}
