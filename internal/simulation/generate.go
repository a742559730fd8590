package simulation

import (
	"math"
	"slices"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// Profile sets the limits of what a generator draws.
type Profile struct {
	MaxInstances, MaxBackends int
	Seconds                   float64 // longest duration of the traffic (seconds)
	Rate                      float64 // highest rate (requests/s)
	MaxFaults                 int
	ScenarioShare             float64 // share of scripts that are drawn from a scenario
	Config                    string  // configuration file, recorded in the script
}

// DefaultProfile returns the default profile of a search.
func DefaultProfile() Profile {
	return Profile{MaxInstances: 40, MaxBackends: 12, Seconds: 16, Rate: 60, MaxFaults: 8, ScenarioShare: 0.5}
}

// Generate draws a script from a seed. Each seed enables only a subset of the fault kinds (swarm testing: Groce et al.,
// ISSTA 2012), since a kind that is always present can hide what others would show.
func Generate(seed uint64, p Profile) *Script {
	rng := randomSource(seed, "generate")
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
	if scenarioRNG := randomSource(seed, "shape"); p.Config == "" && scenarioRNG.Float64() < p.ScenarioShare {
		s.Scenario = drawScenario(&s, scenarioRNG)
		if n = 0; scenarioRNG.IntN(2) == 0 {
			n = scenarioRNG.IntN(p.MaxFaults/2 + 1)
		}
	}
	if idleRNG := randomSource(seed, "idle"); idleRNG.IntN(4) == 0 { // many servers close idle connections sooner than a gateway does
		s.Backends.IdleTimeout = strictyaml.Duration(time.Duration([]int{1200, 2000, 4000}[idleRNG.IntN(3)]) * time.Millisecond)
	}
	var enabled []faultKind
	for len(enabled) == 0 {
		share := rng.Float64()
		for _, k := range faultKinds {
			if rng.Float64() < share {
				enabled = append(enabled, k)
			}
		}
	}
	for range n {
		k := enabled[rng.IntN(len(enabled))]
		s.Events = append(s.Events, s.drawFault(rng, k))
	}
	s.sortEvents()
	return &s
}

// sortEvents sorts the faults by time, after it limits their times to those of the traffic.
func (s *Script) sortEvents() {
	end := s.trafficTime()
	for i := range s.Events {
		s.Events[i].At = min(max(0, s.Events[i].At), end)
	}
	slices.SortStableFunc(s.Events, func(a, b fault.Event) int { return int(a.At - b.At) })
}
