package server

import "time"

// The budget of descriptors:
//
//	holder                          at most                       bounded by
//	client connections              limits.connections            waitForClientSlot
//	clients that are rejected       maxRejectedConnections        rejectClient
//	connections to backends         limits.lines                  proxy/pool.go, which closes idle ones to make room
//	counter, watch of discovery     one each; two as one moves    the event loop, endpointWatch
//	admin socket                    maxAdminConns                 connServer.admit
//	listeners, log, trace file,     one each
//	watch of the endpoint file
//
// At the limit of clients an idle connection makes room for a new one. Where the process has no descriptors all the same,
// accepting waits (accept.go), and a dial fails as an attempt that was never sent.
const (
	// maxRejectedConnections is how many connections beyond limits.connections get a response at a time; more are closed
	// unread. Each costs a descriptor and a goroutine for lingeringCloseTimeout.
	maxRejectedConnections = 16
	// rejectedReads is how often such a connection is read, 512 bytes at a time: a request's head, not a body.
	rejectedReads = 16
	// minIdleTime is how long a connection must have been idle after a response to be evicted: a client that sends its
	// next request sooner does not find its connection closed.
	minIdleTime = 2 * time.Second
	// firstRequestTime is how long a new connection has for the first byte of a request before it may be evicted: some
	// round trips, and no more, since silent connections cost an attacker nothing.
	firstRequestTime = 150 * time.Millisecond
	// clientSlotTimeout is how long a connection waits for an eviction, the backlog included; others wait there meanwhile.
	clientSlotTimeout = 300 * time.Millisecond
	// clientSlotPoll is how often the number of connections is checked meanwhile: an evicted connection closes within a few milliseconds.
	clientSlotPoll = 5 * time.Millisecond
	// neverRequestedRank puts connections of which no request was handed to the instance before all others, in the order of
	// eviction. Requests that got a local response don't count.
	neverRequestedRank = time.Hour
)

// waitForClientSlot evicts an idle connection to make room for a new one, and waits for a time at most until there is room
// or one is on its way out; it looks once at least. The accept loop calls it; connections that come meanwhile wait in the
// backlog. A shutdown does not cut the wait short: connectionsCtx ends only after the accept loop has returned.
func (s *Server) waitForClientSlot(limit time.Duration) bool {
	for range max(1, limit/clientSlotPoll) {
		over := s.shared.ClientConns.Load() - int64(s.cfg.Limits.Connections)
		if over <= 0 {
			return true
		}
		// One that is evicted closes in a moment, or turns out to be in use: half of maxRejectedConnections may wait for that.
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

// evictIdleClient asks one idle connection to close, and reports whether there is one: one of which no request
// was handed to the instance yet, or else the one that has been idle for longest.
func (s *Server) evictIdleClient() bool {
	candidate := s.leastUsefulClient()
	if candidate == nil {
		return false
	}
	candidate.mu.Lock()
	defer candidate.mu.Unlock()
	candidate.evicted = true
	candidate.requestCloseLocked()
	return true
}

func (s *Server) leastUsefulClient() *clientConn {
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

// evictionRank reports whether a connection may be evicted; the one of the lowest rank is evicted first.
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
	return since - neverRequestedRank, now-since >= firstRequestTime
}
