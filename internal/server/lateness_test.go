package server

import (
	"net/http"
	"testing"
	"time"

	"sandyard/proxy"
)

// sendTimed sends a request that is not idempotent, whose client waits for a number of milliseconds. answered is closed
// with its answer.
func (r *gateway) sendTimed(timeout string) (answered <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if status := r.status(request("POST", "/pay", "ka", "Content-Length: 0\r\nX-Patience: "+timeout+"\r\n")); status != http.StatusGatewayTimeout {
			r.Errorf("status %d", status)
		}
	}()
	return done
}

// holdUpFor queues a message that holds the event loop up for a time.
func (r *gateway) holdUpFor(d time.Duration) {
	r.server.post(inspection(func(*proxy.Instance, time.Duration) { time.Sleep(d) }))
}

// TestDeadlineWithinBatch: a request's deadline passes while the event loop is busy with a batch of messages, as it is on a
// machine that seldom runs it. The answer must not wait for the end of the batch.
func TestDeadlineWithinBatch(t *testing.T) {
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	answered := r.sendTimed("300")
	<-got
	release := r.hold()
	r.holdUpFor(400 * time.Millisecond)
	r.server.post(inspection(func(*proxy.Instance, time.Duration) {
		select {
		case <-answered:
		case <-time.After(orderTimeout):
			t.Error("the answer waits for the end of the batch")
		}
	}))
	release()
	<-answered
}
