package simulation

import (
	"time"

	"sandyard/emulator"
)

// simBackendConn is the backend's side of a connection.
type simBackendConn struct {
	backend  *simBackend
	conn     *netConn
	model    *emulator.BackendConn
	unsent   []byte
	done     bool
	instance int
	lastUsed time.Duration // when bytes were last read or written
}

// closeIfIdle closes a connection that has been idle for the given time, as servers do. A request may be in flight on the
// network at that moment.
func (c *simBackendConn) closeIfIdle(after time.Duration) {
	if c.done || c.conn.closed { // the process was killed
		return
	}
	if left := c.lastUsed + after - c.backend.sim.now; left > 0 || c.model.Busy() {
		c.backend.sim.scheduleAfter(max(left, after/2), func() { c.closeIfIdle(after) })
		return
	}
	c.backend.host.run(func() {
		if !c.done && !c.conn.closed && len(c.conn.received) == 0 && !c.model.Busy() {
			c.backend.sim.countReached("box closed idle line")
			c.close(false)
		}
	})
}

func (c *simBackendConn) readable(*netConn) {
	if c.done {
		return
	}
	c.lastUsed = c.backend.sim.now
	c.backend.sim.requestInstance, c.backend.sim.sentAt = c.instance, c.conn.peer.messageStartedAt
	c.model.Feed(c.backend.sim.now, c.conn.read())
	if !c.done {
		c.flush()
	}
	c.backend.scheduleWork()
}

func (c *simBackendConn) writable(*netConn) { c.flush() }

func (c *simBackendConn) flush() {
	if c.done {
		return
	}
	// An HTTP/1.1 client can recognize an extra response only if it arrives before the next request is sent. Therefore an
	// extra response is delivered together with the response that it follows.
	c.conn.unsplit, c.lastUsed = c.backend.extraResponses, c.backend.sim.now
	c.unsent = c.conn.writeBuffered(c.unsent, c.model.Out)
	c.model.Out = c.model.Out[:0]
	if c.model.Close && len(c.unsent) == 0 {
		abort := c.model.Abort
		if abort { // the reset must arrive after the written bytes
			c.backend.sim.scheduleAfter(2*c.backend.sim.network.latency, func() { c.close(true) })
			return
		}
		c.close(false)
	}
}

func (c *simBackendConn) closed(*netConn, bool) { c.close(false) }

func (c *simBackendConn) close(reset bool) {
	if c.done {
		return
	}
	c.done = true
	c.model.Closed()
	c.conn.close(reset)
	c.backend.conns = without(c.backend.conns, c)
}
