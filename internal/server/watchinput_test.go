package server

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestWatchReadsWhatCameBeforeItsDeadline guards against a lost notice: the read deadline ended a watch whose goroutine ran late,
// although a notice had arrived before. The notice then no longer counted as unread, either.
func TestWatchReadsWhatCameBeforeItsDeadline(t *testing.T) {
	const notice = "notice"
	input := watchInput{}
	input.start(func() time.Duration { return time.Hour })
	socket, discovery := newSocketPair(t)
	input.socket.Store(socket)
	discovery.Write([]byte(notice))
	waitReadable(t, socket)
	socket.conn.SetReadDeadline(time.Now().Add(-time.Millisecond))
	if b, err := input.read(socket); string(b) != notice || err != nil {
		t.Errorf("%q, %v, want %q", b, err, notice)
	}
}

// TestUnreadBacklogIsAsOldAsItsFirstByte checks the age of unread data on a watch that reads more slowly than discovery writes and
// falls further and further behind. Each part that it read, and each that arrived, made the unread data look new.
func TestUnreadBacklogIsAsOldAsItsFirstByte(t *testing.T) {
	const (
		parts    = 6
		interval = 30 * time.Millisecond
		slack    = 20 * time.Millisecond // for the kernel's clock ticks and the scheduler
	)
	started := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(started) }
	input := watchInput{}
	input.start(now)
	socket, discovery := newSocketPair(t)
	input.socket.Store(socket)
	discovery.Write(make([]byte, parts*readSize)) // the notice is its last byte
	waitReadable(t, socket)
	input.unhandledFor(now()) // an attempt begins when the data arrives
	for range parts - 1 {
		time.Sleep(interval)
		discovery.Write([]byte("\n"))
		input.unhandledFor(now())
		input.read(socket)
	}
	if unread, least := input.unhandledFor(now()), (parts-1)*interval-slack; unread < least {
		t.Errorf("unread for %v, want %v at least", unread, least)
	}
}

// hookedConn is a connection with hooks before and after each use of its descriptor.
type hookedConn struct {
	syscall.RawConn
	before, after func()
}

func (c *hookedConn) Control(use func(fd uintptr)) error {
	c.run(c.before)
	defer c.run(c.after)
	return c.RawConn.Control(use)
}

func (c *hookedConn) Read(use func(fd uintptr) bool) error {
	c.run(c.before)
	defer c.run(c.after)
	return c.RawConn.Read(use)
}

// run calls a hook. Both hooks are disabled meanwhile.
func (c *hookedConn) run(hook func()) {
	if hook == nil {
		return
	}
	before, after := c.before, c.after
	c.before, c.after = nil, nil
	hook()
	c.before, c.after = before, after
}

// startUnreadWatch returns a watch on which a notice has arrived and is unread.
func startUnreadWatch(t *testing.T, now func() time.Duration) (*watchInput, *socket, *net.TCPConn) {
	t.Helper()
	input := &watchInput{}
	input.start(now)
	socket, discovery := newSocketPair(t)
	input.socket.Store(socket)
	input.markCaughtUp(now())
	discovery.Write([]byte("notice"))
	waitReadable(t, socket)
	return input, socket, discovery
}

// TestNoticeBeingReadIsNotMissed guards against attempts that began for checkInterval because a check of the watch missed a notice:
// the notice had been taken from the socket while the watch was not yet marked as behind, or it was taken between the two steps
// of the check.
func TestNoticeBeingReadIsNotMissed(t *testing.T) {
	clock := time.Hour
	now := func() time.Duration { return clock }
	requireFound := func(t *testing.T, input *watchInput) {
		t.Helper()
		clock += checkInterval
		if input.unhandledFor(clock) == 0 {
			t.Error("the check finds nothing")
		}
	}
	t.Run("while the watch reads", func(t *testing.T) {
		input, socket, _ := startUnreadWatch(t, now)
		conn := &hookedConn{RawConn: socket.raw}
		conn.after = func() { requireFound(t, input) }
		socket.raw = conn
		input.read(socket)
		requireFound(t, input)
	})
	t.Run("while the event loop checks", func(t *testing.T) {
		input, socket, _ := startUnreadWatch(t, now)
		conn := &hookedConn{RawConn: socket.raw}
		conn.before = func() {
			input.read(socket)
		}
		socket.raw = conn
		requireFound(t, input)
	})
}

// TestNoticeBeforeHeartbeatIsNotNew guards against an unread notice that counted as new at the first check after a stall
// because a heartbeat had arrived after it.
func TestNoticeBeforeHeartbeatIsNotNew(t *testing.T) {
	const stall = 100 * time.Millisecond
	started := time.Now()
	input, _, discovery := startUnreadWatch(t, func() time.Duration { return time.Hour + time.Since(started) })
	time.Sleep(stall)
	discovery.Write([]byte("\n"))
	if unread := input.unhandledFor(input.now()); unread < stall {
		t.Errorf("unread for %v, want %v at least", unread, stall)
	}
}

// TestEndOfWatchCountsAsUnhandled guards against attempts at a draining backend while the goroutine of the watch is delayed: the watch
// had ended, no bytes were unread, and discovery's next change could not be heard.
func TestEndOfWatchCountsAsUnhandled(t *testing.T) {
	clock := time.Hour
	input := &watchInput{}
	input.start(func() time.Duration { return clock })
	socket, discovery := newSocketPair(t)
	input.socket.Store(socket)
	input.markCaughtUp(clock)
	discovery.Close()
	waitReadable(t, socket)
	clock += time.Minute
	if unhandled := input.unhandledFor(clock); unhandled < time.Minute {
		t.Errorf("unhandled for %v", unhandled)
	}
}

// TestFirstAnswerCountsFromLastDial guards against attempts at a draining backend by an instance that is late twice: its dial was due
// some time after discovery was back, and then the answer lay unread. Each of the two times alone was within half of the grace.
func TestFirstAnswerCountsFromLastDial(t *testing.T) {
	const wait, unread = 60 * time.Millisecond, 90 * time.Millisecond
	clock := time.Hour
	input := &watchInput{}
	input.start(func() time.Duration { return clock })
	input.markUnwatched(clock-time.Minute, clock)
	refusedAt := clock
	clock += wait
	socket, discovery := newSocketPair(t)
	input.socket.Store(socket)
	input.markWatched(clock, refusedAt)
	input.markCaughtUp(clock)
	input.unhandledFor(clock)
	discovery.Write([]byte("notice"))
	waitReadable(t, socket)
	clock += unread
	if unhandled := input.unhandledFor(clock); unhandled < wait+unread {
		t.Errorf("unhandled for %v, want %v at least", unhandled, wait+unread)
	}
	input.markAnswered()
	input.markCaughtUp(clock) // with a heartbeat behind the answer, unread
	if unhandled := input.unhandledFor(clock); unhandled > unread {
		t.Errorf("a heartbeat after the answer is unhandled for %v", unhandled)
	}
}
