// Command sandyard-standin runs peers to try a front door against: boxes and a tally keeper, with faults that are
// set while they run.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.StandIn(os.Args[1:], os.Stdout, os.Stderr)) }
