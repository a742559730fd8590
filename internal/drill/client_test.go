package drill

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"sandyard/invariant"
)

// heldClient is a drill with one instance, whose client can be held up.
type heldClient struct {
	*Drill
	told chan time.Duration // what each request told of its client's patience
}

func startHeldClient(t *testing.T) *heldClient {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	held := &heldClient{told: make(chan time.Duration, 16)}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { // ends with the listener
		patience, err := strconv.Atoi(request.Header.Get("X-Patience"))
		if err != nil {
			t.Errorf("patience: %v", err)
		}
		held.told <- time.Duration(patience) * time.Millisecond
		io.Copy(io.Discard, request.Body)
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
	if told := <-held.told; told > timeout-holdUp || told <= 0 {
		t.Errorf("the client had %v left, and told %v", timeout-holdUp, told)
	}
}
