package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"sandyard/internal/platform"
	"sandyard/proxy"
)

// These tests force what happens between two steps that usually follow each other at once; docs/design/platform.md has the
// table of such crossings.

// newSocketPair is a connection to a peer on which nothing runs.
func newSocketPair(t *testing.T) (*socket, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l, err := newSocket(c.(*net.TCPConn), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.close(); p.Close() })
	return l, p.(*net.TCPConn)
}

// newTestBackendConn is a line to a backend on which nothing reads, with a server that keeps what it is told.
func newTestBackendConn(t *testing.T) (*backendConn, *net.TCPConn, *Server) {
	t.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, nodeConfig, "127.0.0.1:1", "127.0.0.1:1", 64, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	l, peer := newSocketPair(t)
	s := &Server{cfg: n.Config, shared: &proxy.Shared{Config: n.Config, Protocol: n}}
	return &backendConn{server: s, socket: l, conn: &proxy.BackendConn{}, cancel: func() {}, responses: proxy.NewResponseReader(s.shared), streamPermit: make(chan bool, 1)}, peer, s
}

// requireReportedNotSent fails unless the last thing that the core was told is that the line went down and nothing had been sent on it.
func requireReportedNotSent(t *testing.T, s *Server) {
	t.Helper()
	if len(s.queue) != 1 {
		t.Errorf("the event loop is given %+v", s.queue)
		return
	}
	if _, ok := s.queue[0].(backendLostNotSent); !ok {
		t.Errorf("the event loop is given %+v", s.queue[0])
	}
}

// waitReadable waits until bytes, or an end, lie at a link.
func waitReadable(t *testing.T, l *socket) {
	t.Helper()
	if err := l.raw.Read(func(fd uintptr) bool { return hasInput(fd) }); err != nil {
		t.Fatal(err)
	}
}

// TestNoRequestIsWrittenBehindUnreadBytes: a second answer, or half a line, that lies on a resting line as the next request is to be
// written would be taken for its answer. The request is not written, and may be sent elsewhere as one that never ran.
func TestNoRequestIsWrittenBehindUnreadBytes(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"an answer":   func(p *net.TCPConn) { io.WriteString(p, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") },
		"half a line": func(p *net.TCPConn) { io.WriteString(p, "HTT") },
		"an end":      func(p *net.TCPConn) { p.Close() },
		"a reset":     func(p *net.TCPConn) { p.SetLinger(0); p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			lc, peer, s := newTestBackendConn(t)
			act(peer)
			waitReadable(t, lc.socket)
			lc.write(&proxy.Exchange{Method: "GET"}, []byte("GET / HTTP/1.1\r\n\r\n"))
			requireReportedNotSent(t, s)
			lc.socket.close()
			if b, _ := io.ReadAll(peer); len(b) > 0 {
				t.Errorf("written all the same: %q", b)
			}
		})
	}
}

// TestIdleBackendConnectionEndCountsAsNotSent: what a backend says or does on a resting line, before the core hears of it, counts as nothing sent, also
// when the core has put a request on the line meanwhile.
func TestIdleBackendConnectionEndCountsAsNotSent(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"noise": func(p *net.TCPConn) { io.WriteString(p, "noise\r\n\r\n") },
		"end":   func(p *net.TCPConn) { p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			lc, peer, s := newTestBackendConn(t)
			act(peer)
			if lc.readOnce(lc.socket) {
				t.Error("the line goes on")
			}
			lc.write(&proxy.Exchange{Method: "GET"}, []byte("x")) // decided on before the line's end was heard of
			requireReportedNotSent(t, s)
		})
	}
}

// TestPartlyWrittenRequestCountsAsNotSent: a request of which the kernel took a part before the connection broke never ran; one that went out whole
// may have.
func TestPartlyWrittenRequestCountsAsNotSent(t *testing.T) {
	for _, whole := range []bool{false, true} {
		lc, peer, s := newTestBackendConn(t)
		wire := []byte("POST / HTTP/1.1\r\n\r\n")
		if !whole {
			wire = append(wire, make([]byte, 32<<20)...) // more than kernels hold
		}
		lc.write(&proxy.Exchange{Method: "POST"}, wire)
		if whole {
			io.ReadFull(peer, wire)
		}
		peer.SetLinger(0)
		peer.Close()
		for lc.readOnce(lc.socket) {
		}
		if !whole {
			requireReportedNotSent(t, s)
			continue
		}
		if len(s.queue) != 1 {
			t.Fatalf("the event loop is given %+v", s.queue)
		}
		if m, ok := s.queue[0].(*responseReceived); !ok || m.response.Kind != proxy.Malformed {
			t.Errorf("the event loop is given %+v", s.queue[0])
		}
	}
}

// clientConnOf waits until a front door has a client's connection, and returns its side of it.
func (r *gateway) clientConnOf(c net.Conn) *clientConn {
	for ; ; runtime.Gosched() {
		r.server.clientsMu.Lock()
		for cc := range r.server.clients {
			if cc.socket.conn.RemoteAddr().String() == c.LocalAddr().String() {
				r.server.clientsMu.Unlock()
				return cc
			}
		}
		r.server.clientsMu.Unlock()
	}
}

// TestRequestDuringIdleCloseIsAnswered: a request that is there as a resting connection is told to end, read or not yet read, is
// answered before it ends.
func TestRequestDuringIdleCloseIsAnswered(t *testing.T) {
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, startNamedBackend(t, "a"))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	cc := r.clientConnOf(c)
	for id := 1; id <= 3; id++ {
		cc.mu.Lock()
		if id == 3 { // the reader wakes before the bytes are there
			cc.requestCloseLocked()
		}
		io.WriteString(c, lookRequest(id))
		if id == 2 { // the reader has the bytes, or will find them
			cc.requestCloseLocked()
		}
		cc.mu.Unlock()
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", id, err)
		}
		if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != fmt.Sprintf("a %016x", id) {
			t.Errorf("request %d: %d %s", id, resp.StatusCode, body)
		}
	}
	cc.requestClose()
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("a resting connection that is told to end: %v", err)
	}
}

// TestLingeringCloseDeliversLastResponse: bytes that come behind the last answer, while a part of it is still on its way, must not reset
// the connection.
func TestLingeringCloseDeliversLastResponse(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	box := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			in.ReadByte()
		}
	})
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, box)
	d := net.Dialer{Control: smallWindow}
	c, err := d.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, strings.Replace(lookRequest(1), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	cc := r.clientConnOf(c)
	for done := false; !done; runtime.Gosched() { // the answer is the kernel's, most of it not taken
		cc.mu.Lock()
		done = cc.closed
		cc.mu.Unlock()
	}
	io.WriteString(c, "x")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
		t.Errorf("%d of %d bytes: %v", len(got), len(body), err)
	}
}

// TestBacklogIsAnsweredWhenAcceptingEnds: a connection that came in before accepting ends, and was not accepted by then, gets its answer.
func TestBacklogIsAnsweredWhenAcceptingEnds(t *testing.T) {
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, startNamedBackend(t, "a"))
	r.requireServedBy(1, "a")
	r.server.queueMu.Lock() // accepting waits here, once the first of these is in
	first, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	r.clientConnOf(first)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, lookRequest(2))
	r.server.listener.SetDeadline(time.Unix(1, 0)) // as at the end of limits.stop-delay
	r.server.queueMu.Unlock()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 {
		t.Errorf("%d %s", resp.StatusCode, body)
	}
}

// TestNothingIsSentForDisconnectedClient: a client that goes while the line for its request is being made has nothing sent for it, also
// where attempts can't be withdrawn, as on this platform.
func TestNothingIsSentForDisconnectedClient(t *testing.T) {
	asked := make(chan string, 16)
	box := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			asked <- req.Header.Get("X-Request-Id")
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, box)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	cc := r.clientConnOf(c)
	hold, held := make(chan struct{}), make(chan struct{})
	r.server.post(inspection(func(*proxy.Instance, time.Duration) { close(held); <-hold })) // what comes now waits in the queue
	<-held
	io.WriteString(c, strings.Replace(lookRequest(7), "spread=2", "spread=1", 1)) // no counter is asked
	for waiting := false; !waiting; runtime.Gosched() {
		cc.mu.Lock()
		waiting = cc.client.AwaitingResponse()
		cc.mu.Unlock()
	}
	c.Close()
	for gone := false; !gone; runtime.Gosched() {
		cc.mu.Lock()
		gone = cc.closed
		cc.mu.Unlock()
	}
	close(hold)
	r.status(strings.Replace(lookRequest(8), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	close(asked)
	for id := range asked {
		if id != "0000000000000008" {
			t.Errorf("sent for a client that had gone: %s", id)
		}
	}
}

// TestConsecutiveAddressChangesEndAtTheLast: discovery and counter that move several times at once end up at the last address.
func TestConsecutiveAddressChangesEndAtTheLast(t *testing.T) {
	d, last := startDiscovery(t), startDiscovery(t)
	count, _ := startCounter(t)
	count2, calls := startCounter(t)
	a := startNamedBackend(t, "a")
	r := startNode(t, d.addr, count, 64, a)
	r.requireServedBy(1, "a")
	dead := startAgent(t, func(int, net.Conn, string) {})
	for range 3 {
		r.server.SetAddresses(dead, "127.0.0.1:1")
		r.server.SetAddresses(d.addr, count)
		r.server.SetAddresses(last.addr, count2)
	}
	for got := ""; !strings.HasPrefix(got, "/v1/endpoints?follow=1&since=7"); {
		got = <-last.requests
	}
	r.waitForLog("addr=" + count2)
	for id := 2; calls() == 0; id++ {
		r.requireServedBy(id, "a")
	}
}

// TestFirstRequestDuringDrainIsRejected: a request on a connection that was accepted, but not read, as the front door stopped taking
// requests gets an answer: it is refused.
func TestFirstRequestDuringDrainIsRejected(t *testing.T) {
	count, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, count, 64, startNamedBackend(t, "a"))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	cc := r.clientConnOf(c)
	cc.mu.Lock()
	io.WriteString(c, lookRequest(1))
	r.stop()
	for !r.server.shared.Draining() {
		runtime.Gosched()
	}
	cc.mu.Unlock()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Errorf("%d %s %v", resp.StatusCode, body, err)
	}
}
