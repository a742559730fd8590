package server

import "time"

// loopDelayPeriod is the minimum time for which a late event loop is expected to be late again.
const loopDelayPeriod = 5 * time.Second

// recentLoopDelay is the maximum delay of the event loop within a sliding window of one to two times loopDelayPeriod.
type recentLoopDelay struct {
	periodStart time.Duration
	currentMax  time.Duration // in the current period
	previousMax time.Duration // in the period before it
}

// record adds a delay of the event loop.
func (r *recentLoopDelay) record(now, late time.Duration) {
	r.advance(now)
	r.currentMax = max(r.currentMax, late)
}

// max returns the maximum recent delay at a time.
func (r *recentLoopDelay) max(now time.Duration) time.Duration {
	r.advance(now)
	return max(r.currentMax, r.previousMax)
}

// advance starts a new period if the current one is over.
func (r *recentLoopDelay) advance(now time.Duration) {
	switch elapsed := now - r.periodStart; {
	case elapsed < loopDelayPeriod:
		return
	case elapsed < 2*loopDelayPeriod:
		r.previousMax = r.currentMax
	default:
		r.previousMax = 0
	}
	r.currentMax, r.periodStart = 0, now
}
