// Command sandyard-routes prints the operation, class and cost that an instance determines for a request.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Routes(os.Args[1:], os.Stdout, os.Stderr)) }
