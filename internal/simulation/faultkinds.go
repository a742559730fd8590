package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sandyard/fault"
)

// faultKind is a kind of fault that a generator can draw.
type faultKind struct {
	verb        fault.Verb
	target      string // kind of target, for drawTarget
	value       func(*rand.Rand) float64
	maxDuration time.Duration // 0: the fault has no duration
}

// uniform returns a function that draws between a and b, to two decimal places.
func uniform(a, b float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return math.Round((a+(b-a)*r.Float64())*100) / 100 }
}

var faultKinds = []faultKind{
	{fault.Slow, fault.TargetBackends, uniform(1.2, 4), 4 * time.Second},
	{fault.Slow, "box", uniform(2, 12), 6 * time.Second},
	{fault.Hang, "box", nil, 5 * time.Second},
	{fault.ResetResponse, "box", func(r *rand.Rand) float64 { return float64(r.IntN(300)) }, 4 * time.Second},
	{fault.DropResponse, "box", nil, 3 * time.Second},
	{fault.ExtraResponse, "box", nil, 3 * time.Second},
	{fault.ServerErrors, "box", uniform(0.2, 1), 4 * time.Second},
	{fault.Refuse, "box", nil, 4 * time.Second},
	{fault.FalseReports, "box", uniform(-2, 8), 5 * time.Second},
	{fault.Stall, "box", nil, 3 * time.Second},
	{fault.Delay, "box", uniform(20, 900), 4 * time.Second},
	{fault.NoReply, fault.TargetCounter, nil, 5 * time.Second},
	{fault.Refuse, fault.TargetCounter, nil, 5 * time.Second},
	{fault.Stall, fault.TargetCounter, nil, 3 * time.Second},
	{fault.Delay, fault.TargetCounter, uniform(10, 300), 5 * time.Second},
	{fault.ResetTotals, fault.TargetCounter, nil, 0},
	{fault.Rollback, fault.TargetCounter, uniform(100, 5000), 0},
	{fault.PartialOutage, fault.TargetCounter, uniform(0.1, 1), 5 * time.Second},
	{fault.Split, fault.TargetCounter, uniform(0.2, 0.8), 5 * time.Second},
	{fault.InvalidReplies, fault.TargetCounter, nil, 2 * time.Second},
	{fault.Kill, fault.TargetCounter, nil, 3 * time.Second},
	{fault.Kill, "box", nil, 3 * time.Second},
	{fault.Kill, "door", nil, 3 * time.Second},
	{fault.Pause, "door", nil, 900 * time.Millisecond},
	{fault.Pause, "box", nil, 3 * time.Second},
	{fault.Drain, "box", nil, 3 * time.Second},
	{fault.Replace, "box", nil, 3 * time.Second},
	{fault.Vanish, "box", nil, time.Second},
	{fault.TornEndpointFile, "list", nil, 2 * time.Second},
	{fault.Surge, "all", uniform(1.2, 3), 4 * time.Second},
	{fault.Surge, "studio", uniform(3, 15), 6 * time.Second},
	{fault.Surge, "plan", uniform(2, 6), 5 * time.Second},
	{fault.MoveTraffic, "all", nil, 0},
	{fault.ClientsAbort, "all", uniform(0.05, 0.5), 5 * time.Second},
	{fault.SlowClients, "all", uniform(0.02, 0.2), 5 * time.Second},
	{fault.InvalidRequests, "all", uniform(0.02, 0.3), 5 * time.Second},
	{fault.Partition, "door/box", nil, 7 * time.Second},
	{fault.Partition, "door/keeper", nil, 4 * time.Second},
	{fault.OneWayPartition, "door/box", nil, 4 * time.Second},
	{fault.OneWayPartition, "box/door", nil, 4 * time.Second},
	{fault.AddedLatency, "door/box", uniform(1, 120), 5 * time.Second},
	{fault.Throttle, "door/box", uniform(2000, 50000), 4 * time.Second},
	{fault.NotAccepting, "box", nil, 3 * time.Second},
	{fault.DescriptorLimit, "door", func(r *rand.Rand) float64 { return float64(2 + r.IntN(20)) }, 3 * time.Second},
}

// faultPeriodShare is the share of a run in which single faults begin. The rest of the run shows whether service recovers.
const faultPeriodShare = 0.6

// drawFault draws a fault of a kind.
func (s *Script) drawFault(rng *rand.Rand, k faultKind) fault.Event {
	e := fault.Event{At: time.Duration(rng.Float64()*s.Seconds*faultPeriodShare*1000) * time.Millisecond, Verb: k.verb}
	if k.maxDuration > 0 {
		e.Duration = time.Duration(rng.Float64()*float64(k.maxDuration)/1e6) * time.Millisecond
		e.Duration = max(e.Duration, 50*time.Millisecond)
	}
	if k.value != nil {
		e.Value = k.value(rng)
	}
	e.Target = s.drawTarget(rng, k.target)
	return e
}

// drawTarget draws a target of the given kind (see faultKind).
func (s *Script) drawTarget(rng *rand.Rand, kind string) string {
	backend := func() string { return fmt.Sprintf("box-%d", rng.IntN(s.Backends.Count)) }
	instance := func() string { return fmt.Sprintf("door-%d", rng.IntN(s.Instances)) }
	switch kind {
	case "box":
		return backend()
	case "door":
		return instance()
	case "door/box":
		return instance() + "/" + backend()
	case "box/door":
		return backend() + "/" + instance()
	case "door/keeper":
		return instance() + "/keeper"
	case "studio":
		return []string{"school-0", "school-1", "studio-0", "hobby-0"}[rng.IntN(4)]
	case "plan":
		return []string{"school", "studio", "hobby"}[rng.IntN(3)]
	case fault.TargetBackends:
		return fault.TargetBackends
	case fault.TargetCounter, "list":
		return kind
	}
	return fault.TargetAll
}
