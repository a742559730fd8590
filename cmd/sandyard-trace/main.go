// Command sandyard-trace reads what front doors recorded of their decisions.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Trace(os.Args[1:], os.Stdout, os.Stderr)) }
