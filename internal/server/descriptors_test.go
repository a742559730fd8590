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

// TestSilentClientsAreEvictedAtTheLimit: connections that send nothing, twice as many as there may be, must not keep a
// client from being served.
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

// TestNewClientsAreNotEvictedAtOnce: a connection that has just come must not be evicted for having sent nothing yet;
// after firstRequestTime it may be.
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

// TestIdleClientsAreEvictedAtTheLimit: connections that are idle after a response, as many as there may be, and that
// never close by themselves, must keep no client from being served. There are never more than the limit and those that
// are being rejected.
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
		io.WriteString(c, nodeRequest(id))
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

// TestConnectionLimit: a connection beyond limits.connections is answered with 503; when others have closed, the next
// is served.
func TestConnectionLimit(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "limits: {connections: 2}\n", b.Addr())
	var held []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, request("GET", "/look", "ka", ""))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
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
	for _, c := range held {
		c.Close()
	}
	s := 503
	for i := 0; i < 10000 && s == 503; i++ { // until the instance has seen that they are closed
		s = r.status(request("GET", "/look", "ka", ""))
	}
	if s != 200 {
		t.Errorf("%d", s)
	}
}

// TestDescriptorsExhausted: the process has no descriptor left for a new connection. Open connections must be served
// on, and the new one when there are descriptors again.
func TestDescriptorsExhausted(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "", b.Addr())
	request := request("GET", "/look", "ka", "")
	old, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	in := bufio.NewReader(old)
	ask := func() int {
		io.WriteString(old, request)
		old.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	if s := ask(); s != 200 {
		t.Fatal(s)
	}
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", r.addr) // the socket to be refused a descriptor at the other end
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, request)
	http.ReadResponse(bufio.NewReader(c), nil)
	next, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0) // before there are none
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(next)
	now := was
	now.Cur = 3
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &now); err != nil {
		t.Fatal(err)
	}
	port := r.server.Addr().(*net.TCPAddr).Port
	err = syscall.Connect(next, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		syscall.Write(next, []byte(request))
		r.waitForLog("msg=accept")
	}
	served := ask()
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)
	if err != nil {
		t.Fatal(err)
	}
	if served != 200 {
		t.Errorf("on a connection that is there: %d", served)
	}
	var buf [12]byte
	if n, err := syscall.Read(next, buf[:]); err != nil || string(buf[:n]) != "HTTP/1.1 200" {
		t.Errorf("after descriptors are back: %q %v", buf[:n], err)
	}
}
