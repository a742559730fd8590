package simulation

import (
	"math"
	"slices"
	"sync"
)

// The figures of a hunt.
const (
	populationSize = 32   // scripts that are kept
	newScriptShare = 0.15 // share of the tries that are drawn anew
	crossoverShare = 0.3  // share of the others that have troubles of two parents
)

// Hunt searches for scripts that come near to breaking a rule: those that come nearest are kept, changed and mixed. Runs
// go on side by side, so that the order in which scripts are met differs between hunts; each replays from its own text.
type Hunt struct {
	Rule       int // a position in RuleNames
	Profile    Profile
	Options    Options
	Workers    int
	Seed       uint64
	Stop       func() bool                       // asked before each run
	Improved   func(s *Script, o Outcome, n int) // told of each script that comes nearer than all before; n counts runs
	mu         sync.Mutex
	population []candidate
	runs       int
}

type candidate struct {
	script  *Script
	outcome Outcome
}

// Run hunts until Until says so, or a rule is broken. It returns the nearest script and the number of runs.
func (h *Hunt) Run() (best *Script, o Outcome, runs int, err error) {
	var wg sync.WaitGroup
	var broken bool
	for range max(1, h.Workers) {
		wg.Go(func() {
			for {
				h.mu.Lock()
				if broken || err != nil || h.Stop() {
					h.mu.Unlock()
					return
				}
				h.runs++
				n := h.runs
				s := h.nextScript(n)
				h.mu.Unlock()
				out, e := Run(s, h.Options)
				h.mu.Lock()
				if e != nil {
					err = e
				} else {
					h.insert(s, out, n)
				}
				broken = broken || len(out.Findings) > 0
				h.mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(h.population) == 0 {
		return nil, Outcome{}, h.runs, err
	}
	return h.population[0].script, h.population[0].outcome, h.runs, err
}

// nextScript is the script to try: drawn anew at first and now and then, else bred from those that are kept.
func (h *Hunt) nextScript(n int) *Script {
	rng := stream(h.Seed+uint64(n), "breed")
	if len(h.population) < populationSize/2 || rng.Float64() < newScriptShare {
		return Generate(h.Seed+uint64(n), h.Profile)
	}
	parent := func() *Script { // the better of two, so that the nearest have most children
		return h.population[min(rng.IntN(len(h.population)), rng.IntN(len(h.population)))].script
	}
	c := *parent()
	c.Events = slices.Clone(c.Events)
	if rng.Float64() < crossoverShare {
		c.crossover(parent(), rng)
	}
	for range 1 + rng.IntN(4) {
		c.mutate(rng)
		c.clamp()
	}
	return &c
}

// insert puts a script among the nearest, unless it is worse than all of a full herd.
func (h *Hunt) insert(s *Script, o Outcome, n int) {
	value := func(o Outcome) float64 {
		if len(o.Findings) > 0 { // of whatever rule
			return math.Inf(1)
		}
		return o.Nearness(h.Rule)
	}
	rank := 0
	for rank < len(h.population) && value(h.population[rank].outcome) >= value(o) {
		rank++
	}
	if rank >= populationSize {
		return
	}
	h.population = slices.Insert(h.population, rank, candidate{s, o})
	h.population = h.population[:min(len(h.population), populationSize)]
	if rank == 0 && h.Improved != nil {
		h.Improved(s, o, n)
	}
}
