package proxy

import (
	"strings"
	"testing"
	"time"
)

// The counter's reply arrives after the client of the waiting request has left. Nothing may be sent and no client answered.
func TestCounterReplyAfterRequestEnded(t *testing.T) {
	r := newHarness(t, 1, 3, "")
	r.want(DialCounter)
	r.instance.CounterConnected(r.now)
	_, ex := r.request("GET", "/look", "kb", "")
	if sent := string(r.want(WriteCounter).Bytes); !strings.Contains(sent, "INCRBYFLOAT") || !strings.Contains(sent, "PEXPIRE") || !strings.Contains(sent, "NX") {
		t.Fatalf("%q", sent)
	}
	r.wantNone(DialBackend)
	r.instance.ClientLeft(r.now, ex)
	r.instance.CounterReceived(r.now, []byte("$1\r\n1\r\n:1\r\n"))
	r.wantNone(DialBackend)
	r.wantNone(Respond)
	r.requireQuiescent()
}

// The counter stops replying. Requests that wait for it must not be delayed until their clients time out: each is decided at
// the call's timeout, and after twenty timeouts the counter is dialled again.
func TestCounterSilent(t *testing.T) {
	r := newHarness(t, 1, 3, "")
	r.instance.CounterConnected(r.now)
	r.request("GET", "/look", "kb", "")
	r.want(WriteCounter)
	r.advance(49 * time.Millisecond)
	r.wantNone(DialBackend)
	r.wantNone(Respond)
	r.advance(2 * time.Millisecond)
	if r.collect(); len(r.effects) == 0 {
		t.Fatal("the request is still waiting for the counter")
	}
	r.advance(2 * time.Second)
	r.want(CloseCounter) // no reply for 20 timeouts
	r.want(DialCounter)
}

// A server that does not speak the counter's protocol replies at its address. The connection must be closed and the counter
// dialled again, and the calls are reported as possibly added. Replies that are errors or not numbers are valid replies: the
// call was not added, and the connection stays open.
func TestCounterMalformedReplies(t *testing.T) {
	for _, s := range []string{"HTTP/1.1 400 Bad Request\r\n\r\n", "$1\r\n1\r\n:1\r\n:1\r\n", "*-7\r\n", "$1\r\nabc", "\x00\x00\r\n"} {
		r := newHarness(t, 1, 3, "")
		r.instance.CounterConnected(r.now)
		r.request("GET", "/look", "kb", "")
		r.want(WriteCounter)
		r.instance.CounterReceived(r.now, []byte(s))
		r.want(CloseCounter)
		r.advance(100 * time.Millisecond)
		r.want(DialCounter)
		if r.instance.counter.pending() != 0 {
			t.Errorf("%q: calls are still pending", s)
		}
	}
	for _, s := range []string{"-OOM command not allowed\r\n-OOM\r\n", "$3\r\nnan\r\n:1\r\n", "$-1\r\n:0\r\n", "+OK\r\n+OK\r\n"} { // replies, but no totals
		r := newHarness(t, 1, 3, "")
		r.instance.CounterConnected(r.now)
		r.request("GET", "/look", "kb", "")
		r.instance.CounterReceived(r.now, []byte(s))
		if r.instance.counter.pending() != 0 || !r.instance.counter.connected {
			t.Errorf("%q: not accepted as a reply", s)
		}
	}
}

// TestCounterPendingCallsAreBounded checks that no more calls are pending than Counter.MaxPending allows; further calls are
// not sent.
func TestCounterPendingCallsAreBounded(t *testing.T) {
	r := newHarness(t, 1, 3, "")
	r.shared.Config.Counter.MaxPending = 2
	r.instance.CounterConnected(r.now)
	for range 5 {
		r.request("GET", "/look", "kb", "")
	}
	if n := r.instance.counter.pending(); n > 2 {
		t.Errorf("%d calls pending", n)
	}
}

// The counter moves to another address while a reply of the old one arrives. The reply belongs to no call: the pending call
// is reported as possibly added, and later calls are sent to the new address.
func TestCounterReplyDuringMove(t *testing.T) {
	r := newHarness(t, 1, 3, "")
	r.want(DialCounter)
	r.instance.CounterConnected(r.now)
	r.request("GET", "/look", "kb", "")
	r.want(WriteCounter)
	r.instance.SetCounter(r.now, "127.0.0.1:2")
	r.want(CloseCounter)
	r.instance.CounterReceived(r.now, []byte("$1\r\n1\r\n:1\r\n"))
	if dial := r.want(DialCounter); dial.Addr != "127.0.0.1:2" {
		t.Errorf("the counter is dialled at %s", dial.Addr)
	}
	if n := r.instance.counter.pending(); n != 0 || r.instance.Stats.CounterMalformed != 0 {
		t.Errorf("%d calls are pending, %d replies malformed", n, r.instance.Stats.CounterMalformed)
	}
	r.instance.CounterConnected(r.now)
	r.request("GET", "/look", "kb", "")
	r.want(WriteCounter)
	r.instance.CounterReceived(r.now, []byte("$1\r\n1\r\n:1\r\n"))
	if n := r.instance.counter.pending(); n != 0 {
		t.Errorf("%d calls are pending at the new address", n)
	}
}
