// Package emulator has the peers that a gateway is tried against: backends and the shared counter. They are models: pure
// code that is handed times and bytes, without I/O, clocks or goroutines, with one owner each. Sockets and the simulator
// run the same ones. Times count from an origin that the owner chooses; they must not go back.
package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"sandyard/fault"
)

// workStream keeps the draws of a backend's work apart from other uses of its seed.
const workStream = 7

// Job is a request as a backend sees it.
type Job struct {
	ID            string        // of the request, for the record
	Key           string        // its idempotency key; "" for none
	RequestedWork time.Duration // that the client asks for; 0: drawn

	conn   *BackendConn
	seq    uint64  // of the connection's requests
	work   float64 // seconds on a warm core
	endsAt time.Duration
}

// Conn returns the connection that the job came on.
func (j *Job) Conn() *BackendConn { return j.conn }

// Backend is a backend: cores that work on a queue, in slow start at first if SlowStartTime is set, with faults to be set while it runs. Work in
// progress keeps the end that it was given when the speed changes.
type Backend struct {
	Facts func(Fact) // called with everything that happens; may be nil

	config       BackendConfig
	rng          *rand.Rand
	startedAt    time.Duration
	queue        []*Job
	running      []*Job // at most config.Cores
	delayed      []*Job // done, but their responses are held back
	keyExpiry    map[string]time.Duration
	nextKeySweep time.Duration

	faults    map[fault.Verb]float64
	stalledAt time.Duration // since when it stands still; 0: it does not

	collapsed  bool
	recentWork []arrivedWork    // within the last OverloadTime
	slowdowns  []slowdownChange // during slow start, in the order of times
}

// NewBackend starts a backend.
func NewBackend(c BackendConfig, now time.Duration) *Backend {
	return &Backend{config: c.withDefaults(), rng: rand.New(rand.NewPCG(c.Seed, workStream)), startedAt: now,
		keyExpiry: map[string]time.Duration{}, faults: map[fault.Verb]float64{}}
}

// Refuses reports whether connections are refused, and those there are closed.
func (b *Backend) Refuses() bool { return b.collapsed || b.faulty(fault.Refuse) }

// HasCollapsed reports whether the backend collapsed under load; it stays down.
func (b *Backend) HasCollapsed() bool { return b.collapsed }

// InFlight returns how many requests the backend holds.
func (b *Backend) InFlight() int { return len(b.queue) + len(b.running) + len(b.delayed) }

// accept takes a request in. The status is that of an immediate response, or 0 if the request is queued or in work.
func (b *Backend) accept(now time.Duration, j *Job) (status int) {
	b.emit(now, RequestReceived, j)
	if share, ok := b.faults[fault.ServerErrors]; ok && b.rng.Float64() < share {
		return 500
	}
	if j.Key != "" {
		if until, ok := b.keyExpiry[j.Key]; ok && now < until {
			b.emit(now, RepeatDiscarded, j)
			return 200
		}
	}
	j.work = b.drawWork() // also where the client asks for some, so that later draws don't depend on it
	if j.RequestedWork > 0 {
		j.work = j.RequestedWork.Seconds()
	}
	if b.overloads(now, j.work) { // what a full queue rejects was sent all the same
		b.collapsed = true
		b.emit(now, BackendCollapsed, j)
		return 503
	}
	if len(b.running) >= b.config.Cores && len(b.queue) >= b.config.Queue {
		return 503
	}
	if j.Key != "" {
		b.rememberKey(now, j.Key)
	}
	if j.work == 0 && len(b.faults) == 0 && len(b.queue) == 0 {
		b.emit(now, RequestExecuted, j)
		return 200
	}
	b.queue = append(b.queue, j)
	b.startJobs(now)
	return 0
}

// drawWork draws the work of a request in seconds, lognormal about the mean.
func (b *Backend) drawWork() float64 {
	mean, variation := b.config.Work.Seconds(), b.config.WorkVariation
	if variation <= 0 || mean == 0 {
		return mean
	}
	variance := math.Log(1 + variation*variation) // of the work's logarithm
	return mean * math.Exp(b.rng.NormFloat64()*math.Sqrt(variance)-variance/2)
}

// rememberKey keeps an idempotency key for KeyTTL, and forgets expired ones once in that time.
func (b *Backend) rememberKey(now time.Duration, key string) {
	b.keyExpiry[key] = now + b.config.KeyTTL
	if now < b.nextKeySweep {
		return
	}
	b.nextKeySweep = now + b.config.KeyTTL
	for k, until := range b.keyExpiry {
		if now >= until {
			delete(b.keyExpiry, k)
		}
	}
}

// startJobs gives idle cores work.
func (b *Backend) startJobs(now time.Duration) {
	if b.faulty(fault.Hang) || b.stalledAt > 0 {
		return
	}
	for len(b.running) < b.config.Cores && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		j.endsAt = now + time.Duration(j.work/b.speed(now)*float64(time.Second))
		b.running = append(b.running, j)
	}
}

// Next returns when Advance has something to do; 0: nothing ends by itself.
func (b *Backend) Next() time.Duration {
	if b.stalledAt > 0 || b.collapsed {
		return 0
	}
	var next time.Duration
	if !b.faulty(fault.Hang) {
		next = earliestEnd(next, b.running)
	}
	return earliestEnd(next, b.delayed)
}

// earliestEnd returns the earliest of a time and the ends of jobs; 0 stands for none.
func earliestEnd(t time.Duration, jobs []*Job) time.Duration {
	for _, j := range jobs {
		if t == 0 || j.endsAt < t {
			t = j.endsAt
		}
	}
	return t
}

// Advance ends what is due, in the order of ends. done is called for each job whose response is to be sent.
func (b *Backend) Advance(now time.Duration, done func(*Job)) {
	if b.stalledAt > 0 || b.collapsed {
		return
	}
	for !b.faulty(fault.Hang) {
		b.startJobs(now)
		j := b.takeEnded(now)
		if j == nil {
			break
		}
		b.emit(j.endsAt, RequestExecuted, j)
		if ms, ok := b.faults[fault.Delay]; ok {
			j.endsAt += time.Duration(ms * float64(time.Millisecond))
			b.delayed = append(b.delayed, j)
			continue
		}
		done(j)
	}
	b.releaseDelayed(now, done)
}

// takeEnded removes the running job that ended first; nil if none has by now.
func (b *Backend) takeEnded(now time.Duration) *Job {
	ended := -1
	for i, j := range b.running {
		if j.endsAt <= now && (ended < 0 || j.endsAt < b.running[ended].endsAt) {
			ended = i
		}
	}
	if ended < 0 {
		return nil
	}
	j := b.running[ended]
	b.running = append(b.running[:ended], b.running[ended+1:]...)
	return j
}

func (b *Backend) releaseDelayed(now time.Duration, done func(*Job)) {
	for i := 0; i < len(b.delayed); {
		j := b.delayed[i]
		if j.endsAt > now {
			i++
			continue
		}
		b.delayed = append(b.delayed[:i], b.delayed[i+1:]...)
		done(j)
	}
}

// dropQueued drops the queued jobs of a closed connection; work that has begun goes on.
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

// loadReport returns what the backend reports: requests held, and the share of its cores in work.
func (b *Backend) loadReport(now time.Duration) (inFlight, utilization float64) {
	inFlight, utilization = float64(b.InFlight()), float64(len(b.running))/float64(b.config.Cores)
	if factor, ok := b.faults[fault.FalseReports]; ok {
		inFlight, utilization = inFlight*factor, utilization*factor
	}
	return inFlight, utilization
}
