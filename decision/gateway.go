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
	housekeepingInterval   = 50 * time.Millisecond  // housekeeping; well under any aim
	controlPeriod          = 300 * time.Millisecond // T of the loops: several service times, few per trouble
	controlGainMargin      = 20.0                   // G, gain margin of the loops
	workAverageTime        = 2 * time.Second        // smoothing of the work asked for and granted
	utilizationSetPoint    = 0.95                   // set point, as a share of the load where servers refuse
	maxUtilization         = 1.3                    // U is read up to this: a jam is not more urgent for being long
	fullLoadWait           = 0.4                    // expected wait, as a share of the aim, that counts as full load
	maxExpectedWait        = 0.8                    // the same at which an attempt is not begun
	fullLoadCPU            = 1.0                    // reported use of processors that counts as full load
	fullLoadBadShare       = 0.35                   // share of bad attempts that counts as full load
	loadWindow             = time.Second            // of the averages of the sensor
	minSamples             = 12.0                   // events that they hold at least: fewer are noise
	latencySampleFactor    = 4.0                    // multiple of that for what a place in line takes
	initialLatencyShare    = 0.15                   // first guess of a latency, as a share of the aim
	minBackendTimeShare    = 0.1                    // share of an attempt's time that is the server's at least
	maxReportedCPU         = 1.2                    // reports above these are taken as these
	maxReportedInFlight    = 1000.0                 // requests in work; reports above are taken as this
	maxProbeCost           = 0.05                   // price of a probe a request above which none is sent
	loadReportTTL          = 4 * time.Second        // without reports for this long there are none
	loadFadeTime           = time.Second            // how fast news fades
	ownInFlightPrior       = 5.0                    // own attempts out that weigh as much as the reports
	quotaTrustFactor       = 0.5                    // how long the rest of a quota is relied on, in its times
	inFlightFadeFactor     = 1.0                    // fading time of attempts out that were never taken back, in aims
	ceilingCounterShare    = 0.35                   // share of a ceiling that may be passed on by asking alone
	counterResetRatio      = 0.5                    // share of a total as heard, faded, below which it was lost
	maxCounterNameFades    = 45.0                   // life of a counter name in fading times, short of overflow
	maxCounterNamePeriod   = 50 * time.Second       // but no longer
	maxRetryAfterShare     = 0.1                    // most of an aim that a client is told to stay away
	maxOverQuotaWait       = 1.0                    // seconds until a customer beyond its quota is asked about again
	pendingUseDelay        = 250 * time.Millisecond // how long use is kept before it is added
	pendingUseKeepShare    = 0.1                    // share of a quota from which use waits for a call
	rejectedCallFactor     = 0.85                   // factor on the chance of a call after a refused answer
	slowCallFactor         = 0.6                    // and after a slow one or none: the counter works for nobody
	goodCallFactor         = 1.06                   // and after a good one
	recoveryCallFactor     = 1.25                   // and when the last slow or refused one is past by counterRecoveryTime
	counterRecoveryTime    = 4 * time.Second        // long enough for the counter to have recovered
	unconfirmedQuotaWeight = 0.4                    // share of its chance to be inside that a blind try counts
	demandMemory           = 5 * time.Second        // over which a gateway remembers what was asked of it
	demandPrior            = 0.5                    // requests that the pool counts beside what was asked here
	minCallProbability     = 0.15                   // least chance of a call
	slowStartLoadShare     = 0.3                    // share of what pushes a cold server over that it is sent at most
	confidenceMargin       = 4.0                    // roots of what a cold server gets, left free for chance
	workingBackendFactor   = 12.0                   // times the share of good answers: from 1 on a server works
	slowStartBurstShare    = 0.3                    // of that in the stated time, what may come at once
	otherZoneFactor        = 1.005                  // factor on the expected wait in another zone
	candidatesPerChoice    = 3                      // servers compared for one attempt
	maxDraws               = 24                     // draws to find them
	extraCandidates        = 6.0                    // further ones, times the share of attempts that fail
	failureMemory          = 10 * time.Second       // how long a server's failures and answers are remembered
	failurePrior           = 0.5                    // attempts that the rate of failures anywhere counts beside them
	failureCost            = 1.0                    // a sure failure as a wait, in aims
	suspectLatencies       = 4.0                    // silence, in usual latencies, after which a server is suspected
	timeoutDeviations      = 8.0                    // deviations above the mean latency that an attempt may take
	keyTTLShare            = 0.9                    // share of a key's life that is relied on, for drift and the way
	latencySmoothing       = 0.05                   // weight of a new latency
	maxSlowness            = 10.0                   // a server is taken to be slower by this at most
	slownessWeight         = 0.03                   // weight of one latency in a server's slowness
	counterNameTTL         = time.Minute            // life of a counter name, more than maxCounterNamePeriod
	customersPerSweep      = 20                     // customers looked at in a tick
	customerIdleTTL        = 60 * time.Second       // a customer idle for this long is forgotten
	lostAttemptTTL         = 30 * time.Second       // an attempt never heard of is forgotten this long after its end
)

// New makes a gateway. The actions are its first ones.
func New(set Settings, seed uint64, now time.Duration) (*Gateway, []Action, error) {
	if err := validate(set); err != nil {
		return nil, nil, err
	}
	if !(set.SlowStartShare > 0) || set.SlowStartShare > 1 {
		set.SlowStartShare = 1 // no cold start is described
	}
	set.MaxAttempts, set.Instances = max(1, set.MaxAttempts), max(1, set.Instances)
	set.MaxUnits = max(1, set.MaxUnits)
	set.Plans = append(slices.Clone(set.Plans), Plan{WeightFactor: 1}) // for plans that were not described
	random := rand.NewPCG(seed, 0)
	g := &Gateway{settings: set, randomSource: random, rng: rand.New(random), now: now,
		callProbability: 1, customers: map[string]*customerRecord{}, counterCalls: map[string][]counterCall{},
		backends: map[BackendID]*backendRecord{}, requests: map[RequestID]*requestRecord{}}
	few := movingAverage{minSamples: minSamples, window: loadWindow.Seconds(), fadeTime: loadFadeTime.Seconds(), updatedAt: now}
	many := few
	many.minSamples *= latencySampleFactor
	for _, c := range set.Classes {
		g.classFailureRate = append(g.classFailureRate, many)
		first := c.LatencyObjective.Seconds() * initialLatencyShare
		g.classLatency = append(g.classLatency, latencyEstimate{mean: first, deviation: first})
	}
	g.load = loadEstimator{sampledAt: now, reportedInFlight: few, reportedCPU: few, badShare: few, latencyRatio: many, queuePosition: many}
	g.load.latencyRatio.value, g.load.latencyRatio.weight = initialLatencyShare, 1
	g.load.queuePosition.value, g.load.queuePosition.weight = 1, 1
	g.reportedUseShare, g.throughput, g.effectiveCapacity, g.pickRate, g.choiceRate = many, few, few, few, few
	g.reportedUseShare.add(1, now)
	// until more is known, all gateways together send a server one after the other
	g.serviceRate = 1 / (max(housekeepingInterval, set.Classes[0].LatencyObjective).Seconds() * initialLatencyShare * float64(set.Instances))
	g.throughput.add(g.serviceRate, now)
	g.effectiveCapacity.add(1, now)
	for _, p := range g.settings.Plans {
		g.maxPlanWeight = max(g.maxPlanWeight, p.WeightFactor)
		g.planQuotas, g.insideShare = append(g.planQuotas, g.planQuotaOf(p)), append(g.insideShare, many)
	}
	g.buildControllers()
	g.watchPending = set.Subscribe
	g.housekeeping()
	return g, g.actions, nil
}

// Handle takes in an event and returns what to do now. Events that name what is unknown or over are ignored.
func (g *Gateway) Handle(e Event, now time.Duration) []Action {
	g.now, g.actions = max(g.now, now), nil
	switch e := e.(type) {
	case RequestArrived:
		g.handleRequest(e)
	case ClientDisconnected:
		if r := g.requests[e.Request]; r != nil && !r.ended {
			g.finish(r, false)
		}
	case AttemptEnded:
		g.handleAttemptEnd(e)
	case StreamStarted:
		if r := g.requests[e.Request]; r != nil && !r.ended {
			r.streaming = true
		}
	case ProbeEnded:
		if g.backends[e.Backend] != nil && e.Outcome == OK {
			g.recordLoadReport(e.Load)
		}
	case CounterReplied:
		g.handleCounterReply(e)
	case EndpointsChanged:
		g.handleEndpoints(e)
	case TimerFired:
		switch e.Timer.Kind {
		case TickTimer:
			g.housekeeping()
		case DeadlineTimer:
			g.handleDeadline(e.Timer.Request)
		}
	}
	return g.actions
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) housekeeping() {
	g.emit(SetTimer{At: g.now + housekeepingInterval, Timer: Timer{Kind: TickTimer}})
	g.flushPendingUse()
	g.sweepIdleCustomers()
	if g.now-g.load.sampledAt < controlPeriod {
		return
	}
	g.updateControllers()
	if g.watchPending { // not at once after a failure: many gateways hear of it together
		g.watchPending = false
		g.emit(WatchEndpoints{})
	}
	// one probe at a time, so that each server is heard of within a report's life
	if n := len(g.upBackends); n > 0 && g.settings.Probes && g.settings.LoadByProbe && g.settings.ProbeCost < maxProbeCost {
		g.probeTurn++
		g.emit(Probe{Backend: g.upBackends[g.probeTurn%n].Backend})
	}
}

// 1. Sensor: how loaded the back end is.

// recordLoadReport takes in a server's load. Figures that no server can have are not taken.
func (g *Gateway) recordLoadReport(load []float64) {
	for i, f := range g.settings.LoadFields {
		if i >= len(load) || anyInvalid(load[i]) {
			continue
		}
		switch f {
		case FieldUtil:
			g.load.reportedCPU.add(min(load[i], maxReportedCPU), g.now)
		case FieldInFlight:
			g.load.reportedInFlight.add(min(load[i], maxReportedInFlight), g.now)
		}
	}
}

// queueLength is the number of requests in work at a server: what was reported lately, and what this gateway has
// out, taken as its share. That is known at once but says little where it is few.
func (g *Gateway) queueLength() float64 {
	told, out := g.load.reportedInFlight.current(g.now), float64(g.inFlight)
	own := out * float64(g.settings.Instances) / float64(max(1, len(g.upBackends)))
	return told + (own-told)*out/(out+ownInFlightPrior)
}

// expectedWait is what to expect of a new attempt anywhere, as a share of its aim: what a place in line takes, times
// the line that servers report. It rises with the line at once, long before slow answers come back. Without
// reports it is what attempts took.
func (g *Gateway) expectedWait() float64 {
	return g.load.latencyRatio.value * (g.queueLength() + 1) / g.load.queuePosition.value
}

// queueLengthAt is the number of requests in work at one server: the mean, and what this gateway has there. What a
// server reported of itself is not used: many would go where the line was short.
func (g *Gateway) queueLengthAt(backend *backendRecord) float64 {
	instances := float64(g.settings.Instances)
	others := g.queueLength()
	others += (float64(backend.inFlight)*instances - others) / instances
	return others*(instances-1)/instances + float64(backend.inFlight)
}

// expectedWaitAt is what to expect of a new attempt at one server, as a share of its aim.
func (g *Gateway) expectedWaitAt(backend *backendRecord) float64 {
	return g.load.latencyRatio.value / g.load.queuePosition.value * (g.queueLengthAt(backend) + 1) * backend.slowness
}

// utilization gives U, where 1 is the load at which servers refuse or are too slow: halfway between the wait to
// expect and the use that servers report, or the wait alone where none do. What is refused, timed out or
// late counts whatever they say.
func (g *Gateway) utilization() float64 {
	utilization := g.expectedWait() / fullLoadWait
	if use := &g.load.reportedCPU; use.weight > 0 && g.now-use.updatedAt < loadReportTTL {
		utilization = (utilization + use.value/fullLoadCPU) / 2
	}
	return max(utilization, g.load.badShare.current(g.now)/fullLoadBadShare)
}

// 2. Loops: the fraction of customers admitted, by priority class.

// buildControllers gives each worth that a class under a plan can have its loop, and use beyond soft quotas the
// last.
func (g *Gateway) buildControllers() {
	var worths []float64
	for _, c := range g.settings.Classes {
		for _, p := range g.settings.Plans {
			worths = append(worths, -c.PriorityWeight*p.WeightFactor)
		}
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	g.controllers = slices.Repeat([]piController{{admitRatio: 1}}, len(worths)+1)
	for _, c := range g.settings.Classes {
		var row []int
		for _, p := range g.settings.Plans {
			row = append(row, slices.Index(worths, -c.PriorityWeight*p.WeightFactor))
		}
		g.controllerIndex = append(g.controllerIndex, row)
	}
}

// updateControllers moves every f once a period. A class's set point is what the classes above it leave (section 5 of
// the paper); U is split by the work admitted. In this incremental form the integrator halts at the bounds
// of f. p_max, U over f at the set point, is the set point times what a class asks for over what all are
// granted.
func (g *Gateway) updateControllers() {
	utilization := min(maxUtilization, g.utilization())
	elapsed := (g.now - g.load.sampledAt).Seconds()
	g.load.sampledAt = g.now
	g.updateServiceRate(elapsed)
	integralGain := 5 * math.Pi / (3 * elapsed) / math.Sqrt(3) // w over the root of 3
	totalWork := 0.0
	for _, controller := range g.controllers {
		totalWork += controller.admittedWork
	}
	decay := math.Exp(-elapsed / workAverageTime.Seconds())
	available := utilizationSetPoint
	for i := range g.controllers {
		controller := &g.controllers[i]
		share := 0.0
		if totalWork > 0 {
			share = utilization * controller.admittedWork / totalWork
		}
		controlError := available - share
		peakUtilization := utilizationSetPoint * max(controller.offeredWork, totalWork/20) / max(totalWork, 1e-9)
		proportionalGain := math.Sqrt(3) / (2 * controlGainMargin * peakUtilization)
		controller.admitRatio = min(1, max(0, controller.admitRatio+proportionalGain*(controlError-controller.lastError+integralGain*elapsed*controlError)))
		controller.lastError, controller.admittedWork, controller.offeredWork = controlError, controller.admittedWork*decay, controller.offeredWork*decay
		available -= share
	}
}

// 3. Quota: each customer's plan, shared by its gateways through the counter.

// planIndex is the plan of a request; the last, without limits, is for those that were not described.
func (g *Gateway) planIndex(p PlanID) int { return int(min(uint(p), uint(len(g.settings.Plans)-1))) }

// findOrAddCustomer finds or makes the record. A new one gets the split of its burst, and of a ceiling the split of
// its slack: it may have been drawn on until a moment ago.
func (g *Gateway) findOrAddCustomer(event RequestArrived) *customerRecord {
	customer := g.customers[event.Customer]
	if customer == nil {
		customer = &customerRecord{id: event.Customer, admissionHash: admissionHash(event.Customer), refilledAt: g.now, plan: g.planIndex(event.Plan)}
		customer.quota = &g.planQuotas[customer.plan]
		customer.instances = float64(min(max(1, event.Spread), g.settings.Instances))
		customer.usesCounter = g.settings.Counter && customer.instances > 1 && customer.quota.maxTotal > 0
		customer.tokens, customer.ceilingTokens = customer.quota.burst/customer.instances, g.settings.Plans[customer.plan].CeilingSlack/customer.instances
		g.customers[event.Customer] = customer
		g.customerList = append(g.customerList, customer)
	}
	customer.lastUsedAt = g.now
	g.refillTokens(customer)
	return customer
}

// planQuotaOf says how the use of a plan's customers is counted: as a total that fades so fast that a customer
// who spends at the rate of the plan keeps it at the burst; for a plan that limits attempts out, so fast that
// it stands for those. Then one answer of the counter tells the customer's recent use by all gateways.
func (g *Gateway) planQuotaOf(plan Plan) planQuota {
	quota := planQuota{rate: plan.Rate, burst: plan.Burst}
	if plan.CeilingRate > 0 && quota.rate == 0 {
		quota.rate, quota.burst = plan.CeilingRate, plan.CeilingBurst
	}
	quota.maxTotal = quota.burst
	if quota.rate == 0 {
		quota.maxTotal = float64(plan.MaxInFlight)
		for _, class := range g.settings.Classes {
			quota.fadeTime += inFlightFadeFactor * max(class.LatencyObjective, housekeepingInterval).Seconds() / float64(len(g.settings.Classes))
		}
		return quota
	}
	quota.fadeTime = max(housekeepingInterval.Seconds(), quota.burst/quota.rate)
	return quota
}

// refillTokens fills the splits of a customer's stores up to now. Of a ceiling, a part is kept for what is passed
// on by asking when the split is empty.
func (g *Gateway) refillTokens(customer *customerRecord) {
	elapsed, plan, splitShare := (g.now - customer.refilledAt).Seconds(), g.settings.Plans[customer.plan], 1.0
	if customer.usesCounter {
		splitShare -= ceilingCounterShare
	}
	customer.tokens = min(max(customer.quota.burst/customer.instances, g.settings.MaxUnits), customer.tokens+customer.quota.rate/customer.instances*elapsed)
	customer.ceilingTokens = min(splitShare*plan.CeilingBurst/customer.instances, customer.ceilingTokens+splitShare*plan.CeilingRate/customer.instances*elapsed)
	customer.recentDemand *= math.Exp(-elapsed / demandMemory.Seconds())
	customer.refilledAt = g.now
}

// currentCounterName is what a unit counts now in the total of a customer, and the name of that. Names change before
// numbers grow too large or are forgotten, those of different customers at different times.
func (g *Gateway) currentCounterName(customer *customerRecord) (float64, string) {
	life := min(maxCounterNamePeriod.Seconds(), maxCounterNameFades*customer.quota.fadeTime)
	epoch, age := math.Modf(g.now.Seconds()/life + customer.admissionHash)
	name := customer.id
	if len(name) > 40 { // names are bounded
		name = strconv.FormatUint(math.Float64bits(customer.admissionHash), 36)
	}
	return math.Exp(age * life / customer.quota.fadeTime), name + "." + strconv.FormatInt(int64(epoch), 36)
}

// callCounter adds units to a customer's total, with those that were not added before; r, if any, waits for it.
func (g *Gateway) callCounter(customer *customerRecord, units float64, request *requestRecord) {
	unitWeight, name := g.currentCounterName(customer)
	pending := customer.pendingUse
	customer.pendingUse = 0
	if request != nil {
		request.counterName, request.counterWeight = name, unitWeight
	}
	g.counterCalls[name] = append(g.counterCalls[name], counterCall{customer: customer, request: request, unitWeight: unitWeight, pendingUnits: pending, sentAt: g.now})
	g.emit(AddToCounter{Name: name, Amount: (units + pending) * unitWeight, TTL: counterNameTTL})
}

// takeBackUnits undoes what was added for a request: refused in the end, or an attempt that is no longer out.
func (g *Gateway) takeBackUnits(request *requestRecord) {
	request.addedToCounter = false
	call := counterCall{customer: request.customer, unitWeight: request.counterWeight, pendingUnits: -request.units, sentAt: g.now}
	g.counterCalls[request.counterName] = append(g.counterCalls[request.counterName], call)
	g.emit(AddToCounter{Name: request.counterName, Amount: -request.units * request.counterWeight, TTL: counterNameTTL})
}

// mayCallCounter spends calls by chance when the counter is crowded: refused and slow answers lower the chance.
func (g *Gateway) mayCallCounter(priority float64) bool {
	return g.callProbability == 1 || g.rng.Float64() < g.callProbability*priority
}

// checkQuota judges a try by what is known: beyond the quota, until the total last heard can have faded enough;
// inside it, while others could not have used up the rest even at several times the rate.
func (g *Gateway) checkQuota(customer *customerRecord, units float64) quotaVerdict {
	plan := g.settings.Plans[customer.plan]
	remaining := (customer.quota.maxTotal - customer.counterTotal/g.reportedUseShare.value - customer.pendingUse - units) / customer.quota.maxTotal
	switch {
	case plan.MaxInFlight > 0 && customer.inFlight >= plan.MaxInFlight:
		return quotaExceeded
	case !customer.usesCounter:
		if plan.Rate > 0 && customer.tokens < units || plan.MaxInFlight > 0 && float64(customer.inFlight) >= float64(plan.MaxInFlight)/customer.instances {
			return quotaExceeded
		}
		return quotaInside
	case g.now < customer.overQuotaUntil:
		return quotaExceeded
	case customer.quota.rate == 0 || customer.counterTotalAt == 0 || !customer.ceilingAllows(plan, units):
	case (g.now - customer.counterTotalAt).Seconds() < quotaTrustFactor*customer.quota.fadeTime*remaining:
		return quotaInside
	}
	return quotaUnknown
}

// insideProbability is how likely a try is inside the quota if nothing is asked: this gateway's split of the quota over
// the time of its memory, against what it was asked in that time; where attempts out are limited, as many as
// can be over in that time. Where it hardly ever sees the customer, as many as the counter lets in of all
// such tries.
func (g *Gateway) insideProbability(customer *customerRecord, class ClassID) float64 {
	share := customer.quota.rate / customer.instances * demandMemory.Seconds()
	if customer.quota.rate == 0 {
		share = customer.quota.maxTotal / max(housekeepingInterval.Seconds(), g.classLatency[class].mean) / customer.instances * demandMemory.Seconds()
	}
	return min(1, (demandPrior*g.insideShare[customer.plan].value+share)/(demandPrior+customer.recentDemand))
}

// decideWithoutCounter decides on a try of which the counter tells nothing: let in where that is worth more than it costs.
func (g *Gateway) decideWithoutCounter(customer *customerRecord, class ClassID, units float64) bool {
	plan, chance := g.settings.Plans[customer.plan], g.insideProbability(customer, class)
	switch {
	case !customer.ceilingAllows(plan, units):
		return false
	case plan.Rate == 0 && float64(plan.MaxInFlight) >= customer.instances:
		return float64(customer.inFlight) < float64(plan.MaxInFlight)/customer.instances
	case plan.Rate > 0 && customer.quota.burst >= customer.instances*units:
		return customer.tokens >= units
	}
	return chance*unconfirmedQuotaWeight > (1-chance)*plan.OverQuotaCost
}

// ceilingAllows tells whether the split of a ceiling has room.
func (customer *customerRecord) ceilingAllows(plan Plan, units float64) bool {
	return plan.CeilingRate == 0 || units <= customer.ceilingTokens
}

// spendTokens books the units of a first attempt that the counter has not been told of.
func (g *Gateway) spendTokens(customer *customerRecord, units float64) {
	customer.tokens = max(0, customer.tokens-units)
	customer.ceilingTokens -= units
	if !customer.usesCounter || customer.quota.rate == 0 {
		return
	}
	g.queuePendingUse(customer, units)
}

// queuePendingUse keeps units until they may be added.
func (g *Gateway) queuePendingUse(customer *customerRecord, units float64) {
	if customer.pendingUse += units; !customer.pendingUseQueued {
		customer.pendingUseQueued, customer.pendingUseDueAt = true, g.now+pendingUseDelay
		g.pendingUseQueue = append(g.pendingUseQueue, customer)
	}
}

// flushPendingUse tells the counter what was spent without asking.
func (g *Gateway) flushPendingUse() {
	g.pendingUseQueue = slices.DeleteFunc(g.pendingUseQueue, func(customer *customerRecord) bool {
		if g.now < customer.pendingUseDueAt {
			return false
		}
		if customer.pendingUse != 0 {
			reported := g.mayCallCounter(1)
			if !reported && customer.pendingUse > pendingUseKeepShare*customer.quota.maxTotal { // it is kept, and fades as it would there
				customer.pendingUse *= math.Exp(-(g.now + pendingUseDelay - customer.pendingUseDueAt).Seconds() / customer.quota.fadeTime)
				customer.pendingUseDueAt = g.now + pendingUseDelay
				return false
			}
			if g.reportedUseShare.add(indicator(reported), g.now); reported {
				g.callCounter(customer, 0, nil)
			}
			customer.pendingUse = 0
		}
		customer.pendingUseQueued = false
		return true
	})
}

func (g *Gateway) handleCounterReply(event CounterReplied) {
	calls := g.counterCalls[event.Name]
	if len(calls) == 0 {
		return
	}
	call := calls[0]
	if g.counterCalls[event.Name] = calls[1:]; len(calls) == 1 {
		delete(g.counterCalls, event.Name)
	}
	total := max(0, event.Total) // what was taken back may leave a trace below nothing
	customer, ok := call.customer, event.Outcome == OK && !anyInvalid(total)
	if event.Outcome == TimedOut || g.now-call.sentAt > g.settings.CounterTimeout/2 {
		g.callProbability, g.counterOverloadedAt = max(minCallProbability, g.callProbability*slowCallFactor), g.now
	} else if !ok {
		g.callProbability, g.counterOverloadedAt = max(minCallProbability, g.callProbability*rejectedCallFactor), g.now
	} else if g.now-g.counterOverloadedAt > counterRecoveryTime {
		g.callProbability = min(1, g.callProbability*recoveryCallFactor)
	} else {
		g.callProbability = min(1, g.callProbability*goodCallFactor)
	}
	if request := call.request; request != nil && request.ended && ok {
		g.takeBackUnits(request) // its client is gone
	}
	g.refillTokens(customer)
	if call.pendingUnits != 0 && (event.Outcome == Rejected || event.Outcome == ConnectFailed) {
		g.queuePendingUse(customer, call.pendingUnits*math.Exp(-(g.now-call.sentAt).Seconds()/customer.quota.fadeTime))
	}
	if !ok {
		if call.request == nil || call.request.ended {
			return
		}
		inside := g.decideWithoutCounter(customer, call.request.class, call.request.units)
		if event.Outcome == TimedOut && !inside { // may have been added
			g.takeBackUnits(call.request)
		}
		g.admitOrShed(call.request, inside, false)
		return
	}
	expected := customer.counterTotal * math.Exp(-(g.now-customer.counterTotalAt).Seconds()/customer.quota.fadeTime)
	if customer.counterTotalAt > 0 && total/call.unitWeight < counterResetRatio*expected { // it lets in too much until earlier use has faded
		customer.counterDistrustedUntil = g.now + time.Duration(customer.quota.fadeTime*float64(time.Second))
	}
	customer.counterTotal, customer.counterTotalAt = total/call.unitWeight, g.now
	if call.request == nil || call.request.ended {
		return
	}
	units := call.request.units
	before := customer.counterTotal - units
	inside := before/g.reportedUseShare.value+units/2 <= customer.quota.maxTotal // half a request above as often as below
	g.insideShare[customer.plan].add(indicator(inside), g.now)
	if !inside {
		customer.counterTotal = before
		room := max(customer.quota.maxTotal-units/2, units/2) * g.reportedUseShare.value
		if customer.quota.rate > 0 {
			wait := min(maxOverQuotaWait, customer.quota.fadeTime*math.Log(max(1, before/room)))
			customer.overQuotaUntil = g.now + time.Duration(wait*float64(time.Second))
		}
		if g.mayCallCounter(1) {
			g.takeBackUnits(call.request)
		}
	}
	plan := g.settings.Plans[customer.plan]
	if inside && !customer.ceilingAllows(plan, units) && (g.now < customer.counterDistrustedUntil || before+units > ceilingCounterShare*plan.CeilingBurst) {
		call.request.rejectReason = OverQuota
		g.takeBackUnits(call.request)
		g.finish(call.request, true)
		return
	}
	g.admitOrShed(call.request, inside, true)
}

// sweepIdleCustomers forgets customers long idle, a few at a time.
func (g *Gateway) sweepIdleCustomers() {
	for range min(customersPerSweep, len(g.customerList)) {
		if g.sweepPosition++; g.sweepPosition >= len(g.customerList) { // a remainder would stand still while the roll grows
			g.sweepPosition = 0
		}
		i, last := g.sweepPosition, len(g.customerList)-1
		if customer := g.customerList[i]; g.now-customer.lastUsedAt > customerIdleTTL && customer.inFlight == 0 && !customer.pendingUseQueued {
			delete(g.customers, customer.id)
			g.customerList[i] = g.customerList[last]
			if g.customerList = g.customerList[:last]; last == 0 {
				return
			}
		}
	}
}

// 4. Server choice and health.

func (g *Gateway) handleEndpoints(event EndpointsChanged) {
	if event.Failed {
		g.watchPending = g.settings.Subscribe
		return
	}
	if event.Full {
		for _, backend := range g.upBackends {
			backend.State = Removed
		}
	}
	for _, endpoint := range event.Endpoints {
		backend := g.backends[endpoint.Backend]
		if backend == nil && endpoint.State == Removed {
			continue
		}
		if backend == nil {
			backend = &backendRecord{slowness: 1, outcomes: make([]outcomeHistory, len(g.settings.Classes))}
			g.backends[endpoint.Backend] = backend
		}
		if endpoint.Started > backend.Started && endpoint.Started > 0 && endpoint.Started+g.settings.SlowStartTime > g.now {
			backend.warmingUp, backend.startedAt = true, endpoint.Started
			backend.slowStartTokens, backend.slowStartRefilledAt, backend.slowStartThreshold = 0, 0, g.rng.Float64()
			clear(backend.outcomes)
		}
		backend.Endpoint = endpoint
		if endpoint.State == Up && !slices.Contains(g.upBackends, backend) {
			g.upBackends = append(g.upBackends, backend)
		}
	}
	g.upBackends = slices.DeleteFunc(g.upBackends, func(backend *backendRecord) bool {
		if backend.State == Removed && backend.inFlight == 0 {
			delete(g.backends, backend.Backend)
		}
		return backend.State != Up
	})
}

// capacityShare is the share of its capacity that a server is sure to have. It counts as cold for as long after it
// is warm as is looked back on what it was sent.
func (g *Gateway) capacityShare(backend *backendRecord) float64 {
	if !backend.warmingUp {
		return 1
	}
	age := g.now - backend.startedAt
	backend.warmingUp = age < g.settings.SlowStartTime+g.settings.OverloadTime
	return g.settings.SlowStartShare + (1-g.settings.SlowStartShare)*min(1, max(0, float64(age)/float64(max(1, g.settings.SlowStartTime))))
}

// failureRisk is how likely an attempt of a class fails at a server: what it did to the last ones, an overdue answer
// counted as a failure, weighed against how often they fail anywhere. Where failures are rare, one tells
// much. Where many servers fail a class, those that answered it stand out. What all suffer changes nothing.
func (g *Gateway) failureRisk(backend *backendRecord, class ClassID) float64 {
	history := &backend.outcomes[class]
	decay := math.Exp(-(g.now - history.updatedAt).Seconds() / failureMemory.Seconds())
	failures, attempts := history.failures*decay, history.attempts*decay
	if backend.inFlight > 0 && g.now > backend.answerDueAt {
		failures, attempts = failures+1, attempts+1
	}
	return (g.classFailureRate[class].value*failurePrior + failures) / (failurePrior + attempts)
}

// recordOutcome takes an attempt's end into the health of its server: for its class, and a failure half for the
// others, since a server that hangs fails all.
func (g *Gateway) recordOutcome(backend *backendRecord, class ClassID, outcome Outcome) {
	failure := 1.0
	switch outcome {
	case OK:
		failure = 0
	case BackendError, TimedOut, ConnectFailed, ConnectionReset:
	default:
		return
	}
	g.classFailureRate[class].add(failure, g.now)
	for i := range backend.outcomes {
		history, weight := &backend.outcomes[i], 1.0
		if ClassID(i) != class {
			weight = failure / 2
		}
		decay := math.Exp(-(g.now - history.updatedAt).Seconds() / failureMemory.Seconds())
		history.failures, history.attempts, history.updatedAt = history.failures*decay+failure*weight, history.attempts*decay+weight, g.now
	}
}

// slowStartAllows tells whether a cold server can bear one more attempt. All gateways together send it at most a share
// of what pushes it over, in terms of the pace that servers are known to bear; less where that is so few
// attempts that their number and work, up to chance, may come to several times what is meant. This one's part
// is a bucket that fills at that rate. Where it never holds one attempt, chance decides each time that the
// server is picked, by the time since it was last picked: what the part brings in that time. So as many go as
// it allows, however seldom this gateway meets the server. That time counts up to what passes between two
// attempts that meet it, and the first time as what passes between two picks, so that many gateways do not
// come at once with what they saved up.
func (g *Gateway) slowStartAllows(backend *backendRecord) bool {
	if !backend.warmingUp || g.settings.OverloadFactor <= 0 || g.settings.OverloadTime <= 0 {
		return true
	}
	limit := g.settings.OverloadFactor * g.capacityShare(backend) * g.serviceRate // this one's part, in attempts a second
	all := limit * float64(g.settings.Instances) * g.settings.OverloadTime.Seconds()
	few := math.Sqrt(confidenceMargin*confidenceMargin+4*all) - confidenceMargin // twice the root of what leaves room for luck
	rate := limit * min(slowStartLoadShare, few*few/4/max(all, 1e-9))
	maxTokens := rate * slowStartBurstShare * g.settings.OverloadTime.Seconds()
	elapsed := (g.now - backend.slowStartRefilledAt).Seconds()
	if maxTokens >= 1 {
		backend.slowStartTokens = min(maxTokens, backend.slowStartTokens+rate*elapsed*indicator(backend.slowStartRefilledAt > 0))
	} else {
		between := g.totalCapacityShare() / g.capacityShare(backend)
		if backend.slowStartRefilledAt == 0 {
			elapsed = between / max(g.pickRate.value, g.picksInPeriod/controlPeriod.Seconds())
		} else {
			elapsed = min(elapsed, between/max(g.choiceRate.value, g.choicesInPeriod/controlPeriod.Seconds()))
		}
		backend.slowStartTokens, backend.slowStartThreshold = indicator(g.rng.Float64() < rate*elapsed), 1
	}
	backend.slowStartRefilledAt = g.now
	if backend.slowStartTokens < backend.slowStartThreshold {
		g.heldBackUntil = g.now + failureMemory
		return false
	}
	return true
}

// updateServiceRate takes in what servers bore in a period: the good answers of those that work, for each of full
// warmth. One that is only overloaded still answers many; one that hangs, none. While attempts are held back
// their number is no measure: then only failures make the pace smaller.
func (g *Gateway) updateServiceRate(elapsed float64) {
	capacity := 0.0
	for _, backend := range g.upBackends {
		failures, attempts := failurePrior, 2*failurePrior
		for _, history := range backend.outcomes {
			failures, attempts = failures+history.failures, attempts+history.attempts
		}
		capacity += g.capacityShare(backend) * min(1, workingBackendFactor*(1-max(0, failures-failurePrior)/attempts))
	}
	g.pickRate.add(g.picksInPeriod/elapsed, g.now)
	g.choiceRate.add(g.choicesInPeriod/elapsed, g.now)
	g.throughput.add(g.successesInPeriod/elapsed, g.now)
	g.effectiveCapacity.add(capacity, g.now)
	switch {
	case g.now < g.heldBackUntil:
		g.serviceRate *= 1 - (1-(g.successesInPeriod+failurePrior)/(g.attemptsEndedInPeriod+failurePrior))/minSamples
	case g.effectiveCapacity.value > 0:
		g.serviceRate = g.throughput.value / g.effectiveCapacity.value
	}
	g.successesInPeriod, g.attemptsEndedInPeriod, g.picksInPeriod, g.choicesInPeriod = 0, 0, 0, 0
}

// totalCapacityShare is that of all servers together.
func (g *Gateway) totalCapacityShare() (total float64) {
	for _, backend := range g.upBackends {
		total += g.capacityShare(backend)
	}
	return total
}

// chooseBackend picks a server for the next attempt of r, or nil: of a few drawn at random, the one with the least
// wait and risk. A cold one is drawn as often as its warmth says, so that all gateways together give it its
// share however many they are, and an empty line attracts nobody who has not drawn it.
func (g *Gateway) chooseBackend(request *requestRecord) *backendRecord {
	class := g.settings.Classes[request.class]
	g.choicesInPeriod++
	var spare *backendRecord
	drawn := make([]scoredBackend, 0, candidatesPerChoice+extraCandidates)
	most := candidatesPerChoice + int(g.classFailureRate[request.class].value*extraCandidates)
	for tries := 0; tries < maxDraws && len(g.upBackends) > 0; tries++ {
		backend := g.upBackends[g.rng.IntN(len(g.upBackends))]
		if g.rng.Float64() >= g.capacityShare(backend) || !keyKnownAt(request, class, backend) {
			continue
		}
		if request.attemptedAt(backend) {
			spare = backend
			continue
		}
		cost := g.expectedWaitAt(backend)
		if backend.Zone != g.settings.Zone {
			cost *= otherZoneFactor
		}
		if drawn = append(drawn, scoredBackend{backend, cost + g.failureRisk(backend, request.class)*failureCost}); len(drawn) == most {
			if backend := g.pickCandidate(drawn); backend != nil {
				return backend
			}
			drawn = drawn[:0]
		}
	}
	if backend := g.pickCandidate(drawn); backend != nil {
		return backend
	}
	if spare != nil && !g.slowStartAllows(spare) {
		spare = nil
	}
	return spare
}

// pickCandidate takes the best of those drawn that bears one more attempt.
func (g *Gateway) pickCandidate(drawn []scoredBackend) *backendRecord {
	slices.SortStableFunc(drawn, func(a, b scoredBackend) int { return cmp.Compare(a.cost, b.cost) })
	for _, candidate := range drawn {
		if g.picksInPeriod++; g.slowStartAllows(candidate.backend) {
			return candidate.backend
		}
	}
	return nil
}

// keyKnownAt tells whether a server discards repeats of what r may have run already.
func keyKnownAt(request *requestRecord, class Class, backend *backendRecord) bool {
	if class.Idempotency != IdempotentByKey || request.firstRunBackend == nil || class.KeyScope == KeyScopeAll {
		return true
	}
	return class.KeyScope == KeyScopeZone && backend.Zone == request.firstRunBackend.Zone ||
		class.KeyScope == KeyScopeCell && backend.Cell == request.firstRunBackend.Cell
}

// 5. Attempts and answers.

func (g *Gateway) handleRequest(event RequestArrived) {
	if g.requests[event.Request] != nil {
		return
	}
	if event.Class < 0 || int(event.Class) >= len(g.settings.Classes) {
		g.emit(Fail{Request: event.Request})
		return
	}
	customer := g.findOrAddCustomer(event)
	request := &requestRecord{id: event.Request, class: event.Class, customer: customer, units: event.Units, arrivedAt: g.now,
		deadline: g.now + max(0, event.TimeLeft)}
	if anyInvalid(event.Units) {
		request.units = 1
	}
	if customer.quota.rate == 0 {
		request.units = 1 // attempts are counted
	}
	g.requests[request.id] = request
	g.emit(SetTimer{At: request.deadline, Timer: Timer{Kind: DeadlineTimer, Request: request.id}})
	switch g.checkQuota(customer, request.units) {
	case quotaInside:
		g.admitOrShed(request, true, false)
	case quotaExceeded:
		g.admitOrShed(request, false, false)
	default:
		switch controller := g.controllers[g.controllerIndex[event.Class][customer.plan]]; {
		case customer.admissionHash >= controller.admitRatio: // not worth a call
			g.admitOrShed(request, true, false)
		case g.mayCallCounter(g.insideProbability(customer, event.Class) * g.settings.Plans[customer.plan].WeightFactor / g.maxPlanWeight):
			g.callCounter(customer, request.units, request)
		default:
			g.admitOrShed(request, g.decideWithoutCounter(customer, request.class, request.units), false)
		}
	}
	if !event.Retry {
		customer.recentDemand += request.units
	}
}

// admitOrShed decides on a request that is inside or beyond its quota, and told to the counter or not.
func (g *Gateway) admitOrShed(request *requestRecord, inside, counted bool) {
	customer := request.customer
	plan := g.settings.Plans[customer.plan]
	controller := &g.controllers[g.controllerIndex[request.class][customer.plan]]
	if !inside {
		controller, request.rejectReason = &g.controllers[len(g.controllers)-1], OverQuota
		if plan.OverQuotaValue <= plan.OverQuotaCost {
			g.finish(request, true)
			return
		}
	}
	controller.offeredWork += g.classLatency[request.class].mean
	ceilingExceeded := !(counted && inside) && !customer.ceilingAllows(plan, request.units)
	if ceilingExceeded {
		request.rejectReason = OverQuota
	}
	if customer.admissionHash >= controller.admitRatio || ceilingExceeded || !g.sendAttempt(request) {
		if counted && inside {
			g.takeBackUnits(request)
		}
		if !request.ended {
			g.finish(request, true)
		}
		return
	}
	controller.admittedWork += g.classLatency[request.class].mean
	if counted && inside {
		g.reportedUseShare.add(1, g.now)
		request.addedToCounter = true
		customer.tokens = max(0, customer.tokens-request.units)
		customer.ceilingTokens = max(0, customer.ceilingTokens-request.units)
	} else {
		g.spendTokens(customer, request.units)
	}
}

// sendAttempt starts the next attempt, or ends the request for want of a server.
func (g *Gateway) sendAttempt(request *requestRecord) bool {
	backend := g.chooseBackend(request)
	left := request.deadline - g.now
	if backend == nil || left <= 0 || g.expectedWaitAt(backend) > maxExpectedWait && !request.mayHaveRun {
		g.finish(request, true)
		return false
	}
	queuePosition := g.queueLengthAt(backend) + 1
	request.attempts = append(request.attempts, attemptRecord{backend: backend, sentAt: g.now, queuePosition: queuePosition, open: true})
	request.customer.inFlight++
	if !slices.Contains(g.settings.LoadFields, FieldInFlight) { // the line as this gateway's share of it tells
		g.load.reportedInFlight.add(float64(g.inFlight*g.settings.Instances)/float64(max(1, len(g.upBackends))), g.now)
	}
	g.inFlight++
	if backend.inFlight == 0 {
		backend.answerDueAt = g.now + g.suspectAfter(request.class)
	}
	backend.inFlight++
	if backend.warmingUp {
		backend.slowStartTokens--
		backend.slowStartThreshold = g.rng.Float64()
	}
	g.emit(SendAttempt{Request: request.id, Backend: backend.Backend, Timeout: g.attemptTimeout(request, left)})
	return true
}

// attemptTimeout gives up an attempt when another could still be in time, and else leaves it all that is left.
func (g *Gateway) attemptTimeout(request *requestRecord, left time.Duration) time.Duration {
	class := g.settings.Classes[request.class]
	if class.Idempotency == NotIdempotent || class.Stream || len(request.attempts) >= g.settings.MaxAttempts {
		return left
	}
	latency := g.classLatency[request.class]
	timeout := max(time.Duration((latency.mean+timeoutDeviations*latency.deviation)*float64(time.Second)), class.LatencyObjective)
	if class.Idempotency == IdempotentByKey && g.now+timeout > request.arrivedAt+reliableKeyLifetime(class) {
		return left
	}
	return min(timeout, left)
}

func (g *Gateway) handleAttemptEnd(event AttemptEnded) {
	request := g.requests[event.Request]
	if request == nil || event.Attempt < 0 || event.Attempt >= len(request.attempts) || !request.attempts[event.Attempt].open {
		return
	}
	attempt := &request.attempts[event.Attempt]
	backend := attempt.backend
	g.closeAttempt(request, event.Attempt)
	g.recordLoadReport(event.Load)
	class := g.settings.Classes[request.class]
	took := (g.now - attempt.sentAt).Seconds()
	if event.Outcome == OK || event.Outcome == TimedOut {
		g.recordLatency(backend, attempt, max(took-event.RoundTrip.Seconds(), took*minBackendTimeShare)/max(class.LatencyObjective, housekeepingInterval).Seconds())
	}
	if l := &g.classLatency[request.class]; event.Outcome == OK {
		l.deviation += (math.Abs(took-l.mean) - l.deviation) * latencySmoothing
		l.mean += (took - l.mean) * latencySmoothing
	}
	g.recordOutcome(backend, request.class, event.Outcome)
	if backend.State == Up {
		g.attemptsEndedInPeriod++
		g.successesInPeriod += indicator(event.Outcome == OK)
	}
	if event.Outcome != NotSent && event.Outcome != Cancelled {
		bad := 0.0
		if event.Outcome == Rejected || event.Outcome == TimedOut || took > class.LatencyObjective.Seconds() {
			bad = 1
		}
		g.load.badShare.add(bad, g.now)
	}
	if !request.mayHaveRun && event.Outcome != Rejected && event.Outcome != ConnectFailed && event.Outcome != NotSent {
		request.mayHaveRun, request.firstRunBackend, request.firstRunSentAt = true, backend, attempt.sentAt
	}
	switch {
	case request.ended:
		g.forgetIfOver(request)
	case event.Answered || event.Outcome == OK:
		g.finish(request, false)
	case g.mayRetry(request, class):
		g.sendAttempt(request)
	default:
		g.finish(request, true)
	}
}

// recordLatency takes a latency, as a share of its aim, into what a place in line takes, and into how slow the server
// is beside the others: a few attempts tell little of that.
func (g *Gateway) recordLatency(backend *backendRecord, attempt *attemptRecord, ratio float64) {
	load := &g.load
	backend.slowness += (min(maxSlowness, ratio*load.queuePosition.value/(load.latencyRatio.value*attempt.queuePosition)) - backend.slowness) * slownessWeight
	load.latencyRatio.add(ratio, g.now)
	load.queuePosition.add(attempt.queuePosition, g.now)
}

// suspectAfter is the silence after which an attempt's server is suspected.
func (g *Gateway) suspectAfter(class ClassID) time.Duration {
	return time.Duration(suspectLatencies * g.classLatency[class].mean * float64(time.Second))
}

// reliableKeyLifetime is how long a keyed class's repeats are sure to be discarded.
func reliableKeyLifetime(c Class) time.Duration {
	return time.Duration(keyTTLShare * float64(c.KeyTTL))
}

// mayRetry tells whether a further attempt is harmless and of use. What it adds to the load, the loops see.
func (g *Gateway) mayRetry(request *requestRecord, class Class) bool {
	if len(request.attempts) >= g.settings.MaxAttempts || request.streaming {
		return false
	}
	if request.mayHaveRun && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && g.now >= request.firstRunSentAt+reliableKeyLifetime(class)) {
		return false
	}
	useful := request.deadline
	if class.LateShare == 0 {
		useful = min(useful, request.arrivedAt+class.LatencyObjective)
	}
	return (useful - g.now).Seconds() > g.classLatency[request.class].mean/2
}

// finish is the only place where a request ends; an answer is owed unless the client has it or is gone. A
// refusal that could mislead becomes a failure: what may have run and must not again, or whose repeats only
// some discard.
func (g *Gateway) finish(request *requestRecord, owed bool) {
	request.ended = true
	class := g.settings.Classes[request.class]
	inFlight := false
	for i := range request.attempts {
		if request.attempts[i].open {
			inFlight = true
			if g.settings.Cancel && !request.streaming {
				g.emit(CancelAttempt{Request: request.id, Attempt: i})
			}
		}
	}
	harmless := class.Idempotency == Idempotent || !request.mayHaveRun && !inFlight || class.Idempotency == IdempotentByKey && class.KeyScope == KeyScopeAll
	switch {
	case owed && harmless && len(request.attempts) == 0:
		g.emit(Reject{Request: request.id, Reason: request.rejectReason, RetryAfter: g.retryAfter(request)})
	case owed && harmless:
		request.rejectReason = NoCapacity
		g.emit(Reject{Request: request.id, Reason: request.rejectReason, RetryAfter: g.retryAfter(request)})
	case owed:
		g.emit(Fail{Request: request.id})
	}
	g.forgetIfOver(request)
}

// retryAfter is when another try has a chance: beyond the quota, when the counter may be asked or the split
// has filled, or an attempt that is out is likely over; for want of room, when the loops have moved.
func (g *Gateway) retryAfter(request *requestRecord) time.Duration {
	if !g.settings.RetryAfter {
		return 0
	}
	customer, wait := request.customer, controlPeriod
	switch {
	case request.rejectReason != OverQuota:
	case customer.overQuotaUntil > g.now:
		wait = customer.overQuotaUntil - g.now
	case customer.quota.rate > 0:
		short := max(0, request.units-customer.tokens) / (customer.quota.rate / customer.instances)
		wait = time.Duration(min(maxOverQuotaWait, short) * float64(time.Second))
	default:
		wait = time.Duration(g.classLatency[request.class].mean * float64(time.Second))
	}
	most := time.Duration(maxRetryAfterShare * float64(g.settings.Classes[request.class].LatencyObjective))
	return min(max(housekeepingInterval, min(wait, most)), max(0, g.settings.MaxRetryAfter))
}

// handleDeadline is the backstop: an answer while the client still waits, and later an end to attempts never heard
// of.
func (g *Gateway) handleDeadline(id RequestID) {
	request := g.requests[id]
	if request == nil || g.now < request.deadline {
		return
	}
	if !request.ended && !request.streaming {
		g.finish(request, true)
	} else if request.ended && g.now >= request.deadline+lostAttemptTTL {
		for i := range request.attempts {
			g.closeAttempt(request, i)
		}
		g.forgetIfOver(request)
	}
	if g.requests[id] != nil {
		g.emit(SetTimer{At: g.now + lostAttemptTTL, Timer: Timer{Kind: DeadlineTimer, Request: id}})
	}
}

// closeAttempt marks an attempt as over.
func (g *Gateway) closeAttempt(request *requestRecord, i int) {
	if attempt := &request.attempts[i]; attempt.open {
		attempt.open = false
		g.inFlight--
		attempt.backend.inFlight--
		attempt.backend.answerDueAt = g.now + g.suspectAfter(request.class)
		customer := request.customer
		if customer.inFlight--; request.addedToCounter && customer.quota.rate == 0 {
			g.takeBackUnits(request)
		}
		if backend := attempt.backend; backend.State == Removed && backend.inFlight == 0 {
			delete(g.backends, backend.Backend)
		}
	}
}
