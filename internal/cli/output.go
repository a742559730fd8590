package cli

import (
	"encoding/json"
	"io"
)

// output is the choice of what a command prints: a table for people or JSON for programs.
type output struct {
	Output string `enum:"table,json" default:"table" help:"What to print: table or json."`
}

func (o output) json() bool { return o.Output == "json" }

// printJSON prints a value as JSON over several lines, for commands that print one.
func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
