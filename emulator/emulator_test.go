package emulator

import (
	"strings"
	"testing"
	"time"

	"sandyard/fault"
	"sandyard/internal/resp"
)

func request(id, key string) []byte {
	s := "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n"
	if key != "" {
		s += "Idempotency-Key: " + key + "\r\n"
	}
	return []byte(s + "Content-Length: 0\r\n\r\n")
}

type bench struct {
	*Backend
	facts []Fact
}

func newBench(c BackendConfig) *bench {
	b := &bench{}
	c.Name = "b"
	b.Backend = NewBackend(c, time.Second)
	b.Facts = func(f Fact) { b.facts = append(b.facts, f) }
	return b
}

func (b *bench) count(k FactKind) (n int) {
	for _, f := range b.facts {
		if f.Kind == k {
			n++
		}
	}
	return n
}

func (b *bench) run(until time.Duration) {
	for t := b.Next(); t != 0 && t <= until; t = b.Next() {
		b.Advance(t, func(j *Job) { j.Conn().Done(t, j) })
	}
}

func TestBoxQueues(t *testing.T) {
	b := newBench(BackendConfig{Cores: 1, Queue: 1, Work: 100 * time.Millisecond})
	var conns []*BackendConn
	for range 3 {
		c := b.NewConn()
		c.Feed(time.Second, request("r", ""))
		conns = append(conns, c)
	}
	if got := string(conns[2].Out); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Fatalf("beyond the queue: %q", got)
	}
	b.run(time.Second + 150*time.Millisecond)
	if len(conns[0].Out) == 0 || len(conns[1].Out) != 0 {
		t.Fatal("one core has worked on both, or on none")
	}
	b.run(2 * time.Second)
	if len(conns[1].Out) == 0 || b.count(Executed) != 2 {
		t.Fatalf("ran %d", b.count(Executed))
	}
}

func TestBoxFaults(t *testing.T) {
	feed := func(v fault.Verb, value float64) (*bench, *BackendConn) {
		b := newBench(BackendConfig{Work: 10 * time.Millisecond})
		b.Set(time.Second, v, value, true)
		c := b.NewConn()
		c.Feed(time.Second, request("r", "k"))
		b.run(10 * time.Second)
		return b, c
	}
	if b, c := feed(fault.Hang, 0); len(c.Out) != 0 || b.count(Executed) != 0 || b.count(Received) != 1 {
		t.Error("hang works or answers")
	}
	if b, c := feed(fault.DropResponse, 0); len(c.Out) != 0 || !c.Close || b.count(Executed) != 1 {
		t.Error("lose: no work, or an answer")
	}
	if b, c := feed(fault.ResetResponse, 10); len(c.Out) != 10 || !c.Abort || b.count(Executed) != 1 {
		t.Error("reset: not after 10 bytes")
	}
	if b, c := feed(fault.ServerErrors, 1); !strings.HasPrefix(string(c.Out), "HTTP/1.1 500") || b.count(Executed) != 0 {
		t.Error("fault: worked, or no 500")
	}
	b, c := feed(fault.Hang, 0)
	b.Set(10*time.Second, fault.Hang, 0, false)
	b.Advance(10*time.Second, func(*Job) {})
	b.run(11 * time.Second)
	if len(c.Out) == 0 {
		t.Error("a hang that is over leaves its requests hanging")
	}
}

func TestKeyedRepeatsRunOnce(t *testing.T) {
	b := newBench(BackendConfig{KeyTTL: time.Second})
	c := b.NewConn()
	c.Feed(time.Second, request("1", "k"))
	c.Feed(1500*time.Millisecond, request("2", "k"))
	if b.count(Executed) != 1 || b.count(Deduplicated) != 1 {
		t.Fatalf("%+v", b.facts)
	}
	c.Feed(2500*time.Millisecond, request("3", "k"))
	if b.count(Executed) != 2 {
		t.Fatal("a key is remembered for ever")
	}
}

func TestColdBoxFallsOver(t *testing.T) {
	b := newBench(BackendConfig{Cores: 1, Queue: 1000, Work: 100 * time.Millisecond, ColdShare: 0.2, ColdTime: 10 * time.Second,
		OverloadFactor: 2, OverloadTime: time.Second})
	for i := 0; i < 100 && !b.HasCollapsed(); i++ {
		b.NewConn().Feed(time.Second, request("r", ""))
	}
	if n := b.count(Received); !b.HasCollapsed() || n < 3 || n > 6 {
		t.Fatalf("fallen %v after %d: 0.4 s of work in a second is its limit", b.HasCollapsed(), n)
	}
}

// A box that is slowed falls from what it is sent once there was time to notice, not from what was sent before.
func TestSlowColdBox(t *testing.T) {
	for _, c := range []struct {
		after  time.Duration // of the slowness, until the requests come
		fallen bool
	}{{500 * time.Millisecond, false}, {3 * time.Second, true}} {
		b := newBench(BackendConfig{Cores: 1, Queue: 1000, Work: 100 * time.Millisecond, ColdShare: 0.5, ColdTime: 10 * time.Second,
			OverloadFactor: 2, OverloadTime: time.Second})
		b.Set(time.Second, fault.Slow, 4, true)
		for range 9 { // 0.9 s of work in a second; it could do 1.3 or more, slowed 0.4
			b.NewConn().Feed(time.Second+c.after, request("r", ""))
		}
		if b.HasCollapsed() != c.fallen {
			t.Errorf("%v after it was slowed: fallen %v", c.after, b.HasCollapsed())
		}
	}
}

// Totals come back as they were; names that were made since are gone.
func TestKeeperComesBackOld(t *testing.T) {
	k := NewCounter()
	c := k.NewConn()
	add := func(at time.Duration, name string) {
		c.Feed(at, resp.AppendCommand(nil, "INCRBYFLOAT", name, "1"))
	}
	add(time.Second, "a")
	add(2*time.Second, "a")
	add(3*time.Second, "b")
	k.Set(3*time.Second, fault.Rollback, 1500, true)
	if a, b := k.Total(3*time.Second, "a"), k.Total(3*time.Second, "b"); a != 1 || b != 0 || k.Names() != 1 {
		t.Errorf("a %v, b %v of %d names", a, b, k.Names())
	}
	k.Set(3*time.Second, fault.PartialOutage, 1, true)
	c.Out = nil
	if add(4*time.Second, "a"); c.Out[0] != '-' || k.Total(4*time.Second, "a") != 1 {
		t.Errorf("a name that is not served: %q", c.Out)
	}
}

// The sides of a split count on from the same totals, each by itself; in the end one of them is lost.
func TestKeeperSplits(t *testing.T) {
	k := NewCounter()
	here, there := k.NewConn(), k.NewConn()
	here.ClientPosition, there.ClientPosition = 0.9, 0.1
	add := func(c *CounterConn) string {
		c.Out = nil
		c.Feed(time.Second, resp.AppendCommand(nil, "INCRBYFLOAT", "a", "1"))
		return strings.Split(string(c.Out), "\r\n")[1]
	}
	add(here)
	add(there)
	k.Set(time.Second, fault.Split, 0.5, true)
	if a, b, c := add(there), add(there), add(here); a != "3" || b != "4" || c != "3" {
		t.Errorf("%s and %s on one side, %s on the other", a, b, c)
	}
	k.Set(time.Second, fault.Split, 0.5, false)
	if a, b := add(there), add(here); a != "4" || b != "5" {
		t.Errorf("%s and %s afterwards", a, b)
	}
	k.Set(time.Second, fault.Rollback, 1000, true)
	if x := k.Total(time.Second, "a"); x != 0 {
		t.Errorf("%v after all was undone", x)
	}
}

func TestKeeperExpiry(t *testing.T) {
	k := NewCounter()
	c := k.NewConn()
	say := func(now time.Duration, s string) string {
		c.Out = nil
		c.Feed(now, []byte(s))
		return string(c.Out)
	}
	incr := "*3\r\n$11\r\nINCRBYFLOAT\r\n$1\r\na\r\n$3\r\n1.5\r\n"
	pexp := "*4\r\n$7\r\nPEXPIRE\r\n$1\r\na\r\n$4\r\n1000\r\n$2\r\nNX\r\n"
	if got := say(time.Second, incr+pexp); got != "$3\r\n1.5\r\n:1\r\n" {
		t.Fatalf("%q", got)
	}
	if got := say(1900*time.Millisecond, incr+pexp); got != "$1\r\n3\r\n:0\r\n" {
		t.Fatalf("a second NX: %q", got)
	}
	if got := say(2*time.Second, incr); got != "$3\r\n1.5\r\n" {
		t.Fatalf("after its life: %q", got)
	}
	k.Set(time.Second, fault.NoReply, 0, true)
	if got := say(2*time.Second, incr); got != "" || k.Total(2*time.Second, "a") != 3 {
		t.Fatalf("silent: %q", got)
	}
	if c := k.NewConn(); true {
		c.Feed(0, []byte("GET / HTTP/1.1\r\n\r\n"))
		if !c.Close {
			t.Error("HTTP is taken for RESP")
		}
	}
}
