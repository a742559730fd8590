package server

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestFloodOfLocalResponsesIsPaced guards against other clients' late answers: one client that sent small requests in a row on one
// connection kept the processor from all others. Its connection must be read in turns, and each request must be answered.
func TestFloodOfLocalResponsesIsPaced(t *testing.T) {
	const floodTime = 500 * time.Millisecond
	counter, _ := startCounter(t)
	r := startNode(t, startDiscovery(t).addr, counter, 64, startNamedBackend(t, "a"))
	c := r.dial()
	const request = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n"
	began := time.Now()
	go io.WriteString(c, strings.Repeat(request, 200_000))
	in, answered := bufio.NewReader(c), 0
	for ; time.Since(began) < floodTime; answered++ {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 404 {
			t.Fatalf("response %d: %v %v", answered, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	turns := int(time.Since(began)/pacerPause) + 1
	if most := turns * (readSize/len(request) + 1); answered > most {
		t.Errorf("%d requests were answered in %v, at most %d are wanted", answered, time.Since(began), most)
	}
	r.requireServedBy(1, "a")
}

// TestPacerEndsWithItsContext checks that connections which wait for their turn don't hold up the end of a process.
func TestPacerEndsWithItsContext(t *testing.T) {
	p := newPacer()
	p.turn <- struct{}{} // another connection's turn, which does not end
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.pause(ctx)
}
