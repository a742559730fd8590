// Command sandyard-routes tells what a front door makes of requests.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Routes(os.Args[1:], os.Stdout, os.Stderr)) }
