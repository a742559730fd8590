package simulation

// dialing is a connection that is being established.
type dialing struct {
	from, to  *host
	handler   connHandler
	connected func(*netConn, bool)
	ended     bool // established, refused or given up
}

// dial begins to establish a connection. done is called with the client's side of it, or with nil if it was refused. If the
// target does not reply, done is not called; the caller must then abandon the dial by setting ended.
func (n *network) dial(from *host, addr string, handler connHandler, done func(*netConn, bool)) *dialing {
	p := &dialing{from: from, to: n.byAddr[addr], handler: handler, connected: done}
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
		p.from.run(func() { p.connected(nil, false) })
	}
}

// connect handles the first segment of a connection (SYN) at its target.
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

// acceptPending accepts connections from the backlog as long as the host can.
func (n *network) acceptPending(h *host) {
	for len(h.backlog) > 0 && h.alive && !h.notAccepting && !h.paused && h.descriptors != 0 {
		p := h.backlog[0]
		h.backlog = h.backlog[1:]
		if p.ended || !p.from.alive {
			continue
		}
		if h.accept == nil { // no longer listening
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
		p.ended = true
		n.scheduleAfter(n.transitTime(h, p.from, 0), func() {
			if p.from.alive && !a.closed {
				p.from.run(func() { p.connected(a, true) })
			}
		})
		h.accept(b)
	}
}
