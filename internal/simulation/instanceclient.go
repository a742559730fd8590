package simulation

import (
	"strconv"
	"time"

	"sandyard/proxy"
)

// instanceClientConn is an instance's connection to a client.
type instanceClientConn struct {
	instance         *simInstance
	conn             *netConn
	machine          *proxy.ClientConn
	unsent           []byte
	done             bool
	deadlineAt       time.Duration
	answerDeadlineAt time.Duration
	blockedSince     time.Duration        // since when the client has taken nothing of unsent
	streamSource     *instanceBackendConn // whose response is being streamed
	lingering        bool                 // all is written; what still arrives is read and dropped
}

func (inst *simInstance) accept(conn *netConn) {
	if inst.shared.ClientConns.Add(1) > int64(inst.config.Limits.Connections) {
		inst.shared.ClientConns.Add(-1)
		inst.sim.cover("connection turned away")
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

func (c *instanceClientConn) armDeadline() {
	d := c.machine.Deadline()
	if c.machine.AwaitingResponse() {
		c.armAnswerDeadline(d)
		return
	}
	if d == 0 || c.deadlineAt != 0 && c.deadlineAt <= d {
		return
	}
	c.deadlineAt = d
	c.instance.sim.schedule(c.instance.simTime(d), c.instance.thisIncarnation(func() {
		if c.done || c.deadlineAt != d {
			return
		}
		c.deadlineAt = 0
		c.machine.DeadlinePassed(c.instance.now())
		c.proceed(nil)
	}))
}

// armAnswerDeadline has the connection answer at a time, if the instance has not answered by then; 0: never.
func (c *instanceClientConn) armAnswerDeadline(d time.Duration) {
	if d == 0 || d == c.answerDeadlineAt {
		return
	}
	c.answerDeadlineAt = d
	c.instance.sim.scheduleAnswer(c.instance.simTime(d), c.instance.thisIncarnation(func() {
		if c.done || c.answerDeadlineAt != d || c.machine.Deadline() != d {
			return
		}
		c.machine.DeadlinePassed(c.instance.now())
		c.proceed(nil)
	}))
}

func (c *instanceClientConn) readable(*netConn) {
	for !c.done && len(c.conn.received) > 0 && len(c.unsent) <= maxUnsentBytes {
		if closes, _ := c.machine.Closing(); closes {
			c.conn.read() // what arrives after the last response is dropped
			return
		}
		c.proceed(c.machine.Feed(c.instance.now(), c.conn.read()))
	}
}

func (c *instanceClientConn) closed(_ *netConn, reset bool) {
	if reset {
		c.instance.sim.cover("client reset")
	}
	c.disconnect()
}

func (c *instanceClientConn) disconnect() {
	if c.done {
		return
	}
	ex := c.machine.Disconnected()
	c.close(true)
	if ex != nil {
		c.instance.sim.cover("client left")
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

// proceed carries out what the state machine asks for: it hands a request to the event loop, if there is one, writes, and
// closes or takes the next request.
func (c *instanceClientConn) proceed(ex *proxy.Exchange) {
	for !c.done {
		if ex != nil {
			c.hand(ex)
		}
		c.flush()
		if len(c.unsent) > 0 {
			c.watchWrite()
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

func (c *instanceClientConn) hand(ex *proxy.Exchange) {
	c.instance.post(func() { c.instance.core.RequestArrived(c.instance.now(), ex) })
}

// flush writes what the state machine has for the client.
func (c *instanceClientConn) flush() {
	for _, status := range c.machine.LocalStatuses {
		c.instance.sim.cover("own answer " + strconv.Itoa(status))
	}
	c.machine.LocalStatuses = c.machine.LocalStatuses[:0]
	all := len(c.unsent) + len(c.machine.Outgoing)
	if all == 0 {
		return
	}
	c.unsent = c.conn.writeBuffered(c.unsent, c.machine.Outgoing)
	c.machine.Outgoing = c.machine.Outgoing[:0]
	if len(c.unsent) < all {
		c.blockedSince = c.instance.sim.now
	}
}

// endConnection ends the connection after the last response. With linger it shuts the sending side, and reads and drops
// what still arrives for lingerTime: closed at once, unread bytes would reset the connection and take the response along.
func (c *instanceClientConn) endConnection(linger bool) {
	if !linger {
		c.close(c.machine.MustReset())
		return
	}
	if !c.lingering {
		c.lingering = true
		c.conn.closeWrite()
		c.instance.sim.scheduleAfter(lingerTime, c.instance.thisIncarnation(func() { c.close(false) }))
	}
	c.conn.read()
}

// watchWrite disconnects a client that takes nothing for limits.write-timeout.
func (c *instanceClientConn) watchWrite() {
	since := c.blockedSince
	c.instance.sim.scheduleAfter(time.Duration(c.instance.config.Limits.WriteTimeout), c.instance.thisIncarnation(func() {
		if !c.done && len(c.unsent) > 0 && c.blockedSince == since {
			c.instance.sim.cover("client too slow")
			c.disconnect()
		}
	}))
}

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

func (c *instanceClientConn) relay(ex *proxy.Exchange, b []byte, end, broken bool) {
	if c.done {
		return
	}
	switch {
	case broken:
		c.machine.AbortResponse(ex)
		c.instance.sim.cover("answer cut off")
	case end:
		c.machine.EndResponse(c.instance.now(), ex, b)
	default:
		c.machine.ContinueResponse(ex, b)
	}
	c.proceed(nil)
	c.readable(nil)
}
