package proxy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// TestTransitionTableIsComplete checks the properties of the state table that guarantee exactly one final answer: each event
// is accepted only in the states listed here, a dropped event does not change the state, and no event leads to an earlier
// state.
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
			if transition.next < state { // also detects a missing entry, in any state except Deciding
				t.Errorf("state %d, event %d: goes back to %d", state, event, transition.next)
			}
			if transition.next != state && !transition.accepted {
				t.Errorf("state %d, event %d: a dropped event changes the state", state, event)
			}
		}
	}
}

// TestAnsweringEventsLeadToDoneOrStreaming checks that a client can be answered only while it has no answer, and that every
// event that answers it, or reports that it left, leads to Done or Streaming.
func TestAnsweringEventsLeadToDoneOrStreaming(t *testing.T) {
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

// answeringEvents are the events that give a client its final answer or the first part of it.
var answeringEvents = []exchangeEvent{eventRejected, eventFailed, eventResponseComplete, eventResponseStarted}

// TestAnySequenceOfEventsGivesOneAnswer explores all sequences of events that the table allows. No sequence may answer a
// client twice, or end an exchange without an answer unless its client left.
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

// A complete response races with the exchange's deadline, and the client must get one answer, not two. The first of the two
// events determines the answer; the other is dropped.
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

// Reports random events in any order: requests, established and lost connections, valid and malformed responses, clients
// that leave, timers, endpoint lists, and a counter that connects and disconnects. Every request must get exactly one
// answer, or none if its client left, and nothing may remain at the end.
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
	left        map[*Exchange]bool         // exchanges whose client left before the answer
	conns       map[*BackendConn]*Exchange // open connections, with the exchange that was written last; nil: none yet
}

// next returns a random number below n.
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

// sendRequest sends a request of a random class and customer.
func (d *randomDriver) sendRequest() {
	paths := []string{"/look", "/book", "/pay", "/feed"}
	path, method := paths[d.next(4)], "POST"
	if path == "/feed" {
		method = "GET"
	}
	_, ex := d.request(method, path, []string{"ka", "kb"}[d.next(2)], "Idempotency-Key: k\r\nContent-Length: 0\r\n")
	d.requested = append(d.requested, ex)
}

// connectOrReply establishes a connection on which nothing was written. On any other connection it replies with a response,
// an error, the first part of a large response, or bytes that are not a response.
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

// countAnswers updates the counts with the effects since the last call.
func (d *randomDriver) countAnswers() {
	d.collect()
	for _, effect := range d.effects {
		switch effect.Kind {
		case Respond, StreamResponse:
			d.answers[effect.Exchange]++
			if d.left[effect.Exchange] {
				d.Fatalf("seed %d: a response for a client that has left", d.seed)
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
