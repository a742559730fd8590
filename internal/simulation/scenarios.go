package simulation

import (
	"fmt"
	"math"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// overload sends the fleet 0.6 to 3 times its capacity, in some scripts with a surge or slow backends.
func (b *scenarioBuilder) overload() {
	b.drawFleet()
	b.setLoad(b.between(0.6, 3))
	if b.chance(0.5) {
		b.addFault(b.milliseconds(2000, 4000), fault.Event{Duration: b.milliseconds(2000, 6000), Verb: fault.Surge, Target: fault.TargetAll, Value: b.between(1.5, 3)})
	}
	if b.chance(0.3) {
		b.addFault(b.milliseconds(1000, 5000), fault.Event{Duration: b.milliseconds(1000, 6000), Verb: fault.Slow, Target: fault.TargetBackends, Value: b.between(1.5, 4)})
	}
}

// replacement replaces a tenth, half or all of the backends under load by ones in slow start, at once or one by one, with or
// without notice.
func (b *scenarioBuilder) replacement() {
	b.drawFleet()
	b.drawSlowStart()
	b.setLoad(b.between(0.6, 2.5))
	at, n := b.milliseconds(2000, 5000), b.affectedBackends()
	gap := time.Duration(0)
	if b.chance(0.5) {
		gap = b.milliseconds(100, 1500)
	}
	verb := fault.Verb(fault.Replace)
	if b.chance(0.5) {
		verb = fault.Kill
	}
	if b.chance(0.3) { // many instances and few backends, all of them in slow start
		b.Instances, b.Backends.Count = 20+b.rng.IntN(21), 1+b.rng.IntN(3)
		n, gap = b.Backends.Count, 0
		b.setLoad(b.between(1.5, 3))
	}
	order := b.rng.Perm(b.Backends.Count)
	for i := range n {
		start := at + time.Duration(i)*gap
		if start > time.Duration(b.Seconds*0.8*float64(time.Second)) {
			break
		}
		b.addFault(start, fault.Event{Duration: b.milliseconds(100, 1500), Verb: verb, Target: b.backendName(order[i])})
	}
	if b.chance(0.4) { // a surge during slow start
		b.addFault(at+b.milliseconds(0, 3000), fault.Event{Duration: b.milliseconds(1000, 5000), Verb: fault.Surge, Target: fault.TargetAll, Value: b.between(1.5, 4)})
	}
	if b.chance(0.3) { // backends that are not in slow start fail meanwhile
		for i := n; i < b.Backends.Count; i++ {
			b.addFault(at+gap*time.Duration(n)+b.milliseconds(200, 800), fault.Event{Duration: b.milliseconds(1000, 4000), Verb: fault.Verb([]fault.Verb{fault.Hang, fault.Refuse,
				fault.ServerErrors, fault.Slow}[b.rng.IntN(4)]), Target: b.backendName(order[i]), Value: b.oneOf(1, 3)})
		}
	}
	if b.chance(0.2) {
		b.addFault(at+b.milliseconds(0, 3000), fault.Event{Duration: b.milliseconds(200, 1500), Verb: fault.Kill, Target: fmt.Sprintf("door-%d", b.rng.IntN(b.Instances))})
	}
}

// ceilings has customers request 2 to 20 times their ceiling, through some or all instances, with a counter that is up,
// silent, slow, empty, down, or unreachable for some instances.
func (b *scenarioBuilder) ceilings() {
	b.Backends.Work = strictyaml.Duration(time.Duration(b.oneOf(2, 5, 15)) * time.Millisecond)
	b.Backends.Cores, b.Backends.Queue, b.Backends.Count = 4, 64, 4+b.rng.IntN(8)
	b.Instances = 1 + b.rng.IntN(int(b.oneOf(2, 4, 4, 12)))
	b.PlanFactor, b.Rate = b.oneOf(0.3, 0.5, 1), 40
	b.OverQuotaValue = b.oneOf(0, 1.5, 1.5, 1.5) // otherwise the quota limits them before the ceiling does
	for _, school := range []string{"school-0", "school-1", "school"}[b.rng.IntN(3):][:1] {
		baseRate := b.Rate * 24 / 92 // rate of all customers of plan school, in proportion to plan rates
		multiple := b.between(2, 8)
		if b.chance(0.2) {
			multiple = b.between(8, 20)
		}
		b.Seconds = 10
		maxDuration := min(6000, 1000*1200/(multiple*40*b.PlanFactor))
		b.addFault(b.milliseconds(500, 3000), fault.Event{Duration: b.milliseconds(maxDuration/2, maxDuration), Verb: fault.Surge, Target: school, Value: math.Round(10*multiple*40*b.PlanFactor/baseRate) / 10})
	}
	for range b.rng.IntN(4) {
		e := b.counterFault()
		b.addFault(b.milliseconds(500, 7000), e)
	}
	if b.chance(0.3) { // a counter that loses its totals repeatedly
		for at := b.milliseconds(500, 2500); at < 9*time.Second; at += b.milliseconds(200, 1500) {
			e := fault.Event{Verb: fault.ResetTotals, Target: fault.TargetCounter}
			if b.chance(0.3) {
				e.Verb, e.Value = fault.Rollback, b.between(200, 3000)
			}
			b.addFault(at, e)
		}
	}
	for range b.rng.IntN(4) {
		b.addFault(b.milliseconds(1000, 8000), fault.Event{Verb: fault.MoveTraffic, Target: "school"})
	}
	for range b.rng.IntN(3) {
		b.addFault(b.milliseconds(1000, 7000), fault.Event{Duration: b.milliseconds(50, 1000), Verb: fault.Kill, Target: fmt.Sprintf("door-%d", b.rng.IntN(b.Instances))})
	}
}

// counterFault draws a fault of the counter, or a partition between it and one instance.
func (b *scenarioBuilder) counterFault() fault.Event {
	e := fault.Event{Duration: b.milliseconds(200, 4000), Target: fault.TargetCounter, Verb: []fault.Verb{fault.NoReply, fault.ResetTotals, fault.Refuse, fault.Delay, fault.Stall,
		fault.Kill, fault.Rollback, fault.PartialOutage, fault.Split}[b.rng.IntN(9)]}
	switch e.Verb {
	case fault.ResetTotals:
		e.Duration = 0
	case fault.Rollback:
		e.Duration, e.Value = 0, b.between(200, 3000)
	case fault.PartialOutage:
		e.Value = b.between(0.2, 1)
	case fault.Split:
		e.Value = b.between(0.2, 0.8)
	case fault.Delay:
		e.Value = b.between(20, 300)
	}
	if b.chance(0.25) {
		e.Verb, e.Target, e.Value = fault.Partition, fmt.Sprintf("door-%d/keeper", b.rng.IntN(b.Instances)), 0
		e.Duration = max(e.Duration, time.Second)
	}
	return e
}

// keyExpiry has clients retry what one backend has executed, so that another backend gets it around the expiry of the
// idempotency key.
func (b *scenarioBuilder) keyExpiry() {
	b.Backends.Count = 2 + b.rng.IntN(6)
	b.Backends.Work = strictyaml.Duration(time.Duration(b.oneOf(15, 40, 80)) * time.Millisecond)
	b.Backends.Cells = int(b.oneOf(0, 2, 3))
	b.KeyTTL = strictyaml.Duration(b.milliseconds(200, 1500))
	b.setLoad(b.between(0.1, 0.5))
	for range 2 + b.rng.IntN(4) {
		at, target, duration := b.milliseconds(1000, 9000), b.backendName(b.rng.IntN(b.Backends.Count)), b.milliseconds(500, 3000)
		// The backend is slow first, so that the work ends late, and then fails without a response.
		slowdown := fault.Event{Duration: duration, Verb: fault.Slow, Target: target, Value: b.between(5, 40)}
		if b.chance(0.5) {
			slowdown = fault.Event{Duration: duration, Verb: fault.Delay, Target: target, Value: b.between(200, 2000)}
		}
		b.addFault(at, slowdown)
		failure := fault.Event{Duration: b.milliseconds(200, 1500), Target: target, Verb: []fault.Verb{fault.DropResponse, fault.ResetResponse, fault.Kill, fault.Refuse, fault.Hang}[b.rng.IntN(5)]}
		failsAt := at + b.milliseconds(100, 2500)
		b.addFault(failsAt, failure)
		if b.chance(0.5) { // connections to the other backends are closed, and new ones are established slowly
			closedAt := failsAt + b.milliseconds(0, 400)
			for i := range b.Backends.Count {
				if o := b.backendName(i); o != target {
					b.addFault(closedAt, fault.Event{Duration: 20 * time.Millisecond, Verb: fault.Refuse, Target: o})
					b.addFault(closedAt+20*time.Millisecond, fault.Event{Duration: b.milliseconds(100, 700), Verb: fault.NotAccepting, Target: o})
				}
			}
		}
	}
}

// streaming streams responses that are too large to be buffered over throttled links or to slow clients, or has them reset.
func (b *scenarioBuilder) streaming() {
	b.Backends.Count, b.Instances = 1+b.rng.IntN(4), 1+b.rng.IntN(3)
	b.Backends.Work, b.Backends.Body = strictyaml.Duration(time.Duration(b.oneOf(5, 15, 40))*time.Millisecond), int(b.oneOf(5000, 20000, 40000))
	b.setLoad(b.between(0.1, 0.6))
	b.Rate = min(b.Rate, 60)
	for range 1 + b.rng.IntN(4) {
		e := fault.Event{Duration: b.milliseconds(1000, 6000), Verb: fault.Throttle, Target: b.backendName(b.rng.IntN(b.Backends.Count)), Value: math.Round(float64(b.Backends.Body) / b.between(0.5, 5))}
		switch b.rng.IntN(4) {
		case 0:
			e.Verb, e.Value = fault.ResetResponse, float64(b.rng.IntN(b.Backends.Body))
		case 1:
			e.Verb, e.Target, e.Value = fault.SlowClients, fault.TargetAll, b.between(0.1, 0.5)
		}
		b.addFault(b.milliseconds(500, 9000), e)
	}
}

// draining removes backends in waves, with or without notice, while their queues are full and connections to them are being
// established.
func (b *scenarioBuilder) draining() {
	b.drawFleet()
	b.Backends.Count = max(2, b.Backends.Count)
	b.setLoad(b.between(0.8, 2.5))
	b.Clients.NewConnShare = b.oneOf(0.02, 0.2, 0.8)
	order := b.rng.Perm(b.Backends.Count)
	at := b.milliseconds(1000, 3000)
	for i := range max(1, min(b.affectedBackends(), b.Backends.Count-1)) {
		if b.chance(0.3) {
			at += b.milliseconds(200, 1500)
		}
		target := b.backendName(order[i])
		if b.chance(0.5) { // the notice arrives while a connection is being established
			b.addFault(at-b.milliseconds(0, 500), fault.Event{Duration: b.milliseconds(300, 2500), Verb: []fault.Verb{fault.AddedLatency, fault.NotAccepting, fault.Pause}[b.rng.IntN(3)], Target: target,
				Value: b.between(50, 400)})
		}
		if at > time.Duration(b.Seconds*0.8*float64(time.Second)) {
			break
		}
		b.addFault(at, fault.Event{Duration: b.milliseconds(300, 3000), Verb: []fault.Verb{fault.Drain, fault.Replace, fault.Vanish}[b.rng.IntN(3)], Target: target})
	}
}
