package server

import "time"

// latenessPeriod is for how long a late event loop is expected to be late again, at least.
const latenessPeriod = 5 * time.Second

// recentLateness keeps the greatest lateness of the event loop within the last latenessPeriod, and up to one more.
type recentLateness struct {
	periodBegan    time.Duration
	greatest       time.Duration // in the period that has begun
	greatestBefore time.Duration // in the period before it
}

// note takes in that the event loop was late.
func (r *recentLateness) note(now, late time.Duration) {
	r.advance(now)
	r.greatest = max(r.greatest, late)
}

// at returns the greatest lateness at a time.
func (r *recentLateness) at(now time.Duration) time.Duration {
	r.advance(now)
	return max(r.greatest, r.greatestBefore)
}

// advance begins a new period if the last one is over.
func (r *recentLateness) advance(now time.Duration) {
	switch elapsed := now - r.periodBegan; {
	case elapsed < latenessPeriod:
		return
	case elapsed < 2*latenessPeriod:
		r.greatestBefore = r.greatest
	default:
		r.greatestBefore = 0
	}
	r.greatest, r.periodBegan = 0, now
}
