package proxy

// Stats counts what an instance has done since its start.
type Stats struct {
	Arrived            uint64 // requests passed to the decision gateway
	Served             uint64 // requests with a complete response from a backend
	RejectedOverQuota  uint64 // answered 429
	RejectedNoCapacity uint64 // answered 503 by decision
	Failed             uint64 // answered 502 or 504
	ClientsLeft        uint64 // requests whose client left before the answer, or while it was streamed
	BrokenResponses    uint64 // streamed responses that were cut off
	Attempts           uint64 // excluding health checks
	Dials              uint64 // connections to backends that were dialled
	Probes             uint64 // health checks
	CounterCalls       uint64 // calls requested by the decision gateway
	CounterTimeouts    uint64 // counter calls without a reply within the counter timeout
	CounterMalformed   uint64 // counter connections closed because of malformed or unexpected replies
	IgnoredEvents      uint64 // actions of the decision gateway that were dropped: the exchange had ended, or the state table does not accept them
}

// Counts returns the statistics in a fixed order, for digests that compare two runs.
func (s *Stats) Counts() []uint64 {
	return []uint64{s.Arrived, s.Served, s.RejectedOverQuota, s.RejectedNoCapacity, s.Failed, s.ClientsLeft, s.BrokenResponses, s.Attempts, s.Dials,
		s.Probes, s.CounterCalls, s.CounterTimeouts, s.CounterMalformed, s.IgnoredEvents}
}
