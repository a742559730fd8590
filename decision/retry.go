package decision

import "time"

// This file decides whether a request is retried after an attempt without an answer. The retry must be safe: a request
// that may have run is sent again only if it is idempotent, or if it has an idempotency key that backends are certain
// to remember (and then only to backends that know the key, see balancer.go). A request that is not idempotent is
// retried only if no attempt can have run. The retry must also be useful: an answer that still has a value must be
// possible. The load of retries is part of the utilization that admission control holds.

// keyTTLShare is the share of an idempotency key's lifetime that retries rely on. The rest is a margin for clock drift
// and network delay.
const keyTTLShare = 0.9

// MayHaveRun reports whether the backend may have run a request whose attempt had this outcome.
func (o Outcome) MayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NotSent
}

// keyReliableUntil returns the time until which the backends are certain to remember an idempotency key that they first
// saw at seenAt. Callers do not know the exact time and pass an earlier one: the arrival of the request
// (attemptTimeout), or the decision to send its first attempt that may have run (mayRetry).
func keyReliableUntil(class Class, seenAt time.Duration) time.Duration {
	return seenAt + time.Duration(keyTTLShare*float64(class.KeyTTL))
}

// mayRetry reports whether another attempt is allowed, safe and useful.
func (g *Gateway) mayRetry(request *requestRecord, class Class) bool {
	if len(request.attempts) >= g.settings.MaxAttempts || request.streaming {
		return false
	}
	keyExpired := class.Idempotency == IdempotentByKey && g.now >= keyReliableUntil(class, request.firstRunSentAt)
	mustNotRepeat := class.Idempotency == NotIdempotent || keyExpired
	if request.mayHaveRun && mustNotRepeat {
		return false
	}
	usefulUntil := request.deadline
	if class.LateShare == 0 {
		usefulUntil = min(usefulUntil, request.arrivedAt+class.LatencyObjective)
	}
	return (usefulUntil - g.now).Seconds() > g.classLatency[request.class].mean/2
}
