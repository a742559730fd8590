// Command sandyard is the gateway: it runs one proxy instance, checks its configuration and prints its version.
package main

import (
	"os"

	"sandyard/internal/cli"
)

func main() { os.Exit(cli.Gateway(os.Args[1:], os.Stdout, os.Stderr)) }
