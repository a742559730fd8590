package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"sandyard/internal/simulation"
)

// simRun is the command "sandyard-sim run".
type simRun struct {
	simCommon
	Seeds                  string `default:"1-200" help:"Seeds, as FROM-TO."`
	Script                 string `type:"existingfile" help:"Play this script with each seed, instead of drawing scripts." placeholder:"FILE"`
	Workers                int    `help:"Runs side by side; as many as there are processors if absent."`
	ContinueAfterViolation bool   `name:"go-on" help:"Go on after the first broken rule."`
	Coverage               bool   `default:"true" negatable:"" help:"Print what was reached."`
	Nearness               bool   `help:"Print how near runs came to the limit of each rule."`
	output
	Quiet bool `help:"No progress."`
}

func (r simRun) Run(c *Console) error {
	first, last, err := parseSeeds(r.Seeds)
	if err != nil {
		return err
	}
	opt, err := r.options()
	if err != nil {
		return err
	}
	var script *simulation.Script
	if r.Script != "" {
		if script, opt, err = r.script(r.Script); err != nil {
			return err
		}
	}
	if r.Workers <= 0 {
		r.Workers = runtime.GOMAXPROCS(0)
	}
	debug.SetGCPercent(runGCPercent)
	w := simulation.Sweep{First: first, Last: last, Profile: r.profile(), Script: script, Options: opt, Workers: r.Workers,
		ContinueAfterViolation: r.ContinueAfterViolation}
	r.reportTo(c, &w)
	o, err := w.Run()
	if err != nil {
		return err
	}
	if err := r.print(c, o); err != nil {
		return err
	}
	if o.Violating > 0 {
		return fmt.Errorf("%d seeds broke a rule", o.Violating)
	}
	return nil
}

// runGCPercent is the GOGC value of sweeps and hunts. Runs are short, and all memory that they
// leave is garbage.
const runGCPercent = 400

// progressSeeds is the number of seeds between two progress lines.
const progressSeeds = 500

// parseSeeds parses FROM-TO, or a single seed.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, ok := strings.Cut(text, "-")
	if !ok {
		to = from
	}
	first, err1 := strconv.ParseUint(from, 10, 53)
	last, err2 := strconv.ParseUint(to, 10, 53)
	if err1 != nil || err2 != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds %q: expected FROM-TO", text)
	}
	return first, last, nil
}

// reportTo makes a sweep print its failed seeds and its progress.
func (r simRun) reportTo(c *Console, w *simulation.Sweep) {
	started, total, violating := time.Now(), w.Last-w.First+1, 0
	if !r.json() {
		w.OnFailedSeed = func(f simulation.FailedSeed) {
			violating++
			fmt.Fprintf(c.Out, "seed %d: %s, at %v: %s\n  again: %s\n", f.Seed, f.Rule, f.At, f.What, r.replayCommand(f.Seed))
		}
	}
	if r.Quiet {
		return
	}
	w.Progress = func(n uint64) {
		if n%progressSeeds == 0 {
			took := time.Since(started)
			left := time.Duration(float64(took) * float64(total-n) / float64(n))
			fmt.Fprintf(c.Errs, "%d of %d seeds, %d broken, %v, about %v left\n", n, total, violating, took.Round(time.Second), left.Round(time.Second))
		}
	}
}

func (r simRun) print(c *Console, o simulation.SweepResult) error {
	if r.json() {
		return json.NewEncoder(c.Out).Encode(o)
	}
	took := o.Elapsed.Seconds()
	fmt.Fprintf(c.Out, "%d seeds, %d broken; %d workers, %.1f s: %.0f virtual seconds, %.0f requests and %.0f events a second\n", o.Seeds, o.Violating,
		r.Workers, took, o.Virtual.Seconds()/took, float64(o.Requests)/took, float64(o.Events)/took)
	if r.Coverage {
		printCoverage(c.Out, o)
	}
	if r.Nearness {
		printNearness(c.Out, o)
	}
	return nil
}

// replayCommand returns the command line that runs a seed of the sweep again.
func (r simRun) replayCommand(seed uint64) string {
	if r.Script != "" {
		return fmt.Sprintf("sandyard-sim run --script %s --seeds %d", r.Script, seed)
	}
	return fmt.Sprintf("sandyard-sim replay %d%s", seed, r.flags())
}

// flags returns the flags as text, for a command line. The flags that have their default values are left out.
func (c simCommon) flags() string {
	s := ""
	if c.Config != "" {
		s += " --config " + c.Config
	}
	if c.Seconds != 16 || c.Rate != 60 || c.MaxInstances != 40 || c.ScenarioShare != 0.5 {
		s += fmt.Sprintf(" --seconds %g --rate %g --doors %d --shapes %g", c.Seconds, c.Rate, c.MaxInstances, c.ScenarioShare)
	}
	return s
}

// printCoverage prints which states, scenarios, exemptions and pairs of faults a sweep reached, and which it did not.
func printCoverage(out io.Writer, o simulation.SweepResult) {
	reached, pairs := o.Reached, o.FaultPairs
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nreached\ttimes")
	for _, k := range slices.Sorted(maps.Keys(reached)) {
		fmt.Fprintf(w, "%s\t%d\n", k, reached[k])
	}
	fmt.Fprintln(w, "\nshape\tdays")
	for _, k := range slices.Sorted(maps.Keys(o.Scenarios)) {
		fmt.Fprintf(w, "%s\t%d\n", k, o.Scenarios[k])
	}
	fmt.Fprintln(w, "\nexempted by a check\ttimes")
	for _, k := range slices.Sorted(maps.Keys(o.Exemptions)) {
		fmt.Fprintf(w, "%s\t%d\n", k, o.Exemptions[k])
	}
	w.Flush()
	var missed []string
	for _, k := range simulation.CoverageGoals() {
		if reached[k] == 0 {
			missed = append(missed, k)
		}
	}
	verbs := simulation.Verbs()
	var unpaired []string
	for i, a := range verbs {
		for _, b := range verbs[i+1:] {
			if pairs[[2]string{a, b}] == 0 {
				unpaired = append(unpaired, a+"+"+b)
			}
		}
	}
	total := len(verbs) * (len(verbs) - 1) / 2
	fmt.Fprintf(out, "not reached: %s\n", joinOrNone(missed))
	fmt.Fprintf(out, "pairs of troubles in one run: %d of %d\n", total-len(unpaired), total)
	if len(unpaired) > 0 && len(unpaired) <= 40 {
		fmt.Fprintf(out, "never together: %s\n", strings.Join(unpaired, ", "))
	}
}

func joinOrNone(xs []string) string {
	if len(xs) == 0 {
		return "nothing"
	}
	return strings.Join(xs, ", ")
}
