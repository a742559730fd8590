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

// emulatorClient is a connection that a stand-in has taken.
type emulatorClient struct {
	socket  *socket
	backend *emulator.BackendConn
	counter *emulator.CounterConn
}

// emulatedServer is what the stand-ins on sockets have in common: a listener that comes and goes with the refuse verb, and
// connections whose machines are all owned by whoever holds mu.
type emulatedServer struct {
	startTime  time.Time
	addr       string
	goroutines errgroup.Group

	mu           sync.Mutex
	listener     *net.TCPListener
	peers        map[*emulatorClient]struct{}
	closed       bool
	onBytes      func(*emulatorClient, []byte) // mu is held
	onAccept     func(*emulatorClient)         // mu is held
	onDisconnect func(*emulatorClient)         // mu is held
}

func (s *emulatedServer) now() time.Duration { return proxy.Start + time.Since(s.startTime) }

func (s *emulatedServer) listen(addr string) error {
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
	s.listener = ln.(*net.TCPListener)
	s.goroutines.Go(func() error { s.accept(ln.(*net.TCPListener)); return nil })
	return nil
}

func (s *emulatedServer) accept(ln *net.TCPListener) {
	for {
		conn, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		l, err := newSocket(conn, 10*time.Second)
		if err != nil {
			conn.Close()
			continue
		}
		p := &emulatorClient{socket: l}
		s.mu.Lock()
		if s.listener != ln {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.onAccept(p)
		s.peers[p] = struct{}{}
		s.mu.Unlock()
		s.goroutines.Go(func() error { s.read(p); return nil })
	}
}

func (s *emulatedServer) read(p *emulatorClient) {
	defer p.socket.close()
	defer p.socket.releaseBuffer()
	for {
		b, err := p.socket.read()
		s.mu.Lock()
		if err != nil {
			s.onDisconnect(p)
			delete(s.peers, p)
			s.mu.Unlock()
			return
		}
		s.onBytes(p, b)
		s.mu.Unlock()
	}
}

// setRefusing closes the listener and all connections, or listens again.
func (s *emulatedServer) setRefusing(on bool) error {
	s.mu.Lock()
	ln, addr := s.listener, s.addr
	if on {
		s.listener = nil
		for p := range s.peers {
			resetConnection(p.socket)
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

// resetConnection closes with a reset.
func resetConnection(l *socket) {
	l.conn.SetLinger(0)
	l.close()
}

func (s *emulatedServer) close() {
	s.mu.Lock()
	s.closed = true
	ln := s.listener
	s.listener = nil
	for p := range s.peers {
		p.socket.close()
	}
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	s.goroutines.Wait()
}

// EmulatedBackend is a stand-in box on a socket.
type EmulatedBackend struct {
	emulatedServer
	backend *emulator.Backend
	timer   *time.Timer
}

// StartBackend starts a box. facts, if given, is told what happens; it must not block.
func StartBackend(addr string, cfg emulator.BackendConfig, facts func(emulator.Fact)) (*EmulatedBackend, error) {
	b := &EmulatedBackend{emulatedServer: emulatedServer{startTime: time.Now(), peers: map[*emulatorClient]struct{}{}}}
	b.backend = emulator.NewBackend(cfg, b.now())
	b.backend.Facts = facts
	b.timer = time.AfterFunc(time.Hour, b.advance)
	b.onAccept = func(p *emulatorClient) { p.backend = b.backend.NewConn() }
	b.onDisconnect = func(p *emulatorClient) { p.backend.Closed() }
	b.onBytes = func(p *emulatorClient, in []byte) {
		p.backend.Feed(b.now(), in)
		b.flush(p)
		b.scheduleAdvance()
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
	b.backend.Set(b.now(), v, value, on)
	b.scheduleAdvance()
	b.mu.Unlock()
	if v == fault.Refuse {
		return b.setRefusing(on)
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
	b.backend.Advance(now, func(j *emulator.Job) {
		c := j.Conn()
		c.Done(now, j)
		for p := range b.peers { // few
			if p.backend == c {
				b.flush(p)
			}
		}
	})
	b.scheduleAdvance()
}

// scheduleAdvance sets the timer; a box that has fallen over refuses from then on. mu is held.
func (b *EmulatedBackend) scheduleAdvance() {
	if b.backend.HasCollapsed() && b.listener != nil {
		ln := b.listener
		b.listener = nil
		ln.Close()
		for p := range b.peers {
			resetConnection(p.socket)
		}
	}
	if t := b.backend.Next(); t != 0 {
		b.timer.Reset(max(0, t-b.now()))
	}
}

// flush writes what a connection has for its peer; mu is held.
func (b *EmulatedBackend) flush(p *emulatorClient) {
	if len(p.backend.Out) > 0 {
		p.socket.write(p.backend.Out)
		p.backend.Out = p.backend.Out[:0]
	}
	if p.backend.Close {
		p.closeAfterFlush(p.backend.Abort)
	}
}

// closeAfterFlush closes a connection once all is written.
func (p *emulatorClient) closeAfterFlush(aborts bool) {
	if aborts {
		p.socket.conn.SetLinger(0)
	}
	p.socket.mu.Lock()
	waits := p.socket.flushing
	if waits {
		p.socket.onFlushed = func() { p.socket.conn.Close() }
	}
	p.socket.mu.Unlock()
	if !waits {
		p.socket.close()
	}
}

// EmulatedCounter is a stand-in tally keeper on a socket.
type EmulatedCounter struct {
	emulatedServer
	counter    *emulator.Counter
	ctx        context.Context
	stop       context.CancelFunc
	stallEnded sync.Cond // signalled when a stall ends
}

// StartCounter starts a keeper.
func StartCounter(addr string) (*EmulatedCounter, error) {
	k := &EmulatedCounter{emulatedServer: emulatedServer{startTime: time.Now(), peers: map[*emulatorClient]struct{}{}}, counter: emulator.NewCounter()}
	k.stallEnded.L = &k.mu
	k.ctx, k.stop = context.WithCancel(context.Background())
	accepted := 0.0
	k.onAccept = func(p *emulatorClient) {
		p.counter = k.counter.NewConn()
		_, p.counter.ClientPosition = math.Modf(accepted * (math.Sqrt(5) - 1) / 2) // a socket does not tell which front door it is
		accepted++
	}
	k.onDisconnect = func(*emulatorClient) {}
	k.onBytes = func(p *emulatorClient, in []byte) {
		for k.counter.Stalled() && !k.closed {
			k.stallEnded.Wait()
		}
		p.counter.Feed(k.now(), in)
		if len(p.counter.Out) > 0 {
			if d := k.counter.Delay(); d > 0 {
				k.writeLater(p, append([]byte(nil), p.counter.Out...), d)
			} else {
				p.socket.write(p.counter.Out)
			}
			p.counter.Out = p.counter.Out[:0]
		}
		if p.counter.Close {
			p.closeAfterFlush(false)
		}
	}
	if err := k.listen(addr); err != nil {
		return nil, err
	}
	return k, nil
}

// writeLater writes later; writes of one connection keep their order as long as the delay stays the same.
func (k *EmulatedCounter) writeLater(p *emulatorClient, b []byte, d time.Duration) {
	k.goroutines.Go(func() error {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			p.socket.write(b)
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
	return k.counter.Total(k.now(), name)
}

// Set begins or ends a fault.
func (k *EmulatedCounter) Set(v fault.Verb, value float64, on bool) error {
	k.mu.Lock()
	k.counter.Set(k.now(), v, value, on)
	k.stallEnded.Broadcast()
	k.mu.Unlock()
	if v == fault.Refuse {
		return k.setRefusing(on)
	}
	return nil
}

// Close stops the keeper.
func (k *EmulatedCounter) Close() {
	k.stop()
	k.mu.Lock()
	k.closed = true
	k.stallEnded.Broadcast()
	k.mu.Unlock()
	k.close()
}
