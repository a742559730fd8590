// Package decision makes every decision of an API gateway that enforces the plans of customers who share the same
// backends: which requests are admitted, which backend gets an attempt, when a request is retried and how it is
// answered.
//
// A Gateway is a deterministic state machine. Its owner passes events (events.go) with their times to it and carries
// out the actions (actions.go) that it returns. It does no I/O, starts no goroutines, reads no clock and never blocks.
// The same settings, seed and events give the same actions.
//
// The rules are split by file: load.go (backend utilization), admission.go (load shedding), quota.go and countersync.go
// (plans and the shared counter), endpoints.go, slowstart.go, outlier.go and balancer.go (backends), attempt.go,
// retry.go and response.go (life cycle of a request), ewma.go (averages). docs/design.md explains the design of the
// rules.
package decision

import (
	"math/rand/v2"
	"time"
)

// This file constructs a Gateway and dispatches events to the rules. It contains no rules.

// housekeepingInterval is the time between two runs of the periodic work. It is well below common latency objectives,
// so that work which waits for the next run does not make an answer late. A shorter latency objective is replaced by
// this interval where it scales an estimate: in latency ratios (updateEstimates), the decay of attempts in flight
// (newPlanQuota) and the initial service rate (newServiceRateEstimator). Elsewhere it is used as configured.
const housekeepingInterval = 50 * time.Millisecond

// Gateway makes the decisions of one proxy instance. It is not safe for concurrent use: one goroutine owns it.
type Gateway struct {
	settings     Settings
	randomSource *rand.PCG // source of rng, kept because it is part of the state
	rng          *rand.Rand
	startedAt    time.Duration
	now          time.Duration // time of the last event
	actions      []Action      // actions of the event that is being handled
	load         loadEstimator
	admission    admissionControl
	quotas       quotaTable
	counter      counterSync
	endpoints    endpointTable
	serviceRate  serviceRateEstimator
	failureRates failureRates
	requests     map[RequestID]*requestRecord // requests without a final answer or with an attempt in flight
	classLatency []latencyEstimate            // latency of attempts, by class
}

// New creates a gateway. The returned actions are the first ones that its owner has to carry out. The seed determines
// all random choices. now is read from the clock that also timestamps the events. It must be above zero, because
// several recorded times use zero for "never"; New does not check this. The error is a *SettingsError.
func New(settings Settings, seed uint64, now time.Duration) (*Gateway, []Action, error) {
	if err := settings.validate(); err != nil {
		return nil, nil, err
	}
	settings = settings.withDefaults()
	source := rand.NewPCG(seed, 0)
	g := &Gateway{
		settings:     settings,
		randomSource: source,
		rng:          rand.New(source),
		startedAt:    now,
		now:          now,
		load:         newLoadEstimator(now),
		admission:    newAdmissionControl(settings.Classes, settings.Plans),
		quotas:       newQuotaTable(settings),
		counter:      newCounterSync(settings.Plans, now),
		endpoints:    newEndpointTable(settings.Subscribe),
		serviceRate:  newServiceRateEstimator(settings, now),
		failureRates: newFailureRates(len(settings.Classes), now),
		requests:     map[RequestID]*requestRecord{},
		classLatency: newClassLatency(settings.Classes),
	}
	g.runHousekeeping()
	return g, g.actions, nil
}

// Handle processes an event and returns the resulting actions in order. A now that is earlier than that of the previous
// event is replaced by the latter. Events that refer to a request, attempt, backend or call that is unknown or has
// ended are ignored.
func (g *Gateway) Handle(event Event, now time.Duration) []Action {
	g.now = max(g.now, now)
	g.actions = nil
	switch event := event.(type) {
	case RequestArrived:
		g.handleRequest(event)
	case ClientDisconnected:
		g.handleDisconnect(event)
	case AttemptEnded:
		g.handleAttemptEnd(event)
	case StreamStarted:
		g.handleStreamStart(event)
	case ProbeEnded:
		g.handleProbeEnd(event)
	case CounterReplied:
		g.handleCounterReply(event)
	case EndpointsChanged:
		g.handleEndpoints(event)
	case TimerFired:
		g.handleTimer(event.Timer)
	}
	return g.actions
}

// emit appends an action to those of the event that is being handled.
func (g *Gateway) emit(action Action) { g.actions = append(g.actions, action) }

func (g *Gateway) handleTimer(timer Timer) {
	switch timer.Kind {
	case TickTimer:
		g.runHousekeeping()
	case DeadlineTimer:
		g.handleDeadline(timer.Request)
	}
}

// runHousekeeping does the periodic work: every housekeepingInterval for quotas, every controlPeriod for load shedding
// and endpoints.
func (g *Gateway) runHousekeeping() {
	g.emit(SetTimer{At: g.now + housekeepingInterval, Timer: Timer{Kind: TickTimer}})
	g.flushPendingUse()
	g.sweepIdleCustomers()
	elapsed := g.now - g.load.sampledAt
	if elapsed < controlPeriod {
		return
	}
	utilization := g.utilization()
	g.load.sampledAt = g.now
	g.updateServiceRate(elapsed.Seconds())
	g.admission.update(utilization, elapsed.Seconds())
	g.requestPendingWatch()
	g.probeNext()
}
