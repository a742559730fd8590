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

// pair is a connection to a peer on which nothing runs.
func pair(t *testing.T) (*link, *net.TCPConn) {
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
	l, err := newLink(c.(*net.TCPConn), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.close(); p.Close() })
	return l, p.(*net.TCPConn)
}

// aLine is a line to a backend on which nothing reads, with a server that keeps what it is told.
func aLine(t *testing.T) (*lineConn, *net.TCPConn, *Server) {
	t.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, nodeConfig, "127.0.0.1:1", "127.0.0.1:1", 64, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	l, peer := pair(t)
	s := &Server{cfg: n.Config, shared: &proxy.Shared{Config: n.Config, Protocol: n}}
	return &lineConn{s: s, link: l, line: &proxy.BackendConn{}, cancel: func() {}, m: proxy.NewResponseReader(s.shared), grant: make(chan bool, 1)}, peer, s
}

// toldUnsent fails unless the last thing that the core was told is that the line went down and nothing had been sent on it.
func toldUnsent(t *testing.T, s *Server) {
	t.Helper()
	if n := len(s.queue); n != 1 || s.queue[0].kind != lineDown || !s.queue[0].unsent {
		t.Errorf("the core is told %+v", s.queue)
	}
}

// readable waits until bytes, or an end, lie at a link.
func readable(t *testing.T, l *link) {
	t.Helper()
	if err := l.raw.Read(func(fd uintptr) bool { return peek(fd) }); err != nil {
		t.Fatal(err)
	}
}

// TestBytesBeforeTheRequest: a second answer, or half a line, that lies on a resting line as the next request is to be
// written would be taken for its answer. The request is not written, and may be sent elsewhere as one that never ran.
func TestBytesBeforeTheRequest(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"an answer":   func(p *net.TCPConn) { io.WriteString(p, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") },
		"half a line": func(p *net.TCPConn) { io.WriteString(p, "HTT") },
		"an end":      func(p *net.TCPConn) { p.Close() },
		"a reset":     func(p *net.TCPConn) { p.SetLinger(0); p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			lc, peer, s := aLine(t)
			act(peer)
			readable(t, lc.link)
			lc.write(&proxy.Exchange{Method: "GET"}, []byte("GET / HTTP/1.1\r\n\r\n"))
			toldUnsent(t, s)
			lc.link.close()
			if b, _ := io.ReadAll(peer); len(b) > 0 {
				t.Errorf("written all the same: %q", b)
			}
		})
	}
}

// TestRestingLineEnds: what a backend says or does on a resting line, before the core hears of it, counts as nothing sent, also
// when the core has put a request on the line meanwhile.
func TestRestingLineEnds(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"noise": func(p *net.TCPConn) { io.WriteString(p, "noise\r\n\r\n") },
		"end":   func(p *net.TCPConn) { p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			lc, peer, s := aLine(t)
			act(peer)
			if lc.turn(lc.link) {
				t.Error("the line goes on")
			}
			lc.write(&proxy.Exchange{Method: "GET"}, []byte("x")) // decided on before the line's end was heard of
			toldUnsent(t, s)
		})
	}
}

// TestPartlyWritten: a request of which the kernel took a part before the connection broke never ran; one that went out whole
// may have.
func TestPartlyWritten(t *testing.T) {
	for _, whole := range []bool{false, true} {
		lc, peer, s := aLine(t)
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
		for lc.turn(lc.link) {
		}
		if !whole {
			toldUnsent(t, s)
		} else if n := len(s.queue); n != 1 || s.queue[0].kind != answer || s.queue[0].answer.Kind != proxy.Malformed {
			t.Errorf("the core is told %+v", s.queue)
		}
	}
}

// clientOf waits until a front door has a client's connection, and returns its side of it.
func (r *rig) clientOf(c net.Conn) *clientConn {
	for ; ; runtime.Gosched() {
		r.s.cmu.Lock()
		for cc := range r.s.clients {
			if cc.link.conn.RemoteAddr().String() == c.LocalAddr().String() {
				r.s.cmu.Unlock()
				return cc
			}
		}
		r.s.cmu.Unlock()
	}
}

// TestRequestAsTheConnectionEnds: a request that is there as a resting connection is told to end, read or not yet read, is
// answered before it ends.
func TestRequestAsTheConnectionEnds(t *testing.T) {
	count, _ := tally(t)
	r := startNode(t, startLists(t).addr, count, 64, named(t, "a"))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	cc := r.clientOf(c)
	for id := 1; id <= 3; id++ {
		cc.mu.Lock()
		if id == 3 { // the reader wakes before the bytes are there
			cc.shutLocked()
		}
		io.WriteString(c, lookUp(id))
		if id == 2 { // the reader has the bytes, or will find them
			cc.shutLocked()
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
	cc.shut()
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("a resting connection that is told to end: %v", err)
	}
}

// TestLastAnswerIsNotTakenBack: bytes that come behind the last answer, while a part of it is still on its way, must not reset
// the connection.
func TestLastAnswerIsNotTakenBack(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	box := rawBox(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			in.ReadByte()
		}
	})
	count, _ := tally(t)
	r := startNode(t, startLists(t).addr, count, 64, box)
	d := net.Dialer{Control: smallWindow}
	c, err := d.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, strings.Replace(lookUp(1), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	cc := r.clientOf(c)
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

// TestAcceptedLast: a connection that came in before accepting ends, and was not accepted by then, gets its answer.
func TestAcceptedLast(t *testing.T) {
	count, _ := tally(t)
	r := startNode(t, startLists(t).addr, count, 64, named(t, "a"))
	r.served(1, "a")
	r.s.mu.Lock() // accepting waits here, once the first of these is in
	first, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	r.clientOf(first)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, lookUp(2))
	r.s.ln.SetDeadline(time.Unix(1, 0)) // as at the end of limits.stop-delay
	r.s.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 {
		t.Errorf("%d %s", resp.StatusCode, body)
	}
}

// TestLeavingClientsAreNotServed: a client that goes while the line for its request is being made has nothing sent for it, also
// where attempts can't be withdrawn, as on this platform.
func TestLeavingClientsAreNotServed(t *testing.T) {
	asked := make(chan string, 16)
	box := rawBox(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			asked <- req.Header.Get("X-Request-Id")
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	count, _ := tally(t)
	r := startNode(t, startLists(t).addr, count, 64, box)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	cc := r.clientOf(c)
	hold, held := make(chan struct{}), make(chan struct{})
	r.s.post(post{kind: inquiry, look: func(*proxy.Instance, time.Duration) { close(held); <-hold }}) // what comes now waits in the queue
	<-held
	io.WriteString(c, strings.Replace(lookUp(7), "spread=2", "spread=1", 1)) // no counter is asked
	for waiting := false; !waiting; runtime.Gosched() {
		cc.mu.Lock()
		waiting = cc.m.AwaitingResponse()
		cc.mu.Unlock()
	}
	c.Close()
	for gone := false; !gone; runtime.Gosched() {
		cc.mu.Lock()
		gone = cc.closed
		cc.mu.Unlock()
	}
	close(hold)
	r.status(strings.Replace(lookUp(8), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	close(asked)
	for id := range asked {
		if id != "0000000000000008" {
			t.Errorf("sent for a client that had gone: %s", id)
		}
	}
}

// TestMovesInARow: discovery and counter that move several times at once end up at the last address.
func TestMovesInARow(t *testing.T) {
	d, last := startLists(t), startLists(t)
	count, _ := tally(t)
	count2, calls := tally(t)
	a := named(t, "a")
	r := startNode(t, d.addr, count, 64, a)
	r.served(1, "a")
	dead := agent(t, func(int, net.Conn, string) {})
	for range 3 {
		r.s.Move(dead, "127.0.0.1:1")
		r.s.Move(d.addr, count)
		r.s.Move(last.addr, count2)
	}
	for got := ""; !strings.HasPrefix(got, "/v1/endpoints?follow=1&since=7"); {
		got = <-last.seen
	}
	r.logged("addr=" + count2)
	for id := 2; calls() == 0; id++ {
		r.served(id, "a")
	}
}

// TestStopBeforeTheFirstRead: a request on a connection that was accepted, but not read, as the front door stopped taking
// requests gets an answer: it is refused.
func TestStopBeforeTheFirstRead(t *testing.T) {
	count, _ := tally(t)
	r := startNode(t, startLists(t).addr, count, 64, named(t, "a"))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	cc := r.clientOf(c)
	cc.mu.Lock()
	io.WriteString(c, lookUp(1))
	r.stop()
	for !r.s.shared.Draining() {
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
