package decision

import (
	"cmp"
	"slices"
)

// This file decides which backend gets the next attempt of a request: of a few drawn at random, the one with the lowest
// cost, in latency objectives: the expected latency (load.go), times a little in another zone, and the risk of a failure
// (outlier.go). Drawing few keeps the instances from sending all to the one backend that looks best. A warming backend
// is drawn as often as its capacity share says, and may be passed over (slowstart.go). Backends that the request has
// been tried at come last; those that do not know its idempotency key, if it may have run, are left out.

const (
	// candidatesPerChoice is the number of backends that are compared; two give most of the gain over one at random.
	candidatesPerChoice = 3
	// extraCandidates times the share of attempts that fail anywhere is the number of further ones: where many
	// backends fail, those that work are to be found.
	extraCandidates = 6.0
	// maxDraws bounds the draws to find them, and with them the time of a choice. If none of so many draws gives a
	// backend that may get the attempt, the request ends, even with backends up. Draws are with replacement: one
	// backend may be drawn several times.
	maxDraws = 24
	// otherZoneFactor is the factor on the expected latency in another zone: it decides between equals alone.
	otherZoneFactor = 1.005
	// failureCost is the cost of a sure failure, in latency objectives: about what it takes to notice and retry.
	failureCost = 1.0
)

// candidate is a backend that was drawn, and its cost.
type candidate struct {
	backend *backendRecord
	cost    float64
}

// chooseBackend gives the backend for the next attempt of a request, or nil if there is none. It may be called once for
// an attempt: it draws random numbers and counts.
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

// costAt is the cost of an attempt of a class at a backend, in latency objectives.
func (g *Gateway) costAt(backend *backendRecord, class ClassID) float64 {
	latencyRatio := g.expectedLatencyRatioAt(backend)
	if backend.Zone != g.settings.Zone {
		latencyRatio *= otherZoneFactor
	}
	return latencyRatio + g.failureRisk(backend, class)*failureCost
}

// admitBestCandidate gives the backend of the lowest cost that may get one more attempt, or nil. It sorts the candidates
// and counts its checks; tryAdmitWarming has effects of its own.
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

// mayRunAt tells whether an attempt of a request at a backend can't run it twice on account of its key: false only for
// a request by key that may have run, at a backend that does not know the key. Whether other requests that may have run
// are sent again is decided by mayRetry.
func mayRunAt(request *requestRecord, class Class, backend *backendRecord) bool {
	if class.Idempotency != IdempotentByKey || request.firstRunBackend == nil || class.KeyScope == KeyScopeAll {
		return true
	}
	return class.KeyScope == KeyScopeZone && backend.Zone == request.firstRunBackend.Zone ||
		class.KeyScope == KeyScopeCell && backend.Cell == request.firstRunBackend.Cell
}
