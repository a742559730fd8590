package server

import (
	"net"
	"sync"
)

// connServer serves a limited number of connections of a listener, each in its own goroutine. The admin socket and the fault
// control use it.
type connServer struct {
	listener   net.Listener
	limit      int            // open connections at a time; further ones are closed unread
	serve      func(net.Conn) // called once for each connection, which is closed when it returns
	goroutines sync.WaitGroup // of the accept loop and of the connections

	mu     sync.Mutex // guards all fields below
	open   map[net.Conn]struct{}
	closed bool
}

// startConnServer starts a connServer, which accepts connections until close is called.
func startConnServer(listener net.Listener, limit int, serve func(net.Conn)) *connServer {
	s := &connServer{listener: listener, limit: limit, serve: serve, open: map[net.Conn]struct{}{}}
	s.goroutines.Go(s.accept)
	return s
}

func (s *connServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.admit(conn) {
			conn.Close()
			continue
		}
		s.goroutines.Go(func() {
			s.serve(conn)
			conn.Close()
			s.remove(conn)
		})
	}
}

// admit registers a connection. It returns false if the limit is reached or the server was closed.
func (s *connServer) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= s.limit {
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *connServer) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// close closes the listener and all connections, and waits for their goroutines.
func (s *connServer) close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
