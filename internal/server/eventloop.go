package server

import (
	"time"

	"sandyard/proxy"
)

// post queues a message for the event loop. It returns false if the loop has ended and will not handle the message. It never
// blocks and the queue has no limit here: the number of messages other than new requests is bounded by the open requests
// and connections, and messages that end work must always get through.
func (s *Server) post(m message) bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.postLocked(m)
}

// postRequest queues a new request. It never blocks. It returns false if limits.queue messages are queued or the loop has
// ended; the caller then rejects the request.
func (s *Server) postRequest(exchange *proxy.Exchange) bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if len(s.queue) >= s.cfg.Limits.Queue {
		return false
	}
	return s.postLocked(requestArrived{exchange})
}

func (s *Server) postLocked(m message) bool {
	if s.loopEnded {
		return false
	}
	s.queue = append(s.queue, m)
	s.wakeLoopLocked()
	return true
}

// wakeLoopLocked wakes the event loop if it waits or is about to wait for a message.
func (s *Server) wakeLoopLocked() {
	if !s.loopIdle {
		return
	}
	s.loopIdle = false
	select {
	case s.wakeLoop <- struct{}{}:
	default:
	}
}

// postEndpoints queues messages about the endpoint list in their order. The event loop handles them before the next message
// of any other kind. Their number is bounded by what discovery sends.
func (s *Server) postEndpoints(messages ...message) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if s.loopEnded {
		return
	}
	if len(s.endpointQueue) == 0 {
		s.endpointsQueuedAt = s.now()
	}
	s.endpointQueue = append(s.endpointQueue, messages...)
	s.endpointsQueued.Store(true)
	s.wakeLoopLocked()
}

// eventLoop owns the instance. It passes the queued messages to it in the order of each queue, carries out the effects of
// each message before the next one, and fires the instance's timers. It never waits for a peer (see carryOutEffects). Only
// Serve runs it.
func (s *Server) eventLoop(stop <-chan struct{}) {
	s.carryOutEffects(s.now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []message
	for {
		batch = s.takeQueue(batch)
		for i, m := range batch {
			s.handleEndpointMessages()
			s.handleMessage(m)
			batch[i] = nil // the array is reused, and would keep the message from being freed
			s.fireTimers() // a batch can take long on a busy machine; a deadline must not wait for its end
		}
		s.handleEndpointMessages()
		s.fireTimers()
		if len(batch) > 0 {
			continue
		}
		timer.Reset(max(0, s.instance.NextTimer()-s.now()))
		select {
		case <-s.wakeLoop:
		case <-timer.C:
		case <-stop:
			s.closeQueue()
			now := s.now()
			s.instance.Stop(now)
			s.carryOutEffects(now)
			return
		}
	}
}

// handleMessage passes a message to the instance and carries out its effects. It reads the clock for each message, since a
// batch, or one message of it, can take long on a busy machine.
func (s *Server) handleMessage(m message) {
	now := s.now()
	m.apply(s, now)
	s.carryOutEffects(now)
}

// handleEndpointMessages handles the queued messages about the endpoint list. Before that it waits briefly for the watch to
// read and queue what has arrived.
func (s *Server) handleEndpointMessages() {
	if s.discovery != nil {
		s.discovery.input.waitForCatchUp()
	}
	if !s.endpointsQueued.Load() {
		return
	}
	s.queueMu.Lock()
	messages := s.endpointQueue
	s.endpointQueue = nil
	s.endpointsQueued.Store(false)
	s.queueMu.Unlock()
	for _, m := range messages {
		s.handleMessage(m)
	}
}

// endpointsUnhandledFor returns an upper bound of how long a message of discovery has been waiting to be received, read or handled, or
// 0 if none was found (see watchInput.unhandledFor and watchInput.probeAge). Only the event loop calls it.
func (s *Server) endpointsUnhandledFor() time.Duration {
	now := s.now()
	unhandledFor := max(s.discovery.input.unhandledFor(now), s.discovery.input.probeAge(now))
	if s.endpointsQueued.Load() {
		s.queueMu.Lock()
		unhandledFor = max(unhandledFor, now-s.endpointsQueuedAt)
		s.queueMu.Unlock()
	}
	return unhandledFor
}

// fireTimers fires the timers that are due.
func (s *Server) fireTimers() {
	now := s.now()
	if due := s.instance.NextTimer(); due <= now {
		s.recordLoopDelay(now, now-due)
		s.instance.Tick(now)
		s.carryOutEffects(now)
	}
}

// takeQueue returns the queued messages and reuses the array of the previous batch for the next messages. If it returns none,
// the loop counts as idle and the next message wakes it.
func (s *Server) takeQueue(last []message) []message {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	batch := s.queue
	s.queue = last[:0]
	s.loopIdle = len(batch) == 0
	if len(batch) >= s.cfg.Limits.Queue/2 {
		s.queueSpace.Broadcast()
	}
	return batch
}

func (s *Server) closeQueue() {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.loopEnded = true
	s.queueSpace.Broadcast() // no waiter is left: only the accept loop waits, and it has ended before step 3 of the shutdown
}

// carryOutEffects carries out the effects that the instance has emitted, in order. Nothing here waits for a peer: a write
// hands to the kernel what fits, and everything that has to wait runs in another goroutine. Log records are written
// synchronously, at the debug level one for each response. decidedAt is when the instance emitted the effects, on its clock.
func (s *Server) carryOutEffects(decidedAt time.Duration) {
	for _, effect := range s.instance.Effects() {
		switch effect.Kind {
		case proxy.DialBackend:
			s.dialBackend(effect.Conn)
		case proxy.WriteAttempt:
			begunAt := s.now()
			effect.Conn.Owner.(*backendConn).write(effect.Exchange, effect.Bytes)
			s.logAttempt(effect, decidedAt, begunAt) // after the write, so that logging does not delay the first byte
		case proxy.CloseBackend:
			effect.Conn.Owner.(*backendConn).close()
		case proxy.Respond:
			if effect.Exchange.Owner.(*clientConn).respond(s.now(), effect.Exchange, effect.Bytes, effect.CloseAfterResponse) {
				s.logResponse(effect.Exchange)
			}
		case proxy.StreamResponse:
			effect.Exchange.Owner.(*clientConn).startStream(s.now(), effect.Exchange, effect.Bytes, effect.CloseAfterResponse)
			effect.Conn.Owner.(*backendConn).streamPermit <- true
			s.logResponse(effect.Exchange)
		case proxy.AbortClient:
			effect.Exchange.Owner.(*clientConn).abortStream(s.now(), effect.Exchange)
		case proxy.DialCounter:
			s.dialCounter(effect.Addr)
		case proxy.WriteCounter:
			s.counter.write(effect.Bytes)
		case proxy.CloseCounter:
			s.counter.close()
			s.counter = nil
		case proxy.PollEndpoints:
			if s.discovery == nil { // a watch of discovery needs no polls
				s.readEndpointsFile(reportAlways)
			}
		}
	}
}

func (s *Server) logResponse(exchange *proxy.Exchange) {
	if s.debug {
		s.log.Debug("answer", "request", exchange.ID, "client", exchange.Owner.(*clientConn).socket.conn.RemoteAddr().String(), "operation", exchange.Operation.ID, "studio", exchange.Customer.Name,
			"status", exchange.Status, "ms", float64((s.now()-exchange.Arrived).Microseconds())/1000)
	}
}

// minLoggedLoopDelay is the shortest delay of a timer that is logged: a few times the scheduling delay of a machine with a
// free processor.
const minLoggedLoopDelay = 20 * time.Millisecond

// recordLoopDelay records how late the event loop fired a timer. The maximum, which is logged at the end, distinguishes a
// late instance from late clients. The recent maximum is how much earlier the instance answers new requests, at most (see
// proxy.Shared).
func (s *Server) recordLoopDelay(now, late time.Duration) {
	s.maxLoopDelay = max(s.maxLoopDelay, late)
	s.recentLoopDelay.record(now, late)
	s.shared.SetExpectedTimerDelay(s.recentLoopDelay.max(now))
	if s.debug && late >= minLoggedLoopDelay {
		s.log.Debug("event loop late", "ms", late.Milliseconds())
	}
}
