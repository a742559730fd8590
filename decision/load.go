package decision

import "time"

// This file estimates the load of the backends: the utilization that admission control holds at its set point, and the
// expected latency of an attempt, which the balancer compares. The inputs are load reports (requests in flight, CPU
// utilization), latencies of attempts with the queue positions at which the attempts were sent, and outcomes that
// indicate overload. All inputs are pooled over all backends: with hundreds of instances, the samples that one instance
// has of one backend are noise. A latency ratio is a latency as a share of its objective. Queue lengths are in
// requests.

const (
	// fullLoadLatencyRatio is the expected latency, as a share of the objective, that counts as full load: above it,
	// the queue may outgrow the objective before the control loop reacts.
	fullLoadLatencyRatio = 0.4
	// fullLoadCPU is the reported CPU utilization that counts as full load; 1 means all cores.
	fullLoadCPU = 1.0
	// fullLoadBadShare is the share of rejected, timed-out or late attempts that counts as full load, whatever the load
	// reports say.
	fullLoadBadShare = 0.35
	// initialLatencyShare is the initial estimate of an attempt's latency, as a share of its objective. It is low
	// enough that a gateway without any samples sheds no requests.
	initialLatencyShare = 0.15
	// minBackendTimeShare is the minimum share of an attempt's latency that is attributed to the backend, so that a
	// wrong round-trip time does not hide a queue.
	minBackendTimeShare = 0.1
	// maxReportedCPU bounds the reported CPU utilization: one wrong report must not shed all requests.
	maxReportedCPU = 1.2
	// maxReportedInFlight bounds the reported requests in flight, for the same reason.
	maxReportedInFlight = 1000.0
	// maxProbeCost is the cost of a probe, in requests, at or above which no probes are sent: their load would outweigh
	// the benefit of their reports.
	maxProbeCost = 0.05
	// loadReportTTL is the time without a report of CPU utilization after which only the latency ratio is used.
	loadReportTTL = 4 * time.Second
	// ownInFlightPrior is the number of this instance's attempts in flight at which they weigh as much as the load
	// reports: with fewer, this instance's share of the fleet's traffic says little about the total.
	ownInFlightPrior = 5.0
	// maxSlowness bounds the slowness of a backend relative to the others, and with it the effect of one very slow
	// attempt.
	maxSlowness = 10.0
	// slownessWeight is the weight of one latency in a backend's slowness: the slowness follows about the last thirty
	// attempts.
	slownessWeight = 0.03
)

// loadEstimator holds the load samples, pooled over all backends.
type loadEstimator struct {
	sampledAt        time.Duration // when the utilization was last passed to admission control
	inFlight         int           // attempts of this instance
	reportedInFlight movingAverage // requests in progress at a backend
	reportedCPU      movingAverage // CPU utilization of a backend; 1 means all cores
	latencyRatio     movingAverage // latencies as shares of their objectives
	queuePosition    movingAverage // queue positions of the attempts that had those latencies
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

// recordLoadReport records a backend's load report. Negative and non-finite values are ignored.
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

// probeNext probes the backends in turn, one per control period, so that load reports arrive within loadReportTTL.
func (g *Gateway) probeNext() {
	count := len(g.endpoints.up)
	if count == 0 || !g.settings.Probes || !g.settings.LoadByProbe || g.settings.ProbeCost >= maxProbeCost {
		return
	}
	g.endpoints.probeTurn++
	g.emit(Probe{Backend: g.endpoints.up[g.endpoints.probeTurn%count].Backend})
}

// estimatedInFlight returns the mean number of requests in flight at a backend if all instances send as much as this
// one does.
func (g *Gateway) estimatedInFlight() float64 {
	return float64(g.load.inFlight*g.settings.Instances) / float64(max(1, len(g.endpoints.up)))
}

// queueLength returns the mean number of requests in progress at a backend. It combines recent load reports with an
// extrapolation of this instance's attempts in flight to all instances. The latter is known without delay, but says
// little if the attempts are few.
func (g *Gateway) queueLength() float64 {
	reported := g.load.reportedInFlight.current(g.now)
	own := float64(g.load.inFlight)
	return reported + (g.estimatedInFlight()-reported)*own/(own+ownInFlightPrior)
}

// queueLengthAt estimates the number of requests in progress at one backend. It starts with the mean over all backends
// and moves it by 1/n towards n times this instance's attempts at the backend, where n is the number of instances.
// (n-1)/n of the result is attributed to the other instances, and this instance's attempts are added. The backend's own
// load report is not used separately. Otherwise all instances would send to the backend whose queue was short a moment
// ago.
func (g *Gateway) queueLengthAt(backend *backendRecord) float64 {
	instances := float64(g.settings.Instances)
	others := g.queueLength()
	others += (float64(backend.inFlight)*instances - others) / instances
	return others*(instances-1)/instances + float64(backend.inFlight)
}

// expectedLatencyRatio returns the expected latency of a new attempt at an average backend, as a share of its
// objective: the latency per queue position times the attempt's queue position. It rises with the queue at once, long
// before slow answers arrive.
func (g *Gateway) expectedLatencyRatio() float64 {
	return g.load.latencyRatio.value * (g.queueLength() + 1) / g.load.queuePosition.value
}

// expectedLatencyRatioAt returns the expected latency of a new attempt at one backend, as a share of its objective.
func (g *Gateway) expectedLatencyRatioAt(backend *backendRecord) float64 {
	return g.load.latencyRatio.value / g.load.queuePosition.value * (g.queueLengthAt(backend) + 1) * backend.slowness
}

// utilization returns the load of the backends, where 1 is full load. It is the mean of the loads that the expected
// latency ratio and the reported CPU utilization indicate, or only the former without a recent report. The share of
// rejected, timed-out or late attempts is a lower bound for it.
func (g *Gateway) utilization() float64 {
	utilization := g.expectedLatencyRatio() / fullLoadLatencyRatio
	if use := &g.load.reportedCPU; use.weight > 0 && g.now-use.updatedAt < loadReportTTL {
		utilization = (utilization + use.value/fullLoadCPU) / 2
	}
	return max(utilization, g.load.badShare.current(g.now)/fullLoadBadShare)
}

// recordServiceTime records a latency, given as a share of its objective. It updates the latency per queue position and
// the slowness of the backend relative to the others.
func (g *Gateway) recordServiceTime(backend *backendRecord, attempt *attemptRecord, ratio float64) {
	load := &g.load
	slowness := min(maxSlowness, ratio*load.queuePosition.value/(load.latencyRatio.value*attempt.queuePosition))
	backend.slowness += (slowness - backend.slowness) * slownessWeight
	load.latencyRatio.add(ratio, g.now)
	load.queuePosition.add(attempt.queuePosition, g.now)
}

// recordOverload records whether the end of an attempt indicates overload. Attempts that were not sent or were
// cancelled are ignored. took is the latency in seconds.
func (g *Gateway) recordOverload(class Class, outcome Outcome, took float64) {
	if outcome == NotSent || outcome == Cancelled {
		return
	}
	bad := outcome == Rejected || outcome == TimedOut || took > class.LatencyObjective.Seconds()
	g.load.badShare.add(indicator(bad), g.now)
}
