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

// minDeviations is how many standard errors must lie between runs with a guard and without it.
const minDeviations = 3.0

// runCostScripts checks each script in whose runs a guard matters: without the guard less value is served, or the counter is
// called more, beyond chance, and with it no rule is broken.
func (r simMutants) runCostScripts(c *Console, dir, whole string, all []mutation.Mutation) error {
	if r.CostScriptSeeds < 2 {
		return errors.New("--days 1: chance needs two seeds at least")
	}
	var same []string
	for _, m := range all {
		program, err := r.buildMutant(dir, m)
		if err != nil {
			return err
		}
		day := filepath.Join(r.Root, "internal", "simulation", "testdata", m.CostScript)
		var o [2]simulation.SweepResult
		for i, p := range []string{whole, program} {
			if o[i], err = r.sweep(p, 1, r.CostScriptSeeds, r.Workers, true, day); err != nil {
				return err
			}
		}
		if len(o[0].Finds) > 0 {
			return fmt.Errorf("%s breaks a rule with the defence, seed %d: %s", m.CostScript, o[0].Finds[0].Seed, o[0].Finds[0].What)
		}
		s := searchResult{Name: m.Name, Rule: m.Rule}
		s.compare(o[0], o[1])
		fmt.Fprintf(c.Out, "%s: %s\n", m.Name, s.verdict())
		if s.ValueDeviations > -minDeviations && s.CallsDeviations < minDeviations {
			same = append(same, m.Name)
		}
	}
	if len(same) > 0 {
		return fmt.Errorf("their days don't tell these from the whole: %s", strings.Join(same, ", "))
	}
	return nil
}

// runScripts checks that each script finds its mutation, and nothing without it.
func (r simMutants) runScripts(c *Console, dir, whole string, all []mutation.Mutation) error {
	started := time.Now()
	breaks := func(program, script string) (simulation.Outcome, error) {
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
		with, err := breaks(program, script)
		if err != nil {
			return err
		}
		without, err := breaks(whole, script)
		if err != nil {
			return err
		}
		if len(without.Findings) > 0 {
			return fmt.Errorf("%s breaks a rule without a mistake: %s", m.Script, without.Findings[0].What)
		}
		if len(with.Findings) == 0 || with.Findings[0].Rule != m.Rule {
			return fmt.Errorf("%s does not find %s: %v", m.Script, m.Name, with.Findings)
		}
		fmt.Fprintf(c.Out, "%s: found by its script, %s\n", m.Name, with.Findings[0].Rule)
	}
	fmt.Fprintf(c.Out, "%d mistakes found by their scripts in %v\n", len(all), time.Since(started).Round(100*time.Millisecond))
	return nil
}
