package server

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/proxy"
)

// peer is a connection that a stand-in has taken.
type peer struct {
	link *link
	box  *emulator.BackendConn
	keep *emulator.CounterConn
}

// standIn is what the stand-ins on sockets have in common: a listener that comes and goes with the refuse verb, and
// connections whose machines are all owned by whoever holds mu.
type standIn struct {
	start time.Time
	addr  string
	wg    errgroup.Group

	mu     sync.Mutex
	ln     *net.TCPListener
	peers  map[*peer]struct{}
	closed bool
	feed   func(*peer, []byte) // mu is held
	begin  func(*peer)         // mu is held
	gone   func(*peer)         // mu is held
}

func (s *standIn) now() time.Duration { return proxy.Start + time.Since(s.start) }

func (s *standIn) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ln.Close()
	}
	s.addr = ln.Addr().String()
	s.ln = ln.(*net.TCPListener)
	s.wg.Go(func() error { s.accept(ln.(*net.TCPListener)); return nil })
	return nil
}

func (s *standIn) accept(ln *net.TCPListener) {
	for {
		conn, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		l, err := newLink(conn, 10*time.Second)
		if err != nil {
			conn.Close()
			continue
		}
		p := &peer{link: l}
		s.mu.Lock()
		if s.ln != ln {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.begin(p)
		s.peers[p] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() error { s.read(p); return nil })
	}
}

func (s *standIn) read(p *peer) {
	defer p.link.close()
	defer p.link.done()
	for {
		b, err := p.link.read()
		s.mu.Lock()
		if err != nil {
			s.gone(p)
			delete(s.peers, p)
			s.mu.Unlock()
			return
		}
		s.feed(p, b)
		s.mu.Unlock()
	}
}

// refuse closes the listener and all connections, or listens again.
func (s *standIn) refuse(on bool) error {
	s.mu.Lock()
	ln, addr := s.ln, s.addr
	if on {
		s.ln = nil
		for p := range s.peers {
			abort(p.link)
		}
	}
	s.mu.Unlock()
	switch {
	case on && ln != nil:
		return ln.Close()
	case !on && ln == nil:
		return s.listen(addr)
	}
	return nil
}

// abort closes with a reset.
func abort(l *link) {
	l.conn.SetLinger(0)
	l.close()
}

func (s *standIn) close() {
	s.mu.Lock()
	s.closed = true
	ln := s.ln
	s.ln = nil
	for p := range s.peers {
		p.link.close()
	}
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	s.wg.Wait()
}

// EmulatedBackend is a stand-in box on a socket.
type EmulatedBackend struct {
	standIn
	box   *emulator.Backend
	timer *time.Timer
}

// StartBackend starts a box. facts, if given, is told what happens; it must not block.
func StartBackend(addr string, cfg emulator.BackendConfig, facts func(emulator.Fact)) (*EmulatedBackend, error) {
	b := &EmulatedBackend{standIn: standIn{start: time.Now(), peers: map[*peer]struct{}{}}}
	b.box = emulator.NewBackend(cfg, b.now())
	b.box.Facts = facts
	b.timer = time.AfterFunc(time.Hour, b.advance)
	b.begin = func(p *peer) { p.box = b.box.NewConn() }
	b.gone = func(p *peer) { p.box.Closed() }
	b.feed = func(p *peer, in []byte) {
		p.box.Feed(b.now(), in)
		b.out(p)
		b.after()
	}
	if err := b.listen(addr); err != nil {
		b.timer.Stop()
		return nil, err
	}
	return b, nil
}

// Addr is where the box listens.
func (b *EmulatedBackend) Addr() string { b.mu.Lock(); defer b.mu.Unlock(); return b.addr }

// Set begins or ends a fault.
func (b *EmulatedBackend) Set(v fault.Verb, value float64, on bool) error {
	b.mu.Lock()
	b.box.Set(b.now(), v, value, on)
	b.after()
	b.mu.Unlock()
	if v == fault.Refuse {
		return b.refuse(on)
	}
	return nil
}

// Close stops the box.
func (b *EmulatedBackend) Close() {
	b.timer.Stop()
	b.close()
}

func (b *EmulatedBackend) advance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	now := b.now()
	b.box.Advance(now, func(j *emulator.Job) {
		c := j.Conn()
		c.Done(now, j)
		for p := range b.peers { // few
			if p.box == c {
				b.out(p)
			}
		}
	})
	b.after()
}

// after sets the timer; a box that has fallen over refuses from then on. mu is held.
func (b *EmulatedBackend) after() {
	if b.box.HasCollapsed() && b.ln != nil {
		ln := b.ln
		b.ln = nil
		ln.Close()
		for p := range b.peers {
			abort(p.link)
		}
	}
	if t := b.box.Next(); t != 0 {
		b.timer.Reset(max(0, t-b.now()))
	}
}

// out writes what a connection has for its peer; mu is held.
func (b *EmulatedBackend) out(p *peer) {
	if len(p.box.Out) > 0 {
		p.link.write(p.box.Out)
		p.box.Out = p.box.Out[:0]
	}
	if p.box.Close {
		p.end(p.box.Abort)
	}
}

// end closes a connection once all is written.
func (p *peer) end(aborts bool) {
	if aborts {
		p.link.conn.SetLinger(0)
	}
	p.link.mu.Lock()
	waits := p.link.flushing
	if waits {
		p.link.flushed = func() { p.link.conn.Close() }
	}
	p.link.mu.Unlock()
	if !waits {
		p.link.close()
	}
}

// EmulatedCounter is a stand-in tally keeper on a socket.
type EmulatedCounter struct {
	standIn
	keeper *emulator.Counter
	ctx    context.Context
	stop   context.CancelFunc
	wake   sync.Cond // signalled when a stall ends
}

// StartCounter starts a keeper.
func StartCounter(addr string) (*EmulatedCounter, error) {
	k := &EmulatedCounter{standIn: standIn{start: time.Now(), peers: map[*peer]struct{}{}}, keeper: emulator.NewCounter()}
	k.wake.L = &k.mu
	k.ctx, k.stop = context.WithCancel(context.Background())
	served := 0.0
	k.begin = func(p *peer) {
		p.keep = k.keeper.NewConn()
		_, p.keep.ClientPosition = math.Modf(served * (math.Sqrt(5) - 1) / 2) // a socket does not tell which front door it is
		served++
	}
	k.gone = func(*peer) {}
	k.feed = func(p *peer, in []byte) {
		for k.keeper.Stalled() && !k.closed {
			k.wake.Wait()
		}
		p.keep.Feed(k.now(), in)
		if len(p.keep.Out) > 0 {
			if d := k.keeper.Delay(); d > 0 {
				k.delayed(p, append([]byte(nil), p.keep.Out...), d)
			} else {
				p.link.write(p.keep.Out)
			}
			p.keep.Out = p.keep.Out[:0]
		}
		if p.keep.Close {
			p.end(false)
		}
	}
	if err := k.listen(addr); err != nil {
		return nil, err
	}
	return k, nil
}

// delayed writes later; writes of one connection keep their order as long as the delay stays the same.
func (k *EmulatedCounter) delayed(p *peer, b []byte, d time.Duration) {
	k.wg.Go(func() error {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			p.link.write(b)
		case <-k.ctx.Done():
		}
		return nil
	})
}

// Addr is where the keeper listens.
func (k *EmulatedCounter) Addr() string { k.mu.Lock(); defer k.mu.Unlock(); return k.addr }

// Total is a name's value.
func (k *EmulatedCounter) Total(name string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.Total(k.now(), name)
}

// Set begins or ends a fault.
func (k *EmulatedCounter) Set(v fault.Verb, value float64, on bool) error {
	k.mu.Lock()
	k.keeper.Set(k.now(), v, value, on)
	k.wake.Broadcast()
	k.mu.Unlock()
	if v == fault.Refuse {
		return k.refuse(on)
	}
	return nil
}

// Close stops the keeper.
func (k *EmulatedCounter) Close() {
	k.stop()
	k.mu.Lock()
	k.closed = true
	k.wake.Broadcast()
	k.mu.Unlock()
	k.close()
}
