package cli

import (
	"encoding/json"
	"io"
)

// output is the flag that selects a command's output format: a table for people or JSON for programs.
type output struct {
	Output string `enum:"table,json" default:"table" help:"What to print: table or json."`
}

func (o output) json() bool { return o.Output == "json" }

// printJSON prints a value as indented JSON. Commands that print several values print one line of JSON for each instead.
func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
