// Command sandyard-drill runs a fleet under faults on real sockets and checks the five rules.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Drill(os.Args[1:], os.Stdout, os.Stderr)) }
