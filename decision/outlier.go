package decision

import (
	"math"
	"time"
)

// This file estimates how likely an attempt fails at a backend, from the outcomes of attempts there, by class, and from
// silence. Nothing is ejected outright: the balancer adds the risk to the expected latency, so a backend that fails is
// avoided as far as others fail less. What all backends suffer alike changes nothing.

const (
	// failureMemory is the time over which a backend's outcomes fade to 1/e: after that, one that failed is tried
	// again.
	failureMemory = 10 * time.Second
	// failurePrior is a number of attempts that are counted beside those seen. In failureRisk they fail as often as
	// attempts do anywhere: it is small, so that one failure tells where failures are rare. slowstart.go uses it
	// twice: in workingShare twice this many attempts count as good, in endPeriod this many do.
	failurePrior = 0.5
	// suspectLatencies is the silence, in mean latencies, after which an attempt in flight counts as a failure: a
	// backend that hangs answers nothing, and its timeouts come too late.
	suspectLatencies = 4.0
)

// outcomeHistory is how the attempts of a class ended lately at a backend, as of updatedAt.
type outcomeHistory struct {
	failures  float64
	attempts  float64
	updatedAt time.Duration
}

// at gives failures and attempts faded up to now.
func (h *outcomeHistory) at(now time.Duration) (failures, attempts float64) {
	decay := math.Exp(-(now - h.updatedAt).Seconds() / failureMemory.Seconds())
	return h.failures * decay, h.attempts * decay
}

// add takes in an attempt of some weight; failure is 1 or 0.
func (h *outcomeHistory) add(failure, weight float64, now time.Duration) {
	failures, attempts := h.at(now)
	h.failures = failures + failure*weight
	h.attempts = attempts + weight
	h.updatedAt = now
}

// failureRates holds how often attempts fail anywhere.
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

// failureRisk is how likely an attempt of a class fails at a backend, 0 to 1: by its last attempts there, weighed
// against how often they fail anywhere. An overdue answer counts as a failure.
func (g *Gateway) failureRisk(backend *backendRecord, class ClassID) float64 {
	failures, attempts := backend.outcomes[class].at(g.now)
	if backend.inFlight > 0 && g.now > backend.answerDueAt {
		failures++
		attempts++
	}
	return (g.failureRates.byClass[class].value*failurePrior + failures) / (failurePrior + attempts)
}

// recordOutcome takes in an attempt's end. A failure counts half for the other classes: a backend that hangs fails all,
// one that fails a class may serve the others. Attempts that say nothing of the backend are left out.
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

// suspectAfter is the silence after which an attempt's backend is suspected.
func (g *Gateway) suspectAfter(class ClassID) time.Duration {
	return seconds(suspectLatencies * g.classLatency[class].mean)
}
