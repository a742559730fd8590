package cli

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"sandyard/internal/simulation"
)

// printNearness prints a histogram for each rule: the number of runs by their nearness to the rule's limit.
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
