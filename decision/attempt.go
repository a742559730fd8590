package decision

import (
	"math"
	"slices"
	"time"
)

// This file decides about single attempts: whether an attempt is begun, how long it may take, and how its end affects
// its request and the estimates of the other files. Latencies are in seconds.

const (
	// maxLatencyRatio is the expected latency, as a share of the objective, above which no attempt is begun: its answer
	// would be late, and it would delay others. A request that may have run is an exception: if a retry by its client
	// is not safe, it would end in a failure.
	maxLatencyRatio = 0.8
	// timeoutDeviations is the number of deviations above the mean latency after which an attempt times out if a retry
	// is possible: an answer rarely arrives later than that.
	timeoutDeviations = 8.0
	// latencySmoothing is the weight of a new latency in the mean of its class: the mean follows about the last twenty
	// attempts.
	latencySmoothing = 0.05
	// lostAttemptTTL is how long a request is kept after its deadline if its attempts have not ended.
	lostAttemptTTL = 30 * time.Second
)

// requestRecord is a request without a final answer or with an attempt in flight.
type requestRecord struct {
	id        RequestID
	class     ClassID
	customer  *customerRecord
	units     float64
	arrivedAt time.Duration
	deadline  time.Duration
	attempts  []attemptRecord
	ended     bool // the request needs no answer any more
	streaming bool // an answer is being streamed to the client
	// rejectReason is the reason to give if the request is rejected before any attempt.
	rejectReason RejectReason

	mayHaveRun      bool           // some attempt may have run
	firstRunBackend *backendRecord // backend of the first attempt that may have run; nil: none
	firstRunSentAt  time.Duration  // time of the decision to send that attempt

	counterName    string  // name in the counter to which its units were added
	counterWeight  float64 // weight of one unit under counterName
	addedToCounter bool    // the request was admitted and the counter holds its units
}

// attemptRecord is one attempt of a request.
type attemptRecord struct {
	backend       *backendRecord
	sentAt        time.Duration
	queuePosition float64 // estimated position in the queue of its backend, from 1
	open          bool    // in flight
}

// attemptedAt reports whether a request has had an attempt at a backend.
func (request *requestRecord) attemptedAt(backend *backendRecord) bool {
	return slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.backend == backend })
}

// inFlight reports whether an attempt of a request is in flight.
func (request *requestRecord) inFlight() bool {
	return slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.open })
}

// latencyEstimate holds the mean latency of a class's attempts and their mean absolute deviation, in seconds.
type latencyEstimate struct {
	mean      float64
	deviation float64
}

func newClassLatency(classes []Class) []latencyEstimate {
	var latencies []latencyEstimate
	for _, class := range classes {
		initial := class.LatencyObjective.Seconds() * initialLatencyShare
		latencies = append(latencies, latencyEstimate{mean: initial, deviation: initial})
	}
	return latencies
}

// add records the latency of an attempt, in seconds.
func (l *latencyEstimate) add(took float64) {
	l.deviation += (math.Abs(took-l.mean) - l.deviation) * latencySmoothing
	l.mean += (took - l.mean) * latencySmoothing
}

// sendAttempt sends the next attempt of a request. If no backend may get it, if no time is left, or if the answer would
// be too late and no attempt may have run, it ends the request instead and returns false.
func (g *Gateway) sendAttempt(request *requestRecord) bool {
	backend := g.chooseBackend(request)
	left := request.deadline - g.now
	if backend == nil || left <= 0 || g.answersTooLate(backend, request) {
		g.finishWithLocalResponse(request)
		return false
	}
	queuePosition := g.queueLengthAt(backend) + 1
	request.attempts = append(request.attempts, attemptRecord{backend: backend, sentAt: g.now, queuePosition: queuePosition, open: true})
	request.customer.inFlight++
	if !g.settings.reportsInFlight() {
		g.load.reportedInFlight.add(g.estimatedInFlight(), g.now)
	}
	g.load.inFlight++
	if backend.inFlight == 0 {
		backend.answerDueAt = g.now + g.suspectAfter(request.class)
	}
	backend.inFlight++
	g.spendSlowStart(backend)
	g.emit(SendAttempt{Request: request.id, Backend: backend.Backend, Timeout: g.attemptTimeout(request, left)})
	return true
}

// answersTooLate reports whether a backend is expected to answer so late that no attempt should be begun. It returns
// false for a request that may have run (maxLatencyRatio).
func (g *Gateway) answersTooLate(backend *backendRecord, request *requestRecord) bool {
	return g.expectedLatencyRatioAt(backend) > maxLatencyRatio && !request.mayHaveRun
}

// attemptTimeout returns the timeout of the latest attempt of a request: all the time that is left, or less if a safe
// retry could still answer in time.
func (g *Gateway) attemptTimeout(request *requestRecord, left time.Duration) time.Duration {
	class := g.settings.Classes[request.class]
	if class.Idempotency == NotIdempotent || class.Stream || len(request.attempts) >= g.settings.MaxAttempts {
		return left
	}
	latency := g.classLatency[request.class]
	usual := seconds(latency.mean + timeoutDeviations*latency.deviation)
	timeout := max(usual, class.LatencyObjective)
	if class.Idempotency == IdempotentByKey && g.now+timeout > keyReliableUntil(class, request.arrivedAt) {
		return left
	}
	return min(timeout, left)
}

// handleAttemptEnd closes an attempt, updates the estimates, and ends or retries the request.
func (g *Gateway) handleAttemptEnd(event AttemptEnded) {
	request := g.requests[event.Request]
	if request == nil || event.Attempt < 0 || event.Attempt >= len(request.attempts) || !request.attempts[event.Attempt].open {
		return
	}
	attempt := &request.attempts[event.Attempt]
	g.closeAttempt(request, attempt)
	g.updateEstimates(request.class, attempt, event)
	if !request.mayHaveRun && event.Outcome.MayHaveRun() {
		request.mayHaveRun = true
		request.firstRunBackend = attempt.backend
		request.firstRunSentAt = attempt.sentAt
	}
	switch {
	case request.ended:
		g.deleteIfEnded(request)
	case event.Answered || event.Outcome == OK:
		g.finishWithoutLocalResponse(request)
	case g.mayRetry(request, g.settings.Classes[request.class]):
		g.sendAttempt(request)
	default:
		g.finishWithLocalResponse(request)
	}
}

// updateEstimates updates the estimates of load, latency, failures and service rate with the end of an attempt.
func (g *Gateway) updateEstimates(classID ClassID, attempt *attemptRecord, event AttemptEnded) {
	g.recordLoadReport(event.Load)
	class := g.settings.Classes[classID]
	backend := attempt.backend
	took := (g.now - attempt.sentAt).Seconds()
	if event.Outcome == OK || event.Outcome == TimedOut {
		atBackend := max(took-event.RoundTrip.Seconds(), took*minBackendTimeShare)
		g.recordServiceTime(backend, attempt, atBackend/max(class.LatencyObjective, housekeepingInterval).Seconds())
	}
	if event.Outcome == OK {
		g.classLatency[classID].add(took)
	}
	g.recordOutcome(backend, classID, event.Outcome)
	if backend.State == Up {
		g.serviceRate.recordEnd(event.Outcome)
	}
	g.recordOverload(class, event.Outcome, took)
}

// closeAttempt marks an attempt as ended. If the counter counts the attempt as in flight, closeAttempt subtracts it.
func (g *Gateway) closeAttempt(request *requestRecord, attempt *attemptRecord) {
	if !attempt.open {
		return
	}
	attempt.open = false
	backend := attempt.backend
	g.load.inFlight--
	backend.inFlight--
	backend.answerDueAt = g.now + g.suspectAfter(request.class)
	customer := request.customer
	customer.inFlight--
	if request.addedToCounter && customer.quota.countsInFlight() {
		g.refundUnits(request)
	}
	g.endpoints.deleteIfRemoved(backend)
}
