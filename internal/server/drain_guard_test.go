package server

import (
	"testing"
)

// lateNotices returns ways in which an instance is late, in addition to lateInstances. Each covers a guard that no other test
// covers.
func lateNotices() []lateInstance {
	return []lateInstance{
		{"the notice comes while a message is handled, with the end of a dial behind it in the batch", func(rig *drainRig) <-chan int {
			status, releaseFirst := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.serverRig)
			held, release := rig.queueHold()
			rig.server.post(connected)
			releaseFirst()
			<-held
			rig.notify()
			waitQueued[endpointsConfirmed](rig.serverRig)
			rig.waitPastGrace()
			release()
			return status
		}},
		{"the notice is read late, and a dial ends half a grace after it came", func(rig *drainRig) <-chan int {
			status, releaseLoop := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.serverRig)
			releaseLoop()
			releaseWatch := rig.holdWatch()
			rig.notify()
			rig.waitPastGrace()
			releaseWatch()
			rig.waitForLog("endpoints departed")
			rig.waitForLoop()
			rig.server.post(connected)
			return status
		}},
	}
}

// TestLateNoticeKeepsDrainGrace guards against attempts at a draining backend after its grace. A notice was handled only at the
// end of a batch, or its grace counted from when it was read.
func TestLateNoticeKeepsDrainGrace(t *testing.T) {
	for _, late := range lateNotices() {
		for _, shutdown := range []bool{false, true} {
			requireDrainKept(t, late.name, shutdown, late.run)
		}
	}
}
