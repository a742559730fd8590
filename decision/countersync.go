package decision

import (
	"math"
	"strconv"
	"time"
)

// This file decides when the shared counter is called, with which amount, and what its replies mean. The counter holds
// a total per name. A customer's use is added to one of the customer's names. The weight of a unit grows with time, so
// that older use decays relative to newer use: the total divided by the current weight is the customer's recent use at
// all instances.
//
// If this instance does not know whether a request is inside the quota, the request's units are added and the request
// is held until the reply; if it was beyond the quota, the units are refunded. Units that are admitted without a call
// are added a little later, in one call. A counter that is slow or rejects calls is called less: calls are made at
// random, with a higher probability for more valuable requests. A total far below the expected one indicates that the
// counter has lost its totals, for example in a restart. Until the use before the loss has decayed, nothing is admitted
// beyond a ceiling's split.

const (
	// counterNameTTL is how long the counter keeps a name. It is longer than maxCounterNamePeriod.
	counterNameTTL = time.Minute
	// maxCounterNamePeriod is the longest time for which a name is used. The total under the next name starts at zero.
	maxCounterNamePeriod = 50 * time.Second
	// maxCounterNameFades bounds the same period in fade times. The weight of a unit stays below e to this power, well
	// within the range that a float64 represents with full precision.
	maxCounterNameFades = 45.0
	// maxCustomerInName is the maximum length, in bytes, of a customer's id in a name. A hash replaces a longer id.
	maxCustomerInName = 40
	// counterResetRatio is the share of the expected total below which the counter is assumed to have lost its totals.
	// A smaller difference may be use that was refunded.
	counterResetRatio = 0.5
	// maxOverQuotaWait is the longest time, in seconds, until the counter may be called again for a customer beyond its
	// quota: the customer's use at other instances may have stopped.
	maxOverQuotaWait = 1.0
	// pendingUseDelay is how long use is collected before it is added: one call then carries the units of several
	// requests.
	pendingUseDelay = 250 * time.Millisecond
	// pendingUseKeepShare is the share of a quota above which pending use waits for a later call instead of being
	// dropped: less than that hardly changes a decision.
	pendingUseKeepShare = 0.1
	// rejectedCallFactor reduces the call probability after a call that failed without being slow, such as a rejection:
	// the counter is at its limit.
	rejectedCallFactor = 0.85
	// slowCallFactor reduces the call probability after a call that was slow or timed out: all callers of the counter
	// have to wait then.
	slowCallFactor = 0.6
	// goodCallFactor raises the call probability after a good reply.
	goodCallFactor = 1.06
	// recoveryCallFactor raises the call probability after a good reply if the last slow or failed call was more than
	// counterRecoveryTime ago.
	recoveryCallFactor = 1.25
	// counterRecoveryTime is long enough for the counter to recover from an overload.
	counterRecoveryTime = 4 * time.Second
	// minCallProbability is the minimum of callProbability, at which calls still detect that the counter has recovered.
	// The probability of a call for one request is callProbability times its callPriority, which may be near 0.
	minCallProbability = 0.15
)

// counterCall is a call of the counter that has not been answered yet.
type counterCall struct {
	customer     *customerRecord
	request      *requestRecord // request that waits for the reply; nil if none
	unitWeight   float64        // weight of one unit in the added amount
	pendingUnits float64        // pending or refunded (negative) units in the call, queued again if the call did not add them
	sentAt       time.Duration
}

// counterSync holds the state of the communication with the shared counter.
type counterSync struct {
	calls            map[string][]counterCall // calls without a reply, by name, in the order of the calls
	pendingUseQueue  []*customerRecord        // customers with use that was not added to the counter yet
	insideShare      []movingAverage          // share of the requests decided by a total that were inside their quota, by plan
	reportedUseShare movingAverage            // share of the reports of use that were made to the counter and not dropped, each counted once whatever its units; totals are divided by it
	maxPlanWeight    float64                  // highest WeightFactor of all plans
	callProbability  float64                  // probability of a call of the highest priority, minCallProbability to 1
	lastBadCallAt    time.Duration            // time of the last slow or failed call
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

// push records a call.
func (c *counterSync) push(name string, call counterCall) {
	c.calls[name] = append(c.calls[name], call)
}

// pop removes and returns the call that a reply for a name belongs to, or false if there is none.
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

// recordCall adjusts the call probability to the result of a call. slow means a timeout, or another result after more
// than half of the timeout.
func (c *counterSync) recordCall(slow, ok bool, now time.Duration) {
	switch {
	case slow:
		c.callProbability = max(minCallProbability, c.callProbability*slowCallFactor)
		c.lastBadCallAt = now
	case !ok:
		c.callProbability = max(minCallProbability, c.callProbability*rejectedCallFactor)
		c.lastBadCallAt = now
	case now-c.lastBadCallAt > counterRecoveryTime:
		c.callProbability = min(1, c.callProbability*recoveryCallFactor)
	default:
		c.callProbability = min(1, c.callProbability*goodCallFactor)
	}
}

// mayCallCounter decides whether the counter may be called. While the counter is overloaded, it decides at random:
// callPriority, 0 to 1, then reduces the probability of less valuable calls.
func (g *Gateway) mayCallCounter(callPriority float64) bool {
	return g.counter.callProbability == 1 || g.rng.Float64() < g.counter.callProbability*callPriority
}

// counterNameOf returns the name to which a customer's use is added now, and the current weight of a unit. A name is
// replaced before its weights grow too large and before the counter deletes it. The names of different customers change
// at different times, so that not all totals are unknown at once.
func (g *Gateway) counterNameOf(customer *customerRecord) (name string, unitWeight float64) {
	period := min(maxCounterNamePeriod.Seconds(), maxCounterNameFades*customer.quota.fadeTime)
	epoch, elapsedShare := math.Modf(g.now.Seconds()/period + customer.customerHash)
	name = customer.id
	if len(name) > maxCustomerInName {
		name = strconv.FormatUint(math.Float64bits(customer.customerHash), 36)
	}
	return name + "." + strconv.FormatInt(int64(epoch), 36), math.Exp(elapsedShare * period / customer.quota.fadeTime)
}

// callCounter adds units and the customer's pending use to the customer's total. request, if not nil, waits for the
// reply.
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

// refundUnits subtracts the units of a request from the counter's total: the request was not admitted or, in a plan whose
// quota is on attempts in flight, its attempt has ended.
func (g *Gateway) refundUnits(request *requestRecord) {
	request.addedToCounter = false
	call := counterCall{customer: request.customer, unitWeight: request.counterWeight, pendingUnits: -request.units, sentAt: g.now}
	g.counter.push(request.counterName, call)
	g.emit(AddToCounter{Name: request.counterName, Amount: -request.units * request.counterWeight, TTL: counterNameTTL})
}

// queuePendingUse stores units until they are added to the counter.
func (g *Gateway) queuePendingUse(customer *customerRecord, units float64) {
	customer.pendingUse += units
	if customer.pendingUseQueued {
		return
	}
	customer.pendingUseQueued = true
	customer.pendingUseDueAt = g.now + pendingUseDelay
	g.counter.pendingUseQueue = append(g.counter.pendingUseQueue, customer)
}

// flushPendingUse adds to the counter the pending use whose delay has passed.
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

// flushCustomer emits a call that adds a customer's pending use to the counter if the use is due. It returns false if
// the use has to wait longer. If the counter may not be called, use above pendingUseKeepShare is kept and decays as it
// would in the counter; less than that is dropped.
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

// handleCounterReply processes the reply to a call and decides on the request that waits for it.
func (g *Gateway) handleCounterReply(event CounterReplied) {
	call, found := g.counter.pop(event.Name)
	if !found {
		return
	}
	total := max(0, event.Total) // refunds may leave a negative rounding error
	ok := event.Outcome == OK && !anyNegativeOrNotFinite(total)
	slow := event.Outcome == TimedOut || g.now-call.sentAt > g.settings.CounterTimeout/2
	g.counter.recordCall(slow, ok, g.now)
	if call.request != nil && call.request.ended && ok { // the client disconnected, or the deadline passed
		g.refundUnits(call.request)
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

// recordTotal records a customer's total. A total far below the expected one means that the counter may have lost its
// totals. The counter is distrusted until the use before the loss has decayed, because it would allow too much until
// then. A change of the customer's name in the counter (counterNameOf) looks the same: the total under the new name
// starts at zero, the counter is distrusted as well, and the customer may spend up to one more burst.
func (g *Gateway) recordTotal(customer *customerRecord, total float64) {
	expected := customer.counterTotal * customer.quota.fade(g.now-customer.counterTotalAt)
	if customer.counterTotalAt > 0 && total < counterResetRatio*expected {
		customer.counterDistrustedUntil = g.now + seconds(customer.quota.fadeTime)
	}
	customer.counterTotal = total
	customer.counterTotalAt = g.now
}

// decideWithoutTotal decides on a request whose call of the counter failed. After a timeout the units may have been
// added, so they are refunded if the request counts as beyond the quota.
func (g *Gateway) decideWithoutTotal(request *requestRecord, outcome Outcome) {
	inside := g.decideWithoutCounter(request.customer, request.class, request.units)
	if outcome == TimedOut && !inside {
		g.refundUnits(request)
	}
	g.admitOrShed(request, uncountedDecision(inside))
}

// decideByTotal decides on a request by its customer's total, which includes the request's units. A request is inside
// the quota if at least half of its units fit; recordOverQuota solves the same condition for the time. Beyond this
// instance's split of a ceiling, a request is admitted only from the part that is not split, and only while the counter
// is trusted.
func (g *Gateway) decideByTotal(request *requestRecord) {
	customer := request.customer
	units := request.units
	before := customer.counterTotal - units
	inside := before/g.counter.reportedUseShare.value+units/2 <= customer.quota.maxTotal
	g.counter.insideShare[customer.plan].add(indicator(inside), g.now)
	if !inside {
		g.recordOverQuota(request, before)
		if g.mayCallCounter(1) { // otherwise the units stay in the total until they decay
			g.refundUnits(request)
		}
		g.admitOrShed(request, beyondQuota)
		return
	}
	plan := &g.settings.Plans[customer.plan]
	beyondSplit := !customer.ceilingAllows(plan, units)
	unsplitPartUnavailable := g.now < customer.counterDistrustedUntil || before+units > ceilingCounterShare*plan.CeilingBurst
	if beyondSplit && unsplitPartUnavailable {
		request.rejectReason = OverQuota
		g.refundUnits(request)
		g.finishWithLocalResponse(request)
		return
	}
	g.admitOrShed(request, insideCounted)
}

// recordOverQuota records that a customer is beyond its quota until the total without the request has decayed so far
// that half of the request's units fit, for at most maxOverQuotaWait. If the plan's quota is on attempts in
// flight, it records only the total.
func (g *Gateway) recordOverQuota(request *requestRecord, total float64) {
	customer := request.customer
	customer.counterTotal = total
	if !customer.quota.countsInFlight() {
		room := max(customer.quota.maxTotal-request.units/2, request.units/2) * g.counter.reportedUseShare.value
		wait := min(maxOverQuotaWait, customer.quota.fadeTime*math.Log(max(1, total/room)))
		customer.overQuotaUntil = g.now + seconds(wait)
	}
}
