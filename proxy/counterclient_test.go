package proxy

import (
	"strings"
	"testing"
	"time"
)

// The counter's reply came after the client of the request that waited for it had left. It changes nothing: nothing is
// sent and nobody is answered.
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

// The counter falls silent. Requests that wait for it must not be held until their clients give up: each is decided
// when the call's timeout is up, and after twenty timeouts the connection is made anew.
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
		t.Fatal("still held")
	}
	r.advance(2 * time.Second)
	r.want(CloseCounter) // silent for 20 time-outs
	r.want(DialCounter)
}

// Something that does not speak the counter's protocol answered at its address. The connection is closed and made anew,
// and the calls are reported as perhaps added. Replies that are errors or no numbers are replies: the call was not
// added, and the connection stays.
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
			t.Errorf("%q: calls are left", s)
		}
	}
	for _, s := range []string{"-OOM command not allowed\r\n-OOM\r\n", "$3\r\nnan\r\n:1\r\n", "$-1\r\n:0\r\n", "+OK\r\n+OK\r\n"} { // replies, but no totals
		r := newHarness(t, 1, 3, "")
		r.instance.CounterConnected(r.now)
		r.request("GET", "/look", "kb", "")
		r.instance.CounterReceived(r.now, []byte(s))
		if r.instance.counter.pending() != 0 || !r.instance.counter.connected {
			t.Errorf("%q: not taken as a reply", s)
		}
	}
}

// TestCounterPendingCallsAreBounded holds the calls to the counter to counter's pending limit; those beyond it are not
// sent.
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

// The counter was moved to another address, and a reply of the old one came at that moment. It belongs to no call: the
// call under way is reported as perhaps added, and calls from then on go to the new address.
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
		t.Errorf("the next call goes to %s", dial.Addr)
	}
	if n := r.instance.counter.pending(); n != 0 || r.instance.Stats.CounterMalformed != 0 {
		t.Errorf("%d calls are held, %d answers malformed", n, r.instance.Stats.CounterMalformed)
	}
	r.instance.CounterConnected(r.now)
	r.request("GET", "/look", "kb", "")
	r.want(WriteCounter)
	r.instance.CounterReceived(r.now, []byte("$1\r\n1\r\n:1\r\n"))
	if n := r.instance.counter.pending(); n != 0 {
		t.Errorf("%d calls wait at the new one", n)
	}
}
