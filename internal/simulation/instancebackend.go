package simulation

import (
	"time"

	"sandyard/proxy"
)

// instanceBackendConn is a connection to a box at its door.
type instanceBackendConn struct {
	instance    *simInstance
	backendConn *proxy.BackendConn
	reader      *proxy.ResponseReader
	dialing     *dialing
	conn        *netConn
	exchange    *proxy.Exchange
	unsent      []byte
	done        bool
	awaitsGrant bool // for a grant
	streaming   bool
	lastDataAt  time.Duration
}

func (d *simInstance) dialBackend(l *proxy.BackendConn) {
	v := &instanceBackendConn{instance: d, backendConn: l, reader: proxy.NewResponseReader(d.shared)}
	l.Owner = v
	d.backendConns = append(d.backendConns, v)
	v.dialing = d.sim.network.dial(d.host, l.Addr, v, d.backendDialed(v))
}

func (d *simInstance) backendDialed(v *instanceBackendConn) func(*netConn, bool) {
	life := d.incarnation
	return func(e *netConn, ok bool) {
		switch {
		case life != d.incarnation || v.done:
			if e != nil {
				e.close(true)
			}
		case !ok:
			d.sim.cover("dial refused")
			v.fail(true)
		default:
			v.conn = e
			d.post(func() { d.core.BackendConnected(d.now(), v.backendConn) })
		}
	}
}

func (v *instanceBackendConn) remove() {
	for i, o := range v.instance.backendConns {
		if o == v {
			v.instance.backendConns = append(v.instance.backendConns[:i], v.instance.backendConns[i+1:]...)
			break
		}
	}
	if v.conn != nil {
		v.conn.close(true)
	}
}

func (v *instanceBackendConn) fail(unsent bool) {
	if v.done {
		return
	}
	if v.exchange != nil && !unsent {
		v.handleResponse(v.reader.Lost())
		return
	}
	v.done = true
	unsent = unsent || v.exchange == nil
	v.remove()
	v.instance.post(func() { v.instance.core.BackendDisconnected(v.instance.now(), v.backendConn, unsent) })
}

func (v *instanceBackendConn) writeAttempt(ex *proxy.Exchange, wire []byte) {
	if v.done {
		return
	}
	v.reader.Expect(ex)
	v.exchange = ex
	v.conn.messageBegan = v.instance.sim.now
	v.unsent = append(v.unsent, wire...)
	v.writable(nil)
}

func (v *instanceBackendConn) writable(*netConn) {
	v.unsent = v.conn.writeBuffered(v.unsent, nil)
}

func (v *instanceBackendConn) abandon() {
	if v.done {
		return
	}
	v.done, v.exchange = true, nil
	if v.dialing != nil {
		v.dialing.ended = v.dialing.ended || v.conn == nil
	}
	v.remove()
}

func (v *instanceBackendConn) grantStream() {
	if v.done {
		return
	}
	v.awaitsGrant, v.streaming = false, true
	v.exchange.Owner.(*instanceClientConn).streamSource = v
	v.watchSilence()
	v.readable(nil)
}

// watchSilence cuts a flowing answer off whose box is silent for limits.stream-silence.
func (v *instanceBackendConn) watchSilence() {
	v.lastDataAt = v.instance.sim.now
	since := v.lastDataAt
	v.instance.sim.scheduleAfter(time.Duration(v.instance.config.Limits.StreamIdleTimeout), v.instance.thisIncarnation(func() {
		if !v.done && v.streaming && v.lastDataAt == since && len(v.conn.received) == 0 {
			v.instance.sim.cover("stream silent")
			v.fail(false)
		}
	}))
}

func (v *instanceBackendConn) readable(*netConn) {
	for !v.done && !v.awaitsGrant && v.conn != nil && len(v.conn.received) > 0 {
		if v.streaming {
			if c := v.exchange.Owner.(*instanceClientConn); len(c.unsent) > maxUnsentBytes && !c.done {
				return // until the client has taken some
			}
		}
		v.handleResponse(v.reader.Feed(v.conn.read()))
	}
	if !v.done && !v.awaitsGrant && v.conn != nil && len(v.conn.received) == 0 && v.conn.peerClosed {
		v.endOfStream()
	}
}

func (v *instanceBackendConn) endOfStream() {
	if v.exchange == nil {
		v.fail(false)
		return
	}
	v.handleResponse(v.reader.EOF())
	if !v.done {
		v.fail(false)
	}
}

func (v *instanceBackendConn) closed(_ *netConn, reset bool) {
	switch {
	case reset:
		v.instance.sim.cover("line reset")
		v.fail(false)
	default:
		v.readable(nil)
	}
}

func (v *instanceBackendConn) handleResponse(a proxy.Response) {
	ex := v.exchange
	tell := func() {
		v.instance.post(func() { v.instance.core.ResponseReceived(v.instance.now(), v.backendConn, &a) })
	}
	switch a.Kind {
	case proxy.Complete:
		v.exchange = nil
		tell()
	case proxy.Started:
		v.instance.sim.cover("answer flows")
		v.awaitsGrant = true
		tell()
	case proxy.Continued:
		v.watchSilence()
		ex.Owner.(*instanceClientConn).relay(ex, a.Bytes, false, false)
	case proxy.Ended:
		v.exchange, v.streaming = nil, false
		c := ex.Owner.(*instanceClientConn)
		c.streamSource = nil
		c.relay(ex, a.Bytes, true, false)
		tell()
	case proxy.Malformed:
		v.instance.sim.cover("answer broken")
		v.exchange, v.done = nil, true
		v.remove()
		tell()
	}
}
