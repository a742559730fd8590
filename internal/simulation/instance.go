package simulation

import (
	"fmt"
	"time"

	"sandyard/config"
	"sandyard/proxy"
)

const (
	maxUnsentBytes = 64 << 10              // bytes that a client has not taken; a flowing answer pauses there
	maxLoopDelay   = 30 * time.Microsecond // most that a message waits for the core
)

// simInstance is a front door in virtual time: the machines of package door, with what package sockets does around them done
// inline.
type simInstance struct {
	sim           *Sim
	host          *host
	number        int
	config        *config.Config
	shared        *proxy.Shared
	core          *proxy.Instance
	incarnation   int // counts its processes; what was planned for an earlier one does nothing
	startedAt     time.Duration
	clockRate     float64 // how fast its clock runs
	mailbox       []func()
	wakeScheduled bool
	timerAt       time.Duration // the planned one
	clients       []*instanceClientConn
	backendConns  []*instanceBackendConn
	counterConn   *instanceCounterConn
}

func (d *simInstance) now() time.Duration {
	return proxy.Start + time.Duration(float64(d.sim.now-d.startedAt)*d.clockRate)
}

// simTime turns a time of the door's clock into one of the simulation.
func (d *simInstance) simTime(t time.Duration) time.Duration {
	return d.startedAt + time.Duration(float64(t-proxy.Start)/d.clockRate) + 1
}

// thisIncarnation makes an event of this process only.
func (d *simInstance) thisIncarnation(do func()) func() {
	life := d.incarnation
	return func() {
		if d.incarnation == life && d.host.alive {
			d.host.run(func() {
				if d.incarnation == life && d.host.alive {
					do()
				}
			})
		}
	}
}

// start begins a process.
func (d *simInstance) start(seed uint64) {
	d.incarnation++
	d.startedAt = d.sim.now
	d.shared = &proxy.Shared{Config: d.config, Protocol: proxy.NewConfiguredProtocol(d.config, fmt.Sprintf("sandyard-%d", d.number))}
	d.mailbox, d.wakeScheduled, d.timerAt, d.clients, d.backendConns, d.counterConn = nil, false, 0, nil, nil, nil
	core, err := proxy.NewInstance(d.shared, seed, d.now())
	if err != nil {
		panic(err) // the configuration was checked
	}
	d.core = core
	if r := d.sim.options.Record; r != nil {
		core.Record = r(d.number, d.config, seed)
		core.Record(core.FirstStep(d.now()))
	}
	d.host.alive, d.host.paused, d.host.notAccepting = true, false, false
	d.host.accept = d.accept
	d.applyEffects()
	d.pollEndpoints()
}

func (d *simInstance) kill() {
	d.incarnation++
	d.sim.network.kill(d.host)
	d.clients, d.backendConns, d.counterConn = nil, nil, nil
}

// post hands a message to the core, a moment later, as a queue between goroutines does.
func (d *simInstance) post(do func()) {
	d.mailbox = append(d.mailbox, do)
	if !d.wakeScheduled {
		d.wakeScheduled = true
		d.sim.scheduleAfter(time.Duration(d.sim.network.rng.Int64N(int64(maxLoopDelay))), d.thisIncarnation(func() {
			d.wakeScheduled = false
			q := d.mailbox
			d.mailbox = nil
			for _, do := range q {
				do()
				d.applyEffects()
			}
			if d.core.NextTimer() <= d.now() {
				d.core.Tick(d.now())
				d.applyEffects()
			}
		}))
	}
}

func (d *simInstance) applyEffects() {
	for more := true; more; {
		more = false
		for _, w := range d.core.Effects() {
			more = true
			d.sim.cover(effectNames[w.Kind])
			switch w.Kind {
			case proxy.DialBackend:
				d.dialBackend(w.Conn)
			case proxy.WriteAttempt:
				w.Conn.Owner.(*instanceBackendConn).writeAttempt(w.Exchange, w.Bytes)
			case proxy.CloseBackend:
				w.Conn.Owner.(*instanceBackendConn).abandon()
			case proxy.Respond:
				d.sim.cover(fmt.Sprintf("answer %d", w.Exchange.Status))
				w.Exchange.Owner.(*instanceClientConn).respond(w.Exchange, w.Bytes, false, w.Closes)
			case proxy.StreamResponse:
				w.Exchange.Owner.(*instanceClientConn).respond(w.Exchange, w.Bytes, true, w.Closes)
				w.Conn.Owner.(*instanceBackendConn).grantStream()
			case proxy.AbortClient:
				w.Exchange.Owner.(*instanceClientConn).relay(w.Exchange, nil, false, true)
			case proxy.DialCounter:
				d.dialCounter(w.Addr)
			case proxy.WriteCounter:
				d.counterConn.write(w.Bytes)
			case proxy.CloseCounter:
				d.counterConn.abandon()
				d.counterConn = nil
			case proxy.PollEndpoints:
				d.pollEndpoints()
			}
		}
	}
	if next := d.core.NextTimer(); d.timerAt == 0 || next < d.timerAt {
		d.timerAt = next
		d.sim.schedule(d.simTime(next), d.thisIncarnation(func() {
			if d.core.NextTimer() > d.now() {
				d.timerAt = 0
				d.applyEffects()
				return
			}
			d.timerAt = 0
			d.core.Tick(d.now())
			d.applyEffects()
		}))
	}
}

var effectNames = func() (names []string) {
	for k := proxy.DialBackend; k <= proxy.PollEndpoints; k++ {
		names = append(names, "wish "+k.String())
	}
	return names
}()

// pollEndpoints reads the list as its file is now. A file that can't be read leaves the list as it was.
func (d *simInstance) pollEndpoints() {
	boxes, err := d.sim.parseEndpoints()
	d.post(func() {
		if err != nil {
			d.sim.cover("list broken")
			d.core.EndpointPollFailed(d.now())
			return
		}
		d.sim.recordEndpointView(d, boxes)
		d.core.ReplaceEndpoints(d.now(), boxes, epoch.Add(d.sim.now-d.now()))
	})
}
