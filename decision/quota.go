package decision

import (
	"math"
	"time"
)

// This file decides whether a request is inside its customer's quota, beyond it, or whether that is unknown here and the
// shared counter has to be asked (countersync.go). A customer's quota is shared by the instances through which it comes
// in. Each of them holds a token bucket with its split: burst and rate over the number of these instances. A customer
// that comes in through one instance alone is decided by that bucket; of others the counter's total tells more.
//
// Where the counter can't be asked and a customer's burst is split into less than one request for each instance, no
// instance could ever admit one. There a request is admitted by chance: once the tokens reach a share of it that is drawn
// anew for each. The tokens go below nothing then, so that over the fleet as much is admitted as the splits gather, while
// the instances remember the customer; what a split gathers beyond one request is lost, more the seldomer an instance meets
// the customer. One that is new to an instance has had tokens there since the instance started, for customerIdleTTL at most:
// after a time without requests as much as that may be passed beyond the burst.
//
// A plan's ceiling has a bucket of its own. It may never be passed by more than its slack, also when the counter is
// silent or has forgotten, so it is split in any case; only a part may be passed on beyond the split by asking.
//
// Units are those of the plan: of requests, or attempts in flight where the plan limits those. Times are seconds.

const (
	// quotaTrustFactor says how long the counter's total is relied on without asking again: this times the time in
	// which the rest of the quota refills. At one half, others would have to spend at twice the rate of the plan to
	// make it wrong.
	quotaTrustFactor = 0.5
	// inFlightFadeFactor is the time, in latency objectives, over which attempts in flight that nobody took back fade
	// from the total: an instance that crashed must not block its customers for longer.
	inFlightFadeFactor = 1.0
	// ceilingCounterShare is the share of a ceiling that is not split, but may be passed on by asking alone.
	ceilingCounterShare = 0.35
	// unconfirmedQuotaWeight is the weight of the chance that a request is inside its quota when the counter says
	// nothing of it: below 1, since all instances guess alike and err together.
	unconfirmedQuotaWeight = 0.4
	// demandMemory is the time over which an instance remembers what was asked of it for a customer.
	demandMemory = 5 * time.Second
	// demandPrior is the number of requests that the share of all customers' requests counts beside a customer's own:
	// a rare customer is judged by the plan's others.
	demandPrior = 0.5
	// customersPerSweep is the number of customers that are inspected per housekeeping, so that it takes no time to
	// speak of however many there are.
	customersPerSweep = 20
	// customerIdleTTL is the time after which an idle customer is forgotten, longer than the counter keeps a total
	// under one name (maxCounterNamePeriod). If it comes again, it begins with a full bucket
	// of the quota; that of its ceiling holds only the slack.
	customerIdleTTL = 60 * time.Second
)

// planQuota is how the use of a plan's customers is counted: as a total that fades, over all instances. It fades so
// fast that a customer who spends at the plan's rate holds the total at the burst. One answer of the counter then tells
// the recent use.
type planQuota struct {
	rate     float64 // units per second; 0: attempts in flight are counted
	burst    float64 // units
	maxTotal float64 // the faded total that the plan allows; 0: no quota
	fadeTime float64 // seconds over which the total falls to 1/e
}

func newPlanQuota(plan Plan, classes []Class) planQuota {
	quota := planQuota{rate: plan.Rate, burst: plan.Burst}
	if plan.CeilingRate > 0 && quota.rate == 0 {
		quota.rate = plan.CeilingRate
		quota.burst = plan.CeilingBurst
	}
	quota.maxTotal = quota.burst
	if quota.countsInFlight() {
		quota.maxTotal = float64(plan.MaxInFlight)
		for _, class := range classes {
			quota.fadeTime += inFlightFadeFactor * max(class.LatencyObjective, housekeepingInterval).Seconds() / float64(len(classes))
		}
		return quota
	}
	quota.fadeTime = max(housekeepingInterval.Seconds(), quota.burst/quota.rate)
	return quota
}

// countsInFlight tells whether the use that is counted is attempts in flight, for want of a rate.
func (q *planQuota) countsInFlight() bool { return q.rate == 0 }

// fade is the factor by which a total falls in a time.
func (q *planQuota) fade(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / q.fadeTime)
}

// customerRecord is what a gateway knows of a customer.
type customerRecord struct {
	id            string
	admissionHash float64
	instances     float64 // through which it comes in, this one included
	plan          int
	quota         *planQuota
	usesCounter   bool // the shared counter holds its use
	lastUsedAt    time.Duration
	inFlight      int // attempts

	// The buckets of this instance's split, as of refilledAt.
	refilledAt    time.Duration
	tokens        float64 // units left of the quota; below nothing after a request that was admitted by chance
	splitDraw     float64 // share of a request that tokens must reach where the split is smaller than it
	ceilingTokens float64 // units left of the ceiling
	recentDemand  float64 // units asked for here lately

	// What the shared counter said.
	counterTotal           float64       // use at all instances, faded, as of counterTotalAt
	counterTotalAt         time.Duration // 0: never
	overQuotaUntil         time.Duration // by that total
	counterDistrustedUntil time.Duration // it had lost its total: until the use before that has faded

	// What was not added to the shared counter yet.
	pendingUse       float64 // units spent here
	pendingUseDueAt  time.Duration
	pendingUseQueued bool // it is in counterSync.pendingUseQueue
}

// quotaTable holds the customers.
type quotaTable struct {
	plans         []planQuota // by position in Settings.Plans
	customers     map[string]*customerRecord
	list          []*customerRecord // the same, for sweeping
	sweepPosition int               // in list
}

func newQuotaTable(settings Settings) quotaTable {
	table := quotaTable{customers: map[string]*customerRecord{}}
	for _, plan := range settings.Plans {
		table.plans = append(table.plans, newPlanQuota(plan, settings.Classes))
	}
	return table
}

// sweepIdle forgets customers that were idle for customerIdleTTL, a few at each call.
func (t *quotaTable) sweepIdle(now time.Duration) {
	for range min(customersPerSweep, len(t.list)) {
		t.sweepPosition++
		if t.sweepPosition >= len(t.list) { // a remainder would stand still while the list grows
			t.sweepPosition = 0
		}
		customer := t.list[t.sweepPosition]
		if now-customer.lastUsedAt <= customerIdleTTL || customer.inFlight != 0 || customer.pendingUseQueued {
			continue
		}
		last := len(t.list) - 1
		delete(t.customers, customer.id)
		t.list[t.sweepPosition] = t.list[last]
		t.list = t.list[:last]
		if last == 0 {
			return
		}
	}
}

// findOrAddCustomer gives a request's customer, its buckets filled up to now.
func (g *Gateway) findOrAddCustomer(event RequestArrived) *customerRecord {
	customer := g.quotas.customers[event.Customer]
	if customer == nil {
		customer = g.newCustomer(event)
		g.quotas.customers[event.Customer] = customer
		g.quotas.list = append(g.quotas.list, customer)
	}
	customer.lastUsedAt = g.now
	g.refillTokens(customer)
	return customer
}

// newCustomer makes the record of a customer that is new here. It has the split of its burst, and more where that is less
// than a request (see above), but of a ceiling only that of the slack: this instance may have restarted, and the ceiling may have been drawn on until a moment ago.
func (g *Gateway) newCustomer(event RequestArrived) *customerRecord {
	customer := &customerRecord{
		id:            event.Customer,
		admissionHash: admissionHash(event.Customer),
		instances:     float64(min(max(1, event.Spread), g.settings.Instances)),
		plan:          g.settings.planIndex(event.Plan),
		refilledAt:    g.now,
	}
	customer.quota = &g.quotas.plans[customer.plan]
	customer.usesCounter = g.settings.Counter && customer.instances > 1 && customer.quota.maxTotal > 0
	customer.tokens = customer.quota.burst / customer.instances
	if customer.splitsByChance() && customer.tokens < g.settings.MaxUnits {
		sinceStart := min(g.now-g.startedAt, customerIdleTTL)
		customer.tokens = min(g.settings.MaxUnits, customer.tokens+customer.quota.rate/customer.instances*sinceStart.Seconds())
		customer.splitDraw = g.rng.Float64()
	}
	customer.ceilingTokens = g.settings.Plans[customer.plan].CeilingSlack / customer.instances
	return customer
}

// refillTokens fills a customer's buckets up to now. Of a ceiling, ceilingCounterShare is left out of the split where
// the counter can be asked.
func (g *Gateway) refillTokens(customer *customerRecord) {
	elapsed := (g.now - customer.refilledAt).Seconds()
	plan := &g.settings.Plans[customer.plan]
	splitShare := 1.0
	if customer.usesCounter {
		splitShare -= ceilingCounterShare
	}
	quota := customer.quota
	customer.tokens = min(max(quota.burst/customer.instances, g.settings.MaxUnits), customer.tokens+quota.rate/customer.instances*elapsed)
	customer.ceilingTokens = min(splitShare*plan.CeilingBurst/customer.instances, customer.ceilingTokens+splitShare*plan.CeilingRate/customer.instances*elapsed)
	customer.recentDemand *= math.Exp(-elapsed / demandMemory.Seconds())
	customer.refilledAt = g.now
}

// quotaVerdict is what is known here of a request without asking the counter.
type quotaVerdict int

const (
	quotaUnknown quotaVerdict = iota
	quotaInside
	quotaExceeded
)

// checkQuota judges a request by what is known here. It is beyond the quota until the total that the counter last gave
// can have faded enough; it is inside while others could not have used up the rest even at several times the rate.
func (g *Gateway) checkQuota(customer *customerRecord, units float64) quotaVerdict {
	plan := &g.settings.Plans[customer.plan]
	switch {
	case plan.MaxInFlight > 0 && customer.inFlight >= plan.MaxInFlight:
		return quotaExceeded
	case !customer.usesCounter:
		return customer.checkSplit(plan, units)
	case g.now < customer.overQuotaUntil:
		return quotaExceeded
	case customer.quota.countsInFlight() || customer.counterTotalAt == 0 || !customer.ceilingAllows(plan, units):
		return quotaUnknown
	}
	quota := customer.quota
	remaining := (quota.maxTotal - customer.counterTotal/g.counter.reportedUseShare.value - customer.pendingUse - units) / quota.maxTotal
	if (g.now - customer.counterTotalAt).Seconds() < quotaTrustFactor*quota.fadeTime*remaining {
		return quotaInside
	}
	return quotaUnknown
}

// checkSplit judges a request by this instance's split alone.
func (customer *customerRecord) checkSplit(plan *Plan, units float64) quotaVerdict {
	if plan.Rate > 0 && !customer.splitAllows(units) {
		return quotaExceeded
	}
	if plan.MaxInFlight > 0 && !customer.inFlightAllows(plan) {
		return quotaExceeded
	}
	return quotaInside
}

// splitAllows tells whether this instance's split of the quota has room for a request.
func (customer *customerRecord) splitAllows(units float64) bool {
	if customer.splitHolds(units) || !customer.splitsByChance() {
		return customer.tokens >= units
	}
	return customer.tokens >= customer.splitDraw*units
}

// splitsByChance tells whether a split that is smaller than a request admits one by chance.
func (customer *customerRecord) splitsByChance() bool {
	return !customer.usesCounter && customer.instances > 1
}

// splitHolds tells whether a full split holds a request at all.
func (customer *customerRecord) splitHolds(units float64) bool {
	return customer.quota.burst >= customer.instances*units
}

// inFlightAllows tells whether this instance's split of the attempts in flight has room.
func (customer *customerRecord) inFlightAllows(plan *Plan) bool {
	return float64(customer.inFlight) < float64(plan.MaxInFlight)/customer.instances
}

// ceilingAllows tells whether this instance's split of the ceiling has room.
func (customer *customerRecord) ceilingAllows(plan *Plan, units float64) bool {
	return plan.CeilingRate == 0 || units <= customer.ceilingTokens
}

// insideProbability is how likely a request is inside the quota if the counter is not asked: this instance's split of
// the quota over demandMemory, against what was asked here in that time; where attempts in flight are limited, as many
// as can end in that time. For a customer that hardly ever comes here it is the share of the plan's requests that the
// counter lets in.
func (g *Gateway) insideProbability(customer *customerRecord, class ClassID) float64 {
	split := customer.quota.rate / customer.instances * demandMemory.Seconds()
	if customer.quota.countsInFlight() {
		split = customer.quota.maxTotal / max(housekeepingInterval.Seconds(), g.classLatency[class].mean) / customer.instances * demandMemory.Seconds()
	}
	return min(1, (demandPrior*g.counter.insideShare[customer.plan].value+split)/(demandPrior+customer.recentDemand))
}

// decideWithoutCounter tells whether a request counts as inside the quota when the counter says nothing of it: by the
// split, where that holds a request; else where the chance to be right is worth more than the cost of being wrong.
func (g *Gateway) decideWithoutCounter(customer *customerRecord, class ClassID, units float64) bool {
	plan := &g.settings.Plans[customer.plan]
	switch {
	case !customer.ceilingAllows(plan, units):
		return false
	case plan.Rate == 0 && float64(plan.MaxInFlight) >= customer.instances:
		return customer.inFlightAllows(plan)
	case plan.Rate > 0 && customer.splitHolds(units):
		return customer.tokens >= units
	}
	probability := g.insideProbability(customer, class)
	return probability*unconfirmedQuotaWeight > (1-probability)*plan.OverQuotaCost
}

// spendCountedUnits takes an admitted request's units off the split when the counter has added them, and counts the use
// as reported (reportedUseShare).
func (g *Gateway) spendCountedUnits(request *requestRecord) {
	customer := request.customer
	g.counter.reportedUseShare.add(1, g.now)
	request.addedToCounter = true
	customer.tokens = max(0, customer.tokens-request.units)
	customer.ceilingTokens = max(0, customer.ceilingTokens-request.units)
}

// spendTokens takes a request's units off the split of the quota. Use beyond the quota leaves nothing of it, but takes it no
// further below nothing.
func (g *Gateway) spendTokens(customer *customerRecord, units float64) {
	byChance := customer.splitsByChance() && !customer.splitHolds(units) && customer.splitAllows(units)
	if !byChance {
		customer.tokens = max(min(0, customer.tokens), customer.tokens-units)
		return
	}
	customer.tokens -= units
	customer.splitDraw = g.rng.Float64()
}

// spendUncountedUnits takes an admitted request's units off the split when the counter does not hold them; they are
// added later. The ceiling's bucket may go below nothing here, so that what was passed is made up for.
func (g *Gateway) spendUncountedUnits(customer *customerRecord, units float64) {
	g.spendTokens(customer, units)
	customer.ceilingTokens -= units
	if customer.usesCounter && !customer.quota.countsInFlight() {
		g.queuePendingUse(customer, units)
	}
}
