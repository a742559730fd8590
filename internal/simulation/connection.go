package simulation

import (
	"time"
)

// connHandler is notified of events on a connection.
type connHandler interface {
	readable(*netConn)
	closed(conn *netConn, reset bool) // the peer sends no more bytes
	writable(*netConn)
}

// netConn is one side of a connection.
type netConn struct {
	network           *network
	host              *host
	peer              *netConn
	handler           connHandler
	received          []byte
	inFlight          []segment     // in order of arrival
	unacknowledged    int           // bytes that were sent and that the peer has not read yet
	deliveryScheduled bool          // an event for inFlight is scheduled
	writeBlocked      bool          // the last write filled the window
	closed            bool          // by this side
	peerClosed        bool          // the handler was notified of the close, or is about to be
	unsplit           bool          // writes are not split into segments
	tooManyConns      bool          // the peer rejected this connection because it had too many
	messageStartedAt  time.Duration // when this side began to send its last message
}

// segment is a part of the byte stream in flight, or its end.
type segment struct {
	arrivesAt time.Duration
	data      []byte
	fin       bool
	rst       bool
}

// write sends as many bytes as the window permits, and returns their number. If that is not all, the handler's writable is
// called later.
func (c *netConn) write(b []byte) int {
	if c.closed || c.peerClosed && len(c.inFlight) == 0 && c.peer.closed {
		return len(b) // dropped: the handler is about to be notified of the close
	}
	sent := min(len(b), windowBytes-c.unacknowledged)
	c.writeBlocked = sent < len(b)
	c.unacknowledged += sent
	n := c.network
	for rest := b[:sent]; len(rest) > 0; {
		size := len(rest)
		for size > 1 && n.splitProbability > 0 && !c.unsplit && n.rng.Float64() < n.splitProbability {
			size = 1 + n.rng.IntN(size-1)
		}
		c.send(segment{data: append([]byte(nil), rest[:size]...)})
		rest = rest[size:]
	}
	return sent
}

// writeBuffered writes the unsent bytes and then data. It returns the bytes that are still unsent.
func (c *netConn) writeBuffered(unsent, data []byte) []byte {
	if len(unsent) == 0 { // the usual case; avoids a second copy
		n := c.write(data)
		return append(unsent, data[n:]...)
	}
	unsent = append(unsent, data...)
	if n := c.write(unsent); n < len(unsent) {
		return unsent[n:]
	}
	return unsent[:0]
}

func (c *netConn) send(s segment) {
	n := c.network
	s.arrivesAt = n.now + n.transitTime(c.host, c.peer.host, len(s.data))
	if k := len(c.inFlight); k > 0 {
		s.arrivesAt = max(s.arrivesAt, c.inFlight[k-1].arrivesAt)
	}
	c.inFlight = append(c.inFlight, s)
	c.scheduleDelivery()
}

// scheduleDelivery schedules the arrival of the first segment in flight.
func (c *netConn) scheduleDelivery() {
	if c.deliveryScheduled || len(c.inFlight) == 0 {
		return
	}
	c.deliveryScheduled = true
	c.network.schedule(c.inFlight[0].arrivesAt, c.deliver)
}

func (c *netConn) deliver() {
	c.deliveryScheduled = false
	n, to := c.network, c.peer
	if n.blocked(c.host, to.host) {
		if len(c.inFlight) > 0 {
			c.deliveryScheduled = true
			n.scheduleAfter(partitionRetry, c.deliver)
		}
		return
	}
	for len(c.inFlight) > 0 && c.inFlight[0].arrivesAt <= n.now {
		s := c.inFlight[0]
		if c.inFlight[0] = (segment{}); len(c.inFlight) > 1 {
			c.inFlight = c.inFlight[1:]
		} else {
			c.inFlight = c.inFlight[:0] // reuses its memory
		}
		switch {
		case to.closed: // a closed socket's kernel replies with a reset
			if len(s.data) > 0 && !c.peerClosed {
				c.notifyClosed(true)
			}
		case s.rst:
			to.notifyClosed(true)
		case s.fin:
			to.notifyClosed(false)
		default:
			if len(to.received) == 0 {
				to.received = s.data // a copy already
			} else {
				to.received = append(to.received, s.data...)
			}
			to.host.run(func() {
				if !to.closed && len(to.received) > 0 && to.handler != nil {
					to.handler.readable(to)
				}
			})
		}
	}
	c.scheduleDelivery()
}

// notifyClosed notifies the handler of the peer's close, once.
func (c *netConn) notifyClosed(reset bool) {
	if c.peerClosed {
		return
	}
	c.peerClosed = true
	if reset {
		c.received = nil
	}
	c.host.run(func() {
		if !c.closed && c.handler != nil {
			c.handler.closed(c, reset)
		}
	})
}

// read returns the received bytes, and opens the peer's window by their number.
func (c *netConn) read() []byte {
	b := c.received
	c.received = nil
	from := c.peer
	from.unacknowledged -= len(b)
	if from.writeBlocked && from.unacknowledged < windowBytes && !from.closed {
		c.network.scheduleAfter(c.network.transitTime(c.host, from.host, 0), func() {
			from.host.run(func() {
				if !from.closed && from.writeBlocked && from.handler != nil {
					from.writeBlocked = false
					from.handler.writable(from)
				}
			})
		})
	}
	return b
}

// closeWrite closes the sending side after all written bytes. On the half-closed connection the peer's bytes can still be
// read.
func (c *netConn) closeWrite() {
	if !c.closed && c.host.alive {
		c.send(segment{fin: true})
	}
}

// close closes the connection after all written bytes. If reset is set or received bytes are unread, it resets the
// connection and discards the bytes in flight.
func (c *netConn) close(reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	reset = reset || len(c.received) > 0
	c.received = nil
	if reset && len(c.inFlight) > 0 {
		c.inFlight = nil
	}
	if c.host.alive {
		c.send(segment{fin: !reset, rst: reset})
	}
	c.release()
}

func (c *netConn) release() {
	h := c.host
	h.conns = without(h.conns, c)
	if h.descriptors >= 0 {
		h.descriptors++
	}
	if len(h.backlog) > 0 {
		c.network.scheduleAfter(0, func() { c.network.acceptPending(h) })
	}
}
