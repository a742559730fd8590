// Package emulator has the peers that a front door is tried against: boxes, the tally keeper and clients. They are
// models: pure code fed with times and bytes, without I/O, clocks or goroutines, one owner each. Sockets and virtual
// time run the same ones.
package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"sandyard/fault"
)

// BackendConfig describes a box. The zero value of a field stands for its default.
type BackendConfig struct {
	Name           string
	Cores          int           // that work at once; 2
	Queue          int           // requests that wait beside those in work; beyond them 503 at once; 24
	Work           time.Duration // mean work of a request on a warm core; 0 answers at once
	Spread         float64       // coefficient of variation of the work
	ColdShare      float64       // speed at the start, as a share of the warm one; 1
	ColdTime       time.Duration // until it is warm
	OverloadFactor float64       // work within OverloadTime of this multiple of what it can do then: it falls over
	OverloadTime   time.Duration
	KeyTTL         time.Duration // keyed repeats are discarded for so long
	Body           int           // bytes of an answer's body; 64
	Seed           uint64
}

func (c BackendConfig) orDefault() BackendConfig {
	if c.Cores <= 0 {
		c.Cores = 2
	}
	if c.Queue <= 0 {
		c.Queue = 24
	}
	if !(c.ColdShare > 0) || c.ColdShare > 1 {
		c.ColdShare = 1
	}
	if c.KeyTTL <= 0 {
		c.KeyTTL = 10 * time.Second
	}
	if c.Body <= 0 {
		c.Body = 64
	}
	return c
}

// Job is a request as a box sees it.
type Job struct {
	ID            string        // of the request, for the record
	Key           string        // Idempotency-Key; "" for none
	RequestedWork time.Duration // 0: drawn
	conn          *BackendConn
	seq           uint64 // of the conn's requests
	startedAt     time.Duration
	endsAt        time.Duration
	work          float64 // seconds of warm work
}

// Fact is something that happened at a box, for those who check the rules.
type Fact struct {
	At      time.Duration
	Backend string
	Kind    FactKind
	ID      string
	Key     string
}

// FactKind says what a Fact is.
type FactKind string

// The kinds.
const (
	Received     FactKind = "received" // a request is whole at the box
	Executed     FactKind = "ran"      // its effect took place
	Deduplicated FactKind = "repeated" // a keyed repeat was discarded
	Collapsed    FactKind = "fell"     // the box fell over
)

// Backend is a back-end server: cores that work on a queue, cold at its start, with faults to be set while it runs.
// Work in progress at the change of a speed keeps the end it was given.
type Backend struct {
	Facts func(Fact) // told of everything that happens; may be nil

	cfg          BackendConfig
	rng          *rand.Rand
	startedAt    time.Duration
	collapsed    bool
	queue        []*Job
	running      []*Job // at most cfg.Cores
	delayed      []*Job // done, but their answers are delayed
	keyExpiry    map[string]time.Duration
	nextKeySweep time.Duration
	faults       map[fault.Verb]float64
	recentWork   []arrivedWork    // of the last OverloadTime
	slowdowns    []slowdownChange // while it is cold
	busy         float64
	seen         time.Duration
	stalledAt    time.Duration // since when, if so
}

type arrivedWork struct {
	at      time.Duration
	seconds float64
}

// NewBackend starts a box.
func NewBackend(cfg BackendConfig, now time.Duration) *Backend {
	return &Backend{cfg: cfg.orDefault(), rng: rand.New(rand.NewPCG(cfg.Seed, 7)), startedAt: now, seen: now,
		keyExpiry: map[string]time.Duration{}, faults: map[fault.Verb]float64{}}
}

// Set begins or ends a fault.
func (b *Backend) Set(now time.Duration, v fault.Verb, value float64, on bool) {
	if v == fault.Stall {
		switch {
		case on && b.stalledAt == 0:
			b.stalledAt = now
		case !on && b.stalledAt > 0: // what was in work goes on where it was
			for _, j := range append(b.running, b.delayed...) {
				j.endsAt += now - b.stalledAt
			}
			b.stalledAt = 0
		}
	}
	if on {
		b.faults[v] = value
	} else {
		delete(b.faults, v)
	}
	if v == fault.Slow && now-b.startedAt < b.cfg.ColdTime+b.cfg.OverloadTime {
		for n := len(b.slowdowns); n > 0 && b.slowdowns[n-1].at > now; n = len(b.slowdowns) {
			b.slowdowns = b.slowdowns[:n-1]
		}
		at := now
		if on { // who sends can only notice with time
			at += b.cfg.OverloadTime
		}
		b.slowdowns = append(b.slowdowns, slowdownChange{at, b.slowdown()})
	}
}

func (b *Backend) faulty(v fault.Verb) bool { _, ok := b.faults[v]; return ok }

// Refuses tells that connections are refused, and those there are closed.
func (b *Backend) Refuses() bool { return b.collapsed || b.faulty(fault.Refuse) }

// HasCollapsed tells that the box fell over; it stays down.
func (b *Backend) HasCollapsed() bool { return b.collapsed }

// warmth is how fast a core works without troubles, as a share of a warm one.
func (b *Backend) warmth(now time.Duration) float64 {
	if b.cfg.ColdTime <= 0 {
		return 1
	}
	age := float64(now-b.startedAt) / float64(b.cfg.ColdTime)
	return b.cfg.ColdShare + (1-b.cfg.ColdShare)*min(1, max(0, age))
}

// speed is how fast a core works now, as a share of a warm one.
func (b *Backend) speed(now time.Duration) float64 { return b.warmth(now) / b.slowdown() }

// slowdown is how many times as long work takes.
func (b *Backend) slowdown() float64 {
	if f, ok := b.faults[fault.Slow]; ok && f > 0 {
		return f
	}
	return 1
}

func (b *Backend) emit(now time.Duration, k FactKind, j *Job) {
	if b.Facts != nil {
		b.Facts(Fact{At: now, Backend: b.cfg.Name, Kind: k, ID: j.ID, Key: j.Key})
	}
}

// drawWork is the work of a request, lognormal about the mean.
func (b *Backend) drawWork() float64 {
	mean := b.cfg.Work.Seconds()
	if b.cfg.Spread <= 0 || mean == 0 {
		return mean
	}
	s2 := math.Log(1 + b.cfg.Spread*b.cfg.Spread)
	return mean * math.Exp(b.rng.NormFloat64()*math.Sqrt(s2)-s2/2)
}

// accept begins a job, or answers it at once: status 0 means that it waits or works.
func (b *Backend) accept(now time.Duration, j *Job) (status int) {
	b.emit(now, Received, j)
	if share, ok := b.faults[fault.ServerErrors]; ok && b.rng.Float64() < share {
		return 500
	}
	if j.Key != "" {
		if until, ok := b.keyExpiry[j.Key]; ok && now < until {
			b.emit(now, Deduplicated, j)
			return 200
		}
	}
	j.work = b.drawWork()
	if j.RequestedWork > 0 {
		j.work = j.RequestedWork.Seconds()
	}
	if b.overloads(now, j.work) { // what is turned away was sent all the same
		b.collapsed = true
		b.emit(now, Collapsed, j)
		return 503
	}
	if len(b.running) >= b.cfg.Cores && len(b.queue) >= b.cfg.Queue {
		return 503
	}
	if j.Key != "" {
		b.rememberKey(now, j.Key)
	}
	if j.work == 0 && len(b.faults) == 0 && len(b.queue) == 0 {
		b.emit(now, Executed, j)
		return 200
	}
	b.queue = append(b.queue, j)
	b.startJobs(now)
	return 0
}

func (b *Backend) rememberKey(now time.Duration, key string) {
	b.keyExpiry[key] = now + b.cfg.KeyTTL
	if now >= b.nextKeySweep {
		b.nextKeySweep = now + b.cfg.KeyTTL
		for k, until := range b.keyExpiry {
			if now >= until {
				delete(b.keyExpiry, k)
			}
		}
	}
}

// overloads counts what was asked of a cold box of late against what it could do meanwhile: its speed over that time,
// as if it had stood at its first speed before it started. That a trouble slows it counts after OverloadTime, so that
// it does not fall from what was sent before anybody could notice.
func (b *Backend) overloads(now time.Duration, seconds float64) bool {
	if b.cfg.OverloadFactor <= 0 || b.cfg.OverloadTime <= 0 || now-b.startedAt >= b.cfg.ColdTime+b.cfg.OverloadTime {
		b.recentWork, b.slowdowns = nil, nil
		return false
	}
	b.recentWork = append(b.recentWork, arrivedWork{now, seconds})
	sum := 0.0
	first := len(b.recentWork)
	for i := len(b.recentWork) - 1; i >= 0 && b.recentWork[i].at > now-b.cfg.OverloadTime; i-- {
		sum, first = sum+b.recentWork[i].seconds, i
	}
	b.recentWork = b.recentWork[first:]
	return sum > b.cfg.OverloadFactor*b.capacity(now)*float64(b.cfg.Cores)
}

// capacity is what a core could do in the last OverloadTime, in seconds of warm work.
func (b *Backend) capacity(now time.Duration) float64 {
	from, sum := now-b.cfg.OverloadTime, 0.0
	for i := len(b.slowdowns); i >= 0 && now > from; i-- {
		since, slow := from, 1.0 // before the first change
		if i > 0 {
			since, slow = max(from, b.slowdowns[i-1].at), b.slowdowns[i-1].factor
		}
		if since < now {
			sum += (b.warmth(since) + b.warmth(now)) / 2 * (now - since).Seconds() / slow
			now = since
		}
	}
	return sum
}

// slowdownChange is a change of how slow a box is.
type slowdownChange struct {
	at     time.Duration
	factor float64
}

// startJobs gives idle cores work.
func (b *Backend) startJobs(now time.Duration) {
	if b.faulty(fault.Hang) || b.stalledAt > 0 {
		return
	}
	for len(b.running) < b.cfg.Cores && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		j.startedAt = now
		j.endsAt = now + time.Duration(j.work/b.speed(now)*float64(time.Second))
		b.running = append(b.running, j)
	}
}

// Next is when something ends; 0: nothing will by itself.
func (b *Backend) Next() time.Duration {
	if b.stalledAt > 0 || b.collapsed {
		return 0
	}
	var t time.Duration
	if !b.faulty(fault.Hang) {
		for _, j := range b.running {
			if t == 0 || j.endsAt < t {
				t = j.endsAt
			}
		}
	}
	for _, j := range b.delayed {
		if t == 0 || j.endsAt < t {
			t = j.endsAt
		}
	}
	return t
}

// Advance ends what is due. done is called for each job whose answer is to be sent.
func (b *Backend) Advance(now time.Duration, done func(*Job)) {
	if b.stalledAt > 0 || b.collapsed {
		return
	}
	for !b.faulty(fault.Hang) {
		b.startJobs(now)
		i := -1
		for k, j := range b.running {
			if j.endsAt <= now && (i < 0 || j.endsAt < b.running[i].endsAt) {
				i = k
			}
		}
		if i < 0 {
			break
		}
		j := b.running[i]
		b.running = append(b.running[:i], b.running[i+1:]...)
		b.emit(j.endsAt, Executed, j)
		b.busy += (j.endsAt - j.startedAt).Seconds()
		if ms, ok := b.faults[fault.Delay]; ok {
			j.endsAt += time.Duration(ms * float64(time.Millisecond))
			b.delayed = append(b.delayed, j)
			continue
		}
		done(j)
	}
	for i := 0; i < len(b.delayed); {
		if j := b.delayed[i]; j.endsAt <= now {
			b.delayed = append(b.delayed[:i], b.delayed[i+1:]...)
			done(j)
		} else {
			i++
		}
	}
}

// InFlight is how many requests the box holds.
func (b *Backend) InFlight() int { return len(b.queue) + len(b.running) + len(b.delayed) }

// loadReport is what the box reports: requests held, and the share of its cores in work.
func (b *Backend) loadReport(now time.Duration) (inFlight, use float64) {
	inFlight, use = float64(b.InFlight()), float64(len(b.running))/float64(b.cfg.Cores)
	if f, ok := b.faults[fault.FalseReports]; ok {
		inFlight, use = inFlight*f, use*f
	}
	return inFlight, use
}

// dropQueued drops a closed connection's waiting jobs; work that has begun goes on.
func (b *Backend) dropQueued(c *BackendConn) {
	kept := b.queue[:0]
	for _, j := range b.queue {
		if j.conn != c {
			kept = append(kept, j)
		}
	}
	clear(b.queue[len(kept):])
	b.queue = kept
}
