package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"sandyard/decision"
)

// snapshotInterval is how often the decision gateway's state is recorded, so that a replay may begin in the middle of a
// trace. Taking it costs time in proportion to the number of customers, during which nothing is decided.
const snapshotInterval = 30 * time.Second

// DecisionStep is one event that was handed to the decision gateway, with the actions that it answered; or, where Snapshot
// is set, its state before the next event.
type DecisionStep struct {
	At              time.Duration
	Event           decision.Event // nil: the actions are those of the gateway's construction
	Actions         []decision.Action
	OperationNumber int             // of a RequestArrived: the position of its operation in the description, from 1; else 0
	EndpointNames   []string        // of an EndpointsChanged: the names of its endpoints, in its order
	Snapshot        *decision.State // if set, the other fields but At are empty
}

// Instance is the decision loop of one proxy instance. It has one owner at a time and does no I/O: no method blocks.
//
// Methods that take a time report to it what happened, and may add effects; the owner fetches them with Effects and
// carries them out in order before it reports anything that follows from them. A time before an earlier one counts as that.
type Instance struct {
	// Stats may be read by the owner at any time.
	Stats Stats
	// RecordDecision, if set, is called by the owner's methods with each step of the decision gateway, in order. It must
	// not block, nor change what it is given.
	RecordDecision func(DecisionStep)
	// EndpointsUnhandledFor, if set, is called just before an attempt begins. It returns for how long a message of the endpoint
	// list has waited to be read or to be handed over; 0: none waits. It must not block.
	EndpointsUnhandledFor func() time.Duration

	shared  *Shared
	gateway *decision.Gateway
	rng     *rand.Rand // for the jitter of redials to the counter only
	now     time.Duration
	timers  timerQueue
	stopped bool

	// Exchanges.
	requests        map[decision.RequestID]*Exchange // until answered with no attempt open; health checks included
	exchangesByName map[string]*Exchange             // by RequestInfo.UniqueName
	lastRequestID   decision.RequestID
	unanswered      int // exchanges without a final answer, or whose response is streamed

	// Backends and their connections.
	backends        map[decision.BackendID]*backendEntry
	backendsInOrder []*backendEntry // in the order in which they were first listed
	backendsByName  map[string]*backendEntry
	lastBackendID   decision.BackendID
	connCount       int // to all backends: idle, busy and being made

	counter counterClient

	effects        []Effect          // not yet fetched by the owner
	pendingEvents  []decision.Event  // that follow from actions, not yet handed over
	initialActions []decision.Action // of the decision gateway's construction
	nextSnapshotAt time.Duration     // when the decision gateway's state is recorded next
	endpointNames  []string          // of the endpoint list that is being handed over, while decisions are recorded
}

// NewInstance returns an instance whose clock begins at now. It fails if the decision gateway refuses the settings. The
// same configuration, seed and calls give the same effects.
func NewInstance(shared *Shared, seed uint64, now time.Duration) (*Instance, error) {
	gateway, actions, err := decision.New(shared.Config.Settings, seed, now)
	if err != nil {
		return nil, err
	}
	inst := &Instance{
		shared:          shared,
		gateway:         gateway,
		rng:             rand.New(rand.NewPCG(seed, 1)),
		now:             now,
		requests:        map[decision.RequestID]*Exchange{},
		exchangesByName: map[string]*Exchange{},
		backends:        map[decision.BackendID]*backendEntry{},
		backendsByName:  map[string]*backendEntry{},
		initialActions:  actions,
	}
	inst.perform(actions)
	inst.counter.addr = shared.Config.Counter.Address
	if inst.counter.addr != "" {
		inst.dialCounter()
	}
	inst.timers.push(timer{at: now + idleSweepInterval, kind: idleSweepTimer})
	inst.drainEvents()
	return inst, nil
}

// Gateway returns the decision gateway, for the owner to inspect. It must be handed no event.
func (inst *Instance) Gateway() *decision.Gateway { return inst.gateway }

// InitialDecision returns the decision gateway's first step, for a recorder that is set after NewInstance. startedAt is
// the time that NewInstance was given.
func (inst *Instance) InitialDecision(startedAt time.Duration) DecisionStep {
	return DecisionStep{At: startedAt, Actions: inst.initialActions}
}

// Unanswered returns how many exchanges wait for their answer or its end.
func (inst *Instance) Unanswered() int { return inst.unanswered }

// Quiescent reports whether nothing is held: no exchange, no attempt and no call to the counter.
func (inst *Instance) Quiescent() bool { return len(inst.requests) == 0 && inst.counter.pending() == 0 }

// Sizes returns the lengths of the instance's tables, for those who watch that they stay bounded: exchanges, timers, and
// connections to backends.
func (inst *Instance) Sizes() (requests, timers, conns int) {
	return len(inst.requests), len(inst.timers.heap), inst.connCount
}

// Stop closes idle backend connections and that to the counter. Nothing new is begun; what is reported later is taken in.
func (inst *Instance) Stop(now time.Duration) {
	inst.advanceTo(now)
	inst.stopped = true
	for _, backend := range slices.Clone(inst.backendsInOrder) { // closing may remove a backend
		inst.closeIdleConns(backend)
	}
	if inst.counter.connected || inst.counter.dialing {
		inst.emit(Effect{Kind: CloseCounter})
		inst.counter.connected, inst.counter.dialing = false, false
	}
}

// advanceTo sets the time, which never goes back.
func (inst *Instance) advanceTo(now time.Duration) { inst.now = max(inst.now, now) }

// queueEvent puts off an event that follows from an action: the decision gateway gets it once the actions of the event
// under way are carried out.
func (inst *Instance) queueEvent(event decision.Event) {
	inst.pendingEvents = append(inst.pendingEvents, event)
}

// drainEvents hands queued events over, and those that follow from them, until there are none. Every method that reports
// something from which an event may follow ends with it.
func (inst *Instance) drainEvents() {
	for len(inst.pendingEvents) > 0 {
		event := inst.pendingEvents[0]
		inst.pendingEvents = inst.pendingEvents[1:]
		if len(inst.pendingEvents) == 0 {
			inst.pendingEvents = nil
		}
		inst.handle(event, 0)
	}
}

// handleAndDrain hands an event over at once, and then what follows from it.
func (inst *Instance) handleAndDrain(event decision.Event) {
	inst.handle(event, 0)
	inst.drainEvents()
}

// handle hands an event to the decision gateway, records the step and carries out its actions. operationNumber is as in
// DecisionStep.
func (inst *Instance) handle(event decision.Event, operationNumber int) {
	if inst.RecordDecision != nil && inst.now >= inst.nextSnapshotAt {
		inst.nextSnapshotAt = inst.now + snapshotInterval
		if snapshot, err := inst.gateway.Snapshot(); err == nil {
			inst.RecordDecision(DecisionStep{At: inst.now, Snapshot: &snapshot})
		}
	}
	actions := inst.gateway.Handle(event, inst.now)
	if inst.RecordDecision != nil {
		inst.RecordDecision(DecisionStep{
			At:              inst.now,
			Event:           event,
			Actions:         actions,
			OperationNumber: operationNumber,
			EndpointNames:   inst.endpointNames,
		})
	}
	inst.perform(actions)
}

// perform carries out the decision gateway's actions in order.
func (inst *Instance) perform(actions []decision.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case decision.SendAttempt:
			inst.sendAttempt(action)
		case decision.CancelAttempt:
			inst.cancelAttempt(action)
		case decision.Reject:
			inst.reject(action)
		case decision.Fail:
			inst.fail(action)
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
