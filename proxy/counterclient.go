package proxy

import (
	"time"

	"sandyard/decision"
	"sandyard/internal/protocol"
)

const (
	counterSilenceLimit = 20 // silence after which the connection is given up, in time-outs
	minCounterBackoff   = 50 * time.Millisecond
	maxCounterBackoff   = 2 * time.Second // tries to reach a lost keeper are no further apart
)

// counterCall is one Count on its way.
type counterCall struct {
	name     string
	sentAt   time.Duration
	reported bool // its end was reported: it timed out
}

// counterClient is the connection to the tally keeper: one pipeline of calls, answered in order.
//
// It is bounded by keeper.pending: calls beyond it are told as Full, not added. A keeper that is silent is told as
// TimedOut call by call; its connection is given up after a while, and tried again with jitter.
type counterClient struct {
	connected  bool
	dialing    bool
	addr       string
	codec      protocol.CounterCodec
	calls      []counterCall // oldest first, from head on
	oldest     int
	outgoing   []byte
	backoff    time.Duration
	timerArmed bool // a counterTimer is set
}

func (counter *counterClient) pending() int { return len(counter.calls) - counter.oldest }

// addToCounter starts a call, or tells how it ended at once.
func (inst *Instance) addToCounter(action decision.AddToCounter) {
	counter, cfg := &inst.counter, inst.shared.Config
	switch {
	case !counter.connected:
		inst.queueEvent(decision.CounterReplied{Name: action.Name, Outcome: decision.ConnectFailed})
	case counter.pending() >= cfg.Counter.MaxPending:
		inst.queueEvent(decision.CounterReplied{Name: action.Name, Outcome: decision.Rejected})
	default:
		counter.outgoing = counter.codec.AppendCall(counter.outgoing, action.Name, action.Amount, action.TTL)
		counter.calls = append(counter.calls, counterCall{name: action.Name, sentAt: inst.now})
		inst.armCounterTimer()
	}
}

func (inst *Instance) armCounterTimer() {
	counter := &inst.counter
	if counter.timerArmed {
		return
	}
	for i := counter.oldest; i < len(counter.calls); i++ {
		if !counter.calls[i].reported {
			counter.timerArmed = true
			inst.timers.push(timer{at: counter.calls[i].sentAt + time.Duration(inst.shared.Config.Counter.Timeout), kind: counterTimer})
			return
		}
	}
	if counter.pending() > 0 { // all told, none answered
		counter.timerArmed = true
		inst.timers.push(timer{at: counter.calls[counter.oldest].sentAt + counterSilenceLimit*time.Duration(inst.shared.Config.Counter.Timeout), kind: counterTimer})
	}
}

// reportLateCounterCalls reports the calls whose time is up, oldest first, so that answers for one name keep their order.
func (inst *Instance) reportLateCounterCalls() {
	counter := &inst.counter
	counter.timerArmed = false
	timeout := time.Duration(inst.shared.Config.Counter.Timeout)
	for i := counter.oldest; i < len(counter.calls); i++ {
		call := &counter.calls[i]
		if inst.now < call.sentAt+timeout {
			break
		}
		if !call.reported {
			call.reported = true
			inst.Stats.CounterLate++
			inst.queueEvent(decision.CounterReplied{Name: call.name, Outcome: decision.TimedOut})
		}
	}
	if counter.pending() > 0 && counter.connected && inst.now >= counter.calls[counter.oldest].sentAt+counterSilenceLimit*timeout {
		inst.emit(Effect{Kind: CloseCounter})
		inst.counterLost()
	}
	inst.armCounterTimer()
}

// CounterConnected tells that the connection stands.
func (inst *Instance) CounterConnected(now time.Duration) {
	inst.advanceTo(now)
	counter := &inst.counter
	if counter.dialing {
		counter.connected, counter.dialing, counter.backoff = true, false, 0
		counter.codec = inst.shared.Protocol.NewCounterCodec()
	}
}

// CounterDisconnected tells that the connection could not be made, or is lost.
func (inst *Instance) CounterDisconnected(now time.Duration) {
	inst.advanceTo(now)
	if inst.counter.connected || inst.counter.dialing {
		inst.counterLost()
	}
	inst.drainEvents()
}

// counterLost ends all calls, which may have been added, and plans the next try. Front doors that lose one keeper
// together come back apart: each waits a random share of a growing time.
func (inst *Instance) counterLost() {
	counter := &inst.counter
	counter.connected, counter.dialing, counter.outgoing = false, false, nil
	for i := counter.oldest; i < len(counter.calls); i++ {
		if call := &counter.calls[i]; !call.reported {
			inst.queueEvent(decision.CounterReplied{Name: call.name, Outcome: decision.TimedOut})
		}
	}
	counter.calls, counter.oldest = nil, 0
	counter.backoff = min(maxCounterBackoff, max(minCounterBackoff, 2*counter.backoff))
	wait := time.Duration((0.5 + inst.rng.Float64()/2) * float64(counter.backoff))
	inst.timers.push(timer{at: inst.now + wait, kind: counterDialTimer})
}

func (inst *Instance) dialCounter() {
	if counter := &inst.counter; !counter.connected && !counter.dialing && !inst.stopped && counter.addr != "" {
		counter.dialing = true
		inst.emit(Effect{Kind: DialCounter, Addr: counter.addr})
	}
}

// CounterReceived takes the keeper's bytes in.
func (inst *Instance) CounterReceived(now time.Duration, b []byte) {
	inst.advanceTo(now)
	counter := &inst.counter
	for counter.connected && len(b) > 0 {
		n, reply, err := counter.codec.Feed(b)
		b = b[n:]
		if err != nil || reply.Complete && counter.pending() == 0 { // not the protocol, or an answer to nothing
			inst.Stats.CounterMalformed++
			inst.emit(Effect{Kind: CloseCounter})
			inst.counterLost()
			break
		}
		if reply.Complete {
			inst.handleCounterReply(reply)
		}
	}
	inst.drainEvents()
}

func (inst *Instance) handleCounterReply(reply protocol.CounterReply) {
	counter := &inst.counter
	if call := &counter.calls[counter.oldest]; !call.reported {
		outcome := decision.OK
		if !reply.Added {
			outcome = decision.Rejected // the keeper said no: not added
		}
		inst.queueEvent(decision.CounterReplied{Name: call.name, Outcome: outcome, Total: reply.Total})
	}
	counter.calls[counter.oldest] = counterCall{}
	if counter.oldest++; counter.oldest == len(counter.calls) {
		counter.calls, counter.oldest = counter.calls[:0], 0
	} else if counter.oldest > 1024 && counter.oldest > len(counter.calls)/2 {
		counter.calls = append(counter.calls[:0], counter.calls[counter.oldest:]...)
		counter.oldest = 0
	}
}

// SetCounter from now on at another counter; its connection is made anew.
func (inst *Instance) SetCounter(now time.Duration, addr string) {
	inst.advanceTo(now)
	counter := &inst.counter
	if addr == counter.addr {
		return
	}
	counter.addr = addr
	if counter.connected || counter.dialing {
		inst.emit(Effect{Kind: CloseCounter})
		inst.counterLost()
	}
	counter.backoff = 0
	if addr != "" {
		inst.dialCounter()
	}
	inst.drainEvents()
}
