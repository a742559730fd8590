package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sandyard/internal/platform"
	"sandyard/proxy"
)

// newTestBackendConn returns a connection to a backend without a reading goroutine, the backend's end, and a server that only
// queues the messages to its event loop.
func newTestBackendConn(t *testing.T) (*backendConn, *net.TCPConn, *Server) {
	t.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, nodeConfig, "127.0.0.1:1", "127.0.0.1:1", 64, "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	socket, peer := newSocketPair(t)
	s := &Server{cfg: n.Config, shared: &proxy.Shared{Config: n.Config, Protocol: n}}
	return &backendConn{server: s, socket: socket, conn: &proxy.BackendConn{}, cancel: func() {}, responses: proxy.NewResponseReader(s.shared), streamPermit: make(chan bool, 1)}, peer, s
}

// requireReportedNotSent fails unless the only message to the event loop is that the connection was lost before the request
// was completely sent.
func requireReportedNotSent(t *testing.T, s *Server) {
	t.Helper()
	if len(s.queue) != 1 {
		t.Errorf("messages to the event loop: %+v", s.queue)
		return
	}
	if _, ok := s.queue[0].(backendDisconnected); !ok {
		t.Errorf("message to the event loop: %+v", s.queue[0])
	}
}

// TestNoRequestIsWrittenBehindUnreadBytes: unread bytes on an idle backend connection, such as a second response or a part of
// one, would be taken for the response to the next request. The request must not be written. It counts as never sent, so
// that it may be sent to another backend.
func TestNoRequestIsWrittenBehindUnreadBytes(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"an answer":   func(p *net.TCPConn) { io.WriteString(p, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") },
		"half a line": func(p *net.TCPConn) { io.WriteString(p, "HTT") },
		"an end":      func(p *net.TCPConn) { p.Close() },
		"a reset":     func(p *net.TCPConn) { p.SetLinger(0); p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			bc, peer, s := newTestBackendConn(t)
			act(peer)
			waitReadable(t, bc.socket)
			bc.write(&proxy.Exchange{Method: "GET"}, []byte("GET / HTTP/1.1\r\n\r\n"))
			requireReportedNotSent(t, s)
			bc.socket.close()
			if b, _ := io.ReadAll(peer); len(b) > 0 {
				t.Errorf("the request was written: %q", b)
			}
		})
	}
}

// TestIdleBackendConnectionEndCountsAsNotSent: a backend closes an idle connection, or sends bytes on it, and the event loop
// writes a request to the connection before it handles that. The request counts as never sent and is reported once.
func TestIdleBackendConnectionEndCountsAsNotSent(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"noise": func(p *net.TCPConn) { io.WriteString(p, "noise\r\n\r\n") },
		"end":   func(p *net.TCPConn) { p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			bc, peer, s := newTestBackendConn(t)
			act(peer)
			if bc.readOnce(bc.socket) {
				t.Error("the connection is still read")
			}
			bc.write(&proxy.Exchange{Method: "GET"}, []byte("x")) // before the event loop has handled the end of the connection
			requireReportedNotSent(t, s)
		})
	}
}

// TestPartlyWrittenRequestCountsAsNotSent: a connection is reset while a request is written. If the kernel accepted only a part
// of the request, the backend cannot have started it: it counts as never sent and may be retried. If the kernel accepted all
// of it, it may have run, and the result is a malformed response.
func TestPartlyWrittenRequestCountsAsNotSent(t *testing.T) {
	for _, whole := range []bool{false, true} {
		bc, peer, s := newTestBackendConn(t)
		wire := []byte("POST / HTTP/1.1\r\n\r\n")
		if !whole {
			wire = append(wire, make([]byte, 32<<20)...) // more than the kernel buffers
		}
		bc.write(&proxy.Exchange{Method: "POST"}, wire)
		if whole {
			io.ReadFull(peer, wire)
		}
		peer.SetLinger(0)
		peer.Close()
		for bc.readOnce(bc.socket) {
		}
		if !whole {
			requireReportedNotSent(t, s)
			continue
		}
		if len(s.queue) != 1 {
			t.Fatalf("messages to the event loop: %+v", s.queue)
		}
		if m, ok := s.queue[0].(*responseReceived); !ok || m.response.Kind != proxy.Malformed {
			t.Errorf("message to the event loop: %+v", s.queue[0])
		}
	}
}

// TestNothingIsSentForDisconnectedClient: a client disconnects while the backend connection for its request is being
// established. No attempt may be sent for it, even where an attempt cannot be cancelled once it is sent, as on the platform.
func TestNothingIsSentForDisconnectedClient(t *testing.T) {
	received := make(chan string, 16)
	backend := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			received <- req.Header.Get("X-Request-Id")
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, backend)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	cc := r.clientConnOf(c)
	release, blocked := make(chan struct{}), make(chan struct{})
	r.server.post(inspection(func(*proxy.Instance, time.Duration) { close(blocked); <-release })) // further messages stay in the queue
	<-blocked
	io.WriteString(c, strings.Replace(nodeRequest(7), "spread=2", "spread=1", 1)) // no call to the counter
	for waiting := false; !waiting; runtime.Gosched() {
		cc.mu.Lock()
		waiting = cc.client.AwaitingResponse()
		cc.mu.Unlock()
	}
	c.Close()
	for closed := false; !closed; runtime.Gosched() {
		cc.mu.Lock()
		closed = cc.closed
		cc.mu.Unlock()
	}
	close(release)
	r.status(strings.Replace(nodeRequest(8), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	close(received)
	for id := range received {
		if id != "0000000000000008" {
			t.Errorf("sent for a client that had disconnected: %s", id)
		}
	}
}

// TestBackendClosingIdleConnections: a backend closes each connection after its response without announcing it. No request may
// run twice, and at least half of the requests that are not idempotent must succeed.
func TestBackendClosingIdleConnections(t *testing.T) {
	var runs atomic.Int64
	addr := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, q.Body)
		runs.Add(1)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	r := startGateway(t, "", "", addr, addr)
	served, failed := 0, 0
	for range 60 {
		switch s := r.status(request("POST", "/pay", "ka", "Content-Length: 0\r\n")); s {
		case 200:
			served++
		case 502:
			failed++
		default:
			t.Errorf("unsafe: %d", s)
		}
	}
	if int(runs.Load()) > 60 || served < 30 {
		t.Errorf("60 unsafe requests ran %d times; %d served, %d failed", runs.Load(), served, failed)
	}
	for range 60 {
		if s := r.status(request("GET", "/look", "ka", "")); s != 200 && s != 503 {
			t.Errorf("safe: %d", s)
		}
	}
}

// TestLargeHealthCheckResponse: the response to a health check was larger than the buffer for a response (hold-answer). The
// gateway tried to stream it to a client, which a health check does not have, and the process crashed with all its requests.
func TestLargeHealthCheckResponse(t *testing.T) {
	checked := make(chan struct{}, 1)
	backend := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body := "hi"
			if req.URL.Path == "/load" {
				body = strings.Repeat("x", 4*readSize)
				select {
				case checked <- struct{}{}:
				default:
				}
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	text := strings.Replace(gatewayText, "load: {via: answers,", "probes: {allowed: true}\nload: {via: probes,", 1)
	r := startGatewayOf(t, text+"limits: {hold-answer: 1KiB}\n", backend)
	for range 3 {
		<-checked
		if status := r.status(request("GET", "/look", "ka", "")); status != 200 {
			t.Errorf("request during health checks: %d", status)
		}
	}
}
