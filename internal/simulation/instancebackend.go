package simulation

import (
	"time"

	"sandyard/proxy"
)

// instanceBackendConn is an instance's connection to a backend.
type instanceBackendConn struct {
	instance    *simInstance
	backendConn *proxy.BackendConn
	reader      *proxy.ResponseReader
	dialing     *dialing
	conn        *netConn
	exchange    *proxy.Exchange
	unsent      []byte
	done        bool
	awaitsGrant bool // a response has begun and the core has not let it stream yet
	streaming   bool
	lastDataAt  time.Duration
}

func (inst *simInstance) dialBackend(l *proxy.BackendConn) {
	b := &instanceBackendConn{instance: inst, backendConn: l, reader: proxy.NewResponseReader(inst.shared)}
	l.Owner = b
	inst.backendConns = append(inst.backendConns, b)
	b.dialing = inst.sim.network.dial(inst.host, l.Addr, b, inst.backendDialed(b))
}

func (inst *simInstance) backendDialed(b *instanceBackendConn) func(*netConn, bool) {
	life := inst.incarnation
	return func(conn *netConn, ok bool) {
		switch {
		case life != inst.incarnation || b.done:
			if conn != nil {
				conn.close(true)
			}
		case !ok:
			inst.sim.cover("dial refused")
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
	b.conn.messageBegan = b.instance.sim.now
	b.unsent = append(b.unsent, wire...)
	b.writable(nil)
}

func (b *instanceBackendConn) writable(*netConn) {
	b.unsent = b.conn.writeBuffered(b.unsent, nil)
}

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

func (b *instanceBackendConn) grantStream() {
	if b.done {
		return
	}
	b.awaitsGrant, b.streaming = false, true
	b.exchange.Owner.(*instanceClientConn).streamSource = b
	b.watchSilence()
	b.readable(nil)
}

// watchSilence ends a streamed response whose backend sends nothing for limits.stream-silence.
func (b *instanceBackendConn) watchSilence() {
	b.lastDataAt = b.instance.sim.now
	since := b.lastDataAt
	b.instance.sim.scheduleAfter(time.Duration(b.instance.config.Limits.StreamIdleTimeout), b.instance.thisIncarnation(func() {
		if !b.done && b.streaming && b.lastDataAt == since && len(b.conn.received) == 0 {
			b.instance.sim.cover("stream silent")
			b.fail(false)
		}
	}))
}

func (b *instanceBackendConn) readable(*netConn) {
	for !b.done && !b.awaitsGrant && b.conn != nil && len(b.conn.received) > 0 {
		if b.streaming {
			if c := b.exchange.Owner.(*instanceClientConn); len(c.unsent) > maxUnsentBytes && !c.done {
				return // backpressure, until the client has taken some
			}
		}
		b.handleResponse(b.reader.Feed(b.conn.read()))
	}
	if !b.done && !b.awaitsGrant && b.conn != nil && len(b.conn.received) == 0 && b.conn.peerClosed {
		b.endOfStream()
	}
}

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
		b.instance.sim.cover("line reset")
		b.fail(false)
	default:
		b.readable(nil)
	}
}

func (b *instanceBackendConn) handleResponse(a proxy.Response) {
	ex := b.exchange
	tell := func() {
		b.instance.post(func() { b.instance.core.ResponseReceived(b.instance.now(), b.backendConn, &a) })
	}
	switch a.Kind {
	case proxy.Complete:
		b.exchange = nil
		tell()
	case proxy.Started:
		b.instance.sim.cover("answer flows")
		b.awaitsGrant = true
		tell()
	case proxy.Continued:
		b.watchSilence()
		ex.Owner.(*instanceClientConn).relay(ex, a.Bytes, false, false)
	case proxy.Ended:
		b.exchange, b.streaming = nil, false
		c := ex.Owner.(*instanceClientConn)
		c.streamSource = nil
		c.relay(ex, a.Bytes, true, false)
		tell()
	case proxy.Malformed:
		b.instance.sim.cover("answer broken")
		b.exchange, b.done = nil, true
		b.remove()
		tell()
	}
}
