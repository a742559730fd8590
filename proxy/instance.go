package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"sandyard/decision"
)

// Stats counts what a front door has done.
type Stats struct {
	Arrived, Served, RejectedOverQuota, RejectedNoCapacity, Failed, ClientsLeft, BrokenResponses uint64
	Attempts, Dials, Probes, CounterCalls, CounterLate                                           uint64
	CounterMalformed                                                                             uint64
	IgnoredEvents                                                                                uint64 // steps that the table of states dropped
}

// Counts are the figures in a fixed order, for digests of what happened.
func (s *Stats) Counts() []uint64 {
	return []uint64{s.Arrived, s.Served, s.RejectedOverQuota, s.RejectedNoCapacity, s.Failed, s.ClientsLeft, s.BrokenResponses, s.Attempts, s.Dials,
		s.Probes, s.CounterCalls, s.CounterLate, s.CounterMalformed, s.IgnoredEvents}
}

// DecisionStep is an event that was handed to the decision module, and the actions it took.
type DecisionStep struct {
	At              time.Duration
	Event           decision.Event // nil: the actions are those of New
	Actions         []decision.Action
	OperationNumber int             // of an arrival: the position of its operation, plus 1
	EndpointNames   []string        // of a list: the names of its boxes, in its order
	Snapshot        *decision.State // instead of all others: the module's state before the next step
}

// Instance is the decision loop: one owner, no I/O. Every method that takes a time may add wishes; the owner fetches
// them with Wishes and carries them out in order before it tells anything that follows from them.
type Instance struct {
	Stats Stats
	// Record, if set, is given each step of the decision module, in order, by the core's owner. It must not block, nor
	// change what it is given.
	RecordDecision func(DecisionStep)

	shared          *Shared
	gateway         *decision.Gateway
	rng             *rand.Rand
	now             time.Duration
	timers          timerQueue
	requests        map[decision.RequestID]*Exchange
	lastRequestID   decision.RequestID
	lastConnID      uint64
	lastBackendID   decision.BackendID
	backends        map[decision.BackendID]*backendEntry
	backendsInOrder []*backendEntry // as they were first listed
	backendsByName  map[string]*backendEntry
	counter         counterClient
	effects         []Effect
	initialActions  []decision.Action    // the module's
	nextSnapshotAt  time.Duration        // when the module's state is recorded next
	endpointNames   []string             // of the list that is handed over
	exchangesByName map[string]*Exchange // by Ask.Name
	connCount       int                  // to all boxes, those being made included
	pendingEvents   []decision.Event     // that follow from actions
	unanswered      int                  // exchanges without a final answer, or whose answer flows
	stopped         bool
}

// NewInstance builds a core that decides from now on. The same seed and the same calls give the same wishes.
func NewInstance(shared *Shared, seed uint64, now time.Duration) (*Instance, error) {
	gateway, actions, err := decision.New(shared.Config.Settings, seed, now)
	if err != nil {
		return nil, err
	}
	inst := &Instance{shared: shared, gateway: gateway, rng: rand.New(rand.NewPCG(seed, 1)), now: now,
		requests: map[decision.RequestID]*Exchange{}, backends: map[decision.BackendID]*backendEntry{}, backendsByName: map[string]*backendEntry{},
		exchangesByName: map[string]*Exchange{}}
	inst.initialActions = actions
	inst.perform(actions)
	if inst.counter.addr = shared.Config.Counter.Address; inst.counter.addr != "" {
		inst.dialCounter()
	}
	inst.timers.push(timer{at: now + idleSweepInterval, kind: idleSweepTimer})
	inst.drainEvents()
	return inst, nil
}

// snapshotInterval is how often the module's state is recorded; it takes time in proportion to its customers.
const snapshotInterval = 30 * time.Second

// Unanswered is how many exchanges still wait for their answer or its end.
func (inst *Instance) Unanswered() int { return inst.unanswered }

// Quiescent tells that nothing is held: no exchange, no attempt and no keeper call.
func (inst *Instance) Quiescent() bool { return len(inst.requests) == 0 && inst.counter.pending() == 0 }

// Sizes are the lengths of the core's tables, for those who watch that they stay bounded.
func (inst *Instance) Sizes() (requests, timers, conns int) {
	return len(inst.requests), len(inst.timers.heap), inst.connCount
}

func (inst *Instance) advanceTo(now time.Duration) { inst.now = max(inst.now, now) }

func (inst *Instance) queueEvent(event decision.Event) {
	inst.pendingEvents = append(inst.pendingEvents, event)
}

// drainEvents hands over the events that followed from actions, until none do.
func (inst *Instance) drainEvents() {
	for len(inst.pendingEvents) > 0 {
		event := inst.pendingEvents[0]
		if inst.pendingEvents = inst.pendingEvents[1:]; len(inst.pendingEvents) == 0 {
			inst.pendingEvents = nil
		}
		inst.handle(event, 0)
	}
}

func (inst *Instance) handleAndDrain(event decision.Event) {
	inst.handle(event, 0)
	inst.drainEvents()
}

// handle gives an event to the module and carries out its actions.
func (inst *Instance) handle(event decision.Event, operationNumber int) {
	if inst.RecordDecision != nil && inst.now >= inst.nextSnapshotAt {
		inst.nextSnapshotAt = inst.now + snapshotInterval
		if snapshot, err := inst.gateway.Snapshot(); err == nil {
			inst.RecordDecision(DecisionStep{At: inst.now, Snapshot: &snapshot})
		}
	}
	actions := inst.gateway.Handle(event, inst.now)
	if inst.RecordDecision != nil {
		inst.RecordDecision(DecisionStep{At: inst.now, Event: event, Actions: actions, OperationNumber: operationNumber, EndpointNames: inst.endpointNames})
	}
	inst.perform(actions)
}

// Gateway is the decision module, for the core's owner to look at; it must be handed no event.
func (inst *Instance) Gateway() *decision.Gateway { return inst.gateway }

// InitialDecision is the module's first step, for those who set Record later.
func (inst *Instance) InitialDecision(startedAt time.Duration) DecisionStep {
	return DecisionStep{At: startedAt, Actions: inst.initialActions}
}

func (inst *Instance) perform(actions []decision.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case decision.SendAttempt:
			inst.sendAttempt(action)
		case decision.CancelAttempt:
			inst.cancelAttempt(action)
		case decision.Reject:
			if action.Reason == decision.OverQuota {
				inst.answerLocally(action.Request, eventRejected, overQuota, action.RetryAfter)
			} else {
				inst.answerLocally(action.Request, eventRejected, noCapacity, action.RetryAfter)
			}
		case decision.Fail:
			response := attemptFailed
			if ex := inst.requests[action.Request]; ex != nil && inst.now >= inst.answerDeadline(ex) {
				response = deadlineExceeded
			}
			inst.answerLocally(action.Request, eventFailed, response, 0)
		case decision.Probe:
			inst.startProbe(action)
		case decision.AddToCounter:
			inst.Stats.CounterCalls++
			inst.addToCounter(action)
		case decision.SetTimer:
			inst.timers.push(timer{at: action.At, kind: gatewayTimer, gatewayKind: action.Timer.Kind, request: action.Timer.Request})
		case decision.WatchEndpoints:
			inst.emit(Effect{Kind: PollEndpoints})
		}
	}
}

// Stop ends the core: lines and the keeper's connection are closed, and nothing new is begun.
func (inst *Instance) Stop(now time.Duration) {
	inst.advanceTo(now)
	inst.stopped = true
	for _, backend := range slices.Clone(inst.backendsInOrder) {
		inst.closeIdleConns(backend)
	}
	if inst.counter.connected || inst.counter.dialing {
		inst.emit(Effect{Kind: CloseCounter})
		inst.counter.connected, inst.counter.dialing = false, false
	}
}
