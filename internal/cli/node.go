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

const heapShare = 0.7 // of the memory limit, for the collector; stacks, code and the kernel's part come besides

type node struct {
	Config string `env:"NODE_CONFIG" required:"" type:"path" help:"The platform's configuration." placeholder:"FILE"`
}

// Run runs one front door on the platform, until SIGTERM. SIGHUP reads the configuration anew.
func (k node) Run(c *Console) error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP) // to the end: one that comes while the front door ends must not kill it
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := k.read()
	if err != nil {
		return err
	}
	if n.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(n.Limits.Cores)))
	}
	if n.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(n.Limits.MemoryMB<<20)))
	}
	log := slog.New(slog.NewTextHandler(c.Errs, nil))
	server, err := server.Listen(n.Config, n.Listen, server.Options{Log: log, Seed: n.Seed, Protocol: n, Discovery: n.Discovery, Seq: n.CachedEndpoints.Version})
	if err != nil {
		return err
	}
	log.Info("listening", "addr", server.Addr().String(), "name", n.Name, "cores", n.Limits.Cores, "memory_mb", n.Limits.MemoryMB,
		"sockets", n.Limits.Sockets, "seq", n.CachedEndpoints.Version, "boxes", len(n.CachedEndpoints.Endpoints))
	done := make(chan struct{})
	defer close(done)
	go func() { // ends with Run
		for {
			select {
			case <-done:
				return
			case <-again:
			}
			if m, err := k.read(); err != nil {
				log.Error("reload: the last configuration stays in force", "error", err)
			} else {
				counter := m.Config.Counter.Address // none where the settings allow none
				log.Info("reload", "discovery", m.Discovery, "counter", counter)
				server.Move(m.Discovery, counter)
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
