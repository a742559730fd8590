package proxy

import (
	"time"

	"sandyard/decision"
	"sandyard/internal/protocol"
)

const (
	keeperSilence = 20 // silence after which the connection is given up, in time-outs
	leastBackoff  = 50 * time.Millisecond
	mostBackoff   = 2 * time.Second // tries to reach a lost keeper are no further apart
)

// keeperCall is one Count on its way.
type keeperCall struct {
	name string
	sent time.Duration
	told bool // its end was reported: it timed out
}

// keeper is the connection to the tally keeper: one pipeline of calls, answered in order.
//
// It is bounded by keeper.pending: calls beyond it are told as Full, not added. A keeper that is silent is told as
// TimedOut call by call; its connection is given up after a while, and tried again with jitter.
type keeper struct {
	up      bool
	dialing bool
	addr    string
	codec   protocol.CounterCodec
	calls   []keeperCall // oldest first, from head on
	head    int
	out     []byte
	backoff time.Duration
	armed   bool // a keeperTimer is set
}

func (k *keeper) pending() int { return len(k.calls) - k.head }

// count starts a call, or tells how it ended at once.
func (c *Instance) count(a decision.AddToCounter) {
	k, cfg := &c.keeper, c.set.Config
	switch {
	case !k.up:
		c.later(decision.CounterReplied{Name: a.Name, Outcome: decision.ConnectFailed})
	case k.pending() >= cfg.Counter.MaxPending:
		c.later(decision.CounterReplied{Name: a.Name, Outcome: decision.Rejected})
	default:
		k.out = k.codec.AppendCall(k.out, a.Name, a.Amount, a.TTL)
		k.calls = append(k.calls, keeperCall{name: a.Name, sent: c.now})
		c.armKeeper()
	}
}

func (c *Instance) armKeeper() {
	k := &c.keeper
	if k.armed {
		return
	}
	for i := k.head; i < len(k.calls); i++ {
		if !k.calls[i].told {
			k.armed = true
			c.timers.push(timer{at: k.calls[i].sent + time.Duration(c.set.Config.Counter.Timeout), kind: keeperTimer})
			return
		}
	}
	if k.pending() > 0 { // all told, none answered
		k.armed = true
		c.timers.push(timer{at: k.calls[k.head].sent + keeperSilence*time.Duration(c.set.Config.Counter.Timeout), kind: keeperTimer})
	}
}

// keeperLate reports the calls whose time is up, oldest first, so that answers for one name keep their order.
func (c *Instance) keeperLate() {
	k := &c.keeper
	k.armed = false
	limit := time.Duration(c.set.Config.Counter.Timeout)
	for i := k.head; i < len(k.calls); i++ {
		call := &k.calls[i]
		if c.now < call.sent+limit {
			break
		}
		if !call.told {
			call.told = true
			c.Stats.CounterLate++
			c.later(decision.CounterReplied{Name: call.name, Outcome: decision.TimedOut})
		}
	}
	if k.pending() > 0 && k.up && c.now >= k.calls[k.head].sent+keeperSilence*limit {
		c.wish(Effect{Kind: CloseCounter})
		c.keeperLost()
	}
	c.armKeeper()
}

// CounterConnected tells that the connection stands.
func (c *Instance) CounterConnected(now time.Duration) {
	c.at(now)
	k := &c.keeper
	if k.dialing {
		k.up, k.dialing, k.backoff = true, false, 0
		k.codec = c.set.Protocol.NewCounterCodec()
	}
}

// CounterDisconnected tells that the connection could not be made, or is lost.
func (c *Instance) CounterDisconnected(now time.Duration) {
	c.at(now)
	if c.keeper.up || c.keeper.dialing {
		c.keeperLost()
	}
	c.settle()
}

// keeperLost ends all calls, which may have been added, and plans the next try. Front doors that lose one keeper
// together come back apart: each waits a random share of a growing time.
func (c *Instance) keeperLost() {
	k := &c.keeper
	k.up, k.dialing, k.out = false, false, nil
	for i := k.head; i < len(k.calls); i++ {
		if call := &k.calls[i]; !call.told {
			c.later(decision.CounterReplied{Name: call.name, Outcome: decision.TimedOut})
		}
	}
	k.calls, k.head = nil, 0
	k.backoff = min(mostBackoff, max(leastBackoff, 2*k.backoff))
	wait := time.Duration((0.5 + c.rng.Float64()/2) * float64(k.backoff))
	c.timers.push(timer{at: c.now + wait, kind: keeperDial})
}

func (c *Instance) dialKeeper() {
	if k := &c.keeper; !k.up && !k.dialing && !c.over && k.addr != "" {
		k.dialing = true
		c.wish(Effect{Kind: DialCounter, Addr: k.addr})
	}
}

// CounterReceived takes the keeper's bytes in.
func (c *Instance) CounterReceived(now time.Duration, b []byte) {
	c.at(now)
	k := &c.keeper
	for k.up && len(b) > 0 {
		n, r, err := k.codec.Feed(b)
		b = b[n:]
		if err != nil || r.Complete && k.pending() == 0 { // not the protocol, or an answer to nothing
			c.Stats.CounterMalformed++
			c.wish(Effect{Kind: CloseCounter})
			c.keeperLost()
			break
		}
		if r.Complete {
			c.keeperReply(r)
		}
	}
	c.settle()
}

func (c *Instance) keeperReply(r protocol.CounterReply) {
	k := &c.keeper
	if call := &k.calls[k.head]; !call.told {
		o := decision.OK
		if !r.Added {
			o = decision.Rejected // the keeper said no: not added
		}
		c.later(decision.CounterReplied{Name: call.name, Outcome: o, Total: r.Total})
	}
	k.calls[k.head] = keeperCall{}
	if k.head++; k.head == len(k.calls) {
		k.calls, k.head = k.calls[:0], 0
	} else if k.head > 1024 && k.head > len(k.calls)/2 {
		k.calls = append(k.calls[:0], k.calls[k.head:]...)
		k.head = 0
	}
}
