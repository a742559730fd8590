package decision

import (
	"math"
	"time"
)

// This file estimates the probability that an attempt at a backend fails, from the outcomes of attempts there, by
// class, and from overdue answers. Outliers are not ejected: the balancer adds the risk to the expected latency, so a
// failing backend is avoided to the extent that others fail less. A fault that affects all backends equally changes
// nothing.

const (
	// failureMemory is the time in which the weight of a backend's outcomes falls to 1/e: after that, a backend that
	// failed is tried again.
	failureMemory = 10 * time.Second
	// failurePrior is the number of prior attempts that are added to the observed ones. In failureRisk they fail as
	// often as attempts at all backends do; their number is small, so that one failure is significant if failures are
	// rare. slowstart.go uses it in two places: workingShare adds twice this number of successful attempts, endPeriod
	// adds this number of successful attempts.
	failurePrior = 0.5
	// suspectLatencies is the time without an answer, in mean latencies, after which an attempt in flight counts as a
	// failure: a backend that hangs gives no answers, and the timeouts of its attempts come too late.
	suspectLatencies = 4.0
)

// outcomeHistory holds the decayed outcomes of a class's attempts at a backend, at updatedAt.
type outcomeHistory struct {
	failures  float64
	attempts  float64
	updatedAt time.Duration
}

// at returns the failures and attempts, decayed up to now.
func (h *outcomeHistory) at(now time.Duration) (failures, attempts float64) {
	decay := math.Exp(-(now - h.updatedAt).Seconds() / failureMemory.Seconds())
	return h.failures * decay, h.attempts * decay
}

// add records an attempt with a weight. failure is 1 or 0.
func (h *outcomeHistory) add(failure, weight float64, now time.Duration) {
	failures, attempts := h.at(now)
	h.failures = failures + failure*weight
	h.attempts = attempts + weight
	h.updatedAt = now
}

// failureRates holds the failure rates over all backends.
type failureRates struct {
	byClass []movingAverage // share of attempts that failed, by class
}

func newFailureRates(classes int, now time.Duration) failureRates {
	var rates failureRates
	for range classes {
		rates.byClass = append(rates.byClass, newMovingAverage(minNoisySamples, now))
	}
	return rates
}

// failureRisk returns the estimated probability, 0 to 1, that an attempt of a class fails at a backend. It combines the
// recent attempts of the class at the backend with the failure rate of the class at all backends. An overdue answer
// counts as a failure.
func (g *Gateway) failureRisk(backend *backendRecord, class ClassID) float64 {
	failures, attempts := backend.outcomes[class].at(g.now)
	if backend.inFlight > 0 && g.now > backend.answerDueAt {
		failures++
		attempts++
	}
	return (g.failureRates.byClass[class].value*failurePrior + failures) / (failurePrior + attempts)
}

// recordOutcome records the outcome of an attempt. A failure counts half for the other classes: a backend that hangs
// fails all classes, but a backend that fails one class may serve the others. Outcomes that say nothing about the
// health of the backend are ignored.
func (g *Gateway) recordOutcome(backend *backendRecord, class ClassID, outcome Outcome) {
	failure := 1.0
	switch outcome {
	case OK:
		failure = 0
	case BackendError, TimedOut, ConnectFailed, ConnectionReset:
	default:
		return
	}
	g.failureRates.byClass[class].add(failure, g.now)
	for i := range backend.outcomes {
		weight := 1.0
		if ClassID(i) != class {
			weight = failure / 2
		}
		backend.outcomes[i].add(failure, weight, g.now)
	}
}

// suspectAfter returns the time without an answer after which a backend with attempts in flight is suspected to hang.
func (g *Gateway) suspectAfter(class ClassID) time.Duration {
	return seconds(suspectLatencies * g.classLatency[class].mean)
}
