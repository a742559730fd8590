// Command sandyard-emulator runs peers to try a front door against: boxes and a tally keeper, with faults that are
// set while they run.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Emulator(os.Args[1:], os.Stdout, os.Stderr)) }
