// Command sandyard-sim simulates whole deployments in virtual time, under faults that are generated from a seed.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Sim(os.Args[1:], os.Stdout, os.Stderr)) }
