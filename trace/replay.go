package trace

import (
	"fmt"
	"math"
	"reflect"
	"time"

	"sandyard/choice"
)

// Replay feeds recorded events to this program's module and compares each step's actions. It has one owner.
type Replay struct {
	Steps     uint64
	Differ    uint64
	First     string        // the first difference, in words
	FirstAt   time.Duration // when it was
	Dropped   uint64        // steps that the trace lacks
	Uncertain uint64        // differing steps behind a gap, which the gap may explain

	gw *choice.Gateway
}

// NewReplay begins where the recorded module began.
func NewReplay(h Head) (*Replay, error) {
	switch {
	case h.Part != 0:
		return nil, fmt.Errorf("trace: a replay begins with part 0 of a series; this is part %d", h.Part)
	case h.Share < 1:
		return nil, fmt.Errorf("trace: a sample of the requests can't be replayed: what the module decided depends on all")
	}
	return &Replay{}, nil
}

// Step takes the next item.
func (r *Replay) Step(h Head, it Item) error {
	if it.Dropped > 0 {
		r.Dropped += it.Dropped
	}
	var got []choice.Action
	switch e := it.Event.Choice(); {
	case it.First:
		gw, first, err := choice.New(h.Settings, h.Seed, h.Began)
		if err != nil {
			return err
		}
		r.gw, got = gw, first
	case e == nil:
		return nil
	case r.gw == nil:
		return fmt.Errorf("trace: an event before the module's first step")
	default:
		got = r.gw.Handle(e, it.At)
	}
	r.Steps++
	if what, same := compare(it.Actions, got); !same {
		r.Differ++
		if r.Dropped > 0 {
			r.Uncertain++
		}
		if r.First == "" {
			r.First, r.FirstAt = fmt.Sprintf("%T: %s", it.Event.Choice(), what), it.At
		}
	}
	return nil
}

func compare(recorded []Action, got []choice.Action) (string, bool) {
	for i := range max(len(recorded), len(got)) {
		switch {
		case i >= len(recorded):
			return fmt.Sprintf("action %d: now %T%+v, recorded none", i+1, got[i], got[i]), false
		case i >= len(got):
			was := recorded[i].Choice()
			return fmt.Sprintf("action %d: recorded %T%+v, now none", i+1, was, was), false
		}
		if was := recorded[i].Choice(); !equal(was, got[i]) {
			return fmt.Sprintf("action %d: recorded %T%+v, now %T%+v", i+1, was, was, got[i], got[i]), false
		}
	}
	return "", true
}

func equal(a, b choice.Action) bool {
	if x, ok := a.(choice.Count); ok {
		if y, ok := b.(choice.Count); ok && math.IsNaN(x.Amount) && math.IsNaN(y.Amount) {
			x.Amount, y.Amount = 0, 0
			return x == y
		}
	}
	return reflect.DeepEqual(a, b)
}
