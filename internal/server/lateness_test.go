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
// machine that seldom runs it. The instance's answer must not wait for the end of the batch.
func TestDeadlineWithinBatch(t *testing.T) {
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	answered := r.sendTimed("300")
	<-got
	release := r.hold()
	r.holdUpFor(400 * time.Millisecond)
	r.server.post(inspection(func(instance *proxy.Instance, _ time.Duration) {
		if instance.Unanswered() > 0 {
			t.Error("the answer waits for the end of the batch")
		}
	}))
	release()
	<-answered
}

// TestLateInstanceAnswersEarlier: an instance whose event loop had been late was late again as a request's deadline passed, and
// answered after the client had given up.
func TestLateInstanceAnswersEarlier(t *testing.T) {
	const (
		lateness = 300 * time.Millisecond
		patience = 2 * time.Second
	)
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	release := r.hold()
	time.Sleep(lateness)
	release()
	r.waitForLoop()
	sentAt := time.Now()
	answered := r.sendTimed(strconv.FormatInt(patience.Milliseconds(), 10))
	<-got
	time.Sleep(time.Until(sentAt.Add(patience - lateness/2)))
	r.server.post(inspection(func(instance *proxy.Instance, _ time.Duration) {
		if instance.Unanswered() > 0 {
			t.Error("the instance has not answered earlier")
		}
		time.Sleep(lateness) // until the client has given up
	}))
	<-answered
	if took := time.Since(sentAt); took > patience {
		t.Errorf("answered after %v, the client waited for %v", took, patience)
	}
}

// TestConnectionAnswersBesideHeldUpEventLoop: an event loop that had not been late before stood still across a request's deadline,
// and the answer came after the client had given up, though the client's connection could be served.
func TestConnectionAnswersBesideHeldUpEventLoop(t *testing.T) {
	const patience = time.Second
	backend, got := startSilentBackend(t)
	r := startGateway(t, "", "", backend)
	answered := r.sendTimed(strconv.FormatInt(patience.Milliseconds(), 10))
	<-got
	release := r.hold()
	defer release()
	select {
	case <-answered:
	case <-time.After(patience):
		t.Error("not answered in the client's time")
	}
}

// TestConnectionServesOnAfterItsAnswer: the connection that has answered in place of a held-up event loop serves the next request
// on it, and drops the instance's answer to the first.
func TestConnectionServesOnAfterItsAnswer(t *testing.T) {
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

// TestRecentLateness: lateness counts for one period at least, and for two at most.
func TestRecentLateness(t *testing.T) {
	const late = 200 * time.Millisecond
	for _, c := range []struct {
		notedAt, at, want time.Duration
	}{
		{0, 0, late},
		{0, latenessPeriod, late},
		{latenessPeriod - 1, 2*latenessPeriod - 1, late},
		{latenessPeriod - 1, 2 * latenessPeriod, 0},
		{0, 10 * latenessPeriod, 0},
	} {
		var recent recentLateness
		recent.note(c.notedAt, late)
		recent.note(c.notedAt, late/2)
		if got := recent.at(c.at); got != c.want {
			t.Errorf("noted at %v, at %v: %v, want %v", c.notedAt, c.at, got, c.want)
		}
	}
}
