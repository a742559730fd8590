package decision

import "math/rand/v2"

// This file restores a gateway from a State, table by table. snapshot.go implements the other direction.

// restorer converts indexes to pointers while it restores a gateway from a state. Each table is restored after the
// tables that it refers to.
type restorer struct {
	gateway   *Gateway
	state     *State
	customers []*customerRecord
	backends  []*backendRecord
	requests  []*requestRecord
}

// within reports whether i is an index of a table with n rows.
func within(i, n int) bool { return i >= 0 && i < n }

// Restore creates a gateway from a state that Snapshot returned for a gateway with the same settings. The new gateway
// continues as the old one would have. It sets no timers: those that the old gateway had set stay in force. The error
// is a *SettingsError or a *StateError.
func Restore(settings Settings, s State) (*Gateway, error) {
	g, _, err := New(settings, 0, s.Now)
	if err != nil {
		return nil, err
	}
	g.actions = nil
	g.startedAt = s.StartedAt
	if err := g.randomSource.UnmarshalBinary(s.Random); err != nil {
		return nil, &StateError{Table: "Random", Row: -1, Cause: err}
	}
	g.rng = rand.New(g.randomSource)
	r := &restorer{gateway: g, state: &s}
	if err := r.checkSizes(); err != nil {
		return nil, err
	}
	r.restoreEstimates()
	for _, restore := range []func() error{r.restoreCustomers, r.restoreBackends, r.restoreRequests, r.restoreCounter} {
		if err := restore(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// checkSizes checks the sizes of tables that depend on the settings, and the row counts against the sizes of their
// tables.
func (r *restorer) checkSizes() error {
	g, s := r.gateway, r.state
	checks := []struct {
		table string
		fits  bool
	}{
		{"Controllers", len(s.Controllers) == len(g.admission.controllers)},
		{"InsideShare", len(s.InsideShare) == len(g.counter.insideShare)},
		{"ClassFailureRate", len(s.ClassFailureRate) == len(g.failureRates.byClass)},
		{"ClassLatency", len(s.ClassLatency) == len(g.classLatency)},
		{"ListedCustomers", within(s.ListedCustomers, len(s.Customers)+1)},
		{"KnownBackends", within(s.KnownBackends, len(s.Backends)+1)},
		{"KnownRequests", within(s.KnownRequests, len(s.Requests)+1)},
	}
	for _, check := range checks {
		if !check.fits {
			return mismatch(check.table, -1)
		}
	}
	return nil
}

// restoreEstimates restores the fields that refer to no table.
func (r *restorer) restoreEstimates() {
	g, s := r.gateway, r.state
	g.load.sampledAt = s.LoadSampledAt
	g.load.inFlight = s.InFlight
	for i, average := range g.load.averages() {
		average.restore(s.Load[i])
	}
	for i, c := range s.Controllers {
		g.admission.controllers[i] = piController{admitRatio: c.AdmitRatio, lastError: c.LastError, admittedWork: c.AdmittedWork, offeredWork: c.OfferedWork}
	}
	restoreAverages(g.failureRates.byClass, s.ClassFailureRate)
	for i, latency := range s.ClassLatency {
		g.classLatency[i] = latencyEstimate{mean: latency[0], deviation: latency[1]}
	}
	g.serviceRate.restore(s)
	g.quotas.sweepPosition = s.SweepPosition
}

func (e *serviceRateEstimator) restore(s *State) {
	e.throughput.restore(s.Throughput)
	e.effectiveCapacity.restore(s.EffectiveCapacity)
	e.value = s.ServiceRate
	e.heldBackUntil = s.HeldBackUntil
	e.slowStartCheckRate.restore(s.SlowStartCheckRate)
	e.choiceRate.restore(s.ChoiceRate)
	e.slowStartChecks = s.SlowStartChecksInPeriod
	e.choicesMade = s.ChoicesInPeriod
	e.successes = s.SuccessesInPeriod
	e.attemptsEnded = s.AttemptsEndedInPeriod
}

func (r *restorer) restoreCustomers() error {
	quotas := &r.gateway.quotas
	for i, c := range r.state.Customers {
		if !within(c.Plan, len(quotas.plans)) {
			return mismatch("Customers", i)
		}
		customer := restoreCustomer(c, &quotas.plans[c.Plan])
		r.customers = append(r.customers, customer)
		if i < r.state.ListedCustomers {
			quotas.list = append(quotas.list, customer)
			quotas.customers[c.ID] = customer
		}
	}
	return nil
}

func restoreCustomer(c CustomerState, quota *planQuota) *customerRecord {
	return &customerRecord{
		id:                     c.ID,
		customerHash:           customerHash(c.ID),
		instances:              c.Instances,
		plan:                   c.Plan,
		quota:                  quota,
		usesCounter:            c.UsesCounter,
		pendingUseQueued:       c.PendingUseQueued,
		lastUsedAt:             c.LastUsedAt,
		refilledAt:             c.RefilledAt,
		tokens:                 c.Tokens,
		splitThreshold:         c.SplitThreshold,
		ceilingTokens:          c.CeilingTokens,
		counterTotal:           c.CounterTotal,
		counterTotalAt:         c.CounterTotalAt,
		overQuotaUntil:         c.OverQuotaUntil,
		counterDistrustedUntil: c.CounterDistrustedUntil,
		pendingUse:             c.PendingUse,
		recentDemand:           c.RecentDemand,
		pendingUseDueAt:        c.PendingUseDueAt,
		inFlight:               c.InFlight,
	}
}

func (r *restorer) restoreBackends() error {
	endpoints := &r.gateway.endpoints
	endpoints.probeTurn = r.state.ProbeTurn
	endpoints.watchPending = r.state.WatchPending
	classes := len(r.gateway.settings.Classes)
	for i, b := range r.state.Backends {
		if len(b.Failures) != classes || len(b.Attempts) != classes || len(b.OutcomesAt) != classes {
			return mismatch("Backends", i)
		}
		backend := restoreBackend(b)
		r.backends = append(r.backends, backend)
		if i < r.state.KnownBackends {
			endpoints.known[b.Endpoint.Backend] = backend
		}
	}
	for i, position := range r.state.UpBackends {
		if !within(position, len(r.backends)) {
			return mismatch("UpBackends", i)
		}
		endpoints.up = append(endpoints.up, r.backends[position])
	}
	return nil
}

func restoreBackend(b BackendState) *backendRecord {
	backend := &backendRecord{
		Endpoint:            b.Endpoint,
		inFlight:            b.InFlight,
		answerDueAt:         b.AnswerDueAt,
		slowness:            b.Slowness,
		warmingUp:           b.WarmingUp,
		startedAt:           b.StartedAt,
		slowStartTokens:     b.SlowStartTokens,
		slowStartThreshold:  b.SlowStartThreshold,
		slowStartRefilledAt: b.SlowStartRefilledAt,
	}
	for class := range b.Failures {
		backend.outcomes = append(backend.outcomes, outcomeHistory{failures: b.Failures[class], attempts: b.Attempts[class], updatedAt: b.OutcomesAt[class]})
	}
	return backend
}

func (r *restorer) restoreRequests() error {
	for i, q := range r.state.Requests {
		if !within(q.Customer, len(r.customers)) || !within(q.FirstRunBackend, len(r.backends)+1) || !within(int(q.Class), len(r.gateway.settings.Classes)) {
			return mismatch("Requests", i)
		}
		request := r.restoreRequest(q)
		for _, a := range q.Attempts {
			if !within(a.Backend, len(r.backends)) {
				return mismatch("Requests", i)
			}
			request.attempts = append(request.attempts, attemptRecord{backend: r.backends[a.Backend], sentAt: a.SentAt, queuePosition: a.QueuePosition, open: a.Open})
		}
		r.requests = append(r.requests, request)
		if i < r.state.KnownRequests {
			r.gateway.requests[q.ID] = request
		}
	}
	return nil
}

// restoreRequest restores a request without its attempts.
func (r *restorer) restoreRequest(q RequestState) *requestRecord {
	request := &requestRecord{
		id:             q.ID,
		class:          q.Class,
		customer:       r.customers[q.Customer],
		units:          q.Units,
		arrivedAt:      q.ArrivedAt,
		deadline:       q.Deadline,
		mayHaveRun:     q.MayHaveRun,
		firstRunSentAt: q.FirstRunSentAt,
		ended:          q.Ended,
		streaming:      q.Streaming,
		counterName:    q.CounterName,
		counterWeight:  q.CounterWeight,
		addedToCounter: q.AddedToCounter,
		rejectReason:   q.RejectReason,
	}
	if q.FirstRunBackend > 0 {
		request.firstRunBackend = r.backends[q.FirstRunBackend-1]
	}
	return request
}

func (r *restorer) restoreCounter() error {
	counter, s := &r.gateway.counter, r.state
	restoreAverages(counter.insideShare, s.InsideShare)
	counter.reportedUseShare.restore(s.ReportedUseShare)
	counter.callProbability = s.CounterCallProbability
	counter.lastBadCallAt = s.CounterLastBadCallAt
	for i, position := range s.PendingUseQueue {
		if !within(position, len(r.customers)) {
			return mismatch("PendingUseQueue", i)
		}
		counter.pendingUseQueue = append(counter.pendingUseQueue, r.customers[position])
	}
	for i, state := range s.CounterCalls {
		if !within(state.Customer, len(r.customers)) || !within(state.Request, len(r.requests)+1) {
			return mismatch("CounterCalls", i)
		}
		call := counterCall{customer: r.customers[state.Customer], unitWeight: state.UnitWeight, pendingUnits: state.PendingUnits, sentAt: state.SentAt}
		if state.Request > 0 {
			call.request = r.requests[state.Request-1]
		}
		counter.push(state.Name, call)
	}
	return nil
}
