// Command sandyard is the gateway: one front door, the check of its configuration, and its version.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Gateway(os.Args[1:], os.Stdout, os.Stderr)) }
