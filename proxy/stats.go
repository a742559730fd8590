package proxy

// Stats counts what an instance has done since its start.
type Stats struct {
	Arrived            uint64 // requests that were handed to the decision gateway
	Served             uint64 // requests with a backend's complete response
	RejectedOverQuota  uint64 // answered 429
	RejectedNoCapacity uint64 // answered 503 by decision
	Failed             uint64 // answered 502 or 504
	ClientsLeft        uint64 // requests whose client left before its answer, or while that was streamed
	BrokenResponses    uint64 // streamed responses that broke off
	Attempts           uint64 // health checks excluded
	Dials              uint64 // connections to backends that were begun
	Probes             uint64 // health checks
	CounterCalls       uint64 // that the decision gateway asked for
	CounterLate        uint64 // counter calls without a reply within counter timeout
	CounterMalformed   uint64 // counter connections given up for what they sent
	IgnoredEvents      uint64 // actions of the decision gateway that the state table dropped
}

// Counts returns the figures in a fixed order, for digests that tell whether two runs did the same.
func (s *Stats) Counts() []uint64 {
	return []uint64{s.Arrived, s.Served, s.RejectedOverQuota, s.RejectedNoCapacity, s.Failed, s.ClientsLeft, s.BrokenResponses, s.Attempts, s.Dials,
		s.Probes, s.CounterCalls, s.CounterLate, s.CounterMalformed, s.IgnoredEvents}
}
