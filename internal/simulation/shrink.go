package simulation

import (
	"math"
	"slices"
	"time"

	"sandyard/internal/strictyaml"
)

// Shrink simplifies a script as long as holds returns true for its outcome: fewer faults, shorter ones, fewer processes, less
// traffic, a simpler network. It does at most budget runs. onTry, if not nil, is called after each attempt.
func Shrink(s *Script, opt Options, holds func(Outcome) bool, budget int, onTry func(kept bool, s *Script)) *Script {
	sh := &shrinker{best: *s, options: opt, holds: holds, budget: budget, onTry: onTry}
	for progress := true; progress && sh.budget > 0; {
		progress = sh.dropFaults()
		for _, simplify := range simplifications {
			progress = sh.try(simplify) || progress
		}
		for i := range sh.best.Events {
			progress = sh.try(func(c *Script) { c.Events[i].Duration = (c.Events[i].Duration / 2).Truncate(time.Millisecond) }) || progress
			progress = sh.try(func(c *Script) { c.Events[i].At = c.Events[i].At.Truncate(time.Second) }) || progress
			progress = sh.try(func(c *Script) { c.Events[i].Value = math.Round(c.Events[i].Value) }) || progress
		}
	}
	return &sh.best
}

// simplifications are changes that may make a script simpler.
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

// shrinker is the state of Shrink.
type shrinker struct {
	best    Script // the simplest so far
	options Options
	holds   func(Outcome) bool
	budget  int // remaining runs
	onTry   func(kept bool, s *Script)
}

// try applies a change to the best script, and keeps it if holds returns true for the outcome. A change without effect costs
// no run.
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
	if sh.onTry != nil {
		sh.onTry(kept, &c)
	}
	return kept
}

// dropFaults removes faults, first all at once and then in ever smaller groups, and reports whether it could remove any.
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
