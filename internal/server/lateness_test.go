package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"sandyard/proxy"
)

// sendWithTimeout sends a request that is not idempotent, with the timeout of its client in milliseconds. answered is closed when
// the request is answered.
func (r *serverRig) sendWithTimeout(timeout string) (answered <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if status := r.status(request("POST", "/pay", "ka", "Content-Length: 0\r\nX-Patience: "+timeout+"\r\n")); status != http.StatusGatewayTimeout {
			r.Errorf("status %d", status)
		}
	}()
	return done
}

// blockLoopFor queues a message that blocks the event loop for a time.
func (r *serverRig) blockLoopFor(d time.Duration) {
	r.server.post(inspection(func(*proxy.Instance, time.Duration) { time.Sleep(d) }))
}

// TestDeadlineWithinBatch checks a deadline that passes while the event loop handles a long batch of messages, as on a machine that
// seldom schedules it. The instance's answer must not wait for the end of the batch.
func TestDeadlineWithinBatch(t *testing.T) {
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	answered := r.sendWithTimeout("300")
	<-got
	release := r.hold()
	r.blockLoopFor(400 * time.Millisecond)
	r.server.post(inspection(func(instance *proxy.Instance, _ time.Duration) {
		if instance.Unanswered() > 0 {
			t.Error("the answer waits for the end of the batch")
		}
	}))
	release()
	<-answered
}

// TestLateInstanceAnswersEarlier guards against answers after the client's timeout: an event loop that had been late was late again
// at the deadline of a request.
func TestLateInstanceAnswersEarlier(t *testing.T) {
	const (
		delay         = 300 * time.Millisecond
		clientTimeout = 2 * time.Second
	)
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	release := r.hold()
	time.Sleep(delay)
	release()
	r.waitForLoop()
	sentAt := time.Now()
	answered := r.sendWithTimeout(strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	<-got
	time.Sleep(time.Until(sentAt.Add(clientTimeout - delay/2)))
	r.server.post(inspection(func(instance *proxy.Instance, _ time.Duration) {
		if instance.Unanswered() > 0 {
			t.Error("the instance has not answered earlier")
		}
		time.Sleep(delay) // until the client has timed out
	}))
	<-answered
	if took := time.Since(sentAt); took > clientTimeout {
		t.Errorf("answered after %v, but the client timed out after %v", took, clientTimeout)
	}
}

// TestConnectionAnswersWhileEventLoopIsBlocked guards against answers after the client's timeout: an event loop that had not
// been late before was blocked at the deadline of a request, although the goroutine of the client's connection could run.
func TestConnectionAnswersWhileEventLoopIsBlocked(t *testing.T) {
	const clientTimeout = time.Second
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	answered := r.sendWithTimeout(strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	<-got
	release := r.hold()
	defer release()
	select {
	case <-answered:
	case <-time.After(clientTimeout):
		t.Error("not answered within the client's timeout")
	}
}

// TestConnectionServesNextRequestAfterItsAnswer checks that a connection that has answered in place of a blocked event loop drops the
// instance's later answer and serves the next request.
func TestConnectionServesNextRequestAfterItsAnswer(t *testing.T) {
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(orderTimeout))
	in := bufio.NewReader(c)
	requireStatus := func(want int) {
		t.Helper()
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		if response.StatusCode != want {
			t.Errorf("status %d, want %d", response.StatusCode, want)
		}
	}
	io.WriteString(c, request("POST", "/pay", "ka", "Content-Length: 0\r\nX-Patience: 300\r\n"))
	<-got
	release := r.hold()
	requireStatus(http.StatusGatewayTimeout)
	release()
	r.waitForLoop()
	io.WriteString(c, request("GET", "/nowhere", "ka", ""))
	requireStatus(http.StatusNotFound)
}

// TestRecentLoopDelay checks that a delay counts for at least one period and at most two.
func TestRecentLoopDelay(t *testing.T) {
	const late = 200 * time.Millisecond
	for _, c := range []struct {
		recordedAt, at, want time.Duration
	}{
		{0, 0, late},
		{0, loopDelayPeriod, late},
		{loopDelayPeriod - 1, 2*loopDelayPeriod - 1, late},
		{loopDelayPeriod - 1, 2 * loopDelayPeriod, 0},
		{0, 10 * loopDelayPeriod, 0},
	} {
		var recent recentLoopDelay
		recent.record(c.recordedAt, late)
		recent.record(c.recordedAt, late/2)
		if got := recent.max(c.at); got != c.want {
			t.Errorf("recorded at %v, at %v: %v, want %v", c.recordedAt, c.at, got, c.want)
		}
	}
}
