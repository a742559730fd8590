package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sandyard/internal/platform"
	"sandyard/internal/tcpinfo"
	"sandyard/proxy"
)

// The tests of this file force the order in which a notice of discovery and the messages that lead to an attempt are handled.
// They compare the time at which discovery wrote the notice with the time at which the attempt's first byte arrived.

const (
	testDrainGrace = 400 * time.Millisecond
	// socketSlack is what the platform adds to every time limit on sockets.
	socketSlack = 50 * time.Millisecond
	// allowedDelay is how long the event loop is blocked before it handles the end of a dial: as long as an instance may be
	// delayed between reading its clock and writing. The drain grace covers such a delay.
	allowedDelay = 150 * time.Millisecond
	// orderTimeout bounds the waits of a test, also on a busy machine.
	orderTimeout = 10 * time.Second
)

// drainConfig is the configuration of an instance with a drain grace. Its verbs stand for the addresses of discovery, counter
// and backend a, the grace in milliseconds, further settings, and the quota of the plan.
const drainConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"%s","counter":"%s","seed":"1f","limits":{"cores":1,"sockets":64},
"known":{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"%s","health":"active","share":1}]},
"settings":{"me":0,"peers-total":2,"rules":{"drain-grace-ms":%d},"limits":{"max-attempts":3,"connect-timeout-ms":4000,"probes":true},%s
"services":[{"name":"look","semantics":"retryable","aim-ms":2000,"deadline-ms":5000}],"plans":[{"name":"team","refill":%[6]d,"store-size":%[6]d}]}}`

// drainRig is an instance whose only backend, a, starts to drain in the test.
type drainRig struct {
	*serverRig
	draining  *timedBackend
	other     string        // address of a backend that the notice adds
	watches   chan net.Conn // connections of the watches, each after its first heartbeat
	watch     net.Conn      // connection of the current watch
	noticedAt time.Time     // when discovery had written the notice

	// Values of the configuration.
	counter  string // address
	settings string // further settings
	quota    int    // requests per second
}

func startDrainRig(t *testing.T) *drainRig {
	t.Helper()
	rig := newDrainRig(t)
	rig.startReady()
	return rig
}

// startReady starts the instance and waits until its watch is established and it is ready.
func (rig *drainRig) startReady() {
	rig.Helper()
	rig.start()
	rig.watch = <-rig.watches
	for rig.status(readyRequest) != 200 {
		runtime.Gosched()
	}
}

// newDrainRig returns a drainRig whose instance is not started.
func newDrainRig(t *testing.T) *drainRig {
	rig := &drainRig{draining: startTimedBackend(t), other: startNamedBackend(t, "b"), watches: make(chan net.Conn, 16), quota: 1000}
	rig.serverRig = &serverRig{T: t, log: &logBuffer{more: make(chan struct{}, 1)}, served: make(chan error, 1)}
	return rig
}

// start starts the instance with a discovery agent that has no changes.
func (rig *drainRig) start() {
	rig.Helper()
	discovery := startAgent(rig.T, func(_ int, c net.Conn, _ string) {
		io.WriteString(c, watchHead)
		writeChunk(c, "\n")
		rig.watches <- c
	})
	rig.startAt(discovery)
}

// startAt starts the instance with discovery at an address.
func (rig *drainRig) startAt(discovery string) {
	rig.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, drainConfig, discovery, rig.counter, rig.draining.addr, testDrainGrace.Milliseconds(), rig.settings, rig.quota))
	if err != nil {
		rig.Fatal(err)
	}
	rig.serve(n.Config, Options{Seed: n.Seed, Protocol: n, DiscoveryAddress: n.Discovery, EndpointsVersion: n.CachedEndpoints.Version})
}

// notify writes the notice that backend a drains and b is up.
func (rig *drainRig) notify() {
	rig.Helper()
	rig.write(drainsAForB(rig.draining.addr, rig.other))
}

// write writes a message of discovery that takes backend a out of use.
func (rig *drainRig) write(notice string) {
	writeChunk(rig.watch, notice)
	rig.noticedAt = time.Now()
}

// requireDrainKept fails the test if the first byte of a request arrived at the draining backend later than testDrainGrace and
// socketSlack after the notice.
func (rig *drainRig) requireDrainKept() {
	rig.Helper()
	for _, request := range rig.draining.received() {
		if late := request.firstByteAt.Sub(rig.noticedAt); late > testDrainGrace+socketSlack {
			rig.Errorf("request %s: its first byte arrived %v after the notice, want at most %v", request.id, late, testDrainGrace+socketSlack)
		}
	}
	if rig.Failed() {
		rig.logOrder()
	}
}

// logOrder prints what the instance logged about notices and attempts.
func (rig *drainRig) logOrder() {
	rig.Helper()
	rig.waitForLoop()
	rig.Logf("the notice was written at %s", rig.noticedAt.Format(time.RFC3339Nano))
	for record := range strings.SplitSeq(rig.log.String(), "\n") {
		if strings.Contains(record, "endpoints departed") || strings.Contains(record, "msg=\"attempt ") || strings.Contains(record, "list of boxes") {
			rig.Log(record)
		}
	}
}

// send sends a request on a new connection. The channel receives the status of the response, or 0 if there is none.
func (rig *drainRig) send(id int) <-chan int {
	rig.Helper()
	conn := rig.dial()
	io.WriteString(conn, nodeRequest(id))
	status := make(chan int, 1)
	go func() { // ends with the response, or with the test
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			status <- 0
			return
		}
		io.Copy(io.Discard, resp.Body)
		status <- resp.StatusCode
	}()
	return status
}

// queueHold queues a message that blocks the event loop until release is called. held is closed when it begins to block.
func (r *serverRig) queueHold() (held <-chan struct{}, release func()) {
	holding, released := make(chan struct{}), make(chan struct{})
	r.server.post(inspection(func(*proxy.Instance, time.Duration) {
		close(holding)
		<-released
	}))
	release = sync.OnceFunc(func() { close(released) })
	r.Cleanup(release)
	return holding, release
}

// waitHeld waits until a goroutine is blocked by a hold.
func (r *serverRig) waitHeld(held <-chan struct{}) {
	r.Helper()
	select {
	case <-held:
	case <-time.After(orderTimeout):
		r.Fatalf("no goroutine is blocked within %v", orderTimeout)
	}
}

// hold blocks the event loop until release is called.
func (r *serverRig) hold() (release func()) {
	held, release := r.queueHold()
	<-held
	return release
}

// takeQueued waits until a message of a type is queued, and removes it from the queue.
func takeQueued[M message](r *serverRig) M {
	r.Helper()
	for limit := time.Now().Add(orderTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if m, ok := findQueued[M](r, true); ok {
			return m
		}
	}
	var none M
	r.Fatalf("no %T is queued", none)
	return none
}

// waitQueued waits until a message of a type is queued.
func waitQueued[M message](r *serverRig) M {
	r.Helper()
	for limit := time.Now().Add(orderTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if m, ok := findQueued[M](r, false); ok {
			return m
		}
	}
	var none M
	r.Fatalf("no %T is queued", none)
	return none
}

// findQueued finds the first message of a type in the queues, and removes it if take is set.
func findQueued[M message](r *serverRig, take bool) (found M, ok bool) {
	r.server.queueMu.Lock()
	defer r.server.queueMu.Unlock()
	for _, queue := range []*[]message{&r.server.queue, &r.server.endpointQueue} {
		for i, m := range *queue {
			if found, ok = m.(M); ok {
				if take {
					*queue = slices.Delete(*queue, i, i+1)
				}
				return found, true
			}
		}
	}
	return found, false
}

// timedBackend answers each request with 200 and records when its first byte arrived, according to the kernel.
type timedBackend struct {
	addr string
	// Set by holdDraining: got receives a value for each request, which is rejected without being run once rejects is closed.
	rejects, got chan struct{}

	mu       sync.Mutex
	requests []timedRequest
}

type timedRequest struct {
	id          string
	firstByteAt time.Time
}

func startTimedBackend(t *testing.T) *timedBackend {
	backend := &timedBackend{}
	backend.addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for backend.serve(t, c, in) {
		}
	})
	return backend
}

// serve answers one request. It returns false if the connection has ended.
func (backend *timedBackend) serve(t *testing.T, c net.Conn, in *bufio.Reader) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return false
	}
	if _, err := in.Peek(1); err != nil {
		return false
	}
	firstByteAt := time.Now().Add(-tcpinfo.InputAge(raw))
	request, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	backend.mu.Lock()
	backend.requests = append(backend.requests, timedRequest{request.Header.Get("X-Request-Id"), firstByteAt})
	backend.mu.Unlock()
	response := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
	if backend.rejects != nil {
		backend.got <- struct{}{}
		<-backend.rejects
		response = notRun
	}
	_, err = io.WriteString(c, response)
	return err == nil
}

func (backend *timedBackend) received() []timedRequest {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return slices.Clone(backend.requests)
}

// holdDraining makes backend a hold its requests until reject is called, and then reject them without running them. It must be
// called before the instance is started. got receives a value for each request.
func (rig *drainRig) holdDraining() (got <-chan struct{}, reject func()) {
	rig.draining.rejects, rig.draining.got = make(chan struct{}), make(chan struct{}, 16)
	reject = sync.OnceFunc(func() { close(rig.draining.rejects) })
	rig.Cleanup(reject)
	return rig.draining.got, reject
}

// shutDown begins a shutdown of the instance.
func (rig *drainRig) shutDown() {
	rig.stop()
	rig.waitForLog("shutting down")
}

// sendWhileHeld sends a request and waits until it is queued for the blocked event loop.
func (rig *drainRig) sendWhileHeld(id int) <-chan int {
	rig.Helper()
	status := rig.send(id)
	waitQueued[requestArrived](rig.serverRig)
	return status
}

// dialWhileHeld sends a request, lets the instance decide on it, and blocks the event loop with the end of the dial in the queue.
func (rig *drainRig) dialWhileHeld() (status <-chan int, release func()) {
	rig.Helper()
	releaseRequest := rig.hold()
	status = rig.sendWhileHeld(2)
	held, release := rig.queueHold()
	releaseRequest()
	<-held
	waitQueued[backendConnected](rig.serverRig)
	return status, release
}

// TestDelayedAttemptIsWithinDrainGrace checks a request whose connection to backend a is established before the notice that a
// drains. The instance handles the notice first. It handles the end of the dial allowedDelay later than connectedAfter, the time
// after the notice at which the test queues it. The request must be served, and no request may reach a after the drain grace.
//
// The times lie on both sides of half the grace and shortly before its end. Half the grace is also the limit for notices that are
// not handled (unhandledGraceDivisor of package proxy), which does not apply here.
func TestDelayedAttemptIsWithinDrainGrace(t *testing.T) {
	for _, connectedAfter := range []time.Duration{testDrainGrace/2 - socketSlack, testDrainGrace/2 + socketSlack, testDrainGrace - socketSlack} {
		for _, shutdown := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %v, shutdown=%v", connectedAfter, shutdown), func(t *testing.T) {
				t.Parallel()
				rig := startDrainRig(t)
				if shutdown {
					rig.shutDown()
				}
				status, release := rig.dialWhileHeld()
				connected := takeQueued[backendConnected](rig.serverRig)
				rig.notify()
				waitQueued[endpointsConfirmed](rig.serverRig)
				release()
				rig.waitForLoop()
				time.Sleep(time.Until(rig.noticedAt.Add(connectedAfter)))
				releaseBatch := rig.hold()
				held, release := rig.queueHold()
				rig.server.post(connected)
				releaseBatch()
				<-held // the event loop is blocked; it handles connected after release, and reads the clock for it only then
				time.Sleep(allowedDelay)
				release()
				if s := <-status; s != 200 {
					t.Errorf("the request's answer: %d", s)
				}
				rig.requireDrainKept()
			})
		}
	}
}
