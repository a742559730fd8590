package emulator

import "time"

// Defaults of a BackendConfig.
const (
	defaultCores    = 2                // so that requests run in parallel and still queue
	defaultQueue    = 24               // requests: twelve times defaultCores
	defaultKeyTTL   = 10 * time.Second // at least as long as clients retry
	defaultBodySize = 64               // bytes: small compared with a head
)

// BackendConfig describes an emulated backend. The zero value of a field stands for its default.
type BackendConfig struct {
	Name           string
	Cores          int           // requests in progress at a time; 2
	Queue          int           // requests that wait for a core; further ones get 503 at once; 24
	Work           time.Duration // mean work of a request on a core at full speed; 0 responds at once
	WorkVariation  float64       // coefficient of variation of the work; 0: none
	SlowStartShare float64       // speed at the start, as a share of the full speed; 1
	SlowStartTime  time.Duration // time until full speed; 0: full speed at once
	OverloadFactor float64       // the backend collapses when sent this multiple of its capacity within OverloadTime; 0: never
	OverloadTime   time.Duration
	KeyTTL         time.Duration // how long repeats of an idempotency key are discarded; 10 s
	BodySize       int           // size of a response body (bytes); 64
	Seed           uint64
}

func (c BackendConfig) withDefaults() BackendConfig {
	if c.Cores <= 0 {
		c.Cores = defaultCores
	}
	if c.Queue <= 0 {
		c.Queue = defaultQueue
	}
	if !(c.SlowStartShare > 0) || c.SlowStartShare > 1 {
		c.SlowStartShare = 1
	}
	if c.KeyTTL <= 0 {
		c.KeyTTL = defaultKeyTTL
	}
	if c.BodySize <= 0 {
		c.BodySize = defaultBodySize
	}
	return c
}
