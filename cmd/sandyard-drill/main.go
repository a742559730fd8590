// Command sandyard-drill plays a bad day on real sockets and checks the five rules.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Drill(os.Args[1:], os.Stdout, os.Stderr)) }
