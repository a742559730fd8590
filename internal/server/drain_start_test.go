package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// testConfiguredListTimeout takes the place of configuredListTimeout in tests.
const testConfiguredListTimeout = 2 * time.Second

// lateFirstList is a way in which a new process gets its first endpoint list later than configuredListTimeout, although the
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
// configuredListTimeout, while the agent's answer without a backend of that list had arrived and was not handled yet.
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
			rig.beforeServe = func() {
				rig.server.discovery.firstListTimeouts = firstListTimeouts{ready: configuredListTimeout, configuredList: testConfiguredListTimeout}
				release = late.hold(rig)
			}
			rig.startAt(discovery)
			rig.noticedAt = time.Now() // the list of the agent counts as known from the start of the process
			t.Cleanup(func() { release() })
			if rig.isReadyWithin(testConfiguredListTimeout + time.Second) {
				rig.status(nodeRequest(2))
			}
			rig.requireDrainKept()
		})
	}
}

// TestNewProcessWaitsForSilentAgent guards against a new process that sends requests to a draining backend of the old list in its
// configuration while discovery is down: what the agent holds counts as known from the start of the process, however long the agent
// is silent. Requests must be rejected until it answers, and served after that.
func TestNewProcessWaitsForSilentAgent(t *testing.T) {
	const silence = 6 * time.Second // longer than a silent watch and the next one take
	rig := newDrainRig(t)
	answersAt := time.Now().Add(silence)
	discovery := startAgent(t, func(_ int, c net.Conn, _ string) {
		time.Sleep(time.Until(answersAt))
		io.WriteString(c, watchHead)
		writeChunk(c, drainsAForB(rig.draining.addr, rig.other))
	})
	rig.noticedAt = time.Now()
	rig.startAt(discovery)
	for id := 1; time.Now().Before(answersAt); id++ {
		if status := rig.status(nodeRequest(id)); status != 503 && time.Now().Before(answersAt) {
			t.Fatalf("request %d during the silence: %d", id, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !rig.isReadyWithin(firstListReadyTimeout - silence) {
		t.Error("not ready after the agent's answer")
	}
	rig.requireServedBy(9999, "b")
	rig.requireDrainKept()
}
