package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// Profile says what a generator draws from.
type Profile struct {
	MaxInstances, MaxBackends int
	Seconds                   float64 // most, of traffic
	Rate                      float64 // most requests a second
	MaxFaults                 int     // most
	ScenarioShare             float64 // share of the days that are drawn in a whole shape
	Config                    string  // file of the configuration, for the script's record
}

// Usual is the profile of a search.
func Usual() Profile {
	return Profile{MaxInstances: 40, MaxBackends: 12, Seconds: 16, Rate: 60, MaxFaults: 8, ScenarioShare: 0.5}
}

// faultKind is a trouble that a generator can draw.
type faultKind struct {
	verb        fault.Verb
	target      string // box, boxes, keeper, door, link, studio, plan, all
	value       func(*rand.Rand) float64
	maxDuration time.Duration // of its duration
}

func uniform(a, b float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return math.Round((a+(b-a)*r.Float64())*100) / 100 }
}

var faultKinds = []faultKind{
	{fault.Slow, "boxes", uniform(1.2, 4), 4 * time.Second},
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
	{fault.NoReply, "keeper", nil, 5 * time.Second},
	{fault.Refuse, "keeper", nil, 5 * time.Second},
	{fault.Stall, "keeper", nil, 3 * time.Second},
	{fault.Delay, "keeper", uniform(10, 300), 5 * time.Second},
	{fault.ResetTotals, "keeper", nil, 0},
	{fault.Rollback, "keeper", uniform(100, 5000), 0},
	{fault.PartialOutage, "keeper", uniform(0.1, 1), 5 * time.Second},
	{fault.Split, "keeper", uniform(0.2, 0.8), 5 * time.Second},
	{fault.InvalidReplies, "keeper", nil, 2 * time.Second},
	{fault.Kill, "keeper", nil, 3 * time.Second},
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

// Generate draws a script from a seed. Each seed enables a part of the kinds only (swarm testing: Groce et al., ISSTA
// 2012), since kinds that are always about hide what others would show.
func Generate(seed uint64, p Profile) *Script {
	rng := stream(seed, "generate")
	s := defaults()
	s.Seed, s.WrittenSeed, s.Config = seed, int(seed), p.Config
	pick := func(xs ...float64) float64 { return xs[rng.IntN(len(xs))] }
	s.Seconds = math.Round(p.Seconds * (0.5 + rng.Float64()/2))
	s.Instances = 1 + rng.IntN(4)
	if rng.IntN(10) == 0 {
		s.Instances = 1 + rng.IntN(p.MaxInstances)
	}
	s.Backends.Count = 2 + rng.IntN(max(1, p.MaxBackends-1))
	s.Backends.Work = strictyaml.Duration(time.Duration(pick(5, 15, 30, 60)) * time.Millisecond)
	s.Backends.Queue = int(pick(8, 24, 64))
	s.Backends.Body = int(pick(2, 64, 64, 3000, 40000))
	s.Rate = math.Round(p.Rate * (0.3 + 0.7*rng.Float64()))
	s.Net.Latency = strictyaml.Duration(time.Duration(pick(100, 300, 1000, 5000)) * time.Microsecond)
	s.Net.Jitter = pick(0, 0.3, 1, 3)
	s.Net.SplitProbability = pick(0, 0, 0.1, 0.6, 0.9)
	s.Drift = pick(0, 0, 0.0002, 0.002)
	s.Clients = Clients{Retries: rng.IntN(4), PipelineShare: pick(0, 0.03, 0.2), NewConnShare: pick(0.02, 0.2, 0.8), MaxBody: int(pick(0, 40, 40, 2000))}
	n := rng.IntN(p.MaxFaults + 1)
	if own := stream(seed, "shape"); p.Config == "" && own.Float64() < p.ScenarioShare {
		s.Scenario = drawScenario(&s, own)
		if n = 0; own.IntN(2) == 0 {
			n = own.IntN(p.MaxFaults/2 + 1)
		}
	}
	if own := stream(seed, "idle"); own.IntN(4) == 0 { // many servers close what idles sooner than a front door does
		s.Backends.IdleTimeout = strictyaml.Duration(time.Duration([]int{1200, 2000, 4000}[own.IntN(3)]) * time.Millisecond)
	}
	var on []faultKind
	for len(on) == 0 {
		share := rng.Float64()
		for _, k := range faultKinds {
			if rng.Float64() < share {
				on = append(on, k)
			}
		}
	}
	for range n {
		k := on[rng.IntN(len(on))]
		s.Events = append(s.Events, s.drawFault(rng, k))
	}
	s.sortEvents()
	return &s
}

// drawFault draws one of a kind. What follows the first part of a run shows whether service comes back.
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

const faultPeriodShare = 0.6 // share of a run in which single troubles begin

func (s *Script) drawTarget(rng *rand.Rand, what string) string {
	box := func() string { return fmt.Sprintf("box-%d", rng.IntN(s.Backends.Count)) }
	door := func() string { return fmt.Sprintf("door-%d", rng.IntN(s.Instances)) }
	switch what {
	case "box":
		return box()
	case "door":
		return door()
	case "door/box":
		return door() + "/" + box()
	case "box/door":
		return box() + "/" + door()
	case "door/keeper":
		return door() + "/keeper"
	case "studio":
		return []string{"school-0", "school-1", "studio-0", "hobby-0"}[rng.IntN(4)]
	case "plan":
		return []string{"school", "studio", "hobby"}[rng.IntN(3)]
	case "boxes":
		return "boxes"
	case "keeper", "list":
		return what
	}
	return "*"
}

// Breaks tells of an outcome whether the first rule that it broke is this one.
func Breaks(rule string) func(Outcome) bool {
	return func(o Outcome) bool { return len(o.Findings) > 0 && o.Findings[0].Rule == rule }
}

// Shrink makes a script smaller while something still holds of its outcome: fewer troubles, shorter ones, fewer
// processes, less traffic, a plainer network. tried is told of each attempt.
func Shrink(s *Script, opt Options, holds func(Outcome) bool, budget int, tried func(kept bool, s *Script)) *Script {
	best := *s
	breaks := func(c *Script) bool {
		if budget <= 0 {
			return false
		}
		budget--
		o, err := Run(c, opt)
		kept := err == nil && holds(o)
		if kept {
			best = *c
		}
		if tried != nil {
			tried(kept, c)
		}
		return kept
	}
	try := func(change func(c *Script)) bool {
		c := best
		c.Events = slices.Clone(best.Events)
		change(&c)
		c.sortEvents()
		if c.Text() == best.Text() {
			return false
		}
		return breaks(&c)
	}
	for again := true; again && budget > 0; {
		again = false
		for size := len(best.Events); size > 0; size /= 2 { // troubles, in halves first
			for at := 0; at < len(best.Events); {
				end := min(at+size, len(best.Events))
				if try(func(c *Script) { c.Events = append(c.Events[:at:at], c.Events[end:]...) }) {
					again = true
				} else {
					at = end
				}
			}
		}
		for _, change := range []func(c *Script){
			func(c *Script) { c.Seconds = math.Ceil(c.Seconds / 2) },
			func(c *Script) { c.Seconds = math.Max(1, c.Seconds-1) },
			func(c *Script) { c.Rate = math.Ceil(c.Rate / 2) },
			func(c *Script) { c.Instances = 1 },
			func(c *Script) { c.Instances = max(1, c.Instances/2) },
			func(c *Script) { c.Instances = max(1, c.Instances-1) },
			func(c *Script) { c.Backends.Count = 1 },
			func(c *Script) { c.Backends.Count = max(1, c.Backends.Count/2) },
			func(c *Script) { c.Backends.Count = max(1, c.Backends.Count-1) },
			func(c *Script) { c.Backends.Body = 64 },
			func(c *Script) { c.Backends.Queue = 24 },
			func(c *Script) { c.Backends.Work = strictyaml.Duration(30 * time.Millisecond) },
			func(c *Script) { c.Net.SplitProbability = 0 },
			func(c *Script) { c.Net.Jitter = 0 },
			func(c *Script) { c.Net.Latency = strictyaml.Duration(500 * time.Microsecond) },
			func(c *Script) { c.Drift = 0 },
			func(c *Script) { c.Clients.Retries = 0 },
			func(c *Script) { c.Clients.PipelineShare = 0 },
			func(c *Script) { c.Clients.NewConnShare = 0 },
			func(c *Script) { c.Clients.MaxBody = 0 },
		} {
			again = try(change) || again
		}
		for i := range best.Events {
			again = try(func(c *Script) { c.Events[i].Duration = (c.Events[i].Duration / 2).Truncate(time.Millisecond) }) || again
			again = try(func(c *Script) { c.Events[i].At = c.Events[i].At.Truncate(time.Second) }) || again
			again = try(func(c *Script) { c.Events[i].Value = math.Round(c.Events[i].Value) }) || again
		}
	}
	return &best
}

// Verbs are the troubles that a generator draws.
func Verbs() (names []string) {
	for _, k := range faultKinds {
		if !slices.Contains(names, string(k.verb)) {
			names = append(names, string(k.verb))
		}
	}
	slices.Sort(names)
	return names
}

// Reachable are the things that a search should reach: troubles, wishes of the core, ends of tries and error paths.
func Reachable() []string {
	names := []string{"answer broken", "answer cut off", "answer flows", "client drips", "client left", "client makes noise", "client quits",
		"client reset", "client too slow", "dial refused", "line reset", "list broken", "stream silent", "status 200", "status 400", "status 408",
		"status 413", "status 429", "status 502", "status 503", "status 504", "try served", "try refused", "try failed", "try cut", "try no door", "try left"}
	names = append(names, effectNames...)
	for _, v := range Verbs() {
		names = append(names, "trouble "+v)
	}
	return names
}
