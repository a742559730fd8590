// Command sandyard-quota tells how a studio stands with its quota, from a running front door or from a trace.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Quota(os.Args[1:], os.Stdout, os.Stderr)) }
