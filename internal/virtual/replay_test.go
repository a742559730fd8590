package virtual

import (
	"testing"

	"sandyard/config"
	"sandyard/door"
	"sandyard/trace"
)

// TestRecordedDaysReplay: what front doors decided in simulated days, written to the trace's format and read back, is
// decided again by the module, step by step.
func TestRecordedDaysReplay(t *testing.T) {
	steps, differ, bytes := uint64(0), uint64(0), 0
	for seed := uint64(1); seed <= 40; seed++ {
		type life struct {
			head  trace.Head
			items []trace.Item
		}
		var lives []*life
		_, err := Run(Generate(seed, Usual()), Options{GoOn: true, Record: func(n int, cfg *config.Config, seed uint64) func(door.Step) {
			l := &life{head: trace.Head{Door: n, Seed: seed, Began: door.Start, Settings: cfg.Settings, Share: 1}}
			lives = append(lives, l)
			return func(s door.Step) {
				l.items = append(l.items, trace.Item{At: s.At, Event: trace.FromEvent(s.Event), Actions: trace.FromActions(s.Actions), Op: s.Op, First: s.Event == nil})
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		w, err := trace.NewWriter()
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range lives {
			file, err := w.Begin(l.head)
			if err != nil {
				t.Fatal(err)
			}
			for at := 0; at < len(l.items); at += 500 {
				b, err := w.Frame(l.items[at:min(len(l.items), at+500)])
				if err != nil {
					t.Fatal(err)
				}
				file = append(file, b...)
			}
			bytes += len(file)
			r, err := trace.NewReader(file)
			if err != nil {
				t.Fatal(err)
			}
			replay, err := trace.NewReplay(r.Head)
			if err != nil {
				t.Fatal(err)
			}
			for {
				items, err := r.Next()
				if err != nil {
					t.Fatal(err)
				}
				if items == nil {
					break
				}
				for _, it := range items {
					if err := replay.Step(r.Head, it); err != nil {
						t.Fatal(err)
					}
				}
			}
			r.Close()
			if replay.Steps != uint64(len(l.items)) {
				t.Errorf("seed %d: %d of %d steps came back", seed, replay.Steps, len(l.items))
			}
			if replay.Differ > 0 {
				t.Errorf("seed %d, door %d: %s", seed, l.head.Door, replay.First)
			}
			steps, differ = steps+replay.Steps, differ+replay.Differ
		}
	}
	t.Logf("%d steps, %d differ, %.1f bytes a step", steps, differ, float64(bytes)/float64(steps))
}
