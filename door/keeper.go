package door

import (
	"time"

	"sandyard/choice"
	"sandyard/internal/dialect"
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
	codec   dialect.Counter
	calls   []keeperCall // oldest first, from head on
	head    int
	out     []byte
	backoff time.Duration
	armed   bool // a keeperTimer is set
}

func (k *keeper) pending() int { return len(k.calls) - k.head }

// count starts a call, or tells how it ended at once.
func (c *Core) count(a choice.Count) {
	k, cfg := &c.keeper, c.set.Config
	switch {
	case !k.up:
		c.later(choice.Counted{Name: a.Name, Outcome: choice.ConnectFailed})
	case k.pending() >= cfg.Keeper.Pending:
		c.later(choice.Counted{Name: a.Name, Outcome: choice.Full})
	default:
		k.out = k.codec.Call(k.out, a.Name, a.Amount, a.TTL)
		k.calls = append(k.calls, keeperCall{name: a.Name, sent: c.now})
		c.armKeeper()
	}
}

func (c *Core) armKeeper() {
	k := &c.keeper
	if k.armed {
		return
	}
	for i := k.head; i < len(k.calls); i++ {
		if !k.calls[i].told {
			k.armed = true
			c.timers.push(timer{at: k.calls[i].sent + time.Duration(c.set.Config.Keeper.Timeout), kind: keeperTimer})
			return
		}
	}
	if k.pending() > 0 { // all told, none answered
		k.armed = true
		c.timers.push(timer{at: k.calls[k.head].sent + keeperSilence*time.Duration(c.set.Config.Keeper.Timeout), kind: keeperTimer})
	}
}

// keeperLate reports the calls whose time is up, oldest first, so that answers for one name keep their order.
func (c *Core) keeperLate() {
	k := &c.keeper
	k.armed = false
	limit := time.Duration(c.set.Config.Keeper.Timeout)
	for i := k.head; i < len(k.calls); i++ {
		call := &k.calls[i]
		if c.now < call.sent+limit {
			break
		}
		if !call.told {
			call.told = true
			c.Stats.KeeperLate++
			c.later(choice.Counted{Name: call.name, Outcome: choice.TimedOut})
		}
	}
	if k.pending() > 0 && k.up && c.now >= k.calls[k.head].sent+keeperSilence*limit {
		c.wish(Wish{Kind: HangKeeper})
		c.keeperLost()
	}
	c.armKeeper()
}

// KeeperUp tells that the connection stands.
func (c *Core) KeeperUp(now time.Duration) {
	c.at(now)
	k := &c.keeper
	if k.dialing {
		k.up, k.dialing, k.backoff = true, false, 0
		k.codec = c.set.Dialect.Counter()
	}
}

// KeeperDown tells that the connection could not be made, or is lost.
func (c *Core) KeeperDown(now time.Duration) {
	c.at(now)
	if c.keeper.up || c.keeper.dialing {
		c.keeperLost()
	}
	c.settle()
}

// keeperLost ends all calls, which may have been added, and plans the next try. Front doors that lose one keeper
// together come back apart: each waits a random share of a growing time.
func (c *Core) keeperLost() {
	k := &c.keeper
	k.up, k.dialing, k.out = false, false, nil
	for i := k.head; i < len(k.calls); i++ {
		if call := &k.calls[i]; !call.told {
			c.later(choice.Counted{Name: call.name, Outcome: choice.TimedOut})
		}
	}
	k.calls, k.head = nil, 0
	k.backoff = min(mostBackoff, max(leastBackoff, 2*k.backoff))
	wait := time.Duration((0.5 + c.rng.Float64()/2) * float64(k.backoff))
	c.timers.push(timer{at: c.now + wait, kind: keeperDial})
}

func (c *Core) dialKeeper() {
	if k := &c.keeper; !k.up && !k.dialing && !c.over && k.addr != "" {
		k.dialing = true
		c.wish(Wish{Kind: DialKeeper, Addr: k.addr})
	}
}

// KeeperFeed takes the keeper's bytes in.
func (c *Core) KeeperFeed(now time.Duration, b []byte) {
	c.at(now)
	k := &c.keeper
	for k.up && len(b) > 0 {
		n, r, err := k.codec.Feed(b)
		b = b[n:]
		if err != nil || r.Got && k.pending() == 0 { // not the protocol, or an answer to nothing
			c.Stats.KeeperMalformed++
			c.wish(Wish{Kind: HangKeeper})
			c.keeperLost()
			break
		}
		if r.Got {
			c.keeperReply(r)
		}
	}
	c.settle()
}

func (c *Core) keeperReply(r dialect.Reply) {
	k := &c.keeper
	if call := &k.calls[k.head]; !call.told {
		o := choice.OK
		if !r.Added {
			o = choice.Full // the keeper said no: not added
		}
		c.later(choice.Counted{Name: call.name, Outcome: o, Total: r.Total})
	}
	k.calls[k.head] = keeperCall{}
	if k.head++; k.head == len(k.calls) {
		k.calls, k.head = k.calls[:0], 0
	} else if k.head > 1024 && k.head > len(k.calls)/2 {
		k.calls = append(k.calls[:0], k.calls[k.head:]...)
		k.head = 0
	}
}
