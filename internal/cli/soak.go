package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/signal"
	"sync"
	"syscall"

	"golang.org/x/sync/errgroup"

	"sandyard/internal/soak"
)

// errInconclusive is the error of a soak in which runs could not be carried out, or could not be judged because the machine
// delayed them.
var errInconclusive = errors.New("not played")

// soakArgs is the command "sandyard-drill soak".
type soakArgs struct {
	Seeds    string `default:"1-20" help:"Seeds, as FROM-TO."`
	Workers  int    `default:"1" help:"Runs side by side."`
	Scenario string `help:"Scenario of the plans; an unknown one lists them all." placeholder:"NAME"`
	Keep     string `type:"path" help:"Keep the instances' logs and files in this folder." placeholder:"DIR"`
	output
}

// soakTotals counts the results of the runs so far.
type soakTotals struct {
	// runs counts the runs that ended without an error, and violating those of them that broke a rule. inconclusive counts the
	// other runs that could not be judged, and those that ended with an error, which runs does not count.
	runs, violating, inconclusive int
	// reachedRace counts the runs in which an attempt began, during a shutdown, more than the drain grace after a departure
	// (Exposure.ReachedRace).
	reachedRace int
}

// add counts a run.
func (t *soakTotals) add(report soak.Report) {
	t.runs++
	if report.Exposure.ReachedRace {
		t.reachedRace++
	}
	if len(report.Violations) > 0 {
		t.violating++
	} else if len(report.Unjudged) > 0 {
		t.inconclusive++
	}
}

// err returns the command's error: violations take precedence over inconclusive runs.
func (t *soakTotals) err() error {
	switch {
	case t.violating > 0:
		return fmt.Errorf("%d seeds broke a rule", t.violating)
	case t.inconclusive > 0:
		return fmt.Errorf("%w: %d seeds", errInconclusive, t.inconclusive)
	}
	return nil
}

// Run runs the seeds and prints a line for each when its run ends.
func (a soakArgs) Run(c *Console) error {
	first, last, err := parseSeeds(a.Seeds)
	if err != nil {
		return err
	}
	if _, err := soak.DrawScenario(first, soak.Scenario(a.Scenario)); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var totals soakTotals
	var mu sync.Mutex // guards totals and the output
	runs, ctx := errgroup.WithContext(ctx)
	runs.SetLimit(max(1, a.Workers))
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		runs.Go(func() error {
			report, err := soak.Run(ctx, seed, soak.Options{Command: childCommand, LogDir: a.Keep, Scenario: soak.Scenario(a.Scenario)})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				totals.inconclusive++
				_, err = fmt.Fprintln(c.Errs, err)
				return err
			}
			totals.add(report)
			return a.print(c, report)
		})
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	if !a.json() {
		fmt.Fprintf(c.Out, "%d seeds played, %d broke a rule, %d could not be played or judged; %d of the played met the crossing\n",
			totals.runs, totals.violating, totals.inconclusive, totals.reachedRace)
	}
	return totals.err()
}

// print prints the line of a run.
func (a soakArgs) print(c *Console, report soak.Report) error {
	if a.json() {
		return json.NewEncoder(c.Out).Encode(report)
	}
	report.Print(c.Out)
	return nil
}
