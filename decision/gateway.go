// The interface of this package, its settings, events and actions, is api.go.

// Package decision makes every decision of a gateway that keeps each customer of a shared back end to its plan.
package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Tuned constants. Those that the design leaves open were set by measurement; docs/design.md has the record.
const (
	tick           = 50 * time.Millisecond  // housekeeping; well under any aim
	period         = 300 * time.Millisecond // T of the loops: several service times, few per trouble
	margin         = 20.0                   // G, gain margin of the loops
	offeredOver    = 2 * time.Second        // smoothing of the work asked for and granted
	justBelow      = 0.95                   // set point, as a share of the load where servers refuse
	mostOver       = 1.3                    // U is read up to this: a jam is not more urgent for being long
	slowest        = 0.4                    // expected wait, as a share of the aim, that counts as full load
	tooSlow        = 0.8                    // the same at which an attempt is not begun
	fullUse        = 1.0                    // reported use of processors that counts as full load
	mostBad        = 0.35                   // share of bad attempts that counts as full load
	window         = time.Second            // of the averages of the sensor
	fewest         = 12.0                   // events that they hold at least: fewer are noise
	slower         = 4.0                    // multiple of that for what a place in line takes
	firstShare     = 0.15                   // first guess of a latency, as a share of the aim
	leastOwn       = 0.1                    // share of an attempt's time that is the server's at least
	mostUse        = 1.2                    // reports above these are taken as these
	mostLine       = 1000.0                 // requests in work; reports above are taken as this
	probeDear      = 0.05                   // price of a probe a request above which none is sent
	reportLife     = 4 * time.Second        // without reports for this long there are none
	linger         = time.Second            // how fast news fades
	ownFew         = 5.0                    // own attempts out that weigh as much as the reports
	trust          = 0.5                    // how long the rest of a quota is relied on, in its times
	openFade       = 1.0                    // fading time of attempts out that were never taken back, in aims
	askedPart      = 0.35                   // share of a ceiling that may be passed on by asking alone
	forgotten      = 0.5                    // share of a total as heard, faded, below which it was lost
	mostFades      = 45.0                   // life of a counter name in fading times, short of overflow
	mostLife       = 50 * time.Second       // but no longer
	awayShare      = 0.1                    // most of an aim that a client is told to stay away
	mostWait       = 1.0                    // seconds until a customer beyond its quota is asked about again
	addEvery       = 250 * time.Millisecond // how long use is kept before it is added
	worthTelling   = 0.1                    // share of a quota from which use waits for a call
	askLess        = 0.85                   // factor on the chance of a call after a refused answer
	askSlow        = 0.6                    // and after a slow one or none: the counter works for nobody
	askMore        = 1.06                   // and after a good one
	askFast        = 1.25                   // and when the last slow or refused one is past by askCalm
	askCalm        = 4 * time.Second        // long enough for the counter to have recovered
	blind          = 0.4                    // share of its chance to be inside that a blind try counts
	memory         = 5 * time.Second        // over which a gateway remembers what was asked of it
	prior          = 0.5                    // requests that the pool counts beside what was asked here
	leastAsking    = 0.15                   // least chance of a call
	bearable       = 0.3                    // share of what pushes a cold server over that it is sent at most
	luck           = 4.0                    // roots of what a cold server gets, left free for chance
	works          = 12.0                   // times the share of good answers: from 1 on a server works
	atOnce         = 0.3                    // of that in the stated time, what may come at once
	otherZone      = 1.005                  // factor on the expected wait in another zone
	choices        = 3                      // servers compared for one attempt
	mostDraws      = 24                     // draws to find them
	moreChoices    = 6.0                    // further ones, times the share of attempts that fail
	healthMemory   = 10 * time.Second       // how long a server's failures and answers are remembered
	healthPrior    = 0.5                    // attempts that the rate of failures anywhere counts beside them
	riskCost       = 1.0                    // a sure failure as a wait, in aims
	stallTimes     = 4.0                    // silence, in usual latencies, after which a server is suspected
	patience       = 8.0                    // deviations above the mean latency that an attempt may take
	keySafe        = 0.9                    // share of a key's life that is relied on, for drift and the way
	smoothing      = 0.05                   // weight of a new latency
	mostSlow       = 10.0                   // a server is taken to be slower by this at most
	slownessWeight = 0.03                   // weight of one latency in a server's slowness
	nameLife       = time.Minute            // life of a counter name, more than mostLife
	sweepAtOnce    = 20                     // customers looked at in a tick
	customerTTL    = 60 * time.Second       // a customer idle for this long is forgotten
	leftover       = 30 * time.Second       // an attempt never heard of is forgotten this long after its end
)

// New makes a gateway. The actions are its first ones.
func New(set Settings, seed uint64, now time.Duration) (*Gateway, []Action, error) {
	if err := check(set); err != nil {
		return nil, nil, err
	}
	if !(set.SlowStartShare > 0) || set.SlowStartShare > 1 {
		set.SlowStartShare = 1 // no cold start is described
	}
	set.MaxAttempts, set.Instances = max(1, set.MaxAttempts), max(1, set.Instances)
	set.MaxUnits = max(1, set.MaxUnits)
	set.Plans = append(slices.Clone(set.Plans), Plan{WeightFactor: 1}) // for plans that were not described
	random := rand.NewPCG(seed, 0)
	g := &Gateway{set: set, random: random, rng: rand.New(random), now: now,
		asking: 1, customers: map[string]*customer{}, calls: map[string][]call{},
		servers: map[BackendID]*server{}, requests: map[RequestID]*request{}}
	few := average{least: fewest, window: window.Seconds(), fade: linger.Seconds(), at: now}
	many := few
	many.least *= slower
	for _, c := range set.Classes {
		g.failing = append(g.failing, many)
		first := c.LatencyObjective.Seconds() * firstShare
		g.latency = append(g.latency, latency{mean: first, dev: first})
	}
	g.sensor = sensor{sampled: now, line: few, use: few, bad: few, took: many, place: many}
	g.sensor.took.value, g.sensor.took.weight = firstShare, 1
	g.sensor.place.value, g.sensor.place.weight = 1, 1
	g.told, g.borne, g.able, g.picked, g.tried = many, few, few, few, few
	g.told.add(1, now)
	// until more is known, all gateways together send a server one after the other
	g.pace = 1 / (max(tick, set.Classes[0].LatencyObjective).Seconds() * firstShare * float64(set.Instances))
	g.borne.add(g.pace, now)
	g.able.add(1, now)
	for _, p := range g.set.Plans {
		g.dear = max(g.dear, p.WeightFactor)
		g.quotas, g.lets = append(g.quotas, g.quotaOf(p)), append(g.lets, many)
	}
	g.rankClasses()
	g.subscribe = set.Subscribe
	g.tick()
	return g, g.out, nil
}

// Handle takes in an event and returns what to do now. Events that name what is unknown or over are ignored.
func (g *Gateway) Handle(e Event, now time.Duration) []Action {
	g.now, g.out = max(g.now, now), nil
	switch e := e.(type) {
	case RequestArrived:
		g.arrived(e)
	case ClientDisconnected:
		if r := g.requests[e.Request]; r != nil && !r.ended {
			g.end(r, false)
		}
	case AttemptEnded:
		g.attemptEnded(e)
	case StreamStarted:
		if r := g.requests[e.Request]; r != nil && !r.ended {
			r.streaming = true
		}
	case ProbeEnded:
		if g.servers[e.Backend] != nil && e.Outcome == OK {
			g.report(e.Load)
		}
	case CounterReplied:
		g.counted(e)
	case EndpointsChanged:
		g.serversChanged(e)
	case TimerFired:
		switch e.Timer.Kind {
		case TickTimer:
			g.tick()
		case DeadlineTimer:
			g.deadline(e.Timer.Request)
		}
	}
	return g.out
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) tick() {
	g.do(SetTimer{At: g.now + tick, Timer: Timer{Kind: TickTimer}})
	g.addUse()
	g.sweep()
	if g.now-g.sensor.sampled < period {
		return
	}
	g.control()
	if g.subscribe { // not at once after a failure: many gateways hear of it together
		g.subscribe = false
		g.do(WatchEndpoints{})
	}
	// one probe at a time, so that each server is heard of within a report's life
	if n := len(g.list); n > 0 && g.set.Probes && g.set.LoadByProbe && g.set.ProbeCost < probeDear {
		g.turn++
		g.do(Probe{Backend: g.list[g.turn%n].Backend})
	}
}

// 1. Sensor: how loaded the back end is.

// report takes in a server's load. Figures that no server can have are not taken.
func (g *Gateway) report(load []float64) {
	for i, f := range g.set.LoadFields {
		if i >= len(load) || anyBad(load[i]) {
			continue
		}
		switch f {
		case FieldUtil:
			g.sensor.use.add(min(load[i], mostUse), g.now)
		case FieldInFlight:
			g.sensor.line.add(min(load[i], mostLine), g.now)
		}
	}
}

// inLine is the number of requests in work at a server: what was reported lately, and what this gateway has
// out, taken as its share. That is known at once but says little where it is few.
func (g *Gateway) inLine() float64 {
	told, out := g.sensor.line.now(g.now), float64(g.open)
	own := out * float64(g.set.Instances) / float64(max(1, len(g.list)))
	return told + (own-told)*out/(out+ownFew)
}

// wait is what to expect of a new attempt anywhere, as a share of its aim: what a place in line takes, times
// the line that servers report. It rises with the line at once, long before slow answers come back. Without
// reports it is what attempts took.
func (g *Gateway) wait() float64 {
	return g.sensor.took.value * (g.inLine() + 1) / g.sensor.place.value
}

// lineAt is the number of requests in work at one server: the mean, and what this gateway has there. What a
// server reported of itself is not used: many would go where the line was short.
func (g *Gateway) lineAt(s *server) float64 {
	n := float64(g.set.Instances)
	others := g.inLine()
	others += (float64(s.open)*n - others) / n
	return others*(n-1)/n + float64(s.open)
}

// expect is what to expect of a new attempt at one server, as a share of its aim.
func (g *Gateway) expect(s *server) float64 {
	return g.sensor.took.value / g.sensor.place.value * (g.lineAt(s) + 1) * s.slowness
}

// estimate gives U, where 1 is the load at which servers refuse or are too slow: halfway between the wait to
// expect and the use that servers report, or the wait alone where none do. What is refused, timed out or
// late counts whatever they say.
func (g *Gateway) estimate() float64 {
	u := g.wait() / slowest
	if use := &g.sensor.use; use.weight > 0 && g.now-use.at < reportLife {
		u = (u + use.value/fullUse) / 2
	}
	return max(u, g.sensor.bad.now(g.now)/mostBad)
}

// 2. Loops: the fraction of customers admitted, by priority class.

// rankClasses gives each worth that a class under a plan can have its loop, and use beyond soft quotas the
// last.
func (g *Gateway) rankClasses() {
	var worths []float64
	for _, c := range g.set.Classes {
		for _, p := range g.set.Plans {
			worths = append(worths, -c.PriorityWeight*p.WeightFactor)
		}
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	g.loops = slices.Repeat([]loop{{f: 1}}, len(worths)+1)
	for _, c := range g.set.Classes {
		var row []int
		for _, p := range g.set.Plans {
			row = append(row, slices.Index(worths, -c.PriorityWeight*p.WeightFactor))
		}
		g.rank = append(g.rank, row)
	}
}

// control moves every f once a period. A class's set point is what the classes above it leave (section 5 of
// the paper); U is split by the work admitted. In this incremental form the integrator halts at the bounds
// of f. p_max, U over f at the set point, is the set point times what a class asks for over what all are
// granted.
func (g *Gateway) control() {
	u := min(mostOver, g.estimate())
	t := (g.now - g.sensor.sampled).Seconds()
	g.sensor.sampled = g.now
	g.learnPace(t)
	ki := 5 * math.Pi / (3 * t) / math.Sqrt(3) // w over the root of 3
	total := 0.0
	for _, l := range g.loops {
		total += l.work
	}
	keep := math.Exp(-t / offeredOver.Seconds())
	left := justBelow
	for i := range g.loops {
		l := &g.loops[i]
		own := 0.0
		if total > 0 {
			own = u * l.work / total
		}
		e := left - own
		pmax := justBelow * max(l.asked, total/20) / max(total, 1e-9)
		kp := math.Sqrt(3) / (2 * margin * pmax)
		l.f = min(1, max(0, l.f+kp*(e-l.err+ki*t*e)))
		l.err, l.work, l.asked = e, l.work*keep, l.asked*keep
		left -= own
	}
}

// 3. Quota: each customer's plan, shared by its gateways through the counter.

// planIndex is the plan of a request; the last, without limits, is for those that were not described.
func (g *Gateway) planIndex(p PlanID) int { return int(min(uint(p), uint(len(g.set.Plans)-1))) }

// customer finds or makes the record. A new one gets the split of its burst, and of a ceiling the split of
// its slack: it may have been drawn on until a moment ago.
func (g *Gateway) customer(e RequestArrived) *customer {
	c := g.customers[e.Customer]
	if c == nil {
		c = &customer{id: e.Customer, hash: hash(e.Customer), at: g.now, plan: g.planIndex(e.Plan)}
		c.quota = &g.quotas[c.plan]
		c.spread = float64(min(max(1, e.Spread), g.set.Instances))
		c.asks = g.set.Counter && c.spread > 1 && c.quota.most > 0
		c.level, c.ceiling = c.quota.burst/c.spread, g.set.Plans[c.plan].CeilingSlack/c.spread
		g.customers[e.Customer] = c
		g.roll = append(g.roll, c)
	}
	c.used = g.now
	g.settle(c)
	return c
}

// quotaOf says how the use of a plan's customers is counted: as a total that fades so fast that a customer
// who spends at the rate of the plan keeps it at the burst; for a plan that limits attempts out, so fast that
// it stands for those. Then one answer of the counter tells the customer's recent use by all gateways.
func (g *Gateway) quotaOf(p Plan) quota {
	q := quota{rate: p.Rate, burst: p.Burst}
	if p.CeilingRate > 0 && q.rate == 0 {
		q.rate, q.burst = p.CeilingRate, p.CeilingBurst
	}
	q.most = q.burst
	if q.rate == 0 {
		q.most = float64(p.MaxInFlight)
		for _, c := range g.set.Classes {
			q.fade += openFade * max(c.LatencyObjective, tick).Seconds() / float64(len(g.set.Classes))
		}
		return q
	}
	q.fade = max(tick.Seconds(), q.burst/q.rate)
	return q
}

// settle fills the splits of a customer's stores up to now. Of a ceiling, a part is kept for what is passed
// on by asking when the split is empty.
func (g *Gateway) settle(c *customer) {
	dt, p, part := (g.now - c.at).Seconds(), g.set.Plans[c.plan], 1.0
	if c.asks {
		part -= askedPart
	}
	c.level = min(max(c.quota.burst/c.spread, g.set.MaxUnits), c.level+c.quota.rate/c.spread*dt)
	c.ceiling = min(part*p.CeilingBurst/c.spread, c.ceiling+part*p.CeilingRate/c.spread*dt)
	c.seen *= math.Exp(-dt / memory.Seconds())
	c.at = g.now
}

// weight is what a unit counts now in the total of a customer, and the name of that. Names change before
// numbers grow too large or are forgotten, those of different customers at different times.
func (g *Gateway) weight(c *customer) (float64, string) {
	life := min(mostLife.Seconds(), mostFades*c.quota.fade)
	epoch, age := math.Modf(g.now.Seconds()/life + c.hash)
	name := c.id
	if len(name) > 40 { // names are bounded
		name = strconv.FormatUint(math.Float64bits(c.hash), 36)
	}
	return math.Exp(age * life / c.quota.fade), name + "." + strconv.FormatInt(int64(epoch), 36)
}

// call adds units to a customer's total, with those that were not added before; r, if any, waits for it.
func (g *Gateway) call(c *customer, units float64, r *request) {
	w, name := g.weight(c)
	rest := c.fresh
	c.fresh = 0
	if r != nil {
		r.name, r.weight = name, w
	}
	g.calls[name] = append(g.calls[name], call{c: c, r: r, weight: w, units: rest, at: g.now})
	g.do(AddToCounter{Name: name, Amount: (units + rest) * w, TTL: nameLife})
}

// takeBack undoes what was added for a request: refused in the end, or an attempt that is no longer out.
func (g *Gateway) takeBack(r *request) {
	r.told = false
	k := call{c: r.customer, weight: r.weight, units: -r.units, at: g.now}
	g.calls[r.name] = append(g.calls[r.name], k)
	g.do(AddToCounter{Name: r.name, Amount: -r.units * r.weight, TTL: nameLife})
}

// mayCall spends calls by chance when the counter is crowded: refused and slow answers lower the chance.
func (g *Gateway) mayCall(worth float64) bool {
	return g.asking == 1 || g.rng.Float64() < g.asking*worth
}

// standing judges a try by what is known: beyond the quota, until the total last heard can have faded enough;
// inside it, while others could not have used up the rest even at several times the rate.
func (g *Gateway) standing(c *customer, units float64) standing {
	p := g.set.Plans[c.plan]
	left := (c.quota.most - c.total/g.told.value - c.fresh - units) / c.quota.most
	switch {
	case p.MaxInFlight > 0 && c.open >= p.MaxInFlight:
		return beyond
	case !c.asks:
		if p.Rate > 0 && c.level < units || p.MaxInFlight > 0 && float64(c.open) >= float64(p.MaxInFlight)/c.spread {
			return beyond
		}
		return inside
	case g.now < c.next:
		return beyond
	case c.quota.rate == 0 || c.heard == 0 || !c.ceilingHolds(p, units):
	case (g.now - c.heard).Seconds() < trust*c.quota.fade*left:
		return inside
	}
	return unknown
}

// chance is how likely a try is inside the quota if nothing is asked: this gateway's split of the quota over
// the time of its memory, against what it was asked in that time; where attempts out are limited, as many as
// can be over in that time. Where it hardly ever sees the customer, as many as the counter lets in of all
// such tries.
func (g *Gateway) chance(c *customer, class ClassID) float64 {
	share := c.quota.rate / c.spread * memory.Seconds()
	if c.quota.rate == 0 {
		share = c.quota.most / max(tick.Seconds(), g.latency[class].mean) / c.spread * memory.Seconds()
	}
	return min(1, (prior*g.lets[c.plan].value+share)/(prior+c.seen))
}

// guess decides on a try of which the counter tells nothing: let in where that is worth more than it costs.
func (g *Gateway) guess(c *customer, class ClassID, units float64) bool {
	p, chance := g.set.Plans[c.plan], g.chance(c, class)
	switch {
	case !c.ceilingHolds(p, units):
		return false
	case p.Rate == 0 && float64(p.MaxInFlight) >= c.spread:
		return float64(c.open) < float64(p.MaxInFlight)/c.spread
	case p.Rate > 0 && c.quota.burst >= c.spread*units:
		return c.level >= units
	}
	return chance*blind > (1-chance)*p.OverQuotaCost
}

// ceilingHolds tells whether the split of a ceiling has room.
func (c *customer) ceilingHolds(p Plan, units float64) bool {
	return p.CeilingRate == 0 || units <= c.ceiling
}

// spend books the units of a first attempt that the counter has not been told of.
func (g *Gateway) spend(c *customer, units float64) {
	c.level = max(0, c.level-units)
	c.ceiling -= units
	if !c.asks || c.quota.rate == 0 {
		return
	}
	g.addLater(c, units)
}

// addLater keeps units until they may be added.
func (g *Gateway) addLater(c *customer, units float64) {
	if c.fresh += units; !c.queued {
		c.queued, c.addAt = true, g.now+addEvery
		g.due = append(g.due, c)
	}
}

// addUse tells the counter what was spent without asking.
func (g *Gateway) addUse() {
	g.due = slices.DeleteFunc(g.due, func(c *customer) bool {
		if g.now < c.addAt {
			return false
		}
		if c.fresh != 0 {
			told := g.mayCall(1)
			if !told && c.fresh > worthTelling*c.quota.most { // it is kept, and fades as it would there
				c.fresh *= math.Exp(-(g.now + addEvery - c.addAt).Seconds() / c.quota.fade)
				c.addAt = g.now + addEvery
				return false
			}
			if g.told.add(one(told), g.now); told {
				g.call(c, 0, nil)
			}
			c.fresh = 0
		}
		c.queued = false
		return true
	})
}

func (g *Gateway) counted(e CounterReplied) {
	line := g.calls[e.Name]
	if len(line) == 0 {
		return
	}
	k := line[0]
	if g.calls[e.Name] = line[1:]; len(line) == 1 {
		delete(g.calls, e.Name)
	}
	total := max(0, e.Total) // what was taken back may leave a trace below nothing
	c, ok := k.c, e.Outcome == OK && !anyBad(total)
	if e.Outcome == TimedOut || g.now-k.at > g.set.CounterTimeout/2 {
		g.asking, g.crowded = max(leastAsking, g.asking*askSlow), g.now
	} else if !ok {
		g.asking, g.crowded = max(leastAsking, g.asking*askLess), g.now
	} else if g.now-g.crowded > askCalm {
		g.asking = min(1, g.asking*askFast)
	} else {
		g.asking = min(1, g.asking*askMore)
	}
	if r := k.r; r != nil && r.ended && ok {
		g.takeBack(r) // its client is gone
	}
	g.settle(c)
	if k.units != 0 && (e.Outcome == Rejected || e.Outcome == ConnectFailed) {
		g.addLater(c, k.units*math.Exp(-(g.now-k.at).Seconds()/c.quota.fade))
	}
	if !ok {
		if k.r == nil || k.r.ended {
			return
		}
		in := g.guess(c, k.r.class, k.r.units)
		if e.Outcome == TimedOut && !in { // may have been added
			g.takeBack(k.r)
		}
		g.admit(k.r, in, false)
		return
	}
	last := c.total * math.Exp(-(g.now-c.heard).Seconds()/c.quota.fade)
	if c.heard > 0 && total/k.weight < forgotten*last { // it lets in too much until earlier use has faded
		c.wary = g.now + time.Duration(c.quota.fade*float64(time.Second))
	}
	c.total, c.heard = total/k.weight, g.now
	if k.r == nil || k.r.ended {
		return
	}
	units := k.r.units
	before := c.total - units
	in := before/g.told.value+units/2 <= c.quota.most // half a request above as often as below
	g.lets[c.plan].add(one(in), g.now)
	if !in {
		c.total = before
		room := max(c.quota.most-units/2, units/2) * g.told.value
		if c.quota.rate > 0 {
			wait := min(mostWait, c.quota.fade*math.Log(max(1, before/room)))
			c.next = g.now + time.Duration(wait*float64(time.Second))
		}
		if g.mayCall(1) {
			g.takeBack(k.r)
		}
	}
	p := g.set.Plans[c.plan]
	if in && !c.ceilingHolds(p, units) && (g.now < c.wary || before+units > askedPart*p.CeilingBurst) {
		k.r.why = OverQuota
		g.takeBack(k.r)
		g.end(k.r, true)
		return
	}
	g.admit(k.r, in, true)
}

// sweep forgets customers long idle, a few at a time.
func (g *Gateway) sweep() {
	for range min(sweepAtOnce, len(g.roll)) {
		if g.swept++; g.swept >= len(g.roll) { // a remainder would stand still while the roll grows
			g.swept = 0
		}
		i, last := g.swept, len(g.roll)-1
		if c := g.roll[i]; g.now-c.used > customerTTL && c.open == 0 && !c.queued {
			delete(g.customers, c.id)
			g.roll[i] = g.roll[last]
			if g.roll = g.roll[:last]; last == 0 {
				return
			}
		}
	}
}

// 4. Server choice and health.

func (g *Gateway) serversChanged(e EndpointsChanged) {
	if e.Failed {
		g.subscribe = g.set.Subscribe
		return
	}
	if e.Full {
		for _, s := range g.list {
			s.State = Removed
		}
	}
	for _, n := range e.Endpoints {
		s := g.servers[n.Backend]
		if s == nil && n.State == Removed {
			continue
		}
		if s == nil {
			s = &server{slowness: 1, health: make([]health, len(g.set.Classes))}
			g.servers[n.Backend] = s
		}
		if n.Started > s.Started && n.Started > 0 && n.Started+g.set.SlowStartTime > g.now {
			s.cold, s.coldAt = true, n.Started
			s.room, s.roomAt, s.need = 0, 0, g.rng.Float64()
			clear(s.health)
		}
		s.Endpoint = n
		if n.State == Up && !slices.Contains(g.list, s) {
			g.list = append(g.list, s)
		}
	}
	g.list = slices.DeleteFunc(g.list, func(s *server) bool {
		if s.State == Removed && s.open == 0 {
			delete(g.servers, s.Backend)
		}
		return s.State != Up
	})
}

// warmth is the share of its capacity that a server is sure to have. It counts as cold for as long after it
// is warm as is looked back on what it was sent.
func (g *Gateway) warmth(s *server) float64 {
	if !s.cold {
		return 1
	}
	age := g.now - s.coldAt
	s.cold = age < g.set.SlowStartTime+g.set.OverloadTime
	return g.set.SlowStartShare + (1-g.set.SlowStartShare)*min(1, max(0, float64(age)/float64(max(1, g.set.SlowStartTime))))
}

// risk is how likely an attempt of a class fails at a server: what it did to the last ones, an overdue answer
// counted as a failure, weighed against how often they fail anywhere. Where failures are rare, one tells
// much. Where many servers fail a class, those that answered it stand out. What all suffer changes nothing.
func (g *Gateway) risk(s *server, class ClassID) float64 {
	h := &s.health[class]
	keep := math.Exp(-(g.now - h.at).Seconds() / healthMemory.Seconds())
	fails, n := h.fails*keep, h.n*keep
	if s.open > 0 && g.now > s.due {
		fails, n = fails+1, n+1
	}
	return (g.failing[class].value*healthPrior + fails) / (healthPrior + n)
}

// judge takes an attempt's end into the health of its server: for its class, and a failure half for the
// others, since a server that hangs fails all.
func (g *Gateway) judge(s *server, class ClassID, o Outcome) {
	fail := 1.0
	switch o {
	case OK:
		fail = 0
	case BackendError, TimedOut, ConnectFailed, ConnectionReset:
	default:
		return
	}
	g.failing[class].add(fail, g.now)
	for i := range s.health {
		h, w := &s.health[i], 1.0
		if ClassID(i) != class {
			w = fail / 2
		}
		keep := math.Exp(-(g.now - h.at).Seconds() / healthMemory.Seconds())
		h.fails, h.n, h.at = h.fails*keep+fail*w, h.n*keep+w, g.now
	}
}

// bears tells whether a cold server can bear one more attempt. All gateways together send it at most a share
// of what pushes it over, in terms of the pace that servers are known to bear; less where that is so few
// attempts that their number and work, up to chance, may come to several times what is meant. This one's part
// is a bucket that fills at that rate. Where it never holds one attempt, chance decides each time that the
// server is picked, by the time since it was last picked: what the part brings in that time. So as many go as
// it allows, however seldom this gateway meets the server. That time counts up to what passes between two
// attempts that meet it, and the first time as what passes between two picks, so that many gateways do not
// come at once with what they saved up.
func (g *Gateway) bears(s *server) bool {
	if !s.cold || g.set.OverloadFactor <= 0 || g.set.OverloadTime <= 0 {
		return true
	}
	limit := g.set.OverloadFactor * g.warmth(s) * g.pace // this one's part, in attempts a second
	all := limit * float64(g.set.Instances) * g.set.OverloadTime.Seconds()
	few := math.Sqrt(luck*luck+4*all) - luck // twice the root of what leaves room for luck
	rate := limit * min(bearable, few*few/4/max(all, 1e-9))
	most := rate * atOnce * g.set.OverloadTime.Seconds()
	past := (g.now - s.roomAt).Seconds()
	if most >= 1 {
		s.room = min(most, s.room+rate*past*one(s.roomAt > 0))
	} else {
		between := g.allWarmth() / g.warmth(s)
		if s.roomAt == 0 {
			past = between / max(g.picked.value, g.picks/period.Seconds())
		} else {
			past = min(past, between/max(g.tried.value, g.tries/period.Seconds()))
		}
		s.room, s.need = one(g.rng.Float64() < rate*past), 1
	}
	s.roomAt = g.now
	if s.room < s.need {
		g.short = g.now + healthMemory
		return false
	}
	return true
}

// learnPace takes in what servers bore in a period: the good answers of those that work, for each of full
// warmth. One that is only overloaded still answers many; one that hangs, none. While attempts are held back
// their number is no measure: then only failures make the pace smaller.
func (g *Gateway) learnPace(t float64) {
	sum := 0.0
	for _, s := range g.list {
		fails, n := healthPrior, 2*healthPrior
		for _, h := range s.health {
			fails, n = fails+h.fails, n+h.n
		}
		sum += g.warmth(s) * min(1, works*(1-max(0, fails-healthPrior)/n))
	}
	g.picked.add(g.picks/t, g.now)
	g.tried.add(g.tries/t, g.now)
	g.borne.add(g.good/t, g.now)
	g.able.add(sum, g.now)
	switch {
	case g.now < g.short:
		g.pace *= 1 - (1-(g.good+healthPrior)/(g.ends+healthPrior))/fewest
	case g.able.value > 0:
		g.pace = g.borne.value / g.able.value
	}
	g.good, g.ends, g.picks, g.tries = 0, 0, 0, 0
}

// allWarmth is that of all servers together.
func (g *Gateway) allWarmth() (sum float64) {
	for _, s := range g.list {
		sum += g.warmth(s)
	}
	return sum
}

// choose picks a server for the next attempt of r, or nil: of a few drawn at random, the one with the least
// wait and risk. A cold one is drawn as often as its warmth says, so that all gateways together give it its
// share however many they are, and an empty line attracts nobody who has not drawn it.
func (g *Gateway) choose(r *request) *server {
	class := g.set.Classes[r.class]
	g.tries++
	var spare *server
	drawn := make([]draw, 0, choices+moreChoices)
	most := choices + int(g.failing[r.class].value*moreChoices)
	for tries := 0; tries < mostDraws && len(g.list) > 0; tries++ {
		s := g.list[g.rng.IntN(len(g.list))]
		if g.rng.Float64() >= g.warmth(s) || !inScope(r, class, s) {
			continue
		}
		if r.triedAt(s) {
			spare = s
			continue
		}
		cost := g.expect(s)
		if s.Zone != g.set.Zone {
			cost *= otherZone
		}
		if drawn = append(drawn, draw{s, cost + g.risk(s, r.class)*riskCost}); len(drawn) == most {
			if s := g.pick(drawn); s != nil {
				return s
			}
			drawn = drawn[:0]
		}
	}
	if s := g.pick(drawn); s != nil {
		return s
	}
	if spare != nil && !g.bears(spare) {
		spare = nil
	}
	return spare
}

// pick takes the best of those drawn that bears one more attempt.
func (g *Gateway) pick(drawn []draw) *server {
	slices.SortStableFunc(drawn, func(a, b draw) int { return cmp.Compare(a.cost, b.cost) })
	for _, d := range drawn {
		if g.picks++; g.bears(d.s) {
			return d.s
		}
	}
	return nil
}

// inScope tells whether a server discards repeats of what r may have run already.
func inScope(r *request, class Class, s *server) bool {
	if class.Idempotency != IdempotentByKey || r.ranAt == nil || class.KeyScope == KeyScopeAll {
		return true
	}
	return class.KeyScope == KeyScopeZone && s.Zone == r.ranAt.Zone ||
		class.KeyScope == KeyScopeCell && s.Cell == r.ranAt.Cell
}

// 5. Attempts and answers.

func (g *Gateway) arrived(e RequestArrived) {
	if g.requests[e.Request] != nil {
		return
	}
	if e.Class < 0 || int(e.Class) >= len(g.set.Classes) {
		g.do(Fail{Request: e.Request})
		return
	}
	c := g.customer(e)
	r := &request{id: e.Request, class: e.Class, customer: c, units: e.Units, arrived: g.now,
		deadline: g.now + max(0, e.TimeLeft)}
	if anyBad(e.Units) {
		r.units = 1
	}
	if c.quota.rate == 0 {
		r.units = 1 // attempts are counted
	}
	g.requests[r.id] = r
	g.do(SetTimer{At: r.deadline, Timer: Timer{Kind: DeadlineTimer, Request: r.id}})
	switch g.standing(c, r.units) {
	case inside:
		g.admit(r, true, false)
	case beyond:
		g.admit(r, false, false)
	default:
		switch l := g.loops[g.rank[e.Class][c.plan]]; {
		case c.hash >= l.f: // not worth a call
			g.admit(r, true, false)
		case g.mayCall(g.chance(c, e.Class) * g.set.Plans[c.plan].WeightFactor / g.dear):
			g.call(c, r.units, r)
		default:
			g.admit(r, g.guess(c, r.class, r.units), false)
		}
	}
	if !e.Retry {
		c.seen += r.units
	}
}

// admit decides on a request that is inside or beyond its quota, and told to the counter or not.
func (g *Gateway) admit(r *request, inside, told bool) {
	c := r.customer
	p := g.set.Plans[c.plan]
	l := &g.loops[g.rank[r.class][c.plan]]
	if !inside {
		l, r.why = &g.loops[len(g.loops)-1], OverQuota
		if p.OverQuotaValue <= p.OverQuotaCost {
			g.end(r, true)
			return
		}
	}
	l.asked += g.latency[r.class].mean
	held := !(told && inside) && !c.ceilingHolds(p, r.units)
	if held {
		r.why = OverQuota
	}
	if c.hash >= l.f || held || !g.send(r) {
		if told && inside {
			g.takeBack(r)
		}
		if !r.ended {
			g.end(r, true)
		}
		return
	}
	l.work += g.latency[r.class].mean
	if told && inside {
		g.told.add(1, g.now)
		r.told = true
		c.level = max(0, c.level-r.units)
		c.ceiling = max(0, c.ceiling-r.units)
	} else {
		g.spend(c, r.units)
	}
}

// send starts the next attempt, or ends the request for want of a server.
func (g *Gateway) send(r *request) bool {
	s := g.choose(r)
	left := r.deadline - g.now
	if s == nil || left <= 0 || g.expect(s) > tooSlow && !r.ran {
		g.end(r, true)
		return false
	}
	place := g.lineAt(s) + 1
	r.attempts = append(r.attempts, attempt{server: s, sent: g.now, place: place, open: true})
	r.customer.open++
	if !slices.Contains(g.set.LoadFields, FieldInFlight) { // the line as this gateway's share of it tells
		g.sensor.line.add(float64(g.open*g.set.Instances)/float64(max(1, len(g.list))), g.now)
	}
	g.open++
	if s.open == 0 {
		s.due = g.now + g.overdue(r.class)
	}
	s.open++
	if s.cold {
		s.room--
		s.need = g.rng.Float64()
	}
	g.do(SendAttempt{Request: r.id, Backend: s.Backend, Timeout: g.timeout(r, left)})
	return true
}

// timeout gives up an attempt when another could still be in time, and else leaves it all that is left.
func (g *Gateway) timeout(r *request, left time.Duration) time.Duration {
	class := g.set.Classes[r.class]
	if class.Idempotency == NotIdempotent || class.Stream || len(r.attempts) >= g.set.MaxAttempts {
		return left
	}
	l := g.latency[r.class]
	t := max(time.Duration((l.mean+patience*l.dev)*float64(time.Second)), class.LatencyObjective)
	if class.Idempotency == IdempotentByKey && g.now+t > r.arrived+safe(class) {
		return left
	}
	return min(t, left)
}

func (g *Gateway) attemptEnded(e AttemptEnded) {
	r := g.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := &r.attempts[e.Attempt]
	s := a.server
	g.close(r, e.Attempt)
	g.report(e.Load)
	class := g.set.Classes[r.class]
	took := (g.now - a.sent).Seconds()
	if e.Outcome == OK || e.Outcome == TimedOut {
		g.learn(s, a, max(took-e.RoundTrip.Seconds(), took*leastOwn)/max(class.LatencyObjective, tick).Seconds())
	}
	if l := &g.latency[r.class]; e.Outcome == OK {
		l.dev += (math.Abs(took-l.mean) - l.dev) * smoothing
		l.mean += (took - l.mean) * smoothing
	}
	g.judge(s, r.class, e.Outcome)
	if s.State == Up {
		g.ends++
		g.good += one(e.Outcome == OK)
	}
	if e.Outcome != NotSent && e.Outcome != Cancelled {
		bad := 0.0
		if e.Outcome == Rejected || e.Outcome == TimedOut || took > class.LatencyObjective.Seconds() {
			bad = 1
		}
		g.sensor.bad.add(bad, g.now)
	}
	if !r.ran && e.Outcome != Rejected && e.Outcome != ConnectFailed && e.Outcome != NotSent {
		r.ran, r.ranAt, r.ranSent = true, s, a.sent
	}
	switch {
	case r.ended:
		g.drop(r)
	case e.Answered || e.Outcome == OK:
		g.end(r, false)
	case g.mayRetry(r, class):
		g.send(r)
	default:
		g.end(r, true)
	}
}

// learn takes a latency, as a share of its aim, into what a place in line takes, and into how slow the server
// is beside the others: a few attempts tell little of that.
func (g *Gateway) learn(s *server, a *attempt, took float64) {
	m := &g.sensor
	s.slowness += (min(mostSlow, took*m.place.value/(m.took.value*a.place)) - s.slowness) * slownessWeight
	m.took.add(took, g.now)
	m.place.add(a.place, g.now)
}

// overdue is the silence after which an attempt's server is suspected.
func (g *Gateway) overdue(class ClassID) time.Duration {
	return time.Duration(stallTimes * g.latency[class].mean * float64(time.Second))
}

// safe is how long a keyed class's repeats are sure to be discarded.
func safe(c Class) time.Duration { return time.Duration(keySafe * float64(c.KeyTTL)) }

// mayRetry tells whether a further attempt is harmless and of use. What it adds to the load, the loops see.
func (g *Gateway) mayRetry(r *request, class Class) bool {
	if len(r.attempts) >= g.set.MaxAttempts || r.streaming {
		return false
	}
	if r.ran && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && g.now >= r.ranSent+safe(class)) {
		return false
	}
	useful := r.deadline
	if class.LateShare == 0 {
		useful = min(useful, r.arrived+class.LatencyObjective)
	}
	return (useful - g.now).Seconds() > g.latency[r.class].mean/2
}

// end is the only place where a request ends; an answer is owed unless the client has it or is gone. A
// refusal that could mislead becomes a failure: what may have run and must not again, or whose repeats only
// some discard.
func (g *Gateway) end(r *request, owed bool) {
	r.ended = true
	class := g.set.Classes[r.class]
	out := false
	for i := range r.attempts {
		if r.attempts[i].open {
			out = true
			if g.set.Cancel && !r.streaming {
				g.do(CancelAttempt{Request: r.id, Attempt: i})
			}
		}
	}
	promise := class.Idempotency == Idempotent || !r.ran && !out || class.Idempotency == IdempotentByKey && class.KeyScope == KeyScopeAll
	switch {
	case owed && promise && len(r.attempts) == 0:
		g.do(Reject{Request: r.id, Reason: r.why, RetryAfter: g.comeBack(r)})
	case owed && promise:
		r.why = NoCapacity
		g.do(Reject{Request: r.id, Reason: r.why, RetryAfter: g.comeBack(r)})
	case owed:
		g.do(Fail{Request: r.id})
	}
	g.drop(r)
}

// comeBack is when another try has a chance: beyond the quota, when the counter may be asked or the split
// has filled, or an attempt that is out is likely over; for want of room, when the loops have moved.
func (g *Gateway) comeBack(r *request) time.Duration {
	if !g.set.RetryAfter {
		return 0
	}
	c, wait := r.customer, period
	switch {
	case r.why != OverQuota:
	case c.next > g.now:
		wait = c.next - g.now
	case c.quota.rate > 0:
		short := max(0, r.units-c.level) / (c.quota.rate / c.spread)
		wait = time.Duration(min(mostWait, short) * float64(time.Second))
	default:
		wait = time.Duration(g.latency[r.class].mean * float64(time.Second))
	}
	most := time.Duration(awayShare * float64(g.set.Classes[r.class].LatencyObjective))
	return min(max(tick, min(wait, most)), max(0, g.set.MaxRetryAfter))
}

// deadline is the backstop: an answer while the client still waits, and later an end to attempts never heard
// of.
func (g *Gateway) deadline(id RequestID) {
	r := g.requests[id]
	if r == nil || g.now < r.deadline {
		return
	}
	if !r.ended && !r.streaming {
		g.end(r, true)
	} else if r.ended && g.now >= r.deadline+leftover {
		for i := range r.attempts {
			g.close(r, i)
		}
		g.drop(r)
	}
	if g.requests[id] != nil {
		g.do(SetTimer{At: g.now + leftover, Timer: Timer{Kind: DeadlineTimer, Request: id}})
	}
}

// close marks an attempt as over.
func (g *Gateway) close(r *request, i int) {
	if a := &r.attempts[i]; a.open {
		a.open = false
		g.open--
		a.server.open--
		a.server.due = g.now + g.overdue(r.class)
		c := r.customer
		if c.open--; r.told && c.quota.rate == 0 {
			g.takeBack(r)
		}
		if s := a.server; s.State == Removed && s.open == 0 {
			delete(g.servers, s.Backend)
		}
	}
}
