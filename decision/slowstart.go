package decision

import (
	"math"
	"time"
)

// This file decides what a warming backend may get. A backend that started lately has a part of its capacity and fails
// when all instances together send it several times that (Settings.OverloadFactor, within OverloadTime). It is bounded
// twice: it is drawn for an attempt only as often as its capacity share says (balancer.go), and when it was drawn, a
// token bucket must hold an attempt. The bucket fills at this instance's part of slowStartLoadShare of what makes the
// backend fail, which follows from the service rate of a warm one, estimated from good answers. Without the bucket, a
// fleet that is replaced at once would fail: where hardly another backend can be drawn, drawing less often holds
// nothing back.
//
// Rates are attempts per second of this instance, times are seconds.

const (
	// slowStartLoadShare is the share of what makes a warming backend fail that it is sent at most, by all instances.
	slowStartLoadShare = 0.3
	// confidenceMargin is the room left for chance, in standard deviations (roots of the number of attempts): where
	// few attempts make a backend fail, their number and work by chance come to several times the mean.
	confidenceMargin = 4.0
	// slowStartBurstShare is the bucket size, as a share of what the rate allows in OverloadTime.
	slowStartBurstShare = 0.3
	// workingBackendFactor times the share of good answers tells how far a backend counts as working: from one good
	// answer in twelve on it does wholly. One that is only overloaded still gives many, one that hangs gives none.
	workingBackendFactor = 12.0
)

// serviceRateEstimator estimates the good answers per second that a warm backend gives this instance. It is a ratio of
// two averages, not an average of ratios: a failing backend would make one of these as large as can be.
type serviceRateEstimator struct {
	throughput        movingAverage // good answers a second
	effectiveCapacity movingAverage // warm working backends that gave them
	value             float64       // their ratio, or what was known when it last was a measure
	heldBackUntil     time.Duration // until when it is no measure, since warming backends were spared

	slowStartCheckRate movingAverage // slowStartChecks a second
	choiceRate         movingAverage // choicesMade a second

	// Counted in this control period.
	slowStartChecks float64 // candidates that were asked about with tryAdmitWarming
	choicesMade     float64 // calls of chooseBackend
	successes       float64 // attempts at backends that are up that ended with OK
	attemptsEnded   float64 // attempts at backends that are up that ended
}

// newServiceRateEstimator begins with so low a rate that all instances together send a backend one attempt after the
// other.
func newServiceRateEstimator(settings Settings, now time.Duration) serviceRateEstimator {
	average := newMovingAverage(minSamples, now)
	estimator := serviceRateEstimator{throughput: average, effectiveCapacity: average, slowStartCheckRate: average, choiceRate: average}
	objective := max(housekeepingInterval, settings.Classes[0].LatencyObjective)
	estimator.value = 1 / (objective.Seconds() * initialLatencyShare * float64(settings.Instances))
	estimator.throughput.add(estimator.value, now)
	estimator.effectiveCapacity.add(1, now)
	return estimator
}

// endPeriod takes in a control period of so many seconds, in which the backends had this capacity. While attempts are
// held back, the number of good answers is no measure: then only failures lower the rate.
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

// recordEnd counts an attempt that ended at a backend that is up.
func (e *serviceRateEstimator) recordEnd(outcome Outcome) {
	e.attemptsEnded++
	e.successes += indicator(outcome == OK)
}

// recentSlowStartCheckRate is the rate of checks, or that of this period where it is higher.
func (e *serviceRateEstimator) recentSlowStartCheckRate() float64 {
	return max(e.slowStartCheckRate.value, e.slowStartChecks/controlPeriod.Seconds())
}

// recentChoiceRate is the rate of choices, or that of this period where it is higher.
func (e *serviceRateEstimator) recentChoiceRate() float64 {
	return max(e.choiceRate.value, e.choicesMade/controlPeriod.Seconds())
}

// capacityShare is the share of its capacity that a backend is sure to have, 1 if it is warm. It counts as warming up
// for OverloadTime longer, since what it was sent in that time still counts; the first call after that marks it as warm.
func (g *Gateway) capacityShare(backend *backendRecord) float64 {
	if !backend.warmingUp {
		return 1
	}
	age := g.now - backend.startedAt
	backend.warmingUp = age < g.settings.SlowStartTime+g.settings.OverloadTime
	progress := min(1, max(0, float64(age)/float64(max(1, g.settings.SlowStartTime))))
	return g.settings.SlowStartShare + (1-g.settings.SlowStartShare)*progress
}

// totalCapacityShare is the sum over all backends that are up.
func (g *Gateway) totalCapacityShare() float64 {
	total := 0.0
	for _, backend := range g.endpoints.up {
		total += g.capacityShare(backend)
	}
	return total
}

// updateServiceRate ends a control period of so many seconds.
func (g *Gateway) updateServiceRate(elapsed float64) {
	capacity := 0.0
	for _, backend := range g.endpoints.up {
		capacity += g.capacityShare(backend) * backend.workingShare()
	}
	g.serviceRate.endPeriod(capacity, elapsed, g.now)
}

// workingShare is how far a backend counts as working, 0 to 1, by the outcomes of all classes. Only the attempts get a
// prior: that of the failures is added and subtracted again, which cancels but for rounding, and the difference is never
// below 0. The arithmetic stays because recorded decisions depend on every digit.
func (backend *backendRecord) workingShare() float64 {
	failures := failurePrior
	attempts := 2 * failurePrior
	for _, history := range backend.outcomes {
		failures += history.failures
		attempts += history.attempts
	}
	return min(1, workingBackendFactor*(1-max(0, failures-failurePrior)/attempts))
}

// tryAdmitWarming tells whether a backend may get one more attempt now. It is called once for each time that a backend
// is considered: it fills the backend's bucket and may draw a random number, and a refusal sets heldBackUntil. The
// attempt itself is taken off the bucket by spendSlowStart.
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

// slowStartRate is the rate of attempts that this instance may send to a warming backend.
func (g *Gateway) slowStartRate(backend *backendRecord) float64 {
	limit := g.settings.OverloadFactor * g.capacityShare(backend) * g.serviceRate.value   // this instance's part of what makes it fail
	attempts := limit * float64(g.settings.Instances) * g.settings.OverloadTime.Seconds() // of all instances in the window
	// The number of attempts n for which n and confidenceMargin roots of n come to what makes it fail is (root/2)^2.
	root := math.Sqrt(confidenceMargin*confidenceMargin+4*attempts) - confidenceMargin
	return limit * min(slowStartLoadShare, root*root/4/max(attempts, leastDivisor))
}

// refillSlowStart fills the bucket at the rate. A backend that has just started has an empty one, so that many
// instances do not come at once.
func (g *Gateway) refillSlowStart(backend *backendRecord, rate, maxTokens float64) {
	refill := 0.0
	if backend.slowStartRefilledAt > 0 {
		refill = rate * (g.now - backend.slowStartRefilledAt).Seconds()
	}
	backend.slowStartTokens = min(maxTokens, backend.slowStartTokens+refill)
}

// drawSlowStart decides by chance, where the bucket would never hold a whole attempt: the chance is what the rate
// brings in the time since the backend was last considered. So as many go as the rate allows, however seldom this
// instance meets the backend. That time counts up to the usual one between two choices that meet it, and the first time
// as that between two checks: many instances would otherwise come at once, after a lull, with what they saved up.
func (g *Gateway) drawSlowStart(backend *backendRecord, rate float64) {
	elapsed := (g.now - backend.slowStartRefilledAt).Seconds()
	between := g.totalCapacityShare() / g.capacityShare(backend) // mean number of choices from one that draws it to the next
	if backend.slowStartRefilledAt == 0 {
		elapsed = between / g.serviceRate.recentSlowStartCheckRate()
	} else {
		elapsed = min(elapsed, between/g.serviceRate.recentChoiceRate())
	}
	backend.slowStartTokens = indicator(g.rng.Float64() < rate*elapsed)
	backend.slowStartThreshold = 1
}

// spendSlowStart takes an attempt off the bucket. The next threshold is drawn, so that instances whose buckets fill
// alike do not send at the same moment.
func (g *Gateway) spendSlowStart(backend *backendRecord) {
	if !backend.warmingUp {
		return
	}
	backend.slowStartTokens--
	backend.slowStartThreshold = g.rng.Float64()
}
