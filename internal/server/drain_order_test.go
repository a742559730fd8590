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

// The tests of this file force the order in which a notice of discovery and what leads to an attempt are handled, and
// compare the moment at which discovery wrote the notice with the moment at which the attempt's first byte came.

const (
	testDrainGrace = 400 * time.Millisecond
	// socketSlack is what the platform adds to every time limit on sockets.
	socketSlack = 50 * time.Millisecond
	// allowedHoldUp is how long an instance may be held up between reading its clock and writing; the drain grace covers it.
	allowedHoldUp = 150 * time.Millisecond
	// orderTimeout bounds what a test waits for, beside a busy machine.
	orderTimeout = 10 * time.Second
)

// drainConfig is the configuration of an instance with a drain grace. Its verbs are for the address of discovery, that of
// the counter, that of backend a, the grace in milliseconds, further settings, and the quota of the plan.
const drainConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"%s","counter":"%s","seed":"1f","limits":{"cores":1,"sockets":64},
"known":{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"%s","health":"active","share":1}]},
"settings":{"me":0,"peers-total":2,"rules":{"drain-grace-ms":%d},"limits":{"max-attempts":3,"connect-timeout-ms":4000,"probes":true},%s
"services":[{"name":"look","semantics":"retryable","aim-ms":2000,"deadline-ms":5000}],"plans":[{"name":"team","refill":%[6]d,"store-size":%[6]d}]}}`

// drainRig is an instance whose only backend, a, drains in the test.
type drainRig struct {
	*gateway
	draining  *timedBackend
	other     string        // address of a backend that the notice adds
	watches   chan net.Conn // watches of discovery, each after its first empty line
	watch     net.Conn      // the one that stands
	noticedAt time.Time     // when discovery had written the notice

	// Of the configuration.
	counter  string // address
	settings string // further ones
	quota    int    // requests a second
}

func startDrainRig(t *testing.T) *drainRig {
	t.Helper()
	rig := newDrainRig(t)
	rig.startReady()
	return rig
}

// startReady starts the instance and waits until its watch stands and it is ready.
func (rig *drainRig) startReady() {
	rig.Helper()
	rig.start()
	rig.watch = <-rig.watches
	for rig.status(readyRequest) != 200 {
		runtime.Gosched()
	}
}

// newDrainRig is a drainRig whose instance is not started.
func newDrainRig(t *testing.T) *drainRig {
	rig := &drainRig{draining: startTimedBackend(t), other: startNamedBackend(t, "b"), watches: make(chan net.Conn, 16), quota: 1000}
	rig.gateway = &gateway{T: t, log: &logBuffer{more: make(chan struct{}, 1)}, served: make(chan error, 1)}
	return rig
}

// start starts the instance, with a discovery that has nothing new to say.
func (rig *drainRig) start() {
	rig.Helper()
	discovery := startAgent(rig.T, func(_ int, c net.Conn, _ string) {
		io.WriteString(c, watchHead)
		writeChunk(c, "\n")
		rig.watches <- c
	})
	rig.startAt(discovery)
}

// startAt starts the instance with a discovery at an address.
func (rig *drainRig) startAt(discovery string) {
	rig.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, drainConfig, discovery, rig.counter, rig.draining.addr, testDrainGrace.Milliseconds(), rig.settings, rig.quota))
	if err != nil {
		rig.Fatal(err)
	}
	rig.serve(n.Config, Options{Seed: n.Seed, Protocol: n, DiscoveryAddress: n.Discovery, EndpointsVersion: n.CachedEndpoints.Version})
}

// notify writes the notice by which backend a drains and b is up.
func (rig *drainRig) notify() {
	rig.Helper()
	rig.write(drainsAForB(rig.draining.addr, rig.other))
}

// write writes a message of discovery that takes backend a out of use.
func (rig *drainRig) write(notice string) {
	writeChunk(rig.watch, notice)
	rig.noticedAt = time.Now()
}

// requireDrainKept fails if the first byte of a request came to the draining backend later than the rule allows.
func (rig *drainRig) requireDrainKept() {
	rig.Helper()
	for _, request := range rig.draining.received() {
		if late := request.firstByteAt.Sub(rig.noticedAt); late > testDrainGrace+socketSlack {
			rig.Errorf("request %s: its first byte came %v after the notice; allowed are %v", request.id, late, testDrainGrace+socketSlack)
		}
	}
	if rig.Failed() {
		rig.logOrder()
	}
}

// logOrder tells what the instance logged of notices and attempts.
func (rig *drainRig) logOrder() {
	rig.Helper()
	rig.waitForLoop()
	rig.Logf("written at %s", rig.noticedAt.Format(time.RFC3339Nano))
	for record := range strings.SplitSeq(rig.log.String(), "\n") {
		if strings.Contains(record, "endpoints departed") || strings.Contains(record, "msg=\"attempt ") || strings.Contains(record, "list of boxes") {
			rig.Log(record)
		}
	}
}

// send sends a request on a connection of its own. The channel gets the response's status, or 0 where there is none.
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

// holdQueued queues a message that holds the event loop up until release is called; held is closed once it does.
func (r *gateway) holdQueued() (held <-chan struct{}, release func()) {
	holding, released := make(chan struct{}), make(chan struct{})
	r.server.post(inspection(func(*proxy.Instance, time.Duration) {
		close(holding)
		<-released
	}))
	release = sync.OnceFunc(func() { close(released) })
	r.Cleanup(release)
	return holding, release
}

// waitHeld waits until what is to be held up is.
func (r *gateway) waitHeld(held <-chan struct{}) {
	r.Helper()
	select {
	case <-held:
	case <-time.After(orderTimeout):
		r.Fatalf("nothing is held up within %v", orderTimeout)
	}
}

// hold holds the event loop up until release is called.
func (r *gateway) hold() (release func()) {
	held, release := r.holdQueued()
	<-held
	return release
}

// takeQueued waits until a message of a type is queued, and takes it out of the queue.
func takeQueued[M message](r *gateway) M {
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
func waitQueued[M message](r *gateway) M {
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

// findQueued finds the first message of a type in the queues, and takes it out if that is wanted.
func findQueued[M message](r *gateway, take bool) (found M, ok bool) {
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

// timedBackend answers each request with 200 and keeps when its first byte came, as the kernel tells.
type timedBackend struct {
	addr string
	// Set by holdDraining: a request is announced by got, and turned away without being run once turnsAway is closed.
	turnsAway, got chan struct{}

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

// serve answers one request; false: the connection has ended.
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
	if backend.turnsAway != nil {
		backend.got <- struct{}{}
		<-backend.turnsAway
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

// holdDraining has backend a hold its requests until turnAway is called; then it turns them away without running them. It is
// called before the instance runs. got has an entry for each request.
func (rig *drainRig) holdDraining() (got <-chan struct{}, turnAway func()) {
	rig.draining.turnsAway, rig.draining.got = make(chan struct{}), make(chan struct{}, 16)
	turnAway = sync.OnceFunc(func() { close(rig.draining.turnsAway) })
	rig.Cleanup(turnAway)
	return rig.draining.got, turnAway
}

// shutDown begins a shutdown of the instance.
func (rig *drainRig) shutDown() {
	rig.stop()
	rig.waitForLog("shutting down")
}

// sendWhileHeld sends a request and waits until it is queued behind what holds the event loop up.
func (rig *drainRig) sendWhileHeld(id int) <-chan int {
	rig.Helper()
	status := rig.send(id)
	waitQueued[requestArrived](rig.gateway)
	return status
}

// dialWhileHeld has a request decided on, and holds the event loop up with the end of its dial in the queue.
func (rig *drainRig) dialWhileHeld() (status <-chan int, release func()) {
	rig.Helper()
	releaseRequest := rig.hold()
	status = rig.sendWhileHeld(2)
	held, release := rig.holdQueued()
	releaseRequest()
	<-held
	waitQueued[backendConnected](rig.gateway)
	return status, release
}

// TestHeldUpAttemptIsWithinDrainGrace: an attempt whose connection came up within the drain grace was held up, as long as
// an instance may be, between the reading of the clock and its first byte. The grace covers both.
func TestHeldUpAttemptIsWithinDrainGrace(t *testing.T) {
	for _, dial := range []time.Duration{testDrainGrace/2 - socketSlack, testDrainGrace/2 + socketSlack, testDrainGrace - socketSlack} {
		for _, shutdown := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %v, shutdown=%v", dial, shutdown), func(t *testing.T) {
				t.Parallel()
				rig := startDrainRig(t)
				if shutdown {
					rig.shutDown()
				}
				status, release := rig.dialWhileHeld()
				connected := takeQueued[backendConnected](rig.gateway)
				rig.notify()
				waitQueued[endpointsConfirmed](rig.gateway)
				release()
				rig.waitForLoop()
				time.Sleep(time.Until(rig.noticedAt.Add(dial)))
				releaseBatch := rig.hold()
				held, release := rig.holdQueued()
				rig.server.post(connected)
				releaseBatch()
				<-held // the clock has been read for both
				time.Sleep(allowedHoldUp)
				release()
				if s := <-status; s != 200 {
					t.Errorf("the request's answer: %d", s)
				}
				rig.requireDrainKept()
			})
		}
	}
}
