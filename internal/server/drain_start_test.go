package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// lateFirstList is a way in which a new process gets its first endpoint list later than firstEndpointsTimeout, although the
// discovery agent has the list from the start of the process and answers at once.
type lateFirstList struct {
	name string
	// hold blocks the delivery of the list until release is called. It is called before the instance runs.
	hold func(rig *drainRig) (release func())
}

func lateFirstLists() []lateFirstList {
	return []lateFirstList{
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

// firstList is a full list with backend b up and without a. Its third entry can't be parsed, which is logged.
const firstList = `{"seq":9,"whole":true,"hosts":[{"host":"c","dial":7},{"host":"b","dial":"%s","health":"active","share":1}]}`

// TestNewProcessSendsNothingToRemovedBackend guards against a new process that used the list in its configuration after
// firstEndpointsTimeout, while the agent's answer without a backend of that list had arrived and was not handled yet.
func TestNewProcessSendsNothingToRemovedBackend(t *testing.T) {
	for _, late := range lateFirstLists() {
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
			rig.noticedAt = time.Now() // the list of the agent counts as known from the start of the process
			t.Cleanup(func() { release() })
			if rig.isReadyWithin(firstEndpointsTimeout + time.Second) {
				rig.status(nodeRequest(2))
			}
			rig.requireDrainKept()
		})
	}
}
