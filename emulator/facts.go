package emulator

import "time"

// Fact is something that happened at a backend, for those who check the rules.
type Fact struct {
	At      time.Duration
	Backend string
	Kind    FactKind
	ID      string // of the request
	Key     string // its idempotency key; "" for none
}

// FactKind says what a Fact is. Its values are written to the records of emulated backends.
type FactKind string

// The kinds of facts.
const (
	RequestReceived  FactKind = "received" // a request has arrived whole
	RequestExecuted  FactKind = "ran"      // its effect took place
	RepeatDiscarded  FactKind = "repeated" // it repeats an idempotency key and has no effect
	BackendCollapsed FactKind = "fell"     // the backend collapsed under load with it
)

func (b *Backend) emit(now time.Duration, k FactKind, j *Job) {
	if b.Facts != nil {
		b.Facts(Fact{At: now, Backend: b.config.Name, Kind: k, ID: j.ID, Key: j.Key})
	}
}
