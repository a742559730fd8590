package server

import (
	"strings"
	"testing"
	"time"
)

// lateInstance is a way in which an instance is late. run returns the channel of the status of its request, which is answered
// after the grace.
type lateInstance struct {
	name string
	run  func(rig *drainRig) (status <-chan int)
}

func lateInstances() []lateInstance {
	return []lateInstance{
		{"a request lies in the queue ahead of the notice, with an idle connection", func(rig *drainRig) <-chan int {
			rig.leaveIdleConnection()
			return requestAheadOfNotice(rig)
		}},
		{"a request lies in the queue ahead of the notice", requestAheadOfNotice},
		{"the end of a dial lies in the queue ahead of the notice", func(rig *drainRig) <-chan int {
			status, releaseConnected := rig.dialWhileHeld()
			rig.notify()
			waitQueued[endpointsUpdated](rig.serverRig)
			rig.waitPastGrace()
			releaseConnected()
			return status
		}},
		{"the end of a dial lies in one batch with the notice, far behind it", func(rig *drainRig) <-chan int {
			status, releaseBatch := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.serverRig)
			rig.notify()
			waitQueued[endpointsConfirmed](rig.serverRig)
			held, releaseConnected := rig.queueHold()
			rig.server.post(connected)
			releaseBatch()
			<-held
			rig.waitPastGrace()
			releaseConnected()
			return status
		}},
		{"the notice is handled late, and half a grace later a dial ends", func(rig *drainRig) <-chan int {
			status, releaseNotice := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.serverRig)
			rig.notify()
			waitQueued[endpointsConfirmed](rig.serverRig)
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

// requestAheadOfNotice blocks the event loop past the grace, with a request and then a notice in its queue.
func requestAheadOfNotice(rig *drainRig) <-chan int {
	release := rig.hold()
	status := rig.sendWhileHeld(2)
	rig.notify()
	waitQueued[endpointsConfirmed](rig.serverRig)
	rig.waitPastGrace()
	release()
	return status
}

// leaveIdleConnection leaves an idle connection to backend a in the pool, and returns the server's side of it.
func (rig *drainRig) leaveIdleConnection() *backendConn {
	rig.Helper()
	release := rig.hold()
	status := rig.sendWhileHeld(1)
	held, releaseConnected := rig.queueHold()
	release()
	<-held
	conn := waitQueued[backendConnected](rig.serverRig).conn.Owner.(*backendConn)
	releaseConnected()
	if s := <-status; s != 200 {
		rig.Fatalf("the first request: %d", s)
	}
	rig.waitForLoop()
	time.Sleep(time.Duration(rig.server.cfg.Limits.ReuseDelay)) // until the connection may be reused
	return conn
}

// holdWatch blocks the watch of discovery at the log record of a message that it has queued.
func (rig *drainRig) holdWatch() (release func()) {
	held, release := rig.log.holdAt("list of boxes")
	rig.Cleanup(release)
	writeChunk(rig.watch, `{"seq":7,"whole":false,"hosts":[]}`+"\n")
	rig.waitHeld(held)
	return release
}

// TestLateInstanceSendsNothingToDrainingBackend guards against attempts of a late instance at a backend that has been draining for
// more than its grace. While the message that led to the attempt was handled, the notice was behind others in the queue, or
// unread, or the clock had been read long before.
func TestLateInstanceSendsNothingToDrainingBackend(t *testing.T) {
	for _, late := range lateInstances() {
		for _, shutdown := range []bool{false, true} {
			requireDrainKept(t, late.name, shutdown, late.run)
		}
	}
}

// requireDrainKept runs a case as a subtest with its own instance, during a shutdown if that is set. No request may reach the
// backend after its grace, and the request of the case must be answered.
func requireDrainKept(t *testing.T, name string, shutdown bool, run func(rig *drainRig) (status <-chan int)) {
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
