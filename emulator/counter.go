package emulator

import (
	"maps"
	"time"

	"sandyard/fault"
	"sandyard/internal/resp"
)

// Bounds on the history of changes, which limits how far a counter can be rolled back.
const (
	historyWindow  = 10 * time.Second // generated scripts roll back 5 s at most
	maxChanges     = 1 << 16          // bounds memory under load; older changes are dropped
	minTrimChanges = 1024             // a shorter history is not worth trimming
)

// sweepPeriod is the interval at which expired totals are removed.
const sweepPeriod = time.Second

// Counter is the shared counter: named totals that can be incremented and that expire. It implements the Redis commands that
// its clients need: INCRBYFLOAT, PEXPIRE (with NX), PTTL, GET, DEL, DBSIZE, FLUSHALL, PING, ECHO, HELLO 2, CLIENT and SELECT 0.
type Counter struct {
	Increments uint64 // number of executed INCRBYFLOAT commands

	totals    map[string]total
	nextSweep time.Duration
	faults    map[fault.Verb]float64
	history   []totalChange // for Rollback, ordered by time

	splitTotals map[string]total // totals of the other side of a split; nil: no split
	onSplitSide bool             // a command is being executed on the other side of a split
}

type total struct {
	value   float64
	expires time.Duration // 0: never
}

// totalChange records the state of a total before an increment.
type totalChange struct {
	at       time.Duration
	name     string
	previous total
	existed  bool
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{totals: map[string]total{}, faults: map[fault.Verb]float64{}}
}

// Set begins or ends a fault. ResetTotals and Rollback take effect at once. The value of Rollback is in milliseconds.
func (c *Counter) Set(now time.Duration, v fault.Verb, value float64, on bool) {
	switch {
	case v == fault.ResetTotals && on:
		clear(c.totals)
		c.history = nil
	case v == fault.Rollback && on:
		c.rollBack(now - time.Duration(value*float64(time.Millisecond)))
	case v == fault.Split && on:
		c.splitTotals, c.faults[v] = maps.Clone(c.totals), value
	case v == fault.Split:
		c.splitTotals = nil
		delete(c.faults, v)
	case on:
		c.faults[v] = value
	default:
		delete(c.faults, v)
	}
}

func (c *Counter) hasFault(v fault.Verb) bool { _, ok := c.faults[v]; return ok }

// Refuses reports whether the counter refuses new connections and closes the open ones.
func (c *Counter) Refuses() bool { return c.hasFault(fault.Refuse) }

// Stalled reports whether the counter processes no input.
func (c *Counter) Stalled() bool { return c.hasFault(fault.Stall) }

// Delay returns by how much replies are delayed.
func (c *Counter) Delay() time.Duration {
	return time.Duration(c.faults[fault.Delay] * float64(time.Millisecond))
}

// Total returns the value of a name, or 0 if there is none.
func (c *Counter) Total(now time.Duration, name string) float64 { return c.get(now, name).value }

// NameCount returns the number of stored names. It includes expired names that have not been removed yet.
func (c *Counter) NameCount() int { return len(c.totals) }

// get returns a total. It removes the total if it has expired.
func (c *Counter) get(now time.Duration, name string) total {
	t, ok := c.totals[name]
	if ok && t.expires > 0 && now >= t.expires {
		delete(c.totals, name)
		return total{}
	}
	return t
}

// sweep removes expired totals, at most once per sweepPeriod.
func (c *Counter) sweep(now time.Duration) {
	if now < c.nextSweep {
		return
	}
	c.nextSweep = now + sweepPeriod
	for name := range c.totals {
		c.get(now, name)
	}
}

// recordChange adds a total to the history before it changes. The other side of a split is discarded when the split ends, and
// has no history.
func (c *Counter) recordChange(now time.Duration, name string) {
	if c.onSplitSide {
		return
	}
	previous, existed := c.totals[name]
	if n := len(c.history); n >= maxChanges || n > minTrimChanges && c.history[n/2].at < now-historyWindow {
		c.history = append(c.history[:0], c.history[n/2:]...)
	}
	c.history = append(c.history, totalChange{now, name, previous, existed})
}

// rollBack undoes the increments since a time, like the restore of a counter from a backup.
func (c *Counter) rollBack(since time.Duration) {
	for n := len(c.history); n > 0 && c.history[n-1].at >= since; n-- {
		if change := c.history[n-1]; change.existed {
			c.totals[change.name] = change.previous
		} else {
			delete(c.totals, change.name)
		}
		c.history = c.history[:n-1]
	}
}

// runOnSplitSide calls do with the totals of the other side of a split.
func (c *Counter) runOnSplitSide(do func()) {
	c.totals, c.splitTotals, c.onSplitSide = c.splitTotals, c.totals, true
	do()
	c.totals, c.splitTotals, c.onSplitSide = c.splitTotals, c.totals, false
}

// CounterConn is a connection to an emulated counter.
type CounterConn struct {
	Out            []byte  // output for the peer: the owner writes and truncates it
	Close          bool    // the owner must close the connection once Out is written
	ClientPosition float64 // position of the client among all, in [0,1): decides its side of a split; set by the owner

	counter *Counter
	reader  resp.Reader
}

// NewConn returns a new connection.
func (c *Counter) NewConn() *CounterConn { return &CounterConn{counter: c} }

// Feed processes bytes from the peer.
func (c *CounterConn) Feed(now time.Duration, b []byte) {
	for !c.Close {
		n, v, complete, err := c.reader.Feed(b)
		b = b[n:]
		if err != nil {
			c.protocolError(err.Error())
		}
		if err != nil || !complete {
			return
		}
		begin, counter := len(c.Out), c.counter
		if counter.splitTotals != nil && c.ClientPosition < counter.faults[fault.Split] {
			counter.runOnSplitSide(func() { c.command(now, v) })
		} else {
			c.command(now, v)
		}
		if counter.hasFault(fault.NoReply) {
			c.Out = c.Out[:begin]
		}
	}
}

func (c *CounterConn) protocolError(text string) {
	c.Out = resp.AppendError(c.Out, "ERR Protocol error: "+text)
	c.Close = true
}

// command executes a command and appends the reply to Out.
func (c *CounterConn) command(now time.Duration, v resp.Value) {
	var args []string
	for _, a := range v.Items {
		if a.Type != resp.BulkString {
			c.protocolError("expected bulk strings")
			return
		}
		args = append(args, a.Str)
	}
	if len(args) == 0 {
		if v.Type != resp.Array {
			c.protocolError("expected an array")
		}
		return
	}
	c.Out = c.counter.run(now, c.Out, args)
}
