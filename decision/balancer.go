package decision

import (
	"cmp"
	"slices"
)

// This file decides which backend gets the next attempt of a request: among a few backends drawn at random, the one
// with the lowest cost. The cost is the expected latency (load.go), slightly increased for another zone, plus the risk
// of a failure (outlier.go), all in units of the latency objective. Comparing only a few backends prevents all
// instances from sending to the one backend that looks best. A warming backend is drawn in proportion to its capacity
// share, and may be skipped (slowstart.go). Backends that already got an attempt of the request come last. If the
// request may have run, backends that do not know its idempotency key are excluded.

const (
	// candidatesPerChoice is the number of backends that are compared. Two would already give most of the gain over one
	// at random.
	candidatesPerChoice = 3
	// extraCandidates times the failure rate over all backends is the number of additional candidates: if many backends
	// fail, those that work have to be found.
	extraCandidates = 6.0
	// maxDraws bounds the number of draws for the candidates, and with it the time of a choice. If none of the draws
	// gives a backend that may get the attempt, the request ends, even if backends are up. Draws are with replacement:
	// one backend may be drawn several times.
	maxDraws = 24
	// otherZoneFactor is the factor on the expected latency in another zone. It only decides between otherwise equal
	// backends.
	otherZoneFactor = 1.005
	// failureCost is the cost of a failure that is sure to occur, in units of the latency objective: about the time to
	// detect it and to retry.
	failureCost = 1.0
)

// candidate is a drawn backend and its cost.
type candidate struct {
	backend *backendRecord
	cost    float64
}

// chooseBackend returns the backend for the next attempt of a request, or nil if there is none. It must be called only
// once per attempt because it draws random numbers and updates counts.
func (g *Gateway) chooseBackend(request *requestRecord) *backendRecord {
	g.serviceRate.choicesMade++
	class := g.settings.Classes[request.class]
	wanted := candidatesPerChoice + int(g.failureRates.byClass[request.class].value*extraCandidates)
	drawn := make([]candidate, 0, candidatesPerChoice+extraCandidates)
	var triedBefore *backendRecord
	for draws := 0; draws < maxDraws && len(g.endpoints.up) > 0; draws++ {
		backend := g.endpoints.up[g.rng.IntN(len(g.endpoints.up))]
		if g.rng.Float64() >= g.capacityShare(backend) || !mayRunAt(request, class, backend) {
			continue
		}
		if request.attemptedAt(backend) {
			triedBefore = backend
			continue
		}
		drawn = append(drawn, candidate{backend, g.costAt(backend, request.class)})
		if len(drawn) < wanted {
			continue
		}
		if best := g.admitBestCandidate(drawn); best != nil {
			return best
		}
		drawn = drawn[:0]
	}
	if best := g.admitBestCandidate(drawn); best != nil {
		return best
	}
	if triedBefore != nil && g.tryAdmitWarming(triedBefore) {
		return triedBefore
	}
	return nil
}

// costAt returns the cost of an attempt of a class at a backend, in units of the latency objective.
func (g *Gateway) costAt(backend *backendRecord, class ClassID) float64 {
	latencyRatio := g.expectedLatencyRatioAt(backend)
	if backend.Zone != g.settings.Zone {
		latencyRatio *= otherZoneFactor
	}
	return latencyRatio + g.failureRisk(backend, class)*failureCost
}

// admitBestCandidate returns the backend of the lowest cost that may get one more attempt, or nil. As side effects it
// sorts the candidates, counts the checks and calls tryAdmitWarming, which changes the backend's bucket.
func (g *Gateway) admitBestCandidate(drawn []candidate) *backendRecord {
	slices.SortStableFunc(drawn, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	for _, candidate := range drawn {
		g.serviceRate.slowStartChecks++
		if g.tryAdmitWarming(candidate.backend) {
			return candidate.backend
		}
	}
	return nil
}

// mayRunAt reports whether a request may be sent to a backend with regard to its idempotency key. It returns false only
// for a request of class IdempotentByKey that may have run, if the backend does not know the key. mayRetry decides
// whether other requests that may have run are sent again.
func mayRunAt(request *requestRecord, class Class, backend *backendRecord) bool {
	if class.Idempotency != IdempotentByKey || request.firstRunBackend == nil || class.KeyScope == KeyScopeAll {
		return true
	}
	return class.KeyScope == KeyScopeZone && backend.Zone == request.firstRunBackend.Zone ||
		class.KeyScope == KeyScopeCell && backend.Cell == request.firstRunBackend.Cell
}
