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

// discoveryServer is discovery: it answers each watch with its first line, and sends what tell is given to the watch that stands.
type discoveryServer struct {
	addr     string
	send     chan string
	requests chan string // request lines
}

func startDiscovery(t *testing.T) *discoveryServer {
	l := &discoveryServer{send: make(chan string), requests: make(chan string, 16)}
	l.addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		l.requests <- req.URL.String()
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		gone := make(chan struct{})
		go func() { io.Copy(io.Discard, in); close(gone) }()
		for {
			select {
			case text := <-l.send:
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			case <-gone:
				return
			}
		}
	})
	return l
}

// startCounter is the counter: every call is added up.
func startCounter(t *testing.T) (addr string, calls func() int) {
	var mu sync.Mutex
	sum, n := map[string]float64{}, 0
	addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			var name string
			var x, ttl float64
			fmt.Sscanf(line, "add %s %g %g", &name, &x, &ttl)
			mu.Lock()
			sum[name] += x
			n++
			fmt.Fprintf(c, "ok %g\r\n", sum[name])
			mu.Unlock()
		}
	})
	return addr, func() int { mu.Lock(); defer mu.Unlock(); return n }
}

const nodeConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"%s","counter":"%s","seed":"1f","limits":{"cores":1,"sockets":%d},
"known":{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"%s","health":"active","share":1}]},
"settings":{"me":0,"peers-total":2,"limits":{"max-attempts":3},"specifics":{"shared-counter":true,"count-limit-ms":500,"units-top":6},
"services":[{"name":"look","semantics":"retryable","aim-ms":2000,"deadline-ms":5000}],"plans":[{"name":"team","refill":1000,"store-size":1000}]}}`

const readyRequest = "GET /ready HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n"

func startNode(t *testing.T, discovery, counter string, sockets int, box string) *gateway {
	t.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, nodeConfig, discovery, counter, sockets, box))
	if err != nil {
		t.Fatal(err)
	}
	r := &gateway{T: t, log: &logBuffer{more: make(chan struct{}, 1)}, served: make(chan error, 1)}
	r.serve(n.Config, Options{Seed: n.Seed, Protocol: n, DiscoveryAddress: n.Discovery, EndpointsVersion: n.Known.Seq})
	for r.status(readyRequest) != 200 {
		runtime.Gosched()
	}
	return r
}

func lookRequest(id int) string {
	return fmt.Sprintf("GET /api?client=0000000000000001 HTTP/1.1\r\nHost: o\r\nX-Request-Id: %016x\r\nX-Class: look\r\nX-Tier: team\r\nX-Deadline-Ms: 4000\r\nX-Call-Terms: units=1,spread=2,first=0\r\n\r\n", id)
}

// startNamedBackend is a backend that answers with its name and the id of the request.
func startNamedBackend(t *testing.T, name string) string {
	return startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body := name + " " + req.Header.Get("X-Request-Id")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
}

func (r *gateway) requireServedBy(id int, by string) {
	r.Helper()
	resp := r.exchange(lookRequest(id), 1)[0]
	body, _ := io.ReadAll(resp.Body)
	if want := fmt.Sprintf("%s %016x", by, id); resp.StatusCode != 200 || string(body) != want {
		r.Errorf("request %d: %d %q, want %q", id, resp.StatusCode, body, want)
	}
}

// TestNodeFollowsDiscoveryAndCounter: a front door on the platform serves, follows discovery, and goes on at other addresses of discovery and
// counter from the version that it had.
func TestNodeFollowsDiscoveryAndCounter(t *testing.T) {
	d, other := startDiscovery(t), startDiscovery(t)
	count, calls := startCounter(t)
	count2, calls2 := startCounter(t)
	a, b, c := startNamedBackend(t, "a"), startNamedBackend(t, "b"), startNamedBackend(t, "c")
	r := startNode(t, d.addr, count, 256, a)
	if got := <-d.requests; got != "/v1/endpoints?follow=1&since=7" {
		t.Errorf("the watch asks %s", got)
	}
	if s := r.status("GET /ready HTTP/1.1\r\nHost: o\r\n\r\n"); s != 200 {
		t.Errorf("ready: %d", s)
	}
	r.waitForLog("keeper connected")
	r.requireServedBy(1, "a")
	if calls() == 0 {
		t.Error("the counter is not asked")
	}
	d.send <- fmt.Sprintf(`{"seq":8,"whole":false,"hosts":[{"host":"a","health":"left"},{"host":"b","dial":"%s","health":"active","share":1}]}`+"\n", b)
	r.waitForLog("seq=8")
	r.requireServedBy(2, "b")
	r.server.SetAddresses(other.addr, count2)
	if got := <-other.requests; got != "/v1/endpoints?follow=1&since=8" {
		t.Errorf("the watch at the new address asks %s", got)
	}
	r.waitForLog("addr=" + count2)
	other.send <- fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"c","dial":"%s","health":"active","share":1}]}`+"\n", c)
	r.waitForLog("seq=9")
	before := calls()
	for id := 10; id < 10000 && calls2() == 0; id++ { // what is spent is told after a while
		r.requireServedBy(id, "c")
	}
	if calls() != before || calls2() == 0 {
		t.Errorf("calls after the move: %d at the old counter, %d at the new", calls()-before, calls2())
	}
}

// TestSilentClientsAreEvictedAtTheLimit: connections that say nothing, as many as there may be, keep no client out.
func TestSilentClientsAreEvictedAtTheLimit(t *testing.T) {
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, startNamedBackend(t, "a"))
	most := r.server.cfg.Limits.Connections
	for range 2 * most {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	r.requireServedBy(1, "a")
}

// TestConnectionsAreAcceptedDuringStopDelay: after the signal to stop, connections that come within limits.stop-delay are served.
func TestConnectionsAreAcceptedDuringStopDelay(t *testing.T) {
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, startNamedBackend(t, "a"))
	r.requireServedBy(1, "a")
	r.stop()
	resp := r.exchange(lookRequest(2), 1)[0]
	if resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	if err := <-r.served; err != nil {
		t.Error(err)
	}
	close(r.served)
	if c, err := net.DialTimeout("tcp", r.addr, time.Second); err == nil {
		c.Close()
		t.Error("still accepting")
	}
	if strings.Contains(r.log.text.String(), "left without") {
		t.Error("it ended with clients unanswered")
	}
}

// TestNewClientsAreNotEvictedAtOnce: one that has just come is not closed for having said nothing yet.
func TestNewClientsAreNotEvictedAtOnce(t *testing.T) {
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, startNamedBackend(t, "a"))
	began := time.Now()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for here := 0; here == 0; runtime.Gosched() {
		r.server.clientsMu.Lock()
		here = len(r.server.clients)
		r.server.clientsMu.Unlock()
	}
	if r.server.evictIdleClient() && time.Since(began) < firstRequestTime {
		t.Fatal("closed at once")
	}
	for !r.server.evictIdleClient() { // in the end it makes room
		runtime.Gosched()
	}
}

// TestIdleClientsAreEvictedAtTheLimit: connections that rest after an answer, as many as there may be and none of which ever ends by
// itself, keep no client out, and never are there more than the bound and those that are being turned away.
func TestIdleClientsAreEvictedAtTheLimit(t *testing.T) {
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, startNamedBackend(t, "a"))
	most := r.server.cfg.Limits.Connections
	ask := func(id int) (*http.Response, error) {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, lookRequest(id))
		return http.ReadResponse(bufio.NewReader(c), nil)
	}
	for id := range most {
		if resp, err := ask(id); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
	}
	last := time.Now()
	for time.Since(last) < minIdleTime { // all of them have rested
		runtime.Gosched()
	}
	for id := range most {
		if resp, err := ask(1000 + id); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		if n := r.server.shared.ClientConns.Load(); n > int64(most)+maxRejectedConnections {
			t.Fatalf("%d connections, %d may be", n, most)
		}
	}
}
