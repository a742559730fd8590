package trace

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"time"

	"sandyard/decision"
)

// Replay feeds recorded events to this program's module and compares each step's actions. It has one owner.
type Replay struct {
	Steps             uint64        `json:"steps"`
	Differences       uint64        `json:"differ"`
	FirstDifference   string        `json:"first"`       // the first difference, in words
	FirstDifferenceAt time.Duration `json:"first_at_ns"` // when it was
	Dropped           uint64        `json:"dropped"`     // steps that the trace lacks
	Uncertain         uint64        `json:"uncertain"`   // differing steps behind a gap, which the gap may explain
	Skipped           uint64        `json:"skipped"`     // steps before the first state, in a series that does not begin with part 0
	States            uint64        `json:"states"`      // recorded states that were compared with, or gone on from

	gw  *decision.Gateway
	gap bool // steps are missing since the last state
}

// NewReplay begins where the recorded module began, or in a later part at the first state that it holds.
func NewReplay(h Header) (*Replay, error) {
	switch {
	case h.Share < 1:
		return nil, fmt.Errorf("trace: a sample of the requests can't be replayed: what the module decided depends on all")
	}
	return &Replay{}, nil
}

// Step takes the next item.
func (r *Replay) Step(h Header, it Record) error {
	if it.Dropped > 0 {
		r.Dropped += it.Dropped
		r.gap = true
	}
	if it.Snapshot != nil {
		return r.state(h, it)
	}
	var got []decision.Action
	switch e := it.Event.Decision(); {
	case it.Initial:
		gw, first, err := decision.New(h.Settings, h.Seed, h.StartedAt)
		if err != nil {
			return err
		}
		r.gw, got = gw, first
	case e == nil:
		return nil
	case r.gw == nil && h.Part == 0:
		return fmt.Errorf("trace: an event before the module's first step")
	case r.gw == nil:
		r.Skipped++
		return nil
	default:
		got = r.gw.Handle(e, it.At)
	}
	r.Steps++
	if what, same := compare(it.Actions, got); !same {
		r.Differences++
		if r.gap {
			r.Uncertain++
		}
		if r.FirstDifference == "" {
			r.FirstDifference, r.FirstDifferenceAt = fmt.Sprintf("%T: %s", it.Event.Decision(), what), it.At
		}
	}
	return nil
}

// state holds a recorded state against the module's; behind a gap, or at the start of a later part, it goes on from it.
func (r *Replay) state(h Header, it Record) error {
	r.States++
	if r.gw != nil && !r.gap {
		mine, err := r.gw.Snapshot()
		if err != nil {
			return err
		}
		if a, b := encoded(mine), encoded(*it.Snapshot); !bytes.Equal(a, b) {
			r.Differences++
			if r.FirstDifference == "" {
				r.FirstDifference, r.FirstDifferenceAt = "the module's state is another than the recorded one", it.At
			}
		}
		return nil
	}
	gw, err := decision.Restore(h.Settings, *it.Snapshot)
	if err != nil {
		return err
	}
	r.gw, r.gap = gw, false
	return nil
}

func encoded(s decision.State) []byte {
	b, err := codec.enc.Marshal(s)
	if err != nil {
		panic(err) // it has nothing that can't be encoded
	}
	return b
}

func compare(recorded []Action, got []decision.Action) (string, bool) {
	for i := range max(len(recorded), len(got)) {
		switch {
		case i >= len(recorded):
			return fmt.Sprintf("action %d: now %T%+v, recorded none", i+1, got[i], got[i]), false
		case i >= len(got):
			was := recorded[i].Decision()
			return fmt.Sprintf("action %d: recorded %T%+v, now none", i+1, was, was), false
		}
		if was := recorded[i].Decision(); !equal(was, got[i]) {
			return fmt.Sprintf("action %d: recorded %T%+v, now %T%+v", i+1, was, was, got[i], got[i]), false
		}
	}
	return "", true
}

func equal(a, b decision.Action) bool {
	if x, ok := a.(decision.AddToCounter); ok {
		if y, ok := b.(decision.AddToCounter); ok && math.IsNaN(x.Amount) && math.IsNaN(y.Amount) {
			x.Amount, y.Amount = 0, 0
			return x == y
		}
	}
	return reflect.DeepEqual(a, b)
}

// Gateway is the module as it stands; nil before the first step or state. It must be handed no event.
func (r *Replay) Gateway() *decision.Gateway { return r.gw }
