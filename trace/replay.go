package trace

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"time"

	"sandyard/decision"
)

// Errors of traces that can't be replayed.
var (
	ErrSampled     = errors.New("trace: a sampled trace can't be replayed: each decision depends on all requests")
	ErrNoFirstStep = errors.New("trace: an event before the gateway's first step")
)

// Replay passes recorded events to this program's gateway and compares the actions of each step with the recorded ones. It
// must not be used by several goroutines at once.
type Replay struct {
	Steps             uint64        `json:"steps"`
	Differences       uint64        `json:"differ"`      // number of steps and states that differ
	FirstDifference   string        `json:"first"`       // description of the first difference; "" if there is none
	FirstDifferenceAt time.Duration `json:"first_at_ns"` // time of the first difference
	Dropped           uint64        `json:"dropped"`     // number of steps that are missing from the trace
	Uncertain         uint64        `json:"uncertain"`   // number of steps that differ between missing steps and the next recorded state: the missing steps may be the cause
	Skipped           uint64        `json:"skipped"`     // number of steps before the first state, if the trace does not begin with part 0
	States            uint64        `json:"states"`      // number of recorded states that were compared or restored

	gateway  *decision.Gateway
	afterGap bool // steps are missing after the last state
}

// NewReplay returns a Replay that begins with the first step of the recorded gateway or, in a part other than 0, with the
// first recorded state. The error is ErrSampled.
func NewReplay(h Header) (*Replay, error) {
	if h.Share < 1 {
		return nil, ErrSampled
	}
	return &Replay{}, nil
}

// Step processes the next record. Differences are counted and are not errors; after an error the replay can't continue.
func (r *Replay) Step(h Header, record Record) error {
	if record.Dropped > 0 {
		r.Dropped += record.Dropped
		r.afterGap = true
	}
	if record.Snapshot != nil {
		return r.compareState(h, record)
	}
	if record.Initial {
		gateway, first, err := decision.New(h.Settings, h.Seed, h.StartedAt)
		if err != nil {
			return err
		}
		r.gateway = gateway
		r.compareStep(record, first)
		return nil
	}
	event := record.Event.Unwrap()
	switch {
	case event == nil: // a record of dropped records or of a backend's name
		return nil
	case r.gateway == nil && h.Part == 0:
		return ErrNoFirstStep
	case r.gateway == nil:
		r.Skipped++
		return nil
	}
	r.compareStep(record, r.gateway.Handle(event, record.At))
	return nil
}

// compareStep compares the actions of a step with the recorded ones.
func (r *Replay) compareStep(record Record, actions []decision.Action) {
	r.Steps++
	difference, same := compare(record.Actions, actions)
	if same {
		return
	}
	if r.afterGap {
		r.Uncertain++
	}
	r.addDifference(fmt.Sprintf("%T: %s", record.Event.Unwrap(), difference), record.At)
}

// addDifference counts a difference, and keeps the first one.
func (r *Replay) addDifference(text string, at time.Duration) {
	r.Differences++
	if r.FirstDifference == "" {
		r.FirstDifference, r.FirstDifferenceAt = text, at
	}
}

// compareState compares a recorded state with the gateway's. After missing steps, or at the start of a part other than 0, it
// restores the recorded state instead.
func (r *Replay) compareState(h Header, record Record) error {
	r.States++
	if r.gateway == nil || r.afterGap {
		gateway, err := decision.Restore(h.Settings, *record.Snapshot)
		if err != nil {
			return err
		}
		r.gateway, r.afterGap = gateway, false
		return nil
	}
	own, err := r.gateway.Snapshot()
	if err != nil {
		return err
	}
	if !bytes.Equal(encoded(own), encoded(*record.Snapshot)) {
		r.addDifference("the gateway's state differs from the recorded one", record.At)
	}
	return nil
}

// encoded returns the stored form of a state.
func encoded(s decision.State) []byte {
	b, err := codec.enc.Marshal(s)
	if err != nil {
		panic(err) // every field of a state can be encoded
	}
	return b
}

// compare returns a description of the first difference between recorded and current actions, and whether they are the same.
func compare(recorded []Action, got []decision.Action) (string, bool) {
	for i := range max(len(recorded), len(got)) {
		switch {
		case i >= len(recorded):
			return fmt.Sprintf("action %d: now %T%+v, recorded none", i+1, got[i], got[i]), false
		case i >= len(got):
			was := recorded[i].Unwrap()
			return fmt.Sprintf("action %d: recorded %T%+v, now none", i+1, was, was), false
		}
		if was := recorded[i].Unwrap(); !equal(was, got[i]) {
			return fmt.Sprintf("action %d: recorded %T%+v, now %T%+v", i+1, was, was, got[i], got[i]), false
		}
	}
	return "", true
}

// equal reports whether two actions are the same. Two NaN amounts count as the same.
func equal(a, b decision.Action) bool {
	if x, ok := a.(decision.AddToCounter); ok {
		if y, ok := b.(decision.AddToCounter); ok && math.IsNaN(x.Amount) && math.IsNaN(y.Amount) {
			x.Amount, y.Amount = 0, 0
			return x == y
		}
	}
	return reflect.DeepEqual(a, b)
}

// Gateway returns the gateway in its current state, or nil before the first step or state. The caller must not pass events to
// it.
func (r *Replay) Gateway() *decision.Gateway { return r.gateway }
