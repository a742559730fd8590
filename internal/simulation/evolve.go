package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
	"sandyard/invariant"
)

// Nearness is how near a run came to breaking one of the five rules, as a share of the rule's limit.
func (o Outcome) Nearness(rule int) float64 {
	if rule < 0 || rule >= len(o.Verdict.Rules) {
		return 0
	}
	r := o.Verdict.Rules[rule]
	if r.Count > 0 {
		return max(1, r.Nearest)
	}
	return r.Nearest
}

// RuleNames are the five rules, in the order of Verdict.Rules.
func RuleNames() (names []string) {
	for _, r := range invariant.NewChecker(invariant.Limits{}).Rules() {
		names = append(names, r.Name)
	}
	return names
}

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
	at := 0
	for at < len(h.population) && value(h.population[at].outcome) >= value(o) {
		at++
	}
	if at >= populationSize {
		return
	}
	h.population = slices.Insert(h.population, at, candidate{s, o})
	h.population = h.population[:min(len(h.population), populationSize)]
	if at == 0 && h.Improved != nil {
		h.Improved(s, o, n)
	}
}

// crossover takes over a part of another script's troubles.
func (s *Script) crossover(o *Script, rng *rand.Rand) {
	for _, e := range o.Events {
		if len(s.Events) < maxEvolvedFaults && rng.IntN(2) == 0 {
			s.Events = append(s.Events, e)
		}
	}
}

const maxEvolvedFaults = 120 // of a script that is bred

// mutate makes one change to a script.
func (s *Script) mutate(rng *rand.Rand) {
	d := &scenarioBuilder{s, rng}
	n := len(s.Events)
	some := func() *fault.Event { return &s.Events[rng.IntN(n)] }
	factor := func() float64 { return math.Exp(rng.NormFloat64() * 0.4) }
	switch k := rng.IntN(14); {
	case k == 0:
		s.WrittenSeed = rng.IntN(1 << 40)
		s.Seed = uint64(s.WrittenSeed)
	case k == 1:
		s.Rate = math.Round(s.Rate * factor())
	case k == 2:
		s.Backends.Count += rng.IntN(3) - 1
	case k == 3:
		s.Instances += rng.IntN(3) - 1
	case k == 4:
		s.Backends.Work = strictyaml.Duration((time.Duration(float64(s.Backends.Work) * factor())).Truncate(time.Millisecond))
	case k == 5:
		s.Net.Latency = strictyaml.Duration(time.Duration(d.oneOf(100, 500, 1000, 5000)) * time.Microsecond)
	case k == 6:
		s.Clients.Retries, s.Clients.NewConnShare = rng.IntN(4), d.oneOf(0.02, 0.2, 0.8)
	case k == 7 && n > 0:
		i := rng.IntN(n)
		s.Events = slices.Delete(s.Events, i, i+1)
	case k == 8 && n > 0 && n < maxEvolvedFaults:
		e := *some()
		e.At += time.Duration(rng.NormFloat64() * float64(time.Second)).Truncate(time.Millisecond)
		s.Events = append(s.Events, e)
	case k == 9 && n > 0:
		e := some()
		e.At += time.Duration(rng.NormFloat64() * float64(700*time.Millisecond)).Truncate(time.Millisecond)
	case k == 10 && n > 0:
		e := some()
		e.Duration = time.Duration(float64(e.Duration) * factor()).Truncate(time.Millisecond)
	case k == 11 && n > 0:
		e := some()
		e.Value = math.Round(e.Value*factor()*100) / 100
	case k == 12 && n > 0: // another target of the same kind
		e := some()
		switch name := fmt.Sprint(e.Target); {
		case len(name) > 4 && name[:4] == "box-":
			e.Target = d.backendName(rng.IntN(max(1, s.Backends.Count)))
		case len(name) > 5 && name[:5] == "door-":
			e.Target = fmt.Sprintf("door-%d", rng.IntN(max(1, s.Instances)))
		}
	case n < maxEvolvedFaults:
		s.Events = append(s.Events, s.drawFault(rng, faultKinds[rng.IntN(len(faultKinds))]))
	}
}

// clamp keeps a changed script within the bounds of drawn ones.
func (s *Script) clamp() {
	s.Backends.Count, s.Instances = min(75, max(1, s.Backends.Count)), min(40, max(1, s.Instances))
	s.Rate = min(maxRate, max(2, s.Rate))
	s.Backends.Work = strictyaml.Duration(max(time.Millisecond, min(250*time.Millisecond, time.Duration(s.Backends.Work))))
	s.boundWork()
	for i := range s.Events {
		e := &s.Events[i]
		most := 10 * time.Second
		for _, k := range faultKinds { // as long and as strong as is drawn, at most
			if k.verb == e.Verb && k.maxDuration > 0 {
				most = k.maxDuration
			}
		}
		e.Duration = min(most, max(0, e.Duration))
		switch e.Verb {
		case fault.Surge:
			e.Value = min(e.Value, max(3, maxRate*3/s.Rate))
		case fault.Slow:
			e.Value = min(max(1, e.Value), 40)
		case fault.ServerErrors, fault.ClientsAbort, fault.SlowClients, fault.InvalidRequests, fault.PartialOutage, fault.Split:
			e.Value = min(1, e.Value)
		}
	}
	s.sortEvents()
}
