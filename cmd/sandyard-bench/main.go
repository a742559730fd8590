// Command sandyard-bench measures a front door beside proxies without decisions, in one run.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Bench(os.Args[1:], os.Stdout, os.Stderr)) }
