package simulation

import (
	"fmt"
	"strconv"
	"time"

	"sandyard/config"
	"sandyard/proxy"
)

const (
	mostPending = 64 << 10              // bytes that a client has not taken; a flowing answer pauses there
	loopDelay   = 30 * time.Microsecond // most that a message waits for the core
)

// vdoor is a front door in virtual time: the machines of package door, with what package sockets does around them done
// inline.
type vdoor struct {
	s       *Sim
	host    *host
	number  int
	cfg     *config.Config
	shared  *proxy.Shared
	core    *proxy.Instance
	life    int // counts its processes; what was planned for an earlier one does nothing
	began   time.Duration
	drift   float64 // how fast its clock runs
	queue   []func()
	wakes   bool
	tick    time.Duration // the planned one
	clients []*vclient
	lines   []*vline
	keeper  *vkeeperLink
}

func (d *vdoor) now() time.Duration {
	return proxy.Start + time.Duration(float64(d.s.now-d.began)*d.drift)
}

// real turns a time of the door's clock into one of the simulation.
func (d *vdoor) real(t time.Duration) time.Duration {
	return d.began + time.Duration(float64(t-proxy.Start)/d.drift) + 1
}

// guard makes an event of this process only.
func (d *vdoor) guard(do func()) func() {
	life := d.life
	return func() {
		if d.life == life && d.host.alive {
			d.host.run(func() {
				if d.life == life && d.host.alive {
					do()
				}
			})
		}
	}
}

// start begins a process.
func (d *vdoor) start(seed uint64) {
	d.life++
	d.began = d.s.now
	d.shared = &proxy.Shared{Config: d.cfg, Protocol: proxy.NewConfiguredProtocol(d.cfg, fmt.Sprintf("sandyard-%d", d.number))}
	d.queue, d.wakes, d.tick, d.clients, d.lines, d.keeper = nil, false, 0, nil, nil, nil
	core, err := proxy.NewInstance(d.shared, seed, d.now())
	if err != nil {
		panic(err) // the configuration was checked
	}
	d.core = core
	if r := d.s.opt.Record; r != nil {
		core.RecordDecision = r(d.number, d.cfg, seed)
		core.RecordDecision(core.InitialDecision(d.now()))
	}
	d.host.alive, d.host.paused, d.host.deaf = true, false, false
	d.host.accept = d.accept
	d.carryOut()
	d.readList()
}

func (d *vdoor) kill() {
	d.life++
	d.s.net.kill(d.host)
	d.clients, d.lines, d.keeper = nil, nil, nil
}

// post hands a message to the core, a moment later, as a queue between goroutines does.
func (d *vdoor) post(do func()) {
	d.queue = append(d.queue, do)
	if !d.wakes {
		d.wakes = true
		d.s.after(time.Duration(d.s.net.rng.Int64N(int64(loopDelay))), d.guard(func() {
			d.wakes = false
			q := d.queue
			d.queue = nil
			for _, do := range q {
				do()
				d.carryOut()
			}
			if d.core.NextTimer() <= d.now() {
				d.core.Tick(d.now())
				d.carryOut()
			}
		}))
	}
}

func (d *vdoor) carryOut() {
	for more := true; more; {
		more = false
		for _, w := range d.core.Effects() {
			more = true
			d.s.reach(wishNames[w.Kind])
			switch w.Kind {
			case proxy.DialBackend:
				d.dial(w.Conn)
			case proxy.WriteAttempt:
				w.Conn.Owner.(*vline).write(w.Exchange, w.Bytes)
			case proxy.CloseBackend:
				w.Conn.Owner.(*vline).hang()
			case proxy.Respond:
				d.s.reach(fmt.Sprintf("answer %d", w.Exchange.Status))
				w.Exchange.Owner.(*vclient).answered(w.Exchange, w.Bytes, false, w.CloseAfterResponse)
			case proxy.StreamResponse:
				w.Exchange.Owner.(*vclient).answered(w.Exchange, w.Bytes, true, w.CloseAfterResponse)
				w.Conn.Owner.(*vline).granted()
			case proxy.AbortClient:
				w.Exchange.Owner.(*vclient).relay(w.Exchange, nil, false, true)
			case proxy.DialCounter:
				d.dialKeeper(w.Addr)
			case proxy.WriteCounter:
				d.keeper.send(w.Bytes)
			case proxy.CloseCounter:
				d.keeper.hang()
				d.keeper = nil
			case proxy.PollEndpoints:
				d.readList()
			}
		}
	}
	if next := d.core.NextTimer(); d.tick == 0 || next < d.tick {
		d.tick = next
		d.s.at(d.real(next), d.guard(func() {
			if d.core.NextTimer() > d.now() {
				d.tick = 0
				d.carryOut()
				return
			}
			d.tick = 0
			d.core.Tick(d.now())
			d.carryOut()
		}))
	}
}

// readList reads the list as its file is now. A file that can't be read leaves the list as it was.
func (d *vdoor) readList() {
	boxes, err := d.s.parsed()
	d.post(func() {
		if err != nil {
			d.s.reach("list broken")
			d.core.EndpointPollFailed(d.now())
			return
		}
		d.s.toldList(d, boxes)
		d.core.ReplaceEndpoints(d.now(), boxes, epoch.Add(d.s.now-d.now()))
	})
}

// epoch is the calendar time at which virtual time is zero.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

var wishNames = func() (names []string) {
	for k := proxy.DialBackend; k <= proxy.PollEndpoints; k++ {
		names = append(names, "wish "+k.String())
	}
	return names
}()

// vclient is a client's connection at its door.
type vclient struct {
	d       *vdoor
	e       *end
	m       *proxy.ClientConn
	out     []byte
	gone    bool
	armed   time.Duration
	stuck   time.Duration // since when nothing of out was taken
	source  *vline        // whose answer flows
	lingers bool          // all is written; what still comes is read and dropped
}

func (d *vdoor) accept(e *end) {
	if d.shared.ClientConns.Add(1) > int64(d.cfg.Limits.Connections) {
		d.shared.ClientConns.Add(-1)
		d.s.reach("connection turned away")
		e.peer.turned = true
		e.write(d.shared.TooManyConnections())
		e.close(false)
		return
	}
	c := &vclient{d: d, e: e}
	c.m = proxy.NewClientConn(d.shared, c, "192.0.2.1", d.now())
	e.owner = c
	d.clients = append(d.clients, c)
	c.arm()
}

func (c *vclient) arm() {
	d := c.m.Deadline()
	if d == 0 || c.armed != 0 && c.armed <= d {
		return
	}
	c.armed = d
	c.d.s.at(c.d.real(d), c.d.guard(func() {
		if c.gone || c.armed != d {
			return
		}
		c.armed = 0
		c.m.DeadlinePassed(c.d.now())
		c.after(nil)
	}))
}

func (c *vclient) readable(*end) {
	for !c.gone && len(c.e.inbox) > 0 && len(c.out) <= mostPending {
		if closes, _ := c.m.Closing(); closes {
			c.e.read() // what comes after the last answer is dropped
			return
		}
		c.after(c.m.Feed(c.d.now(), c.e.read()))
	}
}

func (c *vclient) closed(_ *end, reset bool) {
	if reset {
		c.d.s.reach("client reset")
	}
	c.leave()
}

func (c *vclient) leave() {
	if c.gone {
		return
	}
	ex := c.m.Disconnected()
	c.end(true)
	if ex != nil {
		c.d.s.reach("client left")
		c.d.post(func() { c.d.core.ClientLeft(c.d.now(), ex) })
	}
}

func (c *vclient) end(reset bool) {
	if c.gone {
		return
	}
	c.gone = true
	c.e.close(reset)
	c.d.shared.ClientConns.Add(-1)
	for i, o := range c.d.clients {
		if o == c {
			c.d.clients = append(c.d.clients[:i], c.d.clients[i+1:]...)
			break
		}
	}
	if c.source != nil {
		c.source.readable(nil)
	}
}

func (c *vclient) writable(*end) { c.after(nil); c.readable(nil) }

// after carries out what the machine wants.
func (c *vclient) after(ex *proxy.Exchange) {
	for !c.gone {
		if ex != nil {
			ex := ex
			c.d.post(func() { c.d.core.RequestArrived(c.d.now(), ex) })
		}
		for _, status := range c.m.LocalStatuses {
			c.d.s.reach("own answer " + strconv.Itoa(status))
		}
		c.m.LocalStatuses = c.m.LocalStatuses[:0]
		if all := len(c.out) + len(c.m.Outgoing); all > 0 {
			c.out = c.e.flow(c.out, c.m.Outgoing)
			c.m.Outgoing = c.m.Outgoing[:0]
			if len(c.out) < all {
				c.stuck = c.d.s.now
			}
		}
		if len(c.out) > 0 {
			c.watch()
			break
		}
		if c.source != nil {
			c.source.readable(nil)
		}
		if closes, linger := c.m.Closing(); closes {
			if linger && !c.m.MustReset() { // what still comes is read and dropped for a while
				if !c.lingers {
					c.lingers = true
					c.e.finish()
					c.d.s.after(time.Second, c.d.guard(func() { c.end(false) }))
				}
				c.e.read()
			} else {
				c.end(c.m.MustReset())
			}
			return
		}
		if ex != nil {
			break
		}
		if ex = c.m.Resume(c.d.now()); ex == nil && len(c.m.Outgoing) == 0 {
			if closes, _ := c.m.Closing(); !closes {
				break
			}
		}
	}
	if !c.gone {
		c.arm()
	}
}

// watch cuts off a client that takes nothing for limits.write-timeout.
func (c *vclient) watch() {
	since := c.stuck
	c.d.s.after(time.Duration(c.d.cfg.Limits.WriteTimeout), c.d.guard(func() {
		if !c.gone && len(c.out) > 0 && c.stuck == since {
			c.d.s.reach("client too slow")
			c.leave()
		}
	}))
}

func (c *vclient) answered(ex *proxy.Exchange, b []byte, more, closes bool) {
	if c.gone {
		return
	}
	c.m.Respond(c.d.now(), ex, b, more, closes)
	c.after(nil)
	c.readable(nil)
}

func (c *vclient) relay(ex *proxy.Exchange, b []byte, end, broken bool) {
	if c.gone {
		return
	}
	c.m.ContinueResponse(c.d.now(), ex, b, end, broken)
	if broken {
		c.d.s.reach("answer cut off")
	}
	c.after(nil)
	c.readable(nil)
}

// vline is a connection to a box at its door.
type vline struct {
	d       *vdoor
	line    *proxy.BackendConn
	m       *proxy.ResponseReader
	ask     *pending
	e       *end
	ex      *proxy.Exchange
	out     []byte
	dead    bool
	waits   bool // for a grant
	flows   bool
	silence time.Duration
}

func (d *vdoor) dial(l *proxy.BackendConn) {
	v := &vline{d: d, line: l, m: proxy.NewResponseReader(d.shared)}
	l.Owner = v
	d.lines = append(d.lines, v)
	v.ask = d.s.net.dial(d.host, l.Addr, v, d.connected(v))
}

func (d *vdoor) connected(v *vline) func(*end, bool) {
	life := d.life
	return func(e *end, ok bool) {
		switch {
		case life != d.life || v.dead:
			if e != nil {
				e.close(true)
			}
		case !ok:
			d.s.reach("dial refused")
			v.lost(true)
		default:
			v.e = e
			d.post(func() { d.core.BackendConnected(d.now(), v.line) })
		}
	}
}

func (v *vline) forget() {
	for i, o := range v.d.lines {
		if o == v {
			v.d.lines = append(v.d.lines[:i], v.d.lines[i+1:]...)
			break
		}
	}
	if v.e != nil {
		v.e.close(true)
	}
}

func (v *vline) lost(unsent bool) {
	if v.dead {
		return
	}
	if v.ex != nil && !unsent {
		v.got(v.m.ConnectionLost())
		return
	}
	v.dead = true
	unsent = unsent || v.ex == nil
	v.forget()
	v.d.post(func() { v.d.core.BackendDisconnected(v.d.now(), v.line, unsent) })
}

func (v *vline) write(ex *proxy.Exchange, wire []byte) {
	if v.dead {
		return
	}
	v.m.Expect(ex)
	v.ex = ex
	v.e.began = v.d.s.now
	v.out = append(v.out, wire...)
	v.writable(nil)
}

func (v *vline) writable(*end) {
	v.out = v.e.flow(v.out, nil)
}

func (v *vline) hang() {
	if v.dead {
		return
	}
	v.dead, v.ex = true, nil
	if v.ask != nil {
		v.ask.off = v.ask.off || v.e == nil
	}
	v.forget()
}

func (v *vline) granted() {
	if v.dead {
		return
	}
	v.waits, v.flows = false, true
	v.ex.Owner.(*vclient).source = v
	v.alarm()
	v.readable(nil)
}

// alarm cuts a flowing answer off whose box is silent for limits.stream-silence.
func (v *vline) alarm() {
	v.silence = v.d.s.now
	since := v.silence
	v.d.s.after(time.Duration(v.d.cfg.Limits.StreamIdleTimeout), v.d.guard(func() {
		if !v.dead && v.flows && v.silence == since && len(v.e.inbox) == 0 {
			v.d.s.reach("stream silent")
			v.lost(false)
		}
	}))
}

func (v *vline) readable(*end) {
	for !v.dead && !v.waits && v.e != nil && len(v.e.inbox) > 0 {
		if v.flows {
			if c := v.ex.Owner.(*vclient); len(c.out) > mostPending && !c.gone {
				return // until the client has taken some
			}
		}
		v.got(v.m.Feed(v.e.read()))
	}
	if !v.dead && !v.waits && v.e != nil && len(v.e.inbox) == 0 && v.e.over {
		v.eof()
	}
}

func (v *vline) eof() {
	if v.ex == nil {
		v.lost(false)
		return
	}
	v.got(v.m.EOF())
	if !v.dead {
		v.lost(false)
	}
}

func (v *vline) closed(_ *end, reset bool) {
	switch {
	case reset:
		v.d.s.reach("line reset")
		v.lost(false)
	default:
		v.readable(nil)
	}
}

func (v *vline) got(a proxy.Response) {
	ex := v.ex
	tell := func() { v.d.post(func() { v.d.core.ResponseReceived(v.d.now(), v.line, &a) }) }
	switch a.Kind {
	case proxy.Complete:
		v.ex = nil
		tell()
	case proxy.Started:
		v.d.s.reach("answer flows")
		v.waits = true
		tell()
	case proxy.Continued:
		v.alarm()
		ex.Owner.(*vclient).relay(ex, a.Bytes, false, false)
	case proxy.Ended:
		v.ex, v.flows = nil, false
		c := ex.Owner.(*vclient)
		c.source = nil
		c.relay(ex, a.Bytes, true, false)
		tell()
	case proxy.Malformed:
		v.d.s.reach("answer broken")
		v.ex, v.dead = nil, true
		v.forget()
		tell()
	}
}

// vkeeperLink is a door's connection to the keeper.
type vkeeperLink struct {
	d    *vdoor
	e    *end
	ask  *pending
	out  []byte
	dead bool
}

func (d *vdoor) dialKeeper(addr string) {
	k := &vkeeperLink{d: d}
	d.keeper = k
	life := d.life
	k.ask = d.s.net.dial(d.host, addr, k, func(e *end, ok bool) {
		switch {
		case life != d.life || k.dead:
			if e != nil {
				e.close(true)
			}
		case !ok:
			k.lost()
		default:
			k.e = e
			d.post(func() {
				if d.keeper == k {
					d.core.CounterConnected(d.now())
				}
			})
		}
	})
	d.s.after(time.Second, d.guard(func() {
		if k.e == nil && !k.dead {
			k.ask.off = true
			k.lost()
		}
	}))
}

func (k *vkeeperLink) lost() {
	if k.dead {
		return
	}
	k.dead = true
	if k.e != nil {
		k.e.close(true)
	}
	d := k.d
	d.post(func() {
		if d.keeper == k {
			d.keeper = nil
			d.core.CounterDisconnected(d.now())
		}
	})
}

func (k *vkeeperLink) send(b []byte) {
	if k.dead || k.e == nil {
		return
	}
	k.out = append(k.out, b...)
	k.writable(nil)
}

func (k *vkeeperLink) hang() {
	k.dead = true
	if k.e != nil {
		k.e.close(true)
	} else {
		k.ask.off = true
	}
}

func (k *vkeeperLink) writable(*end) {
	k.out = k.e.flow(k.out, nil)
}

func (k *vkeeperLink) readable(*end) {
	if k.dead {
		return
	}
	b := k.e.read()
	d := k.d
	d.post(func() {
		if d.keeper == k {
			d.core.CounterReceived(d.now(), b)
		}
	})
}

func (k *vkeeperLink) closed(*end, bool) { k.lost() }
