package server

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestNothingIsSentWithoutDials guards against attempts at a draining backend while the dials of discovery are delayed: with no watch
// open and no dial for longer than half of the drain grace, the instance can't know the endpoint list.
func TestNothingIsSentWithoutDials(t *testing.T) {
	rig := startDrainRig(t)
	input := &rig.server.discovery.input
	for _, c := range []struct {
		name   string
		mark   func(now time.Duration)
		status int
	}{
		{"no watch for a minute, and a dial now", func(now time.Duration) { input.markUnwatched(now-time.Minute, now) }, 200},
		{"no dial for half of the grace", func(now time.Duration) { input.markUnwatched(now, now-testDrainGrace/2) }, 503},
		{"a watch is open", func(now time.Duration) { input.markWatched(now, 0) }, 200},
	} {
		c.mark(rig.server.now())
		if status := rig.status(nodeRequest(int(time.Now().UnixNano() & 0xffffffff))); status != c.status {
			t.Errorf("%s: %d, want %d", c.name, status, c.status)
		}
	}
}

// TestDialThatLacksDescriptorsShowsNothing checks that a dial which fails for lack of a descriptor does not count as one that has
// found that discovery can't be reached, as a refused one does.
func TestDialThatLacksDescriptorsShowsNothing(t *testing.T) {
	watch := startDrainRig(t).server.discovery
	for failure, shows := range map[syscall.Errno]bool{syscall.ECONNREFUSED: true, syscall.EMFILE: false, syscall.EADDRNOTAVAIL: false} {
		dialer := newWatchDialer(watch, "127.0.0.1:1")
		before := dialer.probedAt
		dial := &watchDial{beganAt: before + time.Second, probedBefore: before}
		dialer.probedAt = dial.beganAt
		dialer.handleResult(&watchDials{}, watchDialResult{dial: dial, err: fmt.Errorf("dial: %w", os.NewSyscallError("socket", failure))})
		if got := dialer.probedAt != before; got != shows {
			t.Errorf("%v: shows that discovery can't be reached: %v", failure, got)
		}
	}
}
