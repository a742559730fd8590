package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startedLate is a way in which a new process has the first endpoint list later than firstEndpointsTimeout, although
// discovery's agent holds it from the first moment of the process and replies at once.
type startedLate struct {
	name string
	// hold begins before the instance runs; release lets the list through.
	hold func(rig *drainRig) (release func())
}

func startsLate() []startedLate {
	return []startedLate{
		{"the watch is not begun", func(rig *drainRig) func() {
			rig.server.discovery.mu.Lock()
			return rig.server.discovery.mu.Unlock
		}},
		{"the list is read and not handed over", func(rig *drainRig) func() {
			_, release := rig.log.holdAt("list of boxes: an entry is not taken")
			return release
		}},
	}
}

// firstList names backend b as up, and leaves a out; an entry that can't be read is logged.
const firstList = `{"seq":9,"whole":true,"hosts":[{"host":"c","dial":7},{"host":"b","dial":"%s","health":"active","share":1}]}`

// TestNewProcessSendsNothingToRemovedBackend: a new process went by the list in its configuration once it had waited for
// firstEndpointsTimeout, while the agent's reply, by which a backend had gone, was there and not handled yet.
func TestNewProcessSendsNothingToRemovedBackend(t *testing.T) {
	for _, late := range startsLate() {
		t.Run(strings.ReplaceAll(late.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			rig := newDrainRig(t)
			discovery := startAgent(t, func(_ int, c net.Conn, _ string) {
				io.WriteString(c, watchHead)
				writeChunk(c, fmt.Sprintf(firstList, rig.other))
			})
			var release func()
			rig.beforeServe = func() { release = late.hold(rig) }
			rig.startAt(discovery)
			rig.noticedAt = time.Now() // what the agent holds counts as told from the first moment of the process
			t.Cleanup(func() { release() })
			if rig.isReadyWithin(firstEndpointsTimeout + time.Second) {
				rig.status(nodeRequest(2))
			}
			rig.requireDrainKept()
		})
	}
}
