package server

import (
	"context"
	"time"
)

// A new instance has an endpoint list in its configuration, which may be old. What discovery's agent holds counts as known to the
// instance from its first moment, also while the agent is silent. So until discovery has answered, the instance begins no
// attempt: it rejects requests. While discovery is down that lasts for configuredListTimeout. After firstListReadyTimeout the
// instance reports that it is ready, because the platform requires that, and goes on rejecting requests.

const (
	// firstListReadyTimeout is how long a new instance is not ready while it waits for its first list: a second less than the 10 s
	// within which the platform wants a restarted process to be ready.
	firstListReadyTimeout = 9 * time.Second
	// configuredListTimeout is how long a new instance rejects requests while it waits for its first list. After it the list
	// in the configuration is used, since an instance that never serves is worse than an old list: the platform considers a
	// process that is not ready after 30 s as failed.
	configuredListTimeout = 29 * time.Second
	// firstListPoll is the interval of the checks, after configuredListTimeout, for an unhandled answer of discovery.
	firstListPoll = 20 * time.Millisecond
)

// firstListTimeouts are the times from the start of a new instance until it acts without a first list.
type firstListTimeouts struct {
	ready          time.Duration // until it reports that it is ready
	configuredList time.Duration // until it uses the list in its configuration
}

var defaultFirstListTimeouts = firstListTimeouts{ready: firstListReadyTimeout, configuredList: configuredListTimeout}

// startFirstListTimers starts the timers of firstListTimeouts. stop stops them.
func (w *endpointWatch) startFirstListTimers(ctx context.Context) (stop func()) {
	ready := time.AfterFunc(w.firstListTimeouts.ready, func() { w.server.post(firstListLate{}) })
	configured := time.AfterFunc(w.firstListTimeouts.configuredList, func() { w.timeOutFirstList(ctx) })
	return func() {
		ready.Stop()
		configured.Stop()
	}
}

// timeOutFirstList makes the instance use the list in its configuration. Before that it waits until the watch is idle, since
// discovery's answer may have arrived and be unread.
func (w *endpointWatch) timeOutFirstList(ctx context.Context) {
	for !w.input.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(firstListPoll):
		}
	}
	w.server.post(firstListTimedOut{})
}

// firstListLate reports that the first list has not come in firstListReadyTimeout: the instance is ready, and rejects requests.
type firstListLate struct{}

func (firstListLate) apply(s *Server, _ time.Duration) {
	if s.shared.MarkReadyWithoutEndpoints() {
		s.log.Warn("no list of boxes yet: ready, and requests are refused")
	}
}

// firstListTimedOut reports that configuredListTimeout has passed and no data of discovery is unhandled: the configured
// endpoint list may be used. Until then, or until endpointsConfirmed, requests are rejected.
type firstListTimedOut struct{}

func (firstListTimedOut) apply(s *Server, _ time.Duration) {
	if s.shared.MarkStarted() {
		s.log.Warn("no list of boxes: the configuration's list is used")
	}
}
