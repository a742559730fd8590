package emulator

import (
	"maps"
	"time"

	"sandyard/fault"
	"sandyard/internal/resp"
)

// A counter can go back in time as far as it remembers changes.
const (
	historyWindow  = 10 * time.Second // generated scripts go back 5 s at most
	maxChanges     = 1 << 16          // bounds memory under load; older changes are forgotten
	minTrimChanges = 1024             // fewer are not worth trimming
)

// sweepPeriod is how often expired totals are dropped.
const sweepPeriod = time.Second

// Counter is the shared counter: named totals that can be added to and that expire. It speaks as much of Redis as its
// clients need: INCRBYFLOAT, PEXPIRE (with NX), PTTL, GET, DEL, DBSIZE, FLUSHALL, PING, ECHO, HELLO 2, CLIENT and SELECT 0.
type Counter struct {
	Increments uint64 // INCRBYFLOATs that were counted

	totals    map[string]total
	nextSweep time.Duration
	faults    map[fault.Verb]float64
	history   []totalChange // for Rollback, in the order of times

	splitTotals map[string]total // what the other side of a split holds; nil while there is none
	onSplitSide bool             // a command of the other side is carried out
}

type total struct {
	value   float64
	expires time.Duration // 0: never
}

// totalChange is what a total was before it was added to.
type totalChange struct {
	at       time.Duration
	name     string
	previous total
	existed  bool
}

// NewCounter starts an empty counter.
func NewCounter() *Counter {
	return &Counter{totals: map[string]total{}, faults: map[fault.Verb]float64{}}
}

// Set begins or ends a fault. ResetTotals and Rollback happen at once; the value of Rollback is in milliseconds.
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

func (c *Counter) faulty(v fault.Verb) bool { _, ok := c.faults[v]; return ok }

// Refuses reports whether connections are refused, and those there are closed.
func (c *Counter) Refuses() bool { return c.faulty(fault.Refuse) }

// Stalled reports whether nothing is read.
func (c *Counter) Stalled() bool { return c.faulty(fault.Stall) }

// Delay returns how much later than at once replies go out.
func (c *Counter) Delay() time.Duration {
	return time.Duration(c.faults[fault.Delay] * float64(time.Millisecond))
}

// Total returns a name's value, 0 if there is none.
func (c *Counter) Total(now time.Duration, name string) float64 { return c.get(now, name).value }

// Names returns how many names are held, expired ones that nobody has asked for included.
func (c *Counter) Names() int { return len(c.totals) }

// get returns a total, and drops it if it has expired.
func (c *Counter) get(now time.Duration, name string) total {
	t, ok := c.totals[name]
	if ok && t.expires > 0 && now >= t.expires {
		delete(c.totals, name)
		return total{}
	}
	return t
}

// sweep drops expired totals, once in sweepPeriod.
func (c *Counter) sweep(now time.Duration) {
	if now < c.nextSweep {
		return
	}
	c.nextSweep = now + sweepPeriod
	for name := range c.totals {
		c.get(now, name)
	}
}

// remember keeps what a total is before it changes. The other side of a split is dropped in the end and keeps nothing.
func (c *Counter) remember(now time.Duration, name string) {
	if c.onSplitSide {
		return
	}
	previous, existed := c.totals[name]
	if n := len(c.history); n >= maxChanges || n > minTrimChanges && c.history[n/2].at < now-historyWindow {
		c.history = append(c.history[:0], c.history[n/2:]...)
	}
	c.history = append(c.history, totalChange{now, name, previous, existed})
}

// rollBack undoes what was added since a time, as a counter does that is restored from a backup.
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

// onOtherSide carries out something on the other side of a split.
func (c *Counter) onOtherSide(do func()) {
	c.totals, c.splitTotals, c.onSplitSide = c.splitTotals, c.totals, true
	do()
	c.totals, c.splitTotals, c.onSplitSide = c.splitTotals, c.totals, false
}

// CounterConn is a connection to an emulated counter.
type CounterConn struct {
	Out            []byte  // for the peer, to be written and cut off by the owner
	Close          bool    // the connection is to be closed once Out is written
	ClientPosition float64 // where its client stands among all, in [0,1): which side of a split it is on; set by the owner

	counter *Counter
	reader  resp.Reader
}

// NewConn begins a connection.
func (c *Counter) NewConn() *CounterConn { return &CounterConn{counter: c} }

// Feed takes bytes in.
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
			counter.onOtherSide(func() { c.command(now, v) })
		} else {
			c.command(now, v)
		}
		if counter.faulty(fault.NoReply) {
			c.Out = c.Out[:begin]
		}
	}
}

func (c *CounterConn) protocolError(text string) {
	c.Out = resp.AppendError(c.Out, "ERR Protocol error: "+text)
	c.Close = true
}

// command carries out a request and writes the reply.
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
