package simulation

import (
	"time"
)

// instanceCounterConn is an instance's connection to the counter.
type instanceCounterConn struct {
	instance *simInstance
	conn     *netConn
	dialing  *dialing
	unsent   []byte
	done     bool
}

func (inst *simInstance) dialCounter(addr string) {
	c := &instanceCounterConn{instance: inst}
	inst.counterConn = c
	incarnation := inst.incarnation
	c.dialing = inst.sim.network.dial(inst.host, addr, c, func(conn *netConn, ok bool) {
		switch {
		case incarnation != inst.incarnation || c.done:
			if conn != nil {
				conn.close(true)
			}
		case !ok:
			c.fail()
		default:
			c.conn = conn
			inst.post(func() {
				if inst.counterConn == c {
					inst.core.CounterConnected(inst.now())
				}
			})
		}
	})
	inst.sim.scheduleAfter(time.Second, inst.forThisIncarnation(func() {
		if c.conn == nil && !c.done {
			c.dialing.ended = true
			c.fail()
		}
	}))
}

func (c *instanceCounterConn) fail() {
	if c.done {
		return
	}
	c.done = true
	if c.conn != nil {
		c.conn.close(true)
	}
	inst := c.instance
	inst.post(func() {
		if inst.counterConn == c {
			inst.counterConn = nil
			inst.core.CounterDisconnected(inst.now())
		}
	})
}

func (c *instanceCounterConn) write(b []byte) {
	if c.done || c.conn == nil {
		return
	}
	c.unsent = append(c.unsent, b...)
	c.writable(nil)
}

// abandon closes the connection at the request of the core.
func (c *instanceCounterConn) abandon() {
	c.done = true
	if c.conn != nil {
		c.conn.close(true)
	} else {
		c.dialing.ended = true
	}
}

func (c *instanceCounterConn) writable(*netConn) {
	c.unsent = c.conn.writeBuffered(c.unsent, nil)
}

func (c *instanceCounterConn) readable(*netConn) {
	if c.done {
		return
	}
	b := c.conn.read()
	inst := c.instance
	inst.post(func() {
		if inst.counterConn == c {
			inst.core.CounterReceived(inst.now(), b)
		}
	})
}

func (c *instanceCounterConn) closed(*netConn, bool) { c.fail() }
