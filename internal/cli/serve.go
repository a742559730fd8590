package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os/signal"
	"syscall"
	"time"

	"sandyard/config"
	"sandyard/emulator"
	"sandyard/internal/server"
)

// serve is the command "sandyard serve".
type serve struct {
	Config       string        `required:"" type:"path" help:"The gateway.yaml to serve." placeholder:"FILE"`
	Listen       string        `help:"Address to listen on, instead of the configured one." placeholder:"ADDR"`
	Emulate      bool          `name:"with-stand-ins" help:"Start stand-ins for the keeper and the listed boxes in this process."`
	EmulatedWork time.Duration `name:"stand-in-work" default:"20ms" help:"Mean work of a request at a stand-in box."`
	Seed         uint64        `help:"Seed of the decisions; drawn if absent."`
}

// Run serves until SIGTERM or SIGINT, and then until the requests in flight are answered or the shutdown timeout expires.
func (s serve) Run(c *Console) error {
	cfg, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	log := logger(c.Errs, cfg)
	options := server.Options{Log: log, Seed: s.Seed}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	if s.Listen != "" {
		cfg.Listen = s.Listen
	}
	if s.Emulate {
		addresses, stop, err := startEmulators(cfg, s.EmulatedWork, log)
		if err != nil {
			return err
		}
		defer stop()
		options.BackendAddresses = addresses
	}
	instance, err := server.Listen(cfg, cfg.Listen, options)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("listening", "addr", instance.Addr().String(), "door", cfg.Instance.Number, "of", cfg.Instance.Total, "seed", options.Seed)
	return instance.Serve(ctx)
}

// logger returns a logger that writes to w with the configured level and format: text, or else JSON.
func logger(w io.Writer, cfg *config.Config) *slog.Logger {
	var level slog.Level
	level.UnmarshalText([]byte(cfg.Log.Level)) // valid: config.Load checks it
	opt := &slog.HandlerOptions{Level: level}
	if cfg.Log.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opt))
	}
	return slog.New(slog.NewJSONHandler(w, opt))
}

// anyAddress is a listen address on the loopback interface with a port that the system chooses.
const anyAddress = "127.0.0.1:0"

// startEmulators starts an emulated counter, if the configuration has one, and emulates the listed backends. Each listens on
// its configured address, or on anyAddress if that address is in use. The counter's address is written to cfg.
// startEmulators returns the addresses of the backends by name, and a function that stops all emulators.
func startEmulators(cfg *config.Config, work time.Duration, log *slog.Logger) (map[string]string, func(), error) {
	var running []interface{ Close() }
	stop := func() {
		for _, emulated := range running {
			emulated.Close()
		}
	}
	if cfg.Counter.Address != "" {
		counter, err := startEmulatedCounter(cfg.Counter.Address)
		if err != nil {
			return nil, nil, fmt.Errorf("emulated counter: %w", err)
		}
		running = append(running, counter)
		cfg.Counter.Address = counter.Addr()
		log.Info("stand-in keeper", "addr", counter.Addr())
	}
	addresses := map[string]string{}
	for i, endpoint := range cfg.Endpoints {
		backend, err := startEmulatedBackend(endpoint.Address,
			emulator.BackendConfig{Name: endpoint.Name, Work: work, WorkVariation: 1, Seed: uint64(i)})
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("emulated backend %s: %w", endpoint.Name, err)
		}
		running = append(running, backend)
		addresses[endpoint.Name] = backend.Addr()
		log.Info("stand-in box", "name", endpoint.Name, "addr", backend.Addr())
	}
	return addresses, stop, nil
}

// startEmulatedCounter starts an emulated counter at an address (host:port), or at anyAddress if that address is in use.
func startEmulatedCounter(addr string) (*server.EmulatedCounter, error) {
	counter, err := server.StartCounter(addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return server.StartCounter(anyAddress)
	}
	return counter, err
}

// startEmulatedBackend starts an emulated backend at an address (host:port), or at anyAddress if that address is in use.
func startEmulatedBackend(addr string, cfg emulator.BackendConfig) (*server.EmulatedBackend, error) {
	backend, err := server.StartBackend(addr, cfg, nil)
	if errors.Is(err, syscall.EADDRINUSE) {
		return server.StartBackend(anyAddress, cfg, nil)
	}
	return backend, err
}
