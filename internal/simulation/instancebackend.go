package simulation

import (
	"time"

	"sandyard/proxy"
)

// instanceBackendConn is an instance's connection to a backend.
type instanceBackendConn struct {
	instance        *simInstance
	backendConn     *proxy.BackendConn
	reader          *proxy.ResponseReader
	dialing         *dialing
	conn            *netConn
	exchange        *proxy.Exchange
	unsent          []byte
	done            bool
	awaitsStreaming bool // a response has started, and the core has not permitted streaming yet
	streaming       bool
	lastDataAt      time.Duration
}

func (inst *simInstance) dialBackend(conn *proxy.BackendConn) {
	b := &instanceBackendConn{instance: inst, backendConn: conn, reader: proxy.NewResponseReader(inst.shared)}
	conn.Owner = b
	inst.backendConns = append(inst.backendConns, b)
	b.dialing = inst.sim.network.dial(inst.host, conn.Addr, b, inst.backendDialed(b))
}

// backendDialed returns the callback for the end of a dial to a backend.
func (inst *simInstance) backendDialed(b *instanceBackendConn) func(*netConn, bool) {
	incarnation := inst.incarnation
	return func(conn *netConn, ok bool) {
		switch {
		case incarnation != inst.incarnation || b.done:
			if conn != nil {
				conn.close(true)
			}
		case !ok:
			inst.sim.countReached("dial refused")
			b.fail(true)
		default:
			b.conn = conn
			inst.post(func() { inst.core.BackendConnected(inst.now(), b.backendConn) })
		}
	}
}

func (b *instanceBackendConn) remove() {
	b.instance.backendConns = without(b.instance.backendConns, b)
	if b.conn != nil {
		b.conn.close(true)
	}
}

// fail handles the loss of the connection. unsent says that no request was written to it.
func (b *instanceBackendConn) fail(unsent bool) {
	if b.done {
		return
	}
	if b.exchange != nil && !unsent {
		b.handleResponse(b.reader.ConnectionLost())
		return
	}
	b.done = true
	unsent = unsent || b.exchange == nil
	b.remove()
	b.instance.post(func() { b.instance.core.BackendDisconnected(b.instance.now(), b.backendConn, unsent) })
}

func (b *instanceBackendConn) writeAttempt(ex *proxy.Exchange, wire []byte) {
	if b.done {
		return
	}
	b.reader.Expect(ex)
	b.exchange = ex
	b.conn.messageStartedAt = b.instance.sim.now
	b.unsent = append(b.unsent, wire...)
	b.writable(nil)
}

func (b *instanceBackendConn) writable(*netConn) {
	b.unsent = b.conn.writeBuffered(b.unsent, nil)
}

// abandon closes the connection at the request of the core.
func (b *instanceBackendConn) abandon() {
	if b.done {
		return
	}
	b.done, b.exchange = true, nil
	if b.dialing != nil {
		b.dialing.ended = b.dialing.ended || b.conn == nil
	}
	b.remove()
}

// startStreaming begins to relay the response to the client, as the core has permitted.
func (b *instanceBackendConn) startStreaming() {
	if b.done {
		return
	}
	b.awaitsStreaming, b.streaming = false, true
	b.exchange.Owner.(*instanceClientConn).streamSource = b
	b.armStreamIdleTimer()
	b.readable(nil)
}

// armStreamIdleTimer restarts the timer that ends a streamed response if the backend sends nothing for
// limits.stream-silence.
func (b *instanceBackendConn) armStreamIdleTimer() {
	b.lastDataAt = b.instance.sim.now
	since := b.lastDataAt
	b.instance.sim.scheduleAfter(time.Duration(b.instance.config.Limits.StreamIdleTimeout), b.instance.forThisIncarnation(func() {
		if !b.done && b.streaming && b.lastDataAt == since && len(b.conn.received) == 0 {
			b.instance.sim.countReached("stream silent")
			b.fail(false)
		}
	}))
}

func (b *instanceBackendConn) readable(*netConn) {
	for !b.done && !b.awaitsStreaming && b.conn != nil && len(b.conn.received) > 0 {
		if b.streaming {
			if c := b.exchange.Owner.(*instanceClientConn); len(c.unsent) > maxUnsentBytes && !c.done {
				return // backpressure until the client has read some bytes
			}
		}
		b.handleResponse(b.reader.Feed(b.conn.read()))
	}
	if !b.done && !b.awaitsStreaming && b.conn != nil && len(b.conn.received) == 0 && b.conn.peerClosed {
		b.endOfStream()
	}
}

// endOfStream handles the regular close by the backend after all bytes are read.
func (b *instanceBackendConn) endOfStream() {
	if b.exchange == nil {
		b.fail(false)
		return
	}
	b.handleResponse(b.reader.EOF())
	if !b.done {
		b.fail(false)
	}
}

func (b *instanceBackendConn) closed(_ *netConn, reset bool) {
	switch {
	case reset:
		b.instance.sim.countReached("line reset")
		b.fail(false)
	default:
		b.readable(nil)
	}
}

func (b *instanceBackendConn) handleResponse(response proxy.Response) {
	ex := b.exchange
	notify := func() {
		b.instance.post(func() { b.instance.core.ResponseReceived(b.instance.now(), b.backendConn, &response) })
	}
	switch response.Kind {
	case proxy.Complete:
		b.exchange = nil
		notify()
	case proxy.Started:
		b.instance.sim.countReached("answer flows")
		b.awaitsStreaming = true
		notify()
	case proxy.Continued:
		b.armStreamIdleTimer()
		ex.Owner.(*instanceClientConn).relay(ex, response.Bytes, false, false)
	case proxy.Ended:
		b.exchange, b.streaming = nil, false
		c := ex.Owner.(*instanceClientConn)
		c.streamSource = nil
		c.relay(ex, response.Bytes, true, false)
		notify()
	case proxy.Malformed:
		b.instance.sim.countReached("answer broken")
		b.exchange, b.done = nil, true
		b.remove()
		notify()
	}
}
