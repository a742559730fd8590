// Command sandyard-quota prints what is used and left of a customer's quota, from a running instance or from a trace.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Quota(os.Args[1:], os.Stdout, os.Stderr)) }
