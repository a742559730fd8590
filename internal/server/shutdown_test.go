package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// dialIntoBacklog locks queueMu and opens a connection that stays in the backlog until queueMu is unlocked. Before that it waits
// until the accept loop waits for queueMu, since a loop that has not come there yet could still accept a connection.
func (r *serverRig) dialIntoBacklog() net.Conn {
	r.Helper()
	r.server.queueMu.Lock()
	r.dial() // ends an accept call in progress; if there is none, it stays in the backlog, too
	for !strings.Contains(stacksOfAllGoroutines(), ".(*Server).waitForQueueSpace(") {
		time.Sleep(time.Millisecond)
	}
	return r.dial()
}

// stacksOfAllGoroutines returns the stack traces of all goroutines.
func stacksOfAllGoroutines() string {
	stacks := make([]byte, 1<<20)
	return string(stacks[:runtime.Stack(stacks, true)])
}

// dial opens a connection that is closed at the end of the test.
func (r *serverRig) dial() net.Conn {
	r.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { conn.Close() })
	return conn
}

// TestBacklogIsAnsweredWhenAcceptingEnds checks a connection that is in the backlog when the deadline of the listener passes. The
// accept call then ends without returning it, and it would be reset with its request. It must be accepted and answered.
func TestBacklogIsAnsweredWhenAcceptingEnds(t *testing.T) {
	counterAddr, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counterAddr, 64, startNamedBackend(t, "a"))
	r.requireServedBy(1, "a")
	c := r.dialIntoBacklog()
	io.WriteString(c, nodeRequest(2))
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

// TestFirstRequestDuringDrainIsRejected checks a connection that was accepted but not read when the instance stopped accepting
// requests. Its request must be answered with 503; the connection must not be reset.
func TestFirstRequestDuringDrainIsRejected(t *testing.T) {
	counterAddr, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counterAddr, 64, startNamedBackend(t, "a"))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	cc := r.clientConnOf(c)
	cc.mu.Lock()
	io.WriteString(c, nodeRequest(1))
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

// TestConnectionsAreAcceptedDuringStopDelay checks connections that a load balancer still opens for a moment after the signal to
// stop. Those within limits.stop-delay must be served, and the instance must then end without leaving a client unanswered.
func TestConnectionsAreAcceptedDuringStopDelay(t *testing.T) {
	counterAddr, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counterAddr, 64, startNamedBackend(t, "a"))
	r.requireServedBy(1, "a")
	r.stop()
	resp := r.exchange(nodeRequest(2), 1)[0]
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

// TestGracefulShutdown checks an instance that is stopped with a request in flight and an idle connection. The idle connection is
// closed, the request is answered, no new connection is accepted, and Serve returns nil.
func TestGracefulShutdown(t *testing.T) {
	got, answer := make(chan struct{}), make(chan struct{})
	addr := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(got)
		<-answer
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		io.Copy(io.Discard, in)
	})
	r := startGateway(t, "", "", addr)
	idle, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	done := make(chan *http.Response)
	go func() { done <- r.exchange(request("GET", "/look", "ka", ""), 1)[0] }()
	<-got
	r.stop()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	close(answer)
	if resp := <-done; resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
	if err := <-r.served; err != nil {
		t.Error(err)
	}
	close(r.served)
	if _, err := net.Dial("tcp", r.addr); err == nil {
		t.Error("still accepting")
	}
}

// TestTimeInBacklogCounts checks that the time of a request in the backlog counts towards its client's timeout. If that began
// when the request is read, the backend would get a deadline beyond the time left, and the answer would come after the
// timeout.
func TestTimeInBacklogCounts(t *testing.T) {
	const timeout, inBacklog = 1000, 300 // milliseconds; the timeout is under the objective, which bounds a first attempt
	deadlines := make(chan string, 1)
	backend := startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		if req, err := http.ReadRequest(in); err == nil {
			deadlines <- req.Header.Get("X-Deadline-Ms")
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		}
	})
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, backend)
	c := r.dialIntoBacklog()
	io.WriteString(c, strings.Replace(nodeRequest(1), "X-Deadline-Ms: 4000", fmt.Sprintf("X-Deadline-Ms: %d", timeout), 1))
	time.Sleep(inBacklog * time.Millisecond)
	r.server.queueMu.Unlock()
	given, err := strconv.Atoi(<-deadlines)
	if most := timeout - inBacklog*9/10; err != nil || given > most {
		t.Errorf("the backend gets a deadline of %d ms (%v), want at most %d", given, err, most)
	}
}
