package simulation

import (
	"strconv"
	"time"

	"sandyard/proxy"
)

// instanceClientConn is an instance's connection to a client.
type instanceClientConn struct {
	instance           *simInstance
	conn               *netConn
	machine            *proxy.ClientConn
	unsent             []byte
	done               bool
	deadlineAt         time.Duration
	responseDeadlineAt time.Duration
	blockedSince       time.Duration        // since when the client has read none of unsent
	streamSource       *instanceBackendConn // connection whose response is being streamed; nil: none
	lingering          bool                 // all is written; further input is read and discarded
}

// accept handles a connection from a client.
func (inst *simInstance) accept(conn *netConn) {
	if inst.shared.ClientConns.Add(1) > int64(inst.config.Limits.Connections) {
		inst.shared.ClientConns.Add(-1)
		inst.sim.countReached("connection turned away")
		conn.peer.tooManyConns = true
		conn.write(inst.shared.TooManyConnections())
		conn.close(false)
		return
	}
	c := &instanceClientConn{instance: inst, conn: conn}
	c.machine = proxy.NewClientConn(inst.shared, c, "192.0.2.1", inst.now())
	conn.handler = c
	inst.clients = append(inst.clients, c)
	c.armDeadline()
}

// armDeadline schedules the state machine's next deadline, unless one is scheduled that is not later.
func (c *instanceClientConn) armDeadline() {
	d := c.machine.Deadline()
	if c.machine.AwaitingResponse() {
		c.armResponseDeadline(d)
		return
	}
	if d == 0 || c.deadlineAt != 0 && c.deadlineAt <= d {
		return
	}
	c.deadlineAt = d
	c.instance.sim.schedule(c.instance.simTime(d), c.instance.forThisIncarnation(func() {
		if c.done || c.deadlineAt != d {
			return
		}
		c.deadlineAt = 0
		c.machine.DeadlinePassed(c.instance.now())
		c.proceed(nil)
	}))
}

// armResponseDeadline schedules the deadline at which the connection sends a local response if the instance has not
// responded; 0: there is no deadline.
func (c *instanceClientConn) armResponseDeadline(d time.Duration) {
	if d == 0 || d == c.responseDeadlineAt {
		return
	}
	c.responseDeadlineAt = d
	c.instance.sim.scheduleResponseDeadline(c.instance.simTime(d), c.instance.forThisIncarnation(func() {
		if c.done || c.responseDeadlineAt != d || c.machine.Deadline() != d {
			return
		}
		c.machine.DeadlinePassed(c.instance.now())
		c.proceed(nil)
	}))
}

func (c *instanceClientConn) readable(*netConn) {
	for !c.done && len(c.conn.received) > 0 && len(c.unsent) <= maxUnsentBytes {
		if closes, _ := c.machine.Closing(); closes {
			c.conn.read() // input after the last response is discarded
			return
		}
		c.proceed(c.machine.Feed(c.instance.now(), c.conn.read()))
	}
}

func (c *instanceClientConn) closed(_ *netConn, reset bool) {
	if reset {
		c.instance.sim.countReached("client reset")
	}
	c.disconnect()
}

// disconnect handles the loss of the client.
func (c *instanceClientConn) disconnect() {
	if c.done {
		return
	}
	ex := c.machine.Disconnected()
	c.close(true)
	if ex != nil {
		c.instance.sim.countReached("client left")
		c.instance.post(func() { c.instance.core.ClientLeft(c.instance.now(), ex) })
	}
}

func (c *instanceClientConn) close(reset bool) {
	if c.done {
		return
	}
	c.done = true
	c.conn.close(reset)
	c.instance.shared.ClientConns.Add(-1)
	c.instance.clients = without(c.instance.clients, c)
	if c.streamSource != nil {
		c.streamSource.readable(nil)
	}
}

func (c *instanceClientConn) writable(*netConn) { c.proceed(nil); c.readable(nil) }

// proceed carries out the output of the state machine: it sends ex, if not nil, to the event loop, writes, and closes the
// connection or takes the next request.
func (c *instanceClientConn) proceed(ex *proxy.Exchange) {
	for !c.done {
		if ex != nil {
			c.submit(ex)
		}
		c.flush()
		if len(c.unsent) > 0 {
			c.armWriteTimer()
			break
		}
		if c.streamSource != nil {
			c.streamSource.readable(nil)
		}
		if closes, linger := c.machine.Closing(); closes {
			c.endConnection(linger && !c.machine.MustReset())
			return
		}
		if ex != nil {
			break
		}
		if ex = c.machine.Resume(c.instance.now()); ex == nil && len(c.machine.Outgoing) == 0 {
			if closes, _ := c.machine.Closing(); !closes {
				break
			}
		}
	}
	if !c.done {
		c.armDeadline()
	}
}

// submit sends a request to the event loop.
func (c *instanceClientConn) submit(ex *proxy.Exchange) {
	c.instance.post(func() { c.instance.core.RequestArrived(c.instance.now(), ex) })
}

// flush writes the state machine's output to the client.
func (c *instanceClientConn) flush() {
	for _, status := range c.machine.LocalStatuses {
		c.instance.sim.countReached("own answer " + strconv.Itoa(status))
	}
	c.machine.LocalStatuses = c.machine.LocalStatuses[:0]
	pending := len(c.unsent) + len(c.machine.Outgoing)
	if pending == 0 {
		return
	}
	c.unsent = c.conn.writeBuffered(c.unsent, c.machine.Outgoing)
	c.machine.Outgoing = c.machine.Outgoing[:0]
	if len(c.unsent) < pending {
		c.blockedSince = c.instance.sim.now
	}
}

// endConnection ends the connection after the last response. With linger it closes the sending side, and reads and discards
// input for lingerTime. If it closed at once, unread bytes would reset the connection, and the response could be lost.
func (c *instanceClientConn) endConnection(linger bool) {
	if !linger {
		c.close(c.machine.MustReset())
		return
	}
	if !c.lingering {
		c.lingering = true
		c.conn.closeWrite()
		c.instance.sim.scheduleAfter(lingerTime, c.instance.forThisIncarnation(func() { c.close(false) }))
	}
	c.conn.read()
}

// armWriteTimer starts a timer that disconnects a client if it reads nothing for limits.write-timeout.
func (c *instanceClientConn) armWriteTimer() {
	since := c.blockedSince
	c.instance.sim.scheduleAfter(time.Duration(c.instance.config.Limits.WriteTimeout), c.instance.forThisIncarnation(func() {
		if !c.done && len(c.unsent) > 0 && c.blockedSince == since {
			c.instance.sim.countReached("client too slow")
			c.disconnect()
		}
	}))
}

// respond sends a response, or its beginning if more follows.
func (c *instanceClientConn) respond(ex *proxy.Exchange, b []byte, more, closes bool) {
	if c.done {
		return
	}
	if more {
		c.machine.BeginResponse(ex, b, closes)
	} else {
		c.machine.Respond(c.instance.now(), ex, b, closes)
	}
	c.proceed(nil)
	c.readable(nil)
}

// relay sends a part of a streamed response. aborted says that the response ends incomplete.
func (c *instanceClientConn) relay(ex *proxy.Exchange, b []byte, end, aborted bool) {
	if c.done {
		return
	}
	switch {
	case aborted:
		c.machine.AbortResponse(ex)
		c.instance.sim.countReached("answer cut off")
	case end:
		c.machine.EndResponse(c.instance.now(), ex, b)
	default:
		c.machine.ContinueResponse(ex, b)
	}
	c.proceed(nil)
	c.readable(nil)
}
