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

const heapShareOfMemoryLimit = 0.7 // of the memory limit, for the collector; stacks, code and the kernel's part come besides

type node struct {
	Config string `env:"NODE_CONFIG" required:"" type:"path" help:"The platform's configuration." placeholder:"FILE"`
}

// Run runs one front door on the platform, until SIGTERM. SIGHUP reads the configuration anew.
func (k node) Run(c *Console) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // to the end: one that comes while the front door ends must not kill it
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := k.read()
	if err != nil {
		return err
	}
	if settings.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(settings.Limits.Cores)))
	}
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShareOfMemoryLimit * float64(settings.Limits.MemoryMB<<20)))
	}
	log := slog.New(slog.NewTextHandler(c.Errs, nil))
	server, err := server.Listen(settings.Config, settings.Listen, server.Options{Log: log, Seed: settings.Seed, Protocol: settings, DiscoveryAddress: settings.Discovery, EndpointsVersion: settings.CachedEndpoints.Version})
	if err != nil {
		return err
	}
	log.Info("listening", "addr", server.Addr().String(), "name", settings.Name, "cores", settings.Limits.Cores, "memory_mb", settings.Limits.MemoryMB,
		"sockets", settings.Limits.Sockets, "seq", settings.CachedEndpoints.Version, "boxes", len(settings.CachedEndpoints.Endpoints))
	done := make(chan struct{})
	defer close(done)
	go func() { // ends with Run
		for {
			select {
			case <-done:
				return
			case <-reloads:
			}
			if reloaded, err := k.read(); err != nil {
				log.Error("reload: the last configuration stays in force", "error", err)
			} else {
				counter := reloaded.Config.Counter.Address // none where the settings allow none
				log.Info("reload", "discovery", reloaded.Discovery, "counter", counter)
				server.SetAddresses(reloaded.Discovery, counter)
			}
		}
	}()
	return server.Serve(ctx)
}

func (k node) read() (*platform.Node, error) {
	text, err := os.ReadFile(k.Config)
	if err != nil {
		return nil, err
	}
	n, err := platform.ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.Config, err)
	}
	return n, nil
}
