package simulation

import (
	"fmt"
	"math"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// overload: the fleet is asked for 0.6 to 3 times what it can do, at times in surges.
func (d *scenarioBuilder) overload() {
	d.fleet()
	d.setLoad(d.between(0.6, 3))
	if d.chance(0.5) {
		d.addFault(d.milliseconds(2000, 4000), fault.Event{Duration: d.milliseconds(2000, 6000), Verb: fault.Surge, Target: "*", Value: d.between(1.5, 3)})
	}
	if d.chance(0.3) {
		d.addFault(d.milliseconds(1000, 5000), fault.Event{Duration: d.milliseconds(1000, 6000), Verb: fault.Slow, Target: "boxes", Value: d.between(1.5, 4)})
	}
}

// replacement: a tenth, half or all of the boxes are replaced by cold ones under load, at once or one by one, with or
// without notice.
func (d *scenarioBuilder) replacement() {
	d.fleet()
	d.drawSlowStart()
	d.setLoad(d.between(0.6, 2.5))
	at, n := d.milliseconds(2000, 5000), d.portion()
	gap := time.Duration(0)
	if d.chance(0.5) {
		gap = d.milliseconds(100, 1500)
	}
	verb := fault.Verb(fault.Replace)
	if d.chance(0.5) {
		verb = fault.Kill
	}
	if d.chance(0.3) { // many front doors meet few boxes, all of them cold
		d.Instances, d.Backends.Count = 20+d.rng.IntN(21), 1+d.rng.IntN(3)
		n, gap = d.Backends.Count, 0
		d.setLoad(d.between(1.5, 3))
	}
	order := d.rng.Perm(d.Backends.Count)
	for i := range n {
		when := at + time.Duration(i)*gap
		if when > time.Duration(d.Seconds*0.8*float64(time.Second)) {
			break
		}
		d.addFault(when, fault.Event{Duration: d.milliseconds(100, 1500), Verb: verb, Target: d.backendName(order[i])})
	}
	if d.chance(0.4) { // more is asked for while they are cold
		d.addFault(at+d.milliseconds(0, 3000), fault.Event{Duration: d.milliseconds(1000, 5000), Verb: fault.Surge, Target: "*", Value: d.between(1.5, 4)})
	}
	if d.chance(0.3) { // those that are warm go wrong meanwhile
		for i := n; i < d.Backends.Count; i++ {
			d.addFault(at+gap*time.Duration(n)+d.milliseconds(200, 800), fault.Event{Duration: d.milliseconds(1000, 4000), Verb: fault.Verb([]fault.Verb{fault.Hang, fault.Refuse,
				fault.ServerErrors, fault.Slow}[d.rng.IntN(4)]), Target: d.backendName(order[i]), Value: d.oneOf(1, 3)})
		}
	}
	if d.chance(0.2) {
		d.addFault(at+d.milliseconds(0, 3000), fault.Event{Duration: d.milliseconds(200, 1500), Verb: fault.Kill, Target: fmt.Sprintf("door-%d", d.rng.IntN(d.Instances))})
	}
}

// ceilings: schools ask for 2 to 20 times their ceiling, through some or all front doors, with a keeper that is there,
// silent, slow, empty, gone, or out of some doors' reach.
func (d *scenarioBuilder) ceilings() {
	d.Backends.Work = strictyaml.Duration(time.Duration(d.oneOf(2, 5, 15)) * time.Millisecond)
	d.Backends.Cores, d.Backends.Queue, d.Backends.Count = 4, 64, 4+d.rng.IntN(8)
	d.Instances = 1 + d.rng.IntN(int(d.oneOf(2, 4, 4, 12)))
	d.PlanFactor, d.Rate = d.oneOf(0.3, 0.5, 1), 40
	d.OverQuotaValue = d.oneOf(0, 1.5, 1.5, 1.5) // else their quota stops them first
	for _, school := range []string{"school-0", "school-1", "school"}[d.rng.IntN(3):][:1] {
		usual := d.Rate * 24 / 92 // a school's share of the traffic
		times := d.between(2, 8)
		if d.chance(0.2) {
			times = d.between(8, 20)
		}
		d.Seconds = 10
		long := min(6000, 1000*1200/(times*40*d.PlanFactor))
		d.addFault(d.milliseconds(500, 3000), fault.Event{Duration: d.milliseconds(long/2, long), Verb: fault.Surge, Target: school, Value: math.Round(10*times*40*d.PlanFactor/usual) / 10})
	}
	for range d.rng.IntN(4) {
		e := fault.Event{Duration: d.milliseconds(200, 4000), Target: "keeper", Verb: []fault.Verb{fault.NoReply, fault.ResetTotals, fault.Refuse, fault.Delay, fault.Stall,
			fault.Kill, fault.Rollback, fault.PartialOutage, fault.Split}[d.rng.IntN(9)]}
		switch e.Verb {
		case fault.ResetTotals:
			e.Duration = 0
		case fault.Rollback:
			e.Duration, e.Value = 0, d.between(200, 3000)
		case fault.PartialOutage:
			e.Value = d.between(0.2, 1)
		case fault.Split:
			e.Value = d.between(0.2, 0.8)
		case fault.Delay:
			e.Value = d.between(20, 300)
		}
		if d.chance(0.25) {
			e.Verb, e.Target, e.Value = fault.Partition, fmt.Sprintf("door-%d/keeper", d.rng.IntN(d.Instances)), 0
			e.Duration = max(e.Duration, time.Second)
		}
		d.addFault(d.milliseconds(500, 7000), e)
	}
	if d.chance(0.3) { // a keeper that forgets again and again
		for at := d.milliseconds(500, 2500); at < 9*time.Second; at += d.milliseconds(200, 1500) {
			e := fault.Event{Verb: fault.ResetTotals, Target: "keeper"}
			if d.chance(0.3) {
				e.Verb, e.Value = fault.Rollback, d.between(200, 3000)
			}
			d.addFault(at, e)
		}
	}
	for range d.rng.IntN(4) {
		d.addFault(d.milliseconds(1000, 8000), fault.Event{Verb: fault.MoveTraffic, Target: "school"})
	}
	for range d.rng.IntN(3) {
		d.addFault(d.milliseconds(1000, 7000), fault.Event{Duration: d.milliseconds(50, 1000), Verb: fault.Kill, Target: fmt.Sprintf("door-%d", d.rng.IntN(d.Instances))})
	}
}

// keyExpiry: what a box has run is asked of another around the end of its key's time.
func (d *scenarioBuilder) keyExpiry() {
	d.Backends.Count = 2 + d.rng.IntN(6)
	d.Backends.Work = strictyaml.Duration(time.Duration(d.oneOf(15, 40, 80)) * time.Millisecond)
	d.Backends.Cells = int(d.oneOf(0, 2, 3))
	d.KeyTTL = strictyaml.Duration(d.milliseconds(200, 1500))
	d.setLoad(d.between(0.1, 0.5))
	for range 2 + d.rng.IntN(4) {
		at, b, long := d.milliseconds(1000, 9000), d.backendName(d.rng.IntN(d.Backends.Count)), d.milliseconds(500, 3000)
		// slow first, so that the end comes late, and then without an answer
		how := fault.Event{Duration: long, Verb: fault.Slow, Target: b, Value: d.between(5, 40)}
		if d.chance(0.5) {
			how = fault.Event{Duration: long, Verb: fault.Delay, Target: b, Value: d.between(200, 2000)}
		}
		d.addFault(at, how)
		end := fault.Event{Duration: d.milliseconds(200, 1500), Target: b, Verb: []fault.Verb{fault.DropResponse, fault.ResetResponse, fault.Kill, fault.Refuse, fault.Hang}[d.rng.IntN(5)]}
		ends := at + d.milliseconds(100, 2500)
		d.addFault(ends, end)
		if d.chance(0.5) { // lines to the others are gone, and new ones take long
			gone := ends + d.milliseconds(0, 400)
			for i := range d.Backends.Count {
				if o := d.backendName(i); o != b {
					d.addFault(gone, fault.Event{Duration: 20 * time.Millisecond, Verb: fault.Refuse, Target: o})
					d.addFault(gone+20*time.Millisecond, fault.Event{Duration: d.milliseconds(100, 700), Verb: fault.NotAccepting, Target: o})
				}
			}
		}
	}
}

// streaming: answers too large to be held flow through slow links and to slow clients, and break on their way.
func (d *scenarioBuilder) streaming() {
	d.Backends.Count, d.Instances = 1+d.rng.IntN(4), 1+d.rng.IntN(3)
	d.Backends.Work, d.Backends.Body = strictyaml.Duration(time.Duration(d.oneOf(5, 15, 40))*time.Millisecond), int(d.oneOf(5000, 20000, 40000))
	d.setLoad(d.between(0.1, 0.6))
	d.Rate = min(d.Rate, 60)
	for range 1 + d.rng.IntN(4) {
		e := fault.Event{Duration: d.milliseconds(1000, 6000), Verb: fault.Throttle, Target: d.backendName(d.rng.IntN(d.Backends.Count)), Value: math.Round(float64(d.Backends.Body) / d.between(0.5, 5))}
		switch d.rng.IntN(4) {
		case 0:
			e.Verb, e.Value = fault.ResetResponse, float64(d.rng.IntN(d.Backends.Body))
		case 1:
			e.Verb, e.Target, e.Value = fault.SlowClients, "*", d.between(0.1, 0.5)
		}
		d.addFault(d.milliseconds(500, 9000), e)
	}
}

// draining: boxes leave in waves, with and without notice, while their queues are full and lines to them are being made.
func (d *scenarioBuilder) draining() {
	d.fleet()
	d.Backends.Count = max(2, d.Backends.Count)
	d.setLoad(d.between(0.8, 2.5))
	d.Clients.NewConnShare = d.oneOf(0.02, 0.2, 0.8)
	order := d.rng.Perm(d.Backends.Count)
	at := d.milliseconds(1000, 3000)
	for i := range max(1, min(d.portion(), d.Backends.Count-1)) {
		if d.chance(0.3) {
			at += d.milliseconds(200, 1500)
		}
		b := d.backendName(order[i])
		if d.chance(0.5) { // a line that is made slowly meets the notice
			d.addFault(at-d.milliseconds(0, 500), fault.Event{Duration: d.milliseconds(300, 2500), Verb: []fault.Verb{fault.AddedLatency, fault.NotAccepting, fault.Pause}[d.rng.IntN(3)], Target: b,
				Value: d.between(50, 400)})
		}
		if at > time.Duration(d.Seconds*0.8*float64(time.Second)) {
			break
		}
		d.addFault(at, fault.Event{Duration: d.milliseconds(300, 3000), Verb: []fault.Verb{fault.Drain, fault.Replace, fault.Vanish}[d.rng.IntN(3)], Target: b})
	}
}
