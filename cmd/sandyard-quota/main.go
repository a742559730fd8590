// Command sandyard-quota prints the used and the remaining quota of a customer, from a running instance or from a trace.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Quota(os.Args[1:], os.Stdout, os.Stderr)) }
