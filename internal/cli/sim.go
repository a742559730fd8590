package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"sandyard/config"
	"sandyard/internal/simulation"
)

// Sim runs the sandyard-sim program.
func Sim(args []string, out, errs io.Writer) int {
	var g struct {
		Run      simRun      `cmd:"" help:"Draw scripts from seeds, run them, and hold each to the rules."`
		Replay   simReplay   `cmd:"" help:"Run a seed or a script again, with a log of its events."`
		Shrink   simShrink   `cmd:"" help:"Make a script smaller that breaks a rule."`
		Digest   simDigest   `cmd:"" help:"Print the digest of a run's events."`
		Generate simGenerate `cmd:"" help:"Print the script of a seed."`
		Hunt     simHunt     `cmd:"" help:"Breed scripts that come ever nearer to breaking a rule."`
		Mutants  simMutants  `cmd:"" help:"Take the defences of the source away, one at a time, and tell which search finds it."`
	}
	return program("sandyard-sim", "Whole deployments in virtual time, under troubles drawn from a seed, held to the five rules.", &g, args, out, errs,
		&Console{out, errs})
}

type simCommon struct {
	Config        string  `type:"existingfile" help:"Configuration to run on, instead of the built-in one." placeholder:"gateway.yaml"`
	Seconds       float64 `default:"16" help:"Most seconds of traffic, when a script is drawn."`
	Rate          float64 `default:"60" help:"Most requests a second, when a script is drawn."`
	MaxInstances  int     `name:"doors" default:"40" help:"Most front doors, when a script is drawn."`
	ScenarioShare float64 `name:"shapes" default:"0.5" help:"Share of the drawn days that come in a whole shape."`
}

func (c simCommon) profile() simulation.Profile {
	p := simulation.Usual()
	p.Seconds, p.Rate, p.MaxInstances, p.Config, p.ScenarioShare = c.Seconds, c.Rate, c.MaxInstances, c.Config, c.ScenarioShare
	return p
}

func (c simCommon) options() (simulation.Options, error) {
	var opt simulation.Options
	if c.Config != "" {
		cfg, err := config.Load(c.Config)
		if err != nil {
			return opt, err
		}
		opt.Config = cfg
	}
	return opt, nil
}

// script is a seed's, or a file's.
func (c simCommon) script(what string) (*simulation.Script, simulation.Options, error) {
	if seed, err := strconv.ParseUint(what, 10, 53); err == nil {
		opt, err := c.options()
		return simulation.Generate(seed, c.profile()), opt, err
	}
	text, err := os.ReadFile(what)
	if err != nil {
		return nil, simulation.Options{}, err
	}
	s, err := simulation.ReadScript(what, text)
	if err != nil {
		return nil, simulation.Options{}, err
	}
	if s.Config != "" && c.Config == "" {
		c.Config = s.Config
	}
	opt, err := c.options()
	return s, opt, err
}

// run runs a seed's script, or a file's.
func (c simCommon) run(what string) (*simulation.Script, simulation.Options, simulation.Outcome, error) {
	s, opt, err := c.script(what)
	if err != nil {
		return nil, opt, simulation.Outcome{}, err
	}
	o, err := simulation.Run(s, opt)
	return s, opt, o, err
}

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
	from, to, ok := strings.Cut(r.Seeds, "-")
	if !ok {
		to = from
	}
	first, err1 := strconv.ParseUint(from, 10, 53)
	last, err2 := strconv.ParseUint(to, 10, 53)
	if err1 != nil || err2 != nil || last < first {
		return fmt.Errorf("--seeds %q: expected FROM-TO", r.Seeds)
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
	debug.SetGCPercent(400) // runs are short and their garbage is all they leave
	begun, total, broken := time.Now(), last-first+1, 0
	w := simulation.Sweep{First: first, Last: last, Profile: r.profile(), Script: script, Options: opt, Workers: r.Workers, ContinueAfterViolation: r.ContinueAfterViolation}
	if !r.json() {
		w.OnFind = func(f simulation.Find) {
			broken++
			fmt.Fprintf(c.Out, "seed %d: %s, at %v: %s\n  again: %s\n", f.Seed, f.Rule, f.At, f.What, r.replayCommand(f.Seed))
		}
	}
	if !r.Quiet {
		w.Progress = func(n uint64) {
			if n%500 == 0 {
				took := time.Since(begun)
				left := time.Duration(float64(took) * float64(total-n) / float64(n))
				fmt.Fprintf(c.Errs, "%d of %d seeds, %d broken, %v, about %v left\n", n, total, broken, took.Round(time.Second), left.Round(time.Second))
			}
		}
	}
	o, err := w.Run()
	if err != nil {
		return err
	}
	if r.json() {
		if err := json.NewEncoder(c.Out).Encode(o); err != nil {
			return err
		}
	} else {
		took := o.Took.Seconds()
		fmt.Fprintf(c.Out, "%d seeds, %d broken; %d workers, %.1f s: %.0f virtual seconds, %.0f requests and %.0f events a second\n", o.Seeds, o.Violating,
			r.Workers, took, o.Virtual.Seconds()/took, float64(o.Requests)/took, float64(o.Events)/took)
		if r.Coverage {
			printCoverage(c.Out, o)
		}
		if r.Nearness {
			printNearness(c.Out, o)
		}
	}
	if o.Violating > 0 {
		return fmt.Errorf("%d seeds broke a rule", o.Violating)
	}
	return nil
}

// replayCommand is the command that plays a seed of the sweep once more, with its log.
func (r simRun) replayCommand(seed uint64) string {
	if r.Script != "" {
		return fmt.Sprintf("sandyard-sim run --script %s --seeds %d", r.Script, seed)
	}
	return fmt.Sprintf("sandyard-sim replay %d%s", seed, r.flags())
}

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

// printCoverage tells what a search reached, and what it did not.
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
	fmt.Fprintln(w, "\nlet pass by a check\ttimes")
	for _, k := range slices.Sorted(maps.Keys(o.Exemptions)) {
		fmt.Fprintf(w, "%s\t%d\n", k, o.Exemptions[k])
	}
	w.Flush()
	var missed []string
	for _, k := range simulation.Reachable() {
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
	fmt.Fprintf(out, "not reached: %s\n", joinOrNothing(missed))
	fmt.Fprintf(out, "pairs of troubles in one run: %d of %d\n", total-len(unpaired), total)
	if len(unpaired) > 0 && len(unpaired) <= 40 {
		fmt.Fprintf(out, "never together: %s\n", strings.Join(unpaired, ", "))
	}
}

func joinOrNothing(xs []string) string {
	if len(xs) == 0 {
		return "nothing"
	}
	return strings.Join(xs, ", ")
}

type simReplay struct {
	simCommon
	Script                 string        `arg:"" help:"A seed, or a script's file."`
	Until                  time.Duration `help:"Stop at this time."`
	ContinueAfterViolation bool          `name:"go-on" help:"Go on after the first broken rule."`
	Log                    bool          `default:"true" negatable:"" help:"Print the events."`
	output
}

func (r simReplay) Run(c *Console) error {
	s, opt, err := r.script(r.Script)
	if err != nil {
		return err
	}
	opt.Until, opt.ContinueAfterViolation = r.Until, r.ContinueAfterViolation
	if r.Log && !r.json() {
		opt.Log = func(at time.Duration, what string) { fmt.Fprintf(c.Out, "%12.6f  %s\n", at.Seconds(), what) }
	}
	o, err := simulation.Run(s, opt)
	if err != nil {
		return err
	}
	if r.json() {
		if err := printJSON(c.Out, o); err != nil {
			return err
		}
	} else {
		printOutcome(c.Out, o)
	}
	if len(o.Findings) > 0 {
		return fmt.Errorf("%s", o.Findings[0].Rule)
	}
	return nil
}

func printOutcome(out io.Writer, o simulation.Outcome) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tcases\tviolations\tnearest\tof")
	for _, r := range o.Verdict.Rules {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%s\n", r.Name, r.Cases, r.Count, r.Nearest, r.Of)
	}
	fmt.Fprintln(w, "\nplan\ttries\tserved\tof them late\trefused\tfailed\tlost\tcut\tno door\tleft")
	for _, p := range o.Verdict.Plans {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Plan, p.Requests, p.Served, p.Late, p.Rejected, p.Failed, p.TimedOut, p.Broken, p.NotAccepted, p.Abandoned)
	}
	w.Flush()
	for _, f := range o.Findings {
		fmt.Fprintf(out, "%v: %s: %s\n", f.At, f.Rule, f.What)
	}
	fmt.Fprintf(out, "digest %016x, %d events, %d tries, %v\n", o.Digest, o.Events, o.Requests, o.Virtual)
}

type simShrink struct {
	simCommon
	Script string `arg:"" help:"A seed, or a script's file."`
	To     string `short:"o" help:"File for the script; printed if absent." placeholder:"FILE"`
	Runs   int    `default:"2000" help:"Most runs to spend."`
}

func (r simShrink) Run(c *Console) error {
	s, opt, o, err := r.run(r.Script)
	if err != nil {
		return err
	}
	if len(o.Findings) == 0 {
		return fmt.Errorf("%s breaks no rule", r.Script)
	}
	rule := o.Findings[0].Rule
	n := 0
	small := simulation.Shrink(s, opt, simulation.Breaks(rule), r.Runs, func(kept bool, s *simulation.Script) {
		if n++; kept {
			fmt.Fprintf(c.Errs, "run %d: %d troubles, %d doors, %d boxes, %g s, %g a second\n", n, len(s.Events), s.Instances, s.Backends.Count, s.Seconds, s.Rate)
		}
	})
	o, err = simulation.Run(small, opt)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("# Breaks \"%s\": %s\n%s", rule, o.Findings[0].What, small.Text())
	if r.To == "" {
		_, err = io.WriteString(c.Out, text)
		return err
	}
	return os.WriteFile(r.To, []byte(text), 0o644)
}

type simDigest struct {
	simCommon
	Script string `arg:"" help:"A seed, or a script's file."`
}

func (r simDigest) Run(c *Console) error {
	_, _, o, err := r.run(r.Script)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Out, "%016x\n", o.Digest)
	return err
}

type simGenerate struct {
	simCommon
	Seed uint64 `arg:"" help:"The seed."`
}

func (r simGenerate) Run(c *Console) error {
	_, err := io.WriteString(c.Out, simulation.Generate(r.Seed, r.profile()).Text())
	return err
}
