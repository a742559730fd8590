package server

import (
	"time"
)

// The order of a shutdown. A step begins when the one before it is over. Whatever an attempt depends on lives until step 4:
// the endpoint watch with its reconnects and its move by SIGHUP, counter calls, health checks and timers.
//
//	step  begins                          what stops
//	1     with the end of Serve's         with limits.stop-delay, responses close their connections from now on, and
//	      context (SIGTERM)               connections are accepted through the delay, and backlogTime after it; without, the
//	                                      listener closes at once
//	2     when accepting is over          new requests: they are rejected. The listener and idle client connections close.
//	                                      Requests under way are answered, each by its deadline
//	3     limits.shutdown-timeout after   requests without an answer: they fail, or are rejected where nothing of them was
//	      step 1, if clients are left     sent; responses that are being streamed break off
//	4     when no client is left, or      the event loop, after which no attempt begins: with it counter calls, health checks
//	      finalResponseTime after step 3  and timers. The endpoint watch, dials, and all connections to backends and counter
//	5     at once                         the client connections that are left
//	6     at once                         nothing: the goroutines of connections end; then "stopped" is logged
//	7     at once                         the admin socket
//	8     at once                         the trace recorder, once it has written what it holds
//
// What a signal means in each phase of a process:
//
//	signal           starting, ready                     shutting down
//	SIGTERM, SIGINT  step 1                              nothing: the shutdown is bounded, and requests are still answered
//	SIGHUP (node)    the addresses of discovery and      the same: attempts that are still to begin go by the new ones
//	                 counter are read again

const (
	// drainPoll is how often client connections are checked during a shutdown: short beside a response, so that the last
	// one is not what a shutdown waits for.
	drainPoll = 10 * time.Millisecond
	// finalResponseTime is how long the answers of step 3 have to be written.
	finalResponseTime = 20 * time.Millisecond
)

// stopAccepting is step 1. signalled reports that the instance was asked to stop, rather than that its accept loop has
// failed.
func (s *Server) stopAccepting(signalled bool) {
	timeout := time.Duration(s.cfg.Limits.ShutdownTimeout)
	s.shutdownDeadline = time.Now().Add(timeout)
	s.shuttingDown.Store(true)
	s.log.Info("shutting down", "signalled", signalled)
	if delay := time.Duration(s.cfg.Limits.StopDelay); delay > 0 && signalled {
		s.shared.CloseAfterResponses()
		s.listener.SetDeadline(time.Now().Add(min(delay, timeout))) // what has come in by then is accepted
		return
	}
	s.listener.Close()
	s.queueMu.Lock()
	s.queueSpace.Broadcast() // a waiter goes on waiting: its condition has not changed
	s.queueMu.Unlock()
}

// shutDown is steps 2 to 6.
func (s *Server) shutDown(stopLoop chan<- struct{}, loopDone <-chan struct{}) {
	s.drainClients()
	close(stopLoop)
	<-loopDone
	s.cancelConnections()
	s.closeClients()
	s.goroutines.Wait()
	s.logStatistics()
}

// drainClients is steps 2 and 3.
func (s *Server) drainClients() {
	s.shared.RejectNewRequests()
	s.listener.Close()
	if s.waitForClients(s.shutdownDeadline) {
		return
	}
	s.post(unansweredFailed{})
	if !s.waitForClients(time.Now().Add(finalResponseTime)) {
		s.log.Warn("shutdown: client connections are left at the end", "connections", len(s.openClients()))
	}
}

// waitForClients asks idle clients to close, again and again, and reports whether none is left by a deadline.
func (s *Server) waitForClients(deadline time.Time) bool {
	for {
		open := s.openClients()
		if len(open) == 0 {
			return true
		}
		for _, cc := range open {
			cc.requestClose()
		}
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(min(drainPoll, time.Until(deadline)))
	}
}

// openClients copies the set of client connections, so that their locks are taken without clientsMu.
func (s *Server) openClients() []*clientConn {
	s.clientsMu.Lock()
	defer s.clientsMu.Unlock()
	open := make([]*clientConn, 0, len(s.clients))
	for cc := range s.clients {
		open = append(open, cc)
	}
	return open
}

// closeClients closes the connections that are left, and wakes their readers.
func (s *Server) closeClients() {
	s.clientsMu.Lock()
	defer s.clientsMu.Unlock()
	for cc := range s.clients {
		cc.socket.close()
		cc.mu.Lock()
		cc.readable.Signal()
		cc.mu.Unlock()
	}
}

func (s *Server) logStatistics() {
	st := s.instance.Stats
	s.log.Info("stopped", "arrived", st.Arrived, "served", st.Served, "refused_quota", st.RejectedOverQuota,
		"refused_room", st.RejectedNoCapacity, "failed", st.Failed, "left", st.ClientsLeft, "broken", st.BrokenResponses,
		"attempts", st.Attempts, "dials", st.Dials, "expiries", s.expiredReads.Load(), "keeper_calls", st.CounterCalls,
		"max_late_ms", s.maxLateness.Milliseconds(), "max_list_age_ms", s.endpoints.greatestAge.Milliseconds(), "old_list_attempts", s.endpoints.oldAttempts)
}
