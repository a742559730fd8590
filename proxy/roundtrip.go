package proxy

import "time"

// roundTripMemory is how long a shortest round trip stands: a route that became longer is believed after one to two of it. Long
// enough that a box whose connections are slow to be made for being overloaded is not taken to be far away meanwhile.
const roundTripMemory = time.Minute

// roundTripEstimate knows how long the network takes to a box and back: the least time in which a line to it was made lately. Making
// one is up to the box's system, not to what waits at the box, so that the least of many is the round trip alone.
type roundTripEstimate struct {
	least       [2]time.Duration // of the running minute, and of the one before it; 0: no line was made
	windowStart time.Duration
}

// add takes in how long a line took to be made.
func (estimate *roundTripEstimate) add(took, now time.Duration) {
	if now-estimate.windowStart >= roundTripMemory {
		estimate.least[1], estimate.least[0], estimate.windowStart = estimate.least[0], 0, now
	}
	if estimate.least[0] == 0 || took < estimate.least[0] {
		estimate.least[0] = max(1, took)
	}
}

// shortest is the round trip; 0 if no line was made yet.
func (estimate *roundTripEstimate) shortest() time.Duration {
	if estimate.least[0] == 0 || estimate.least[1] > 0 && estimate.least[1] < estimate.least[0] {
		return estimate.least[1]
	}
	return estimate.least[0]
}
