// Command sandyard-bench measures a proxy instance beside proxies that decide nothing, in one run.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Bench(os.Args[1:], os.Stdout, os.Stderr)) }
