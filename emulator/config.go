package emulator

import "time"

// Defaults of a BackendConfig.
const (
	defaultCores    = 2                // so that requests run side by side and still queue
	defaultQueue    = 24               // requests: twelve times what works at once
	defaultKeyTTL   = 10 * time.Second // as long as clients retry, at the least
	defaultBodySize = 64               // bytes: small beside a head
)

// BackendConfig describes an emulated backend. The zero value of a field stands for its default.
type BackendConfig struct {
	Name           string
	Cores          int           // that work at once; 2
	Queue          int           // requests that wait beside those in work; beyond them 503 at once; 24
	Work           time.Duration // mean work of a request on a warm core; 0 responds at once
	WorkVariation  float64       // coefficient of variation of the work; 0: none
	SlowStartShare float64       // speed at the start, as a share of the warm one; 1
	SlowStartTime  time.Duration // until it is warm; 0: it is warm at once
	OverloadFactor float64       // it collapses when sent this multiple of its capacity within OverloadTime; 0: never
	OverloadTime   time.Duration
	KeyTTL         time.Duration // for which repeats of an idempotency key are discarded; 10 s
	BodySize       int           // bytes of a response's body; 64
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
