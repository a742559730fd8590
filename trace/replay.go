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
	ErrSampled     = errors.New("trace: a sample of the requests can't be replayed: what the module decided depends on all")
	ErrNoFirstStep = errors.New("trace: an event before the module's first step")
)

// Replay hands recorded events to this program's decisions and compares each step's actions. It belongs to one goroutine.
type Replay struct {
	Steps             uint64        `json:"steps"`
	Differences       uint64        `json:"differ"`      // steps and states that differ
	FirstDifference   string        `json:"first"`       // in words; "" if there is none
	FirstDifferenceAt time.Duration `json:"first_at_ns"` // when it was
	Dropped           uint64        `json:"dropped"`     // steps that the trace lacks
	Uncertain         uint64        `json:"uncertain"`   // differing steps behind a gap, which the gap may explain
	Skipped           uint64        `json:"skipped"`     // steps before the first state, in a series that does not begin with part 0
	States            uint64        `json:"states"`      // recorded states that were compared with, or gone on from

	gateway  *decision.Gateway
	afterGap bool // steps are missing since the last state
}

// NewReplay begins where the recorded gateway began, or in a later part at the first state that it holds. The error is
// ErrSampled.
func NewReplay(h Header) (*Replay, error) {
	if h.Share < 1 {
		return nil, ErrSampled
	}
	return &Replay{}, nil
}

// Step takes the next record. The error says that the replay can't go on; differences are counted.
func (r *Replay) Step(h Header, record Record) error {
	if record.Dropped > 0 {
		r.Dropped += record.Dropped
		r.afterGap = true
	}
	if record.Snapshot != nil {
		return r.state(h, record)
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
	case event == nil:
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

// compareStep holds the actions of a step against the recorded ones.
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

func (r *Replay) addDifference(text string, at time.Duration) {
	r.Differences++
	if r.FirstDifference == "" {
		r.FirstDifference, r.FirstDifferenceAt = text, at
	}
}

// state compares a recorded state with the gateway's; behind a gap, or at the start of a later part, it goes on from it.
func (r *Replay) state(h Header, record Record) error {
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
		r.addDifference("the module's state is another than the recorded one", record.At)
	}
	return nil
}

// encoded is the stored form of a state.
func encoded(s decision.State) []byte {
	b, err := codec.enc.Marshal(s)
	if err != nil {
		panic(err) // it has nothing that can't be encoded
	}
	return b
}

// compare returns the first difference between recorded and present actions, in words.
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

// equal compares two actions; amounts that are both no number are alike.
func equal(a, b decision.Action) bool {
	if x, ok := a.(decision.AddToCounter); ok {
		if y, ok := b.(decision.AddToCounter); ok && math.IsNaN(x.Amount) && math.IsNaN(y.Amount) {
			x.Amount, y.Amount = 0, 0
			return x == y
		}
	}
	return reflect.DeepEqual(a, b)
}

// Gateway is the gateway as it stands; nil before the first step or state. It must be handed no event.
func (r *Replay) Gateway() *decision.Gateway { return r.gateway }
