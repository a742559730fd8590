package server

import (
	"sync/atomic"
	"syscall"
	"time"
)

// watchInput tells whether what discovery has sent waits to be read: on a busy machine, or while its goroutine is held up, the
// watch may lie behind what has reached this machine. The goroutine of the watch notes what it does; others ask.
type watchInput struct {
	socket  atomic.Pointer[socket] // of the watch that stands; nil: none does
	reads   atomic.Uint64          // how often something was read
	waiting atomic.Bool            // the goroutine waits for discovery: for a connection, for bytes, or until it tries again

	// Of the event loop, which finds unread bytes when attempts begin.
	unreadSince time.Duration // since when they lie there; 0: the last time there were none
	unreadReads uint64        // reads at that time
}

// read reads from a watch, and notes it.
func (in *watchInput) read(socket *socket) ([]byte, error) {
	in.waiting.Store(true)
	b, err := socket.read()
	in.waiting.Store(false)
	in.reads.Add(1)
	return b, err
}

// hasUnread reports whether bytes lie unread on a connection; nil: there is none. It does not wait.
func hasUnread(socket *socket) bool {
	if socket == nil {
		return false
	}
	found := false
	socket.raw.Control(func(fd uintptr) { // an error: the watch has ended
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = n > 0
	})
	return found
}

// isSilent reports whether discovery has nothing to say: its watch waits, and nothing lies unread.
func (in *watchInput) isSilent() bool { return in.waiting.Load() && !hasUnread(in.socket.Load()) }

// unreadFor returns for how long bytes of discovery have lain unread; 0: none do. Only the event loop calls it.
func (in *watchInput) unreadFor(now time.Duration) time.Duration {
	reads, socket := in.reads.Load(), in.socket.Load()
	if !hasUnread(socket) {
		in.unreadSince = 0
		return 0
	}
	arrived := now - inputAge(socket.raw)
	if in.unreadSince == 0 || in.unreadReads != reads {
		in.unreadSince, in.unreadReads = arrived, reads
	}
	in.unreadSince = min(in.unreadSince, arrived)
	return now - in.unreadSince
}
