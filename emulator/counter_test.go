package emulator

import (
	"strings"
	"testing"
	"time"

	"sandyard/fault"
	"sandyard/internal/resp"
)

// After a restore from a backup a counter lacks the latest increments: totals have their earlier values, and names created
// since then do not exist. A command for a name whose shard is down is refused.
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
	if a, b := counter.Total(3*time.Second, "a"), counter.Total(3*time.Second, "b"); a != 1 || b != 0 || counter.NameCount() != 1 {
		t.Errorf("a %v, b %v of %d names", a, b, counter.NameCount())
	}
	counter.Set(3*time.Second, fault.PartialOutage, 1, true)
	c.Out = nil
	if add(4*time.Second, "a"); c.Out[0] != '-' || counter.Total(4*time.Second, "a") != 1 {
		t.Errorf("command for an unavailable name: %q", c.Out)
	}
}

// In a split both sides continue from the same totals, independently of each other. When the split ends, one side is discarded.
func TestCounterSplitSidesCountSeparately(t *testing.T) {
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
		t.Errorf("%s and %s after the split", a, b)
	}
	counter.Set(time.Second, fault.Rollback, 1000, true)
	if x := counter.Total(time.Second, "a"); x != 0 {
		t.Errorf("%v after the rollback of all increments", x)
	}
}

// Totals expire at the time of their first PEXPIRE NX. A counter with the fault NoReply still counts. Input that is not RESP
// closes the connection.
func TestCounterExpiresTotals(t *testing.T) {
	counter := NewCounter()
	c := counter.NewConn()
	send := func(now time.Duration, s string) string {
		c.Out = nil
		c.Feed(now, []byte(s))
		return string(c.Out)
	}
	incr := "*3\r\n$11\r\nINCRBYFLOAT\r\n$1\r\na\r\n$3\r\n1.5\r\n"
	pexp := "*4\r\n$7\r\nPEXPIRE\r\n$1\r\na\r\n$4\r\n1000\r\n$2\r\nNX\r\n"
	if got := send(time.Second, incr+pexp); got != "$3\r\n1.5\r\n:1\r\n" {
		t.Fatalf("%q", got)
	}
	if got := send(1900*time.Millisecond, incr+pexp); got != "$1\r\n3\r\n:0\r\n" {
		t.Fatalf("a second NX: %q", got)
	}
	if got := send(2*time.Second, incr); got != "$3\r\n1.5\r\n" {
		t.Fatalf("after it has expired: %q", got)
	}
	counter.Set(time.Second, fault.NoReply, 0, true)
	if got := send(2*time.Second, incr); got != "" || counter.Total(2*time.Second, "a") != 3 {
		t.Fatalf("with NoReply: %q", got)
	}
	if c := counter.NewConn(); true {
		c.Feed(0, []byte("GET / HTTP/1.1\r\n\r\n"))
		if !c.Close {
			t.Error("HTTP is accepted as RESP")
		}
	}
}
