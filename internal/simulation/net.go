package simulation

import (
	"math/rand/v2"
	"time"
)

// The network's figures.
const (
	windowBytes    = 64 << 10               // bytes on their way or unread, after which a sender waits
	partitionRetry = 100 * time.Millisecond // until what a broken link holds back is tried again
	connectRetry   = 300 * time.Millisecond // until an unanswered connection is tried again
	maxBacklog     = 128                    // connections that wait to be accepted
)

// host is a process as the network sees it.
type host struct {
	name         string
	alive        bool
	paused       bool
	notAccepting bool
	descriptors  int // descriptors that are left; -1: no limit
	conns        []*netConn
	backlog      []*dialing     // connections that wait to be accepted
	deferred     []func()       // what happens once a pause is over
	accept       func(*netConn) // nil: nobody listens
}

// dialing is a connection that was asked for.
type dialing struct {
	from, to  *host
	handler   connHandler
	connected func(*netConn, bool)
	ended     bool // given up
}

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

// link is what ails the way from one host to another.
type link struct {
	blocked        int
	addedLatency   time.Duration
	bytesPerSecond float64 // bytes a second; 0: no limit
}

// network carries bytes between hosts.
type network struct {
	*clock
	rng              *rand.Rand
	latency          time.Duration
	jitter           float64
	splitProbability float64 // chance that a write is cut in two, again and again
	hosts            map[string]*host
	byAddr           map[string]*host
	links            map[[2]*host]*link
	open             int // connections
	refused          int
}

func (n *network) link(a, b *host) *link {
	k := [2]*host{a, b}
	l := n.links[k]
	if l == nil {
		l = &link{}
		n.links[k] = l
	}
	return l
}

// transitTime is how long a segment takes.
func (n *network) transitTime(a, b *host, size int) time.Duration {
	d := float64(n.latency) * (1 + n.jitter*n.rng.ExpFloat64())
	if l := n.links[[2]*host{a, b}]; l != nil {
		d += float64(l.addedLatency)
		if l.bytesPerSecond > 0 {
			d += float64(size) / l.bytesPerSecond * float64(time.Second)
		}
	}
	return time.Duration(d)
}

func (n *network) blocked(a, b *host) bool {
	l := n.links[[2]*host{a, b}]
	return l != nil && l.blocked > 0
}

// run lets a host do something, once it is not paused.
func (h *host) run(do func()) {
	if h.paused {
		h.deferred = append(h.deferred, do)
		return
	}
	do()
}

func (h *host) pause(on bool) {
	h.paused = on
	for !h.paused && len(h.deferred) > 0 {
		do := h.deferred[0]
		h.deferred = h.deferred[1:]
		do()
	}
}

// dial asks for a connection. done is told its end, or nil if it was refused; never, if nobody answers.
func (n *network) dial(from *host, addr string, o connHandler, done func(*netConn, bool)) *dialing {
	p := &dialing{from: from, to: n.byAddr[addr], handler: o, connected: done}
	if from.descriptors == 0 {
		n.scheduleAfter(0, func() { p.refuse(n) })
		return p
	}
	n.scheduleAfter(n.transitTime(from, p.to, 0), func() { n.connect(p) })
	return p
}

func (p *dialing) refuse(n *network) {
	if !p.ended {
		p.ended = true
		n.refused++
		p.from.run(func() { p.connected(nil, false) })
	}
}

// connect is a connection's first segment at its target.
func (n *network) connect(p *dialing) {
	switch {
	case p.ended || !p.from.alive:
	case p.to == nil || (!p.to.alive || p.to.accept == nil) && !n.blocked(p.from, p.to):
		n.scheduleAfter(n.latency, func() { p.refuse(n) })
	case n.blocked(p.from, p.to) || n.blocked(p.to, p.from) || len(p.to.backlog) >= maxBacklog:
		n.scheduleAfter(connectRetry, func() { n.connect(p) })
	default:
		p.to.backlog = append(p.to.backlog, p)
		n.acceptPending(p.to)
	}
}

// acceptPending accepts what waits, as far as the host can.
func (n *network) acceptPending(h *host) {
	for len(h.backlog) > 0 && h.alive && !h.notAccepting && !h.paused && h.descriptors != 0 {
		p := h.backlog[0]
		h.backlog = h.backlog[1:]
		if p.ended || !p.from.alive {
			continue
		}
		if h.accept == nil { // it listens no more
			n.scheduleAfter(n.latency, func() { p.refuse(n) })
			continue
		}
		a, b := &netConn{network: n, host: p.from, handler: p.handler}, &netConn{network: n, host: h}
		a.peer, b.peer = b, a
		for _, e := range [2]*netConn{a, b} {
			e.host.conns = append(e.host.conns, e)
			if e.host.descriptors > 0 {
				e.host.descriptors--
			}
		}
		n.open++
		p.ended = true
		n.scheduleAfter(n.transitTime(h, p.from, 0), func() {
			if p.from.alive && !a.closed {
				p.from.run(func() { p.connected(a, true) })
			}
		})
		h.accept(b)
	}
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
	if e.peer.closed {
		e.network.open--
	}
	if len(h.backlog) > 0 {
		e.network.scheduleAfter(0, func() { e.network.acceptPending(h) })
	}
}

// kill ends a host's process: its peers get resets, as from a kernel whose process is gone.
func (n *network) kill(h *host) {
	for len(h.conns) > 0 {
		h.conns[0].close(true)
	}
	h.alive, h.paused, h.deferred = false, false, nil
	for _, p := range h.backlog {
		n.scheduleAfter(n.latency, func() { p.refuse(n) })
	}
	h.backlog = nil
}
