package simulation

import (
	"time"
)

// connHandler is told of what happens on a connection.
type connHandler interface {
	readable(*netConn)
	closed(*netConn, bool) // no more bytes come; true: by a reset
	writable(*netConn)
}

// netConn is one side of a connection.
type netConn struct {
	network           *network
	host              *host
	peer              *netConn
	handler           connHandler
	received          []byte
	inFlight          []segment     // on their way to the peer
	unacknowledged    int           // bytes sent that the peer has not read
	deliveryScheduled bool          // an event for flight is planned
	writeBlocked      bool          // a write was cut short
	closed            bool          // closed from this side
	peerClosed        bool          // the peer's close has been told
	unsplit           bool          // writes are not cut
	tooManyConns      bool          // the peer has too many connections
	messageBegan      time.Duration // when its owner last began to send a message
}

type segment struct {
	arrivesAt time.Duration
	data      []byte
	fin       bool
	rst       bool
}

// write sends as many bytes as the window has room for; the owner hears of writable if that was not all.
func (e *netConn) write(b []byte) int {
	if e.closed || e.peerClosed && len(e.inFlight) == 0 && e.peer.closed {
		return len(b) // into the void; the owner hears of the close
	}
	took := min(len(b), windowBytes-e.unacknowledged)
	e.writeBlocked = took < len(b)
	e.unacknowledged += took
	n := e.network
	for rest := b[:took]; len(rest) > 0; {
		size := len(rest)
		for size > 1 && n.splitProbability > 0 && !e.unsplit && n.rng.Float64() < n.splitProbability {
			size = 1 + n.rng.IntN(size-1)
		}
		e.send(segment{data: append([]byte(nil), rest[:size]...)})
		rest = rest[size:]
	}
	return took
}

// writeBuffered writes what was held back and then what is new, and returns what must be held back now.
func (e *netConn) writeBuffered(held, fresh []byte) []byte {
	if len(held) == 0 { // the usual case: nothing is copied twice
		n := e.write(fresh)
		return append(held, fresh[n:]...)
	}
	held = append(held, fresh...)
	if n := e.write(held); n < len(held) {
		return held[n:]
	}
	return held[:0]
}

func (e *netConn) send(s segment) {
	n := e.network
	s.arrivesAt = n.now + n.transitTime(e.host, e.peer.host, len(s.data))
	if k := len(e.inFlight); k > 0 {
		s.arrivesAt = max(s.arrivesAt, e.inFlight[k-1].arrivesAt)
	}
	e.inFlight = append(e.inFlight, s)
	e.scheduleDelivery()
}

// scheduleDelivery plans the arrival of what is on its way, in order.
func (e *netConn) scheduleDelivery() {
	if e.deliveryScheduled || len(e.inFlight) == 0 {
		return
	}
	e.deliveryScheduled = true
	e.network.schedule(e.inFlight[0].arrivesAt, e.deliver)
}

func (e *netConn) deliver() {
	e.deliveryScheduled = false
	n, to := e.network, e.peer
	if n.blocked(e.host, to.host) {
		if len(e.inFlight) > 0 {
			e.deliveryScheduled = true
			n.scheduleAfter(partitionRetry, e.deliver)
		}
		return
	}
	for len(e.inFlight) > 0 && e.inFlight[0].arrivesAt <= n.now {
		s := e.inFlight[0]
		if e.inFlight[0] = (segment{}); len(e.inFlight) > 1 {
			e.inFlight = e.inFlight[1:]
		} else {
			e.inFlight = e.inFlight[:0] // its room is used again
		}
		switch {
		case to.closed: // the kernel of a host that has closed answers with a reset
			if len(s.data) > 0 && !e.peerClosed {
				e.notifyClosed(true)
			}
		case s.rst:
			to.notifyClosed(true)
		case s.fin:
			to.notifyClosed(false)
		default:
			if len(to.received) == 0 {
				to.received = s.data // a copy of its own already
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
	e.scheduleDelivery()
}

// notifyClosed tells an end's owner that its peer has closed.
func (e *netConn) notifyClosed(reset bool) {
	if e.peerClosed {
		return
	}
	e.peerClosed = true
	if reset {
		e.received = nil
	}
	e.host.run(func() {
		if !e.closed && e.handler != nil {
			e.handler.closed(e, reset)
		}
	})
}

// read takes what has come.
func (e *netConn) read() []byte {
	b := e.received
	e.received = nil
	from := e.peer
	from.unacknowledged -= len(b)
	if from.writeBlocked && from.unacknowledged < windowBytes && !from.closed {
		e.network.scheduleAfter(e.network.transitTime(e.host, from.host, 0), func() {
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

// closeWrite ends the sending: the peer hears of it after all that was written, and what it still sends is read.
func (e *netConn) closeWrite() {
	if !e.closed && e.host.alive {
		e.send(segment{fin: true})
	}
}

// close ends this side: the peer hears of it after all that was written. With unread bytes, or asked for, it is a reset.
func (e *netConn) close(reset bool) {
	if e.closed {
		return
	}
	e.closed = true
	reset = reset || len(e.received) > 0
	e.received = nil
	if reset && len(e.inFlight) > 0 {
		e.inFlight = nil
	}
	if e.host.alive {
		e.send(segment{fin: !reset, rst: reset})
	}
	e.release()
}

func (e *netConn) release() {
	h := e.host
	for i, o := range h.conns {
		if o == e {
			h.conns = append(h.conns[:i], h.conns[i+1:]...)
			break
		}
	}
	if h.descriptors >= 0 {
		h.descriptors++
	}
	if len(h.backlog) > 0 {
		e.network.scheduleAfter(0, func() { e.network.acceptPending(h) })
	}
}
