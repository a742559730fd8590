package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"sandyard/internal/platform"
)

// startHoldingBackend starts a backend that holds each request until release is called, and then answers it. got is closed at the
// first request.
func startHoldingBackend(t *testing.T, answer string) (addr string, got <-chan struct{}, release func()) {
	received, held := make(chan struct{}), make(chan struct{})
	receive := sync.OnceFunc(func() { close(received) })
	addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		receive()
		<-held
		io.WriteString(c, answer)
		io.Copy(io.Discard, in)
	})
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	return addr, received, release
}

const notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// drainsAForB returns a change by which backend a drains and b is up.
func drainsAForB(a, b string) string {
	return fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[{"host":"a","dial":"%s","health":"leaving","share":1},{"host":"b","dial":"%s","health":"active","share":1}]}`+"\n", a, b)
}

// TestRetryDuringShutdownFollowsDiscovery guards against retries to backends that began to drain during a shutdown: an instance
// stopped watching discovery at the signal to stop while it still forwarded requests. The list must be followed on the current
// watch, on a new one and at a new address.
func TestRetryDuringShutdownFollowsDiscovery(t *testing.T) {
	for name, notify := range map[string]func(r *serverRig, d *breakingDiscovery, change string){
		"on the current watch": func(_ *serverRig, d *breakingDiscovery, change string) { d.notify(change) },
		"on a new watch": func(_ *serverRig, d *breakingDiscovery, change string) {
			close(d.breakFirst)
			<-d.firstEnded
			d.notify(change)
		},
		"at the new address of a SIGHUP": func(r *serverRig, _ *breakingDiscovery, change string) {
			moved := startBreakingDiscovery(r.T)
			r.server.SetAddresses(moved.addr, "")
			moved.notify(change)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, got, release := startHoldingBackend(t, notRun)
			discovery := startBreakingDiscovery(t)
			counter, _ := startCounter(t)
			r := startNode(t, discovery.addr, counter, 64, a)
			served := make(chan string)
			go func() {
				resp := r.exchange(nodeRequest(1), 1)[0]
				body, _ := io.ReadAll(resp.Body)
				served <- fmt.Sprintf("%d %s", resp.StatusCode, body)
			}()
			<-got
			r.stop()
			r.waitForLog("shutting down")
			notify(r, discovery, drainsAForB(a, startNamedBackend(t, "b")))
			r.waitForLog("seq=8")
			release()
			if got, want := <-served, fmt.Sprintf("200 b %016x", 1); got != want {
				t.Errorf("%q, want %q", got, want)
			}
		})
	}
}

// breakingDiscovery is a discovery agent whose first watch ends when breakFirst is closed.
type breakingDiscovery struct {
	*testing.T
	addr                   string
	send                   chan string
	breakFirst, firstEnded chan struct{}
}

func startBreakingDiscovery(t *testing.T) *breakingDiscovery {
	d := &breakingDiscovery{T: t, send: make(chan string), breakFirst: make(chan struct{}), firstEnded: make(chan struct{})}
	watches := make(chan struct{}, 1)
	watches <- struct{}{}
	d.addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		io.WriteString(c, watchHead)
		writeChunk(c, "\n")
		select {
		case <-watches:
			defer close(d.firstEnded)
			d.serveWatch(c, in, d.breakFirst)
		default:
			d.serveWatch(c, in, nil)
		}
	})
	return d
}

// serveWatch writes the messages from send until broken is closed or the instance ends the watch.
func (d *breakingDiscovery) serveWatch(c net.Conn, in *bufio.Reader, broken <-chan struct{}) {
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, in); close(gone) }() // ends with the connection
	for {
		select {
		case text := <-d.send:
			writeChunk(c, text)
		case <-broken:
			return
		case <-gone:
			return
		}
	}
}

// notify writes a change on the current watch, and fails the test if there is none for some seconds.
func (d *breakingDiscovery) notify(change string) {
	d.Helper()
	select {
	case d.send <- change:
	case <-time.After(5 * time.Second):
		d.Fatal("there is no watch")
	}
}

// TestEndpointFileIsFollowedDuringShutdown is like TestRetryDuringShutdownFollowsDiscovery, with the list in a file.
func TestEndpointFileIsFollowedDuringShutdown(t *testing.T) {
	backend, got, release := startHoldingBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	r := startGateway(t, "", "", backend)
	r.waitForLog("list of boxes")
	done := make(chan int)
	go func() { done <- r.status(request("GET", "/look", "ka", "")) }()
	<-got
	r.stop()
	r.waitForLog("shutting down")
	r.replaceFile("boxes.yaml", endpointsYAML(backend, backend))
	r.waitForLog("boxes=2")
	release()
	if status := <-done; status != 200 {
		t.Errorf("%d", status)
	}
}

// TestFirstEndpointListDuringShutdown checks a SIGTERM before discovery's first message. The list in that message applies to the
// requests that still arrive.
func TestFirstEndpointListDuringShutdown(t *testing.T) {
	answer := make(chan struct{})
	b := startNamedBackend(t, "b")
	watched := make(chan struct{}, 1)
	discovery := startAgent(t, func(_ int, c net.Conn, _ string) {
		io.WriteString(c, watchHead)
		watched <- struct{}{}
		<-answer
		writeChunk(c, fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"b","dial":"%s","health":"active","share":1}]}`, b))
	})
	r := startNodeUnready(t, discovery)
	<-watched
	r.stop()
	r.waitForLog("shutting down")
	close(answer)
	r.waitForLog("seq=9")
	r.requireServedBy(1, "b")
}

// TestCounterMovesDuringShutdown checks that requests admitted during a shutdown are counted at the counter address that a SIGHUP
// has set.
func TestCounterMovesDuringShutdown(t *testing.T) {
	discovery := startDiscovery(t)
	counter, _ := startCounter(t)
	moved, calls := startCounter(t)
	r := startNode(t, discovery.addr, counter, 64, startNamedBackend(t, "a"))
	r.requireServedBy(1, "a")
	r.stop()
	r.waitForLog("shutting down")
	r.server.SetAddresses(discovery.addr, moved)
	r.waitForLog("addr=" + moved)
	for id := 2; calls() == 0; id++ {
		r.requireServedBy(id, "a")
	}
}

// startSilentBackend starts a backend that reads one request and never answers. got is closed when it has read the request.
func startSilentBackend(t *testing.T) (addr string, got <-chan struct{}) {
	received := make(chan struct{})
	return startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(received)
		io.Copy(io.Discard, in)
	}), received
}

// requireEnd fails the test unless the instance ends within a time, without an error.
func (r *serverRig) requireEnd(within time.Duration) {
	r.Helper()
	select {
	case err := <-r.served:
		if err != nil {
			r.Errorf("Serve returned %v", err)
		}
		close(r.served)
	case <-time.After(within):
		r.Fatalf("the instance does not end within %v", within)
	}
}

// TestShutdownIsBounded guards against a process that waits for a silent backend without limit until it is killed with the request
// unanswered. The request must be answered and the process must end by limits.shutdown-timeout. A second signal changes neither.
func TestShutdownIsBounded(t *testing.T) {
	const timeout = 300 * time.Millisecond
	silent, got := startSilentBackend(t)
	r := startGateway(t, "", fmt.Sprintf("limits: {shutdown-timeout: %v}\n", timeout), silent)
	done := make(chan int)
	go func() { done <- r.status(request("GET", "/look", "ka", "")) }()
	<-got
	begun := time.Now()
	r.stop()
	r.stop()
	if status := <-done; status != 502 {
		t.Errorf("the request's answer: %d", status)
	}
	r.requireEnd(10 * timeout)
	if took := time.Since(begun); took < timeout {
		t.Errorf("the instance ended after %v, before its shutdown timeout", took)
	}
}

// TestShutdownEndsWithoutClients guards against a process that does not end because of an attempt at a silent backend that may not
// be cancelled and whose client has left.
func TestShutdownEndsWithoutClients(t *testing.T) {
	silent, got := startSilentBackend(t)
	r := startGatewayOf(t, strings.Replace(gatewayText, "attempts: {most: 3}", "attempts: {most: 3, cancel: false}", 1), silent)
	client, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, request("GET", "/look", "ka", ""))
	<-got
	client.Close()
	for r.server.shared.ClientConns.Load() > 0 {
		runtime.Gosched()
	}
	r.stop()
	r.requireEnd(3 * time.Second)
}

// TestShutdownEndsBeforeEarliestKill checks the bound of a shutdown against the earliest time at which the platform kills a
// process: 0.7 s plus the longest deadline of a request, but at most 3 s for the deadline, after SIGTERM. The shutdown must
// end before that, but not before the deadlines of requests that were read during limits.stop-delay.
func TestShutdownEndsBeforeEarliestKill(t *testing.T) {
	for _, c := range []struct{ deadline, kill time.Duration }{
		{480 * time.Millisecond, 1180 * time.Millisecond},
		{3 * time.Second, 3700 * time.Millisecond},
		{5 * time.Second, 3700 * time.Millisecond},
	} {
		n, err := platform.ParseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f","settings":{"me":0,"peers-total":2,
"services":[{"name":"short","semantics":"retryable","aim-ms":100,"deadline-ms":100},{"name":"long","semantics":"retryable","aim-ms":200,"deadline-ms":%d}],
"plans":[{"name":"team","refill":1000,"store-size":1000}]}}`, c.deadline.Milliseconds()))
		if err != nil {
			t.Fatal(err)
		}
		limits := n.Config.Limits
		bound := time.Duration(limits.ShutdownTimeout) + finalResponseTime
		if earliest := time.Duration(limits.StopDelay) + backlogAcceptTime + min(c.deadline, 3*time.Second) - time.Duration(limits.ResponseMargin); bound >= c.kill || bound < earliest {
			t.Errorf("deadline %v: the shutdown ends after %v; want less than %v, when it is killed, and at least %v, the end of requests", c.deadline, bound, c.kill, earliest)
		}
	}
}
