// Command sandyard-bench compares a proxy instance with proxies that make no decisions, in one run.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Bench(os.Args[1:], os.Stdout, os.Stderr)) }
