package decision

import "time"

// This file estimates how loaded the backends are: the utilization that admission control holds at its set point, and
// the latency that an attempt has to expect, which the balancer compares. Inputs are load reports (requests in flight, use
// of processors), latencies of attempts with the queue positions that they were spent in, and outcomes that mean
// overload. All are pooled over all backends: with hundreds of instances, what one of them sees of one backend is noise.
// A latency ratio is a latency as a share of its objective; queue lengths are requests.

const (
	// fullLoadLatencyRatio is the expected latency, as a share of the objective, that counts as full load: above it
	// the queue may outgrow the objective before the control loop reacts.
	fullLoadLatencyRatio = 0.4
	// fullLoadCPU is the reported use of processors that counts as full load; 1 is all of them.
	fullLoadCPU = 1.0
	// fullLoadBadShare is the share of attempts rejected, timed out or late that counts as full load, whatever
	// reports say.
	fullLoadBadShare = 0.35
	// initialLatencyShare is the first guess of an attempt's latency, as a share of its objective: low enough that a
	// gateway without experience sheds nothing.
	initialLatencyShare = 0.15
	// minBackendTimeShare is the least share of an attempt's latency that is taken for the backend's own time, so
	// that a wrong round-trip time does not hide a queue.
	minBackendTimeShare = 0.1
	// maxReportedCPU bounds reported use of processors: one wrong report must not shed everybody.
	maxReportedCPU = 1.2
	// maxReportedInFlight bounds reported requests in flight, for the same reason.
	maxReportedInFlight = 1000.0
	// maxProbeCost is the cost of a probe, in requests, from which on none is sent: it would take more than it tells.
	maxProbeCost = 0.05
	// loadReportTTL is the time without a report of processor use after which the latency ratio alone is used.
	loadReportTTL = 4 * time.Second
	// ownInFlightPrior is the number of own attempts in flight that weigh as much as the reports: with fewer, the own
	// share of the fleet's traffic says little of the whole.
	ownInFlightPrior = 5.0
	// maxSlowness bounds how much slower than the others one backend is taken to be, and with it how
	// much one very slow attempt can count.
	maxSlowness = 10.0
	// slownessWeight is the weight of one latency in a backend's slowness: some thirty attempts show a trend.
	slownessWeight = 0.03
)

// loadEstimator holds what the load of the backends is read from, pooled over all of them.
type loadEstimator struct {
	sampledAt        time.Duration // when utilization was last handed to admission control
	inFlight         int           // own attempts
	reportedInFlight movingAverage // requests in work at a backend
	reportedCPU      movingAverage // use of a backend's processors, 1 is all
	latencyRatio     movingAverage // latencies as shares of their objectives
	queuePosition    movingAverage // the positions in the queue that those latencies were spent in
	badShare         movingAverage // share of attempts that were rejected, timed out or late
}

func newLoadEstimator(now time.Duration) loadEstimator {
	few := newMovingAverage(minSamples, now)
	many := newMovingAverage(minNoisySamples, now)
	load := loadEstimator{sampledAt: now, reportedInFlight: few, reportedCPU: few, badShare: few, latencyRatio: many, queuePosition: many}
	load.latencyRatio.value = initialLatencyShare
	load.latencyRatio.weight = 1
	load.queuePosition.value = 1
	load.queuePosition.weight = 1
	return load
}

// recordLoadReport takes in a backend's load report. Values that no backend can have are ignored.
func (g *Gateway) recordLoadReport(load []float64) {
	for i, field := range g.settings.LoadFields {
		if i >= len(load) || anyNegativeOrNotFinite(load[i]) {
			continue
		}
		switch field {
		case FieldUtil:
			g.load.reportedCPU.add(min(load[i], maxReportedCPU), g.now)
		case FieldInFlight:
			g.load.reportedInFlight.add(min(load[i], maxReportedInFlight), g.now)
		}
	}
}

func (g *Gateway) handleProbeEnd(event ProbeEnded) {
	if g.endpoints.known[event.Backend] != nil && event.Outcome == OK {
		g.recordLoadReport(event.Load)
	}
}

// probeNext probes one backend, each in turn, so that each reports within loadReportTTL.
func (g *Gateway) probeNext() {
	count := len(g.endpoints.up)
	if count == 0 || !g.settings.Probes || !g.settings.LoadByProbe || g.settings.ProbeCost >= maxProbeCost {
		return
	}
	g.endpoints.probeTurn++
	g.emit(Probe{Backend: g.endpoints.up[g.endpoints.probeTurn%count].Backend})
}

// estimatedInFlight is the number of requests in flight at a backend if all instances send as this one does.
func (g *Gateway) estimatedInFlight() float64 {
	return float64(g.load.inFlight*g.settings.Instances) / float64(max(1, len(g.endpoints.up)))
}

// queueLength is the mean number of requests in work at a backend: what was reported lately, and what this instance
// has in flight, taken as its share of the whole. The latter is known at once but says little where it is few.
func (g *Gateway) queueLength() float64 {
	reported := g.load.reportedInFlight.current(g.now)
	own := float64(g.load.inFlight)
	return reported + (g.estimatedInFlight()-reported)*own/(own+ownInFlightPrior)
}

// queueLengthAt estimates the number of requests in work at one backend. The others' queue is estimated as the mean of
// all backends, drawn by 1/n towards n times our own attempts there, n being the number of instances; (n-1)/n of that
// is theirs, and our own attempts are added. What a backend reported of itself is not used: all instances would send
// where the queue was short a moment ago.
func (g *Gateway) queueLengthAt(backend *backendRecord) float64 {
	instances := float64(g.settings.Instances)
	others := g.queueLength()
	others += (float64(backend.inFlight)*instances - others) / instances
	return others*(instances-1)/instances + float64(backend.inFlight)
}

// expectedLatencyRatio is how long a new attempt takes anywhere, as a share of its objective: the time for a position in
// the queue, times the queue. It rises with the queue at once, long before slow answers come back.
func (g *Gateway) expectedLatencyRatio() float64 {
	return g.load.latencyRatio.value * (g.queueLength() + 1) / g.load.queuePosition.value
}

// expectedLatencyRatioAt is how long a new attempt takes at one backend, as a share of its objective.
func (g *Gateway) expectedLatencyRatioAt(backend *backendRecord) float64 {
	return g.load.latencyRatio.value / g.load.queuePosition.value * (g.queueLengthAt(backend) + 1) * backend.slowness
}

// utilization is the load of the backends, where 1 is full load: the mean of what the expected latency ratio and the
// reported use of processors say, or the former alone where no use was reported lately. Attempts rejected, timed out or
// late count whatever these say.
func (g *Gateway) utilization() float64 {
	utilization := g.expectedLatencyRatio() / fullLoadLatencyRatio
	if use := &g.load.reportedCPU; use.weight > 0 && g.now-use.updatedAt < loadReportTTL {
		utilization = (utilization + use.value/fullLoadCPU) / 2
	}
	return max(utilization, g.load.badShare.current(g.now)/fullLoadBadShare)
}

// recordServiceTime takes a latency, as a share of its objective, into what a position in the queue takes, and into how
// slow the backend is beside the others.
func (g *Gateway) recordServiceTime(backend *backendRecord, attempt *attemptRecord, ratio float64) {
	load := &g.load
	slowness := min(maxSlowness, ratio*load.queuePosition.value/(load.latencyRatio.value*attempt.queuePosition))
	backend.slowness += (slowness - backend.slowness) * slownessWeight
	load.latencyRatio.add(ratio, g.now)
	load.queuePosition.add(attempt.queuePosition, g.now)
}

// recordOverload takes in whether an attempt's end is a sign of overload. Attempts that never ran to an end of their
// own say nothing.
func (g *Gateway) recordOverload(class Class, outcome Outcome, took float64) {
	if outcome == NotSent || outcome == Cancelled {
		return
	}
	bad := outcome == Rejected || outcome == TimedOut || took > class.LatencyObjective.Seconds()
	g.load.badShare.add(indicator(bad), g.now)
}
