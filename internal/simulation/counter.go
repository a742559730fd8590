package simulation

import (
	"math"

	"sandyard/emulator"
	"sandyard/fault"
)

// simCounter is the emulated counter in the simulation.
type simCounter struct {
	sim               *Sim
	host              *host
	model             *emulator.Counter
	invalidReplies    bool
	earlierIncrements uint64 // increments that the counter's earlier processes executed
	conns             []*simCounterConn
}

func (c *simCounter) start() {
	c.host.alive = true
	c.host.accept = func(conn *netConn) {
		cc := &simCounterConn{counter: c, conn: conn, model: c.model.NewConn()}
		cc.model.ClientPosition = spreadPosition(c.sim.instanceOf(conn.peer.host))
		conn.handler = cc
		c.conns = append(c.conns, cc)
	}
}

// kill terminates the counter's process. The next one starts empty.
func (c *simCounter) kill() {
	c.sim.network.kill(c.host)
	c.conns = nil
	c.host.accept = nil
	c.earlierIncrements += c.model.Increments
	c.model = emulator.NewCounter()
}

func (c *simCounter) setFault(verb fault.Verb, value float64, on bool) {
	switch verb {
	case fault.InvalidReplies:
		c.invalidReplies = on
	case fault.Refuse:
		c.model.Set(c.sim.now, verb, value, on)
		if on {
			c.host.accept = nil
			for len(c.conns) > 0 {
				c.conns[0].close(true)
			}
		} else {
			c.start()
		}
	default:
		c.model.Set(c.sim.now, verb, value, on)
		if verb == fault.Stall && !on {
			for _, cc := range append([]*simCounterConn(nil), c.conns...) {
				if len(cc.conn.received) > 0 {
					cc.readable(nil)
				}
			}
		}
	}
}

// spreadPosition returns a position in [0,1) for each number. Positions of consecutive numbers lie far apart (multiples of
// the golden ratio).
func spreadPosition(number int) float64 {
	_, x := math.Modf(float64(number+1) * (math.Sqrt(5) - 1) / 2)
	return x
}

// simCounterConn is the counter's side of a connection.
type simCounterConn struct {
	counter *simCounter
	conn    *netConn
	model   *emulator.CounterConn
	unsent  []byte
	done    bool
}

func (c *simCounterConn) readable(*netConn) {
	counter := c.counter
	if c.done || counter.model.Stalled() {
		return // the bytes stay unread
	}
	c.model.Feed(counter.sim.now, c.conn.read())
	b := append([]byte(nil), c.model.Out...)
	c.model.Out = c.model.Out[:0]
	if counter.invalidReplies && len(b) > 0 {
		b = []byte("HTTP/1.1 400 Bad Request\r\n\r\n")
	}
	if d := counter.model.Delay(); d > 0 {
		counter.sim.scheduleAfter(d, func() { c.write(b) })
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
	c.counter.conns = without(c.counter.conns, c)
}
