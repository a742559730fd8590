package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// TestOlderListKeepsDepartedBackendOut checks messages from a discovery that is behind and repeats an older version after a
// backend has departed. The backend stays out of use after changes of an older version, and after an older full list in which it
// is missing or draining. The platform's pages do not define the case of an older full list that names it as active.
func TestOlderListKeepsDepartedBackendOut(t *testing.T) {
	for name, older := range map[string]string{
		"older changes name it as active":  `{"seq":7,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"active","share":1}]}%.0[2]s`,
		"an older whole list lacks it":     `{"seq":7,"whole":true,"hosts":[{"host":"b","dial":"%[2]s","health":"active","share":1}]}%.0[1]s`,
		"an older whole list has it drain": `{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"%[1]s","health":"leaving","share":1},{"host":"b","dial":"%[2]s","health":"active","share":1}]}`,
	} {
		for departure, notice := range departures {
			t.Run(departure+", "+name, func(t *testing.T) {
				t.Parallel()
				rig := startDrainRig(t)
				status, release := rig.dialWhileHeld()
				connected := takeQueued[backendConnected](rig.serverRig)
				release()
				rig.write(fmt.Sprintf(notice, rig.draining.addr, rig.other))
				rig.waitForLog("seq=8")
				writeChunk(rig.watch, fmt.Sprintf(older, rig.draining.addr, rig.other))
				rig.waitForLog("seq=7")
				rig.waitForLoop()
				rig.waitPastGrace()
				rig.server.post(connected)
				rig.requireAnswer(200, status)
				rig.requireAnswer(200, rig.send(3))
				rig.requireDrainKept()
			})
		}
	}
}

// repeatedNotices are messages in which discovery names a departed backend again.
var repeatedNotices = map[string]string{
	"drains still":       `{"seq":9,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"leaving","share":2}]}%.0[2]s`,
	"is removed now":     `{"seq":9,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"left","share":1}]}%.0[2]s`,
	"is in a whole list": `{"seq":9,"whole":true,"hosts":[{"host":"a","dial":"%[1]s","health":"leaving","share":1},{"host":"b","dial":"%[2]s","health":"active","share":1}]}`,
}

// TestRepeatedNoticeDoesNotRestartGrace checks that a further message about a draining backend does not restart the drain grace
// for an attempt that waits for its connection.
func TestRepeatedNoticeDoesNotRestartGrace(t *testing.T) {
	for name, repetition := range repeatedNotices {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := startDrainRig(t)
			status, release := rig.dialWhileHeld()
			connected := takeQueued[backendConnected](rig.serverRig)
			release()
			rig.notify()
			rig.waitForLog("seq=8")
			rig.waitPastGrace()
			writeChunk(rig.watch, fmt.Sprintf(repetition, rig.draining.addr, rig.other))
			rig.waitForLog("seq=9")
			rig.waitForLoop()
			rig.server.post(connected)
			rig.requireAnswer(200, status)
			rig.requireDrainKept()
		})
	}
}

// replacementNotices are changes by which backend a becomes another process. %[1]s is the address of the old process, %[2]s
// that of the new one.
var replacementNotices = map[string]string{
	"at another address":                        `{"seq":9,"whole":false,"hosts":[{"host":"a","dial":"%[2]s","health":"active","share":1}]}%.0[1]s`,
	"at another address, in a whole list":       `{"seq":9,"whole":true,"hosts":[{"host":"a","dial":"%[2]s","health":"active","share":1}]}%.0[1]s`,
	"at another address, with its start's time": `{"seq":9,"whole":false,"hosts":[{"host":"a","dial":"%[2]s","health":"active","share":1,"born_ms":1700000000000}]}%.0[1]s`,
}

// TestBackendReturnsAsAnotherProcessWhileItDrains checks a backend that returns under the same name as another process while the
// old one drains. An attempt that was decided on for the old process must not reach it late, and connections to the old process
// must not be used.
func TestBackendReturnsAsAnotherProcessWhileItDrains(t *testing.T) {
	for name, replacement := range replacementNotices {
		for departure, notice := range departures {
			for _, shutdown := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s, shutdown=%v", departure, name, shutdown), func(t *testing.T) {
					t.Parallel()
					successor := startNamedBackend(t, "a again") // started first, so that it ends after the instance
					rig := startDrainRig(t)
					if shutdown {
						rig.shutDown()
					}
					status, release := rig.dialWhileHeld()
					connected := takeQueued[backendConnected](rig.serverRig)
					release()
					rig.write(fmt.Sprintf(notice, rig.draining.addr, rig.other))
					rig.waitForLog("seq=8")
					writeChunk(rig.watch, fmt.Sprintf(replacement, rig.draining.addr, successor))
					rig.waitForLog("seq=9")
					rig.waitForLoop()
					rig.waitPastGrace()
					rig.server.post(connected)
					rig.requireAnswer(200, status)
					rig.requireAnswer(200, rig.send(3))
					rig.requireDrainKept()
				})
			}
		}
	}
}

// failingWatch is a way in which the watch fails just before SIGTERM.
type failingWatch struct {
	name string
	// fail makes the watch fail. A notice that the watch misses counts as known to the instance once bound has passed.
	fail  func(rig *drainRig, discovery *failingDiscovery)
	bound time.Duration
}

// failingDiscovery is a discovery agent whose first watch stays silent after its first heartbeat, and whose next watch begins with
// the notice.
type failingDiscovery struct {
	addr    string
	watches chan net.Conn // receives the first one
}

func (rig *drainRig) startFailingDiscovery() *failingDiscovery {
	discovery := &failingDiscovery{watches: make(chan net.Conn, 1)}
	discovery.addr = startAgent(rig.T, func(n int, c net.Conn, _ string) {
		io.WriteString(c, watchHead)
		if n > 1 {
			writeChunk(c, drainsAForB(rig.draining.addr, rig.other))
			return
		}
		writeChunk(c, "\n")
		discovery.watches <- c
	})
	return discovery
}

func failingWatches() []failingWatch {
	return []failingWatch{
		{"falls silent", func(*drainRig, *failingDiscovery) {}, 6 * time.Second},
		{"breaks", func(_ *drainRig, discovery *failingDiscovery) { (<-discovery.watches).Close() }, 6 * time.Second},
		{"is moved to where dials hang", func(rig *drainRig, _ *failingDiscovery) {
			slow := startSlowListener(rig.T, func(c net.Conn, _ *bufio.Reader) {
				io.WriteString(c, watchHead)
				writeChunk(c, drainsAForB(rig.draining.addr, rig.other))
				io.Copy(io.Discard, c)
			})
			rig.server.SetAddresses(slow.addr, "")
			opens := time.AfterFunc(watchDialTimeout*3/2, slow.open)
			rig.Cleanup(func() { opens.Stop() })
		}, 4 * time.Second},
	}
}

// TestWatchThatFailsBeforeShutdown checks a watch that fails just before SIGTERM, while discovery announces a drain. A request in
// flight keeps the instance running. The instance must handle the notice that the watch missed before it counts as known, and
// send no retry to the backend.
func TestWatchThatFailsBeforeShutdown(t *testing.T) {
	for _, failing := range failingWatches() {
		t.Run(failing.name, func(t *testing.T) {
			t.Parallel()
			rig := newDrainRig(t)
			got, reject := rig.holdDraining()
			discovery := rig.startFailingDiscovery()
			rig.startAt(discovery.addr)
			if !rig.isReadyWithin(orderTimeout) {
				t.Fatal("not ready")
			}
			status := rig.send(2)
			<-got
			failed := time.Now()
			failing.fail(rig, discovery)
			rig.shutDown()
			rig.waitForLog("seq=8")
			rig.waitForLoop()
			if took := time.Since(failed); took > failing.bound {
				t.Errorf("handled after %v, but the notice counts as known after %v", took, failing.bound)
			}
			rig.noticedAt = time.Now()
			reject()
			if s := <-status; s != 200 && s != 503 { // 503: too little time may be left
				t.Errorf("the request's answer: %d", s)
			}
			rig.requireDrainKept()
		})
	}
}

// isReadyWithin reports whether the instance becomes ready within a time.
func (rig *drainRig) isReadyWithin(d time.Duration) bool {
	for limit := time.Now().Add(d); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if rig.status(readyRequest) == 200 {
			return true
		}
	}
	return false
}
