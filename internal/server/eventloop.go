package server

import (
	"time"

	"sandyard/proxy"
)

// post queues a message for the event loop, and reports whether it will be handled: false, the loop has ended. It never
// blocks, and takes any number: messages other than new requests are bounded by the requests and connections there are,
// and what ends work must always get through.
func (s *Server) post(m message) bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.postLocked(m)
}

// postRequest queues a new request. It never blocks. It reports false where limits.queue messages wait, or the loop has
// ended: the request is to be rejected.
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

// wakeLoopLocked wakes the event loop if it waits, or is about to wait, for a message.
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

// postEndpoints queues messages of the endpoint list, in their order. They are handled ahead of all others, before the next
// one. Their number is bounded by what discovery sends.
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

// eventLoop owns the instance: it takes what is queued, hands it over in the order of each queue, carries out the effects of each message
// before the next, and keeps the instance's timers. It waits for no peer (see carryOutEffects). Only Serve runs it.
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
			batch[i] = nil // the array is used again: what it holds would not be freed
			s.fireTimers() // a batch can take long on a busy machine; a deadline can't
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
			s.endQueue()
			now := s.now()
			s.instance.Stop(now)
			s.carryOutEffects(now)
			return
		}
	}
}

// handleMessage hands a message over and carries out what follows. Each has a time of its own: a batch, or one message in it,
// can take long on a busy machine.
func (s *Server) handleMessage(m message) {
	now := s.now()
	m.apply(s, now)
	s.carryOutEffects(now)
}

// handleEndpointMessages hands over the messages of the endpoint list that are queued, and those that the watch has still to
// read, if it gets to that soon.
func (s *Server) handleEndpointMessages() {
	if s.discovery != nil {
		s.discovery.input.letCatchUp()
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

// endpointsUnhandledFor returns for how long a message of discovery has waited to be read or to be handled; 0: none waits. Only
// the event loop calls it.
func (s *Server) endpointsUnhandledFor() time.Duration {
	now := s.now()
	unhandledFor := s.discovery.input.unhandledFor(now)
	if s.endpointsQueued.Load() {
		s.queueMu.Lock()
		unhandledFor = max(unhandledFor, now-s.endpointsQueuedAt)
		s.queueMu.Unlock()
	}
	return unhandledFor
}

// fireTimers does what is due.
func (s *Server) fireTimers() {
	now := s.now()
	if due := s.instance.NextTimer(); due <= now {
		s.noteLateness(now, now-due)
		s.instance.Tick(now)
		s.carryOutEffects(now)
	}
}

// takeQueue returns what is queued, and leaves the array of the batch before for what comes next. An empty batch marks the
// loop idle: the next message wakes it.
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

func (s *Server) endQueue() {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.loopEnded = true
	s.queueSpace.Broadcast() // nobody waits: the accept loop, which alone does, has ended before step 3 of a shutdown
}

// carryOutEffects does what the instance has asked for, in order. Nothing here waits for a peer: sockets are written as far
// as the kernel takes it, and what has to wait does so in a goroutine of its own. Log records are written synchronously,
// at the debug level one for each response. decidedAt is the time by which the instance asked for it.
func (s *Server) carryOutEffects(decidedAt time.Duration) {
	for _, effect := range s.instance.Effects() {
		switch effect.Kind {
		case proxy.DialBackend:
			s.dialBackend(effect.Conn)
		case proxy.WriteAttempt:
			begunAt := s.now()
			effect.Conn.Owner.(*backendConn).write(effect.Exchange, effect.Bytes)
			s.recordAttempt(effect, decidedAt, begunAt) // after its first byte, which a log must not hold up
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
			if s.discovery == nil { // discovery is watched from the start
				s.readEndpointsFile(alwaysReported)
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

// notableLateness is how late a timer has to be for a log record: some times what the scheduler of a machine with a free
// processor takes.
const notableLateness = 20 * time.Millisecond

// noteLateness keeps the greatest lateness of the event loop: by it a late instance can be told from late clients, and
// answers earlier.
func (s *Server) noteLateness(now, late time.Duration) {
	s.maxLateness = max(s.maxLateness, late)
	s.recentLateness.note(now, late)
	s.shared.SetExpectedTimerDelay(s.recentLateness.at(now))
	if s.debug && late >= notableLateness {
		s.log.Debug("event loop late", "ms", late.Milliseconds())
	}
}
