package simulation

import (
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// event is a callback at a virtual time. Events at the same time run in the order of a random tie-break and then of their
// scheduling. The seed decides which runs first, so that a sweep covers both outcomes of a race.
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

// clock is the virtual clock and its queue of events, a binary heap.
type clock struct {
	now               time.Duration
	heap              []event
	seq               uint64
	events            uint64
	tieBreaks         *rand.Rand
	responseTieBreaks *rand.Rand // for scheduleResponseDeadline
	digestState       hash.Hash64
	log               func(at time.Duration, what string) // nil: no log
}

func newClock(seed uint64) *clock {
	return &clock{tieBreaks: randomSource(seed, "ties"), responseTieBreaks: randomSource(seed, "answer ties"), digestState: fnv.New64a()}
}

// randomSource returns the random source for one purpose. Separate sources keep the draws for one purpose independent of
// those for others.
func randomSource(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// schedule runs do at time t.
func (c *clock) schedule(t time.Duration, do func()) {
	c.push(t, uint32(c.tieBreaks.Uint32()>>24), do)
}

// scheduleResponseDeadline is schedule for the deadlines at which client connections send a local response because their
// instance has not responded. Its tie-breaks come from a separate source. If they came from that of schedule, each request
// would change the order of all events after it.
func (c *clock) scheduleResponseDeadline(t time.Duration, do func()) {
	c.push(t, uint32(c.responseTieBreaks.Uint32()>>24), do)
}

// scheduleAfter runs do after d.
func (c *clock) scheduleAfter(d time.Duration, do func()) { c.schedule(c.now+max(0, d), do) }

// scheduleLast runs do at time t, after all other events of that time.
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

// step runs the next event. It returns false if no event is due by the time until.
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

// logEvent writes an event to the log, if there is one.
func (c *clock) logEvent(what string) {
	if c.log != nil {
		c.log(c.now, what)
	}
}
