package proxy

import (
	"time"

	"sandyard/decision"
)

// timerKind says what a timer is for.
type timerKind uint8

const (
	gatewayTimer     timerKind = iota // handed back to the gateway
	attemptTimer                      // an attempt's time is up
	dialTimer                         // a connection took too long
	counterTimer                      // the oldest keeper call is overdue
	counterDialTimer                  // the keeper is to be tried again
	idleSweepTimer                    // idle lines are to be looked at
	streamTimer                       // the client of a flowing answer gives up
)

// timer is an entry of the queue. It names its request by number, so that an entry keeps nothing alive.
type timer struct {
	at          time.Duration
	seq         uint64 // order of those that share a time
	request     decision.RequestID
	conn        *BackendConn
	attempt     int32
	kind        timerKind
	gatewayKind decision.TimerKind
}

func (t *timer) before(other *timer) bool {
	return t.at < other.at || t.at == other.at && t.seq < other.seq
}

// timerQueue is a binary heap.
type timerQueue struct {
	heap []timer
	seq  uint64
}

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

func (q *timerQueue) pop() timer {
	heap := q.heap
	top, last := heap[0], len(heap)-1
	heap[0], heap[last] = heap[last], timer{}
	q.heap = heap[:last]
	heap = q.heap
	for i := 0; ; {
		least := i
		for _, k := range [2]int{2*i + 1, 2*i + 2} {
			if k < len(heap) && heap[k].before(&heap[least]) {
				least = k
			}
		}
		if least == i {
			return top
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}

// NextTimer is when Tick has to be called if nothing else happens.
func (inst *Instance) NextTimer() time.Duration { return inst.timers.heap[0].at }

// Tick takes note of the time.
func (inst *Instance) Tick(now time.Duration) {
	inst.advanceTo(now)
	for len(inst.timers.heap) > 0 && inst.timers.heap[0].at <= inst.now {
		due := inst.timers.pop()
		switch due.kind {
		case gatewayTimer:
			inst.queueEvent(decision.TimerFired{Timer: decision.Timer{Kind: due.gatewayKind, Request: due.request}})
		case attemptTimer:
			ex := inst.requests[due.request]
			if ex == nil || !ex.attempts[due.attempt].open || ex.state == Streaming && ex.streamingAttempt == int(due.attempt) {
				break
			}
			inst.abandonAttempt(ex, int(due.attempt), decision.TimedOut)
		case dialTimer:
			if conn := due.conn; conn.state == connDialing {
				ex, index := conn.exchange, conn.attempt
				inst.closeConn(conn)
				if ex != nil {
					inst.failAttempt(ex, index, decision.ConnectFailed)
				}
			}
		case counterTimer:
			inst.reportLateCounterCalls()
		case counterDialTimer:
			inst.dialCounter()
		case streamTimer: // its client is about to give up: it is told that the answer failed, rather than left waiting
			if ex := inst.requests[due.request]; ex != nil && ex.state == Streaming {
				inst.closeConn(ex.streamingConn)
				inst.failAttempt(ex, ex.streamingAttempt, decision.TimedOut)
			}
		case idleSweepTimer:
			inst.closeExpiredIdleConns()
			inst.timers.push(timer{at: inst.now + idleSweepInterval, kind: idleSweepTimer})
		}
		inst.drainEvents()
	}
}
