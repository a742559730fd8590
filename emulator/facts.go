package emulator

import "time"

// Event is something that happened at a backend. Invariant checks use events.
type Event struct {
	At      time.Duration
	Backend string
	Kind    EventKind
	ID      string // of the request
	Key     string // idempotency key; "" for none
}

// EventKind is the kind of an Event. Its values are written to the records of emulated backends.
type EventKind string

// The kinds of events.
const (
	RequestReceived  EventKind = "received" // a complete request has arrived
	RequestExecuted  EventKind = "ran"      // the request has taken effect
	RepeatDiscarded  EventKind = "repeated" // the request repeats an idempotency key and has no effect
	BackendCollapsed EventKind = "fell"     // the request made the backend collapse
)

func (b *Backend) emit(now time.Duration, k EventKind, j *Job) {
	if b.OnEvent != nil {
		b.OnEvent(Event{At: now, Backend: b.config.Name, Kind: k, ID: j.ID, Key: j.Key})
	}
}
