// Package sitesettings decodes the settings that operators give to an instance. The simulator sends them as path=value
// pairs (internal/simwire), the platform as nested JSON (internal/platform). Paths, meanings and defaults are the same, and
// are mapped to the usual technical terms only here. The package makes no decisions and has no state.
package sitesettings

import (
	"time"

	"sandyard/decision"
)

// Settings are one instance's settings, with defaults for absent settings.
type Settings struct {
	Instance       Instance
	LoadReports    LoadReports
	Probes         Probes
	Attempts       Attempts
	RetryAfter     RetryAfter
	Discovery      Discovery
	SlowStart      SlowStart
	Overload       Overload
	Counter        Counter
	Units          Units
	Classes        []Class
	Plans          []Plan
	ZoneNames      []string      // by zone number
	ConnectTimeout time.Duration // after which an attempt counts as not connected; 250 ms by default
	IdleTimeout    time.Duration // after which a backend closes an idle connection; 15 s by default
}

// Instance identifies an instance within its fleet.
type Instance struct {
	Number int // from 0; 0 by default
	Total  int // number of instances in the fleet; 1 by default
	Zone   int // index in ZoneNames; 0 by default
}

// LoadReports describes which values backends report, and how.
type LoadReports struct {
	InResponses bool     // reports are sent with responses
	ByProbe     bool     // reports are sent only in answers to probes
	Names       []string // names of the values, in order, as the operators wrote them; one empty name if there are none
}

// Probes describes whether backends may be probed for their load.
type Probes struct {
	Allowed bool
	Cost    float64 // points deducted from the result per probe; 0 by default
}

// Attempts limits the attempts of a request.
type Attempts struct {
	Max     int  // attempts of one request; 1 by default
	Cancel  bool // attempts may be cancelled
	Hedging bool // two attempts of a request may be in flight at once
}

// RetryAfter describes whether rejected clients get a Retry-After.
type RetryAfter struct {
	Enabled bool
	Max     time.Duration // longest wait that clients respect; 0: none
}

// Discovery describes how the endpoint list is obtained, and the drain grace.
type Discovery struct {
	Subscribe    bool          // changes arrive only after a subscription
	PollInterval time.Duration // interval at which the list is polled without a subscription
	DrainGrace   time.Duration // within which attempts to a draining or removed backend must cease
}

// SlowStart describes how a newly started backend warms up.
type SlowStart struct {
	Share float64       // minimum share of its capacity at the start; 1 by default: no backend has to warm up
	Time  time.Duration // after which it is warm
}

// Overload describes the load at which a warming backend fails.
type Overload struct {
	Factor float64       // load as a multiple of its current capacity
	Time   time.Duration // for which the load must last
}

// Counter describes whether and how the shared counter is called.
type Counter struct {
	Enabled bool
	Timeout time.Duration // of a call
	Cost    float64       // points deducted from the result for calls, per first attempt; 0 by default
}

// Units describes how the units of requests are counted.
type Units struct {
	Max         float64 // of one request; 1 by default
	SettleLater bool    // units are an estimate until the first successful response
}

// Class is a request class.
type Class struct {
	Name             string
	Idempotency      decision.Idempotency // not idempotent by default
	KeyScope         decision.KeyScope    // all backends by default
	KeyTTL           time.Duration        // for which a backend remembers an idempotency key
	LatencyObjective time.Duration
	Deadline         time.Duration // of a request, over all its attempts
	PriorityWeight   float64       // 1 by default
	LateShare        float64       // share of the weight for a response after the latency objective; 0 by default
	Stream           bool          // responses are streamed
}

// Plan defines the entitlement of each of its customers.
type Plan struct {
	Name           string
	Rate           float64 // units per second; 0: no rate quota
	Burst          float64 // units
	MaxInFlight    int     // attempts; 0: no quota of attempts in flight
	WeightFactor   float64 // factor of the class's priority weight; 1 by default
	OverQuotaValue float64 // share of the weight that a response beyond the quota earns
	OverQuotaCost  float64 // share of the weight that an attempt beyond the quota costs
	CeilingRate    float64 // units per second; 0: no ceiling
	CeilingBurst   float64 // units
	CeilingSlack   float64 // units by which the ceiling's token bucket may be below 0
}

// Decision converts the settings to those of package decision.
func (s *Settings) Decision() decision.Settings {
	out := decision.Settings{
		Self: s.Instance.Number, Instances: s.Instance.Total, Zone: s.Instance.Zone,
		LoadFields: s.LoadReports.fields(), LoadInAnswers: s.LoadReports.InResponses, LoadByProbe: s.LoadReports.ByProbe,
		Probes: s.Probes.Allowed, ProbeCost: s.Probes.Cost,
		MaxAttempts: s.Attempts.Max, Cancel: s.Attempts.Cancel, Hedging: s.Attempts.Hedging,
		RetryAfter: s.RetryAfter.Enabled, MaxRetryAfter: s.RetryAfter.Max,
		Subscribe: s.Discovery.Subscribe, PollInterval: s.Discovery.PollInterval, DrainGrace: s.Discovery.DrainGrace,
		SlowStartShare: s.SlowStart.Share, SlowStartTime: s.SlowStart.Time,
		OverloadFactor: s.Overload.Factor, OverloadTime: s.Overload.Time,
		Counter: s.Counter.Enabled, CounterTimeout: s.Counter.Timeout, CounterCost: s.Counter.Cost,
		MaxUnits: s.Units.Max, UnitsSettleLater: s.Units.SettleLater,
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, decision.Class{Idempotency: c.Idempotency, KeyScope: c.KeyScope, KeyTTL: c.KeyTTL,
			LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight, LateShare: c.LateShare, Stream: c.Stream})
	}
	for _, p := range s.Plans {
		out.Plans = append(out.Plans, decision.Plan{Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.MaxInFlight, WeightFactor: p.WeightFactor,
			OverQuotaValue: p.OverQuotaValue, OverQuotaCost: p.OverQuotaCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingSlack: p.CeilingSlack})
	}
	return out
}

// fields returns the meanings of the named values. Unknown names are mapped to FieldOther.
func (r *LoadReports) fields() []decision.LoadField {
	if len(r.Names) == 1 && r.Names[0] == absentText {
		return nil
	}
	var fields []decision.LoadField
	for _, name := range r.Names {
		if name != "" {
			fields = append(fields, loadFields[name])
		}
	}
	return fields
}
