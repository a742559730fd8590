package decision

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// This file decides which requests are admitted and which are shed. Each priority has a PI controller that moves the
// admitted fraction of its customers so that the backends' utilization (load.go) stays at the set point. A request's
// priority is its class's weight times its plan's; a higher priority is cut last. Requests beyond a quota that their
// plan pays for share one more controller, below all others. The mechanism is that of T. Abdelzaher, K. Shin and
// N. Bhatti, "Performance Guarantees for Web Server End-Systems: A Control-Theoretical Approach" (2002), sections 4 (the
// control loop) and 5 (priorities): a controller's set point is what those above it leave.
//
// A customer is admitted while its hash is below the fraction, so that all instances shed the same customers, and the
// requests of one priority of a customer that is admitted are not cut.

const (
	// controlPeriod is the time between two steps of the controllers: several service times, so that a step shows
	// before the next one, and few per fault.
	controlPeriod = 300 * time.Millisecond
	// controlGainMargin is G of the paper (section 4), by which the gain stays below the critical one: a queue integrates, so a
	// larger gain makes the fraction swing.
	controlGainMargin = 20.0
	// workAverageTime is the time over which offered and admitted work fade: long against controlPeriod, short
	// against a change of traffic.
	workAverageTime = 2 * time.Second
	// utilizationSetPoint is the utilization to hold; 1 is full load (load.go), at half the expected latency from which
	// an attempt is refused (maxLatencyRatio).
	utilizationSetPoint = 0.95
	// maxUtilization bounds the utilization handed to the controllers: a longer queue must not cause a larger step, and
	// an unbounded error would shed everybody after an overload.
	maxUtilization = 1.3
	// offeredWorkDivisor: a controller that was offered less than the whole admitted work over this counts as offered
	// that much, or its gain would have no bound.
	offeredWorkDivisor = 20
	// leastDivisor keeps divisions from zero where there was no work; any work is far above it.
	leastDivisor = 1e-9
)

// piController is the control of one priority.
type piController struct {
	admitRatio   float64 // fraction of customers that is admitted, 0 to 1
	lastError    float64
	admittedWork float64 // admitted lately, in seconds of service
	offeredWork  float64 // asked for lately, likewise
}

// update moves the fraction by one period. available is the utilization that higher priorities leave, share the part of
// the present one that this priority causes, totalWork what all priorities had admitted. In this incremental form the
// integral part cannot wind up: it halts at the bounds of the fraction.
func (c *piController) update(available, share, totalWork, elapsed float64) {
	controlError := available - share
	// The utilization if all that was offered were admitted, p_max of the paper.
	peakUtilization := utilizationSetPoint * max(c.offeredWork, totalWork/offeredWorkDivisor) / max(totalWork, leastDivisor)
	proportionalGain := math.Sqrt(3) / (2 * controlGainMargin * peakUtilization)
	// The gain is per second: it is divided by the time here and multiplied by it below, which cancels but for rounding.
	integralGain := 5 * math.Pi / (3 * elapsed) / math.Sqrt(3)
	c.admitRatio = min(1, max(0, c.admitRatio+proportionalGain*(controlError-c.lastError+integralGain*elapsed*controlError)))
	c.lastError = controlError
}

// admissionControl holds the controllers of all priorities.
type admissionControl struct {
	controllers []piController // highest priority first; the last is for use beyond quotas
	index       [][]int        // position in controllers, by class and plan
}

// newAdmissionControl gives each priority that a class under a plan can have its controller, all open.
func newAdmissionControl(classes []Class, plans []Plan) admissionControl {
	var priorities []float64 // negative, so that the highest comes first
	for _, class := range classes {
		for _, plan := range plans {
			priorities = append(priorities, -class.PriorityWeight*plan.WeightFactor)
		}
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	var admission admissionControl
	admission.controllers = slices.Repeat([]piController{{admitRatio: 1}}, len(priorities)+1)
	for _, class := range classes {
		var row []int
		for _, plan := range plans {
			row = append(row, slices.Index(priorities, -class.PriorityWeight*plan.WeightFactor))
		}
		admission.index = append(admission.index, row)
	}
	return admission
}

// controller is that of a class under a plan.
func (a *admissionControl) controller(class ClassID, plan int) *piController {
	return &a.controllers[a.index[class][plan]]
}

// overQuotaController is that of requests beyond their quota.
func (a *admissionControl) overQuotaController() *piController {
	return &a.controllers[len(a.controllers)-1]
}

// update moves all fractions by one period of so many seconds. The utilization is split by the work that each priority
// had admitted.
func (a *admissionControl) update(utilization, elapsed float64) {
	utilization = min(maxUtilization, utilization)
	totalWork := 0.0
	for _, controller := range a.controllers {
		totalWork += controller.admittedWork
	}
	decay := math.Exp(-elapsed / workAverageTime.Seconds())
	available := utilizationSetPoint
	for i := range a.controllers {
		controller := &a.controllers[i]
		share := 0.0
		if totalWork > 0 {
			share = utilization * controller.admittedWork / totalWork
		}
		controller.update(available, share, totalWork, elapsed)
		controller.admittedWork *= decay
		controller.offeredWork *= decay
		available -= share
	}
}

// admissionHash maps a customer to [0, 1), alike at all instances.
func admissionHash(customer string) float64 {
	sum := sha256.Sum256([]byte(customer))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) / (1 << 53)
}

// quotaDecision is how a request stands with its customer's quota by the time that load shedding decides on it.
type quotaDecision int

const (
	// beyondQuota: the quota does not allow it. If the shared counter had added its units, they have been taken back,
	// or stay there because the counter may not be called (decideByTotal).
	beyondQuota quotaDecision = iota
	// insideUncounted: the quota allows it as far as is known here, or is not checked because load cuts the request
	// anyway; the shared counter is not known to hold its units.
	insideUncounted
	// insideCounted: the quota allows it by the counter's total, which includes its units.
	insideCounted
)

// uncountedDecision is the decision on a request whose units the shared counter is not known to hold.
func uncountedDecision(inside bool) quotaDecision {
	if inside {
		return insideUncounted
	}
	return beyondQuota
}

// cuts tells whether the fraction of a controller leaves a customer out.
func (c *piController) cuts(customer *customerRecord) bool {
	return customer.admissionHash >= c.admitRatio
}

// admitOrShed sends the first attempt of a request or rejects it. A request is shed when the fraction of its priority
// leaves its customer out, when it would pass the ceiling of its plan, when it is beyond a quota that its plan does not
// pay for, or when no backend could answer it in time (sendAttempt). It is called once for each request that has not
// ended.
func (g *Gateway) admitOrShed(request *requestRecord, quota quotaDecision) {
	controller := g.admission.controller(request.class, request.customer.plan)
	if quota == beyondQuota {
		controller = g.admission.overQuotaController()
		request.rejectReason = OverQuota
		plan := &g.settings.Plans[request.customer.plan]
		if plan.OverQuotaValue <= plan.OverQuotaCost {
			g.finishWithAnswer(request)
			return
		}
	}
	work := g.classLatency[request.class].mean
	controller.offeredWork += work
	if reason, shed := g.shedReason(request, quota, controller); shed {
		request.rejectReason = reason
		g.takeBackIfCounted(request, quota)
		g.finishWithAnswer(request)
		return
	}
	if !g.sendAttempt(request) { // which has ended the request
		g.takeBackIfCounted(request, quota)
		return
	}
	controller.admittedWork += work
	g.spendUnits(request, quota)
}

// shedReason tells whether a request is rejected before any attempt, and why. It changes nothing.
func (g *Gateway) shedReason(request *requestRecord, quota quotaDecision, controller *piController) (reason RejectReason, shed bool) {
	customer := request.customer
	plan := &g.settings.Plans[customer.plan]
	ceilingExceeded := quota != insideCounted && !customer.ceilingAllows(plan, request.units)
	switch {
	case ceilingExceeded:
		return OverQuota, true
	case controller.cuts(customer):
		return request.rejectReason, true
	default:
		return request.rejectReason, false
	}
}

// takeBackIfCounted takes the units of a request that was not admitted back at the shared counter, if it holds them.
func (g *Gateway) takeBackIfCounted(request *requestRecord, quota quotaDecision) {
	if quota == insideCounted {
		g.takeBackUnits(request)
	}
}

// spendUnits takes an admitted request's units off this instance's split.
func (g *Gateway) spendUnits(request *requestRecord, quota quotaDecision) {
	if quota == insideCounted {
		g.spendCountedUnits(request)
		return
	}
	g.spendUncountedUnits(request.customer, request.units)
}
