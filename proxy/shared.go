package proxy

import (
	"sync/atomic"
	"time"

	"sandyard/config"
	"sandyard/internal/protocol"
)

// Start is the time at which a front door's clock begins in virtual time, and a stand-in's: well above zero, so that what happened before its
// process started (a box's start, above all) has a time, too.
const Start = 24 * time.Hour

// Shared is what the parts of one front door have in common. Its counters may be used by all goroutines.
type Shared struct {
	Config                *config.Config
	Protocol              protocol.Protocol
	ReservedBytes         atomic.Int64 // bytes of bodies held
	ClientConns           atomic.Int64 // connections
	starting              atomic.Bool
	closingAfterResponses atomic.Bool
	draining              atomic.Bool
}

// MarkStarting says that the front door has no list yet that it may go by: requests are refused, and it is not ready.
func (s *Shared) MarkStarting() { s.starting.Store(true) }

// MarkStarted ends that.
func (s *Shared) MarkStarted() { s.starting.Store(false) }

// CloseAfterResponses begins the end: answers close their connections, but requests are still taken.
func (s *Shared) CloseAfterResponses() { s.closingAfterResponses.Store(true) }

// closesAfterResponse tells whether answers close their connections.
func (s *Shared) closesAfterResponse() bool { return s.closingAfterResponses.Load() }

// Draining tells whether the front door is shutting down: it takes no more requests.
func (s *Shared) Draining() bool { return s.draining.Load() }

// RejectNewRequests ends the taking of requests: new ones are refused, and answers close their connections.
func (s *Shared) RejectNewRequests() {
	s.closingAfterResponses.Store(true)
	s.draining.Store(true)
}

// reserve takes room for n bytes, if limits.memory has it.
func (s *Shared) reserve(n int) bool {
	if s.ReservedBytes.Add(int64(n)) > int64(s.Config.Limits.Memory) {
		s.ReservedBytes.Add(-int64(n))
		return false
	}
	return true
}

func (s *Shared) release(n int) { s.ReservedBytes.Add(-int64(n)) }
