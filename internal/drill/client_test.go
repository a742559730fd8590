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

// heldClient is a drill with one instance, whose client can be held up.
type heldClient struct {
	*Drill
	patience chan time.Duration // as each request states it
	silent   atomic.Bool        // the instance answers no more
}

func startHeldClient(t *testing.T) *heldClient {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	held := &heldClient{patience: make(chan time.Duration, 16)}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { // ends with the listener
		milliseconds, err := strconv.Atoi(request.Header.Get("X-Patience"))
		if err != nil {
			t.Errorf("patience: %v", err)
		}
		held.patience <- time.Duration(milliseconds) * time.Millisecond
		io.Copy(io.Discard, request.Body)
		if held.silent.Load() {
			<-request.Context().Done()
		}
	}))
	held.Drill = &Drill{options: Options{Instances: 1}, origin: time.Now(), auditor: invariant.New(limits(defaultSlack)),
		clients: []*client{{address: listener.Addr().String()}}}
	t.Cleanup(held.clients[0].close)
	return held
}

// send sends a request whose client is held up for a time after the request's own time has begun to count.
func (held *heldClient) send(id string, timeout, holdUp time.Duration) invariant.Ending {
	client := held.clients[0]
	client.mu.Lock()
	time.AfterFunc(holdUp, client.mu.Unlock)
	request := invariant.Request{ID: id, Operation: id, Timeout: timeout}
	return held.Drill.send(&request, classes[0], &customer{name: "a"}, 0, rand.New(rand.NewPCG(1, 1)))
}

// TestLateClientTellsTimeLeft: a client of the drill that was held up before it wrote its request told the instance its whole
// timeout, and had given up when the answer came in that time.
func TestLateClientTellsTimeLeft(t *testing.T) {
	const timeout, holdUp = 5 * time.Second, 200 * time.Millisecond
	held := startHeldClient(t)
	if ending := held.send("a", timeout, holdUp); ending != invariant.Served {
		t.Errorf("the request ended as %v", ending)
	}
	if stated := <-held.patience; stated > timeout-holdUp || stated <= 0 {
		t.Errorf("the client had %v left, and stated %v", timeout-holdUp, stated)
	}
}

// TestUnwrittenRequestIsNotAccepted: a request whose client was held up for all of its time, and had not written a byte of it,
// counted as one that the instance had accepted and left without an answer. One that was written and gets none still does.
func TestUnwrittenRequestIsNotAccepted(t *testing.T) {
	const timeout = 200 * time.Millisecond
	held := startHeldClient(t)
	if ending := held.send("a", time.Minute, 0); ending != invariant.Served { // leaves a connection to be used again
		t.Fatalf("the request before ended as %v", ending)
	}
	if ending := held.send("b", timeout, timeout+50*time.Millisecond); ending != invariant.NotAccepted {
		t.Errorf("the request that was not written ended as %v", ending)
	}
	held.silent.Store(true)
	if ending := held.send("c", timeout, 0); ending != invariant.ClientTimedOut {
		t.Errorf("the request that got no answer ended as %v", ending)
	}
	verdict := held.auditor.Verdict()
	if lost := verdict.Rules[0].Count; lost != 1 {
		t.Errorf("%d requests count as lost, want 1: %+v", lost, verdict.Rules[0])
	}
}

// TestLateClientReadsWhatArrived: an answer that had arrived in its time, and that a client of the drill read only after it, counted
// as late by the client's own lateness, or as none. One that arrives after the client's time still counts as none.
func TestLateClientReadsWhatArrived(t *testing.T) {
	const late = 50 * time.Millisecond
	for _, c := range []struct {
		name     string
		deadline time.Duration // from the arrival of the answer on
		want     invariant.Ending
	}{
		{"arrived in time", late / 2, invariant.Served},
		{"arrived late", -late / 2, invariant.ClientTimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			held := startHeldClient(t)
			client := held.clients[0]
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
				t.Errorf("the answer counts as of %v off its arrival", off)
			}
		})
	}
}

// waitForInput waits until bytes are there to be read on a connection, and leaves them there.
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
	t.Fatal("no answer comes")
}
