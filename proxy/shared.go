package proxy

import (
	"sync/atomic"
	"time"

	"sandyard/config"
	"sandyard/internal/protocol"
)

// Start is the time at which the clocks of instances and emulators start in virtual time. It is well above zero, so that
// earlier events, such as the start of a backend's process, also have a time above zero.
const Start = 24 * time.Hour

// timerDelayMarginDivisor limits the margin for late timers to a quarter of the client's timeout. The rest is left for the
// backends.
const timerDelayMarginDivisor = 4

// Shared contains the configuration and the state that all parts of one instance use. It is safe for concurrent use; Config
// and Protocol must not change while the instance runs.
type Shared struct {
	Config                *config.Config
	Protocol              protocol.Protocol
	ReservedBytes         atomic.Int64 // memory reserved for requests (bytes); bounded by limits.memory
	ClientConns           atomic.Int64 // open client connections; maintained by the runtime
	expectedTimerDelay    atomic.Int64 // a time.Duration
	startPhase            atomic.Int32 // a startPhase
	closingAfterResponses atomic.Bool
	draining              atomic.Bool
}

// SetExpectedTimerDelay sets the expected delay of timers. Requests are answered earlier by this time.
func (s *Shared) SetExpectedTimerDelay(delay time.Duration) { s.expectedTimerDelay.Store(int64(delay)) }

// timerDelayMargin returns how much earlier a new exchange is answered because timers may fire late.
func (s *Shared) timerDelayMargin(timeout time.Duration) time.Duration {
	return min(time.Duration(s.expectedTimerDelay.Load()), timeout/timerDelayMarginDivisor)
}

// startPhase is how far the start of an instance has come.
type startPhase = int32

// The phases of a start. The zero value is that of an instance that has no need to wait for an endpoint list.
const (
	started               startPhase = iota // requests are accepted
	readyWithoutEndpoints                   // the instance reports that it is ready, and other requests are answered 503
	waitingForEndpoints                     // all requests are answered 503
)

// MarkStarting records that the instance has no usable endpoint list yet. Until MarkStarted, requests are answered 503.
func (s *Shared) MarkStarting() { s.startPhase.Store(waitingForEndpoints) }

// MarkReadyWithoutEndpoints makes an instance without a usable endpoint list report that it is ready; until MarkStarted, it
// answers other requests with 503. It reports false, and has no effect, if the instance is ready already.
func (s *Shared) MarkReadyWithoutEndpoints() bool {
	return s.startPhase.CompareAndSwap(waitingForEndpoints, readyWithoutEndpoints)
}

// MarkStarted records that the instance has a usable endpoint list. It reports false if it had one before.
func (s *Shared) MarkStarted() bool { return s.startPhase.Swap(started) != started }

// CloseAfterResponses starts the graceful shutdown: each response closes its connection, and requests are still accepted.
func (s *Shared) CloseAfterResponses() { s.closingAfterResponses.Store(true) }

// closesAfterResponse reports whether responses close their connections.
func (s *Shared) closesAfterResponse() bool { return s.closingAfterResponses.Load() }

// Draining reports whether new requests are rejected.
func (s *Shared) Draining() bool { return s.draining.Load() }

// RejectNewRequests continues the graceful shutdown: new requests are answered 503, and each response closes its
// connection.
func (s *Shared) RejectNewRequests() {
	s.closingAfterResponses.Store(true)
	s.draining.Store(true)
}

// reserve reserves n bytes of limits.memory. It reports false, and reserves nothing, if fewer bytes are left.
func (s *Shared) reserve(n int) bool {
	if s.ReservedBytes.Add(int64(n)) > int64(s.Config.Limits.Memory) {
		s.ReservedBytes.Add(-int64(n))
		return false
	}
	return true
}

// release returns n reserved bytes.
func (s *Shared) release(n int) { s.ReservedBytes.Add(-int64(n)) }
