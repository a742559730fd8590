package drill

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sandyard/invariant"
)

// delayedClient is a drill with one instance, whose client can be delayed.
type delayedClient struct {
	*Drill
	statedTimeouts chan time.Duration // the timeout that each request states
	silent         atomic.Bool        // the instance no longer answers
}

func startDelayedClient(t *testing.T) *delayedClient {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	delayed := &delayedClient{statedTimeouts: make(chan time.Duration, 16)}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { // ends with the listener
		milliseconds, err := strconv.Atoi(request.Header.Get("X-Patience"))
		if err != nil {
			t.Errorf("patience: %v", err)
		}
		delayed.statedTimeouts <- time.Duration(milliseconds) * time.Millisecond
		io.Copy(io.Discard, request.Body)
		if delayed.silent.Load() {
			<-request.Context().Done()
		}
	}))
	delayed.Drill = &Drill{options: Options{Instances: 1}, origin: time.Now(), auditor: invariant.New(limits(defaultSlack)),
		clients: []*client{{address: listener.Addr().String()}}}
	t.Cleanup(delayed.clients[0].close)
	return delayed
}

// send sends a request. Its client is held up for delay after the timeout of the request has started.
func (delayed *delayedClient) send(id string, timeout, delay time.Duration) invariant.Ending {
	client := delayed.clients[0]
	client.mu.Lock()
	time.AfterFunc(delay, client.mu.Unlock)
	request := invariant.Request{ID: id, Operation: id, Timeout: timeout}
	return delayed.Drill.send(&request, classes[0], &customer{name: "a"}, 0, rand.New(rand.NewPCG(1, 1)))
}

// TestLateClientTellsTimeLeft guards against a client that is delayed before it writes its request and still states its full
// timeout: it then times out before an answer that the instance sends within that timeout.
func TestLateClientTellsTimeLeft(t *testing.T) {
	const timeout, delay = 5 * time.Second, 200 * time.Millisecond
	delayed := startDelayedClient(t)
	if ending := delayed.send("a", timeout, delay); ending != invariant.Served {
		t.Errorf("the request ended as %v", ending)
	}
	if stated := <-delayed.statedTimeouts; stated > timeout-delay || stated <= 0 {
		t.Errorf("the client had %v left but stated %v", timeout-delay, stated)
	}
}

// TestUnwrittenRequestIsNotAccepted guards against a false violation: a request counted as accepted and unanswered although its
// client was delayed for the whole timeout and had not written a byte. A written request without an answer must still count.
func TestUnwrittenRequestIsNotAccepted(t *testing.T) {
	const timeout = 200 * time.Millisecond
	delayed := startDelayedClient(t)
	if ending := delayed.send("a", time.Minute, 0); ending != invariant.Served { // leaves an idle connection for the next request
		t.Fatalf("the request before ended as %v", ending)
	}
	if ending := delayed.send("b", timeout, timeout+50*time.Millisecond); ending != invariant.NotAccepted {
		t.Errorf("the request that was not written ended as %v", ending)
	}
	delayed.silent.Store(true)
	if ending := delayed.send("c", timeout, 0); ending != invariant.ClientTimedOut {
		t.Errorf("the request that got no answer ended as %v", ending)
	}
	verdict := delayed.auditor.Verdict()
	if lost := verdict.Rules[0].Count; lost != 1 {
		t.Errorf("%d requests count as lost, want 1: %+v", lost, verdict.Rules[0])
	}
}

// TestLateClientReadsWhatArrived guards against blaming the instance for a delay of the client: an answer that had arrived before
// the deadline but was read after it counted as late or missing. An answer that arrives after the deadline must still count as
// missing.
func TestLateClientReadsWhatArrived(t *testing.T) {
	const late = 50 * time.Millisecond
	for _, c := range []struct {
		name     string
		deadline time.Duration // relative to the arrival of the answer
		want     invariant.Ending
	}{
		{"arrived in time", late / 2, invariant.Served},
		{"arrived late", -late / 2, invariant.ClientTimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			delayed := startDelayedClient(t)
			client := delayed.clients[0]
			conn, err := client.get(time.Now().Add(time.Second))
			if err != nil {
				t.Fatal(err)
			}
			conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nX-Patience: 1\r\nContent-Length: 0\r\n\r\n"))
			conn.reader.Expect("POST")
			waitForInput(t, conn)
			arrivedAt := conn.lastArrival()
			time.Sleep(late)
			conn.SetDeadline(arrivedAt)
			var times callTimes
			ending, _ := client.readResponse(conn, arrivedAt.Add(c.deadline), &times)
			if ending != c.want {
				t.Errorf("the request ended as %v, want %v", ending, c.want)
			}
			if off := times.answered.Sub(arrivedAt).Abs(); ending == invariant.Served && off > late/2 {
				t.Errorf("the recorded time of the answer differs from its arrival by %v", off)
			}
		})
	}
}

// waitForInput waits until a connection has bytes to read, and does not consume them.
func waitForInput(t *testing.T, conn *clientConn) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		n := 0
		conn.raw.Control(func(fd uintptr) {
			var b [1]byte
			n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		if n > 0 {
			return
		}
	}
	t.Fatal("no answer arrived")
}
