package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sandyard/internal/simulation"
)

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

// huntResult is the outcome of a hunt.
type huntResult struct {
	Runs     int              `json:"runs"`
	Seconds  float64          `json:"seconds"`
	Nearness float64          `json:"nearness"` // share of the limit
	Find     *simulation.Find `json:"find,omitempty"`
	Script   string           `json:"script"`
}

// rule finds a rule by its name or a part of it.
func (r simHunt) rule() (int, error) {
	names := simulation.RuleNames()
	var fit []int
	for i, n := range names {
		if n == r.Rule {
			return i, nil
		}
		if strings.Contains(n, r.Rule) {
			fit = append(fit, i)
		}
	}
	if len(fit) != 1 {
		return 0, fmt.Errorf("--rule %q: expected one of: %s", r.Rule, strings.Join(names, "; "))
	}
	return fit[0], nil
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
	debug.SetGCPercent(400)
	begun, runs := time.Now(), 0
	long := time.Duration(r.Minutes * float64(time.Minute))
	h := simulation.Hunt{Rule: rule, Profile: r.profile(), Options: opt, Workers: r.Workers, Seed: r.Seed,
		Stop: func() bool {
			if r.Runs > 0 && runs >= r.Runs || time.Since(begun) >= long {
				return true
			}
			runs++
			return false
		},
		Improved: func(s *simulation.Script, o simulation.Outcome, n int) {
			fmt.Fprintf(c.Errs, "run %d, %v: %.3f of the limit; %d troubles, %d doors, %d boxes, %g a second\n", n, time.Since(begun).Round(time.Second),
				o.Nearness(rule), len(s.Events), s.Instances, s.Backends.Count, s.Rate)
		}}
	best, o, n, err := h.Run()
	if err != nil {
		return err
	}
	if best == nil {
		return fmt.Errorf("no run fits into %g minutes", r.Minutes)
	}
	if r.json() {
		out := huntResult{Runs: n, Seconds: time.Since(begun).Seconds(), Nearness: o.Nearness(rule), Script: best.Text()}
		if len(o.Findings) > 0 {
			f := o.Findings[0]
			out.Find = &simulation.Find{Seed: best.Seed, Rule: f.Rule, At: f.At, What: f.What}
		}
		return json.NewEncoder(c.Out).Encode(out)
	}
	fmt.Fprintf(c.Out, "%d runs in %v; nearest to breaking \"%s\": %.3f of the limit, %s\n", n, time.Since(begun).Round(time.Second), simulation.RuleNames()[rule],
		o.Nearness(rule), o.Verdict.Rules[rule].Of)
	what, holds := fmt.Sprintf("Comes to %.3f of the limit of \"%s\".", o.Nearness(rule), simulation.RuleNames()[rule]), func(x simulation.Outcome) bool {
		return len(x.Findings) == 0 && x.Nearness(rule) >= keptNearness*o.Nearness(rule)
	}
	if len(o.Findings) > 0 {
		f := o.Findings[0]
		what, holds = fmt.Sprintf("Breaks \"%s\": %s", f.Rule, f.What), simulation.Breaks(f.Rule)
		fmt.Fprintln(c.Out, what)
	}
	if r.Shrink > 0 {
		best = simulation.Shrink(best, opt, holds, r.Shrink, nil)
	}
	text := "# " + what + "\n" + best.Text()
	if r.To != "" {
		if err := os.WriteFile(r.To, []byte(text), 0o644); err != nil {
			return err
		}
	} else if _, err := io.WriteString(c.Out, text); err != nil {
		return err
	}
	if len(o.Findings) > 0 {
		return fmt.Errorf("%s", o.Findings[0].Rule)
	}
	return nil
}

const keptNearness = 0.9 // of its nearness that a script keeps when it is made smaller

// printNearness shows for each rule how many runs came how near to its limit.
func printNearness(out io.Writer, o simulation.SweepResult) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\nshare of the limit\t")
	names := simulation.RuleNames()
	for _, n := range names {
		fmt.Fprintf(w, "%s\t", n)
	}
	fmt.Fprintln(w)
	bins := len(o.Nearness[0])
	for b := range bins {
		row := make([]int, len(names))
		for k := range names {
			row[k] = o.Nearness[k][b]
		}
		if slices.Max(row) == 0 {
			continue
		}
		switch b {
		case 0:
			fmt.Fprint(w, "no case\t")
		case bins - 1:
			fmt.Fprint(w, "the limit or more\t")
		default:
			fmt.Fprintf(w, "%.2f to %.2f\t", float64(b-1)/float64(bins-2), float64(b)/float64(bins-2))
		}
		for _, n := range row {
			fmt.Fprintf(w, "%d\t", n)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

// pairedDifference is the mean of paired differences, and how large it is beside what chance makes of it (its standard error).
func pairedDifference(a, b []float64) (mean, units float64) {
	n := float64(len(a))
	if n < 2 {
		return 0, 0
	}
	for i := range a {
		mean += (b[i] - a[i]) / n
	}
	sum := 0.0
	for i := range a {
		d := b[i] - a[i] - mean
		sum += d * d
	}
	if sum == 0 {
		return mean, 0
	}
	return mean, mean / math.Sqrt(sum/(n-1)/n)
}
