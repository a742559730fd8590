package emulator

import (
	"strings"
	"testing"
	"time"

	"sandyard/fault"
	"sandyard/internal/resp"
)

// A counter that is restored from a backup has forgotten the last additions: totals are as they were, and names that were
// made since are gone. A name whose shard is down is refused.
func TestCounterRollsBackAndRefusesNames(t *testing.T) {
	counter := NewCounter()
	c := counter.NewConn()
	add := func(at time.Duration, name string) {
		c.Feed(at, resp.AppendCommand(nil, "INCRBYFLOAT", name, "1"))
	}
	add(time.Second, "a")
	add(2*time.Second, "a")
	add(3*time.Second, "b")
	counter.Set(3*time.Second, fault.Rollback, 1500, true)
	if a, b := counter.Total(3*time.Second, "a"), counter.Total(3*time.Second, "b"); a != 1 || b != 0 || counter.Names() != 1 {
		t.Errorf("a %v, b %v of %d names", a, b, counter.Names())
	}
	counter.Set(3*time.Second, fault.PartialOutage, 1, true)
	c.Out = nil
	if add(4*time.Second, "a"); c.Out[0] != '-' || counter.Total(4*time.Second, "a") != 1 {
		t.Errorf("a name that is not served: %q", c.Out)
	}
}

// In a split both sides count on from the same totals, each by itself; in the end one of them is dropped.
func TestCounterSplitSidesCountApart(t *testing.T) {
	counter := NewCounter()
	here, there := counter.NewConn(), counter.NewConn()
	here.ClientPosition, there.ClientPosition = 0.9, 0.1
	add := func(c *CounterConn) string {
		c.Out = nil
		c.Feed(time.Second, resp.AppendCommand(nil, "INCRBYFLOAT", "a", "1"))
		return strings.Split(string(c.Out), "\r\n")[1]
	}
	add(here)
	add(there)
	counter.Set(time.Second, fault.Split, 0.5, true)
	if a, b, c := add(there), add(there), add(here); a != "3" || b != "4" || c != "3" {
		t.Errorf("%s and %s on one side, %s on the other", a, b, c)
	}
	counter.Set(time.Second, fault.Split, 0.5, false)
	if a, b := add(there), add(here); a != "4" || b != "5" {
		t.Errorf("%s and %s afterwards", a, b)
	}
	counter.Set(time.Second, fault.Rollback, 1000, true)
	if x := counter.Total(time.Second, "a"); x != 0 {
		t.Errorf("%v after all was undone", x)
	}
}

// Totals live as long as their first PEXPIRE NX says. A counter that does not reply counts all the same, and what is no RESP
// closes the connection.
func TestCounterExpiresTotals(t *testing.T) {
	counter := NewCounter()
	c := counter.NewConn()
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
	counter.Set(time.Second, fault.NoReply, 0, true)
	if got := say(2*time.Second, incr); got != "" || counter.Total(2*time.Second, "a") != 3 {
		t.Fatalf("silent: %q", got)
	}
	if c := counter.NewConn(); true {
		c.Feed(0, []byte("GET / HTTP/1.1\r\n\r\n"))
		if !c.Close {
			t.Error("HTTP is taken for RESP")
		}
	}
}
