package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"sandyard/decision"
)

// snapshotInterval is the interval at which the decision gateway's state is recorded, so that a replay can start in the
// middle of a trace. Taking a snapshot takes time in proportion to the number of customers and delays decisions.
const snapshotInterval = 30 * time.Second

// DecisionStep is one event that the decision gateway handled, with the actions that it returned. If Snapshot is set, the
// step instead holds the gateway's state before the next event.
type DecisionStep struct {
	At              time.Duration
	Event           decision.Event // nil: the actions were returned when the gateway was created
	Actions         []decision.Action
	OperationNumber int             // for RequestArrived: the position of its operation in the description, from 1; otherwise 0
	EndpointNames   []string        // for EndpointsChanged: the names of its endpoints, in the same order
	Snapshot        *decision.State // if set, all other fields except At are empty
}

// Instance is the decision loop of one proxy instance. It has one owner at a time and does no I/O: no method blocks.
//
// Methods with a parameter now report an event to the instance and may add effects. The owner fetches the effects with
// Effects and executes them in order before it reports any of their results. The instance's time never goes back: a time
// earlier than the last one is replaced by the last one.
type Instance struct {
	// Stats may be read by the owner at any time.
	Stats Stats
	// RecordDecision, if set, is called with each step of the decision gateway, in order. It must not block or modify its
	// argument.
	RecordDecision func(DecisionStep)
	// EndpointsUnhandledFor, if set, is called just before a connection is dialled and just before an attempt starts. It
	// returns how long an endpoint list message has been waiting to be read or handled; 0: none is waiting. It must not
	// block.
	EndpointsUnhandledFor func() time.Duration

	shared  *Shared
	gateway *decision.Gateway
	rng     *rand.Rand // for the jitter of redials to the counter only
	now     time.Duration
	timers  timerQueue
	stopped bool

	// Exchanges.
	requests        map[decision.RequestID]*Exchange // until answered and no attempt is open; includes health checks
	exchangesByName map[string]*Exchange             // by RequestInfo.UniqueName
	recentNames     recentNames
	lastRequestID   decision.RequestID
	unanswered      int // exchanges without a final answer, or whose response is still being streamed

	// Backends and their connections.
	backends        map[decision.BackendID]*backendEntry
	backendsInOrder []*backendEntry // in the order in which they were first listed
	backendsByName  map[string]*backendEntry
	addressOwners   map[string]*backendEntry // by address: the backend whose process listens there, see supersede.go
	lastBackendID   decision.BackendID
	connCount       int // connections to all backends: idle, busy and dialling

	counter counterClient

	effects        []Effect          // not yet fetched by the owner
	pendingEvents  []decision.Event  // caused by actions, not yet passed to the decision gateway
	initialActions []decision.Action // returned when the decision gateway was created
	nextSnapshotAt time.Duration     // when the decision gateway's state is recorded next
	endpointNames  []string          // names in the EndpointsChanged event being handled; set only while decisions are recorded
}

// NewInstance returns an instance whose clock starts at now. It fails if the decision gateway rejects the settings. The
// same configuration, seed and calls produce the same effects.
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
		addressOwners:   map[string]*backendEntry{},
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

// Gateway returns the decision gateway for inspection. The caller must not pass events to it.
func (inst *Instance) Gateway() *decision.Gateway { return inst.gateway }

// InitialDecision returns the decision gateway's first step, for a recorder that is set after NewInstance. startedAt is
// the time that was passed to NewInstance.
func (inst *Instance) InitialDecision(startedAt time.Duration) DecisionStep {
	return DecisionStep{At: startedAt, Actions: inst.initialActions}
}

// Unanswered returns the number of exchanges whose answer has not started or is not complete.
func (inst *Instance) Unanswered() int { return inst.unanswered }

// Quiescent reports whether there is no exchange, no open attempt and no pending call to the counter.
func (inst *Instance) Quiescent() bool { return len(inst.requests) == 0 && inst.counter.pending() == 0 }

// Sizes returns the numbers of exchanges, timers and backend connections, so that callers can check that they stay
// bounded.
func (inst *Instance) Sizes() (requests, timers, conns int) {
	return len(inst.requests), len(inst.timers.heap), inst.connCount
}

// Stop closes the idle backend connections and the connection to the counter. From then on no connection is pooled and the
// counter is not dialled. Later reports are still processed.
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

// advanceTo sets the current time, which never goes back.
func (inst *Instance) advanceTo(now time.Duration) { inst.now = max(inst.now, now) }

// queueEvent queues an event that is caused by an action. The decision gateway gets it after all actions of the current
// event have been executed.
func (inst *Instance) queueEvent(event decision.Event) {
	inst.pendingEvents = append(inst.pendingEvents, event)
}

// drainEvents passes queued events, and the events that they cause, to the decision gateway until there are none. Every
// exported method that may queue an event must call it before it returns.
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

// handleAndDrain handles an event at once, and then the events that it causes.
func (inst *Instance) handleAndDrain(event decision.Event) {
	inst.handle(event, 0)
	inst.drainEvents()
}

// handle passes an event to the decision gateway, records the step and executes the returned actions. operationNumber is as
// in DecisionStep.
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

// perform executes the decision gateway's actions in order.
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
