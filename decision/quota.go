package decision

import (
	"math"
	"strings"
	"time"
)

// This file decides whether a request is inside its customer's quota, beyond it, or whether this instance does not know
// and has to call the shared counter (countersync.go). A customer's quota is shared by the instances that receive the
// customer's requests. Each of them holds a token bucket with its split: burst and rate divided by the number of these
// instances. If only one instance receives the customer's requests, that bucket decides. For other customers the
// counter's total is more accurate.
//
// If a customer does not use the counter and the split of its burst is less than one request, no instance could ever
// admit a request from a full bucket. Such requests are admitted at random: a request is admitted once the tokens reach
// a random share of its units, and each such admission draws a new share. The tokens become negative by the admission,
// so that the fleet admits as much as the splits accumulate, as long as the instances remember the customer. A bucket
// holds at most one request (MaxUnits), and tokens beyond that are lost. The less often an instance receives the
// customer's requests, the more tokens it loses. A customer that is new to an instance starts with the tokens that its
// split would have accumulated since the instance started, for at most customerIdleTTL. After a time without requests,
// the customer may exceed its burst by these tokens.
//
// The ceiling of a plan has its own bucket. It must never be exceeded by more than its slack, even if the counter does
// not reply or has lost its totals. The ceiling is therefore always split; only a part of it (ceilingCounterShare) is
// granted beyond the split, by the counter.
//
// Units are those of the plan: units of requests, or attempts in flight if the plan limits only those. Times are in
// seconds.

const (
	// quotaTrustFactor sets how long the counter's last total is trusted without another call, as a share of the time
	// in which the remaining quota refills. At one half, the other instances would have to spend at twice the rate of
	// the plan to use up the remaining quota in that time.
	quotaTrustFactor = 0.5
	// inFlightFadeFactor is the time constant, in latency objectives, with which attempts in flight decay in the total
	// if they are not refunded: an instance that crashed must not block its customers for longer.
	inFlightFadeFactor = 1.0
	// ceilingCounterShare is the share of a ceiling that is not split among the instances, but granted by the counter.
	ceilingCounterShare = 0.35
	// unconfirmedQuotaWeight is the weight of the probability that a request is inside its quota when the counter gives
	// no total. It is below 1 because all instances make the same estimate and are wrong together.
	unconfirmedQuotaWeight = 0.4
	// demandMemory is the time constant with which an instance's record of a customer's demand decays.
	demandMemory = 5 * time.Second
	// demandPrior is the weight, in units, of the plan's insideShare against the customer's own demand: for a rarely
	// seen customer, the plan's other customers decide.
	demandPrior = 0.5
	// customersPerSweep is the number of customers that are checked per housekeeping run, in addition to
	// sweepsPerNewCustomer for each customer that is new since the last run. It bounds the time of a run, however many
	// customers there are, and the sweep keeps up with new ones.
	customersPerSweep    = 20
	sweepsPerNewCustomer = 4
	// customerIdleTTL is the time after which an idle customer is forgotten. It is longer than the period for which one
	// counter name is used (maxCounterNamePeriod). A customer that returns later starts with a full quota bucket, and
	// with a ceiling bucket that holds only the slack.
	customerIdleTTL = 60 * time.Second
	// unusedCustomerTTL is the time after which an idle customer is forgotten that has used nothing: its record then
	// holds only a demand that has faded. Clients that send each request under a new name must not fill the memory.
	unusedCustomerTTL = demandMemory
)

// planQuota describes how the use of a plan's customers is counted: as a total over all instances that decays. The
// decay is so fast that a customer who spends at the plan's rate keeps the total at the burst. A single reply of the
// counter then gives the recent use.
type planQuota struct {
	rate     float64 // units per second; 0: the quota is on attempts in flight
	burst    float64 // units
	maxTotal float64 // decayed total that the plan allows; 0: no quota
	fadeTime float64 // seconds in which the total falls to 1/e
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

// countsInFlight reports whether the counted use is attempts in flight, because the plan has neither a rate nor a
// ceiling.
func (q *planQuota) countsInFlight() bool { return q.rate == 0 }

// fade returns the factor by which a total decays in the elapsed time.
func (q *planQuota) fade(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / q.fadeTime)
}

// customerRecord is a gateway's record of a customer.
type customerRecord struct {
	id           string
	customerHash float64
	instances    float64 // instances that receive the customer's requests, including this one
	plan         int
	quota        *planQuota
	usesCounter  bool // the shared counter holds its use
	lastUsedAt   time.Duration
	inFlight     int // attempts

	// The buckets of this instance's split at refilledAt.
	refilledAt     time.Duration
	tokens         float64 // remaining units of the quota; may be negative after an admission at random
	splitThreshold float64 // share of a request's units that tokens must reach if the full split is smaller than the request
	ceilingTokens  float64 // remaining units of the ceiling
	recentDemand   float64 // units that were requested from this instance recently

	// The last reply of the shared counter.
	counterTotal           float64       // decayed use at all instances at counterTotalAt
	counterTotalAt         time.Duration // 0: never
	overQuotaUntil         time.Duration // according to that total, the customer is beyond its quota until then
	counterDistrustedUntil time.Duration // the counter is not trusted until then, because it may have lost the total

	// Use that was not added to the shared counter yet.
	pendingUse       float64 // units
	pendingUseDueAt  time.Duration
	pendingUseQueued bool // the customer is in counterSync.pendingUseQueue
}

// quotaTable holds the customers.
type quotaTable struct {
	plans         []planQuota // by index in Settings.Plans
	customers     map[string]*customerRecord
	list          []*customerRecord // the same customers, in sweep order
	sweepPosition int               // index into list
	added         int               // customers that were added since the last sweep
}

func newQuotaTable(settings Settings) quotaTable {
	table := quotaTable{customers: map[string]*customerRecord{}}
	for _, plan := range settings.Plans {
		table.plans = append(table.plans, newPlanQuota(plan, settings.Classes))
	}
	return table
}

// sweepIdleCustomers forgets customers that were idle for customerIdleTTL, or for unusedCustomerTTL if they have used
// nothing. Each call checks a few customers.
func (g *Gateway) sweepIdleCustomers() {
	t := &g.quotas
	checks := min(customersPerSweep+sweepsPerNewCustomer*t.added, len(t.list))
	t.added = 0
	for range checks {
		t.sweepPosition++
		if t.sweepPosition >= len(t.list) { // a count modulo len could stay at one index while the list grows
			t.sweepPosition = 0
		}
		customer := t.list[t.sweepPosition]
		if !g.mayForget(customer) {
			continue
		}
		last := len(t.list) - 1
		delete(t.customers, customer.id)
		t.list[t.sweepPosition] = t.list[last]
		t.list[last] = nil
		t.list = t.list[:last]
		if last == 0 {
			return
		}
	}
}

// mayForget reports whether a customer has been idle for so long that its record is not needed any more.
func (g *Gateway) mayForget(customer *customerRecord) bool {
	idle := g.now - customer.lastUsedAt
	if customer.inFlight != 0 || customer.pendingUseQueued {
		return false
	}
	return idle > customerIdleTTL || idle > unusedCustomerTTL && g.isUnused(customer)
}

// isUnused reports whether a customer's record says no more than that of a new customer: after its last request its buckets
// held what a new customer's would have held, and no total of the shared counter is known. If it returns, a new record
// allows no more than the forgotten one would have. A record with a splitThreshold is not unused: a new one would draw
// another threshold.
func (g *Gateway) isUnused(customer *customerRecord) bool {
	return customer.splitThreshold == 0 && customer.counterTotalAt == 0 && customer.pendingUse == 0 &&
		customer.tokens >= customer.quota.burst/customer.instances && customer.ceilingTokens >= g.initialCeilingTokens(customer)
}

// findOrAddCustomer returns the customer of a request with its buckets refilled.
func (g *Gateway) findOrAddCustomer(event RequestArrived) *customerRecord {
	customer := g.quotas.customers[event.Customer]
	if customer == nil {
		customer = g.newCustomer(event)
		g.quotas.customers[customer.id] = customer
		g.quotas.list = append(g.quotas.list, customer)
		g.quotas.added++
	}
	customer.lastUsedAt = g.now
	g.refillTokens(customer)
	return customer
}

// newCustomer creates the record of a customer that is new to this instance. Its quota bucket holds the split of the
// burst, and possibly more if that is less than a request (see the start of this file). Its ceiling bucket holds only
// the split of the slack: this instance may have restarted, and the ceiling may have been used up a moment ago.
func (g *Gateway) newCustomer(event RequestArrived) *customerRecord {
	customer := &customerRecord{
		id:           strings.Clone(event.Customer), // the event's may be a part of a whole request
		customerHash: customerHash(event.Customer),
		instances:    float64(min(max(1, event.Spread), g.settings.Instances)),
		plan:         g.settings.planIndex(event.Plan),
		refilledAt:   g.now,
	}
	customer.quota = &g.quotas.plans[customer.plan]
	customer.usesCounter = g.settings.Counter && customer.instances > 1 && customer.quota.maxTotal > 0
	customer.tokens = customer.quota.burst / customer.instances
	if customer.admitsAtRandom() && customer.tokens < g.settings.MaxUnits {
		sinceStart := min(g.now-g.startedAt, customerIdleTTL)
		customer.tokens = min(g.settings.MaxUnits, customer.tokens+customer.quota.rate/customer.instances*sinceStart.Seconds())
		customer.splitThreshold = g.rng.Float64()
	}
	customer.ceilingTokens = g.initialCeilingTokens(customer)
	return customer
}

// initialCeilingTokens returns the units in the ceiling bucket of a new customer.
func (g *Gateway) initialCeilingTokens(customer *customerRecord) float64 {
	return g.settings.Plans[customer.plan].CeilingSlack / customer.instances
}

// refillTokens refills a customer's buckets for the time since the last refill. If the customer uses the counter,
// ceilingCounterShare of its ceiling is left out of the split.
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

// quotaVerdict is the result of a quota check by this instance's own knowledge, without a call of the counter.
type quotaVerdict int

const (
	quotaUnknown quotaVerdict = iota
	quotaInside
	quotaExceeded
)

// checkQuota checks a request against what this instance knows. The request is beyond the quota until the counter's
// last total can have decayed enough. It is inside as long as the other instances cannot have used up the remaining
// quota, even at a higher rate than the plan's (quotaTrustFactor).
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

// checkSplit checks a request against this instance's split only.
func (customer *customerRecord) checkSplit(plan *Plan, units float64) quotaVerdict {
	if plan.Rate > 0 && !customer.splitAllows(units) {
		return quotaExceeded
	}
	if plan.MaxInFlight > 0 && !customer.inFlightAllows(plan) {
		return quotaExceeded
	}
	return quotaInside
}

// splitAllows reports whether this instance's split of the quota allows a request.
func (customer *customerRecord) splitAllows(units float64) bool {
	if customer.splitHolds(units) || !customer.admitsAtRandom() {
		return customer.tokens >= units
	}
	return customer.tokens >= customer.splitThreshold*units
}

// admitsAtRandom reports whether requests that are larger than the full split are admitted at random.
func (customer *customerRecord) admitsAtRandom() bool {
	return !customer.usesCounter && customer.instances > 1
}

// splitHolds reports whether a full bucket of this instance's split holds a request.
func (customer *customerRecord) splitHolds(units float64) bool {
	return customer.quota.burst >= customer.instances*units
}

// inFlightAllows reports whether this instance's split of the attempts in flight allows one more.
func (customer *customerRecord) inFlightAllows(plan *Plan) bool {
	return float64(customer.inFlight) < float64(plan.MaxInFlight)/customer.instances
}

// ceilingAllows reports whether this instance's split of the ceiling allows a request.
func (customer *customerRecord) ceilingAllows(plan *Plan, units float64) bool {
	return plan.CeilingRate == 0 || units <= customer.ceilingTokens
}

// insideProbability estimates the probability that a request is inside the quota if the counter is not called: this
// instance's split of the quota over demandMemory, divided by the demand in that time. If the quota is
// on attempts in flight, the split is the number of attempts that can end in that time. For a rarely seen customer the estimate is
// the share of the plan's requests that were inside their quota according to the counter.
func (g *Gateway) insideProbability(customer *customerRecord, class ClassID) float64 {
	split := customer.quota.rate / customer.instances * demandMemory.Seconds()
	if customer.quota.countsInFlight() {
		split = customer.quota.maxTotal / max(housekeepingInterval.Seconds(), g.classLatency[class].mean) / customer.instances * demandMemory.Seconds()
	}
	return min(1, (demandPrior*g.counter.insideShare[customer.plan].value+split)/(demandPrior+customer.recentDemand))
}

// decideWithoutCounter reports whether a request counts as inside the quota when the counter gives no total. The split
// decides if a full split holds a request. Otherwise the request is inside if the expected value of admitting it
// exceeds the expected cost of a wrong admission.
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

// spendCountedUnits deducts an admitted request's units from the split after the counter has added them, and records
// the use as reported (reportedUseShare).
func (g *Gateway) spendCountedUnits(request *requestRecord) {
	customer := request.customer
	g.counter.reportedUseShare.add(1, g.now)
	request.addedToCounter = true
	customer.tokens = max(0, customer.tokens-request.units)
	customer.ceilingTokens = max(0, customer.ceilingTokens-request.units)
}

// spendTokens deducts a request's units from the split of the quota. Use beyond the quota empties the bucket, but
// neither makes the tokens negative nor reduces negative tokens further. An admission at random may make them negative.
func (g *Gateway) spendTokens(customer *customerRecord, units float64) {
	atRandom := customer.admitsAtRandom() && !customer.splitHolds(units) && customer.splitAllows(units)
	if !atRandom {
		customer.tokens = max(min(0, customer.tokens), customer.tokens-units)
		return
	}
	customer.tokens -= units
	customer.splitThreshold = g.rng.Float64()
}

// spendUncountedUnits deducts an admitted request's units from the split if the counter does not hold them. If the
// customer uses the counter, the units are added to it later, except for attempts in flight. The ceiling's bucket may
// become negative, so that later requests compensate for an excess.
func (g *Gateway) spendUncountedUnits(customer *customerRecord, units float64) {
	g.spendTokens(customer, units)
	customer.ceilingTokens -= units
	if customer.usesCounter && !customer.quota.countsInFlight() {
		g.queuePendingUse(customer, units)
	}
}
