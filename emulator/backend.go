// Package emulator implements the peers that a gateway is tested against: backends and the shared counter. They are models
// without I/O, clocks or goroutines. Each has a single owner, which passes times and bytes to it. Package server runs
// them on sockets, and the simulator runs the same code. Times are relative to an origin that the owner chooses, and must not
// decrease.
package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"sandyard/fault"
)

// workStream is the random stream of a backend's work, separate from other uses of the same seed.
const workStream = 7

// Job is a request at a backend.
type Job struct {
	ID            string        // of the request, for events
	Key           string        // idempotency key; "" for none
	RequestedWork time.Duration // work that the client requests; 0: drawn at random

	conn   *BackendConn
	seq    uint64        // number of the request on its connection
	work   float64       // seconds on a core at full speed
	endsAt time.Duration // when its work ends; in Backend.delayed: when its response is sent
}

// Conn returns the connection on which the request arrived.
func (j *Job) Conn() *BackendConn { return j.conn }

// Backend is an emulated backend: cores that process a queue of requests. If SlowStartTime is set, it begins in slow start.
// Faults can be set while it runs. A change of speed does not affect when work in progress ends.
type Backend struct {
	OnEvent func(Event) // called for each event; may be nil

	config       BackendConfig
	rng          *rand.Rand
	startedAt    time.Duration
	queue        []*Job
	running      []*Job // at most config.Cores
	delayed      []*Job // done; their responses are delayed by a fault
	keyExpiry    map[string]time.Duration
	nextKeySweep time.Duration

	faults    map[fault.Verb]float64 // values of the active faults; package fault defines the unit of each verb
	stalledAt time.Duration          // when the current stall began; 0: not stalled, so a stall must begin after time 0

	collapsed  bool
	recentWork []arrivedWork    // within the last OverloadTime
	slowdowns  []slowdownChange // while canCollapse, ordered by time
}

// NewBackend returns a backend that starts at now.
func NewBackend(c BackendConfig, now time.Duration) *Backend {
	return &Backend{config: c.withDefaults(), rng: rand.New(rand.NewPCG(c.Seed, workStream)), startedAt: now,
		keyExpiry: map[string]time.Duration{}, faults: map[fault.Verb]float64{}}
}

// Refuses reports whether the backend refuses new connections and closes the open ones.
func (b *Backend) Refuses() bool { return b.collapsed || b.hasFault(fault.Refuse) }

// HasCollapsed reports whether the backend has collapsed under load. A collapsed backend does not recover.
func (b *Backend) HasCollapsed() bool { return b.collapsed }

// InFlight returns the number of requests that are queued, in progress or delayed.
func (b *Backend) InFlight() int { return len(b.queue) + len(b.running) + len(b.delayed) }

// accept accepts a request. It returns the status of an immediate response, or 0 if the request is queued or in progress.
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
	j.work = b.drawWork() // even if the client requests some work, so that later draws don't depend on that
	if j.RequestedWork > 0 {
		j.work = j.RequestedWork.Seconds()
	}
	if b.recordArrival(now, j.work) { // before the check of the queue: rejected requests count as sent work, too
		b.collapsed = true
		b.emit(now, BackendCollapsed, j)
		return 503
	}
	if len(b.running) >= b.config.Cores && len(b.queue) >= b.config.Queue {
		return 503
	}
	if j.Key != "" {
		b.storeKey(now, j.Key)
	}
	if j.work == 0 && len(b.faults) == 0 && len(b.queue) == 0 {
		b.emit(now, RequestExecuted, j)
		return 200
	}
	b.queue = append(b.queue, j)
	b.startJobs(now)
	return 0
}

// drawWork draws the work of a request in seconds, from a lognormal distribution with the configured mean.
func (b *Backend) drawWork() float64 {
	mean, variation := b.config.Work.Seconds(), b.config.WorkVariation
	if variation <= 0 || mean == 0 {
		return mean
	}
	variance := math.Log(1 + variation*variation) // of the logarithm of the work
	return mean * math.Exp(b.rng.NormFloat64()*math.Sqrt(variance)-variance/2)
}

// storeKey stores an idempotency key for KeyTTL, and removes expired keys once per KeyTTL.
func (b *Backend) storeKey(now time.Duration, key string) {
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

// startJobs starts queued jobs on idle cores.
func (b *Backend) startJobs(now time.Duration) {
	if b.hasFault(fault.Hang) || b.stalledAt > 0 {
		return
	}
	for len(b.running) < b.config.Cores && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		j.endsAt = now + time.Duration(j.work/b.speed(now)*float64(time.Second))
		b.running = append(b.running, j)
	}
}

// Next returns when Advance must be called next; 0: nothing is due.
func (b *Backend) Next() time.Duration {
	if b.stalledAt > 0 || b.collapsed {
		return 0
	}
	var next time.Duration
	if !b.hasFault(fault.Hang) {
		next = earliestEnd(next, b.running)
	}
	return earliestEnd(next, b.delayed)
}

// earliestEnd returns the earliest of t and the ends of jobs. A t of 0 stands for none.
func earliestEnd(t time.Duration, jobs []*Job) time.Duration {
	for _, j := range jobs {
		if t == 0 || j.endsAt < t {
			t = j.endsAt
		}
	}
	return t
}

// Advance finishes the jobs that are due, in the order in which they end. It calls done for each job whose response must be
// sent.
func (b *Backend) Advance(now time.Duration, done func(*Job)) {
	if b.stalledAt > 0 || b.collapsed {
		return
	}
	for !b.hasFault(fault.Hang) {
		b.startJobs(now)
		j := b.removeEnded(now)
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

// removeEnded removes and returns the running job that ended first, or nil if none has ended by now.
func (b *Backend) removeEnded(now time.Duration) *Job {
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

// dropQueued drops the queued jobs of a closed connection. Jobs in progress continue.
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

// loadReport returns the load that the backend reports: requests in flight, and the share of its cores that are busy.
func (b *Backend) loadReport(now time.Duration) (inFlight, utilization float64) {
	inFlight, utilization = float64(b.InFlight()), float64(len(b.running))/float64(b.config.Cores)
	if factor, ok := b.faults[fault.FalseReports]; ok {
		inFlight, utilization = inFlight*factor, utilization*factor
	}
	return inFlight, utilization
}
