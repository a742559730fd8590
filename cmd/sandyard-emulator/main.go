// Command sandyard-emulator runs emulated backends and an emulated counter to try a proxy instance against, with faults
// that are set while they run.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Emulator(os.Args[1:], os.Stdout, os.Stderr)) }
