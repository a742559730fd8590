package simulation

import (
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/invariant"
)

// simBackend is a stand-in box in virtual time.
type simBackend struct {
	sim            *Sim
	host           *host
	name           string
	number         int
	address        string
	listedState    string // in the list
	startedAt      time.Duration
	startedCold    bool
	model          *emulator.Backend
	conns          []*simBackendConn
	nextWake       time.Duration
	incarnation    int
	extraResponses bool
}

type simBackendConn struct {
	backend  *simBackend
	conn     *netConn
	model    *emulator.BackendConn
	unsent   []byte
	done     bool
	instance int
	lastUsed time.Duration // when bytes last came or went
}

// start begins a process; one that is started while the day runs is cold.
func (b *simBackend) start(cold bool) {
	s := b.sim
	b.incarnation++
	b.startedCold, b.startedAt, b.nextWake = cold, s.now, 0
	p := s.script.Backends
	c := emulator.BackendConfig{Name: b.name, Cores: p.Cores, Queue: p.Queue, Work: time.Duration(p.Work), WorkVariation: 0.8, BodySize: p.Body,
		KeyTTL: 2 * s.keyTTL, Seed: s.script.Seed*1000 + uint64(len(b.name)) + uint64(b.incarnation)}
	set := s.config.Settings
	if cold {
		c.SlowStartShare, c.SlowStartTime = set.SlowStartShare, set.SlowStartTime
		c.OverloadFactor, c.OverloadTime = set.OverloadFactor, set.OverloadTime
		s.checker.BackendStarted(b.name, s.now)
	}
	b.model = emulator.NewBackend(c, s.now)
	b.model.Facts = b.recordFact
	b.conns = nil
	b.host.alive, b.host.paused = true, false
	b.host.accept = b.acceptConn
}

// acceptConn takes a connection in.
func (b *simBackend) acceptConn(e *netConn) {
	c := &simBackendConn{backend: b, conn: e, model: b.model.NewConn(), instance: b.sim.instanceOf(e.peer.host), lastUsed: b.sim.now}
	e.handler = c
	b.conns = append(b.conns, c)
	if idle := time.Duration(b.sim.script.Backends.IdleTimeout); idle > 0 {
		b.sim.scheduleAfter(idle, func() { c.closeIfIdle(idle) })
	}
}

// closeIfIdle closes a connection on which nothing has happened for a while, as servers do; a request may be on its way then.
func (c *simBackendConn) closeIfIdle(after time.Duration) {
	if c.done || c.conn.closed { // shut: by a kill of the box's process
		return
	}
	if left := c.lastUsed + after - c.backend.sim.now; left > 0 || c.model.Busy() {
		c.backend.sim.scheduleAfter(max(left, after/2), func() { c.closeIfIdle(after) })
		return
	}
	c.backend.host.run(func() {
		if !c.done && !c.conn.closed && len(c.conn.received) == 0 && !c.model.Busy() {
			c.backend.sim.cover("box closed idle line")
			c.close(false)
		}
	})
}

func (b *simBackend) recordFact(f emulator.Fact) {
	s := b.sim
	s.logEvent(string(f.Kind) + " " + f.ID + " " + f.Backend)
	s.digest(backendFact, nil, string(f.Kind), f.ID, f.Backend)
	switch f.Kind {
	case emulator.RequestReceived:
		s.checker.RequestReceived(invariant.Receipt{ID: f.ID, Backend: f.Backend, At: s.now, Instance: s.sendingInstance, SentAt: s.sentAt})
	case emulator.RequestExecuted:
		s.checker.RequestExecuted(invariant.Execution{ID: f.ID, Key: f.Key, Backend: f.Backend, At: s.now})
	case emulator.BackendCollapsed:
		s.checker.BackendCollapsed(f.Backend, s.now)
		b.setRefusing(true)
	}
}

func (b *simBackend) setRefusing(on bool) {
	if on {
		b.host.accept = nil
		for len(b.conns) > 0 {
			b.conns[0].close(true)
		}
		return
	}
	b.host.accept = b.acceptConn
}

// scheduleWork plans the box's next end of work.
func (b *simBackend) scheduleWork() {
	t := b.model.Next()
	if t == 0 || b.nextWake != 0 && b.nextWake <= t && b.nextWake > b.sim.now {
		return
	}
	b.nextWake = t
	life := b.incarnation
	b.sim.schedule(t, func() {
		if b.incarnation != life || !b.host.alive {
			return
		}
		b.host.run(func() {
			if b.incarnation != life {
				return
			}
			b.nextWake = 0
			b.advance()
		})
	})
}

func (b *simBackend) advance() {
	now := b.sim.now
	var done []*emulator.Job
	b.model.Advance(now, func(j *emulator.Job) { done = append(done, j) })
	for _, j := range done {
		for _, c := range b.conns {
			if c.model == j.Conn() {
				b.sim.sendingInstance, b.sim.sentAt = c.instance, c.conn.peer.messageBegan
				c.model.Done(now, j)
				c.flush()
				break
			}
		}
	}
	b.scheduleWork()
}

func (c *simBackendConn) readable(*netConn) {
	if c.done {
		return
	}
	c.lastUsed = c.backend.sim.now
	c.backend.sim.sendingInstance, c.backend.sim.sentAt = c.instance, c.conn.peer.messageBegan
	c.model.Feed(c.backend.sim.now, c.conn.read())
	if !c.done {
		c.flush()
	}
	c.backend.scheduleWork()
}

func (c *simBackendConn) writable(*netConn) { c.flush() }

func (c *simBackendConn) flush() {
	if c.done {
		return
	}
	// Bytes that nobody asked for are told from an answer only if they come before the next request is sent: that is
	// beyond what HTTP/1.1 lets a client know, and so they come with the answer that they follow.
	c.conn.unsplit, c.lastUsed = c.backend.extraResponses, c.backend.sim.now
	c.unsent = c.conn.writeBuffered(c.unsent, c.model.Out)
	c.model.Out = c.model.Out[:0]
	if c.model.Close && len(c.unsent) == 0 {
		abort := c.model.Abort
		if abort { // what was written arrives, then the reset
			c.backend.sim.scheduleAfter(2*c.backend.sim.network.latency, func() { c.close(true) })
			return
		}
		c.close(false)
	}
}

func (c *simBackendConn) closed(*netConn, bool) { c.close(false) }

func (c *simBackendConn) close(reset bool) {
	if c.done {
		return
	}
	c.done = true
	c.model.Closed()
	c.conn.close(reset)
	for i, o := range c.backend.conns {
		if o == c {
			c.backend.conns = append(c.backend.conns[:i], c.backend.conns[i+1:]...)
			break
		}
	}
}

// spreadPosition is a place in [0,1) for each number, such that neighbours lie apart (multiples of the golden ratio).
func spreadPosition(number int) float64 {
	_, x := math.Modf(float64(number+1) * (math.Sqrt(5) - 1) / 2)
	return x
}

// simCounter is the stand-in keeper in virtual time.
type simCounter struct {
	sim               *Sim
	host              *host
	model             *emulator.Counter
	invalidReplies    bool
	earlierIncrements uint64 // of its earlier processes
	conns             []*simCounterConn
}

type simCounterConn struct {
	counter *simCounter
	conn    *netConn
	model   *emulator.CounterConn
	unsent  []byte
	done    bool
}

func (k *simCounter) start() {
	k.host.alive = true
	k.host.accept = func(e *netConn) {
		c := &simCounterConn{counter: k, conn: e, model: k.model.NewConn()}
		c.model.ClientPosition = spreadPosition(k.sim.instanceOf(e.peer.host))
		e.handler = c
		k.conns = append(k.conns, c)
	}
}

func (c *simCounterConn) readable(*netConn) {
	k := c.counter
	if c.done || k.model.Stalled() {
		return // the bytes wait
	}
	c.model.Feed(k.sim.now, c.conn.read())
	b := append([]byte(nil), c.model.Out...)
	c.model.Out = c.model.Out[:0]
	if k.invalidReplies && len(b) > 0 {
		b = []byte("HTTP/1.1 400 Bad Request\r\n\r\n")
	}
	if d := k.model.Delay(); d > 0 {
		k.sim.scheduleAfter(d, func() { c.write(b) })
	} else {
		c.write(b)
	}
	if c.model.Close {
		c.close(false)
	}
}

func (c *simCounterConn) write(b []byte) {
	if c.done {
		return
	}
	c.unsent = append(c.unsent, b...)
	c.writable(nil)
}

func (c *simCounterConn) writable(*netConn) {
	c.unsent = c.conn.writeBuffered(c.unsent, nil)
}

func (c *simCounterConn) closed(*netConn, bool) { c.close(false) }

func (c *simCounterConn) close(reset bool) {
	if c.done {
		return
	}
	c.done = true
	c.conn.close(reset)
	for i, o := range c.counter.conns {
		if o == c {
			c.counter.conns = append(c.counter.conns[:i], c.counter.conns[i+1:]...)
			break
		}
	}
}

func (k *simCounter) setFault(v fault.Verb, value float64, on bool) {
	switch v {
	case fault.InvalidReplies:
		k.invalidReplies = on
	case fault.Refuse:
		k.model.Set(k.sim.now, v, value, on)
		if on {
			k.host.accept = nil
			for len(k.conns) > 0 {
				k.conns[0].close(true)
			}
		} else {
			k.start()
		}
	default:
		k.model.Set(k.sim.now, v, value, on)
		if v == fault.Stall && !on {
			for _, c := range append([]*simCounterConn(nil), k.conns...) {
				if len(c.conn.received) > 0 {
					c.readable(nil)
				}
			}
		}
	}
}

// cellOf is a box's cell.
func (s *Sim) cellOf(b *simBackend) int { return b.number % max(1, s.script.Backends.Cells) }

// endpointFileText is the file of boxes.
func (s *Sim) endpointFileText() string {
	var t strings.Builder
	t.WriteString("boxes:\n")
	n := 0
	for _, b := range s.backends {
		if b.listedState == "gone" {
			continue
		}
		n++
		t.WriteString("  - {name: " + b.name + ", address: \"" + b.address + "\", cell: " + strconv.Itoa(s.cellOf(b)) + ", state: " + b.listedState)
		if b.startedCold {
			t.WriteString(", started: \"" + epoch.Add(b.startedAt).Format(time.RFC3339Nano) + "\"")
		}
		t.WriteString("}\n")
	}
	if n == 0 {
		return "boxes: []\n"
	}
	return t.String()
}
