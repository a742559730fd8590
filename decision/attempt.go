package decision

import (
	"math"
	"slices"
	"time"
)

// This file decides about single attempts: whether one is begun, how long it may take, and what its end means for the
// estimates of the other files and for its request. Latencies are seconds.

const (
	// maxLatencyRatio is the expected latency, as a share of the objective, above which no attempt is begun: its
	// answer would be late, and it would make others late. A request that may have run is an exception, since
	// without an answer it fails.
	maxLatencyRatio = 0.8
	// timeoutDeviations is the number of deviations above the mean latency that an attempt may take if another could
	// follow it: rarely is an answer that late still to come.
	timeoutDeviations = 8.0
	// latencySmoothing is the weight of a new latency in the mean of its class: some twenty attempts show a trend.
	latencySmoothing = 0.05
	// lostAttemptTTL is how long after its deadline a request is kept whose attempts have no end yet.
	lostAttemptTTL = 30 * time.Second
)

// requestRecord is a request with an answer owed or an attempt in flight.
type requestRecord struct {
	id        RequestID
	class     ClassID
	customer  *customerRecord
	units     float64
	arrivedAt time.Duration
	deadline  time.Duration
	attempts  []attemptRecord
	ended     bool // no answer is owed any more
	streaming bool // the client gets an answer
	// rejectReason is why it would be rejected before any attempt.
	rejectReason RejectReason

	mayHaveRun      bool           // some attempt may have run
	firstRunBackend *backendRecord // backend of the first attempt that may have run; nil: none
	firstRunSentAt  time.Duration  // when that attempt was decided on

	counterName    string  // the counter's name to which its units were added
	counterWeight  float64 // weight of one unit under counterName
	addedToCounter bool    // the counter holds this request's units, after it was admitted
}

// attemptRecord is one attempt of a request.
type attemptRecord struct {
	backend       *backendRecord
	sentAt        time.Duration
	queuePosition float64 // at its backend, from 1
	open          bool    // in flight
}

// attemptedAt tells whether a request has been tried at a backend.
func (request *requestRecord) attemptedAt(backend *backendRecord) bool {
	return slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.backend == backend })
}

// inFlight tells whether an attempt of a request is in flight.
func (request *requestRecord) inFlight() bool {
	return slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.open })
}

// latencyEstimate is what attempts of a class take, and how far they stray from it, in seconds.
type latencyEstimate struct {
	mean      float64
	deviation float64
}

func newClassLatency(classes []Class) []latencyEstimate {
	var latencies []latencyEstimate
	for _, class := range classes {
		first := class.LatencyObjective.Seconds() * initialLatencyShare
		latencies = append(latencies, latencyEstimate{mean: first, deviation: first})
	}
	return latencies
}

// add takes in what an attempt took, in seconds.
func (l *latencyEstimate) add(took float64) {
	l.deviation += (math.Abs(took-l.mean) - l.deviation) * latencySmoothing
	l.mean += (took - l.mean) * latencySmoothing
}

// sendAttempt starts the next attempt of a request. It ends the request instead, and returns false, if no backend may
// get it, if no time is left, or if the answer would come too late and nothing has run yet.
func (g *Gateway) sendAttempt(request *requestRecord) bool {
	backend := g.chooseBackend(request)
	left := request.deadline - g.now
	if backend == nil || left <= 0 || g.answersTooLate(backend, request) {
		g.finishWithAnswer(request)
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

// answersTooLate tells whether a backend would answer a request too late to begin an attempt. A request that may have
// run is never too late, since without an answer it fails.
func (g *Gateway) answersTooLate(backend *backendRecord, request *requestRecord) bool {
	return g.expectedLatencyRatioAt(backend) > maxLatencyRatio && !request.mayHaveRun
}

// attemptTimeout is how long the last attempt of a request may take: all the time that is left, but less where a retry
// could still be in time and harmless.
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

// handleAttemptEnd closes an attempt, learns from it, and ends or retries its request.
func (g *Gateway) handleAttemptEnd(event AttemptEnded) {
	request := g.requests[event.Request]
	if request == nil || event.Attempt < 0 || event.Attempt >= len(request.attempts) || !request.attempts[event.Attempt].open {
		return
	}
	attempt := &request.attempts[event.Attempt]
	g.closeAttempt(request, attempt)
	g.learnFromAttempt(request.class, attempt, event)
	if !request.mayHaveRun && event.Outcome.mayHaveRun() {
		request.mayHaveRun = true
		request.firstRunBackend = attempt.backend
		request.firstRunSentAt = attempt.sentAt
	}
	switch {
	case request.ended:
		g.forgetIfOver(request)
	case event.Answered || event.Outcome == OK:
		g.finishWithoutAnswer(request)
	case g.mayRetry(request, g.settings.Classes[request.class]):
		g.sendAttempt(request)
	default:
		g.finishWithAnswer(request)
	}
}

// learnFromAttempt hands an attempt's end to the estimates of load, latency, failures and service rate.
func (g *Gateway) learnFromAttempt(classID ClassID, attempt *attemptRecord, event AttemptEnded) {
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

// closeAttempt marks an attempt as over. An attempt that was counted as one in flight is taken back at the counter.
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
		g.takeBackUnits(request)
	}
	g.endpoints.forgetIfGone(backend)
}
