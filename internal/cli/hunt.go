package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"sandyard/internal/simulation"
)

// simHunt is the command "sandyard-sim hunt".
type simHunt struct {
	simCommon
	Rule    string  `required:"" help:"Name of the rule, or a part of it that no other has; a wrong one lists them." placeholder:"NAME"`
	Minutes float64 `default:"1" help:"How long to breed."`
	Runs    int     `help:"Most runs; as many as there is time for if absent."`
	Seed    uint64  `default:"1" help:"Of the first scripts and of what is changed."`
	Workers int     `help:"Runs side by side; as many as there are processors if absent."`
	Shrink  int     `default:"400" help:"Most runs to spend on making the nearest script smaller; 0 leaves it."`
	To      string  `short:"o" help:"File for the nearest script; printed if absent." placeholder:"FILE"`
	output
}

// huntResult is the output of a hunt as JSON.
type huntResult struct {
	Runs       int                    `json:"runs"`
	Seconds    float64                `json:"seconds"`
	Nearness   float64                `json:"nearness"` // of the script that comes nearest to breaking the rule, as a share of the limit
	FailedSeed *simulation.FailedSeed `json:"find,omitempty"`
	Script     string                 `json:"script"`
}

// rule returns the index of the rule whose name is the flag's value, or of the only one whose name contains it.
func (r simHunt) rule() (int, error) {
	names := simulation.RuleNames()
	var matching []int
	for i, n := range names {
		if n == r.Rule {
			return i, nil
		}
		if strings.Contains(n, r.Rule) {
			matching = append(matching, i)
		}
	}
	if len(matching) != 1 {
		return 0, fmt.Errorf("--rule %q: expected one of: %s", r.Rule, strings.Join(names, "; "))
	}
	return matching[0], nil
}

func (r simHunt) Run(c *Console) error {
	rule, err := r.rule()
	if err != nil {
		return err
	}
	opt, err := r.options()
	if err != nil {
		return err
	}
	if r.Workers <= 0 {
		r.Workers = runtime.GOMAXPROCS(0)
	}
	debug.SetGCPercent(runGCPercent)
	started := time.Now()
	best, o, runs, err := r.hunt(c, rule, opt, started).Run()
	if err != nil {
		return err
	}
	if best == nil {
		return fmt.Errorf("no run fits into %g minutes", r.Minutes)
	}
	if r.json() {
		return json.NewEncoder(c.Out).Encode(newHuntResult(best, o, rule, runs, time.Since(started)))
	}
	fmt.Fprintf(c.Out, "%d runs in %v; nearest to breaking \"%s\": %.3f of the limit, %s\n", runs, time.Since(started).Round(time.Second), simulation.RuleNames()[rule],
		o.Nearness(rule), o.Verdict.Rules[rule].Limit)
	return r.writeScript(c, best, o, rule, opt)
}

// hunt returns a hunt that is configured by the flags.
func (r simHunt) hunt(c *Console, rule int, opt simulation.Options, started time.Time) *simulation.Hunt {
	limit := time.Duration(r.Minutes * float64(time.Minute))
	runs := 0
	return &simulation.Hunt{Rule: rule, Profile: r.profile(), Options: opt, Workers: r.Workers, Seed: r.Seed,
		Stop: func() bool {
			if r.Runs > 0 && runs >= r.Runs || time.Since(started) >= limit {
				return true
			}
			runs++
			return false
		},
		Improved: func(s *simulation.Script, o simulation.Outcome, n int) {
			fmt.Fprintf(c.Errs, "run %d, %v: %.3f of the limit; %d troubles, %d doors, %d boxes, %g a second\n", n, time.Since(started).Round(time.Second),
				o.Nearness(rule), len(s.Events), s.Instances, s.Backends.Count, s.Rate)
		}}
}

func newHuntResult(best *simulation.Script, o simulation.Outcome, rule, runs int, took time.Duration) huntResult {
	result := huntResult{Runs: runs, Seconds: took.Seconds(), Nearness: o.Nearness(rule), Script: best.Text()}
	if len(o.Findings) > 0 {
		f := o.Findings[0]
		result.FailedSeed = &simulation.FailedSeed{Seed: best.Seed, Rule: f.Rule, At: f.At, What: f.What}
	}
	return result
}

// writeScript shrinks the nearest script and writes it. It returns an error if the script breaks a rule.
func (r simHunt) writeScript(c *Console, best *simulation.Script, o simulation.Outcome, rule int, opt simulation.Options) error {
	what := fmt.Sprintf("Comes to %.3f of the limit of \"%s\".", o.Nearness(rule), simulation.RuleNames()[rule])
	keep := func(x simulation.Outcome) bool {
		return len(x.Findings) == 0 && x.Nearness(rule) >= keptNearness*o.Nearness(rule)
	}
	if len(o.Findings) > 0 {
		f := o.Findings[0]
		what, keep = fmt.Sprintf("Breaks \"%s\": %s", f.Rule, f.What), simulation.Violates(f.Rule)
		fmt.Fprintln(c.Out, what)
	}
	if r.Shrink > 0 {
		best = simulation.Shrink(best, opt, keep, r.Shrink, nil)
	}
	if err := writeText(c, r.To, "# "+what+"\n"+best.Text()); err != nil {
		return err
	}
	if len(o.Findings) > 0 {
		return fmt.Errorf("%s", o.Findings[0].Rule)
	}
	return nil
}

// writeText writes a text to a file, or prints it if the file name is empty.
func writeText(c *Console, file, text string) error {
	if file == "" {
		_, err := io.WriteString(c.Out, text)
		return err
	}
	return os.WriteFile(file, []byte(text), 0o644)
}

// keptNearness is the share of its nearness that a script must at least keep when it is shrunk.
const keptNearness = 0.9
