package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"sandyard/proxy"
)

// healthCheckInterval is how often the instance checks one of its backends.
const healthCheckInterval = 300 * time.Millisecond

// startHoldingCounter is a counter that answers no call until release is called; called is closed with the first.
func startHoldingCounter(t *testing.T) (addr string, called <-chan struct{}, release func()) {
	received, held := make(chan struct{}), make(chan struct{})
	receive := sync.OnceFunc(func() { close(received) })
	addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			receive()
			<-held
			io.WriteString(c, "ok 1\r\n")
		}
	})
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	return addr, received, release
}

// startRejectingBackend is a backend that turns every request away without running it.
func startRejectingBackend(t *testing.T) string {
	return startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, notRun)
		}
	})
}

// lateBeginning is a way in which an attempt begins long after a notice was handled. prepare runs before the instance
// does. begin is called when it is ready, and returns what lets the attempt begin.
type lateBeginning struct {
	name    string
	prepare func(rig *drainRig)
	begin   func(rig *drainRig) (attempt func())
}

func lateBeginnings() []lateBeginning {
	var releaseCounter, turnAway func()
	var called, got <-chan struct{}
	return []lateBeginning{
		{"a first attempt", func(*drainRig) {}, func(rig *drainRig) func() {
			return func() { rig.requireAnswer(200, rig.send(3)) }
		}},
		{"a retry of what another backend turned away", func(rig *drainRig) { rig.other = startRejectingBackend(rig.T) }, func(rig *drainRig) func() {
			return func() { rig.requireAnswer(503, rig.send(3)) }
		}},
		{"a retry of what the departed backend turned away", func(rig *drainRig) {
			got, turnAway = rig.holdDraining()
		}, func(rig *drainRig) func() {
			status := rig.send(3)
			<-got
			return func() { turnAway(); rig.requireAnswer(200, status) }
		}},
		{"a request that waited for the counter", func(rig *drainRig) {
			rig.counter, called, releaseCounter = startHoldingCounter(rig.T)
			rig.settings, rig.quota = `"specifics":{"shared-counter":true,"count-limit-ms":4000,"units-top":6},`, 2
		}, func(rig *drainRig) func() {
			status := rig.sendUntilWaiting(called)
			return func() { releaseCounter(); rig.requireAnswer(200, status) }
		}},
		{"health checks", func(rig *drainRig) {
			rig.settings = `"feedback":{"via":"pull","names":["busy_reqs"]},`
		}, func(rig *drainRig) func() {
			rig.waitForRequest("") // a health check has no id
			return func() { time.Sleep(4 * healthCheckInterval) }
		}},
	}
}

// sendUntilWaiting sends requests until one waits for the counter, which has been called, and returns the answer that is
// owed to it. A call can also report use for requests that were answered before.
func (rig *drainRig) sendUntilWaiting(called <-chan struct{}) <-chan int {
	rig.Helper()
	for id := 10; id < 100; id++ {
		status := rig.send(id)
		for waits := false; !waits && len(status) == 0; runtime.Gosched() {
			waits = isClosed(called) && rig.unanswered() == 1
		}
		if len(status) == 0 {
			return status
		}
	}
	rig.Fatal("none of 90 requests waits")
	return nil
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// unanswered is how many requests the instance holds that have no answer.
func (rig *drainRig) unanswered() int {
	count := make(chan int, 1)
	rig.server.post(inspection(func(instance *proxy.Instance, _ time.Duration) { count <- instance.Unanswered() }))
	return <-count
}

// requireAnswer fails if the status of an answer is another.
func (rig *drainRig) requireAnswer(want int, status <-chan int) {
	rig.Helper()
	if got := <-status; got != want {
		rig.Errorf("the request's answer: %d, want %d", got, want)
	}
}

// waitForRequest waits until backend a has got a request with an id.
func (rig *drainRig) waitForRequest(id string) {
	rig.Helper()
	for limit := time.Now().Add(orderTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		for _, request := range rig.draining.received() {
			if request.id == id {
				return
			}
		}
	}
	rig.Fatalf("backend a gets no request %q", id)
}

// TestNothingBeginsAtDepartedBackend: whatever begins an attempt once a notice has been handled for a drain grace, in a
// shutdown and not, no byte of it reaches the departed backend.
func TestNothingBeginsAtDepartedBackend(t *testing.T) {
	for name, departure := range departures {
		for i := range lateBeginnings() {
			for _, shutdown := range []bool{false, true} {
				late := lateBeginnings()[i] // each has its own counter
				t.Run(fmt.Sprintf("%s, %s, shutdown=%v", late.name, name, shutdown), func(t *testing.T) {
					t.Parallel()
					rig := newDrainRig(t)
					late.prepare(rig)
					rig.startReady()
					attempt := late.begin(rig)
					if shutdown {
						rig.shutDown()
					}
					rig.write(fmt.Sprintf(departure, rig.draining.addr, rig.other))
					rig.waitForLog("seq=8")
					rig.waitForLoop()
					rig.waitPastGrace()
					attempt()
					rig.requireDrainKept()
				})
			}
		}
	}
}
