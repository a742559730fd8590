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

// startHoldingCounter starts a counter that answers no call until release is called. called is closed at the first call.
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

// startRejectingBackend starts a backend that rejects every request without running it.
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

// lateAttempt is a way in which an attempt begins long after a notice was handled. prepare is called before the instance is
// started. start is called when the instance is ready, and returns the function that triggers the attempt.
type lateAttempt struct {
	name    string
	prepare func(rig *drainRig)
	start   func(rig *drainRig) (attempt func())
}

func lateAttempts() []lateAttempt {
	var releaseCounter, reject func()
	var called, got <-chan struct{}
	return []lateAttempt{
		{"a first attempt", func(*drainRig) {}, func(rig *drainRig) func() {
			return func() { rig.requireAnswer(200, rig.send(3)) }
		}},
		{"a retry of a request that another backend rejected", func(rig *drainRig) { rig.other = startRejectingBackend(rig.T) }, func(rig *drainRig) func() {
			return func() { rig.requireAnswer(503, rig.send(3)) }
		}},
		{"a retry of a request that the departed backend rejected", func(rig *drainRig) {
			got, reject = rig.holdDraining()
		}, func(rig *drainRig) func() {
			status := rig.send(3)
			<-got
			return func() { reject(); rig.requireAnswer(200, status) }
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

// sendUntilWaiting sends requests until one waits for a call to the counter, and returns the channel of its status. Checking
// only that the counter was called is not enough: a call can also report the use of requests that were answered before.
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
	rig.Fatal("none of 90 requests waits for the counter")
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

// unanswered returns the number of requests without an answer at the instance.
func (rig *drainRig) unanswered() int {
	count := make(chan int, 1)
	rig.server.post(inspection(func(instance *proxy.Instance, _ time.Duration) { count <- instance.Unanswered() }))
	return <-count
}

// requireAnswer fails the test if the status of an answer is not the wanted one.
func (rig *drainRig) requireAnswer(want int, status <-chan int) {
	rig.Helper()
	if got := <-status; got != want {
		rig.Errorf("the request's answer: %d, want %d", got, want)
	}
}

// waitForRequest waits until backend a has received a request with an id.
func (rig *drainRig) waitForRequest(id string) {
	rig.Helper()
	for limit := time.Now().Add(orderTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		for _, request := range rig.draining.received() {
			if request.id == id {
				return
			}
		}
	}
	rig.Fatalf("backend a receives no request %q", id)
}

// TestNothingBeginsAtDepartedBackend checks that no byte of an attempt reaches a departed backend once a drain grace has passed
// since its notice was handled, whatever begins the attempt, with and without a shutdown.
func TestNothingBeginsAtDepartedBackend(t *testing.T) {
	for name, departure := range departures {
		for i := range lateAttempts() {
			for _, shutdown := range []bool{false, true} {
				late := lateAttempts()[i] // a new one for each run: it has its own counter
				t.Run(fmt.Sprintf("%s, %s, shutdown=%v", late.name, name, shutdown), func(t *testing.T) {
					t.Parallel()
					rig := newDrainRig(t)
					late.prepare(rig)
					rig.startReady()
					attempt := late.start(rig)
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
