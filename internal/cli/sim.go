package cli

import (
	"fmt"
	"io"
	"os"
	"strconv"
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

// simCommon holds the flags of the commands that generate scripts.
type simCommon struct {
	Config        string  `type:"existingfile" help:"Configuration to run on, instead of the built-in one." placeholder:"gateway.yaml"`
	Seconds       float64 `default:"16" help:"Most seconds of traffic, when a script is drawn."`
	Rate          float64 `default:"60" help:"Most requests a second, when a script is drawn."`
	MaxInstances  int     `name:"doors" default:"40" help:"Most front doors, when a script is drawn."`
	ScenarioShare float64 `name:"shapes" default:"0.5" help:"Share of the drawn days that come in a whole shape."`
}

func (c simCommon) profile() simulation.Profile {
	p := simulation.DefaultProfile()
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

// script returns the script that is generated from a seed, or read from a file, and the options to run it with.
func (c simCommon) script(seedOrFile string) (*simulation.Script, simulation.Options, error) {
	if seed, err := strconv.ParseUint(seedOrFile, 10, 53); err == nil {
		opt, err := c.options()
		return simulation.Generate(seed, c.profile()), opt, err
	}
	text, err := os.ReadFile(seedOrFile)
	if err != nil {
		return nil, simulation.Options{}, err
	}
	s, err := simulation.ReadScript(seedOrFile, text)
	if err != nil {
		return nil, simulation.Options{}, err
	}
	if s.Config != "" && c.Config == "" {
		c.Config = s.Config
	}
	opt, err := c.options()
	return s, opt, err
}

// run runs the script that is generated from a seed, or read from a file.
func (c simCommon) run(seedOrFile string) (*simulation.Script, simulation.Options, simulation.Outcome, error) {
	s, opt, err := c.script(seedOrFile)
	if err != nil {
		return nil, opt, simulation.Outcome{}, err
	}
	o, err := simulation.Run(s, opt)
	return s, opt, o, err
}

// simReplay is the command "sandyard-sim replay".
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

// printOutcome prints the rules' cases and violations, the results by plan, the findings and the digest of a run.
func printOutcome(out io.Writer, o simulation.Outcome) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tcases\tviolations\tnearest\tof")
	for _, r := range o.Verdict.Rules {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%s\n", r.Name, r.Cases, r.Count, r.Nearest, r.Limit)
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

// simShrink is the command "sandyard-sim shrink".
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
	small := simulation.Shrink(s, opt, simulation.Violates(rule), r.Runs, func(kept bool, s *simulation.Script) {
		if n++; kept {
			fmt.Fprintf(c.Errs, "run %d: %d troubles, %d doors, %d boxes, %g s, %g a second\n", n, len(s.Events), s.Instances, s.Backends.Count, s.Seconds, s.Rate)
		}
	})
	o, err = simulation.Run(small, opt)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("# Breaks \"%s\": %s\n%s", rule, o.Findings[0].What, small.Text())
	return writeText(c, r.To, text)
}

// simDigest is the command "sandyard-sim digest".
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

// simGenerate is the command "sandyard-sim generate".
type simGenerate struct {
	simCommon
	Seed uint64 `arg:"" help:"The seed."`
}

func (r simGenerate) Run(c *Console) error {
	_, err := io.WriteString(c.Out, simulation.Generate(r.Seed, r.profile()).Text())
	return err
}
