package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"sandyard/emulator"
)

// TestSilentClientsAreEvictedAtTheLimit: twice as many silent connections as limits.connections allows must not prevent a
// client from being served.
func TestSilentClientsAreEvictedAtTheLimit(t *testing.T) {
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, startNamedBackend(t, "a"))
	limit := r.server.cfg.Limits.Connections
	for range 2 * limit {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	r.requireServedBy(1, "a")
}

// TestNewClientsAreNotEvictedAtOnce: a new connection that has not sent anything must not be evicted before firstRequestTime.
// After that it may be.
func TestNewClientsAreNotEvictedAtOnce(t *testing.T) {
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, startNamedBackend(t, "a"))
	start := time.Now()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for accepted := 0; accepted == 0; runtime.Gosched() {
		r.server.clientsMu.Lock()
		accepted = len(r.server.clients)
		r.server.clientsMu.Unlock()
	}
	if r.server.evictIdleClient() && time.Since(start) < firstRequestTime {
		t.Fatal("evicted before firstRequestTime")
	}
	for !r.server.evictIdleClient() { // it may be evicted in the end
		runtime.Gosched()
	}
}

// TestIdleClientsAreEvictedAtTheLimit: limits.connections connections that stay open and idle after a response must not
// prevent new clients from being served. The number of connections must not exceed the limit by more than
// maxRejectedConnections.
func TestIdleClientsAreEvictedAtTheLimit(t *testing.T) {
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, startNamedBackend(t, "a"))
	limit := r.server.cfg.Limits.Connections
	send := func(id int) (*http.Response, error) {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, nodeRequest(id))
		return http.ReadResponse(bufio.NewReader(c), nil)
	}
	for id := range limit {
		if resp, err := send(id); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
	}
	lastResponse := time.Now()
	for time.Since(lastResponse) < minIdleTime { // until all of them may be evicted
		runtime.Gosched()
	}
	for id := range limit {
		if resp, err := send(1000 + id); err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		if n := r.server.shared.ClientConns.Load(); n > int64(limit)+maxRejectedConnections {
			t.Fatalf("%d connections, the limit is %d", n, limit)
		}
	}
}

// TestConnectionLimit: a connection beyond limits.connections gets 503. Once other connections have closed, the next one is
// served.
func TestConnectionLimit(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "limits: {connections: 2}\n", b.Addr())
	var open []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, request("GET", "/look", "ka", ""))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	c.Close()
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("%v %v", resp, err)
	}
	for _, c := range open {
		c.Close()
	}
	s := 503
	for i := 0; i < 10000 && s == 503; i++ { // until the instance has noticed that they are closed
		s = r.status(request("GET", "/look", "ka", ""))
	}
	if s != 200 {
		t.Errorf("%d", s)
	}
}

// TestDescriptorsExhausted: the process has no file descriptor left for a new connection. Open connections must still be
// served, and the new one once descriptors are available again.
func TestDescriptorsExhausted(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "", b.Addr())
	request := request("GET", "/look", "ka", "")
	existing, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer existing.Close()
	in := bufio.NewReader(existing)
	send := func() int {
		io.WriteString(existing, request)
		existing.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	if s := send(); s != 200 {
		t.Fatal(s)
	}
	var original syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &original); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", r.addr) // a connection that is accepted while descriptors are available
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, request)
	http.ReadResponse(bufio.NewReader(c), nil)
	next, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0) // while descriptors are available
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(next)
	reduced := original
	reduced.Cur = 3
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &reduced); err != nil {
		t.Fatal(err)
	}
	port := r.server.Addr().(*net.TCPAddr).Port
	err = syscall.Connect(next, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		syscall.Write(next, []byte(request))
		r.waitForLog("msg=accept")
	}
	status := send()
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &original)
	if err != nil {
		t.Fatal(err)
	}
	if status != 200 {
		t.Errorf("on the existing connection: %d", status)
	}
	var buf [12]byte
	if n, err := syscall.Read(next, buf[:]); err != nil || string(buf[:n]) != "HTTP/1.1 200" {
		t.Errorf("after descriptors are available again: %q %v", buf[:n], err)
	}
}
