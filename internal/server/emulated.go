package server

import (
	"net"
	"sync"
	"time"

	"sandyard/emulator"
	"sandyard/proxy"
)

// emulatorWriteTimeout is how long the peer of an emulated server may take to accept 64 KiB. It is longer than any timeout of
// a gateway, so that the gateway times out first.
const emulatorWriteTimeout = 10 * time.Second

// emulatorConn is a connection that an emulated server has accepted. Either backend or counter is set, depending on the kind
// of server.
type emulatorConn struct {
	socket  *socket
	backend *emulator.BackendConn
	counter *emulator.CounterConn
}

// emulatedServer is the common part of the emulated backend and counter: a listener, which the refuse fault closes, and
// connections, each with a goroutine that reads. mu also guards the state machines: it is held while bytes are processed.
type emulatedServer struct {
	startTime  time.Time
	goroutines sync.WaitGroup // of the listener, the connections and delayed writes

	// The callbacks are set before listen and called with mu held.
	onAccept     func(*emulatorConn)
	onBytes      func(*emulatorConn, []byte)
	onDisconnect func(*emulatorConn)

	mu       sync.Mutex       // guards all fields below; taken before socket.mu
	addr     string           // host:port of the first listener, reused by later ones
	listener *net.TCPListener // nil: connections are refused
	conns    map[*emulatorConn]struct{}
	closed   bool
}

// now returns the time of the state machines' clock.
func (s *emulatedServer) now() time.Duration { return proxy.Start + time.Since(s.startTime) }

// Addr returns the address (host:port) on which the emulated server listens, or listened before it refused connections.
func (s *emulatedServer) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

func (s *emulatedServer) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	listener := ln.(*net.TCPListener)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return listener.Close()
	}
	s.addr = listener.Addr().String()
	s.listener = listener
	s.goroutines.Go(func() { s.accept(listener) })
	return nil
}

func (s *emulatedServer) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		socket, err := newSocket(conn, emulatorWriteTimeout)
		if err != nil {
			conn.Close()
			continue
		}
		ec := &emulatorConn{socket: socket}
		if !s.admit(ec, listener) {
			conn.Close()
			return
		}
		s.goroutines.Go(func() { s.read(ec) })
	}
}

// admit registers a connection. It returns false if the listener was closed after it had accepted the connection.
func (s *emulatedServer) admit(ec *emulatorConn, listener *net.TCPListener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener {
		return false
	}
	s.onAccept(ec)
	s.conns[ec] = struct{}{}
	return true
}

func (s *emulatedServer) read(ec *emulatorConn) {
	defer ec.socket.close()
	defer ec.socket.releaseBuffer()
	for {
		b, err := ec.socket.read()
		if !s.handleRead(ec, b, err) {
			return
		}
	}
}

func (s *emulatedServer) handleRead(ec *emulatorConn, b []byte, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.onDisconnect(ec)
		delete(s.conns, ec)
		return false
	}
	s.onBytes(ec, b)
	return true
}

// setRefusing closes the listener and resets all connections, or listens again on the same address.
func (s *emulatedServer) setRefusing(on bool) error {
	s.mu.Lock()
	listener, addr := s.listener, s.addr
	if on {
		s.listener = nil
		s.resetConns()
	}
	s.mu.Unlock()
	switch {
	case on && listener != nil:
		return listener.Close()
	case !on && listener == nil:
		return s.listen(addr)
	}
	return nil
}

// resetConns resets all connections. Their readers remove them from conns. The caller holds mu.
func (s *emulatedServer) resetConns() {
	for ec := range s.conns {
		ec.socket.reset()
	}
}

// close closes the listener and all connections, and waits for their goroutines.
func (s *emulatedServer) close() {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	s.listener = nil
	for ec := range s.conns {
		ec.socket.close()
	}
	s.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	s.goroutines.Wait()
}
