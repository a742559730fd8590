package decision

import (
	"math"
	"strconv"
	"time"
)

// This file decides when the shared counter is called, with what, and what its answers mean. The counter holds a number
// per name. A customer's use is added to one of its names, each unit with a weight that grows with time, so that older
// use fades against newer: the total divided by the present weight is the customer's recent use at all instances.
//
// A request whose quota is unknown here is added and held until the answer; if it was beyond the quota it is taken back.
// What is admitted without asking is added a little later, together. A slow or rejecting counter is called less: calls
// are made by chance, more valuable requests first. A counter that forgot its totals (a restart) shows by a total far
// below the one expected; until the use before that has faded, nothing is passed on beyond a ceiling's split.

const (
	// counterNameTTL is how long the counter keeps a name, more than maxCounterNamePeriod.
	counterNameTTL = time.Minute
	// maxCounterNamePeriod is the longest time for which a name is used; a customer's next name starts from nothing.
	maxCounterNamePeriod = 50 * time.Second
	// maxCounterNameFades bounds the same in fading times: weights grow to e to this power, well inside a float64 with
	// all its digits.
	maxCounterNameFades = 45.0
	// maxCustomerInName is the length of a customer's id, in bytes, from which on its hash stands in the name.
	maxCustomerInName = 40
	// counterResetRatio is the share of the expected total below which the counter has lost it. Above it, the
	// difference may be use that was taken back.
	counterResetRatio = 0.5
	// maxOverQuotaWait is the time, in seconds, after which a customer beyond its quota is asked about again at the
	// latest: its use elsewhere may have stopped.
	maxOverQuotaWait = 1.0
	// pendingUseDelay is how long use is kept before it is added: one call then carries several requests' units.
	pendingUseDelay = 250 * time.Millisecond
	// pendingUseKeepShare is the share of a quota from which pending use waits for a call instead of being dropped:
	// less than that hardly changes a decision.
	pendingUseKeepShare = 0.1
	// rejectedCallFactor lowers the chance of a call after one that was rejected: the counter is at its limit.
	rejectedCallFactor = 0.85
	// slowCallFactor lowers it after one that was slow or timed out: all its callers wait then.
	slowCallFactor = 0.6
	// goodCallFactor raises it after a good answer.
	goodCallFactor = 1.06
	// recoveryCallFactor raises it after a good answer if the last bad one is past by counterRecoveryTime.
	recoveryCallFactor = 1.25
	// counterRecoveryTime is long enough for the counter to have recovered from an overload.
	counterRecoveryTime = 4 * time.Second
	// minCallProbability is the least callProbability, at which calls still find out that the counter has recovered.
	// The chance of one request's call is this times its callPriority, which may be near 0.
	minCallProbability = 0.15
)

// counterCall is a call of the counter that was not answered yet.
type counterCall struct {
	customer     *customerRecord
	request      *requestRecord // that waits for the answer; nil if none
	unitWeight   float64        // that one unit was added with
	pendingUnits float64        // units of other requests in it, to be added later if they were not now
	sentAt       time.Duration
}

// counterSync holds what is known of the shared counter.
type counterSync struct {
	calls            map[string][]counterCall // not answered yet, by name, in order
	pendingUseQueue  []*customerRecord        // those with use that was not added to the counter yet
	insideShare      []movingAverage          // share of the requests asked about that were inside their quota, by plan
	reportedUseShare movingAverage            // share of the use that reached the counter
	maxPlanWeight    float64                  // highest WeightFactor of all plans
	callProbability  float64                  // chance of a call of the highest priority, minCallProbability to 1
	overloadedAt     time.Duration            // when it last was slow or rejected a call
}

func newCounterSync(plans []Plan, now time.Duration) counterSync {
	average := newMovingAverage(minNoisySamples, now)
	counter := counterSync{calls: map[string][]counterCall{}, callProbability: 1, reportedUseShare: average}
	counter.reportedUseShare.add(1, now)
	for _, plan := range plans {
		counter.maxPlanWeight = max(counter.maxPlanWeight, plan.WeightFactor)
		counter.insideShare = append(counter.insideShare, average)
	}
	return counter
}

// push notes a call.
func (c *counterSync) push(name string, call counterCall) {
	c.calls[name] = append(c.calls[name], call)
}

// pop gives the call that an answer for a name belongs to, and false if there is none.
func (c *counterSync) pop(name string) (counterCall, bool) {
	calls := c.calls[name]
	if len(calls) == 0 {
		return counterCall{}, false
	}
	c.calls[name] = calls[1:]
	if len(calls) == 1 {
		delete(c.calls, name)
	}
	return calls[0], true
}

// recordCall moves the chance of calls by how one ended.
func (c *counterSync) recordCall(slow, ok bool, now time.Duration) {
	switch {
	case slow:
		c.callProbability = max(minCallProbability, c.callProbability*slowCallFactor)
		c.overloadedAt = now
	case !ok:
		c.callProbability = max(minCallProbability, c.callProbability*rejectedCallFactor)
		c.overloadedAt = now
	case now-c.overloadedAt > counterRecoveryTime:
		c.callProbability = min(1, c.callProbability*recoveryCallFactor)
	default:
		c.callProbability = min(1, c.callProbability*goodCallFactor)
	}
}

// mayCallCounter decides by chance whether the counter may be called; while the counter is overloaded it draws a random
// number. callPriority, 0 to 1, lowers the chance of calls that are worth less, but only in that time.
func (g *Gateway) mayCallCounter(callPriority float64) bool {
	return g.counter.callProbability == 1 || g.rng.Float64() < g.counter.callProbability*callPriority
}

// counterNameOf is the name to which a customer's use is added now, and what a unit counts in it. Names change before
// weights grow too large or the counter forgets; those of different customers change at different times, so that not
// all totals are unknown at once.
func (g *Gateway) counterNameOf(customer *customerRecord) (name string, unitWeight float64) {
	period := min(maxCounterNamePeriod.Seconds(), maxCounterNameFades*customer.quota.fadeTime)
	epoch, elapsedShare := math.Modf(g.now.Seconds()/period + customer.admissionHash)
	name = customer.id
	if len(name) > maxCustomerInName {
		name = strconv.FormatUint(math.Float64bits(customer.admissionHash), 36)
	}
	return name + "." + strconv.FormatInt(int64(epoch), 36), math.Exp(elapsedShare * period / customer.quota.fadeTime)
}

// callCounter adds units to a customer's total, with its pending use; request, if any, waits for the answer.
func (g *Gateway) callCounter(customer *customerRecord, units float64, request *requestRecord) {
	name, unitWeight := g.counterNameOf(customer)
	pending := customer.pendingUse
	customer.pendingUse = 0
	if request != nil {
		request.counterName = name
		request.counterWeight = unitWeight
	}
	g.counter.push(name, counterCall{customer: customer, request: request, unitWeight: unitWeight, pendingUnits: pending, sentAt: g.now})
	g.emit(AddToCounter{Name: name, Amount: (units + pending) * unitWeight, TTL: counterNameTTL})
}

// takeBackUnits takes back what was added for a request: one that was rejected in the end, or an attempt that is no
// longer in flight.
func (g *Gateway) takeBackUnits(request *requestRecord) {
	request.addedToCounter = false
	call := counterCall{customer: request.customer, unitWeight: request.counterWeight, pendingUnits: -request.units, sentAt: g.now}
	g.counter.push(request.counterName, call)
	g.emit(AddToCounter{Name: request.counterName, Amount: -request.units * request.counterWeight, TTL: counterNameTTL})
}

// queuePendingUse keeps units until they are added to the counter.
func (g *Gateway) queuePendingUse(customer *customerRecord, units float64) {
	customer.pendingUse += units
	if customer.pendingUseQueued {
		return
	}
	customer.pendingUseQueued = true
	customer.pendingUseDueAt = g.now + pendingUseDelay
	g.counter.pendingUseQueue = append(g.counter.pendingUseQueue, customer)
}

// flushPendingUse tells the counter what was spent without asking and is due.
func (g *Gateway) flushPendingUse() {
	queue := g.counter.pendingUseQueue
	waiting := queue[:0]
	for _, customer := range queue {
		if !g.flushCustomer(customer) {
			waiting = append(waiting, customer)
		}
	}
	clear(queue[len(waiting):])
	g.counter.pendingUseQueue = waiting
}

// flushCustomer adds a customer's pending use to the counter, with an action, if it is due, and returns false if it has
// to wait on. Where the counter may not be called, use that matters is kept, and fades as it would there; the rest is
// dropped.
func (g *Gateway) flushCustomer(customer *customerRecord) (done bool) {
	if g.now < customer.pendingUseDueAt {
		return false
	}
	customer.pendingUseQueued = false
	if customer.pendingUse == 0 {
		return true
	}
	reported := g.mayCallCounter(1)
	if !reported && customer.pendingUse > pendingUseKeepShare*customer.quota.maxTotal {
		customer.pendingUse *= customer.quota.fade(g.now + pendingUseDelay - customer.pendingUseDueAt)
		customer.pendingUseDueAt = g.now + pendingUseDelay
		customer.pendingUseQueued = true
		return false
	}
	g.counter.reportedUseShare.add(indicator(reported), g.now)
	if reported {
		g.callCounter(customer, 0, nil)
	}
	customer.pendingUse = 0
	return true
}

// handleCounterReply takes in the answer of a call, and decides on the request that waits for it.
func (g *Gateway) handleCounterReply(event CounterReplied) {
	call, found := g.counter.pop(event.Name)
	if !found {
		return
	}
	total := max(0, event.Total) // what was taken back may leave a rounding error below nothing
	ok := event.Outcome == OK && !anyNegativeOrNotFinite(total)
	slow := event.Outcome == TimedOut || g.now-call.sentAt > g.settings.CounterTimeout/2
	g.counter.recordCall(slow, ok, g.now)
	if call.request != nil && call.request.ended && ok { // the client left, or the deadline passed
		g.takeBackUnits(call.request)
	}
	g.refillTokens(call.customer)
	if call.pendingUnits != 0 && (event.Outcome == Rejected || event.Outcome == ConnectFailed) { // not added
		g.queuePendingUse(call.customer, call.pendingUnits*call.customer.quota.fade(g.now-call.sentAt))
	}
	if ok {
		g.recordTotal(call.customer, total/call.unitWeight)
	}
	if call.request == nil || call.request.ended {
		return
	}
	if ok {
		g.decideByTotal(call.request)
	} else {
		g.decideWithoutTotal(call.request, event.Outcome)
	}
}

// recordTotal takes in a customer's total. One far below the expected one means that the counter may have forgotten; it
// would admit too much until the use before that has faded, so the counter is distrusted for that long. A change of
// the counter's name (counterNameOf) looks the same: the new name's total starts from nothing, the counter is distrusted
// too, and the customer may spend up to one more burst.
func (g *Gateway) recordTotal(customer *customerRecord, total float64) {
	expected := customer.counterTotal * customer.quota.fade(g.now-customer.counterTotalAt)
	if customer.counterTotalAt > 0 && total < counterResetRatio*expected {
		customer.counterDistrustedUntil = g.now + seconds(customer.quota.fadeTime)
	}
	customer.counterTotal = total
	customer.counterTotalAt = g.now
}

// decideWithoutTotal decides on a request of which the counter says nothing. After a timeout its units may have been
// added.
func (g *Gateway) decideWithoutTotal(request *requestRecord, outcome Outcome) {
	inside := g.decideWithoutCounter(request.customer, request.class, request.units)
	if outcome == TimedOut && !inside {
		g.takeBackUnits(request)
	}
	g.admitOrShed(request, uncountedDecision(inside))
}

// decideByTotal decides on a request by its customer's total, which includes the request's units. A request is inside
// if at least half of its units fit; recordOverQuota inverts the same rule. Beyond this instance's split of a ceiling it
// is admitted only from the part that is not split, while the counter is trusted.
func (g *Gateway) decideByTotal(request *requestRecord) {
	customer := request.customer
	units := request.units
	before := customer.counterTotal - units
	inside := before/g.counter.reportedUseShare.value+units/2 <= customer.quota.maxTotal
	g.counter.insideShare[customer.plan].add(indicator(inside), g.now)
	if !inside {
		g.recordOverQuota(request, before)
		if g.mayCallCounter(1) { // else its units stay in the total until they fade
			g.takeBackUnits(request)
		}
		g.admitOrShed(request, beyondQuota)
		return
	}
	plan := &g.settings.Plans[customer.plan]
	beyondSplit := !customer.ceilingAllows(plan, units)
	sharedPartUsedUp := g.now < customer.counterDistrustedUntil || before+units > ceilingCounterShare*plan.CeilingBurst
	if beyondSplit && sharedPartUsedUp {
		request.rejectReason = OverQuota
		g.takeBackUnits(request)
		g.finishWithAnswer(request)
		return
	}
	g.admitOrShed(request, insideCounted)
}

// recordOverQuota notes that a customer is beyond its quota, until the total without the request has faded so far that
// half of the request's units fit (at most maxOverQuotaWait). Where attempts in flight are counted, only the total is
// noted.
func (g *Gateway) recordOverQuota(request *requestRecord, total float64) {
	customer := request.customer
	customer.counterTotal = total
	if !customer.quota.countsInFlight() {
		room := max(customer.quota.maxTotal-request.units/2, request.units/2) * g.counter.reportedUseShare.value
		wait := min(maxOverQuotaWait, customer.quota.fadeTime*math.Log(max(1, total/room)))
		customer.overQuotaUntil = g.now + seconds(wait)
	}
}
