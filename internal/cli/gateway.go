package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"sandyard/config"
	"sandyard/coreid"
)

// Gateway runs the sandyard program.
func Gateway(args []string, out, errs io.Writer) int {
	var g struct {
		Serve   serve   `cmd:"" help:"Run one front door."`
		Node    node    `cmd:"" help:"Run one front door on the operators' platform."`
		Check   check   `cmd:"" help:"Check a configuration and all files it names."`
		Version version `cmd:"" help:"Print the version."`
	}
	return program("sandyard", "A gateway that keeps customers to their plans across a fleet.", &g, args, out, errs,
		&Console{out, errs})
}

// version is the command "version" of several programs.
type version struct{}

func (version) Run(c *Console) error {
	revision, goVersion := "(devel)", "?"
	if info, ok := debug.ReadBuildInfo(); ok {
		revision, goVersion = info.Main.Version, info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.Out, "sandyard %s %s\ncore %s\n", revision, goVersion, coreid.Core())
	return err
}

// check is the command "sandyard check".
type check struct {
	Config string `required:"" type:"path" help:"The gateway.yaml to check." placeholder:"FILE"`
}

func (k check) Run(c *Console) error {
	cfg, err := config.Load(k.Config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Out, "%s: good: %d operations in %d classes, %d plans, %d studios, %d boxes\n", k.Config,
		len(cfg.Routes.Operations), len(cfg.Settings.Classes), len(cfg.Plans), len(cfg.Customers), len(cfg.Endpoints))
	return err
}
