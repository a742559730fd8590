package proxy

import (
	"time"

	"sandyard/decision"
	"sandyard/internal/protocol"
)

// counterSilenceLimit is how long the oldest call may be without a reply, in counter timeouts, before the connection is
// given up. It is long enough for a counter that is merely slow to catch up, and a connection that is dead without a sign
// is replaced after a second at the default timeout of 50 ms.
const counterSilenceLimit = 20

// Backoff between dials to a counter that can't be reached. The least spares a counter that restarts a storm of dials;
// the most bounds how long an instance goes without the counter once that is back.
const (
	minCounterBackoff = 50 * time.Millisecond
	maxCounterBackoff = 2 * time.Second
)

// compactCalls is the number of unused places in the list of calls from which it is compacted.
const compactCalls = 1024

// counterCall is a call to the counter whose reply has not come.
type counterCall struct {
	name     string
	sentAt   time.Duration
	reported bool // reported to the decision gateway as timed out; its reply will be dropped
}

// counterClient is the connection to the shared counter: one pipeline of calls, answered in their order.
//
// It holds at most Config.Counter.MaxPending calls; those beyond are reported as rejected, not added. When the counter is
// silent each call is reported as timed out, some of them late (see armCounterTimer), and after counterSilenceLimit the
// connection is closed and made anew.
type counterClient struct {
	connected  bool
	dialing    bool
	addr       string                // host:port; empty: there is no counter
	codec      protocol.CounterCodec // of the connection
	calls      []counterCall         // pending ones from oldest on, in the order in which they were sent
	oldest     int                   // index in calls
	outgoing   []byte                // calls that were not handed to the runtime yet
	backoff    time.Duration         // before the next dial; 0: the last one succeeded
	timerArmed bool                  // a counterTimer is set
}

// pending returns how many calls wait for a reply.
func (counter *counterClient) pending() int { return len(counter.calls) - counter.oldest }

// dropOldest removes the oldest call. Its place is reused once the list is empty, or when more than compactCalls places and
// half of the list are unused, so that a pipeline that never runs empty takes bounded memory and time.
func (counter *counterClient) dropOldest() {
	counter.calls[counter.oldest] = counterCall{}
	counter.oldest++
	if counter.oldest == len(counter.calls) {
		counter.calls, counter.oldest = counter.calls[:0], 0
	} else if counter.oldest > compactCalls && counter.oldest > len(counter.calls)/2 {
		counter.calls = append(counter.calls[:0], counter.calls[counter.oldest:]...)
		counter.oldest = 0
	}
}

// addToCounter carries out the decision gateway's action: it sends a call, or reports at once that it can't be sent.
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

// armCounterTimer sets the timer for what happens next without a reply: the timeout of the oldest call that is not reported,
// or, where all are, the end of the counter's silence.
//
// There is at most one timer, and one that is set is not brought forward. So a call that is sent while the timer stands for
// the end of the silence is reported as timed out only then: up to counterSilenceLimit-2 timeouts after its own, which is
// 900 ms at the default timeout of 50 ms.
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
	if counter.pending() > 0 {
		counter.timerArmed = true
		inst.timers.push(timer{at: counter.calls[counter.oldest].sentAt + counterSilenceLimit*time.Duration(inst.shared.Config.Counter.Timeout), kind: counterTimer})
	}
}

// reportLateCounterCalls reports the calls whose time is up, oldest first, so that the outcomes for one name keep their
// order, and gives up the connection to a counter that is silent for too long.
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

// CounterConnected reports that the connection to the counter is made.
func (inst *Instance) CounterConnected(now time.Duration) {
	inst.advanceTo(now)
	counter := &inst.counter
	if counter.dialing {
		counter.connected, counter.dialing, counter.backoff = true, false, 0
		counter.codec = inst.shared.Protocol.NewCounterCodec()
	}
}

// CounterDisconnected reports that the connection to the counter could not be made, or is lost.
func (inst *Instance) CounterDisconnected(now time.Duration) {
	inst.advanceTo(now)
	if inst.counter.connected || inst.counter.dialing {
		inst.counterLost()
	}
	inst.drainEvents()
}

// counterLost ends all calls, each of which may have been added, and sets the timer of the next dial. Instances that are
// disconnected together must not dial together: each waits a random share, from a half to the whole, of a backoff that
// doubles.
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

// dialCounter asks for a connection to the counter, unless there is one, none is wanted or the instance is stopped.
func (inst *Instance) dialCounter() {
	if counter := &inst.counter; !counter.connected && !counter.dialing && !inst.stopped && counter.addr != "" {
		counter.dialing = true
		inst.emit(Effect{Kind: DialCounter, Addr: counter.addr})
	}
}

// CounterReceived reports bytes of the counter. What is not its protocol, or answers no call, ends the connection.
func (inst *Instance) CounterReceived(now time.Duration, b []byte) {
	inst.advanceTo(now)
	counter := &inst.counter
	for counter.connected && len(b) > 0 {
		n, reply, err := counter.codec.Feed(b)
		b = b[n:]
		if err != nil || reply.Complete && counter.pending() == 0 {
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

// handleCounterReply reports the end of the oldest call, unless it was reported as timed out.
func (inst *Instance) handleCounterReply(reply protocol.CounterReply) {
	counter := &inst.counter
	if call := &counter.calls[counter.oldest]; !call.reported {
		outcome := decision.OK
		if !reply.Added {
			outcome = decision.Rejected // not added
		}
		inst.queueEvent(decision.CounterReplied{Name: call.name, Outcome: outcome, Total: reply.Total})
	}
	counter.dropOldest()
}

// SetCounter moves to the counter at another address (host:port; empty: none). Calls under way at the old one are reported
// as timed out, since they may have been added, and the connection is made anew.
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
