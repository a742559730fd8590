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

// TestEndpointUpdateDeadlines adds up the waits until the instance knows a change of the endpoint list, for each row of the table
// in docs/design/platform.md. Each sum must be a margin below the time after which the platform counts the change as known.
func TestEndpointUpdateDeadlines(t *testing.T) {
	const (
		margin = 500 * time.Millisecond // for reading, queueing and closing connections, on a part of a core
		silent = 6 * time.Second        // after a watch fell silent, or after discovery can be reached again
		moved  = 4 * time.Second        // after SIGHUP
		ready  = 10 * time.Second       // for a new process
		failed = 30 * time.Second       // a new process that does not serve by then
		outage = 8 * time.Second        // of discovery, while a process starts
	)
	for _, r := range []struct {
		name  string
		bound time.Duration
		waits []time.Duration
	}{
		{"a watch falls silent", silent, []time.Duration{watchSilenceTimeout, minWatchBackoff, watchDialTimeout}},
		{"a watch falls silent, and the next one is refused or ends", silent, []time.Duration{watchSilenceTimeout, minWatchBackoff, watchDialTimeout, 2 * minWatchBackoff, watchDialTimeout}},
		{"a watch ends", silent, []time.Duration{minWatchBackoff, watchDialTimeout}},
		{"refused for long, until discovery can be reached", silent, []time.Duration{maxWatchBackoff, watchDialTimeout}},
		{"a connection that is never established, until discovery can be reached", silent, []time.Duration{watchDialTimeout, maxWatchBackoff, watchDialTimeout}},
		{"a watch opened while discovery is down that stays silent", silent, []time.Duration{watchSilenceTimeout, maxWatchBackoff, watchDialTimeout}},
		{"SIGHUP", moved, []time.Duration{watchDialTimeout}},
		{"SIGHUP, and the first connection is never established", moved, []time.Duration{watchDialTimeout, minWatchBackoff, watchDialTimeout}},
		{"a new process, discovery down: ready", ready, []time.Duration{firstListReadyTimeout}},
		{"a new process, discovery down: the configured list", failed, []time.Duration{configuredListTimeout}},
		{"a new process, an outage of discovery, and the watch before its end stays silent", configuredListTimeout, []time.Duration{outage, watchSilenceTimeout, maxWatchBackoff, watchDialTimeout}},
		{"a new process, its first watch is silent", ready, []time.Duration{watchSilenceTimeout, minWatchBackoff, watchDialTimeout}},
	} {
		sum := margin
		for _, w := range r.waits {
			sum += w
		}
		if sum > r.bound {
			t.Errorf("%s: %v with the margin, but the change counts as known after %v", r.name, sum, r.bound)
		}
	}
	if silentFirst := watchSilenceTimeout + minWatchBackoff + watchDialTimeout + margin; firstListReadyTimeout < silentFirst {
		t.Errorf("a new process is ready without a list after %v; the answer to its second watch may arrive after %v", firstListReadyTimeout, silentFirst)
	}
	if heartbeat := 2 * time.Second; watchSilenceTimeout < heartbeat+margin {
		t.Errorf("silence timeout %v, but a watch has a heartbeat every %v", watchSilenceTimeout, heartbeat)
	}
}

// TestWaitsWithoutWatchFitDrainGrace adds up, for the drain graces that settings may have, the longest wait until the next dial of
// discovery and the time for which a change may then be unhandled before nothing is sent. The sum must be within the grace. A dialer
// that is in time must not make the instance reject requests. The endpoint file of "sandyard serve" must be read as often.
func TestWaitsWithoutWatchFitDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
		500 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second, time.Minute} {
		wait := watchBackoffLimit(grace)
		unhandled := max(grace/2, 20*time.Millisecond) // as package proxy allows
		if bound := grace + socketSlack; wait+unhandled > bound {
			t.Errorf("grace %v: a wait of %v and %v unhandled, want at most %v", grace, wait, unhandled, bound)
		}
		if wait >= unhandled {
			t.Errorf("grace %v: requests are rejected after %v without a dial, but a dial may begin after %v", grace, unhandled, wait)
		}
		if wait > maxWatchBackoff {
			t.Errorf("grace %v: a wait of %v", grace, wait)
		}
		if poll := endpointsFilePoll(grace); poll > wait || poll > 50*time.Millisecond {
			t.Errorf("grace %v: the endpoint file is read every %v", grace, poll)
		}
	}
}

// startAgent starts a discovery agent. answer is called for each watch after its request was read, with the watch's number.
func startAgent(t *testing.T, answer func(n int, c net.Conn, since string)) string {
	calls := make(chan int, 1)
	calls <- 0
	return startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n := <-calls + 1
		calls <- n
		answer(n, c, req.URL.Query().Get("since"))
		io.Copy(io.Discard, in)
	})
}

// writeChunk writes a chunk of a chunked body.
func writeChunk(c net.Conn, s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestWatchEventsInAnyFraming checks that a message of discovery is one JSON value in any layout, split into chunks at any place.
// A reader that treated a line, or a chunk, as a message would restart its watch again and again.
func TestWatchEventsInAnyFraming(t *testing.T) {
	host := func(seq int, name, addr string) string {
		return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"%s","dial":"%s","health":"active","share":1}]}`, seq, name, addr)
	}
	spread := strings.NewReplacer("{", "{\n  ", ",", ",\n\r\n  ", "}", "\n}")
	for name, send := range map[string]func(c net.Conn, one, two string){
		"a line each": func(c net.Conn, one, two string) {
			writeChunk(c, one+"\n")
			writeChunk(c, "\n")
			writeChunk(c, two+"\n")
		},
		"indented": func(c net.Conn, one, two string) {
			writeChunk(c, spread.Replace(one)+"\n")
			writeChunk(c, "\r\n"+spread.Replace(two))
		},
		"no newline at the end": func(c net.Conn, one, two string) { writeChunk(c, one); writeChunk(c, two) },
		"both in one chunk":     func(c net.Conn, one, two string) { writeChunk(c, "\n\n"+one+two) },
		"cut within a chunk": func(c net.Conn, one, two string) {
			writeChunk(c, one[:20])
			writeChunk(c, one[20:]+"\n"+two[:1])
			writeChunk(c, two[1:])
		},
		"empty lines within one": func(c net.Conn, one, two string) {
			writeChunk(c, one[:7])
			writeChunk(c, "\n")
			writeChunk(c, one[7:])
			writeChunk(c, two)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startNamedBackend(t, "a"), startNamedBackend(t, "b")
			counterAddr, _ := startCounter(t)
			discovery := startAgent(t, func(_ int, c net.Conn, _ string) {
				io.WriteString(c, watchHead)
				send(c, host(8, "x", a), host(9, "b", b))
			})
			r := startNode(t, discovery, counterAddr, 64, startNamedBackend(t, "old"))
			r.waitForLog("seq=9")
			r.requireServedBy(1, "b")
			if s := r.log.String(); strings.Contains(s, "watch of discovery") {
				t.Errorf("the watch was restarted: %s", s)
			}
		})
	}
}

// TestCutListIsNotTaken checks that an endpoint list that is cut by the length of discovery's answer is not taken, although bytes follow
// it: endpoints that it had lost would count as removed.
func TestCutListIsNotTaken(t *testing.T) {
	backend := startNamedBackend(t, "b")
	list := func(seq int) string {
		return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"b","dial":"%s","health":"active","share":1}]}`, seq, backend)
	}
	counterAddr, _ := startCounter(t)
	discovery := startAgent(t, func(call int, c net.Conn, _ string) {
		if call == 1 {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list(8))-2, list(8))
			return
		}
		io.WriteString(c, watchHead)
		writeChunk(c, list(9))
	})
	r := startNode(t, discovery, counterAddr, 64, startNamedBackend(t, "old"))
	r.waitForLog("seq=9")
	r.requireServedBy(1, "b")
	if s := r.log.String(); strings.Contains(s, "seq=8") {
		t.Errorf("the list was taken: %s", s)
	}
}

// TestEndpointListVersions checks that changes up to an older version are dropped, that changes up to the same version are applied
// again, and that a full list is applied whatever its version. A new watch continues from the current version.
func TestEndpointListVersions(t *testing.T) {
	a, b := startNamedBackend(t, "a"), startNamedBackend(t, "b")
	counterAddr, _ := startCounter(t)
	more := make(chan string)
	end := sync.OnceFunc(func() { close(more) })
	discovery := startAgent(t, func(n int, c net.Conn, since string) {
		if n == 2 && since != "3" {
			t.Errorf("the second watch continues from %s", since)
		}
		io.WriteString(c, watchHead)
		if n > 1 {
			writeChunk(c, "\n")
			return
		}
		for s := range more {
			writeChunk(c, s)
		}
		c.Close()
	})
	t.Cleanup(end) // before the agent's cleanup, which waits for its connections
	const up = `{"seq":%d,"whole":%v,"hosts":[{"host":"%s","dial":"%s","health":"active","share":1}]}`
	go func() { more <- fmt.Sprintf(up, 8, true, "b", b) }()
	r := startNode(t, discovery, counterAddr, 64, a)
	r.requireServedBy(1, "b")
	more <- fmt.Sprintf(up, 7, false, "a", a) + `{"seq":8,"whole":false,"hosts":[]}`
	r.waitForLog("older version are dropped")
	for id := 2; id < 12; id++ {
		r.requireServedBy(id, "b")
	}
	more <- fmt.Sprintf(up, 3, true, "a", a) // discovery restarted its numbering
	r.waitForLog("seq=3")
	r.requireServedBy(20, "a")
	end()
	r.waitForLog("watch of discovery")
	r.requireServedBy(21, "a")
}

// TestInvalidEndpointLeavesOthersInForce checks that an entry that can't be parsed does not affect the others: it is logged with
// its position, and the current entry of that endpoint stays in force.
func TestInvalidEndpointLeavesOthersInForce(t *testing.T) {
	a, b := startNamedBackend(t, "a"), startNamedBackend(t, "b")
	counterAddr, _ := startCounter(t)
	discovery := startAgent(t, func(_ int, c net.Conn, _ string) {
		io.WriteString(c, watchHead)
		writeChunk(c, fmt.Sprintf(`{"seq":8,"whole":true,"hosts":[{"host":"a","dial":7},{"host":"b","dial":"%s","health":"active","share":1}]}`, b))
	})
	r := startNode(t, discovery, counterAddr, 64, a)
	r.waitForLog("hosts[0].dial")
	by := map[string]bool{}
	for id := 1; len(by) < 2; id++ {
		resp := r.exchange(nodeRequest(id), 1)[0]
		body, _ := io.ReadAll(resp.Body)
		name, _, _ := strings.Cut(string(body), " ")
		if by[name] = true; resp.StatusCode != 200 || id > 1000 {
			t.Fatalf("%d %s; served by %v", resp.StatusCode, body, by)
		}
	}
}

// startNodeUnready starts an instance on the platform and does not wait until discovery has confirmed its list.
func startNodeUnready(t *testing.T, discovery string) *serverRig {
	r := newUnreadyRig(t)
	r.serveUnready(discovery)
	return r
}

// newUnreadyRig returns a rig for serveUnready.
func newUnreadyRig(t *testing.T) *serverRig {
	return &serverRig{T: t, log: &logBuffer{more: make(chan struct{}, 1)}, served: make(chan error, 1)}
}

// serveUnready starts an instance whose configuration lists one backend, and does not wait until it is ready.
func (r *serverRig) serveUnready(discovery string) {
	r.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, nodeConfig, discovery, "127.0.0.1:1", 64, startNamedBackend(r.T, "known")))
	if err != nil {
		r.Fatal(err)
	}
	r.serve(n.Config, Options{Seed: n.Seed, Protocol: n, DiscoveryAddress: n.Discovery, EndpointsVersion: n.CachedEndpoints.Version})
}

// TestNotReadyBeforeFirstEndpointList guards against requests to backends that were removed before the process started: the list
// in its configuration can be old, but discovery's list counts from the start of the process. Until discovery's first
// message, requests are rejected and the instance is not ready.
func TestNotReadyBeforeFirstEndpointList(t *testing.T) {
	answer := make(chan struct{})
	b := startNamedBackend(t, "b")
	watched := make(chan struct{}, 1)
	discovery := startAgent(t, func(n int, c net.Conn, _ string) {
		io.WriteString(c, watchHead)
		watched <- struct{}{}
		<-answer
		writeChunk(c, fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"b","dial":"%s","health":"active","share":1}]}`, b))
	})
	r := startNodeUnready(t, discovery)
	<-watched
	if s := r.status(readyRequest); s != 503 {
		t.Errorf("ready: %d", s)
	}
	if s := r.status(nodeRequest(1)); s != 503 {
		t.Errorf("a request: %d", s)
	}
	close(answer)
	for r.status(readyRequest) != 200 {
		runtime.Gosched()
	}
	r.requireServedBy(2, "b")
}

// TestReadyWithoutDiscovery checks a process that starts while discovery is down: it is not ready at first, then ready while it
// rejects requests, and uses the list in its configuration at last.
func TestReadyWithoutDiscovery(t *testing.T) {
	timeouts := firstListTimeouts{ready: 500 * time.Millisecond, configuredList: 1500 * time.Millisecond}
	r := newUnreadyRig(t)
	r.beforeServe = func() { r.server.discovery.firstListTimeouts = timeouts }
	r.serveUnready(startAgent(t, func(int, net.Conn, string) {}))
	began := time.Now()
	for r.status(readyRequest) != 200 {
		runtime.Gosched()
	}
	if d := time.Since(began); d < timeouts.ready/2 {
		t.Errorf("ready after %v", d)
	}
	if status := r.status(nodeRequest(1)); status != 503 {
		t.Errorf("a request without a list: %d", status)
	}
	r.waitForLog("no list of boxes yet: ready, and requests are refused")
	for id := 2; r.status(nodeRequest(id)) != 200; id++ {
		time.Sleep(time.Millisecond)
	}
	if d := time.Since(began); d < timeouts.configuredList*3/4 {
		t.Errorf("the list in the configuration is used after %v", d)
	}
	r.requireServedBy(9999, "known")
}
