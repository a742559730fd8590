package proxy

import (
	"time"

	"sandyard/decision"
)

// timerKind says what a timer is for.
type timerKind uint8

// The kinds of timers.
const (
	gatewayTimer     timerKind = iota // the decision gateway's; handed back to it
	attemptTimer                      // an attempt's deadline
	dialTimer                         // a connection to a backend was not made within limits.connect-timeout
	counterTimer                      // the oldest call to the counter is overdue
	counterDialTimer                  // the counter is dialled again
	idleSweepTimer                    // idle connections to backends are checked
	streamTimer                       // the deadline of an exchange whose response is streamed
)

// timer is an entry of the queue. It names its request by ID, so that the entry keeps no exchange in memory.
type timer struct {
	at          time.Duration
	seq         uint64             // the order in which timers were set
	request     decision.RequestID // of gatewayTimer, attemptTimer and streamTimer
	conn        *BackendConn       // of dialTimer
	attempt     int32              // of attemptTimer
	kind        timerKind
	gatewayKind decision.TimerKind // of gatewayTimer
}

// before reports whether a timer fires before another: in the order of their times, and of their setting where those are
// the same, so that a run can be repeated.
func (t *timer) before(other *timer) bool {
	return t.at < other.at || t.at == other.at && t.seq < other.seq
}

// timerQueue is a binary heap of timers, the next one first. Timers are not removed when what they are for is over; what
// they do then is nothing. container/heap is not used: it takes and returns timers as interface values, which would be
// allocated, several for each request.
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

// pop takes the next timer out; there must be one.
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

// NextTimer returns when Tick has to be called if nothing else happens. There always is a timer.
func (inst *Instance) NextTimer() time.Duration { return inst.timers.heap[0].at }

// Tick reports that time has passed, and does what is due by then.
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
			inst.reportLateCounterCalls()
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

// attemptTimedOut gives an attempt up, unless it has ended or its response is being streamed.
func (inst *Instance) attemptTimedOut(due timer) {
	ex := inst.requests[due.request]
	if ex == nil || !ex.attempts[due.attempt].open || ex.state == Streaming && ex.streamingAttempt == int(due.attempt) {
		return
	}
	inst.abandonAttempt(ex, int(due.attempt), decision.TimedOut)
}

// dialTimedOut gives up a connection that is still being made, and the attempt that waits for it.
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

// streamTimedOut aborts a streamed response that is not complete at the exchange's deadline. The client is about to give
// up: it learns that the response failed, rather than being left to wait. Streaming classes have no such timer.
func (inst *Instance) streamTimedOut(due timer) {
	if ex := inst.requests[due.request]; ex != nil && ex.state == Streaming {
		inst.closeConn(ex.streamingConn)
		inst.failAttempt(ex, ex.streamingAttempt, decision.TimedOut)
	}
}
