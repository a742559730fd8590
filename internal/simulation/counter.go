package simulation

import (
	"math"

	"sandyard/emulator"
	"sandyard/fault"
)

// simCounter is the stand-in keeper in virtual time.
type simCounter struct {
	sim               *Sim
	host              *host
	model             *emulator.Counter
	invalidReplies    bool
	earlierIncrements uint64 // of its earlier processes
	conns             []*simCounterConn
}

func (k *simCounter) start() {
	k.host.alive = true
	k.host.accept = func(e *netConn) {
		c := &simCounterConn{counter: k, conn: e, model: k.model.NewConn()}
		c.model.ClientPosition = spreadPosition(k.sim.instanceOf(e.peer.host))
		e.handler = c
		k.conns = append(k.conns, c)
	}
}

func (k *simCounter) setFault(v fault.Verb, value float64, on bool) {
	switch v {
	case fault.InvalidReplies:
		k.invalidReplies = on
	case fault.Refuse:
		k.model.Set(k.sim.now, v, value, on)
		if on {
			k.host.accept = nil
			for len(k.conns) > 0 {
				k.conns[0].close(true)
			}
		} else {
			k.start()
		}
	default:
		k.model.Set(k.sim.now, v, value, on)
		if v == fault.Stall && !on {
			for _, c := range append([]*simCounterConn(nil), k.conns...) {
				if len(c.conn.received) > 0 {
					c.readable(nil)
				}
			}
		}
	}
}

// spreadPosition is a place in [0,1) for each number, such that neighbours lie apart (multiples of the golden ratio).
func spreadPosition(number int) float64 {
	_, x := math.Modf(float64(number+1) * (math.Sqrt(5) - 1) / 2)
	return x
}

type simCounterConn struct {
	counter *simCounter
	conn    *netConn
	model   *emulator.CounterConn
	unsent  []byte
	done    bool
}

func (c *simCounterConn) readable(*netConn) {
	k := c.counter
	if c.done || k.model.Stalled() {
		return // the bytes wait
	}
	c.model.Feed(k.sim.now, c.conn.read())
	b := append([]byte(nil), c.model.Out...)
	c.model.Out = c.model.Out[:0]
	if k.invalidReplies && len(b) > 0 {
		b = []byte("HTTP/1.1 400 Bad Request\r\n\r\n")
	}
	if d := k.model.Delay(); d > 0 {
		k.sim.scheduleAfter(d, func() { c.write(b) })
	} else {
		c.write(b)
	}
	if c.model.Close {
		c.close(false)
	}
}

func (c *simCounterConn) write(b []byte) {
	if c.done {
		return
	}
	c.unsent = append(c.unsent, b...)
	c.writable(nil)
}

func (c *simCounterConn) writable(*netConn) {
	c.unsent = c.conn.writeBuffered(c.unsent, nil)
}

func (c *simCounterConn) closed(*netConn, bool) { c.close(false) }

func (c *simCounterConn) close(reset bool) {
	if c.done {
		return
	}
	c.done = true
	c.conn.close(reset)
	for i, o := range c.counter.conns {
		if o == c {
			c.counter.conns = append(c.counter.conns[:i], c.counter.conns[i+1:]...)
			break
		}
	}
}
