package server

import (
	"sync/atomic"
	"time"

	"sandyard/internal/tcpinfo"
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
	// behindSince is since when (time.Duration) the goroutine has been behind: it has read something, and has not come back
	// to wait for more with nothing left unread. 0: it waits.
	behindSince atomic.Int64
	waits       atomic.Uint64 // how often it came to wait

	// Of the event loop, which looks for what waits.
	unhandledSince time.Duration // since when something does; 0: the last look found nothing
	unhandledWaits uint64        // waits at that time
	lookedAt       time.Duration // when the last look found nothing
	waitedInVain   bool          // the watch did not catch up within maxCatchUpTime, and has not since then
}

// wait notes that the goroutine waits for discovery: for a connection, for bytes, or until it tries again. All that it has
// read before is handed over.
func (in *watchInput) wait() {
	in.waits.Add(1)
	in.behindSince.Store(0)
}

// resume notes that it has something to do.
func (in *watchInput) resume() { in.behindSince.CompareAndSwap(0, int64(in.now())) }

// read waits for bytes, until the read deadline at most. Where that passes, bytes that came before are read all the same: a
// process that was held up may find both.
//
// The goroutine resumes before it takes the bytes, and may be held up in between: at no time are they neither unread nor noted.
func (in *watchInput) read(socket *socket) ([]byte, error) {
	if !hasUnreadBytes(socket) {
		in.wait()
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

// check returns since when the goroutine of the watch has been behind, and whether bytes lie unread on its socket: 0 and false,
// discovery has nothing to say. It looks for bytes first: what is taken from the socket after that is noted by then.
func (in *watchInput) check(socket *socket) (behindSince time.Duration, unread bool) {
	unread = hasUnreadBytes(socket)
	return time.Duration(in.behindSince.Load()), unread
}

// isSilent reports whether discovery has nothing to say: its watch waits, and nothing lies unread.
func (in *watchInput) isSilent() bool {
	behindSince, unread := in.check(in.socket.Load())
	return behindSince == 0 && !unread
}

// unhandledFor returns for how long something of discovery has waited to be read or handed over; 0: nothing does. Where more
// came behind it, the kernel does not tell when the first of it came: it counts from when it was first found, or read. Only
// the event loop calls it.
func (in *watchInput) unhandledFor(now time.Duration) time.Duration {
	if in.unhandledSince == 0 && now < in.lookedAt+checkInterval {
		return 0
	}
	waits, socket := in.waits.Load(), in.socket.Load()
	if in.unhandledWaits != waits { // what was found then is handed over
		in.unhandledSince, in.unhandledWaits = 0, waits
	}
	since, unread := in.check(socket)
	if since == 0 && !unread {
		in.unhandledSince, in.lookedAt = 0, now
		return 0
	}
	if since == 0 {
		since = now - tcpinfo.InputAge(socket.raw)
	}
	if in.unhandledSince == 0 || since < in.unhandledSince {
		in.unhandledSince = since
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
