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

	"sandyard/emulator"
)

// TestExpiredReadDeadlineEndsOneRead: a read deadline passed while a response was awaited, and was not cleared. Every further
// read ended at once, and the reader spun until the response arrived. An expired deadline must end only one read.
func TestExpiredReadDeadlineEndsOneRead(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{Work: 300 * time.Millisecond}, nil)
	r := startGateway(t, "", "limits: {first-timeout: 50ms}\n", b.Addr())
	if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
		t.Fatalf("%d", s)
	}
	if n := r.server.expiredReads.Load(); n > 2 {
		t.Errorf("%d reads ended at a deadline while one response was awaited", n)
	}
}

// TestRequestDuringIdleCloseIsAnswered: when a server closes an idle connection while a request is in flight, the client sees
// a reset. A request that arrives while the close of its connection is requested must be answered before the connection
// closes, whether it has been read or not.
func TestRequestDuringIdleCloseIsAnswered(t *testing.T) {
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, startNamedBackend(t, "a"))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	cc := r.clientConnOf(c)
	for id := 1; id <= 3; id++ {
		cc.mu.Lock()
		if id == 3 { // the reader wakes before the bytes arrive
			cc.requestCloseLocked()
		}
		io.WriteString(c, nodeRequest(id))
		if id == 2 { // the reader has the bytes or is about to read them
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
		t.Errorf("an idle connection after requestClose: %v", err)
	}
}

// TestLingeringCloseDeliversLastResponse: closing a socket with unread bytes resets the connection, and the client's kernel
// then discards data that the client has not read. A client that sends bytes after its last request, while the response is
// still being delivered, must receive the whole response.
func TestLingeringCloseDeliversLastResponse(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	backend := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			in.ReadByte()
		}
	})
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, backend)
	d := net.Dialer{Control: smallWindow}
	c, err := d.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, strings.Replace(nodeRequest(1), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	cc := r.clientConnOf(c)
	for done := false; !done; runtime.Gosched() { // the kernel has the response, most of which the client has not read
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

// TestAdmitsWithinQuotaAndRejectsBeyond: a customer with a burst of 3 sends 6 requests. Three are served and the rest are
// rejected with 429. Another customer is not affected.
func TestAdmitsWithinQuotaAndRejectsBeyond(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "", b.Addr())
	got := r.exchange(strings.Repeat(request("GET", "/look", "kb", ""), 6), 6)
	for i, resp := range got {
		if want := map[bool]int{true: 200, false: 429}[i < 3]; resp.StatusCode != want {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
	}
	body, _ := io.ReadAll(got[5].Body)
	if got[5].Header.Get("Content-Type") != "application/problem+json" || !strings.Contains(string(body), `"retry":"harmless"`) {
		t.Errorf("%s", body)
	}
	if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
		t.Errorf("another customer: %d", s)
	}
}

// TestPipelinedRequestsAreAnsweredInOrder: a client sends 100 requests in one write, one of them for an unknown route. It must
// receive all responses in order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{Work: time.Millisecond}, nil)
	r := startGateway(t, "", "", b.Addr())
	text := strings.Repeat(request("POST", "/look", "ka", "Content-Length: 3\r\n")+"abc", 60) + request("GET", "/nowhere", "ka", "") +
		strings.Repeat(request("GET", "/look", "ka", ""), 39)
	for i, resp := range r.exchange(text, 100) {
		if want := map[bool]int{true: 404, false: 200}[i == 60]; resp.StatusCode != want {
			t.Errorf("response %d: %d", i, resp.StatusCode)
		}
	}
}

// TestLargeResponsesAndSlowClients: a response far larger than the buffers must arrive completely. A client that does not read
// its response must not delay others, and is disconnected after limits.write-timeout.
func TestLargeResponsesAndSlowClients(t *testing.T) {
	const size = 16 << 20
	b := startBackend(t, emulator.BackendConfig{BodySize: size}, nil)
	small := startBackend(t, emulator.BackendConfig{}, nil)
	r := startGateway(t, "", "limits: {write-timeout: 300ms, stream-silence: 20s}\n", b.Addr())
	resp := r.exchange(request("GET", "/look", "ka", ""), 1)[0]
	if n, _ := io.Copy(io.Discard, resp.Body); n != size {
		t.Errorf("%d bytes", n)
	}
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, request("GET", "/look", "ka", ""))
	if _, err := io.ReadFull(conn, make([]byte, 1000)); err != nil { // the response has started
		t.Fatal(err)
	}
	r.replaceFile("boxes.yaml", endpointsYAML(small.Addr()))
	r.waitForLog("boxes=1")
	for range 20 {
		if s := r.status(request("GET", "/look", "ka", "")); s != 200 {
			t.Errorf("request during a slow client's response: %d", s)
		}
	}
	r.waitForLog("client took too long")
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := io.Copy(io.Discard, conn); err == nil && n >= size-1000 {
		t.Errorf("a client that stopped reading got %d bytes", n)
	}
}

// TestClientDisconnectCancelsTheAttempt: a client disconnects while a backend processes its request. The attempt must be
// cancelled by closing the connection to the backend.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	got, closed := make(chan struct{}), make(chan struct{})
	addr := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		in.ReadString('\n')
		close(got)
		io.Copy(io.Discard, in)
		close(closed)
	})
	r := startGateway(t, "", "", addr)
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, request("GET", "/look", "ka", ""))
	<-got
	conn.Close()
	<-closed
}

// TestMalformedRequestsReachNoBackend: requests that two parsers could frame differently, or that are too long, are rejected
// with a status for the reason. No byte of them may reach a backend.
func TestMalformedRequestsReachNoBackend(t *testing.T) {
	var seen atomic.Int64
	addr := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := in.ReadByte(); err == nil {
			seen.Add(1)
		}
	})
	r := startGateway(t, "", "", addr)
	for text, want := range map[string]int{
		request("POST", "/look", "ka", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n": 400,
		request("POST", "/look", "ka", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abc":                400,
		request("POST", "/look", "ka", "Transfer-Encoding: chunked\r\n") + "zz\r\n":                         400,
		request("GET", "/look", "ka", "X : y\r\n"):                                                          400,
		"GET http://other/look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\n\r\n":                                400,
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n":                                                    400,
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n":                                                                  505,
		request("GET", "/look", "ka", "X: "+strings.Repeat("y", 40000)+"\r\n"):                              431,
		request("POST", "/look", "ka", "Content-Length: 2000000\r\n"):                                       413,
		"GET /look HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Api-Key: kx\r\n", 2) + "\r\n":               401,
	} {
		if s := r.status(text); s != want {
			t.Errorf("%.60q: %d, want %d", text, s, want)
		}
	}
	if seen.Load() != 0 {
		t.Errorf("%d of them reached the backend", seen.Load())
	}
}
