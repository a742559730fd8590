package soak

import (
	"sync"
	"time"
)

// request is a request of a client with everything observed about it. Times count from the origin of the run; 0: the event did
// not happen.
type request struct {
	id              string
	class           *class
	timeout         time.Duration
	connectedAt     time.Duration // when its connection was established
	writtenAt       time.Duration // when its last byte was written
	endedAt         time.Duration // when its response was complete, or its connection ended
	disconnectedAt  time.Duration // when its client closed the connection before an answer
	firstOfConn     bool          // it is the first request on its connection
	status          int           // of the response; 0: there was none
	extraResponses  bool          // more bytes followed the response
	connectionEnded bool          // the connection ended without a complete response
	openAtKill      bool          // the request was still unanswered when the process was killed
	attempts        []receipt
}

// receipt is a request as a backend received it.
type receipt struct {
	backend     int
	firstByteAt time.Duration
	completeAt  time.Duration
	mayRun      bool          // the backend may execute it
	deadline    time.Duration // how long the instance will wait, as stated in the request
}

// notice is a change of the endpoint list, with the time from which the instance counts as notified of it.
type notice struct {
	Change
	notifiedAt      time.Duration
	notifiedAtStart bool          // the instance counts as notified from the start of the process
	withdrawnAt     time.Duration // when an older list named the backend as active again; 0: none did
}

// record collects the observations of a run. All goroutines of the run add to it.
type record struct {
	origin time.Time

	mu        sync.Mutex
	requests  map[string]*request
	order     []*request // in the order of sending
	notices   []notice
	unknown   []string // request IDs that backends received and no client sent
	instance  instanceFacts
	connects  int // connections that clients tried to open once the instance was ready
	refused   int // connects that failed
	unread    int // new connections that ended without a response while idle connections filled the descriptors
	termAt    time.Duration
	killedAt  time.Duration // 0: the process ended by itself before the SIGKILL
	endedAt   time.Duration // when the process ended
	readyTime time.Duration // from the start of the process to readiness
}

// instanceFacts are observations of the process of the instance.
type instanceFacts struct {
	exit         error  // exit error if the process ended by itself; nil: status 0
	crash        string // first line of a panic or fatal error in its log
	idleExcess   int    // descriptors that an idle instance did not release
	memoryGrowth int64  // growth of resident memory since the start of the check (bytes)
	threads      string // states of its threads at the SIGKILL
}

func newRecord() *record { return &record{origin: time.Now(), requests: map[string]*request{}} }

func (r *record) now() time.Duration { return time.Since(r.origin) }

// sent records a request that is about to be written.
func (r *record) sent(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[req.id] = req
	r.order = append(r.order, req)
}

// has reports whether a client of this record sent the request.
func (r *record) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id] != nil
}

// received records a request that a backend received.
func (r *record) received(id string, receipt receipt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req := r.requests[id]; req != nil {
		req.attempts = append(req.attempts, receipt)
	} else {
		r.unknown = append(r.unknown, id)
	}
}

// update calls change with the mutex held.
func (r *record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}
