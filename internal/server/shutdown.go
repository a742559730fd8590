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
//	                                      Requests under way are answered, for limits.shutdown-timeout at most
//	3     when no client is left, or      the event loop: proxy.Instance.Stop, which closes idle backend connections and the
//	      after limits.shutdown-timeout   counter's
//	4     at once                         the endpoint watch, dials, backend connections that wait for a stream's permit,
//	                                      inspections by the admin socket
//	5     at once                         the client connections that are left
//	6     at once                         nothing: it waits, without limit, for every backend connection that is not idle,
//	                                      and for the other goroutines of connections; then it logs "stopped". An answer
//	                                      does not end the wait: the event loop, which would close the connection, is
//	                                      over, so that the backend has to. A second SIGTERM does not end it either
//	7     at once                         the admin socket
//	8     at once                         the trace recorder, once it has written what it holds

// drainPoll is how often client connections are checked during a shutdown: short beside a response, so that the last one is not
// what a shutdown waits for.
const drainPoll = 10 * time.Millisecond

// stopAccepting is step 1. signalled reports that the instance was asked to stop, rather than that its accept loop has
// failed.
func (s *Server) stopAccepting(signalled bool) {
	s.shuttingDown.Store(true)
	s.log.Info("shutting down", "signalled", signalled)
	if delay := time.Duration(s.cfg.Limits.StopDelay); delay > 0 && signalled {
		s.shared.CloseAfterResponses()
		s.listener.SetDeadline(time.Now().Add(delay)) // what has come in by then is accepted
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

// drainClients waits until all requests under way are answered and their connections closed, or
// limits.shutdown-timeout is over.
func (s *Server) drainClients() {
	s.shared.RejectNewRequests()
	s.listener.Close()
	limit := time.NewTimer(time.Duration(s.cfg.Limits.ShutdownTimeout))
	defer limit.Stop()
	for {
		open := s.openClients()
		if len(open) == 0 {
			return
		}
		for _, cc := range open {
			cc.requestClose()
		}
		select {
		case <-limit.C:
			s.log.Warn("shutdown: clients left without their answer's end", "connections", len(open))
			return
		case <-time.After(drainPoll):
		}
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
		"attempts", st.Attempts, "dials", st.Dials, "expiries", s.expiredReads.Load(), "keeper_calls", st.CounterCalls)
}
