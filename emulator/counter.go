package emulator

import (
	"hash/fnv"
	"maps"
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/fault"
	"sandyard/internal/resp"
)

// Counter is the tally keeper: named numbers that can be added to and that expire. It speaks enough of Redis for its
// clients: INCRBYFLOAT, PEXPIRE (with NX), PTTL, GET, DEL, DBSIZE, FLUSHALL, PING, ECHO, HELLO 2, CLIENT and SELECT 0.
type Counter struct {
	totals      map[string]total
	nextSweep   time.Duration
	faults      map[fault.Verb]float64
	history     []totalChange    // of the last remembered, for totals that come back old
	splitTotals map[string]total // what the other side of a split holds; nil while there is none
	onSplitSide bool             // a command of the other side is carried out
	Increments  uint64           // INCRBYFLOATs that were counted
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

// remembered is how long a keeper can go back, and maxChanges how many changes: what is older is forgotten.
const (
	historyWindow = 10 * time.Second
	maxChanges    = 1 << 16
)

// remember keeps what a total was.
func (k *Counter) remember(now time.Duration, name string) {
	if k.onSplitSide {
		return // that side is lost in the end
	}
	was, had := k.totals[name]
	if n := len(k.history); n >= maxChanges || n > 1024 && k.history[n/2].at < now-historyWindow {
		k.history = append(k.history[:0], k.history[n/2:]...)
	}
	k.history = append(k.history, totalChange{now, name, was, had})
}

// rollBack undoes what was added since a time, as a keeper does that is restored from a copy.
func (k *Counter) rollBack(since time.Duration) {
	for n := len(k.history); n > 0 && k.history[n-1].at >= since; n-- {
		if c := k.history[n-1]; c.existed {
			k.totals[c.name] = c.previous
		} else {
			delete(k.totals, c.name)
		}
		k.history = k.history[:n-1]
	}
}

// NewCounter starts an empty keeper.
func NewCounter() *Counter {
	return &Counter{totals: map[string]total{}, faults: map[fault.Verb]float64{}}
}

// Set begins or ends a fault. Empty and Old happen at once.
func (k *Counter) Set(now time.Duration, v fault.Verb, value float64, on bool) {
	switch {
	case v == fault.ResetTotals && on:
		clear(k.totals)
		k.history = nil
	case v == fault.Rollback && on:
		k.rollBack(now - time.Duration(value*float64(time.Millisecond)))
	case v == fault.Split && on:
		k.splitTotals, k.faults[v] = maps.Clone(k.totals), value
	case v == fault.Split:
		k.splitTotals = nil
		delete(k.faults, v)
	case on:
		k.faults[v] = value
	default:
		delete(k.faults, v)
	}
}

// Refuses tells that connections are refused, and those there are closed.
func (k *Counter) Refuses() bool { _, ok := k.faults[fault.Refuse]; return ok }

// Stalled tells that nothing is read.
func (k *Counter) Stalled() bool { _, ok := k.faults[fault.Stall]; return ok }

// Delay is how much later than at once answers go out.
func (k *Counter) Delay() time.Duration {
	return time.Duration(k.faults[fault.Delay] * float64(time.Millisecond))
}

// Total is a name's value, 0 if there is none.
func (k *Counter) Total(now time.Duration, name string) float64 { return k.get(now, name).value }

func (k *Counter) get(now time.Duration, name string) total {
	t, ok := k.totals[name]
	if ok && t.expires > 0 && now >= t.expires {
		delete(k.totals, name)
		return total{}
	}
	return t
}

// Names is how many names are held, expired ones that nobody has asked for included.
func (k *Counter) Names() int { return len(k.totals) }

// CounterConn is a connection to a stand-in keeper.
type CounterConn struct {
	Out            []byte // for the peer, to be written and cut off by the owner
	Close          bool
	ClientPosition float64 // where its client stands among all, in [0,1): which side of a split it is on; set by the owner
	counter        *Counter
	reader         resp.Reader
}

// NewConn begins a connection.
func (k *Counter) NewConn() *CounterConn { return &CounterConn{counter: k} }

// Feed takes bytes in.
func (c *CounterConn) Feed(now time.Duration, b []byte) {
	for !c.Close {
		n, v, whole, err := c.reader.Feed(b)
		b = b[n:]
		if err != nil {
			c.Out = resp.AppendError(c.Out, "ERR Protocol error: "+err.Error())
			c.Close = true
		}
		if err != nil || !whole {
			return
		}
		at, k := len(c.Out), c.counter
		if aside := k.splitTotals != nil && c.ClientPosition < k.faults[fault.Split]; aside {
			k.totals, k.splitTotals, k.onSplitSide = k.splitTotals, k.totals, true
			c.command(now, v)
			k.totals, k.splitTotals, k.onSplitSide = k.splitTotals, k.totals, false
		} else {
			c.command(now, v)
		}
		if _, silent := c.counter.faults[fault.NoReply]; silent {
			c.Out = c.Out[:at]
		}
	}
}

func (c *CounterConn) command(now time.Duration, v resp.Value) {
	var args []string
	for _, a := range v.Items {
		if a.Type != resp.Bulk {
			c.Out = resp.AppendError(c.Out, "ERR Protocol error: expected bulk strings")
			c.Close = true
			return
		}
		args = append(args, a.Str)
	}
	if len(args) == 0 {
		if v.Type != resp.Array {
			c.Out = resp.AppendError(c.Out, "ERR Protocol error: expected an array")
			c.Close = true
		}
		return
	}
	name := strings.ToUpper(args[0])
	known, ok := commands[name]
	if !ok {
		c.Out = resp.AppendError(c.Out, "ERR unknown command '"+printable(args[0])+"'")
		return
	}
	if len(args) < known.minArgs || known.maxArgs > 0 && len(args) > known.maxArgs {
		c.Out = resp.AppendError(c.Out, "ERR wrong number of arguments for '"+strings.ToLower(name)+"' command")
		return
	}
	k := c.counter
	if share, ok := k.faults[fault.PartialOutage]; ok && len(args) > 1 && namePosition(args[1]) < share {
		c.Out = resp.AppendError(c.Out, "CLUSTERDOWN Hash slot not served")
		return
	}
	if now >= k.nextSweep {
		k.nextSweep = now + time.Second
		for name := range k.totals {
			k.get(now, name)
		}
	}
	c.Out = known.run(k, now, c.Out, args)
}

// namePosition is where a name stands among all, in [0,1).
func namePosition(name string) float64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return float64(h.Sum32()) / (1 << 32)
}

func printable(s string) string {
	out := []byte(s[:min(len(s), 64)])
	for i := range out {
		if out[i] < 0x20 || out[i] > 0x7e {
			out[i] = '?'
		}
	}
	return string(out)
}

type command struct {
	minArgs, maxArgs int // arguments, the name included; most 0: any
	run              func(k *Counter, now time.Duration, out []byte, args []string) []byte
}

var commands map[string]command

func init() { // not a literal: some commands look at others
	ok := func(_ *Counter, _ time.Duration, out []byte, _ []string) []byte { return resp.AppendSimple(out, "OK") }
	commands = map[string]command{
		"INCRBYFLOAT": {3, 3, incrByFloat},
		"PEXPIRE":     {3, 4, pExpire},
		"PTTL": {2, 2, func(k *Counter, now time.Duration, out []byte, a []string) []byte {
			t := k.get(now, a[1])
			switch _, ok := k.totals[a[1]]; {
			case !ok:
				return resp.AppendInt(out, -2)
			case t.expires == 0:
				return resp.AppendInt(out, -1)
			}
			return resp.AppendInt(out, int64((t.expires-now)/time.Millisecond))
		}},
		"GET": {2, 2, func(k *Counter, now time.Duration, out []byte, a []string) []byte {
			t := k.get(now, a[1])
			if _, ok := k.totals[a[1]]; !ok {
				return resp.AppendNull(out)
			}
			return resp.AppendBulk(out, formatTotal(t.value))
		}},
		"DEL": {2, 0, func(k *Counter, now time.Duration, out []byte, a []string) []byte {
			n := int64(0)
			for _, name := range a[1:] {
				k.get(now, name)
				if _, ok := k.totals[name]; ok {
					delete(k.totals, name)
					n++
				}
			}
			return resp.AppendInt(out, n)
		}},
		"DBSIZE": {1, 1, func(k *Counter, _ time.Duration, out []byte, _ []string) []byte {
			return resp.AppendInt(out, int64(len(k.totals)))
		}},
		"FLUSHALL": {1, 2, func(k *Counter, _ time.Duration, out []byte, _ []string) []byte {
			clear(k.totals)
			return resp.AppendSimple(out, "OK")
		}},
		"PING": {1, 2, func(_ *Counter, _ time.Duration, out []byte, a []string) []byte {
			if len(a) == 2 {
				return resp.AppendBulk(out, a[1])
			}
			return resp.AppendSimple(out, "PONG")
		}},
		"ECHO": {2, 2, func(_ *Counter, _ time.Duration, out []byte, a []string) []byte {
			return resp.AppendBulk(out, a[1])
		}},
		"HELLO": {1, 0, func(_ *Counter, _ time.Duration, out []byte, a []string) []byte {
			if len(a) > 1 && a[1] != "2" {
				return resp.AppendError(out, "NOPROTO unsupported protocol version")
			}
			out = append(out, "*6\r\n"...)
			for _, s := range [...]string{"server", "sandyard-emulator", "proto"} {
				out = resp.AppendBulk(out, s)
			}
			return resp.AppendBulk(resp.AppendBulk(resp.AppendInt(out, 2), "mode"), "standalone")
		}},
		"CLIENT": {2, 0, ok},
		"SELECT": {2, 2, func(_ *Counter, _ time.Duration, out []byte, a []string) []byte {
			if a[1] != "0" {
				return resp.AppendError(out, "ERR DB index is out of range")
			}
			return resp.AppendSimple(out, "OK")
		}},
	}
}

func formatTotal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func incrByFloat(k *Counter, now time.Duration, out []byte, a []string) []byte {
	by, err := strconv.ParseFloat(a[2], 64)
	t := k.get(now, a[1])
	sum := t.value + by
	if err != nil || math.IsNaN(sum) || math.IsInf(sum, 0) {
		return resp.AppendError(out, "ERR value is not a valid float")
	}
	t.value = sum
	k.remember(now, a[1])
	k.totals[a[1]] = t
	k.Increments++
	return resp.AppendBulk(out, formatTotal(sum))
}

func pExpire(k *Counter, now time.Duration, out []byte, a []string) []byte {
	ms, err := strconv.ParseInt(a[2], 10, 64)
	if err != nil || ms > math.MaxInt64/int64(time.Millisecond)/2 {
		return resp.AppendError(out, "ERR value is not an integer or out of range")
	}
	if len(a) == 4 && !strings.EqualFold(a[3], "NX") {
		return resp.AppendError(out, "ERR Unsupported option "+printable(a[3]))
	}
	t := k.get(now, a[1])
	if _, ok := k.totals[a[1]]; !ok || len(a) == 4 && t.expires > 0 {
		return resp.AppendInt(out, 0)
	}
	if ms <= 0 {
		delete(k.totals, a[1])
		return resp.AppendInt(out, 1)
	}
	t.expires = now + time.Duration(ms)*time.Millisecond
	k.totals[a[1]] = t
	return resp.AppendInt(out, 1)
}
