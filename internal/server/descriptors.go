package server

import "time"

// Budget of file descriptors:
//
//	holder                          at most                       bounded by
//	client connections              limits.connections            waitForClientSlot
//	clients being rejected          maxRejectedConnections        rejectClient
//	connections to backends         limits.lines                  proxy/pool.go, which closes idle ones to make room
//	counter                         one; two while its address    the event loop
//	                                changes
//	watch of discovery              one; three while a silent     endpointWatch, maxPendingDials
//	                                one is replaced
//	admin socket                    maxAdminConns                 connServer.admit
//	listeners, log, trace file,     one each
//	read of the endpoint file
//
// At limits.connections an idle client connection is evicted in favour of a new one. If the process runs out of descriptors
// nevertheless, accept waits (accept.go), and an attempt whose dial fails counts as never sent.
const (
	// maxRejectedConnections is how many connections beyond limits.connections can receive an error response at a time;
	// further ones are closed unread. Each uses a descriptor and a goroutine for up to lingeringCloseTimeout.
	maxRejectedConnections = 16
	// maxRejectedReads is the largest number of reads from a rejected connection, 512 bytes each: enough for the head of a
	// request, not for a body.
	maxRejectedReads = 16
	// minIdleTime is how long a connection must have been idle after a response before it may be evicted, so that a client
	// that sends its next request sooner does not find its connection closed.
	minIdleTime = 2 * time.Second
	// firstRequestTime is how long a connection without a request that was handed to the instance must have been idle before it
	// may be evicted: several round trips, and no more, since silent connections cost an attacker nothing.
	firstRequestTime = 150 * time.Millisecond
	// clientSlotTimeout is how long a new connection waits for an eviction, including its time in the backlog. Other new
	// connections wait in the backlog in that time.
	clientSlotTimeout = 300 * time.Millisecond
	// clientSlotPoll is the interval at which the number of connections is checked during that wait: an evicted connection
	// closes within a few milliseconds.
	clientSlotPoll = 5 * time.Millisecond
	// neverRequestedRankOffset is subtracted from the rank of a connection without a request that was handed to the instance,
	// so that it is evicted before all others. Requests that got a local response don't count.
	neverRequestedRankOffset = time.Hour
)

// waitForClientSlot waits for at most limit until fewer connections are open or an idle one is evicted, and reports whether
// the new connection may be served. It checks at least once. The accept loop calls it; further connections wait in the
// backlog in that time. A shutdown does not interrupt the wait: connectionsCtx is cancelled only after the accept loop has
// returned.
func (s *Server) waitForClientSlot(limit time.Duration) bool {
	for range max(1, limit/clientSlotPoll) {
		over := s.shared.ClientConns.Load() - int64(s.cfg.Limits.Connections)
		if over <= 0 {
			return true
		}
		// An evicted connection closes soon, or turns out to be in use. Half of maxRejectedConnections may wait for that.
		if over <= maxRejectedConnections/2 && s.evictIdleClient() {
			return true
		}
		select {
		case <-time.After(clientSlotPoll):
		case <-s.connectionsCtx.Done():
			return false
		}
	}
	return false
}

// evictIdleClient requests the close of one idle connection and reports whether there is one. It prefers connections without
// a request that was handed to the instance, and among equals the one that has been idle for longest.
func (s *Server) evictIdleClient() bool {
	candidate := s.evictionCandidate()
	if candidate == nil {
		return false
	}
	candidate.mu.Lock()
	defer candidate.mu.Unlock()
	candidate.evicted = true
	candidate.requestCloseLocked()
	return true
}

func (s *Server) evictionCandidate() *clientConn {
	s.clientsMu.Lock()
	defer s.clientsMu.Unlock()
	var candidate *clientConn
	var lowest time.Duration
	now := s.now()
	for cc := range s.clients {
		rank, evictable := cc.evictionRank(now)
		if evictable && (candidate == nil || rank < lowest) {
			candidate, lowest = cc, rank
		}
	}
	return candidate
}

// evictionRank returns the rank of a connection in the order of eviction, lowest first, and whether it may be evicted.
func (cc *clientConn) evictionRank(now time.Duration) (rank time.Duration, evictable bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	since, requested, idle := cc.client.IdleSince()
	if cc.closed || cc.closeRequested || !idle {
		return 0, false
	}
	if requested {
		return since, now-since >= minIdleTime
	}
	return since - neverRequestedRankOffset, now-since >= firstRequestTime
}
