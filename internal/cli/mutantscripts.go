package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"sandyard/internal/mutation"
	"sandyard/internal/simulation"
)

// minDeviations is the smallest difference between runs with and without a guard that counts as significant (standard errors).
const minDeviations = 3.0

// runCostScripts checks that each cost script shows the effect of its guard: without the guard significantly less value is
// served, or the counter is called significantly more often. With the guard no run of the script may break a rule.
func (r simMutants) runCostScripts(c *Console, dir, unmutated string, all []mutation.Mutation) error {
	if r.CostScriptSeeds < 2 {
		return errors.New("--days 1: at least two seeds are needed to estimate the standard error")
	}
	var indistinct []string
	for _, m := range all {
		program, err := r.buildMutant(dir, m)
		if err != nil {
			return err
		}
		script := filepath.Join(r.Root, "internal", "simulation", "testdata", m.CostScript)
		var results [2]simulation.SweepResult // without the mutation, and with it
		for i, p := range []string{unmutated, program} {
			if results[i], err = r.sweep(p, 1, r.CostScriptSeeds, r.Workers, true, script); err != nil {
				return err
			}
		}
		if len(results[0].FailedSeeds) > 0 {
			return fmt.Errorf("%s breaks a rule with the guard in place, seed %d: %s", m.CostScript, results[0].FailedSeeds[0].Seed, results[0].FailedSeeds[0].What)
		}
		s := searchResult{Name: m.Name, Rule: m.Rule}
		s.compare(results[0], results[1])
		fmt.Fprintf(c.Out, "%s: %s\n", m.Name, s.verdict())
		if s.ValueDeviations > -minDeviations && s.CallsDeviations < minDeviations {
			indistinct = append(indistinct, m.Name)
		}
	}
	if len(indistinct) > 0 {
		return fmt.Errorf("no significant difference between the runs with and without the guard: %s", strings.Join(indistinct, ", "))
	}
	return nil
}

// runScripts checks that each script breaks the mutation's rule with the mutation, and no rule without it.
func (r simMutants) runScripts(c *Console, dir, unmutated string, all []mutation.Mutation) error {
	started := time.Now()
	replay := func(program, script string) (simulation.Outcome, error) {
		text, err := exec.Command(program, "replay", "--output", "json", script).Output()
		var o simulation.Outcome
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			return o, err
		}
		return o, json.Unmarshal(text, &o)
	}
	for _, m := range all {
		program, err := r.buildMutant(dir, m)
		if err != nil {
			return err
		}
		script := filepath.Join(r.Root, "internal", "simulation", "testdata", m.Script)
		mutated, err := replay(program, script)
		if err != nil {
			return err
		}
		original, err := replay(unmutated, script)
		if err != nil {
			return err
		}
		if len(original.Findings) > 0 {
			return fmt.Errorf("%s breaks a rule without the mistake: %s", m.Script, original.Findings[0].What)
		}
		if len(mutated.Findings) == 0 || mutated.Findings[0].Rule != m.Rule {
			return fmt.Errorf("%s does not find %s: %v", m.Script, m.Name, mutated.Findings)
		}
		fmt.Fprintf(c.Out, "%s: found by its script, %s\n", m.Name, mutated.Findings[0].Rule)
	}
	fmt.Fprintf(c.Out, "%d mistakes found by their scripts in %v\n", len(all), time.Since(started).Round(100*time.Millisecond))
	return nil
}
