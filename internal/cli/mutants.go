package cli

import (
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

	"sandyard/internal/mutation"
	"sandyard/internal/simulation"
)

// simMutants is the command "sandyard-sim mutants".
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

func (r simMutants) Run(c *Console) error {
	selected, err := r.selected()
	if err != nil {
		return err
	}
	if r.List {
		return listMutations(c.Out, selected)
	}
	if r.Workers <= 0 {
		r.Workers = runtime.GOMAXPROCS(0)
	}
	dir, err := os.MkdirTemp("", "sandyard-mutants-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	unmutated := filepath.Join(dir, "whole")
	if err := r.build(unmutated, ""); err != nil {
		return err
	}
	switch {
	case r.Scripts:
		return r.runScripts(c, dir, unmutated, selected)
	case r.CostScriptSeeds > 0:
		return r.runCostScripts(c, dir, unmutated, selected)
	}
	results, err := r.searchAll(c, dir, unmutated, selected)
	if err != nil {
		return err
	}
	if r.json() {
		err = printJSON(c.Out, results)
	} else {
		err = printSearchResults(c.Out, results)
	}
	if failed := searchFailure(results); failed != nil {
		return failed
	}
	return err
}

// selected returns the mutations that the flags select.
func (r simMutants) selected() ([]mutation.Mutation, error) {
	all, err := mutation.List()
	if err != nil {
		return nil, err
	}
	for _, name := range r.Only {
		if !slices.ContainsFunc(all, func(m mutation.Mutation) bool { return m.Name == name }) {
			return nil, fmt.Errorf("--only %s: no such mistake; --list names them", name)
		}
	}
	return slices.DeleteFunc(all, func(m mutation.Mutation) bool {
		return len(r.Only) > 0 && !slices.Contains(r.Only, m.Name) || r.Scripts && m.Script == "" || r.CostScriptSeeds > 0 && m.CostScript == ""
	}), nil
}

func listMutations(out io.Writer, all []mutation.Mutation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, m.Rule, m.Guards)
	}
	return w.Flush()
}

// searchAll searches for the mutations in r.Workers goroutines and prints a line when each search ends.
func (r simMutants) searchAll(c *Console, dir, unmutated string, all []mutation.Mutation) ([]searchResult, error) {
	var base simulation.SweepResult // of the unmutated source, for the comparison of costs
	if slices.ContainsFunc(all, func(m mutation.Mutation) bool { return m.Rule == mutation.CostOnly }) {
		var err error
		if base, err = r.sweep(unmutated, r.First, r.CostSeeds, r.Workers, true, ""); err != nil {
			return nil, err
		}
	}
	results := make([]searchResult, len(all))
	work := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range r.Workers {
		wg.Go(func() {
			for i := range work {
				results[i] = r.search(dir, all[i], base)
				mu.Lock()
				fmt.Fprintln(c.Errs, results[i].summary())
				mu.Unlock()
			}
		})
	}
	for i := range all {
		work <- i
	}
	close(work)
	wg.Wait()
	return results, nil
}

// searchFailure returns the error of the first search that failed, or else one that names the mutations that a rule can
// detect and that no search found.
func searchFailure(results []searchResult) error {
	var missed []string
	for _, s := range results {
		if s.Failure != "" {
			return fmt.Errorf("%s: %s", s.Name, s.Failure)
		}
		if s.Rule != mutation.CostOnly && len(s.Found) == 0 {
			missed = append(missed, s.Name)
		}
	}
	if len(missed) > 0 {
		return fmt.Errorf("no search found these mistakes, which a rule can detect: %s", strings.Join(missed, ", "))
	}
	return nil
}

// build builds the simulator, with the mutation of the overlay unless overlay is empty.
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

// buildMutant builds the simulator with a mutation and returns its path.
func (r simMutants) buildMutant(dir string, m mutation.Mutation) (string, error) {
	overlay, err := m.Overlay(r.Root, dir)
	if err != nil {
		return "", err
	}
	to := filepath.Join(dir, m.Name)
	return to, r.build(to, overlay)
}
