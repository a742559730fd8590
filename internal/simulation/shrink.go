package simulation

import (
	"math"
	"slices"
	"time"

	"sandyard/internal/strictyaml"
)

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
