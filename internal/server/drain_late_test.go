package server

import (
	"strings"
	"testing"
	"time"
)

// lateInstance is a way in which an instance is late. Each ends with the answer to its requests, after the grace.
type lateInstance struct {
	name string
	run  func(rig *drainRig) (answered <-chan int)
}

func lateInstances() []lateInstance {
	return []lateInstance{
		{"a request lies in the queue ahead of the notice, a connection rests", func(rig *drainRig) <-chan int {
			rig.restConnection()
			return requestAheadOfNotice(rig)
		}},
		{"a request lies in the queue ahead of the notice", requestAheadOfNotice},
		{"the end of a dial lies in the queue ahead of the notice", func(rig *drainRig) <-chan int {
			status, releaseConnected := rig.dialWhileHeld()
			rig.notify()
			waitQueued[endpointsUpdated](rig.gateway)
			rig.waitPastGrace()
			releaseConnected()
			return status
		}},
		{"the end of a dial lies in one batch with the notice, far behind it", func(rig *drainRig) <-chan int {
			status, releaseBatch := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.gateway)
			rig.notify()
			waitQueued[endpointsConfirmed](rig.gateway)
			held, releaseConnected := rig.holdQueued()
			rig.server.post(connected)
			releaseBatch()
			<-held
			rig.waitPastGrace()
			releaseConnected()
			return status
		}},
		{"the notice is handled late, and half a grace later a dial ends", func(rig *drainRig) <-chan int {
			status, releaseNotice := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.gateway)
			rig.notify()
			waitQueued[endpointsConfirmed](rig.gateway)
			time.Sleep(time.Until(rig.noticedAt.Add(testDrainGrace * 17 / 20)))
			releaseNotice()
			rig.waitForLoop()
			rig.waitPastGrace()
			rig.server.post(connected)
			return status
		}},
		{"the notice lies unread in the watch's socket", func(rig *drainRig) <-chan int {
			release := rig.holdWatch()
			rig.notify()
			rig.waitPastGrace()
			status := rig.send(2)
			answered := make(chan int, 1)
			answered <- <-status
			release()
			return answered
		}},
	}
}

// requestAheadOfNotice holds the event loop up with a request and then a notice in its queue.
func requestAheadOfNotice(rig *drainRig) <-chan int {
	release := rig.hold()
	status := rig.sendWhileHeld(2)
	rig.notify()
	waitQueued[endpointsConfirmed](rig.gateway)
	rig.waitPastGrace()
	release()
	return status
}

// restConnection leaves a connection to backend a at rest, and returns the runtime's side of it.
func (rig *drainRig) restConnection() *backendConn {
	rig.Helper()
	release := rig.hold()
	status := rig.sendWhileHeld(1)
	held, releaseConnected := rig.holdQueued()
	release()
	<-held
	conn := waitQueued[backendConnected](rig.gateway).conn.Owner.(*backendConn)
	releaseConnected()
	if s := <-status; s != 200 {
		rig.Fatalf("the request before: %d", s)
	}
	rig.waitForLoop()
	time.Sleep(time.Duration(rig.server.cfg.Limits.ReuseDelay)) // as long as it is not used again
	return conn
}

// holdWatch holds the watch of discovery up, by the log record of a message that it has handed over.
func (rig *drainRig) holdWatch() (release func()) {
	held, release := rig.log.holdAt("list of boxes")
	rig.Cleanup(release)
	writeChunk(rig.watch, `{"seq":7,"whole":false,"hosts":[]}`+"\n")
	rig.waitHeld(held)
	return release
}

// TestLateInstanceSendsNothingToDrainingBackend: an instance that was late began attempts at a backend that had been
// draining for more than its grace: the notice lay behind others in the queue, or unread, or the clock had been read long
// before, while what leads to an attempt was handled.
func TestLateInstanceSendsNothingToDrainingBackend(t *testing.T) {
	for _, late := range lateInstances() {
		for _, shutdown := range []bool{false, true} {
			requireDrainKept(t, late.name, shutdown, late.run)
		}
	}
}

// requireDrainKept runs a case against an instance of its own, which shuts down before it if that is wanted. No request may go to
// the backend past its grace, and the case's request gets an answer.
func requireDrainKept(t *testing.T, name string, shutdown bool, run func(rig *drainRig) (answered <-chan int)) {
	t.Helper()
	if shutdown {
		name += ", in a shutdown"
	}
	t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
		t.Parallel()
		rig := startDrainRig(t)
		if shutdown {
			rig.shutDown()
		}
		status := <-run(rig)
		rig.requireDrainKept()
		if status != 200 && status != 503 {
			t.Errorf("the request's answer: %d", status)
		}
	})
}
