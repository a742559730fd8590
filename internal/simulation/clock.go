package simulation

import (
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time. Events that share one run in the order of a drawn tie-break and then of their
// scheduling: which comes first depends on the seed, so that a sweep meets both orders.
type event struct {
	at  time.Duration
	tie uint32
	seq uint64
	run func()
}

func (a *event) before(b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if a.tie != b.tie {
		return a.tie < b.tie
	}
	return a.seq < b.seq
}

// clock is the queue of events, a binary heap.
type clock struct {
	now             time.Duration
	heap            []event
	seq             uint64
	events          uint64
	tieBreaks       *rand.Rand
	answerTieBreaks *rand.Rand // of scheduleAnswer
	digestState     hash.Hash64
	log             func(at time.Duration, what string) // nil: no log
}

func newClock(seed uint64) *clock {
	return &clock{tieBreaks: stream(seed, "ties"), answerTieBreaks: stream(seed, "answer ties"), digestState: fnv.New64a()}
}

// stream returns the random source of one purpose, so that more draws for one purpose don't change those of others.
func stream(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// schedule runs something at a time.
func (c *clock) schedule(t time.Duration, do func()) {
	c.push(t, uint32(c.tieBreaks.Uint32()>>24), do)
}

// scheduleAnswer is schedule for the times at which connections answer in place of their instance. Its tie-breaks are draws of their
// own: with those of schedule, each request would change the order of all events after it.
func (c *clock) scheduleAnswer(t time.Duration, do func()) {
	c.push(t, uint32(c.answerTieBreaks.Uint32()>>24), do)
}

// scheduleAfter runs something a while from now.
func (c *clock) scheduleAfter(d time.Duration, do func()) { c.schedule(c.now+max(0, d), do) }

// scheduleLast runs something after all other events of its time.
func (c *clock) scheduleLast(t time.Duration, do func()) { c.push(t, 1<<31, do) }

func (c *clock) push(t time.Duration, tie uint32, do func()) {
	c.seq++
	c.heap = append(c.heap, event{max(t, c.now), tie, c.seq, do})
	h := c.heap
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].before(&h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// step runs the next event; false: there is none until then.
func (c *clock) step(until time.Duration) bool {
	h := c.heap
	if len(h) == 0 || h[0].at > until {
		return false
	}
	e, n := h[0], len(h)-1
	h[0], h[n] = h[n], event{}
	c.heap = h[:n]
	h = c.heap
	for i := 0; ; {
		least := i
		for _, k := range [2]int{2*i + 1, 2*i + 2} {
			if k < n && h[k].before(&h[least]) {
				least = k
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	c.now = e.at
	c.events++
	e.run()
	return true
}

// logEvent hands what happened to the log, if there is one.
func (c *clock) logEvent(what string) {
	if c.log != nil {
		c.log(c.now, what)
	}
}
