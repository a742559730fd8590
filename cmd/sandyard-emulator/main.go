// Command sandyard-emulator runs emulated backends and an emulated counter for tests of a proxy instance. Their faults can be
// set while they run.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Emulator(os.Args[1:], os.Stdout, os.Stderr)) }
