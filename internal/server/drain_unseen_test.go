package server

import (
	"strings"
	"testing"
)

// unseenNotice is a way in which a notice has reached the instance's machine and is not taken in before an attempt begins.
// Each ends with the answer to its request, after the grace.
type unseenNotice struct {
	name     string
	shutdown bool // in a shutdown only
	run      func(rig *drainRig) (answered <-chan int)
}

func unseenNotices() []unseenNotice {
	return []unseenNotice{
		{"the log of an attempt holds up its first byte", true, func(rig *drainRig) <-chan int {
			held, release := rig.log.holdAt("attempt during shutdown")
			rig.Cleanup(release)
			status := rig.send(2)
			<-held
			rig.notify()
			rig.waitPastGrace()
			release()
			return status
		}},
	}
}

// TestUnseenNoticeKeepsDrainGrace: a notice came between the check of an attempt and its first byte, and the attempt at the
// draining backend began after the grace.
func TestUnseenNoticeKeepsDrainGrace(t *testing.T) {
	for _, unseen := range unseenNotices() {
		for _, shutdown := range []bool{false, true} {
			if unseen.shutdown && !shutdown {
				continue
			}
			name := unseen.name
			if shutdown {
				name += ", in a shutdown"
			}
			t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
				t.Parallel()
				rig := startDrainRig(t)
				if shutdown {
					rig.shutDown()
				}
				status := <-unseen.run(rig)
				rig.requireDrainKept()
				if status != 200 && status != 503 {
					t.Errorf("the request's answer: %d", status)
				}
			})
		}
	}
}
