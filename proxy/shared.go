package proxy

import (
	"sync/atomic"
	"time"

	"sandyard/config"
	"sandyard/internal/protocol"
)

// Start is the time at which an instance's clock begins in virtual time, and an emulator's. It is well above zero, so that
// what happened before the process started, above all the start of a backend's process, has a time above zero, too.
const Start = 24 * time.Hour

// maxLatenessMarginDivisor bounds the margin for late timers by a part of the client's timeout: the rest is the backends'.
const maxLatenessMarginDivisor = 4

// Shared is what the parts of one instance have in common. All goroutines may use it; Config and Protocol are not changed
// once the instance runs.
type Shared struct {
	Config                *config.Config
	Protocol              protocol.Protocol
	ReservedBytes         atomic.Int64 // memory held for requests, in bytes; bounded by limits.memory
	ClientConns           atomic.Int64 // open client connections; counted by the runtime
	expectedLateness      atomic.Int64 // a time.Duration
	starting              atomic.Bool
	closingAfterResponses atomic.Bool
	draining              atomic.Bool
}

// ExpectLateness says how late timers may be: answers come earlier by as much.
func (s *Shared) ExpectLateness(late time.Duration) { s.expectedLateness.Store(int64(late)) }

// latenessMargin is how much earlier an exchange that arrives is answered, since timers may be late.
func (s *Shared) latenessMargin(timeout time.Duration) time.Duration {
	return min(time.Duration(s.expectedLateness.Load()), timeout/maxLatenessMarginDivisor)
}

// MarkStarting says that the instance has no endpoint list yet that it may go by: requests are answered 503.
func (s *Shared) MarkStarting() { s.starting.Store(true) }

// MarkStarted ends what MarkStarting began.
func (s *Shared) MarkStarted() { s.starting.Store(false) }

// CloseAfterResponses begins the graceful shutdown: responses close their connections, and requests are still accepted.
func (s *Shared) CloseAfterResponses() { s.closingAfterResponses.Store(true) }

// closesAfterResponse reports whether responses close their connections.
func (s *Shared) closesAfterResponse() bool { return s.closingAfterResponses.Load() }

// Draining reports whether requests are not accepted any more.
func (s *Shared) Draining() bool { return s.draining.Load() }

// RejectNewRequests continues the graceful shutdown: new requests are answered 503, and responses close their connections.
func (s *Shared) RejectNewRequests() {
	s.closingAfterResponses.Store(true)
	s.draining.Store(true)
}

// reserve reserves n bytes of limits.memory, and reports false where less is left.
func (s *Shared) reserve(n int) bool {
	if s.ReservedBytes.Add(int64(n)) > int64(s.Config.Limits.Memory) {
		s.ReservedBytes.Add(-int64(n))
		return false
	}
	return true
}

// release gives n reserved bytes back.
func (s *Shared) release(n int) { s.ReservedBytes.Add(-int64(n)) }
