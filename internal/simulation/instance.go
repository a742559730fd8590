package simulation

import (
	"fmt"
	"strconv"
	"time"

	"sandyard/config"
	"sandyard/proxy"
)

const (
	maxUnsentBytes = 64 << 10              // bytes that a client has not taken; a flowing answer pauses there
	maxLoopDelay   = 30 * time.Microsecond // most that a message waits for the core
)

// simInstance is a front door in virtual time: the machines of package door, with what package sockets does around them done
// inline.
type simInstance struct {
	sim           *Sim
	host          *host
	number        int
	config        *config.Config
	shared        *proxy.Shared
	core          *proxy.Instance
	incarnation   int // counts its processes; what was planned for an earlier one does nothing
	startedAt     time.Duration
	clockRate     float64 // how fast its clock runs
	mailbox       []func()
	wakeScheduled bool
	timerAt       time.Duration // the planned one
	clients       []*instanceClientConn
	backendConns  []*instanceBackendConn
	counterConn   *instanceCounterConn
}

func (d *simInstance) now() time.Duration {
	return proxy.Start + time.Duration(float64(d.sim.now-d.startedAt)*d.clockRate)
}

// simTime turns a time of the door's clock into one of the simulation.
func (d *simInstance) simTime(t time.Duration) time.Duration {
	return d.startedAt + time.Duration(float64(t-proxy.Start)/d.clockRate) + 1
}

// thisIncarnation makes an event of this process only.
func (d *simInstance) thisIncarnation(do func()) func() {
	life := d.incarnation
	return func() {
		if d.incarnation == life && d.host.alive {
			d.host.run(func() {
				if d.incarnation == life && d.host.alive {
					do()
				}
			})
		}
	}
}

// start begins a process.
func (d *simInstance) start(seed uint64) {
	d.incarnation++
	d.startedAt = d.sim.now
	d.shared = &proxy.Shared{Config: d.config, Protocol: proxy.NewConfiguredProtocol(d.config, fmt.Sprintf("sandyard-%d", d.number))}
	d.mailbox, d.wakeScheduled, d.timerAt, d.clients, d.backendConns, d.counterConn = nil, false, 0, nil, nil, nil
	core, err := proxy.NewInstance(d.shared, seed, d.now())
	if err != nil {
		panic(err) // the configuration was checked
	}
	d.core = core
	if r := d.sim.options.Record; r != nil {
		core.RecordDecision = r(d.number, d.config, seed)
		core.RecordDecision(core.InitialDecision(d.now()))
	}
	d.host.alive, d.host.paused, d.host.notAccepting = true, false, false
	d.host.accept = d.accept
	d.applyEffects()
	d.pollEndpoints()
}

func (d *simInstance) kill() {
	d.incarnation++
	d.sim.network.kill(d.host)
	d.clients, d.backendConns, d.counterConn = nil, nil, nil
}

// post hands a message to the core, a moment later, as a queue between goroutines does.
func (d *simInstance) post(do func()) {
	d.mailbox = append(d.mailbox, do)
	if !d.wakeScheduled {
		d.wakeScheduled = true
		d.sim.scheduleAfter(time.Duration(d.sim.network.rng.Int64N(int64(maxLoopDelay))), d.thisIncarnation(func() {
			d.wakeScheduled = false
			q := d.mailbox
			d.mailbox = nil
			for _, do := range q {
				do()
				d.applyEffects()
			}
			if d.core.NextTimer() <= d.now() {
				d.core.Tick(d.now())
				d.applyEffects()
			}
		}))
	}
}

func (d *simInstance) applyEffects() {
	for more := true; more; {
		more = false
		for _, w := range d.core.Effects() {
			more = true
			d.sim.cover(effectNames[w.Kind])
			switch w.Kind {
			case proxy.DialBackend:
				d.dialBackend(w.Conn)
			case proxy.WriteAttempt:
				w.Conn.Owner.(*instanceBackendConn).writeAttempt(w.Exchange, w.Bytes)
			case proxy.CloseBackend:
				w.Conn.Owner.(*instanceBackendConn).abandon()
			case proxy.Respond:
				d.sim.cover(fmt.Sprintf("answer %d", w.Exchange.Status))
				w.Exchange.Owner.(*instanceClientConn).respond(w.Exchange, w.Bytes, false, w.CloseAfterResponse)
			case proxy.StreamResponse:
				w.Exchange.Owner.(*instanceClientConn).respond(w.Exchange, w.Bytes, true, w.CloseAfterResponse)
				w.Conn.Owner.(*instanceBackendConn).grantStream()
			case proxy.AbortClient:
				w.Exchange.Owner.(*instanceClientConn).relay(w.Exchange, nil, false, true)
			case proxy.DialCounter:
				d.dialCounter(w.Addr)
			case proxy.WriteCounter:
				d.counterConn.write(w.Bytes)
			case proxy.CloseCounter:
				d.counterConn.abandon()
				d.counterConn = nil
			case proxy.PollEndpoints:
				d.pollEndpoints()
			}
		}
	}
	if next := d.core.NextTimer(); d.timerAt == 0 || next < d.timerAt {
		d.timerAt = next
		d.sim.schedule(d.simTime(next), d.thisIncarnation(func() {
			if d.core.NextTimer() > d.now() {
				d.timerAt = 0
				d.applyEffects()
				return
			}
			d.timerAt = 0
			d.core.Tick(d.now())
			d.applyEffects()
		}))
	}
}

// pollEndpoints reads the list as its file is now. A file that can't be read leaves the list as it was.
func (d *simInstance) pollEndpoints() {
	boxes, err := d.sim.parseEndpoints()
	d.post(func() {
		if err != nil {
			d.sim.cover("list broken")
			d.core.EndpointPollFailed(d.now())
			return
		}
		d.sim.recordEndpointView(d, boxes)
		d.core.ReplaceEndpoints(d.now(), boxes, epoch.Add(d.sim.now-d.now()))
	})
}

// epoch is the calendar time at which virtual time is zero.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

var effectNames = func() (names []string) {
	for k := proxy.DialBackend; k <= proxy.PollEndpoints; k++ {
		names = append(names, "wish "+k.String())
	}
	return names
}()

// instanceClientConn is a client's connection at its door.
type instanceClientConn struct {
	instance     *simInstance
	conn         *netConn
	machine      *proxy.ClientConn
	unsent       []byte
	done         bool
	deadlineAt   time.Duration
	blockedSince time.Duration        // since when nothing of out was taken
	streamSource *instanceBackendConn // whose answer flows
	lingering    bool                 // all is written; what still comes is read and dropped
}

func (d *simInstance) accept(e *netConn) {
	if d.shared.ClientConns.Add(1) > int64(d.config.Limits.Connections) {
		d.shared.ClientConns.Add(-1)
		d.sim.cover("connection turned away")
		e.peer.tooManyConns = true
		e.write(d.shared.TooManyConnections())
		e.close(false)
		return
	}
	c := &instanceClientConn{instance: d, conn: e}
	c.machine = proxy.NewClientConn(d.shared, c, "192.0.2.1", d.now())
	e.handler = c
	d.clients = append(d.clients, c)
	c.armDeadline()
}

func (c *instanceClientConn) armDeadline() {
	d := c.machine.Deadline()
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

func (c *instanceClientConn) readable(*netConn) {
	for !c.done && len(c.conn.received) > 0 && len(c.unsent) <= maxUnsentBytes {
		if closes, _ := c.machine.Closing(); closes {
			c.conn.read() // what comes after the last answer is dropped
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
	for i, o := range c.instance.clients {
		if o == c {
			c.instance.clients = append(c.instance.clients[:i], c.instance.clients[i+1:]...)
			break
		}
	}
	if c.streamSource != nil {
		c.streamSource.readable(nil)
	}
}

func (c *instanceClientConn) writable(*netConn) { c.proceed(nil); c.readable(nil) }

// proceed carries out what the machine wants.
func (c *instanceClientConn) proceed(ex *proxy.Exchange) {
	for !c.done {
		if ex != nil {
			ex := ex
			c.instance.post(func() { c.instance.core.RequestArrived(c.instance.now(), ex) })
		}
		for _, status := range c.machine.LocalStatuses {
			c.instance.sim.cover("own answer " + strconv.Itoa(status))
		}
		c.machine.LocalStatuses = c.machine.LocalStatuses[:0]
		if all := len(c.unsent) + len(c.machine.Outgoing); all > 0 {
			c.unsent = c.conn.writeBuffered(c.unsent, c.machine.Outgoing)
			c.machine.Outgoing = c.machine.Outgoing[:0]
			if len(c.unsent) < all {
				c.blockedSince = c.instance.sim.now
			}
		}
		if len(c.unsent) > 0 {
			c.watchWrite()
			break
		}
		if c.streamSource != nil {
			c.streamSource.readable(nil)
		}
		if closes, linger := c.machine.Closing(); closes {
			if linger && !c.machine.MustReset() { // what still comes is read and dropped for a while
				if !c.lingering {
					c.lingering = true
					c.conn.closeWrite()
					c.instance.sim.scheduleAfter(time.Second, c.instance.thisIncarnation(func() { c.close(false) }))
				}
				c.conn.read()
			} else {
				c.close(c.machine.MustReset())
			}
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

// watchWrite cuts off a client that takes nothing for limits.write-timeout.
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
	c.machine.Respond(c.instance.now(), ex, b, more, closes)
	c.proceed(nil)
	c.readable(nil)
}

func (c *instanceClientConn) relay(ex *proxy.Exchange, b []byte, end, broken bool) {
	if c.done {
		return
	}
	c.machine.ContinueResponse(c.instance.now(), ex, b, end, broken)
	if broken {
		c.instance.sim.cover("answer cut off")
	}
	c.proceed(nil)
	c.readable(nil)
}

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
		v.handleResponse(v.reader.ConnectionLost())
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

// instanceCounterConn is a door's connection to the keeper.
type instanceCounterConn struct {
	instance *simInstance
	conn     *netConn
	dialing  *dialing
	unsent   []byte
	done     bool
}

func (d *simInstance) dialCounter(addr string) {
	k := &instanceCounterConn{instance: d}
	d.counterConn = k
	life := d.incarnation
	k.dialing = d.sim.network.dial(d.host, addr, k, func(e *netConn, ok bool) {
		switch {
		case life != d.incarnation || k.done:
			if e != nil {
				e.close(true)
			}
		case !ok:
			k.fail()
		default:
			k.conn = e
			d.post(func() {
				if d.counterConn == k {
					d.core.CounterConnected(d.now())
				}
			})
		}
	})
	d.sim.scheduleAfter(time.Second, d.thisIncarnation(func() {
		if k.conn == nil && !k.done {
			k.dialing.ended = true
			k.fail()
		}
	}))
}

func (k *instanceCounterConn) fail() {
	if k.done {
		return
	}
	k.done = true
	if k.conn != nil {
		k.conn.close(true)
	}
	d := k.instance
	d.post(func() {
		if d.counterConn == k {
			d.counterConn = nil
			d.core.CounterDisconnected(d.now())
		}
	})
}

func (k *instanceCounterConn) write(b []byte) {
	if k.done || k.conn == nil {
		return
	}
	k.unsent = append(k.unsent, b...)
	k.writable(nil)
}

func (k *instanceCounterConn) abandon() {
	k.done = true
	if k.conn != nil {
		k.conn.close(true)
	} else {
		k.dialing.ended = true
	}
}

func (k *instanceCounterConn) writable(*netConn) {
	k.unsent = k.conn.writeBuffered(k.unsent, nil)
}

func (k *instanceCounterConn) readable(*netConn) {
	if k.done {
		return
	}
	b := k.conn.read()
	d := k.instance
	d.post(func() {
		if d.counterConn == k {
			d.core.CounterReceived(d.now(), b)
		}
	})
}

func (k *instanceCounterConn) closed(*netConn, bool) { k.fail() }
