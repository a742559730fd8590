package proxy

import "time"

// roundTripWindow is the length of a window of round-trip measurements. A longer round trip is accepted after one to two
// windows. A window is long enough that a backend that is slow to accept connections because it is overloaded is not
// mistaken for a distant one.
const roundTripWindow = time.Minute

// roundTripEstimate estimates the network round-trip time to a backend as the shortest recent time to establish a connection
// to it. Connections are accepted by the backend's operating system, not by the process with its queue, so that the shortest
// of many times is the round trip alone.
type roundTripEstimate struct {
	minimum     [2]time.Duration // minimum of the current window and of the previous one; 0: no connection was established
	windowStart time.Duration    // start of the current window, which lasts roundTripWindow
}

// add records how long it took to establish a connection.
func (estimate *roundTripEstimate) add(took, now time.Duration) {
	if now-estimate.windowStart >= roundTripWindow {
		estimate.minimum[1], estimate.minimum[0], estimate.windowStart = estimate.minimum[0], 0, now
	}
	if estimate.minimum[0] == 0 || took < estimate.minimum[0] {
		estimate.minimum[0] = max(1, took)
	}
}

// shortest returns the estimate, or 0 if no connection has been established yet.
func (estimate *roundTripEstimate) shortest() time.Duration {
	if estimate.minimum[0] == 0 || estimate.minimum[1] > 0 && estimate.minimum[1] < estimate.minimum[0] {
		return estimate.minimum[1]
	}
	return estimate.minimum[0]
}
