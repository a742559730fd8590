package decision

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// This file decides which requests are admitted and which are shed. Each priority has a PI controller that adjusts the
// admitted fraction of its customers so that the backends' utilization (load.go) stays at the set point. The priority
// of a request is the weight of its class times the weight of its plan; the lowest priority is shed first. Requests
// beyond their quota are rejected, unless their plan gives an answer beyond the quota a value above its cost. Such
// requests share one more controller, below all others. The mechanism is that of T. Abdelzaher, K. Shin and N. Bhatti,
// "Performance Guarantees for Web Server End-Systems: A Control-Theoretical Approach" (2002), sections 4 (the control
// loop) and 5 (priorities): the set point of a controller is the utilization that the controllers of higher priority
// leave.
//
// A customer is admitted while its hash is below the admitted fraction. All instances therefore shed the same
// customers, and the controller sheds either all or none of a customer's requests of its priority.

const (
	// controlPeriod is the time between two steps of the controllers: several service times, so that the effect of a
	// step shows before the next one and there are few steps during a fault.
	controlPeriod = 300 * time.Millisecond
	// controlGainMargin is G of the paper (section 4), the factor by which the gain stays below the critical gain: a
	// queue accumulates the excess of arrivals, so a larger gain makes the admitted fraction oscillate.
	controlGainMargin = 20.0
	// workAverageTime is the time constant with which offered and admitted work decay: long compared with
	// controlPeriod, short compared with changes of traffic.
	workAverageTime = 2 * time.Second
	// utilizationSetPoint is the utilization to hold. 1 is full load (load.go), which corresponds to half the expected
	// latency above which no attempt is begun (maxLatencyRatio).
	utilizationSetPoint = 0.95
	// maxUtilization bounds the utilization that the controllers see: a longer queue must not cause a larger step, and
	// an unbounded error would shed all customers after an overload.
	maxUtilization = 1.3
	// offeredWorkDivisor sets the minimum offered work of a controller: the admitted work of all controllers divided by
	// this. Without a minimum the gain would be unbounded.
	offeredWorkDivisor = 20
	// minDivisor is a lower bound for divisors that are zero while there is no work. Any actual work is far above it.
	minDivisor = 1e-9
)

// piController is the PI controller of one priority.
type piController struct {
	admitRatio   float64 // admitted fraction of the customers, 0 to 1
	lastError    float64
	admittedWork float64 // work that was admitted recently, in seconds of service
	offeredWork  float64 // work that was requested recently, in seconds of service
}

// update adjusts the admitted fraction for one period. available is the utilization that higher priorities leave, share
// is the part of the current utilization that this priority causes, and totalWork is the work that all priorities
// admitted. elapsed is in seconds. The controller has the incremental (velocity) form: each step changes the fraction,
// which is limited to the range 0 to 1, so the integral part cannot wind up.
func (c *piController) update(available, share, totalWork, elapsed float64) {
	controlError := available - share
	// peakUtilization is the utilization that would result if all offered work were admitted, p_max of the paper.
	peakUtilization := utilizationSetPoint * max(c.offeredWork, totalWork/offeredWorkDivisor) / max(totalWork, minDivisor)
	proportionalGain := math.Sqrt(3) / (2 * controlGainMargin * peakUtilization)
	// The gain is per second. The division by the elapsed time here and the multiplication below cancel except for
	// rounding.
	integralGain := 5 * math.Pi / (3 * elapsed) / math.Sqrt(3)
	c.admitRatio = min(1, max(0, c.admitRatio+proportionalGain*(controlError-c.lastError+integralGain*elapsed*controlError)))
	c.lastError = controlError
}

// admissionControl holds the controllers of all priorities.
type admissionControl struct {
	controllers []piController // highest priority first; the last one is for use beyond quotas
	index       [][]int        // index into controllers, by class and plan
}

// newAdmissionControl creates a controller for each priority that a class and a plan can give, with all customers
// admitted.
func newAdmissionControl(classes []Class, plans []Plan) admissionControl {
	var priorities []float64 // negated, so that the highest priority is sorted first
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

// controller returns the controller for requests of a class under a plan.
func (a *admissionControl) controller(class ClassID, plan int) *piController {
	return &a.controllers[a.index[class][plan]]
}

// overQuotaController returns the controller for requests beyond their quota.
func (a *admissionControl) overQuotaController() *piController {
	return &a.controllers[len(a.controllers)-1]
}

// update adjusts all admitted fractions for one period of elapsed seconds. It splits the utilization in proportion to
// the work that each priority admitted.
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

// customerHash maps a customer to [0, 1). All instances compute the same hash.
func customerHash(customer string) float64 {
	sum := sha256.Sum256([]byte(customer))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) / (1 << 53)
}

// quotaDecision is the result of the quota check of a request, on which load shedding then decides.
type quotaDecision int

const (
	// beyondQuota means that the quota does not allow the request. If the shared counter had added the request's units,
	// they have been refunded, or they remain in the counter because it may not be called (decideByTotal).
	beyondQuota quotaDecision = iota
	// insideUncounted means that the quota allows the request as far as this instance knows, or that the quota was not
	// checked because the request will be shed anyway. The shared counter is not known to hold its units.
	insideUncounted
	// insideCounted means that the counter's total, which includes the request's units, is within the quota.
	insideCounted
)

// uncountedDecision returns the decision for a request whose units the shared counter is not known to hold.
func uncountedDecision(inside bool) quotaDecision {
	if inside {
		return insideUncounted
	}
	return beyondQuota
}

// sheds reports whether a customer is outside the admitted fraction of a controller.
func (c *piController) sheds(customer *customerRecord) bool {
	return customer.customerHash >= c.admitRatio
}

// admitOrShed sends the first attempt of a request or rejects the request. It rejects a request whose customer is
// outside the admitted fraction of the priority, that would exceed the ceiling of its plan, that is beyond the quota
// under a plan that gives such use no value above its cost, or that no backend could answer in time (sendAttempt). It
// is called at most once for each request, and only before the request has ended.
func (g *Gateway) admitOrShed(request *requestRecord, quota quotaDecision) {
	controller := g.admission.controller(request.class, request.customer.plan)
	if quota == beyondQuota {
		controller = g.admission.overQuotaController()
		request.rejectReason = OverQuota
		plan := &g.settings.Plans[request.customer.plan]
		if plan.OverQuotaValue <= plan.OverQuotaCost {
			g.finishWithLocalResponse(request)
			return
		}
	}
	work := g.classLatency[request.class].mean
	controller.offeredWork += work
	if reason, shed := g.shedReason(request, quota, controller); shed {
		request.rejectReason = reason
		g.refundIfCounted(request, quota)
		g.finishWithLocalResponse(request)
		return
	}
	if !g.sendAttempt(request) { // sendAttempt has ended the request
		g.refundIfCounted(request, quota)
		return
	}
	controller.admittedWork += work
	g.spendUnits(request, quota)
}

// shedReason reports whether a request is rejected before any attempt, and the reason. It has no side effects.
func (g *Gateway) shedReason(request *requestRecord, quota quotaDecision, controller *piController) (reason RejectReason, shed bool) {
	customer := request.customer
	plan := &g.settings.Plans[customer.plan]
	ceilingExceeded := quota != insideCounted && !customer.ceilingAllows(plan, request.units)
	switch {
	case ceilingExceeded:
		return OverQuota, true
	case controller.sheds(customer):
		return request.rejectReason, true
	default:
		return request.rejectReason, false
	}
}

// refundIfCounted refunds the units of a request that was not admitted, if the shared counter holds them.
func (g *Gateway) refundIfCounted(request *requestRecord, quota quotaDecision) {
	if quota == insideCounted {
		g.refundUnits(request)
	}
}

// spendUnits deducts an admitted request's units from this instance's split.
func (g *Gateway) spendUnits(request *requestRecord, quota quotaDecision) {
	if quota == insideCounted {
		g.spendCountedUnits(request)
		return
	}
	g.spendUncountedUnits(request.customer, request.units)
}
