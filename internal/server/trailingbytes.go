package server

import (
	"sync"
	"time"
)

// trailingBytesLogInterval is the minimum interval between log records of backends that send bytes after a response. A faulty
// backend may do so with every response.
const trailingBytesLogInterval = time.Second

// trailingBytes counts the backend connections on which bytes came that belong to no response. Any goroutine may use it.
type trailingBytes struct {
	mu          sync.Mutex
	connections uint64
	loggedAt    time.Duration // when one was last logged; 0: never
}

// record counts a connection. It returns the new count, and whether the connection must be logged.
func (t *trailingBytes) record(now time.Duration) (connections uint64, log bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections++
	log = t.loggedAt == 0 || now >= t.loggedAt+trailingBytesLogInterval
	if log {
		t.loggedAt = now
	}
	return t.connections, log
}

func (t *trailingBytes) count() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections
}

// recordTrailingBytes counts and logs a connection to a backend on which bytes came that belong to no response. Either the
// backend's framing is wrong, or something else writes to its connections.
func (s *Server) recordTrailingBytes(addr string) {
	if connections, log := s.trailingBytes.record(s.now()); log {
		s.log.Warn("bytes behind an answer", "addr", addr, "connections", connections)
	}
}
