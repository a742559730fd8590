package simulation

import (
	"time"

	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/invariant"
)

// States of a backend in the endpoint list.
const (
	listedUp       = "up"
	listedDraining = "draining"
	listedRemoved  = "gone" // not listed
)

// simBackend is an emulated backend in the simulation.
type simBackend struct {
	sim            *Sim
	host           *host
	name           string
	number         int
	address        string
	listedState    string // state in the endpoint list: up, draining or gone
	startedAt      time.Duration
	startedCold    bool
	model          *emulator.Backend
	conns          []*simBackendConn
	nextWake       time.Duration
	incarnation    int
	extraResponses bool
}

// start starts a process. cold puts it into slow start, as for every process that starts during the run.
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
	b.model.OnEvent = b.recordEvent
	b.conns = nil
	b.host.alive, b.host.paused = true, false
	b.host.accept = b.acceptConn
}

// kill terminates the backend's process.
func (b *simBackend) kill() {
	b.incarnation++
	b.conns = nil
	b.sim.network.kill(b.host)
	b.host.accept = nil
}

func (b *simBackend) setFault(verb fault.Verb, value float64, on bool) {
	b.model.Set(b.sim.now, verb, value, on)
	if verb == fault.ExtraResponse {
		b.extraResponses = on
	}
	if verb == fault.Refuse && !b.model.HasCollapsed() {
		b.setRefusing(on)
	}
	if b.host.alive {
		b.advance()
	}
}

// acceptConn handles a connection that the network has accepted for the backend.
func (b *simBackend) acceptConn(conn *netConn) {
	c := &simBackendConn{backend: b, conn: conn, model: b.model.NewConn(), instance: b.sim.instanceOf(conn.peer.host), lastUsed: b.sim.now}
	conn.handler = c
	b.conns = append(b.conns, c)
	if idle := time.Duration(b.sim.script.Backends.IdleTimeout); idle > 0 {
		b.sim.scheduleAfter(idle, func() { c.closeIfIdle(idle) })
	}
}

func (b *simBackend) recordEvent(e emulator.Event) {
	s := b.sim
	s.logEvent(string(e.Kind) + " " + e.ID + " " + e.Backend)
	s.digest(backendEvent, nil, string(e.Kind), e.ID, e.Backend)
	switch e.Kind {
	case emulator.RequestReceived:
		s.checker.RequestReceived(invariant.Receipt{ID: e.ID, Backend: e.Backend, At: s.now, Instance: s.requestInstance, SentAt: s.sentAt})
	case emulator.RequestExecuted:
		s.checker.RequestExecuted(invariant.Execution{ID: e.ID, Key: e.Key, Backend: e.Backend, At: s.now})
	case emulator.BackendCollapsed:
		s.checker.BackendCollapsed(e.Backend, s.now)
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

// scheduleWork schedules the next time at which the backend finishes some work.
func (b *simBackend) scheduleWork() {
	t := b.model.Next()
	if t == 0 || b.nextWake != 0 && b.nextWake <= t && b.nextWake > b.sim.now {
		return
	}
	b.nextWake = t
	incarnation := b.incarnation
	b.sim.schedule(t, func() {
		if b.incarnation != incarnation || !b.host.alive {
			return
		}
		b.host.run(func() {
			if b.incarnation != incarnation {
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
				b.sim.requestInstance, b.sim.sentAt = c.instance, c.conn.peer.messageStartedAt
				c.model.Done(now, j)
				c.flush()
				break
			}
		}
	}
	b.scheduleWork()
}
