package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"sandyard/internal/mutation"
	"sandyard/internal/simulation"
)

type simMutants struct {
	Root            string   `default:"." type:"existingdir" help:"Folder of the source."`
	Only            []string `help:"Names of the mistakes to try; all if absent." placeholder:"NAME"`
	First           uint64   `default:"700001" help:"First seed of the search."`
	Seeds           uint64   `default:"2000" help:"Most seeds of a search."`
	EvolveRuns      int      `name:"breed" default:"1000" help:"Most runs of a hunt for its rule, where the seeds did not find a mistake."`
	Starts          int      `default:"1" help:"Searches for each mistake, from different first seeds."`
	CostSeeds       uint64   `name:"worth" default:"400" help:"Seeds over which the cost of those that no rule sees is compared."`
	Workers         int      `help:"Searches side by side; as many as there are processors if absent."`
	Scripts         bool     `help:"Only play the scripts that are known to find a mistake: each must find it, and nothing without it."`
	CostScriptSeeds uint64   `name:"days" placeholder:"N" help:"Only play the days on which a defence that no rule sees matters, each with seeds 1 to N, with and without it."`
	List            bool     `help:"Only print the list."`
	output
}

// searchResult is what became of one mistake.
type searchResult struct {
	Name            string            `json:"name"`
	Guards          string            `json:"guards"`
	Rule            string            `json:"rule"`
	Because         string            `json:"because,omitempty"`
	Found           []simulation.Find `json:"found"`   // one for each start that found it
	Seeds           []uint64          `json:"seeds"`   // that it took, bred scripts included, by start; what was spent where nothing was found
	Evolved         int               `json:"bred"`    // searches that found it by breeding only
	Seconds         []float64         `json:"seconds"` // of one core
	ValueChange     float64           `json:"worth,omitempty"`
	ValueDeviations float64           `json:"worth_noise,omitempty"`
	CallsChange     float64           `json:"calls,omitempty"`
	CallsDeviations float64           `json:"calls_noise,omitempty"`
	Failure         string            `json:"failure,omitempty"`
}

func (r simMutants) Run(c *Console) error {
	all, err := mutation.List()
	if err != nil {
		return err
	}
	for _, name := range r.Only {
		if !slices.ContainsFunc(all, func(m mutation.Mutation) bool { return m.Name == name }) {
			return fmt.Errorf("--only %s: no such mistake; --list names them", name)
		}
	}
	all = slices.DeleteFunc(all, func(m mutation.Mutation) bool {
		return len(r.Only) > 0 && !slices.Contains(r.Only, m.Name) || r.Scripts && m.Script == "" || r.CostScriptSeeds > 0 && m.CostScript == ""
	})
	if r.List {
		w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
		for _, m := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, m.Rule, m.Guards)
		}
		return w.Flush()
	}
	if r.Workers <= 0 {
		r.Workers = runtime.GOMAXPROCS(0)
	}
	dir, err := os.MkdirTemp("", "sandyard-mutants-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	whole := filepath.Join(dir, "whole")
	if err := r.build(whole, ""); err != nil {
		return err
	}
	if r.Scripts {
		return r.playScripts(c, dir, whole, all)
	}
	if r.CostScriptSeeds > 0 {
		return r.playCostScripts(c, dir, whole, all)
	}
	var base simulation.SweepResult
	if slices.ContainsFunc(all, func(m mutation.Mutation) bool { return m.Rule == mutation.CostOnly }) {
		if base, err = r.sweep(whole, r.First, r.CostSeeds, r.Workers, true, ""); err != nil {
			return err
		}
	}
	out := make([]searchResult, len(all))
	work := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range r.Workers {
		wg.Go(func() {
			for i := range work {
				out[i] = r.search(dir, all[i], base)
				mu.Lock()
				fmt.Fprintln(c.Errs, out[i].summary())
				mu.Unlock()
			}
		})
	}
	for i := range all {
		work <- i
	}
	close(work)
	wg.Wait()
	if r.json() {
		err = printJSON(c.Out, out)
	} else {
		err = printSearched(c.Out, out)
	}
	var missed []string
	for _, s := range out {
		if s.Failure != "" {
			return fmt.Errorf("%s: %s", s.Name, s.Failure)
		}
		if s.Rule != mutation.CostOnly && len(s.Found) == 0 {
			missed = append(missed, s.Name)
		}
	}
	if err == nil && len(missed) > 0 {
		err = fmt.Errorf("a rule can see these, and no search found them: %s", strings.Join(missed, ", "))
	}
	return err
}

// build builds the simulator, with a mistake if an overlay is given.
func (r simMutants) build(to, overlay string) error {
	args := []string{"build", "-o", to}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	cmd := exec.Command("go", append(args, "./cmd/sandyard-sim")...)
	cmd.Dir = r.Root
	if text, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w\n%s", err, text)
	}
	return nil
}

// buildMutant builds the simulator with a mistake.
func (r simMutants) buildMutant(dir string, m mutation.Mutation) (string, error) {
	overlay, err := m.Overlay(r.Root, dir)
	if err != nil {
		return "", err
	}
	to := filepath.Join(dir, m.Name)
	return to, r.build(to, overlay)
}

// sweep runs a simulator over seeds, each with its own script or all with one.
func (r simMutants) sweep(program string, first, n uint64, workers int, goOn bool, script string) (simulation.SweepResult, error) {
	args := []string{"run", "--output", "json", "--quiet", "--workers", fmt.Sprint(workers), "--seeds", fmt.Sprintf("%d-%d", first, first+n-1)}
	if goOn {
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

// hunt breeds scripts that come near to breaking a rule, on one core, so that it goes the same way each time.
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

// search searches for a mistake, and compares what it costs if no rule sees it.
func (r simMutants) search(dir string, m mutation.Mutation, base simulation.SweepResult) searchResult {
	s := searchResult{Name: m.Name, Guards: m.Guards, Rule: m.Rule, Because: m.Because}
	program, err := r.buildMutant(dir, m)
	if err != nil {
		s.Failure = err.Error()
		return s
	}
	defer os.Remove(program)
	if m.Rule == mutation.CostOnly {
		o, err := r.sweep(program, r.First, r.CostSeeds, 1, true, "")
		if err != nil {
			s.Failure = err.Error()
			return s
		}
		s.Found, s.Seeds, s.Seconds = o.Finds, []uint64{o.Seeds}, []float64{o.Took.Seconds()}
		if len(s.Found) > 1 {
			s.Found = s.Found[:1]
		}
		s.compare(base, o)
		return s
	}
	for k := range r.Starts {
		first := r.First + uint64(k)*1_000_003
		o, err := r.sweep(program, first, r.Seeds, 1, false, "")
		if err != nil {
			s.Failure = err.Error()
			return s
		}
		runs, took := o.Seeds, o.Took.Seconds()
		if len(o.Finds) > 0 {
			s.Found = append(s.Found, o.Finds[0])
		} else if r.EvolveRuns > 0 && slices.Contains(simulation.RuleNames(), m.Rule) {
			h, err := r.hunt(program, m.Rule, first)
			if err != nil {
				s.Failure = err.Error()
				return s
			}
			if runs, took = runs+uint64(h.Runs), took+h.Seconds; h.Find != nil {
				s.Found = append(s.Found, *h.Find)
				s.Evolved++
			}
		}
		s.Seeds, s.Seconds = append(s.Seeds, runs), append(s.Seconds, took)
	}
	return s
}

// compare takes over what a mistake costs on the same days.
func (s *searchResult) compare(whole, without simulation.SweepResult) {
	n := len(whole.ValueServed)
	calls := [2][]float64{make([]float64, n), make([]float64, n)}
	sum, asked := 0.0, 0.0
	for i := range n {
		calls[0][i], calls[1][i] = float64(whole.CounterCalls[i]), float64(without.CounterCalls[i])
		sum, asked = sum+whole.ValueServed[i], asked+float64(whole.CounterCalls[i])
	}
	mean, units := pairedDifference(whole.ValueServed, without.ValueServed)
	s.ValueChange, s.ValueDeviations = mean*float64(n)/max(1, sum), units
	mean, units = pairedDifference(calls[0], calls[1])
	s.CallsChange, s.CallsDeviations = mean*float64(n)/max(1, asked), units
}

// verdict says in words what became of a mistake.
func (s searchResult) verdict() string {
	switch {
	case s.Failure != "":
		return "failed: " + strings.SplitN(s.Failure, "\n", 2)[0]
	case s.Rule == mutation.CostOnly && len(s.Found) == 0:
		return fmt.Sprintf("worth %+.2f%% (%+.1f noise), calls %+.1f%% (%+.1f noise)", 100*s.ValueChange, s.ValueDeviations, 100*s.CallsChange, s.CallsDeviations)
	case len(s.Found) == 0:
		return "not found"
	}
	var rules []string
	for _, f := range s.Found {
		if !slices.Contains(rules, f.Rule) {
			rules = append(rules, f.Rule)
		}
	}
	return strings.Join(rules, "; ")
}

func (s searchResult) summary() string {
	return fmt.Sprintf("%s: %s; runs %v, %.0f s", s.Name, s.verdict(), s.Seeds, slices.Max(append(s.Seconds, 0)))
}

func printSearched(out io.Writer, all []searchResult) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "taken away\tguards\tsearches that found it\tof them by breeding\tby\truns, mean\tworst\tseconds of a core, mean")
	seen, visible := 0, 0
	for _, s := range all {
		sum, worst, took := uint64(0), uint64(0), 0.0
		for i, n := range s.Seeds {
			sum, worst, took = sum+n, max(worst, n), took+s.Seconds[i]
		}
		n := float64(max(1, len(s.Seeds)))
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%s\t%.0f\t%d\t%.0f\n", s.Name, s.Guards, len(s.Found), len(s.Seeds), s.Evolved, s.verdict(), float64(sum)/n, worst, took/n)
		if s.Rule != mutation.CostOnly {
			visible++
			if len(s.Found) > 0 {
				seen++
			}
		}
	}
	fmt.Fprintf(w, "\nof %d that a rule can see, %d were found\n", visible, seen)
	return w.Flush()
}

// minDeviations is by how many standard errors a day must tell a defence from its absence.
const minDeviations = 3.0

// playCostScripts holds each day on which a defence matters to that: without it less worth is served, or the keeper is asked
// more, beyond chance, and the day breaks no rule with it.
func (r simMutants) playCostScripts(c *Console, dir, whole string, all []mutation.Mutation) error {
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

// playScripts holds each script that finds a mistake to that, and to finding nothing without it.
func (r simMutants) playScripts(c *Console, dir, whole string, all []mutation.Mutation) error {
	begun := time.Now()
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
	fmt.Fprintf(c.Out, "%d mistakes found by their scripts in %v\n", len(all), time.Since(begun).Round(100*time.Millisecond))
	return nil
}
