package proxy

import (
	"time"

	"sandyard/decision"
	"sandyard/internal/protocol"
)

// counterSilenceLimit is how long the oldest call may stay without a reply, in counter timeouts, before the connection is
// closed. It is long enough for a slow counter to catch up. A connection that is lost without any notice is replaced after a
// second at the default timeout of 50 ms.
const counterSilenceLimit = 20

// Backoff between dials to an unreachable counter. The minimum protects a restarting counter from too many dials. The
// maximum limits how long an instance stays without the counter after it becomes reachable again.
const (
	minCounterBackoff = 50 * time.Millisecond
	maxCounterBackoff = 2 * time.Second
)

// compactionThreshold is the number of unused entries above which the list of calls may be compacted.
const compactionThreshold = 1024

// counterCall is a call to the counter without a reply yet.
type counterCall struct {
	name     string
	sentAt   time.Duration
	reported bool // reported to the decision gateway as timed out; its reply will be dropped
}

// counterClient is the connection to the shared counter: one pipeline of calls, answered in order.
//
// It holds at most Config.Counter.MaxPending calls. Further calls are reported as rejected (not added). If the counter does
// not reply, each call is reported as timed out, some of them late (see armCounterTimer). After counterSilenceLimit the
// connection is closed and the counter is dialled again.
type counterClient struct {
	connected  bool
	dialing    bool
	addr       string                // host:port; empty: there is no counter
	codec      protocol.CounterCodec // of the current connection
	calls      []counterCall         // pending calls start at index oldest, in the order in which they were sent
	oldest     int                   // index in calls
	outgoing   []byte                // calls not yet passed to the runtime
	backoff    time.Duration         // before the next dial; 0: the last dial succeeded
	timerArmed bool                  // a counterTimer is set
}

// pending returns the number of calls without a reply.
func (counter *counterClient) pending() int { return len(counter.calls) - counter.oldest }

// dropOldest removes the oldest call. Its entry is reused when the list is empty, or when more than compactionThreshold
// entries and more than half of the list are unused. A pipeline that is never empty thus needs only bounded memory and
// time.
func (counter *counterClient) dropOldest() {
	counter.calls[counter.oldest] = counterCall{}
	counter.oldest++
	if counter.oldest == len(counter.calls) {
		counter.calls, counter.oldest = counter.calls[:0], 0
	} else if counter.oldest > compactionThreshold && counter.oldest > len(counter.calls)/2 {
		counter.calls = append(counter.calls[:0], counter.calls[counter.oldest:]...)
		counter.oldest = 0
	}
}

// addToCounter executes the decision gateway's action: it sends a call, or reports at once that the call can't be sent.
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

// armCounterTimer sets the timer for the next event if no reply arrives: the timeout of the oldest call that is not yet
// reported as timed out, or, if all are reported, the time at which the connection is closed (see counterSilenceLimit).
//
// There is at most one timer, and a timer that is set is not moved forward. A call that is sent while the timer is set for
// the closing of the connection is therefore reported as timed out only then: up to counterSilenceLimit-2 timeouts after its
// own timeout, which is 900 ms at the default timeout of 50 ms.
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

// reportTimedOutCounterCalls reports the calls that have timed out, oldest first, so that the outcomes for one name keep
// their order. It closes the connection if the counter has not replied for too long.
func (inst *Instance) reportTimedOutCounterCalls() {
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
			inst.Stats.CounterTimeouts++
			inst.queueEvent(decision.CounterReplied{Name: call.name, Outcome: decision.TimedOut})
		}
	}
	if counter.pending() > 0 && counter.connected && inst.now >= counter.calls[counter.oldest].sentAt+counterSilenceLimit*timeout {
		inst.emit(Effect{Kind: CloseCounter})
		inst.counterLost()
	}
	inst.armCounterTimer()
}

// CounterConnected reports that the connection to the counter is established.
func (inst *Instance) CounterConnected(now time.Duration) {
	inst.advanceTo(now)
	counter := &inst.counter
	if counter.dialing {
		counter.connected, counter.dialing, counter.backoff = true, false, 0
		counter.codec = inst.shared.Protocol.NewCounterCodec()
	}
}

// CounterDisconnected reports that the connection to the counter could not be established or was lost.
func (inst *Instance) CounterDisconnected(now time.Duration) {
	inst.advanceTo(now)
	if inst.counter.connected || inst.counter.dialing {
		inst.counterLost()
	}
	inst.drainEvents()
}

// counterLost ends all pending calls, each of which may have been added, and sets the timer of the next dial. Instances
// that lose their connections at the same time must not dial at the same time: each waits for a random part, between half
// and all, of a backoff that doubles.
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

// dialCounter dials the counter unless it is connected or being dialled, no counter is configured or the instance is
// stopped.
func (inst *Instance) dialCounter() {
	if counter := &inst.counter; !counter.connected && !counter.dialing && !inst.stopped && counter.addr != "" {
		counter.dialing = true
		inst.emit(Effect{Kind: DialCounter, Addr: counter.addr})
	}
}

// CounterReceived reports bytes received from the counter. Malformed bytes, and replies that belong to no call, close the
// connection.
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

// handleCounterReply reports the outcome of the oldest call, unless it was already reported as timed out.
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

// SetCounter switches to the counter at another address (host:port; empty: none). Pending calls to the old counter are
// reported as timed out, because they may have been added, and the new counter is dialled.
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
