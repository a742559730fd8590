package simulation

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sweep runs the scripts of a range of seeds with several workers.
type Sweep struct {
	First, Last            uint64
	Profile                Profile
	Script                 *Script // script to run with each seed; nil: each seed generates one
	Options                Options
	Workers                int
	ContinueAfterViolation bool              // does not end the sweep at a violation
	Progress               func(done uint64) // called after each run, without concurrency; may be nil
	OnFailedSeed           func(FailedSeed)  // called with each failed seed, without concurrency; may be nil
}

// FailedSeed is a seed whose run broke a rule.
type FailedSeed struct {
	Seed uint64        `json:"seed"`
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

// SweepResult is the result of a sweep. The slices by seed have an entry for each seed of the range. It is zero if the seed
// was not run.
type SweepResult struct {
	Seeds        uint64              `json:"seeds"` // number of seeds that were run
	FailedSeeds  []FailedSeed        `json:"finds"` // in the order of seeds, at most maxFailedSeeds
	Violating    uint64              `json:"broken"`
	Events       uint64              `json:"events"`
	Requests     uint64              `json:"tries"`
	Virtual      time.Duration       `json:"virtual_ns"`
	Elapsed      time.Duration       `json:"took_ns"`
	Reached      map[string]int      `json:"reached"`
	Scenarios    map[string]int      `json:"shapes"`
	Exemptions   map[string]int      `json:"excuses"`  // number of cases that a check exempted, by reason
	Nearness     [][nearnessBins]int `json:"nearness"` // number of runs by rule and by twentieth of its limit; the last bin is at or beyond the limit
	ValueServed  []float64           `json:"worth"`    // by seed
	CounterCalls []uint64            `json:"calls"`    // by seed
	FaultPairs   map[[2]string]int   `json:"-"`        // number of runs by pair of verbs that occurred in them
}

const (
	nearnessBins   = 22   // one for runs without a case, twenty of a twentieth each, and one at or beyond the limit
	maxFailedSeeds = 1000 // limits the memory of a sweep in which every seed fails
)

// Run runs the scripts. It returns an error if a run could not start.
func (w Sweep) Run() (SweepResult, error) {
	startedAt := time.Now()
	p := &sweepProgress{Sweep: w, result: newSweepResult(w.Last - w.First + 1)}
	p.next.Store(w.First)
	var workers sync.WaitGroup
	for range max(1, w.Workers) {
		workers.Go(p.work)
	}
	workers.Wait()
	r := p.result
	slices.SortFunc(r.FailedSeeds, func(a, b FailedSeed) int { return int(int64(a.Seed - b.Seed)) })
	r.Elapsed = time.Since(startedAt)
	return r, p.err
}

// sweepProgress is a running sweep. Workers take seeds from next. mu guards result and err.
type sweepProgress struct {
	Sweep
	next atomic.Uint64
	stop atomic.Bool

	mu     sync.Mutex
	result SweepResult
	err    error
}

// work runs seeds until none is left or the sweep stops.
func (p *sweepProgress) work() {
	for !p.stop.Load() {
		seed := p.next.Add(1) - 1
		if seed > p.Last {
			return
		}
		s := p.script(seed)
		o, err := Run(s, p.Options)
		p.done(seed, s, o, err)
	}
}

// done adds a run to the result.
func (p *sweepProgress) done(seed uint64, s *Script, o Outcome, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.err = err
		p.stop.Store(true)
	}
	p.result.add(seed, seed-p.First, s, o)
	if len(o.Findings) > 0 {
		if p.OnFailedSeed != nil {
			f := o.Findings[0]
			p.OnFailedSeed(FailedSeed{seed, f.Rule, f.At, f.What})
		}
		if !p.ContinueAfterViolation {
			p.stop.Store(true)
		}
	}
	if p.Progress != nil {
		p.Progress(p.result.Seeds)
	}
}

func newSweepResult(seeds uint64) SweepResult {
	return SweepResult{Reached: map[string]int{}, Scenarios: map[string]int{}, Exemptions: map[string]int{}, FaultPairs: map[[2]string]int{},
		Nearness: make([][nearnessBins]int, len(RuleNames())), ValueServed: make([]float64, seeds), CounterCalls: make([]uint64, seeds)}
}

// script returns the script of a seed.
func (w Sweep) script(seed uint64) *Script {
	if w.Script == nil {
		return Generate(seed, w.Profile)
	}
	s := *w.Script
	s.Seed, s.WrittenSeed, s.Events = seed, int(seed), slices.Clone(s.Events)
	return &s
}

// add adds the outcome of a seed's run. i is the seed's index in the slices by seed.
func (r *SweepResult) add(seed, i uint64, s *Script, o Outcome) {
	r.Seeds++
	r.Events, r.Requests, r.Virtual = r.Events+o.Events, r.Requests+uint64(o.Requests), r.Virtual+o.Virtual
	r.ValueServed[i], r.CounterCalls[i] = o.ValueServed, o.CounterCalls
	if s.Scenario == "" {
		r.Scenarios["single troubles"]++
	} else {
		r.Scenarios[s.Scenario]++
	}
	r.addCoverage(o)
	for k, rule := range o.Verdict.Rules {
		bin := 0
		if near := o.Nearness(k); rule.Cases > 0 || near > 0 {
			bin = 1 + min(nearnessBins-2, int(math.Max(0, near)*(nearnessBins-2)))
		}
		r.Nearness[k][bin]++
	}
	if len(o.Findings) > 0 {
		r.Violating++
		if f := o.Findings[0]; len(r.FailedSeeds) < maxFailedSeeds {
			r.FailedSeeds = append(r.FailedSeeds, FailedSeed{seed, f.Rule, f.At, f.What})
		}
	}
}

// addCoverage adds what a run reached, the cases that were exempted, and the pairs of faults that occurred in it.
func (r *SweepResult) addCoverage(o Outcome) {
	var verbs []string
	for k, n := range o.Reached {
		r.Reached[k] += n
		if v, ok := strings.CutPrefix(k, "trouble "); ok {
			verbs = append(verbs, v)
		}
		if v, ok := strings.CutPrefix(k, "excuse: "); ok {
			r.Exemptions[v] += n
		}
	}
	for k, n := range o.Verdict.Exemptions {
		r.Exemptions[k] += n
	}
	slices.Sort(verbs)
	for i := range verbs {
		for _, v := range verbs[i+1:] {
			r.FaultPairs[[2]string{verbs[i], v}]++
		}
	}
}
