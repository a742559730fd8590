// Package cli is the programs' command lines.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"sandyard/config"
	"sandyard/coreid"
	"sandyard/emulator"
	"sandyard/internal/diagnostic"
	"sandyard/internal/server"
)

// Exit statuses of all programs.
const (
	Fine    = 0
	Failure = 1 // the work was done and its outcome is bad, or it could not be done
	Usage   = 2 // the command line or a file is wrong
)

// program runs a command line: it parses, runs and turns what comes of it into an exit status.
func program(name, about string, grammar any, args []string, out, errs io.Writer, bind ...any) int {
	status := -1
	k, err := kong.New(grammar, kong.Name(name), kong.Description(about), kong.Writers(out, errs), kong.Bind(bind...),
		kong.Exit(func(code int) { status = code }), kong.UsageOnError(),
		kong.DynamicCommand("completion", "Print what makes a shell complete this program's command line.", "", &completion{}))
	if err != nil {
		fmt.Fprintln(errs, name+":", err)
		return Usage
	}
	if kongplete.Complete(k, kongplete.WithExitFunc(func(code int) { status = code })); status >= 0 {
		return status
	}
	ctx, err := k.Parse(args)
	if status >= 0 { // --help
		return status
	}
	if err != nil {
		fmt.Fprintln(errs, name+":", err)
		return Usage
	}
	switch err := ctx.Run(); {
	case err == nil:
		return Fine
	case errors.As(err, &coreid.Mismatch{}):
		fmt.Fprintln(errs, name+":", err)
		return OtherCore
	case errors.As(err, &diagnostic.Problems{}):
		fmt.Fprintln(errs, err)
		return Usage
	default:
		fmt.Fprintln(errs, name+":", err)
		return Failure
	}
}

// Console is where a program prints.
type Console struct{ Out, Errs io.Writer }

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

type version struct{}

func (version) Run(c *Console) error {
	v, goes := "(devel)", "?"
	if info, ok := debug.ReadBuildInfo(); ok {
		v, goes = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.Out, "sandyard %s %s\ncore %s\n", v, goes, coreid.Core())
	return err
}

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

type serve struct {
	Config       string        `required:"" type:"path" help:"The gateway.yaml to serve." placeholder:"FILE"`
	Listen       string        `help:"Address to listen on, instead of the configured one." placeholder:"ADDR"`
	WithStandIns bool          `help:"Start stand-ins for the keeper and the listed boxes in this process."`
	StandInWork  time.Duration `default:"20ms" help:"Mean work of a request at a stand-in box."`
	Seed         uint64        `help:"Seed of the decisions; drawn if absent."`
}

func (s serve) Run(c *Console) error {
	cfg, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	log := logger(c.Errs, cfg)
	opt := server.Options{Log: log}
	if s.Listen != "" {
		cfg.Listen = s.Listen
	}
	if s.WithStandIns {
		at, stop, err := startStandIns(cfg, s.StandInWork, log)
		if err != nil {
			return err
		}
		defer stop()
		opt.Addresses = at
	}
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	opt.Seed = s.Seed
	server, err := server.Listen(cfg, cfg.Listen, opt)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("listening", "addr", server.Addr().String(), "door", cfg.Instance.Number, "of", cfg.Instance.Total, "seed", s.Seed)
	return server.Serve(ctx)
}

func logger(w io.Writer, cfg *config.Config) *slog.Logger {
	var level slog.Level
	level.UnmarshalText([]byte(cfg.Log.Level)) // checked with the configuration
	opt := &slog.HandlerOptions{Level: level}
	if cfg.Log.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opt))
	}
	return slog.New(slog.NewJSONHandler(w, opt))
}

// startStandIns starts a keeper and the listed boxes at the addresses that the configuration gives them, or at others
// of this machine where those are taken. It returns the addresses of the boxes by name.
func startStandIns(cfg *config.Config, work time.Duration, log *slog.Logger) (map[string]string, func(), error) {
	const any = "127.0.0.1:0"
	at := map[string]string{}
	var stops []func()
	stop := func() {
		for _, f := range stops {
			f()
		}
	}
	if addr := cfg.Counter.Address; addr != "" {
		k, err := server.StartCounter(addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			k, err = server.StartCounter(any)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("stand-in keeper: %w", err)
		}
		stops = append(stops, k.Close)
		cfg.Counter.Address = k.Addr()
		log.Info("stand-in keeper", "addr", k.Addr())
	}
	for i, b := range cfg.Endpoints {
		like := emulator.BackendConfig{Name: b.Name, Work: work, WorkVariation: 1, Seed: uint64(i)}
		box, err := server.StartBackend(b.Address, like, nil)
		if errors.Is(err, syscall.EADDRINUSE) {
			box, err = server.StartBackend(any, like, nil)
		}
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("stand-in box %s: %w", b.Name, err)
		}
		stops = append(stops, box.Close)
		at[b.Name] = box.Addr()
		log.Info("stand-in box", "name", b.Name, "addr", box.Addr())
	}
	return at, stop, nil
}
