package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

// Timeouts of the dials of discovery's agent, which runs on this machine. docs/design/platform.md lists which sums of them must stay
// below the platform's bounds; TestEndpointUpdateDeadlines checks these sums.
const (
	// watchDialTimeout bounds a dial.
	watchDialTimeout = time.Second
	// minWatchBackoff is the first interval between the beginnings of two dials. It doubles, with jitter, up to maxWatchBackoff.
	minWatchBackoff = 100 * time.Millisecond
	// maxWatchBackoff bounds the interval, however long the drain grace is.
	maxWatchBackoff = time.Second
	// watchBackoffGraceDivisor bounds the interval to a quarter of the drain grace, since a change that discovery tells at its
	// return is heard only by the next dial. The rest is for handling the change and for a process that is delayed.
	watchBackoffGraceDivisor = 4
	// leastWatchBackoff is the interval if the drain grace is zero or very short. It limits the cost of dials.
	leastWatchBackoff = 10 * time.Millisecond
	// maxPendingDials is how many dials are in progress at a time: one that has its full time, and a new one at each interval,
	// since the kernel repeats a dial that got no answer only after a second.
	maxPendingDials = 2
)

// watchBackoffLimit returns the longest interval between the beginnings of two dials.
func watchBackoffLimit(drainGrace time.Duration) time.Duration {
	return min(max(drainGrace/watchBackoffGraceDivisor, leastWatchBackoff), maxWatchBackoff)
}

// jitter returns a random wait between d/2 and d, so that instances that lost discovery together do not reconnect together.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()/2) * float64(d))
}

// watchDialer establishes connections to discovery at one address. Only one goroutine at a time may use it.
type watchDialer struct {
	watch    *endpointWatch
	address  string
	limit    time.Duration // longest interval
	interval time.Duration // between the next dial and the one after it, before jitter
	dueAt    time.Time     // when the next dial may begin
	probedAt time.Duration // when the last dial began that reached discovery's machine, on the instance's clock
	// unreachableAt is when the last dial before the one that succeeded began; discovery could not be reached then.
	unreachableAt time.Duration
}

func newWatchDialer(watch *endpointWatch, address string) *watchDialer {
	d := &watchDialer{watch: watch, address: address, limit: watchBackoffLimit(watch.server.cfg.Settings.DrainGrace)}
	d.probedAt = watch.server.now()
	d.reset()
	return d
}

// reset makes the interval short again, after discovery was heard.
func (d *watchDialer) reset() { d.interval = min(minWatchBackoff, d.limit) }

// connect dials until a connection is established, and returns it, or nil once the context has ended. Before each wait it calls
// beforeWait with the time at which the last dial that reached discovery's machine began.
func (d *watchDialer) connect(ctx context.Context, beforeWait func(probedAt time.Duration)) *socket {
	dials := beginWatchDials(ctx, d.address)
	defer dials.end()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if !time.Now().Before(d.dueAt) {
			d.begin(dials)
		}
		timer.Reset(time.Until(d.dueAt))
		beforeWait(d.probedAt)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case result := <-dials.results:
			if socket := d.handleResult(dials, result); socket != nil {
				return socket
			}
		}
	}
}

// begin begins a dial and sets the time of the next one.
func (d *watchDialer) begin(dials *watchDials) {
	now := d.watch.server.now()
	dials.begin(&watchDial{beganAt: now, probedBefore: d.probedAt})
	d.probedAt = now
	d.dueAt = time.Now().Add(jitter(d.interval))
	d.interval = min(2*d.interval, d.limit)
}

// handleResult returns the connection of a dial, or nil if the dial failed.
func (d *watchDialer) handleResult(dials *watchDials, result watchDialResult) *socket {
	dials.remove(result.dial)
	if result.err == nil {
		d.unreachableAt = result.dial.probedBefore
		if d.probedAt != result.dial.beganAt { // a later dial has got no answer
			d.unreachableAt = d.probedAt
		}
		return result.socket
	}
	if result.dial.cancelled {
		return nil
	}
	if d.probedAt == result.dial.beganAt && isLocalFailure(result.err) {
		d.probedAt = result.dial.probedBefore
	}
	d.watch.logFailure(d.address, result.err)
	return nil
}

// isLocalFailure reports whether a dial failed for lack of a resource of this process or machine. Such a failure does not show
// whether discovery can be reached.
func isLocalFailure(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// watchDial is a dial in progress.
type watchDial struct {
	beganAt      time.Duration // on the instance's clock
	probedBefore time.Duration // when the last dial before it began that reached discovery's machine
	cancel       context.CancelFunc
	cancelled    bool // in favour of a newer dial
}

// watchDialResult is the end of a dial: a connection or an error.
type watchDialResult struct {
	dial   *watchDial
	socket *socket
	err    error
}

// watchDials are the dials of one call of connect, which gets their results.
type watchDials struct {
	ctx     context.Context
	cancel  context.CancelFunc
	address string
	pending []*watchDial // in the order of their beginnings; those that were cancelled end soon
	results chan watchDialResult
}

func beginWatchDials(ctx context.Context, address string) *watchDials {
	dials := &watchDials{address: address, results: make(chan watchDialResult)}
	dials.ctx, dials.cancel = context.WithCancel(ctx)
	return dials
}

// begin begins a dial. If maxPendingDials are in progress, it cancels the newest of them.
func (dials *watchDials) begin(dial *watchDial) {
	if n := len(dials.pending); n >= maxPendingDials {
		newest := dials.pending[n-1]
		newest.cancelled = true
		newest.cancel()
	}
	ctx, cancel := context.WithTimeout(dials.ctx, watchDialTimeout)
	dial.cancel = cancel
	dials.pending = append(dials.pending, dial)
	go func() { // ends with its result, which connect or end receives
		defer cancel()
		socket, err := dialTCP(ctx, dials.address, watchSilenceTimeout)
		dials.results <- watchDialResult{dial, socket, err}
	}()
}

// remove removes a dial that has ended.
func (dials *watchDials) remove(ended *watchDial) {
	for i, dial := range dials.pending {
		if dial == ended {
			dials.pending = append(dials.pending[:i], dials.pending[i+1:]...)
			return
		}
	}
}

// end cancels the dials that are in progress, and waits until they have ended.
func (dials *watchDials) end() {
	dials.cancel()
	for len(dials.pending) > 0 {
		result := <-dials.results
		dials.remove(result.dial)
		if result.socket != nil {
			result.socket.close()
		}
	}
}

// watchReplacement dials for the connection that replaces a silent watch. Only the goroutine of the watch uses it.
type watchReplacement struct {
	dialer      *watchDialer
	watchCtx    context.Context
	endWatch    context.CancelFunc // ends the watch: its unread data is still read
	cancel      context.CancelFunc // of the dials in progress; nil: there are none
	result      chan *socket       // their connection; nil if they were cancelled before they had one
	established *socket            // nil: none
}

// begin begins to dial. The watch ends when a connection is established.
func (r *watchReplacement) begin() {
	ctx, cancel := context.WithCancel(r.watchCtx)
	r.cancel, r.result = cancel, make(chan *socket, 1)
	result := r.result
	go func() { // ends with the dials; abandon waits for it
		socket := r.dialer.connect(ctx, func(time.Duration) {})
		if socket != nil {
			r.endWatch()
		}
		result <- socket
	}()
}

// abandon ends the dials, because the watch is not silent any more or has ended.
func (r *watchReplacement) abandon() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	r.cancel = nil
	r.established = <-r.result
}

// take ends the dials, and returns the connection that they established, or nil.
func (r *watchReplacement) take() *socket {
	r.abandon()
	return r.established
}
