package simulation

import (
	"fmt"
	"time"

	"sandyard/config"
	"sandyard/proxy"
)

// Parameters of the event loop and the client connections. In a deployment, package server implements both.
const (
	maxUnsentBytes = 64 << 10              // unsent bytes for a client, above which a streamed response pauses
	lingerTime     = time.Second           // for which input from a client is read and discarded after the last response
	maxLoopDelay   = 30 * time.Microsecond // longest time that a message waits for the event loop
)

// simInstance is a proxy instance in the simulation. It runs the state machines of package proxy, and does the work of
// package server inline.
type simInstance struct {
	sim           *Sim
	host          *host
	number        int
	config        *config.Config
	shared        *proxy.Shared
	core          *proxy.Instance
	incarnation   int // number of its process; events that were scheduled for an earlier one do nothing
	startedAt     time.Duration
	clockRate     float64 // seconds of the instance's clock for each virtual second
	mailbox       []func()
	wakeScheduled bool
	timerAt       time.Duration // time of the scheduled timer event; 0: none
	clients       []*instanceClientConn
	backendConns  []*instanceBackendConn
	counterConn   *instanceCounterConn
}

// now returns the time of the instance's clock.
func (inst *simInstance) now() time.Duration {
	return proxy.Start + time.Duration(float64(inst.sim.now-inst.startedAt)*inst.clockRate)
}

// simTime converts a time of the instance's clock to virtual time.
func (inst *simInstance) simTime(t time.Duration) time.Duration {
	return inst.startedAt + time.Duration(float64(t-proxy.Start)/inst.clockRate) + 1
}

// forThisIncarnation returns a callback that runs do in the current process only. While the process is paused it defers do;
// once the process was killed it does nothing.
func (inst *simInstance) forThisIncarnation(do func()) func() {
	incarnation := inst.incarnation
	return func() {
		if inst.incarnation == incarnation && inst.host.alive {
			inst.host.run(func() {
				if inst.incarnation == incarnation && inst.host.alive {
					do()
				}
			})
		}
	}
}

// start starts a process.
func (inst *simInstance) start(seed uint64) {
	inst.incarnation++
	inst.startedAt = inst.sim.now
	inst.shared = &proxy.Shared{Config: inst.config, Protocol: proxy.NewConfiguredProtocol(inst.config, fmt.Sprintf("sandyard-%d", inst.number))}
	inst.mailbox, inst.wakeScheduled, inst.timerAt, inst.clients, inst.backendConns, inst.counterConn = nil, false, 0, nil, nil, nil
	core, err := proxy.NewInstance(inst.shared, seed, inst.now())
	if err != nil {
		panic(err) // cannot happen: the configuration was validated
	}
	inst.core = core
	if r := inst.sim.options.Record; r != nil {
		core.RecordDecision = r(inst.number, inst.config, seed)
		core.RecordDecision(core.InitialDecision(inst.now()))
	}
	inst.host.alive, inst.host.paused, inst.host.notAccepting = true, false, false
	inst.host.accept = inst.accept
	inst.applyEffects()
	inst.pollEndpoints()
}

func (inst *simInstance) kill() {
	inst.incarnation++
	inst.sim.network.kill(inst.host)
	inst.clients, inst.backendConns, inst.counterConn = nil, nil, nil
}

// post sends a message to the event loop. Like a queue between goroutines, it delivers the message after a short delay.
func (inst *simInstance) post(do func()) {
	inst.mailbox = append(inst.mailbox, do)
	if !inst.wakeScheduled {
		inst.wakeScheduled = true
		inst.sim.scheduleAfter(time.Duration(inst.sim.network.rng.Int64N(int64(maxLoopDelay))), inst.forThisIncarnation(func() {
			inst.wakeScheduled = false
			q := inst.mailbox
			inst.mailbox = nil
			for _, do := range q {
				do()
				inst.applyEffects()
			}
			if inst.core.NextTimer() <= inst.now() {
				inst.core.Tick(inst.now())
				inst.applyEffects()
			}
		}))
	}
}

// applyEffects carries out the core's effects, and schedules its next timer.
func (inst *simInstance) applyEffects() {
	for more := true; more; {
		more = false
		for _, effect := range inst.core.Effects() {
			more = true
			inst.sim.countReached(effectNames[effect.Kind])
			inst.apply(effect)
		}
	}
	inst.scheduleTimer()
}

func (inst *simInstance) apply(e proxy.Effect) {
	switch e.Kind {
	case proxy.DialBackend:
		inst.dialBackend(e.Conn)
	case proxy.WriteAttempt:
		e.Conn.Owner.(*instanceBackendConn).writeAttempt(e.Exchange, e.Bytes)
	case proxy.CloseBackend:
		e.Conn.Owner.(*instanceBackendConn).abandon()
	case proxy.Respond:
		inst.sim.countReached(fmt.Sprintf("answer %d", e.Exchange.Status))
		e.Exchange.Owner.(*instanceClientConn).respond(e.Exchange, e.Bytes, false, e.CloseAfterResponse)
	case proxy.StreamResponse:
		e.Exchange.Owner.(*instanceClientConn).respond(e.Exchange, e.Bytes, true, e.CloseAfterResponse)
		e.Conn.Owner.(*instanceBackendConn).startStreaming()
	case proxy.AbortClient:
		e.Exchange.Owner.(*instanceClientConn).relay(e.Exchange, nil, false, true)
	case proxy.DialCounter:
		inst.dialCounter(e.Addr)
	case proxy.WriteCounter:
		inst.counterConn.write(e.Bytes)
	case proxy.CloseCounter:
		inst.counterConn.abandon()
		inst.counterConn = nil
	case proxy.PollEndpoints:
		inst.pollEndpoints()
	}
}

// scheduleTimer schedules the core's next timer, unless one is scheduled that is not later.
func (inst *simInstance) scheduleTimer() {
	next := inst.core.NextTimer()
	if inst.timerAt != 0 && next >= inst.timerAt {
		return
	}
	inst.timerAt = next
	inst.sim.schedule(inst.simTime(next), inst.forThisIncarnation(func() {
		inst.timerAt = 0
		if inst.core.NextTimer() <= inst.now() {
			inst.core.Tick(inst.now())
		}
		inst.applyEffects()
	}))
}

// effectNames are the keys of Outcome.Reached for effects, by kind.
var effectNames = func() (names []string) {
	for k := proxy.DialBackend; k <= proxy.PollEndpoints; k++ {
		names = append(names, "wish "+k.String())
	}
	return names
}()

// pollEndpoints reads the current endpoint file. If it can't be parsed, the endpoint list stays unchanged.
func (inst *simInstance) pollEndpoints() {
	endpoints, err := inst.sim.parseEndpoints()
	inst.post(func() {
		if err != nil {
			inst.sim.countReached("list broken")
			inst.core.EndpointPollFailed(inst.now())
			return
		}
		inst.sim.recordEndpointView(inst, endpoints)
		inst.core.ReplaceEndpoints(inst.now(), proxy.EndpointsUpdate{
			Endpoints: endpoints,
			Origin:    epoch.Add(inst.sim.now - inst.now()),
		})
	})
}
