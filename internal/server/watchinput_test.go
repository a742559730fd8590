package server

import (
	"syscall"
	"testing"
	"time"
)

// TestWatchReadsWhatCameBeforeItsDeadline: a watch whose goroutine ran late was ended by its read deadline, although a notice
// had come before it: the notice was lost, and with it that it lay unread.
func TestWatchReadsWhatCameBeforeItsDeadline(t *testing.T) {
	const notice = "notice"
	input := watchInput{now: func() time.Duration { return time.Hour }}
	socket, discovery := newSocketPair(t)
	input.socket.Store(socket)
	discovery.Write([]byte(notice))
	waitReadable(t, socket)
	socket.conn.SetReadDeadline(time.Now().Add(-time.Millisecond))
	if b, err := input.read(socket); string(b) != notice || err != nil {
		t.Errorf("%q, %v, want %q", b, err, notice)
	}
}

// TestUnreadBacklogIsAsOldAsItsFirstByte: a watch that reads more slowly than discovery writes lay behind by more and more, and
// each part that it read, and each that came, made what lay unread look new.
func TestUnreadBacklogIsAsOldAsItsFirstByte(t *testing.T) {
	const (
		parts    = 6
		interval = 30 * time.Millisecond
		slack    = 20 * time.Millisecond // the kernel's ticks, and the scheduler
	)
	started := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(started) }
	input := watchInput{now: now}
	socket, discovery := newSocketPair(t)
	input.socket.Store(socket)
	discovery.Write(make([]byte, parts*readSize)) // the notice is its last byte
	waitReadable(t, socket)
	input.unhandledFor(now()) // an attempt begins as it comes
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

// connBeforeControl is a connection of which something is done before the next use of its descriptor that does not wait.
type connBeforeControl struct {
	syscall.RawConn
	before func()
}

func (c *connBeforeControl) Control(use func(fd uintptr)) error {
	if before := c.before; before != nil {
		c.before = nil
		before()
	}
	return c.RawConn.Control(use)
}

// TestNoticeBeingReadIsNotMissed: the event loop looked at the watch when a notice had been taken from the connection and was
// not yet noted as read, or was taken between the two questions of the look. It found nothing, and attempts began for
// checkInterval.
func TestNoticeBeingReadIsNotMissed(t *testing.T) {
	const notice = "notice"
	const clock = time.Hour
	watch := func(t *testing.T) (*watchInput, *socket) {
		input := &watchInput{now: func() time.Duration { return clock }}
		socket, discovery := newSocketPair(t)
		input.socket.Store(socket)
		discovery.Write([]byte(notice))
		waitReadable(t, socket)
		return input, socket
	}
	requireFound := func(t *testing.T, input *watchInput) {
		t.Helper()
		if input.unhandledFor(clock) == 0 {
			t.Error("a look finds nothing")
		}
	}
	t.Run("while the watch notes the read", func(t *testing.T) {
		input, socket := watch(t)
		input.now = func() time.Duration { // asked as the read is noted
			requireFound(t, input)
			return clock
		}
		input.read(socket)
		requireFound(t, input)
	})
	t.Run("while the event loop looks", func(t *testing.T) {
		input, socket := watch(t)
		socket.raw = &connBeforeControl{RawConn: socket.raw, before: func() { input.read(socket) }}
		requireFound(t, input)
	})
}
