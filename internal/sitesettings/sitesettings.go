// Package sitesettings holds the settings that operators hand to an instance. The simulator sends them as path=value
// pairs (internal/simwire), the platform as nested JSON (internal/platform); paths, meanings and defaults are the same
// and are mapped here, once, to the field's terms. The package decides nothing and keeps nothing.
package sitesettings

import (
	"time"

	"sandyard/decision"
)

// Settings are one instance's settings, with defaults where the operators gave none.
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
	ConnectTimeout time.Duration // after which an attempt counts as never connected; 250 ms by default
	IdleTimeout    time.Duration // after which a backend closes an idle connection; 15 s by default
}

// Instance says which instance of its fleet this is.
type Instance struct {
	Number int // from 0; 0 by default
	Total  int // in the fleet; 1 by default
	Zone   int // index of ZoneNames; 0 by default
}

// LoadReports say which figures backends report, and how.
type LoadReports struct {
	InResponses bool     // reports come with responses
	ByProbe     bool     // reports come with the results of probes only
	Names       []string // of the figures, in their order, as the operators wrote them; one empty name if there are none
}

// Probes say whether backends may be probed for their load.
type Probes struct {
	Allowed bool
	Cost    float64 // points taken off the result by a probe; 0 by default
}

// Attempts bound the attempts of a request.
type Attempts struct {
	Max     int  // attempts of one request; 1 by default
	Cancel  bool // attempts may be cancelled
	Hedging bool // two attempts of a request may be in flight at once
}

// RetryAfter says whether rejected clients are told when to come back.
type RetryAfter struct {
	Enabled bool
	Max     time.Duration // longest wait that clients follow; 0: none
}

// Discovery says how the list of endpoints is obtained, and what binds an instance that has it.
type Discovery struct {
	Subscribe    bool          // changes arrive only after a subscription
	PollInterval time.Duration // without a subscription the list is asked for this often
	DrainGrace   time.Duration // in which attempts to a draining or removed backend have to cease
}

// SlowStart says how a started backend warms up.
type SlowStart struct {
	Share float64       // least share of its capacity that it starts with; 1 by default: none has to warm up
	Time  time.Duration // after which it is warm
}

// Overload says what pushes a backend that is warming up over.
type Overload struct {
	Factor float64       // multiple of its present capacity
	Time   time.Duration // for which it is sent that much
}

// Counter says whether and how the counter shared by all instances is called.
type Counter struct {
	Enabled bool
	Timeout time.Duration // of a call
	Cost    float64       // points taken off the result by calls, for each first attempt; 0 by default
}

// Units say how the units of requests are counted.
type Units struct {
	Max         float64 // of one request; 1 by default
	SettleLater bool    // units are an estimate until the first good response
}

// Class is a class of requests.
type Class struct {
	Name             string
	Idempotency      decision.Idempotency // not idempotent by default
	KeyScope         decision.KeyScope    // all backends by default
	KeyTTL           time.Duration        // for which a backend remembers an idempotency key
	LatencyObjective time.Duration
	Deadline         time.Duration // of a request, over all its attempts
	PriorityWeight   float64       // 1 by default
	LateShare        float64       // of the weight, for a response later than the objective; 0 by default
	Stream           bool          // responses are streamed
}

// Plan is what each customer on it is entitled to.
type Plan struct {
	Name           string
	Rate           float64 // units per second; 0: no such quota
	Burst          float64 // units
	MaxInFlight    int     // attempts; 0: no such quota
	WeightFactor   float64 // of the class's weight; 1 by default
	OverQuotaValue float64 // share of the weight earned beyond the quota
	OverQuotaCost  float64 // share of the weight that an attempt beyond the quota costs
	CeilingRate    float64 // units per second; 0: no ceiling
	CeilingBurst   float64 // units
	CeilingSlack   float64 // units that the ceiling's tokens may be below 0
}

// Decision is what the decisions need of the settings.
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

// fields are the meanings of the named figures; names that mean nothing known are kept as FieldOther.
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
