package proxy

import "time"

// roundTripMemory is how long a shortest round trip holds; a route that became longer is believed after one to two of it. It
// is long enough that a backend whose connections are slow to be made because it is overloaded is not taken to be far away.
const roundTripMemory = time.Minute

// roundTripEstimate estimates the network's round trip to a backend: the shortest time in which a connection to it was made
// lately. Connections are made by the backend's operating system, not by the process with its queue, so that the shortest
// of many is the round trip alone.
type roundTripEstimate struct {
	least       [2]time.Duration // of the window under way, and of the one before it; 0: no connection was made
	windowStart time.Duration    // a window lasts roundTripMemory
}

// add takes in how long a connection took to be made.
func (estimate *roundTripEstimate) add(took, now time.Duration) {
	if now-estimate.windowStart >= roundTripMemory {
		estimate.least[1], estimate.least[0], estimate.windowStart = estimate.least[0], 0, now
	}
	if estimate.least[0] == 0 || took < estimate.least[0] {
		estimate.least[0] = max(1, took)
	}
}

// shortest returns the estimate; 0 if no connection was made yet.
func (estimate *roundTripEstimate) shortest() time.Duration {
	if estimate.least[0] == 0 || estimate.least[1] > 0 && estimate.least[1] < estimate.least[0] {
		return estimate.least[1]
	}
	return estimate.least[0]
}
