package server

import (
	"sync/atomic"
	"time"
)

// Timing of the event loop's checks of the watch.
const (
	// checkInterval is how long the event loop relies on a check that has found nothing, since a check costs a system call. It
	// is short compared with a drain grace.
	checkInterval = 10 * time.Millisecond
	// maxCatchUpTime is how long the event loop waits for the watch to read and queue what has arrived, before it continues.
	maxCatchUpTime = 5 * time.Millisecond
	// catchUpPoll is the interval between checks during that wait.
	catchUpPoll = 100 * time.Microsecond
)

// watchInput tracks whether data of discovery waits to be read from the socket or to be queued for the event loop. On a busy
// machine, or while its goroutine is delayed, the watch can be behind the data that has reached this machine. The goroutine of
// the watch records its progress; other goroutines check it.
type watchInput struct {
	now    func() time.Duration   // the instance's clock
	socket atomic.Pointer[socket] // of the current watch; nil: there is none
	// behind is set while the goroutine reads or handles data, until it waits again with nothing left unread.
	behind     atomic.Bool
	catchUps   atomic.Uint64 // how often the goroutine has caught up and begun to wait
	caughtUpAt atomic.Int64  // time.Duration: all data that had arrived by then was queued when it last caught up
	// unwatchedSince (time.Duration) is since when no watch is open; 0: one is open.
	unwatchedSince atomic.Int64
	// probedAt (time.Duration) is when the last dial began that reached discovery's machine, while no watch is open: by then
	// discovery could not tell anything.
	probedAt atomic.Int64
	// unwatchedBefore (time.Duration) is for how long, before the current watch was opened, discovery may have had a change to tell;
	// 0: the watch has been answered since.
	unwatchedBefore atomic.Int64

	// Used by the event loop only, for its checks.
	unhandledSince    time.Duration // time since which data may be unhandled; 0: the last check found none
	unhandledCatchUps uint64        // value of catchUps when unhandledSince was set
	checkedAt         time.Duration // when a check last found nothing, or the start
	catchUpTimedOut   bool          // the last wait lasted maxCatchUpTime: later calls do not wait until the watch has caught up
}

// start sets the clock. The goroutine counts as behind until it first waits.
func (in *watchInput) start(now func() time.Duration) {
	in.now = now
	in.checkedAt = now()
	in.markUnwatched(in.checkedAt, in.checkedAt)
	in.markBehind()
}

// markWatched records that a watch is open and its request is written. Discovery could not be reached at unreachableAt.
func (in *watchInput) markWatched(now, unreachableAt time.Duration) {
	if since := time.Duration(in.unwatchedSince.Load()); since != 0 {
		in.unwatchedBefore.Store(int64(now - max(since, unreachableAt)))
	}
	in.unwatchedSince.Store(0)
}

// markAnswered records that a message or a heartbeat of the current watch is queued.
func (in *watchInput) markAnswered() { in.unwatchedBefore.Store(0) }

// markUnwatched records that no watch is open now, and when the last dial began that reached discovery's machine.
func (in *watchInput) markUnwatched(now, probedAt time.Duration) {
	in.probedAt.Store(int64(probedAt))
	in.unwatchedSince.CompareAndSwap(0, int64(now))
}

// unwatchedFor returns how long no watch has been open, or 0 if one is open.
func (in *watchInput) unwatchedFor(now time.Duration) time.Duration {
	since := time.Duration(in.unwatchedSince.Load())
	if since == 0 {
		return 0
	}
	return now - since
}

// probeAge returns how long discovery may have had a change to tell while no watch was open: the time since the last dial that
// found that it can't be reached. It returns 0 if a watch is open.
func (in *watchInput) probeAge(now time.Duration) time.Duration {
	if in.unwatchedSince.Load() == 0 {
		return 0
	}
	return now - time.Duration(in.probedAt.Load())
}

// markCaughtUp records that the goroutine begins to wait for discovery: for a connection, for bytes, or for the end of its
// backoff. All data that had arrived by arrivedBy is queued for the event loop.
func (in *watchInput) markCaughtUp(arrivedBy time.Duration) {
	in.caughtUpAt.Store(int64(arrivedBy))
	in.catchUps.Add(1)
	in.behind.Store(false)
}

// markBehind records that the goroutine may have data to read or to handle.
func (in *watchInput) markBehind() { in.behind.Store(true) }

// read waits for bytes until the read deadline. After the deadline it still returns bytes that have arrived, since a process
// that was delayed can find both an expired deadline and unread bytes.
//
// The goroutine marks itself as behind before it takes the bytes, since it can be delayed in between: at every moment the bytes
// are either unread on the socket or the goroutine is marked as behind.
func (in *watchInput) read(socket *socket) ([]byte, error) {
	now := in.now() // before the check, after which the goroutine can be delayed
	if !hasInput(socket.raw) {
		in.markCaughtUp(now)
	}
	err := socket.waitForInput()
	in.markBehind()
	if available := socket.readAvailable(); available != nil {
		return available, nil
	}
	if err != nil {
		return nil, err
	}
	return socket.read() // the end of the stream or an error
}

// isIdle reports whether the watch waits for discovery and nothing is unread on its socket.
func (in *watchInput) isIdle() bool { return !in.hasUnhandled(in.socket.Load()) }

// hasUnhandled reports whether bytes, the end of the stream or an error are unread on the socket of the watch, or the goroutine is
// behind. It checks the socket first: before the goroutine takes bytes from it, it marks itself as behind.
func (in *watchInput) hasUnhandled(socket *socket) bool {
	return socket != nil && hasInput(socket.raw) || in.behind.Load()
}

// unhandledFor returns how long data of discovery has been waiting to be read or queued, or 0 if the last check, less than
// checkInterval ago, found none. A result above 0 is an upper bound: it counts from the last time at which nothing was waiting,
// since the kernel reports when the last unread bytes arrived, not the first. The first answer on a watch counts from before the watch
// was opened, when discovery may have had it. Only the event loop calls it.
func (in *watchInput) unhandledFor(now time.Duration) time.Duration {
	if in.unhandledSince == 0 && now < in.checkedAt+checkInterval {
		return 0
	}
	catchUps := in.catchUps.Load()
	if in.unhandledCatchUps != catchUps { // the data that was found before is queued by now
		in.unhandledSince, in.unhandledCatchUps = 0, catchUps
	}
	if !in.hasUnhandled(in.socket.Load()) {
		in.unhandledSince, in.checkedAt = 0, now
		return 0
	}
	if in.unhandledSince == 0 {
		in.unhandledSince = max(in.checkedAt, time.Duration(in.caughtUpAt.Load())) - time.Duration(in.unwatchedBefore.Load())
	}
	return max(1, now-in.unhandledSince)
}

// waitForCatchUp waits for the watch to read and queue what has arrived, for maxCatchUpTime at most: after a stall of the
// process the event loop can run before the watch. If the watch does not catch up, later calls do not wait until it has. Only
// the event loop calls it.
func (in *watchInput) waitForCatchUp() {
	for until := in.now() + maxCatchUpTime; in.unhandledFor(in.now()) > 0; time.Sleep(catchUpPoll) {
		if in.catchUpTimedOut {
			return
		}
		in.catchUpTimedOut = in.now() >= until
	}
	in.catchUpTimedOut = false
}
