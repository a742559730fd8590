package server

import (
	"sync/atomic"
	"time"
)

// The event loop's looks at the watch.
const (
	// checkInterval is how old a look may be that has found nothing: short beside a drain grace, since looks cost a system call.
	checkInterval = 10 * time.Millisecond
	// maxCatchUpTime is how long the event loop lets the watch read and hand over what has come, before it goes on without.
	maxCatchUpTime = 5 * time.Millisecond
	// catchUpPoll is how often it looks meanwhile.
	catchUpPoll = 100 * time.Microsecond
)

// watchInput tells whether what discovery has sent waits to be read or to be handed over: on a busy machine, or while its
// goroutine is held up, the watch may lie behind what has reached this machine. The goroutine of the watch notes what it does;
// others ask.
type watchInput struct {
	now    func() time.Duration   // the instance's clock
	socket atomic.Pointer[socket] // of the watch that stands; nil: none does
	// behind: the goroutine reads, or has read something, and has not come back to wait for more with nothing left unread.
	behind   atomic.Bool
	waits    atomic.Uint64 // how often it came to wait
	waitedAt atomic.Int64  // by when (time.Duration) all was handed over that had come, the last time it did so

	// Of the event loop, which looks for what waits.
	unhandledSince time.Duration // since when something may do; 0: the last look found nothing
	unhandledWaits uint64        // waits at that time
	lookedAt       time.Duration // when the last look found nothing
	waitedInVain   bool          // the watch did not catch up within maxCatchUpTime, and has not since then
}

// start sets the clock. The goroutine has something to do from the start.
func (in *watchInput) start(now func() time.Duration) {
	in.now = now
	in.lookedAt = now()
	in.resume()
}

// wait notes that the goroutine waits for discovery: for a connection, for bytes, or until it tries again. All that had come
// by a moment is handed over.
func (in *watchInput) wait(handedOverAt time.Duration) {
	in.waitedAt.Store(int64(handedOverAt))
	in.waits.Add(1)
	in.behind.Store(false)
}

// resume notes that it has something to do.
func (in *watchInput) resume() { in.behind.Store(true) }

// read waits for bytes, until the read deadline at most. Where that passes, bytes that came before are read all the same: a
// process that was held up may find both.
//
// The goroutine resumes before it takes the bytes, and may be held up in between: at no time are they neither unread nor noted.
func (in *watchInput) read(socket *socket) ([]byte, error) {
	now := in.now() // before it looks: it may be held up behind that
	if !hasUnreadBytes(socket) {
		in.wait(now)
	}
	err := socket.waitForInput()
	in.resume()
	if available := socket.readAvailable(); available != nil {
		return available, nil
	}
	if err != nil {
		return nil, err
	}
	return socket.read() // an end or an error
}

// isSilent reports whether discovery has nothing to say: its watch waits, and nothing lies unread.
func (in *watchInput) isSilent() bool { return !in.hasUnhandled(in.socket.Load()) }

// hasUnhandled reports whether the goroutine is behind, or bytes lie unread on the socket of its watch. It looks for bytes first:
// what is taken from the socket after that is noted by then.
func (in *watchInput) hasUnhandled(socket *socket) bool {
	return hasUnreadBytes(socket) || in.behind.Load()
}

// unhandledFor returns for how long, at the most, something of discovery has waited to be read or handed over; 0: nothing does.
// It counts from when nothing was known to wait: the kernel tells when the last bytes came, not when the first of them did. Only
// the event loop calls it.
func (in *watchInput) unhandledFor(now time.Duration) time.Duration {
	if in.unhandledSince == 0 && now < in.lookedAt+checkInterval {
		return 0
	}
	waits := in.waits.Load()
	if in.unhandledWaits != waits { // what was found then is handed over
		in.unhandledSince, in.unhandledWaits = 0, waits
	}
	if !in.hasUnhandled(in.socket.Load()) {
		in.unhandledSince, in.lookedAt = 0, now
		return 0
	}
	if in.unhandledSince == 0 {
		in.unhandledSince = max(in.lookedAt, time.Duration(in.waitedAt.Load()))
	}
	return max(1, now-in.unhandledSince)
}

// letCatchUp gives the watch a moment to read and hand over what has come: after a stall of the process the event loop may run
// first. A watch that does not catch up is not waited for again until it has. Only the event loop calls it.
func (in *watchInput) letCatchUp() {
	for until := in.now() + maxCatchUpTime; in.unhandledFor(in.now()) > 0; time.Sleep(catchUpPoll) {
		if in.waitedInVain {
			return
		}
		in.waitedInVain = in.now() >= until
	}
	in.waitedInVain = false
}
