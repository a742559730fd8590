package simulation

import (
	"math/rand/v2"
	"time"
)

// The network's figures.
const (
	window    = 64 << 10               // bytes on their way or unread, after which a sender waits
	retry     = 100 * time.Millisecond // until what a broken link holds back is tried again
	knock     = 300 * time.Millisecond // until an unanswered connection is tried again
	mostQueue = 128                    // connections that wait to be accepted
)

// host is a process as the network sees it.
type host struct {
	name   string
	alive  bool
	paused bool
	deaf   bool
	room   int // descriptors that are left; -1: no limit
	ends   []*end
	queue  []*pending // connections that wait to be accepted
	later  []func()   // what happens once a pause is over
	accept func(*end) // nil: nobody listens
}

// pending is a connection that was asked for.
type pending struct {
	from, to *host
	owner    owner
	done     func(*end, bool)
	off      bool // given up
}

// owner is told of what happens on a connection.
type owner interface {
	readable(*end)
	closed(*end, bool) // no more bytes come; true: by a reset
	writable(*end)
}

// end is one side of a connection.
type end struct {
	n      *network
	host   *host
	peer   *end
	owner  owner
	inbox  []byte
	flight []segment     // on their way to the peer
	unread int           // bytes sent that the peer has not read
	pumps  bool          // an event for flight is planned
	full   bool          // a write was cut short
	shut   bool          // closed from this side
	over   bool          // the peer's close has been told
	whole  bool          // writes are not cut
	turned bool          // the peer has too many connections
	began  time.Duration // when its owner last began to send a message
}

type segment struct {
	at   time.Duration
	data []byte
	fin  bool
	rst  bool
}

// link is what ails the way from one host to another.
type link struct {
	blocked int
	lag     time.Duration
	rate    float64 // bytes a second; 0: no limit
}

// network carries bytes between hosts.
type network struct {
	*clock
	rng     *rand.Rand
	latency time.Duration
	jitter  float64
	split   float64 // chance that a write is cut in two, again and again
	hosts   map[string]*host
	byAddr  map[string]*host
	links   map[[2]*host]*link
	open    int // connections
	refused int
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

// way is how long a segment takes.
func (n *network) way(a, b *host, size int) time.Duration {
	d := float64(n.latency) * (1 + n.jitter*n.rng.ExpFloat64())
	if l := n.links[[2]*host{a, b}]; l != nil {
		d += float64(l.lag)
		if l.rate > 0 {
			d += float64(size) / l.rate * float64(time.Second)
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
		h.later = append(h.later, do)
		return
	}
	do()
}

func (h *host) pause(on bool) {
	h.paused = on
	for !h.paused && len(h.later) > 0 {
		do := h.later[0]
		h.later = h.later[1:]
		do()
	}
}

// dial asks for a connection. done is told its end, or nil if it was refused; never, if nobody answers.
func (n *network) dial(from *host, addr string, o owner, done func(*end, bool)) *pending {
	p := &pending{from: from, to: n.byAddr[addr], owner: o, done: done}
	if from.room == 0 {
		n.after(0, func() { p.refuse(n) })
		return p
	}
	n.after(n.way(from, p.to, 0), func() { n.knock(p) })
	return p
}

func (p *pending) refuse(n *network) {
	if !p.off {
		p.off = true
		n.refused++
		p.from.run(func() { p.done(nil, false) })
	}
}

// knock is a connection's first segment at its target.
func (n *network) knock(p *pending) {
	switch {
	case p.off || !p.from.alive:
	case p.to == nil || (!p.to.alive || p.to.accept == nil) && !n.blocked(p.from, p.to):
		n.after(n.latency, func() { p.refuse(n) })
	case n.blocked(p.from, p.to) || n.blocked(p.to, p.from) || len(p.to.queue) >= mostQueue:
		n.after(knock, func() { n.knock(p) })
	default:
		p.to.queue = append(p.to.queue, p)
		n.admit(p.to)
	}
}

// admit accepts what waits, as far as the host can.
func (n *network) admit(h *host) {
	for len(h.queue) > 0 && h.alive && !h.deaf && !h.paused && h.room != 0 {
		p := h.queue[0]
		h.queue = h.queue[1:]
		if p.off || !p.from.alive {
			continue
		}
		if h.accept == nil { // it listens no more
			n.after(n.latency, func() { p.refuse(n) })
			continue
		}
		a, b := &end{n: n, host: p.from, owner: p.owner}, &end{n: n, host: h}
		a.peer, b.peer = b, a
		for _, e := range [2]*end{a, b} {
			e.host.ends = append(e.host.ends, e)
			if e.host.room > 0 {
				e.host.room--
			}
		}
		n.open++
		p.off = true
		n.after(n.way(h, p.from, 0), func() {
			if p.from.alive && !a.shut {
				p.from.run(func() { p.done(a, true) })
			}
		})
		h.accept(b)
	}
}

// write sends as many bytes as the window has room for; the owner hears of writable if that was not all.
func (e *end) write(b []byte) int {
	if e.shut || e.over && len(e.flight) == 0 && e.peer.shut {
		return len(b) // into the void; the owner hears of the close
	}
	took := min(len(b), window-e.unread)
	e.full = took < len(b)
	e.unread += took
	n := e.n
	for rest := b[:took]; len(rest) > 0; {
		size := len(rest)
		for size > 1 && n.split > 0 && !e.whole && n.rng.Float64() < n.split {
			size = 1 + n.rng.IntN(size-1)
		}
		e.send(segment{data: append([]byte(nil), rest[:size]...)})
		rest = rest[size:]
	}
	return took
}

// flow writes what was held back and then what is new, and returns what must be held back now.
func (e *end) flow(held, fresh []byte) []byte {
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

func (e *end) send(s segment) {
	n := e.n
	s.at = n.now + n.way(e.host, e.peer.host, len(s.data))
	if k := len(e.flight); k > 0 {
		s.at = max(s.at, e.flight[k-1].at)
	}
	e.flight = append(e.flight, s)
	e.pump()
}

// pump plans the arrival of what is on its way, in order.
func (e *end) pump() {
	if e.pumps || len(e.flight) == 0 {
		return
	}
	e.pumps = true
	e.n.at(e.flight[0].at, e.arrive)
}

func (e *end) arrive() {
	e.pumps = false
	n, to := e.n, e.peer
	if n.blocked(e.host, to.host) {
		if len(e.flight) > 0 {
			e.pumps = true
			n.after(retry, e.arrive)
		}
		return
	}
	for len(e.flight) > 0 && e.flight[0].at <= n.now {
		s := e.flight[0]
		if e.flight[0] = (segment{}); len(e.flight) > 1 {
			e.flight = e.flight[1:]
		} else {
			e.flight = e.flight[:0] // its room is used again
		}
		switch {
		case to.shut: // the kernel of a host that has closed answers with a reset
			if len(s.data) > 0 && !e.over {
				e.told(true)
			}
		case s.rst:
			to.told(true)
		case s.fin:
			to.told(false)
		default:
			if len(to.inbox) == 0 {
				to.inbox = s.data // a copy of its own already
			} else {
				to.inbox = append(to.inbox, s.data...)
			}
			to.host.run(func() {
				if !to.shut && len(to.inbox) > 0 && to.owner != nil {
					to.owner.readable(to)
				}
			})
		}
	}
	e.pump()
}

// told tells an end's owner that its peer has closed.
func (e *end) told(reset bool) {
	if e.over {
		return
	}
	e.over = true
	if reset {
		e.inbox = nil
	}
	e.host.run(func() {
		if !e.shut && e.owner != nil {
			e.owner.closed(e, reset)
		}
	})
}

// read takes what has come.
func (e *end) read() []byte {
	b := e.inbox
	e.inbox = nil
	from := e.peer
	from.unread -= len(b)
	if from.full && from.unread < window && !from.shut {
		e.n.after(e.n.way(e.host, from.host, 0), func() {
			from.host.run(func() {
				if !from.shut && from.full && from.owner != nil {
					from.full = false
					from.owner.writable(from)
				}
			})
		})
	}
	return b
}

// finish ends the sending: the peer hears of it after all that was written, and what it still sends is read.
func (e *end) finish() {
	if !e.shut && e.host.alive {
		e.send(segment{fin: true})
	}
}

// close ends this side: the peer hears of it after all that was written. With unread bytes, or asked for, it is a reset.
func (e *end) close(reset bool) {
	if e.shut {
		return
	}
	e.shut = true
	reset = reset || len(e.inbox) > 0
	e.inbox = nil
	if reset && len(e.flight) > 0 {
		e.flight = nil
	}
	if e.host.alive {
		e.send(segment{fin: !reset, rst: reset})
	}
	e.free()
}

func (e *end) free() {
	h := e.host
	for i, o := range h.ends {
		if o == e {
			h.ends = append(h.ends[:i], h.ends[i+1:]...)
			break
		}
	}
	if h.room >= 0 {
		h.room++
	}
	if e.peer.shut {
		e.n.open--
	}
	if len(h.queue) > 0 {
		e.n.after(0, func() { e.n.admit(h) })
	}
}

// kill ends a host's process: its peers get resets, as from a kernel whose process is gone.
func (n *network) kill(h *host) {
	for len(h.ends) > 0 {
		h.ends[0].close(true)
	}
	h.alive, h.paused, h.later = false, false, nil
	for _, p := range h.queue {
		n.after(n.latency, func() { p.refuse(n) })
	}
	h.queue = nil
}
