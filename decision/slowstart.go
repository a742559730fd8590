package decision

import (
	"math"
	"time"
)

// This file limits the attempts at a warming backend. A backend that has started recently has a part of its capacity,
// and fails when all instances together send it, within OverloadTime, OverloadFactor times the work that its current
// capacity can do. Two mechanisms limit its load: it is drawn for an attempt only in proportion to its capacity share
// (balancer.go), and after the draw, its token bucket must hold at least a threshold, which is drawn at random from 0 to
// 1 for each attempt. An attempt costs 1, so the bucket may become negative. The bucket fills at this instance's part of
// slowStartLoadShare of the load at which the backend fails. That load follows from the service rate of a warm backend,
// which is estimated from successful answers. Without the bucket, a fleet that is replaced at once would fail: if there
// are hardly any other backends to draw, drawing a warming backend less often limits nothing.
//
// Rates are per second and cover this instance only. Times of type float64 are in seconds.

const (
	// slowStartLoadShare is the maximum load that all instances together send to a warming backend, as a share of the
	// load at which it fails.
	slowStartLoadShare = 0.3
	// confidenceMargin is the margin for random variation, in standard deviations (square roots of the number of
	// attempts): if few attempts make a backend fail, their number and work can reach several times the mean at random.
	confidenceMargin = 4.0
	// slowStartBurstShare is the bucket size, as a share of what the rate allows in OverloadTime.
	slowStartBurstShare = 0.3
	// workingBackendFactor times the share of successful answers gives the degree to which a backend counts as working:
	// from a share of 1/workingBackendFactor on, it counts fully. A backend that is only overloaded still gives many
	// successful answers, one that hangs gives none.
	workingBackendFactor = 12.0
)

// serviceRateEstimator estimates the successful answers per second that a warm backend gives this instance. The
// estimate is a ratio of two averages and not an average of ratios, since one ratio could become arbitrarily large
// because of a failing backend.
type serviceRateEstimator struct {
	throughput        movingAverage // successful answers per second
	effectiveCapacity movingAverage // capacity that gave them, in warm working backends
	value             float64       // ratio of the two; until heldBackUntil: the last ratio, reduced by failures
	heldBackUntil     time.Duration // throughput does not measure capacity before this time, since attempts were held back

	slowStartCheckRate movingAverage // slowStartChecks per second
	choiceRate         movingAverage // choicesMade per second

	// Counted in this control period.
	slowStartChecks float64 // candidates, warm or warming, that admitBestCandidate checked with tryAdmitWarming
	choicesMade     float64 // calls of chooseBackend
	successes       float64 // attempts at backends in state Up that ended with OK
	attemptsEnded   float64 // attempts at backends in state Up that ended
}

// newServiceRateEstimator starts with a rate so low that all instances together send a backend one attempt at a time.
func newServiceRateEstimator(settings Settings, now time.Duration) serviceRateEstimator {
	average := newMovingAverage(minSamples, now)
	estimator := serviceRateEstimator{throughput: average, effectiveCapacity: average, slowStartCheckRate: average, choiceRate: average}
	objective := max(housekeepingInterval, settings.Classes[0].LatencyObjective)
	estimator.value = 1 / (objective.Seconds() * initialLatencyShare * float64(settings.Instances))
	estimator.throughput.add(estimator.value, now)
	estimator.effectiveCapacity.add(1, now)
	return estimator
}

// endPeriod updates the estimate at the end of a control period of elapsed seconds. capacity is the capacity of the
// backends in that period. While attempts are held back, the number of successful answers does not measure the
// capacity, and only failures reduce the rate.
func (e *serviceRateEstimator) endPeriod(capacity, elapsed float64, now time.Duration) {
	e.slowStartCheckRate.add(e.slowStartChecks/elapsed, now)
	e.choiceRate.add(e.choicesMade/elapsed, now)
	e.throughput.add(e.successes/elapsed, now)
	e.effectiveCapacity.add(capacity, now)
	switch {
	case now < e.heldBackUntil:
		e.value *= 1 - (1-(e.successes+failurePrior)/(e.attemptsEnded+failurePrior))/minSamples
	case e.effectiveCapacity.value > 0:
		e.value = e.throughput.value / e.effectiveCapacity.value
	}
	e.slowStartChecks = 0
	e.choicesMade = 0
	e.successes = 0
	e.attemptsEnded = 0
}

// recordEnd counts an attempt that ended at a backend in state Up.
func (e *serviceRateEstimator) recordEnd(outcome Outcome) {
	e.attemptsEnded++
	e.successes += indicator(outcome == OK)
}

// recentSlowStartCheckRate returns the average rate of checks, or that of the current period if it is higher.
func (e *serviceRateEstimator) recentSlowStartCheckRate() float64 {
	return max(e.slowStartCheckRate.value, e.slowStartChecks/controlPeriod.Seconds())
}

// recentChoiceRate returns the average rate of choices, or that of the current period if it is higher.
func (e *serviceRateEstimator) recentChoiceRate() float64 {
	return max(e.choiceRate.value, e.choicesMade/controlPeriod.Seconds())
}

// capacityShare returns the share of its capacity that a backend has at least, which is 1 for a warm backend. A backend
// counts as warming up for OverloadTime after SlowStartTime, since the attempts of that window still count towards an
// overload. The first call after that marks the backend as warm.
func (g *Gateway) capacityShare(backend *backendRecord) float64 {
	if !backend.warmingUp {
		return 1
	}
	age := g.now - backend.startedAt
	backend.warmingUp = age < g.settings.SlowStartTime+g.settings.OverloadTime
	progress := min(1, max(0, float64(age)/float64(max(1, g.settings.SlowStartTime))))
	return g.settings.SlowStartShare + (1-g.settings.SlowStartShare)*progress
}

// totalCapacityShare returns the sum of the capacity shares of all backends in state Up.
func (g *Gateway) totalCapacityShare() float64 {
	total := 0.0
	for _, backend := range g.endpoints.up {
		total += g.capacityShare(backend)
	}
	return total
}

// updateServiceRate updates the service rate at the end of a control period of elapsed seconds.
func (g *Gateway) updateServiceRate(elapsed float64) {
	capacity := 0.0
	for _, backend := range g.endpoints.up {
		capacity += g.capacityShare(backend) * backend.workingShare()
	}
	g.serviceRate.endPeriod(capacity, elapsed, g.now)
}

// workingShare returns the degree, 0 to 1, to which a backend counts as working, by the outcomes of all classes. The
// arithmetic must not change because recorded decisions depend on every digit: the prior of the failures is added and
// subtracted again, which cancels except for rounding, and the difference is limited to 0 or more. So only the attempts
// have a prior.
func (backend *backendRecord) workingShare() float64 {
	failures := failurePrior
	attempts := 2 * failurePrior
	for _, history := range backend.outcomes {
		failures += history.failures
		attempts += history.attempts
	}
	return min(1, workingBackendFactor*(1-max(0, failures-failurePrior)/attempts))
}

// tryAdmitWarming reports whether a backend may get one more attempt now. It must be called once each time a backend is
// considered: it refills the backend's bucket, may draw a random number, and sets heldBackUntil if it refuses the
// attempt. spendSlowStart deducts the attempt from the bucket.
func (g *Gateway) tryAdmitWarming(backend *backendRecord) bool {
	if !backend.warmingUp || g.settings.OverloadFactor <= 0 || g.settings.OverloadTime <= 0 {
		return true
	}
	rate := g.slowStartRate(backend)
	maxTokens := rate * slowStartBurstShare * g.settings.OverloadTime.Seconds()
	if maxTokens >= 1 {
		g.refillSlowStart(backend, rate, maxTokens)
	} else {
		g.drawSlowStart(backend, rate)
	}
	backend.slowStartRefilledAt = g.now
	if backend.slowStartTokens < backend.slowStartThreshold {
		g.serviceRate.heldBackUntil = g.now + failureMemory
		return false
	}
	return true
}

// slowStartRate returns the rate of attempts that this instance may send to a warming backend.
func (g *Gateway) slowStartRate(backend *backendRecord) float64 {
	limit := g.settings.OverloadFactor * g.capacityShare(backend) * g.serviceRate.value   // this instance's part of the load at which the backend fails
	attempts := limit * float64(g.settings.Instances) * g.settings.OverloadTime.Seconds() // attempts of all instances in the window
	// The number of attempts n for which n + confidenceMargin*sqrt(n) equals attempts is (root/2)^2.
	root := math.Sqrt(confidenceMargin*confidenceMargin+4*attempts) - confidenceMargin
	return limit * min(slowStartLoadShare, root*root/4/max(attempts, minDivisor))
}

// refillSlowStart refills the bucket at the rate. The bucket of a backend that has just started is empty and must first
// reach its random threshold, so that many instances do not send attempts at once.
func (g *Gateway) refillSlowStart(backend *backendRecord, rate, maxTokens float64) {
	refill := 0.0
	if backend.slowStartRefilledAt > 0 {
		refill = rate * (g.now - backend.slowStartRefilledAt).Seconds()
	}
	backend.slowStartTokens = min(maxTokens, backend.slowStartTokens+refill)
}

// drawSlowStart sets the bucket to one attempt or to none at random. It is used if the bucket is too small to hold a
// whole attempt. The probability of one is the number of attempts that the rate allows in the time since the backend
// was last considered. So the mean rate of attempts is the allowed one, however rarely this instance considers the
// backend. The time is limited to the mean time between two choices that draw the backend. Otherwise many instances
// would send the attempts that they accumulated during an idle time all at once. If the backend has not been considered
// since its process started, the time is estimated from the rate of checks instead.
func (g *Gateway) drawSlowStart(backend *backendRecord, rate float64) {
	elapsed := (g.now - backend.slowStartRefilledAt).Seconds()
	between := g.totalCapacityShare() / g.capacityShare(backend) // mean number of choices between two that draw the backend
	if backend.slowStartRefilledAt == 0 {
		elapsed = between / g.serviceRate.recentSlowStartCheckRate()
	} else {
		elapsed = min(elapsed, between/g.serviceRate.recentChoiceRate())
	}
	backend.slowStartTokens = indicator(g.rng.Float64() < rate*elapsed)
	backend.slowStartThreshold = 1
}

// spendSlowStart deducts an attempt from the bucket. It draws the next threshold at random, so that instances whose
// buckets fill at the same rate do not send at the same time.
func (g *Gateway) spendSlowStart(backend *backendRecord) {
	if !backend.warmingUp {
		return
	}
	backend.slowStartTokens--
	backend.slowStartThreshold = g.rng.Float64()
}
