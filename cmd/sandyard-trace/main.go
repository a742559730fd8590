// Command sandyard-trace reads, explains and replays the decisions that proxy instances recorded.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Trace(os.Args[1:], os.Stdout, os.Stderr)) }
