package decision

import "slices"

// This file converts a gateway to a State, table by table. restore.go implements the other direction.

func (a *movingAverage) state() AverageState {
	return AverageState{Value: a.value, Weight: a.weight, Gap: a.gap, At: a.updatedAt}
}

func (a *movingAverage) restore(s AverageState) {
	a.value = s.Value
	a.weight = s.Weight
	a.gap = s.Gap
	a.updatedAt = s.At
}

func averageStates(averages []movingAverage) []AverageState {
	var states []AverageState
	for i := range averages {
		states = append(states, averages[i].state())
	}
	return states
}

func restoreAverages(averages []movingAverage, states []AverageState) {
	for i := range states {
		averages[i].restore(states[i])
	}
}

// averages returns the estimator's averages in the order of State.Load.
func (l *loadEstimator) averages() [5]*movingAverage {
	return [5]*movingAverage{&l.reportedInFlight, &l.reportedCPU, &l.latencyRatio, &l.queuePosition, &l.badShare}
}

// numbering assigns indexes to values in the order in which they first occur.
type numbering[T comparable] struct {
	positions map[T]int
	all       []T
}

func (n *numbering[T]) position(x T) int {
	if i, ok := n.positions[x]; ok {
		return i
	}
	if n.positions == nil {
		n.positions = map[T]int{}
	}
	n.positions[x] = len(n.all)
	n.all = append(n.all, x)
	return len(n.all) - 1
}

func sortedKeys[K interface{ ~uint32 | ~uint64 | ~string }, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// snapshotter converts pointers to indexes while a snapshot is taken.
type snapshotter struct {
	customers numbering[*customerRecord]
	backends  numbering[*backendRecord]
	requests  numbering[*requestRecord]
}

// Snapshot returns the gateway's state between two events. Only the goroutine that owns the gateway may call it. It
// takes time in proportion to the number of known customers and requests. The error is that of the random source.
func (g *Gateway) Snapshot() (State, error) {
	random, err := g.randomSource.MarshalBinary()
	s := State{Random: random, Now: g.now, InFlight: g.load.inFlight}
	if !g.settings.Counter { // with a counter, no customer whose plan has a burst depends on StartedAt
		s.StartedAt = g.startedAt
	}
	g.load.snapshot(&s)
	g.admission.snapshot(&s)
	g.serviceRate.snapshot(&s)
	s.ClassFailureRate = averageStates(g.failureRates.byClass)
	for _, latency := range g.classLatency {
		s.ClassLatency = append(s.ClassLatency, [2]float64{latency.mean, latency.deviation})
	}
	var positions snapshotter
	positions.numberTables(g, &s)
	g.counter.snapshot(&s, &positions)
	s.SweepPosition = g.quotas.sweepPosition
	g.endpoints.snapshot(&s, &positions)
	// Requests refer to customers and backends, so customers and backends are converted after them.
	for _, request := range positions.requests.all {
		s.Requests = append(s.Requests, request.state(&positions))
	}
	for _, customer := range positions.customers.all {
		s.Customers = append(s.Customers, customer.state())
	}
	for _, backend := range positions.backends.all {
		s.Backends = append(s.Backends, backend.state())
	}
	return s, err
}

// numberTables assigns indexes to all records in the tables. Records that are only referenced by others get theirs
// later.
func (p *snapshotter) numberTables(g *Gateway, s *State) {
	for _, customer := range g.quotas.list {
		p.customers.position(customer)
	}
	s.ListedCustomers = len(g.quotas.list)
	for _, id := range sortedKeys(g.endpoints.known) {
		p.backends.position(g.endpoints.known[id])
	}
	s.KnownBackends = len(g.endpoints.known)
	for _, id := range sortedKeys(g.requests) {
		p.requests.position(g.requests[id])
	}
	s.KnownRequests = len(g.requests)
}

func (l *loadEstimator) snapshot(s *State) {
	s.LoadSampledAt = l.sampledAt
	for i, average := range l.averages() {
		s.Load[i] = average.state()
	}
}

func (a *admissionControl) snapshot(s *State) {
	for _, c := range a.controllers {
		s.Controllers = append(s.Controllers, ControllerState{AdmitRatio: c.admitRatio, LastError: c.lastError, AdmittedWork: c.admittedWork, OfferedWork: c.offeredWork})
	}
}

func (e *serviceRateEstimator) snapshot(s *State) {
	s.Throughput = e.throughput.state()
	s.EffectiveCapacity = e.effectiveCapacity.state()
	s.ServiceRate = e.value
	s.HeldBackUntil = e.heldBackUntil
	s.SlowStartCheckRate = e.slowStartCheckRate.state()
	s.ChoiceRate = e.choiceRate.state()
	s.SlowStartChecksInPeriod = e.slowStartChecks
	s.ChoicesInPeriod = e.choicesMade
	s.SuccessesInPeriod = e.successes
	s.AttemptsEndedInPeriod = e.attemptsEnded
}

func (c *counterSync) snapshot(s *State, positions *snapshotter) {
	s.InsideShare = averageStates(c.insideShare)
	s.ReportedUseShare = c.reportedUseShare.state()
	s.CounterCallProbability = c.callProbability
	s.CounterLastBadCallAt = c.lastBadCallAt
	for _, customer := range c.pendingUseQueue {
		s.PendingUseQueue = append(s.PendingUseQueue, positions.customers.position(customer))
	}
	for _, name := range sortedKeys(c.calls) {
		for _, call := range c.calls[name] {
			s.CounterCalls = append(s.CounterCalls, call.state(name, positions))
		}
	}
}

func (call *counterCall) state(name string, positions *snapshotter) CallState {
	state := CallState{
		Name:         name,
		Customer:     positions.customers.position(call.customer),
		UnitWeight:   call.unitWeight,
		PendingUnits: call.pendingUnits,
		SentAt:       call.sentAt,
	}
	if call.request != nil {
		state.Request = positions.requests.position(call.request) + 1
	}
	return state
}

func (t *endpointTable) snapshot(s *State, positions *snapshotter) {
	s.ProbeTurn = t.probeTurn
	s.WatchPending = t.watchPending
	for _, backend := range t.up {
		s.UpBackends = append(s.UpBackends, positions.backends.position(backend))
	}
}

func (request *requestRecord) state(positions *snapshotter) RequestState {
	state := RequestState{
		ID:             request.id,
		Class:          request.class,
		Customer:       positions.customers.position(request.customer),
		Units:          request.units,
		ArrivedAt:      request.arrivedAt,
		Deadline:       request.deadline,
		MayHaveRun:     request.mayHaveRun,
		Ended:          request.ended,
		Streaming:      request.streaming,
		FirstRunSentAt: request.firstRunSentAt,
		CounterName:    request.counterName,
		CounterWeight:  request.counterWeight,
		AddedToCounter: request.addedToCounter,
		RejectReason:   request.rejectReason,
	}
	if request.firstRunBackend != nil {
		state.FirstRunBackend = positions.backends.position(request.firstRunBackend) + 1
	}
	for _, a := range request.attempts {
		state.Attempts = append(state.Attempts, AttemptState{Backend: positions.backends.position(a.backend), SentAt: a.sentAt, QueuePosition: a.queuePosition, Open: a.open})
	}
	return state
}

func (customer *customerRecord) state() CustomerState {
	return CustomerState{
		ID:                     customer.id,
		Instances:              customer.instances,
		Plan:                   customer.plan,
		UsesCounter:            customer.usesCounter,
		PendingUseQueued:       customer.pendingUseQueued,
		LastUsedAt:             customer.lastUsedAt,
		RefilledAt:             customer.refilledAt,
		Tokens:                 customer.tokens,
		SplitThreshold:         customer.splitThreshold,
		CeilingTokens:          customer.ceilingTokens,
		CounterTotal:           customer.counterTotal,
		CounterTotalAt:         customer.counterTotalAt,
		OverQuotaUntil:         customer.overQuotaUntil,
		CounterDistrustedUntil: customer.counterDistrustedUntil,
		PendingUse:             customer.pendingUse,
		RecentDemand:           customer.recentDemand,
		PendingUseDueAt:        customer.pendingUseDueAt,
		InFlight:               customer.inFlight,
	}
}

func (backend *backendRecord) state() BackendState {
	state := BackendState{
		Endpoint:            backend.Endpoint,
		InFlight:            backend.inFlight,
		AnswerDueAt:         backend.answerDueAt,
		Slowness:            backend.slowness,
		WarmingUp:           backend.warmingUp,
		StartedAt:           backend.startedAt,
		SlowStartTokens:     backend.slowStartTokens,
		SlowStartThreshold:  backend.slowStartThreshold,
		SlowStartRefilledAt: backend.slowStartRefilledAt,
	}
	for _, history := range backend.outcomes {
		state.Failures = append(state.Failures, history.failures)
		state.Attempts = append(state.Attempts, history.attempts)
		state.OutcomesAt = append(state.OutcomesAt, history.updatedAt)
	}
	return state
}
