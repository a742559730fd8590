package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"

	"sandyard/internal/mutation"
	"sandyard/internal/simulation"
)

// sweep runs the simulator program over n seeds: each with the script that is generated from it, or all with the given script.
func (r simMutants) sweep(program string, first, n uint64, workers int, continueAfterViolation bool, script string) (simulation.SweepResult, error) {
	args := []string{"run", "--output", "json", "--quiet", "--workers", fmt.Sprint(workers), "--seeds", fmt.Sprintf("%d-%d", first, first+n-1)}
	if continueAfterViolation {
		args = append(args, "--go-on")
	}
	if script != "" {
		args = append(args, "--script", script)
	}
	cmd := exec.Command(program, args...)
	var text, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &text, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == Failure) {
		return simulation.SweepResult{}, fmt.Errorf("%w\n%s", err, errs.Bytes())
	}
	var o simulation.SweepResult
	if err := json.Unmarshal(text.Bytes(), &o); err != nil {
		return o, fmt.Errorf("%w\n%s", err, errs.Bytes())
	}
	return o, nil
}

// hunt runs the simulator program's hunt for violations of a rule. It uses one worker, so that it is reproducible.
func (r simMutants) hunt(program, rule string, seed uint64) (h huntResult, err error) {
	cmd := exec.Command(program, "hunt", "--output", "json", "--rule", rule, "--runs", fmt.Sprint(r.EvolveRuns), "--minutes", "60", "--seed", fmt.Sprint(seed),
		"--workers", "1")
	var errs bytes.Buffer
	cmd.Stderr = &errs
	text, err := cmd.Output()
	if err != nil {
		return h, fmt.Errorf("%w\n%s", err, errs.Bytes())
	}
	return h, json.Unmarshal(text, &h)
}

// searchSeedStep is the distance between the first seeds of the searches for a mutation. It keeps their ranges of seeds disjoint.
const searchSeedStep = 1_000_003

// search searches for a mutation, or measures its cost if no rule can detect it.
func (r simMutants) search(dir string, m mutation.Mutation, base simulation.SweepResult) searchResult {
	s := searchResult{Name: m.Name, Guards: m.Guards, Rule: m.Rule, Because: m.Because}
	program, err := r.buildMutant(dir, m)
	if err == nil {
		defer os.Remove(program)
		if m.Rule == mutation.CostOnly {
			err = r.searchCost(&s, program, base)
		} else {
			err = r.searchViolations(&s, program)
		}
	}
	if err != nil {
		s.Failure = err.Error()
	}
	return s
}

// searchCost compares a mutation's runs with those of the unmutated source.
func (r simMutants) searchCost(s *searchResult, program string, base simulation.SweepResult) error {
	o, err := r.sweep(program, r.First, r.CostSeeds, 1, true, "")
	if err != nil {
		return err
	}
	s.Found, s.Seeds, s.Seconds = o.FailedSeeds, []uint64{o.Seeds}, []float64{o.Elapsed.Seconds()}
	if len(s.Found) > 1 {
		s.Found = s.Found[:1]
	}
	s.compare(base, o)
	return nil
}

// searchViolations searches for runs in which a mutation breaks a rule: by a sweep, and by a hunt if the sweep finds none.
func (r simMutants) searchViolations(s *searchResult, program string) error {
	for k := range r.Starts {
		first := r.First + uint64(k)*searchSeedStep
		o, err := r.sweep(program, first, r.Seeds, 1, false, "")
		if err != nil {
			return err
		}
		runs, took := o.Seeds, o.Elapsed.Seconds()
		if len(o.FailedSeeds) > 0 {
			s.Found = append(s.Found, o.FailedSeeds[0])
		} else if r.EvolveRuns > 0 && slices.Contains(simulation.RuleNames(), s.Rule) {
			h, err := r.hunt(program, s.Rule, first)
			if err != nil {
				return err
			}
			if runs, took = runs+uint64(h.Runs), took+h.Seconds; h.FailedSeed != nil {
				s.Found = append(s.Found, *h.FailedSeed)
				s.Evolved++
			}
		}
		s.Seeds, s.Seconds = append(s.Seeds, runs), append(s.Seconds, took)
	}
	return nil
}

// searchResult is the result of the searches for one mutation.
type searchResult struct {
	Name            string                  `json:"name"`
	Guards          string                  `json:"guards"`
	Rule            string                  `json:"rule"`
	Because         string                  `json:"because,omitempty"`
	Found           []simulation.FailedSeed `json:"found"`                 // one for each search that found the mutation
	Seeds           []uint64                `json:"seeds"`                 // runs of each search, evolved scripts included, whether it found the mutation or not
	Evolved         int                     `json:"bred"`                  // searches that found the mutation only with an evolved script
	Seconds         []float64               `json:"seconds"`               // by search: time with one worker (s)
	ValueChange     float64                 `json:"worth,omitempty"`       // relative change of the value served
	ValueDeviations float64                 `json:"worth_noise,omitempty"` // the same change in standard errors
	CallsChange     float64                 `json:"calls,omitempty"`       // relative change of the counter calls
	CallsDeviations float64                 `json:"calls_noise,omitempty"` // the same change in standard errors
	Failure         string                  `json:"failure,omitempty"`
}

// compare sets the cost of a mutation from runs of the same seeds without it and with it.
func (s *searchResult) compare(unmutated, mutated simulation.SweepResult) {
	n := len(unmutated.ValueServed)
	calls := [2][]float64{make([]float64, n), make([]float64, n)}
	sumValue, sumCalls := 0.0, 0.0
	for i := range n {
		calls[0][i], calls[1][i] = float64(unmutated.CounterCalls[i]), float64(mutated.CounterCalls[i])
		sumValue, sumCalls = sumValue+unmutated.ValueServed[i], sumCalls+float64(unmutated.CounterCalls[i])
	}
	mean, deviations := pairedDifference(unmutated.ValueServed, mutated.ValueServed)
	s.ValueChange, s.ValueDeviations = mean*float64(n)/max(1, sumValue), deviations
	mean, deviations = pairedDifference(calls[0], calls[1])
	s.CallsChange, s.CallsDeviations = mean*float64(n)/max(1, sumCalls), deviations
}
