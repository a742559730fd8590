package simulation

import (
	"math"
	"slices"
	"sync"
)

// The parameters of a hunt.
const (
	populationSize = 32   // best scripts kept
	newScriptShare = 0.15 // share of the runs with a newly generated script
	crossoverShare = 0.3  // share of the others that take faults of a second parent
)

// Hunt searches for scripts that come near to breaking a rule by an evolutionary algorithm: those that come nearest are kept,
// mutated and crossed. With several workers the order in which scripts are met differs between hunts; each replays from
// its own text.
type Hunt struct {
	Rule       int // a position in RuleNames
	Profile    Profile
	Options    Options
	Workers    int
	Seed       uint64
	Stop       func() bool                       // called before each run; true ends the hunt
	Improved   func(s *Script, o Outcome, n int) // called with each script that comes nearer than all before; n counts runs
	mu         sync.Mutex
	population []candidate
	runs       int
}

type candidate struct {
	script  *Script
	outcome Outcome
}

// Run hunts until Stop says so, or a rule is broken. It returns the nearest script and the number of runs.
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

// nextScript returns the script to run: a generated one at first and now and then, else one evolved from the population.
func (h *Hunt) nextScript(n int) *Script {
	rng := stream(h.Seed+uint64(n), "breed")
	if len(h.population) < populationSize/2 || rng.Float64() < newScriptShare {
		return Generate(h.Seed+uint64(n), h.Profile)
	}
	parent := func() *Script { // the better of two, so that the nearest have most offspring
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

// insert puts a script into the population, unless it is worse than all of a full one.
func (h *Hunt) insert(s *Script, o Outcome, n int) {
	value := func(o Outcome) float64 {
		if len(o.Findings) > 0 { // whichever rule was broken
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
