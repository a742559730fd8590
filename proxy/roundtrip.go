package proxy

import "time"

// wayMemory is how long a shortest round trip stands: a route that became longer is believed after one to two of it. Long
// enough that a box whose connections are slow to be made for being overloaded is not taken to be far away meanwhile.
const wayMemory = time.Minute

// way knows how long the network takes to a box and back: the least time in which a line to it was made lately. Making
// one is up to the box's system, not to what waits at the box, so that the least of many is the round trip alone.
type way struct {
	least [2]time.Duration // of the running minute, and of the one before it; 0: no line was made
	since time.Duration
}

// add takes in how long a line took to be made.
func (w *way) add(took, now time.Duration) {
	if now-w.since >= wayMemory {
		w.least[1], w.least[0], w.since = w.least[0], 0, now
	}
	if w.least[0] == 0 || took < w.least[0] {
		w.least[0] = max(1, took)
	}
}

// back is the round trip; 0 if no line was made yet.
func (w *way) back() time.Duration {
	if w.least[0] == 0 || w.least[1] > 0 && w.least[1] < w.least[0] {
		return w.least[1]
	}
	return w.least[0]
}
