// Package decision makes every decision of an API gateway that keeps each customer of a shared backend to its plan:
// which requests are admitted, which backend gets an attempt, when a request is retried and how it is answered.
//
// A Gateway is a deterministic state machine. Its owner hands it events (events.go) with the time at which they
// happened and carries out the actions (actions.go) that it returns. It does no I/O, starts no goroutine and reads no
// clock; nothing in it blocks. The same settings, seed and events give the same actions.
//
// Each rule has one file: load.go (backend utilization), admission.go (load shedding), quota.go and countersync.go
// (plans and the shared counter), endpoints.go, slowstart.go, outlier.go and balancer.go (backends), attempt.go,
// retry.go and response.go (what becomes of a request), ewma.go (averages). docs/design.md says why the rules are as
// they are.
package decision

import (
	"math/rand/v2"
	"time"
)

// This file constructs a Gateway and dispatches events to the rules. It has no rule of its own.

// housekeepingInterval is the time between two runs of the periodic work. It is well under any latency objective, so
// that nothing that waits for it makes an answer late. Shorter latency objectives are taken as this where they scale an
// estimate: in latency ratios (learnFromAttempt), the fading of attempts in flight (newPlanQuota) and the first service
// rate. Elsewhere they hold as they are.
const housekeepingInterval = 50 * time.Millisecond

// Gateway decides for one proxy instance. It is not safe for concurrent use: one goroutine owns it.
type Gateway struct {
	settings     Settings
	randomSource *rand.PCG // what rng draws from; a part of the state
	rng          *rand.Rand
	startedAt    time.Duration
	now          time.Duration // of the last event
	actions      []Action      // of the event that is being handled
	load         loadEstimator
	admission    admissionControl
	quotas       quotaTable
	counter      counterSync
	endpoints    endpointTable
	serviceRate  serviceRateEstimator
	failureRates failureRates
	requests     map[RequestID]*requestRecord // those with an answer owed or an attempt in flight
	classLatency []latencyEstimate            // of attempts, by class
}

// New makes a gateway. The actions are the first that its owner has to carry out. The seed decides all random choices;
// now is the time on the clock that later events use. It must be above zero, because zero stands for "never" in several
// times that are kept; it is not checked. The error is a *SettingsError.
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

// Handle takes in an event and returns what to do now, in order. now must not be before that of the event before; it
// is taken as the same if it is. Events that name a request, attempt, backend or call that is unknown or over are
// ignored.
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

// emit adds an action to those of the event that is being handled.
func (g *Gateway) emit(action Action) { g.actions = append(g.actions, action) }

func (g *Gateway) handleTimer(timer Timer) {
	switch timer.Kind {
	case TickTimer:
		g.runHousekeeping()
	case DeadlineTimer:
		g.handleDeadline(timer.Request)
	}
}

// runHousekeeping does the periodic work: every housekeepingInterval that of the quotas, every controlPeriod that of
// load shedding and endpoints.
func (g *Gateway) runHousekeeping() {
	g.emit(SetTimer{At: g.now + housekeepingInterval, Timer: Timer{Kind: TickTimer}})
	g.flushPendingUse()
	g.quotas.sweepIdle(g.now)
	elapsed := g.now - g.load.sampledAt
	if elapsed < controlPeriod {
		return
	}
	utilization := g.utilization()
	g.load.sampledAt = g.now
	g.updateServiceRate(elapsed.Seconds())
	g.admission.update(utilization, elapsed.Seconds())
	g.watchAgain()
	g.probeNext()
}
