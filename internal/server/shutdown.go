package server

import (
	"time"
)

// The steps of a shutdown. A step begins when the previous one has ended. Everything that an attempt depends on runs until
// step 4: the endpoint watch, including reconnects and the change of address at SIGHUP, counter calls, health checks and timers.
//
//	step  begins                          what stops
//	1     with the end of Serve's         with limits.stop-delay, responses close their connections from now on, and
//	      context (SIGTERM)               connections are accepted during the delay and backlogAcceptTime after it;
//	                                      without it, the listener closes at once
//	2     when accepting has ended        new requests: they are rejected. The listener and idle client connections close.
//	                                      Requests in flight are answered, each by its deadline
//	3     limits.shutdown-timeout after   requests without an answer: they fail, or are rejected where nothing of them was
//	      step 1, if clients are left     sent; streamed responses are cut off
//	4     when no client is left, or      the event loop, and with it attempts, counter calls, health checks and timers; then
//	      finalResponseTime after step 3  the endpoint watch, dials, and all connections to backends and counter
//	5     at once                         the client connections that are left
//	6     at once                         nothing: waits for the goroutines of connections, then logs "stopped"
//	7     at once                         the admin socket
//	8     at once                         the trace recorder, once it has written its buffer
//
// What a signal means in each phase of a process:
//
//	signal           starting, ready                     shutting down
//	SIGTERM, SIGINT  step 1                              no effect: a shutdown ends by itself, and requests are still answered
//	SIGHUP (node)    the addresses of discovery and      the same: later attempts use the new addresses
//	                 counter are read again

const (
	// drainPoll is the interval at which client connections are checked during a shutdown: short compared with a response time,
	// so that it does not prolong the shutdown.
	drainPoll = 10 * time.Millisecond
	// finalResponseTime is the time for writing the answers of step 3.
	finalResponseTime = 20 * time.Millisecond
)

// stopAccepting carries out step 1. signalled is true if Serve's context has ended, and false if the accept loop has failed.
func (s *Server) stopAccepting(signalled bool) {
	timeout := time.Duration(s.cfg.Limits.ShutdownTimeout)
	s.shutdownDeadline = time.Now().Add(timeout)
	s.shuttingDown.Store(true)
	s.log.Info("shutting down", "signalled", signalled)
	if delay := time.Duration(s.cfg.Limits.StopDelay); delay > 0 && signalled {
		s.shared.CloseAfterResponses()
		s.listener.SetDeadline(time.Now().Add(min(delay, timeout))) // connections that arrive before the deadline are accepted
		return
	}
	s.listener.Close()
	s.queueMu.Lock()
	s.queueSpace.Broadcast() // without effect: waitForQueueSpace checks nothing that a shutdown has changed, and waits again
	s.queueMu.Unlock()
}

// shutDown carries out steps 2 to 6.
func (s *Server) shutDown(stopLoop chan<- struct{}, loopDone <-chan struct{}) {
	s.drainClients()
	close(stopLoop)
	<-loopDone
	s.cancelConnections()
	s.closeClients()
	s.goroutines.Wait()
	s.logStatistics()
}

// drainClients carries out steps 2 and 3.
func (s *Server) drainClients() {
	s.shared.RejectNewRequests()
	s.listener.Close()
	if s.waitForClients(s.shutdownDeadline) {
		return
	}
	s.post(failUnanswered{})
	if !s.waitForClients(time.Now().Add(finalResponseTime)) {
		s.log.Warn("shutdown: client connections are left at the end", "connections", len(s.openClients()))
	}
}

// waitForClients requests the close of idle client connections every drainPoll, until no client connection is left or until a
// deadline. It reports whether none is left.
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

// openClients returns a copy of the set of client connections, so that the caller can take their locks without clientsMu.
func (s *Server) openClients() []*clientConn {
	s.clientsMu.Lock()
	defer s.clientsMu.Unlock()
	open := make([]*clientConn, 0, len(s.clients))
	for cc := range s.clients {
		open = append(open, cc)
	}
	return open
}

// closeClients closes the remaining client connections and wakes their readers.
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
		"refused_room", st.RejectedNoCapacity, "failed", st.Failed, "left", st.ClientsLeft, "broken", st.BrokenResponses, "trailing", s.trailingBytes.count(),
		"attempts", st.Attempts, "dials", st.Dials, "expiries", s.expiredReads.Load(), "keeper_calls", st.CounterCalls,
		"max_late_ms", s.maxLoopDelay.Milliseconds(), "max_list_age_ms", s.listStatus.maxAge.Milliseconds(), "old_list_attempts", s.listStatus.oldAttempts,
		"unwatched_attempts", s.listStatus.unwatched)
}
