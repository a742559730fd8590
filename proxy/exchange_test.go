package proxy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// TestTransitionTableIsComplete holds the table to what "exactly one final answer" rests on. Each event is accepted in just
// the states that are stated here; what is dropped leaves the state as it is; states are passed in their order.
func TestTransitionTableIsComplete(t *testing.T) {
	accepted := [stateCount][]exchangeEvent{
		Deciding: {eventAttemptSent, eventRejected, eventFailed, eventClientLeft},
		Forwarding: {eventAttemptSent, eventRejected, eventFailed, eventAttemptCancelled, eventAttemptLost, eventResponseComplete,
			eventResponseStarted, eventClientLeft},
		Streaming: {eventAttemptCancelled, eventAttemptLost, eventResponseEnded, eventClientLeft},
		Done:      {eventAttemptCancelled, eventAttemptLost},
	}
	for state := range stateCount {
		for event := range eventCount {
			transition := transitions[state][event]
			if want := slices.Contains(accepted[state], event); transition.accepted != want {
				t.Errorf("state %d, event %d: accepted %v, want %v", state, event, transition.accepted, want)
			}
			if transition.next < state { // also an entry that is missing, in any state but Deciding
				t.Errorf("state %d, event %d: goes back to %d", state, event, transition.next)
			}
			if transition.next != state && !transition.accepted {
				t.Errorf("state %d, event %d: the state changes with an event that is dropped", state, event)
			}
		}
	}
}

// TestEventsThatAnswerEndTheWait states where a client may be answered: only while it has no answer, and whatever answers
// it, or notes that it left, leads to Done, or to Streaming.
func TestEventsThatAnswerEndTheWait(t *testing.T) {
	for state := range stateCount {
		for _, event := range append(slices.Clone(answeringEvents), eventClientLeft) {
			transition := transitions[state][event]
			if transition.accepted && state == Done {
				t.Errorf("event %d is accepted in Done", event)
			}
			if transition.accepted && transition.next != Done && transition.next != Streaming {
				t.Errorf("state %d, event %d: leads to %d", state, event, transition.next)
			}
			if transition.accepted && state == Streaming && event != eventClientLeft {
				t.Errorf("event %d answers a client to which a response is streamed", event)
			}
		}
	}
}

// answeringEvents are the events with which a client gets its final answer, or the beginning of it.
var answeringEvents = []exchangeEvent{eventRejected, eventFailed, eventResponseComplete, eventResponseStarted}

// TestAnySequenceOfEventsGivesOneAnswer walks through all sequences of events that the table allows: none answers a client
// twice, and none ends an exchange without an answer unless its client left.
func TestAnySequenceOfEventsGivesOneAnswer(t *testing.T) {
	type position struct {
		state   State
		answers int
		left    bool
	}
	seen := map[position]bool{{state: Deciding}: true}
	for queue := []position{{state: Deciding}}; len(queue) > 0; queue = queue[1:] {
		for event := range eventCount {
			at := queue[0]
			transition := transitions[at.state][event]
			if !transition.accepted {
				continue
			}
			at.state = transition.next
			at.left = at.left || event == eventClientLeft
			if slices.Contains(answeringEvents, event) {
				at.answers++
			}
			if at.answers > 1 || at.state == Done && at.answers == 0 && !at.left {
				t.Fatalf("event %d leads to %+v", event, at)
			}
			if !seen[at] {
				seen[at] = true
				queue = append(queue, at)
			}
		}
	}
	for _, answered := range []position{{Done, 1, false}, {Done, 1, true}, {Done, 0, true}} {
		if !seen[answered] {
			t.Errorf("no sequence leads to %+v", answered)
		}
	}
}

// A complete response and the exchange's deadline came at the same moment, and the client was owed one answer, not two.
// Whichever is handed over first is the answer; the other is dropped.
func TestResponseAndTimeoutAtOnceGiveOneAnswer(t *testing.T) {
	for _, first := range []string{"response", "timeout"} {
		r := newHarness(t, 1, 1, "")
		_, ex := r.request("POST", "/pay", "ka", "Content-Length: 0\r\n")
		conn, _ := r.connect()
		reader := NewResponseReader(r.shared)
		reader.Expect(ex)
		response := reader.Feed([]byte(ok200))
		at := r.now + 2*time.Second - 20*time.Millisecond // the deadline, less the margin
		r.advance(at - r.now - time.Nanosecond)
		r.now = at
		if first == "response" {
			r.instance.ResponseReceived(r.now, conn, &response)
		}
		r.instance.Tick(r.now)
		r.instance.ResponseReceived(r.now, conn, &response)
		effect := r.want(Respond)
		if got := string(effect.Bytes[9:12]); got != map[string]string{"response": "200", "timeout": "502"}[first] && got != "504" {
			t.Errorf("%s first: %s", first, got)
		}
		r.wantNone(Respond)
		if first == "response" && ex.Status != 200 {
			t.Errorf("%d", ex.Status)
		}
		r.requireQuiescent()
	}
}

// Random events in any order: requests, connections made and lost, responses good and bad, clients that leave, timers,
// endpoint lists, a counter that comes and goes. No request may get two answers, none may get none unless its client
// left, and nothing may be held at the end.
func TestExactlyOneFinalAnswerUnderRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		d := &randomDriver{harness: newHarness(t, 3, 2, ""), seed: seed, state: seed*2654435761 + 1,
			answers: map[*Exchange]int{}, left: map[*Exchange]bool{}, conns: map[*BackendConn]*Exchange{}}
		for range 200 {
			d.step()
			d.countAnswers()
		}
		for conn := range d.conns {
			d.instance.BackendDisconnected(d.now, conn, false)
		}
		d.advance(time.Minute)
		d.countAnswers()
		for _, ex := range d.requested {
			if d.answers[ex] != 1 && !d.left[ex] || d.answers[ex] > 1 {
				t.Fatalf("seed %d: %d answers for request %d", seed, d.answers[ex], ex.ID)
			}
		}
		d.requireQuiescent()
	}
}

// randomDriver reports random events to an instance and counts what clients get.
type randomDriver struct {
	*harness
	seed, state uint64
	requested   []*Exchange
	answers     map[*Exchange]int
	left        map[*Exchange]bool         // its client left before an answer
	conns       map[*BackendConn]*Exchange // that are open, with the exchange that was written last; nil: none yet
}

// next draws a number below n.
func (d *randomDriver) next(n int) int {
	d.state = d.state*6364136223846793005 + 1442695040888963407
	return int(d.state>>33) % n
}

// step reports one event.
func (d *randomDriver) step() {
	switch d.next(6) {
	case 0:
		d.sendRequest()
	case 1:
		for conn, ex := range d.conns {
			d.connectOrReply(conn, ex)
			break
		}
	case 2:
		for conn := range d.conns {
			delete(d.conns, conn)
			d.instance.BackendDisconnected(d.now, conn, d.next(2) == 0)
			break
		}
	case 3:
		if len(d.requested) > 0 {
			ex := d.requested[d.next(len(d.requested))]
			if d.answers[ex] == 0 {
				d.left[ex] = true
				d.instance.ClientLeft(d.now, ex)
			}
		}
	case 4:
		d.advance(time.Duration(d.next(400)) * time.Millisecond)
	case 5:
		d.instance.ReplaceEndpoints(d.now, EndpointsUpdate{Endpoints: endpointList(d.next(4), config.EndpointState(d.next(2)))})
		d.instance.CounterConnected(d.now)
		d.instance.CounterDisconnected(d.now)
	}
}

// sendRequest brings a request of any class and customer in.
func (d *randomDriver) sendRequest() {
	paths := []string{"/look", "/book", "/pay", "/feed"}
	path, method := paths[d.next(4)], "POST"
	if path == "/feed" {
		method = "GET"
	}
	_, ex := d.request(method, path, []string{"ka", "kb"}[d.next(2)], "Idempotency-Key: k\r\nContent-Length: 0\r\n")
	d.requested = append(d.requested, ex)
}

// connectOrReply makes a connection on which nothing was written, and replies on another: a response, a failure, the
// beginning of a large response, or no response at all.
func (d *randomDriver) connectOrReply(conn *BackendConn, ex *Exchange) {
	if ex == nil {
		d.instance.BackendConnected(d.now, conn)
		return
	}
	replies := []string{
		ok200,
		"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 2000),
		"what",
	}
	d.reply(conn, ex, replies[d.next(4)])
}

// countAnswers takes what the instance asked for since the last call into the counts.
func (d *randomDriver) countAnswers() {
	d.collect()
	for _, effect := range d.effects {
		switch effect.Kind {
		case Respond, StreamResponse:
			d.answers[effect.Exchange]++
			if d.left[effect.Exchange] {
				d.Fatalf("seed %d: a response for a client that had left", d.seed)
			}
		case DialBackend:
			d.conns[effect.Conn] = nil
		case WriteAttempt:
			d.conns[effect.Conn] = effect.Exchange
		case CloseBackend:
			delete(d.conns, effect.Conn)
		}
	}
	d.effects = nil
}
