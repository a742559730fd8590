package soak

import (
	"sync"
	"time"
)

// request is one request of a client, with all that was seen of it. Times count from the run's origin; 0: it did not come
// to that.
type request struct {
	id             string
	class          *class
	timeout        time.Duration
	connectedAt    time.Duration // when its connection was made
	writtenAt      time.Duration // when its last byte was
	endedAt        time.Duration // when its response was whole, or its connection ended
	leftAt         time.Duration // when its client closed the connection, without an answer
	firstOfConn    bool
	status         int // of the response; 0: there was none
	extraResponses bool
	connectionEnds bool // the connection ended without a whole response
	cutAtKill      bool // it was open when the process was killed
	attempts       []receipt
}

// receipt is a request as a backend received it.
type receipt struct {
	backend     int
	firstByteAt time.Duration
	wholeAt     time.Duration
	runs        bool          // the backend may act on it
	deadline    time.Duration // that the instance told: how long it will wait
}

// notice is a change of the endpoint list, and when the instance counts as told.
type notice struct {
	Change
	notifiedAt  time.Duration
	atStart     bool          // it counts as told from the first moment of the process
	withdrawnAt time.Duration // when an older list named the backend as active again; 0: none did
}

// record is what was seen of a run. All goroutines of the run add to it.
type record struct {
	origin time.Time

	mu        sync.Mutex
	requests  map[string]*request
	order     []*request
	notices   []notice
	unknown   []string // identities that backends received and no client sent
	instance  instanceFacts
	connects  int // that clients tried after ready
	refused   int // of them
	unread    int // new connections that ended without a response, with a crowd
	termAt    time.Duration
	killedAt  time.Duration // 0: the process ended by itself before
	endedAt   time.Duration // of the process
	readyTime time.Duration // from its start
}

// instanceFacts are what was seen of the instance's process.
type instanceFacts struct {
	exit        error  // as the process ended by itself; nil: with status 0
	crash       string // the first line of a panic in its log
	idleExcess  int    // descriptors that an idle instance did not give back
	memoryGrown int64  // bytes
	threads     string // what its threads did at the kill
}

func newRecord() *record { return &record{origin: time.Now(), requests: map[string]*request{}} }

func (r *record) now() time.Duration { return time.Since(r.origin) }

// sent notes a request that is about to be written.
func (r *record) sent(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[req.id] = req
	r.order = append(r.order, req)
}

// has reports whether a client sent a request.
func (r *record) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id] != nil
}

// received notes what a backend received.
func (r *record) received(id string, receipt receipt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req := r.requests[id]; req != nil {
		req.attempts = append(req.attempts, receipt)
	} else {
		r.unknown = append(r.unknown, id)
	}
}

// update changes what is known, under the lock.
func (r *record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}
