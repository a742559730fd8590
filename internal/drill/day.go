package drill

import (
	"time"

	"sandyard/fault"
	"sandyard/invariant"
)

// Parameters of the fleet and its limits.
const (
	cores          = 2                     // per backend
	work           = 40 * time.Millisecond // mean work of a request
	slowStartShare = 0.25                  // initial share of the full speed of a backend in slow start
	slowStartTime  = 8 * time.Second
	overloadFactor = 4 // multiple of its capacity that, within overloadTime, makes a backend in slow start collapse
	overloadTime   = 2 * time.Second
	drainGrace     = time.Second
	keyTTL         = 6 * time.Second
	clientRetries  = 2   // per request
	lateShare      = 0.2 // share of its value that a late response still has
)

// planSpec is a plan and its customers.
type planSpec struct {
	name                        string
	customers                   int
	rate, burst, price          float64
	trafficShare                float64
	ceilingRate, ceilingBurst   float64
	ceilingSlack, overQuotaCost float64
}

var plans = []planSpec{
	{name: "hobby", customers: 20, rate: 4, burst: 8, price: 0.8, trafficShare: 0.25, overQuotaCost: 1.2},
	{name: "studio", customers: 12, rate: 8, burst: 12, price: 1.2, trafficShare: 0.33, overQuotaCost: 0.5},
	{name: "school", customers: 5, rate: 24, burst: 36, price: 1.8, trafficShare: 0.42, overQuotaCost: 1.2, ceilingRate: 40, ceilingBurst: 60, ceilingSlack: 6},
}

// classSpec is a class of requests.
type classSpec struct {
	name, path, method         string
	idempotency                invariant.Idempotency
	trafficShare, value        float64
	latencyObjective, deadline time.Duration
}

var classes = []classSpec{
	{"slot-booking", "/v1/bookings", "POST", invariant.Idempotent, 0.6, 1, 600 * time.Millisecond, 2500 * time.Millisecond},
	{"firing", "/v1/firings", "POST", invariant.IdempotentByKey, 0.25, 2, time.Second, 3 * time.Second},
	{"payment", "/v1/payments", "POST", invariant.NotIdempotent, 0.15, 4, time.Second, 3 * time.Second},
}

// customer is a customer whose traffic enters through two instances: three quarters of its requests through one of them, and the rest
// through the other.
type customer struct {
	name          string
	plan          int
	firstInstance int // first of the two instances
	moves         int // number of times that the two instances have swapped their shares of its traffic
}

// DefaultEvents returns the built-in script of faults, scaled to a duration (s).
func DefaultEvents(seconds float64) []fault.Event {
	at := func(share float64) time.Duration { return time.Duration(share * seconds * float64(time.Second)) }
	return []fault.Event{
		{At: at(0.08), Duration: at(0.08), Verb: fault.Surge, Target: fault.TargetAll, Value: 1.9},
		{At: at(0.20), Duration: at(0.14), Verb: fault.Surge, Target: "school-0", Value: 6},
		{At: at(0.20), Duration: at(0.14), Verb: fault.Surge, Target: "hobby-1", Value: 10},
		{At: at(0.30), Duration: at(0.08), Verb: fault.Slow, Target: fault.TargetAll, Value: 1.8},
		{At: at(0.40), Duration: 2 * time.Second, Verb: fault.Replace, Target: "box-0"},
		{At: at(0.42), Duration: 2 * time.Second, Verb: fault.Replace, Target: "box-1"},
		{At: at(0.44), Duration: 2 * time.Second, Verb: fault.Replace, Target: "box-2"},
		{At: at(0.54), Duration: at(0.06), Verb: fault.NoReply, Target: fault.TargetCounter},
		{At: at(0.60), Verb: fault.ResetTotals, Target: fault.TargetCounter},
		{At: at(0.60), Duration: at(0.10), Verb: fault.Surge, Target: "school-1", Value: 6},
		{At: at(0.64), Duration: at(0.08), Verb: fault.Hang, Target: "box-4"},
		{At: at(0.70), Duration: at(0.06), Verb: fault.ResetResponse, Target: "box-5", Value: 20},
		{At: at(0.76), Duration: at(0.05), Verb: fault.DropResponse, Target: "box-6"},
		{At: at(0.80), Duration: at(0.04), Verb: fault.Kill, Target: "door-1"},
		{At: at(0.86), Verb: fault.MoveTraffic, Target: fault.TargetAll},
	}
}
