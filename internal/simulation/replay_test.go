package simulation

import (
	"reflect"
	"testing"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/proxy"
	"sandyard/trace"
)

// A trace from production is useless if its replay decides differently. This test writes the decisions of instances in
// simulated runs in the trace format and reads them back. The decision package must repeat them step by step.
func TestTracesOfRunsReplayWithoutDifference(t *testing.T) {
	steps, differ, bytes := uint64(0), uint64(0), 0
	for seed := uint64(1); seed <= 40; seed++ {
		type process struct {
			header  trace.Header
			records []trace.Record
		}
		var processes []*process
		_, err := Run(Generate(seed, DefaultProfile()), Options{ContinueAfterViolation: true, Record: func(n int, cfg *config.Config, seed uint64) func(proxy.DecisionStep) {
			p := &process{header: trace.Header{Instance: n, Seed: seed, StartedAt: proxy.Start, Settings: cfg.Settings, Share: 1}}
			processes = append(processes, p)
			return func(s proxy.DecisionStep) {
				if s.Snapshot != nil {
					p.records = append(p.records, trace.Record{At: s.At, Snapshot: s.Snapshot})
					return
				}
				p.records = append(p.records, trace.Record{At: s.At, Event: trace.NewEvent(s.Event), Actions: trace.NewActions(s.Actions), Operation: s.OperationNumber, Initial: s.Event == nil})
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		w, err := trace.NewWriter()
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range processes {
			file, err := w.Begin(p.header)
			if err != nil {
				t.Fatal(err)
			}
			for at := 0; at < len(p.records); at += 500 {
				b, err := w.Frame(p.records[at:min(len(p.records), at+500)])
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
			replay, err := trace.NewReplay(r.Header)
			if err != nil {
				t.Fatal(err)
			}
			for {
				records, err := r.Next()
				if err != nil {
					t.Fatal(err)
				}
				if records == nil {
					break
				}
				for _, record := range records {
					if err := replay.Step(r.Header, record); err != nil {
						t.Fatal(err)
					}
				}
			}
			r.Close()
			if replay.Steps+replay.States != uint64(len(p.records)) {
				t.Errorf("seed %d: %d of %d steps replayed", seed, replay.Steps, len(p.records))
			}
			if replay.Differences > 0 {
				t.Errorf("seed %d, instance %d: %s", seed, p.header.Instance, replay.FirstDifference)
			}
			steps, differ = steps+replay.Steps, differ+replay.Differences
		}
	}
	t.Logf("%d steps, %d differ, %.1f bytes a step", steps, differ, float64(bytes)/float64(steps))
}

// A replay that begins at a snapshot must not diverge. A gateway that is restored from a snapshot in the middle of a run, by
// way of the trace format, must take the same actions as the original from there on.
func TestRestoredGatewayTakesSameActions(t *testing.T) {
	compared := 0
	for seed := uint64(100); seed < 130; seed++ {
		type pair struct {
			original, restored *decision.Gateway
			n                  int
			set                decision.Settings
		}
		var pairs []*pair
		_, err := Run(Generate(seed, DefaultProfile()), Options{ContinueAfterViolation: true, Record: func(n int, cfg *config.Config, gwSeed uint64) func(proxy.DecisionStep) {
			p := &pair{set: cfg.Settings}
			pairs = append(pairs, p)
			return func(s proxy.DecisionStep) {
				if s.Snapshot != nil {
					return
				}
				if s.Event == nil {
					p.original, _, _ = decision.New(cfg.Settings, gwSeed, proxy.Start)
					return
				}
				if p.n++; p.n%97 == 0 { // repeatedly, to restore from snapshots of several ages
					st, err := p.original.Snapshot()
					if err != nil {
						t.Fatal(err)
					}
					w, _ := trace.NewWriter()
					file, _ := w.Begin(trace.Header{})
					f, err := w.Frame([]trace.Record{{Snapshot: &st}})
					if err != nil {
						t.Fatal(err)
					}
					r, err := trace.NewReader(append(file, f...))
					if err != nil {
						t.Fatal(err)
					}
					items, err := r.Next()
					r.Close()
					if err != nil {
						t.Fatal(err)
					}
					if p.restored, err = decision.Restore(p.set, *items[0].Snapshot); err != nil {
						t.Fatal(err)
					}
				}
				originalActions := p.original.Handle(s.Event, s.At)
				if p.restored == nil {
					return
				}
				compared++
				if restoredActions := p.restored.Handle(s.Event, s.At); !reflect.DeepEqual(originalActions, restoredActions) {
					t.Fatalf("seed %d, step %d, %T: %+v, restored %+v", seed, p.n, s.Event, originalActions, restoredActions)
				}
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d steps compared", compared)
}
