package proxy

import (
	"time"

	"sandyard/decision"
)

// timerKind is the purpose of a timer.
type timerKind uint8

// The kinds of timers.
const (
	gatewayTimer     timerKind = iota // set by the decision gateway; returned to it as an event
	attemptTimer                      // an attempt's deadline
	dialTimer                         // limits.connect-timeout of a connection to a backend
	counterTimer                      // a call to the counter timed out, or its connection must be closed
	counterDialTimer                  // the counter is dialled again
	idleSweepTimer                    // idle connections to backends are checked
	streamTimer                       // the deadline of an exchange whose response is streamed
)

// timer is an entry of the queue. It refers to its request by ID, so that it does not keep the exchange in memory.
type timer struct {
	at          time.Duration
	seq         uint64             // the order in which timers were set
	request     decision.RequestID // for gatewayTimer, attemptTimer and streamTimer
	conn        *BackendConn       // for dialTimer
	attempt     int32              // for attemptTimer
	kind        timerKind
	gatewayKind decision.TimerKind // for gatewayTimer
}

// before reports whether a timer fires before another: ordered by time, and for equal times by the order in which they were
// set, so that runs are reproducible.
func (t *timer) before(other *timer) bool {
	return t.at < other.at || t.at == other.at && t.seq < other.seq
}

// timerQueue is a binary heap of timers, the next one first. Timers are never cancelled: a timer that is no longer needed
// fires without effect. container/heap is not used because it passes timers as interface values, which would need several
// allocations per request.
type timerQueue struct {
	heap []timer
	seq  uint64 // of the timer that was set last
}

// push adds a timer.
func (q *timerQueue) push(t timer) {
	q.seq++
	t.seq = q.seq
	q.heap = append(q.heap, t)
	heap := q.heap
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !heap[i].before(&heap[parent]) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
}

// pop removes and returns the next timer. The queue must not be empty.
func (q *timerQueue) pop() timer {
	heap := q.heap
	top, last := heap[0], len(heap)-1
	heap[0], heap[last] = heap[last], timer{}
	q.heap = heap[:last]
	heap = q.heap
	for i := 0; ; {
		first := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(heap) && heap[child].before(&heap[first]) {
				first = child
			}
		}
		if first == i {
			return top
		}
		heap[i], heap[first] = heap[first], heap[i]
		i = first
	}
}

// NextTimer returns when Tick must be called if nothing else happens. There is always a timer.
func (inst *Instance) NextTimer() time.Duration { return inst.timers.heap[0].at }

// Tick reports that time has passed and fires the timers that are due.
func (inst *Instance) Tick(now time.Duration) {
	inst.advanceTo(now)
	for len(inst.timers.heap) > 0 && inst.timers.heap[0].at <= inst.now {
		due := inst.timers.pop()
		switch due.kind {
		case gatewayTimer:
			inst.queueEvent(decision.TimerFired{Timer: decision.Timer{Kind: due.gatewayKind, Request: due.request}})
		case attemptTimer:
			inst.attemptTimedOut(due)
		case dialTimer:
			inst.dialTimedOut(due.conn)
		case counterTimer:
			inst.reportTimedOutCounterCalls()
		case counterDialTimer:
			inst.dialCounter()
		case streamTimer:
			inst.streamTimedOut(due)
		case idleSweepTimer:
			inst.closeExpiredIdleConns()
			inst.timers.push(timer{at: inst.now + idleSweepInterval, kind: idleSweepTimer})
		}
		inst.drainEvents()
	}
}

// attemptTimedOut ends an attempt that timed out, unless it has ended already or its response is being streamed.
func (inst *Instance) attemptTimedOut(due timer) {
	ex := inst.requests[due.request]
	if ex == nil || !ex.attempts[due.attempt].open || ex.state == Streaming && ex.streamingAttempt == int(due.attempt) {
		return
	}
	inst.abandonAttempt(ex, int(due.attempt), decision.TimedOut)
}

// dialTimedOut closes a connection that is still being established, and ends the attempt that waits for it.
func (inst *Instance) dialTimedOut(conn *BackendConn) {
	if conn.state != connDialing {
		return
	}
	ex, index := conn.exchange, conn.attempt
	inst.closeConn(conn)
	if ex != nil {
		inst.failAttempt(ex, index, decision.ConnectFailed)
	}
}

// streamTimedOut aborts a streamed response that is incomplete at the exchange's deadline. The client, which is about to
// time out, is thus notified that the response failed. Streaming classes have no such timer.
func (inst *Instance) streamTimedOut(due timer) {
	if ex := inst.requests[due.request]; ex != nil && ex.state == Streaming {
		inst.closeConn(ex.streamingConn)
		inst.failAttempt(ex, ex.streamingAttempt, decision.TimedOut)
	}
}
