package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"sandyard/internal/mutation"
)

// verdict returns a description of the search's result: the failure, the cost, or the rules that the mutation broke.
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

// summary returns the line that is printed when a search ends.
func (s searchResult) summary() string {
	return fmt.Sprintf("%s: %s; runs %v, %.0f s", s.Name, s.verdict(), s.Seeds, slices.Max(append(s.Seconds, 0)))
}

// printSearchResults prints a table of the searches and how many of the detectable mutations were found.
func printSearchResults(out io.Writer, all []searchResult) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "taken away\tguards\tsearches that found it\tof them by breeding\tby\truns, mean\tworst\tseconds of a core, mean")
	found, detectable := 0, 0
	for _, s := range all {
		sum, worst, took := uint64(0), uint64(0), 0.0
		for i, n := range s.Seeds {
			sum, worst, took = sum+n, max(worst, n), took+s.Seconds[i]
		}
		n := float64(max(1, len(s.Seeds)))
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%s\t%.0f\t%d\t%.0f\n", s.Name, s.Guards, len(s.Found), len(s.Seeds), s.Evolved, s.verdict(), float64(sum)/n, worst, took/n)
		if s.Rule != mutation.CostOnly {
			detectable++
			if len(s.Found) > 0 {
				found++
			}
		}
	}
	fmt.Fprintf(w, "\nof %d that a rule can see, %d were found\n", detectable, found)
	return w.Flush()
}
