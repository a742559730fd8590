package simulation

import (
	"math"
	"slices"
	"time"

	"sandyard/internal/strictyaml"
)

// Shrink makes a script smaller while something still holds of its outcome: fewer faults, shorter ones, fewer processes,
// less traffic, a plainer network. It spends at most budget runs. tried, if not nil, is called with each attempt.
func Shrink(s *Script, opt Options, holds func(Outcome) bool, budget int, tried func(kept bool, s *Script)) *Script {
	sh := &shrinker{best: *s, options: opt, holds: holds, budget: budget, tried: tried}
	for again := true; again && sh.budget > 0; {
		again = sh.dropFaults()
		for _, simplify := range simplifications {
			again = sh.try(simplify) || again
		}
		for i := range sh.best.Events {
			again = sh.try(func(c *Script) { c.Events[i].Duration = (c.Events[i].Duration / 2).Truncate(time.Millisecond) }) || again
			again = sh.try(func(c *Script) { c.Events[i].At = c.Events[i].At.Truncate(time.Second) }) || again
			again = sh.try(func(c *Script) { c.Events[i].Value = math.Round(c.Events[i].Value) }) || again
		}
	}
	return &sh.best
}

// simplifications are changes that leave less to look at.
var simplifications = []func(c *Script){
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
}

// shrinker holds the smallest script so far.
type shrinker struct {
	best    Script
	options Options
	holds   func(Outcome) bool
	budget  int // runs that are left
	tried   func(kept bool, s *Script)
}

// try changes the best script, and keeps the change if the outcome still holds. A change without effect costs no run.
func (sh *shrinker) try(change func(c *Script)) bool {
	c := sh.best
	c.Events = slices.Clone(sh.best.Events)
	change(&c)
	c.sortEvents()
	if c.Text() == sh.best.Text() || sh.budget <= 0 {
		return false
	}
	sh.budget--
	o, err := Run(&c, sh.options)
	kept := err == nil && sh.holds(o)
	if kept {
		sh.best = c
	}
	if sh.tried != nil {
		sh.tried(kept, &c)
	}
	return kept
}

// dropFaults drops faults, in halves first, and reports whether any could be dropped.
func (sh *shrinker) dropFaults() (dropped bool) {
	for size := len(sh.best.Events); size > 0; size /= 2 {
		for at := 0; at < len(sh.best.Events); {
			end := min(at+size, len(sh.best.Events))
			if sh.try(func(c *Script) { c.Events = append(c.Events[:at:at], c.Events[end:]...) }) {
				dropped = true
			} else {
				at = end
			}
		}
	}
	return dropped
}
