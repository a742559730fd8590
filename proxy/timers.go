package proxy

import (
	"time"

	"sandyard/decision"
)

// timerKind says what a timer is for.
type timerKind uint8

const (
	gatewayTimer timerKind = iota // handed back to the gateway
	attemptTimer                  // an attempt's time is up
	dialTimer                     // a connection took too long
	keeperTimer                   // the oldest keeper call is overdue
	keeperDial                    // the keeper is to be tried again
	sweepTimer                    // idle lines are to be looked at
	flowTimer                     // the client of a flowing answer gives up
)

// timer is an entry of the queue. It names its request by number, so that an entry keeps nothing alive.
type timer struct {
	at      time.Duration
	seq     uint64 // order of those that share a time
	request decision.RequestID
	line    *BackendConn
	n       int32
	kind    timerKind
	choice  decision.TimerKind
}

func (a *timer) before(b *timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// timers is a binary heap.
type timers struct {
	heap []timer
	seq  uint64
}

func (q *timers) push(t timer) {
	q.seq++
	t.seq = q.seq
	q.heap = append(q.heap, t)
	h := q.heap
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].before(&h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (q *timers) pop() timer {
	h := q.heap
	top, last := h[0], len(h)-1
	h[0], h[last] = h[last], timer{}
	q.heap = h[:last]
	h = q.heap
	for i := 0; ; {
		least := i
		for _, k := range [2]int{2*i + 1, 2*i + 2} {
			if k < len(h) && h[k].before(&h[least]) {
				least = k
			}
		}
		if least == i {
			return top
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
