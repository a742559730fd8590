package config

import (
	"time"

	"sandyard/internal/strictyaml"
)

// defaults returns the settings for an empty gateway.yaml.
func defaults() File {
	return File{
		Listen:   "127.0.0.1:8080",
		Instance: InstanceSettings{Total: 1},
		Headers:  HeaderSettings{Key: "X-Api-Key", Timeout: "X-Patience", Retry: "X-Retry", Units: "X-Units"},
		Attempts: AttemptSettings{Max: 2, Cancel: true},
		Backends: BackendSettings{
			DrainGrace: strictyaml.Duration(2 * time.Second),
			SlowStart:  SlowStartSettings{Share: 1},
		},
		Load:       LoadSettings{Via: "none"},
		Probes:     ProbeSettings{Path: "/load"},
		RetryAfter: RetryAfterSettings{Max: strictyaml.Duration(2 * time.Second)},
		Counter:    CounterSettings{Timeout: strictyaml.Duration(50 * time.Millisecond), MaxPending: 4096},
		Units:      UnitSettings{Max: 1},
		Log:        LogSettings{Format: "json", Level: "info"},
		Trace:      TraceSettings{Mode: "off", Share: 0.05, FileSize: 64 << 20, MaxTotalSize: 1 << 30, Buffer: 1 << 16},
		Limits:     defaultLimits(),
	}
}

func defaultLimits() Limits {
	return Limits{
		Connections:     10000,
		BackendConns:    8192,
		ConnsPerBackend: 256,
		Queue:           8192,

		Memory:       256 << 20,
		Body:         1 << 20,
		Head:         32 << 10,
		Fields:       128,
		HoldResponse: 64 << 10,

		FirstTimeout: strictyaml.Duration(75 * time.Second),
		HeadTimeout:  strictyaml.Duration(10 * time.Second),
		BodyTimeout:  strictyaml.Duration(30 * time.Second),
		WriteTimeout: strictyaml.Duration(15 * time.Second),
		IdleTimeout:  strictyaml.Duration(75 * time.Second),

		ConnectTimeout:     strictyaml.Duration(250 * time.Millisecond),
		BackendIdleTimeout: strictyaml.Duration(15 * time.Second),
		NonIdempotentIdle:  strictyaml.Duration(time.Second),
		ResponseMargin:     strictyaml.Duration(20 * time.Millisecond),
		StreamIdleTimeout:  strictyaml.Duration(30 * time.Second),
		ShutdownTimeout:    strictyaml.Duration(30 * time.Second),
	}
}
