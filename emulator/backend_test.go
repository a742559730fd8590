package emulator

import (
	"strings"
	"testing"
	"time"

	"sandyard/fault"
)

func request(id, key string) []byte {
	s := "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n"
	if key != "" {
		s += "Idempotency-Key: " + key + "\r\n"
	}
	return []byte(s + "Content-Length: 0\r\n\r\n")
}

type recordedBackend struct {
	*Backend
	events []Event
}

func newRecordedBackend(c BackendConfig) *recordedBackend {
	b := &recordedBackend{}
	c.Name = "b"
	b.Backend = NewBackend(c, time.Second)
	b.OnEvent = func(e Event) { b.events = append(b.events, e) }
	return b
}

func (b *recordedBackend) count(k EventKind) (n int) {
	for _, e := range b.events {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func (b *recordedBackend) advance(until time.Duration) {
	for t := b.Next(); t != 0 && t <= until; t = b.Next() {
		b.Advance(t, func(j *Job) { j.Conn().Done(t, j) })
	}
}

// If a core worked on two requests at once, no test against the emulator would see queueing. With one core and a queue of one,
// the first of three requests is in progress, the second is queued and the third is rejected.
func TestBackendQueuesBeyondItsCores(t *testing.T) {
	b := newRecordedBackend(BackendConfig{Cores: 1, Queue: 1, Work: 100 * time.Millisecond})
	var conns []*BackendConn
	for range 3 {
		c := b.NewConn()
		c.Feed(time.Second, request("r", ""))
		conns = append(conns, c)
	}
	if got := string(conns[2].Out); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Fatalf("beyond the queue: %q", got)
	}
	b.advance(time.Second + 150*time.Millisecond)
	if len(conns[0].Out) == 0 || len(conns[1].Out) != 0 {
		t.Fatal("one core worked on both requests, or on neither")
	}
	b.advance(2 * time.Second)
	if len(conns[1].Out) == 0 || b.count(RequestExecuted) != 2 {
		t.Fatalf("%d requests executed", b.count(RequestExecuted))
	}
}

// A test with a fault proves nothing if the fault has less effect than its verb says. For each verb the test checks what the
// client receives and whether the request was executed.
func TestBackendFaults(t *testing.T) {
	feed := func(v fault.Verb, value float64) (*recordedBackend, *BackendConn) {
		b := newRecordedBackend(BackendConfig{Work: 10 * time.Millisecond})
		b.Set(time.Second, v, value, true)
		c := b.NewConn()
		c.Feed(time.Second, request("r", "k"))
		b.advance(10 * time.Second)
		return b, c
	}
	if b, c := feed(fault.Hang, 0); len(c.Out) != 0 || b.count(RequestExecuted) != 0 || b.count(RequestReceived) != 1 {
		t.Error("hang: the request was executed or answered, or was not received")
	}
	if b, c := feed(fault.DropResponse, 0); len(c.Out) != 0 || !c.Close || b.count(RequestExecuted) != 1 {
		t.Error("lose: the request was not executed, or was answered")
	}
	if b, c := feed(fault.ResetResponse, 10); len(c.Out) != 10 || !c.Abort || b.count(RequestExecuted) != 1 {
		t.Error("reset: the request was not executed, or no reset after 10 bytes")
	}
	if b, c := feed(fault.ServerErrors, 1); !strings.HasPrefix(string(c.Out), "HTTP/1.1 500") || b.count(RequestExecuted) != 0 {
		t.Error("fault: the request was executed, or its response is not 500")
	}
	if b, c := feed(fault.ShortLength, 0); !strings.HasPrefix(string(c.Out), "HTTP/1.1 200") || !strings.Contains(string(c.Out), "Content-Length: 32\r\n") || !strings.HasSuffix(string(c.Out), string(bodyFiller[:64])) ||
		b.count(RequestExecuted) != 1 {
		t.Errorf("short: the request was not executed, or its response is not one that states half of its length: %q", c.Out)
	}
	b, c := feed(fault.Hang, 0)
	b.Set(10*time.Second, fault.Hang, 0, false)
	b.Advance(10*time.Second, func(*Job) {})
	b.advance(11 * time.Second)
	if len(c.Out) == 0 {
		t.Error("no response after the hang has ended")
	}
}

// A repeat of an idempotency key must have no second effect while the key is stored, and must run after that.
func TestIdempotencyKeyRunsOnceWithinItsTTL(t *testing.T) {
	b := newRecordedBackend(BackendConfig{KeyTTL: time.Second})
	c := b.NewConn()
	c.Feed(time.Second, request("1", "k"))
	c.Feed(1500*time.Millisecond, request("2", "k"))
	if b.count(RequestExecuted) != 1 || b.count(RepeatDiscarded) != 1 {
		t.Fatalf("%+v", b.events)
	}
	c.Feed(2500*time.Millisecond, request("3", "k"))
	if b.count(RequestExecuted) != 2 {
		t.Fatal("the key has not expired")
	}
}

// A backend in slow start must collapse when it is sent too much work. Otherwise no test would detect a gateway that sends
// too much.
func TestOverloadedBackendCollapsesInSlowStart(t *testing.T) {
	b := newRecordedBackend(BackendConfig{Cores: 1, Queue: 1000, Work: 100 * time.Millisecond, SlowStartShare: 0.2, SlowStartTime: 10 * time.Second,
		OverloadFactor: 2, OverloadTime: time.Second}) // collapses if sent more than 0.4 s of work in a second
	for i := 0; i < 100 && !b.HasCollapsed(); i++ {
		b.NewConn().Feed(time.Second, request("r", ""))
	}
	if n := b.count(RequestReceived); !b.HasCollapsed() || n < 3 || n > 6 {
		t.Fatalf("collapsed %v after %d requests: the limit is 0.4 s of work in a second", b.HasCollapsed(), n)
	}
}

// A slowdown of some milliseconds must not make a backend collapse from work that was sent before it, which no gateway can avoid.
// A slowdown counts only after OverloadTime, in which a gateway can notice it.
func TestSlowdownCountsForCollapseAfterOverloadTime(t *testing.T) {
	for _, c := range []struct {
		after     time.Duration // from the start of the slowdown to the requests
		collapsed bool
	}{{500 * time.Millisecond, false}, {3 * time.Second, true}} {
		b := newRecordedBackend(BackendConfig{Cores: 1, Queue: 1000, Work: 100 * time.Millisecond, SlowStartShare: 0.5, SlowStartTime: 10 * time.Second,
			OverloadFactor: 2, OverloadTime: time.Second})
		b.Set(time.Second, fault.Slow, 4, true)
		for range 9 { // 0.9 s of work in a second; the limit is 1.0 s before the slowdown counts, and 0.3 s instead of 1.3 s after
			b.NewConn().Feed(time.Second+c.after, request("r", ""))
		}
		if b.HasCollapsed() != c.collapsed {
			t.Errorf("%v after the slowdown: collapsed %v", c.after, b.HasCollapsed())
		}
	}
}
