package simulation

import (
	"math"
	"slices"
	"sync"
)

// Parameters of a hunt.
const (
	populationSize = 32   // number of best scripts that are kept
	newScriptShare = 0.15 // share of runs with a newly generated script
	crossoverShare = 0.3  // share of the other runs whose script takes faults of a second parent
)

// Hunt uses an evolutionary algorithm to search for scripts that come near to breaking a rule. It keeps those that come
// nearest, mutates them and combines their faults. With several workers, hunts from the same seed differ in the order
// of their scripts, but each script can be replayed from its text.
type Hunt struct {
	Rule       int // index into RuleNames
	Profile    Profile
	Options    Options
	Workers    int
	Seed       uint64
	Stop       func() bool                       // called before each run; ends the hunt if it returns true
	Improved   func(s *Script, o Outcome, n int) // called with each script that comes nearer than all before it; n is the number of runs
	mu         sync.Mutex
	population []candidate
	runs       int
}

type candidate struct {
	script  *Script
	outcome Outcome
}

// Run searches until Stop returns true or a rule is broken. It returns the nearest script and the number of runs.
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

// nextScript returns the script of run n. It generates scripts until the population is half full, and with probability
// newScriptShare after that. Otherwise it evolves one from the population.
func (h *Hunt) nextScript(n int) *Script {
	rng := randomSource(h.Seed+uint64(n), "breed")
	if len(h.population) < populationSize/2 || rng.Float64() < newScriptShare {
		return Generate(h.Seed+uint64(n), h.Profile)
	}
	parent := func() *Script { // the better of two random ones, so that better scripts are chosen more often
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

// insert adds a script to the population, unless the population is full of better ones.
func (h *Hunt) insert(s *Script, o Outcome, n int) {
	value := func(o Outcome) float64 {
		if len(o.Findings) > 0 { // any broken rule counts
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
