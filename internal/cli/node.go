package cli

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"sandyard/internal/platform"
	"sandyard/internal/server"
)

// node is the command "sandyard node".
type node struct {
	Config string `env:"NODE_CONFIG" required:"" type:"path" help:"The platform's configuration." placeholder:"FILE"`
}

// Run runs one instance on the platform until SIGTERM or SIGINT. On SIGHUP it reads the configuration again and switches to
// its addresses of discovery and of the counter.
func (k node) Run(c *Console) error {
	reloads := make(chan os.Signal, 1)     // capacity 1: signals that arrive during a reload cause one more reload
	signal.Notify(reloads, syscall.SIGHUP) // never reset: a SIGHUP during the shutdown must not kill the process
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := k.read()
	if err != nil {
		return err
	}
	applyMachineLimits(settings.Limits)
	log := slog.New(slog.NewTextHandler(c.Errs, nil))
	instance, err := server.Listen(settings.Config, settings.Listen, server.Options{Log: log, Seed: settings.Seed,
		Protocol: settings, DiscoveryAddress: settings.Discovery, EndpointsVersion: settings.CachedEndpoints.Version})
	if err != nil {
		return err
	}
	log.Info("listening", "addr", instance.Addr().String(), "name", settings.Name, "cores", settings.Limits.Cores,
		"memory_mb", settings.Limits.MemoryMB, "sockets", settings.Limits.Sockets, "seq", settings.CachedEndpoints.Version,
		"boxes", len(settings.CachedEndpoints.Endpoints))
	done := make(chan struct{})
	defer close(done)
	go k.reloadAtSignal(reloads, done, instance, log)
	return instance.Serve(ctx)
}

// applyMachineLimits sets GOMAXPROCS and the runtime's memory limit. A limit of 0 leaves the runtime's setting unchanged.
func applyMachineLimits(limits platform.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	}
	if memory := limits.RuntimeMemory(); memory > 0 {
		debug.SetMemoryLimit(memory)
	}
}

// reloadAtSignal reads the configuration on each signal until done is closed. The caller does not wait for it to return: a
// reload that is in progress at that time has no effect. If the file can't be read, the addresses stay unchanged.
func (k node) reloadAtSignal(reloads <-chan os.Signal, done <-chan struct{}, instance *server.Server, log *slog.Logger) {
	for {
		select {
		case <-done:
			return
		case <-reloads:
		}
		settings, err := k.read()
		if err != nil {
			log.Error("reload: the last configuration stays in force", "error", err)
			continue
		}
		counter := settings.Config.Counter.Address // empty if the settings allow no counter
		log.Info("reload", "discovery", settings.Discovery, "counter", counter)
		instance.SetAddresses(settings.Discovery, counter)
	}
}

// read reads and validates the platform's configuration. Its errors name the file and the field.
func (k node) read() (*platform.Node, error) {
	text, err := os.ReadFile(k.Config)
	if err != nil {
		return nil, err
	}
	settings, err := platform.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Config, err)
	}
	return settings, nil
}
