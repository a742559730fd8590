package server

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"sandyard/decision"
	"sandyard/proxy"
)

// unseenNotice is a way in which a notice reaches the instance's machine and is not handled before an attempt begins. run returns
// the channel of the status of its request, which is answered after the grace.
type unseenNotice struct {
	name     string
	shutdown bool // only during a shutdown
	run      func(rig *drainRig) (status <-chan int)
}

func unseenNotices() []unseenNotice {
	return []unseenNotice{
		{"the notice was read with the message before it, which is still being handled", false, func(rig *drainRig) <-chan int {
			held, release := rig.log.holdAt("list of boxes")
			rig.Cleanup(release)
			writeChunk(rig.watch, `{"seq":7,"whole":false,"hosts":[]}`+"\n"+drainsAForB(rig.draining.addr, rig.other))
			rig.noticedAt = time.Now()
			rig.waitHeld(held)
			rig.waitPastGrace()
			return rig.sendAndRelease(release)
		}},
		{"a heartbeat comes behind the unread notice, and a dial ends after both are read", false, func(rig *drainRig) <-chan int {
			status, releaseLoop := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.serverRig)
			releaseLoop()
			releaseWatch := rig.holdWatch()
			rig.notify()
			rig.waitPastGrace()
			writeChunk(rig.watch, "\n")
			releaseWatch()
			rig.waitForLog("endpoints departed")
			rig.waitForLoop()
			rig.server.post(connected)
			return status
		}},
		{"a heartbeat comes behind the unread notice, and then the first request", false, func(rig *drainRig) <-chan int {
			release := rig.holdWatch()
			rig.notify()
			rig.waitPastGrace()
			writeChunk(rig.watch, "\n")
			return rig.sendAndRelease(release)
		}},
		{"discovery is moved while the notice lies unread", false, func(rig *drainRig) <-chan int {
			release := rig.holdWatch()
			rig.notify()
			moved := startAgent(rig.T, func(_ int, c net.Conn, _ string) {
				io.WriteString(c, watchHead)
				writeChunk(c, drainsAForB(rig.draining.addr, rig.other))
			})
			rig.server.SetAddresses(moved, "")
			rig.waitPastGrace()
			return rig.sendAndRelease(release)
		}},
		{"the log of an attempt holds up its first byte", true, func(rig *drainRig) <-chan int {
			held, release := rig.log.holdAt("attempt during shutdown")
			rig.Cleanup(release)
			status := rig.send(2)
			rig.waitHeld(held)
			rig.notify()
			rig.waitPastGrace()
			release()
			return status
		}},
		{"the notice is queued while the message that begins the attempt is handled", false, func(rig *drainRig) <-chan int {
			rig.leaveIdleConnection()
			held, release := rig.holdDecision()
			status := rig.send(2)
			<-held
			rig.notify()
			waitQueued[endpointsConfirmed](rig.serverRig)
			rig.waitPastGrace()
			release()
			return status
		}},
	}
}

// sendAndRelease sends a request, waits for its answer and calls release.
func (rig *drainRig) sendAndRelease(release func()) <-chan int {
	rig.Helper()
	answered := make(chan int, 1)
	answered <- <-rig.send(2)
	release()
	return answered
}

// holdDecision blocks the event loop between the decision on the next request and its effects.
func (rig *drainRig) holdDecision() (held <-chan struct{}, release func()) {
	holding, released := make(chan struct{}), make(chan struct{})
	hold := sync.OnceFunc(func() {
		close(holding)
		<-released
	})
	set := make(chan struct{})
	rig.server.post(inspection(func(instance *proxy.Instance, _ time.Duration) {
		instance.RecordDecision = func(step proxy.DecisionStep) {
			if _, ok := step.Event.(decision.RequestArrived); ok {
				hold()
			}
		}
		close(set)
	}))
	<-set
	release = sync.OnceFunc(func() { close(released) })
	rig.Cleanup(release)
	return holding, release
}

// TestUnseenNoticeKeepsDrainGrace guards against attempts at a draining backend after the grace. A notice that had reached the
// instance's machine was neither unread on the watch's socket nor handled, or the time of its arrival was lost.
func TestUnseenNoticeKeepsDrainGrace(t *testing.T) {
	for _, unseen := range unseenNotices() {
		for _, shutdown := range []bool{false, true} {
			if unseen.shutdown && !shutdown {
				continue
			}
			requireDrainKept(t, unseen.name, shutdown, unseen.run)
		}
	}
}
