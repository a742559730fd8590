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

// heapShareOfMemoryLimit is the share of limits.memory_mb that the collector keeps the heap below; stacks, code and the
// kernel's part come besides.
const heapShareOfMemoryLimit = 0.7

// node is "sandyard node".
type node struct {
	Config string `env:"NODE_CONFIG" required:"" type:"path" help:"The platform's configuration." placeholder:"FILE"`
}

// Run runs one instance on the platform, until SIGTERM or SIGINT. At SIGHUP it reads the configuration again and goes on
// with its addresses of discovery and counter.
func (k node) Run(c *Console) error {
	reloads := make(chan os.Signal, 1)     // buffered, capacity 1: signals that come during a reload ask for one more
	signal.Notify(reloads, syscall.SIGHUP) // to the end: one that comes during the shutdown must not kill the process
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

// applyMachineLimits bounds the processors that are used and the memory of the heap; 0 leaves them as they are.
func applyMachineLimits(limits platform.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShareOfMemoryLimit * float64(limits.MemoryMB<<20)))
	}
}

// reloadAtSignal reads the configuration at each signal until done is closed. Nobody waits for its end: a reload that is
// under way then changes nothing any more. A file that can't be read leaves all as it was.
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
		counter := settings.Config.Counter.Address // none where the settings allow none
		log.Info("reload", "discovery", settings.Discovery, "counter", counter)
		instance.SetAddresses(settings.Discovery, counter)
	}
}

// read reads and checks the platform's configuration; its errors name the file and the field.
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
