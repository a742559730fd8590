package trace

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandyard/decision"
)

func sampleRecords() []Record {
	return []Record{
		{At: 1, Initial: true, Actions: NewActions([]decision.Action{decision.SetTimer{At: 5, Timer: decision.Timer{Kind: decision.TickTimer}}, decision.WatchEndpoints{}})},
		{At: 2, Event: NewEvent(decision.EndpointsChanged{Full: true, Endpoints: []decision.Endpoint{{Backend: 1, Zone: 2, State: decision.Draining, Weight: 1.5, Started: 7}}})},
		{At: 3, Event: NewEvent(decision.RequestArrived{Request: 9, Customer: "a\x00\xff\u202e", Units: 0.1, TimeLeft: time.Second}), Operation: 3,
			Actions: NewActions([]decision.Action{decision.SendAttempt{Request: 9, Backend: 1, Timeout: 3}, decision.AddToCounter{Name: "n", Amount: -1e300, TTL: 4}})},
		{At: 4, Event: NewEvent(decision.AttemptEnded{Request: 9, Outcome: decision.ConnectionReset, Load: []float64{1, 2}}), Actions: NewActions([]decision.Action{
			decision.CancelAttempt{Request: 9}, decision.Reject{Request: 9, Reason: decision.OverQuota}, decision.Fail{Request: 9}, decision.Probe{Backend: 4}})},
		{At: 5, Event: NewEvent(decision.CounterReplied{Name: "n", Outcome: decision.TimedOut, Total: 3})},
		{At: 6, Event: NewEvent(decision.TimerFired{Timer: decision.Timer{Kind: decision.DeadlineTimer, Request: 9}})},
		{At: 7, Event: NewEvent(decision.ClientDisconnected{Request: 9})}, {At: 8, Event: NewEvent(decision.StreamStarted{Request: 9, Attempt: 1, Backend: 2})},
		{At: 9, Event: NewEvent(decision.ProbeEnded{Backend: 2})}, {At: 10, Dropped: 7}, {At: 11, Backend: &BackendName{4, "box-4"}},
	}
}

func sampleFile(t *testing.T) []byte {
	w, err := NewWriter()
	if err != nil {
		t.Fatal(err)
	}
	b, err := w.Begin(Header{Core: "c", Instance: 2, Settings: decision.Settings{Instances: 3, Classes: []decision.Class{{LatencyObjective: time.Second}}}, Share: 1})
	if err != nil {
		t.Fatal(err)
	}
	for i := range sampleRecords() {
		f, err := w.Frame(sampleRecords()[i : i+1])
		if err != nil {
			t.Fatal(err)
		}
		b = append(b, f...)
	}
	return b
}

func readAll(b []byte) (got []Record, err error) {
	r, err := NewReader(b)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	for {
		records, err := r.Next()
		if err != nil || records == nil {
			return got, err
		}
		got = append(got, records...)
	}
}

// TestEveryEventAndActionSurvivesEncoding checks that every type of event and action is decoded as it was encoded.
func TestEveryEventAndActionSurvivesEncoding(t *testing.T) {
	got, err := readAll(sampleFile(t))
	if err != nil || len(got) != len(sampleRecords()) {
		t.Fatalf("%d records, %v", len(got), err)
	}
	for i, want := range sampleRecords() {
		if g := got[i].Event.Unwrap(); !reflect.DeepEqual(g, want.Event.Unwrap()) {
			t.Errorf("record %d: %+v, want %+v", i, g, want.Event.Unwrap())
		}
		if len(got[i].Actions) != len(want.Actions) {
			t.Errorf("record %d: %d actions", i, len(got[i].Actions))
			continue
		}
		for k := range want.Actions {
			if g := got[i].Actions[k].Unwrap(); g == nil || !reflect.DeepEqual(g, want.Actions[k].Unwrap()) {
				t.Errorf("record %d, action %d: %+v", i, k, g)
			}
		}
	}
	x, err := codec.enc.Marshal(NewEvent(decision.AttemptEnded{Load: []float64{math.NaN()}}))
	var e Event
	if err != nil || codec.dec.Unmarshal(x, &e) != nil || !math.IsNaN(e.AttemptEnded.Load[0]) {
		t.Error("NaN in a load report is not decoded as NaN")
	}
}

// TestTruncatedFileIsReadToItsLastFrame checks that a file that ends at any byte is read up to its last complete frame, and that
// the error is ErrTruncated.
func TestTruncatedFileIsReadToItsLastFrame(t *testing.T) {
	whole := sampleFile(t)
	last := -1
	for n := len(Format); n <= len(whole); n++ {
		got, err := readAll(whole[:n])
		switch {
		case err != nil && !errors.Is(err, ErrTruncated):
			t.Fatalf("%d bytes: %v", n, err)
		case len(got) < last:
			t.Fatalf("%d bytes: %d records, with fewer bytes %d", n, len(got), last)
		}
		last = len(got)
	}
	if last != len(sampleRecords()) {
		t.Errorf("%d records at the end", last)
	}
}

// TestCorruptBytesAreFound checks that reading a file with a changed byte fails or returns fewer records, and never panics. A
// fault of the disk must not go undetected and change what a trace says.
func TestCorruptBytesAreFound(t *testing.T) {
	whole := sampleFile(t)
	rapid.Check(t, func(t *rapid.T) {
		b := append([]byte(nil), whole...)
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		got, err := readAll(b)
		if err == nil && len(got) == len(sampleRecords()) {
			t.Fatalf("byte %d changed and the reader did not detect it", at)
		}
	})
	for _, s := range []string{"", "sandyard-trace 2\n", "x", Format} {
		if _, err := readAll([]byte(s)); err == nil {
			t.Errorf("%q is accepted", s)
		}
	}
}

// TestSampledTraceIsNotReplayed checks that a sampled trace can't be replayed. Decisions on a request depend on all other
// requests, so the replay of a sample would report false differences.
func TestSampledTraceIsNotReplayed(t *testing.T) {
	if _, err := NewReplay(Header{Share: 0.5}); !errors.Is(err, ErrSampled) {
		t.Errorf("a replay of a sample: %v", err)
	}
}

// TestReplayFindsAnotherDecision checks that a replay reports a build that decides differently, with the first differing step.
// After missing steps the difference counts as uncertain, because these steps may be its cause.
func TestReplayFindsAnotherDecision(t *testing.T) {
	h := Header{Share: 1, Settings: decision.Settings{Classes: []decision.Class{{LatencyObjective: time.Second, Deadline: time.Second}}}}
	_, first, err := decision.New(h.Settings, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, gap := range []bool{false, true} {
		r, _ := NewReplay(h)
		r.Step(h, Record{Initial: true, Actions: NewActions(first)})
		if gap {
			r.Step(h, Record{Dropped: 1})
		}
		r.Step(h, Record{At: 1, Event: NewEvent(decision.RequestArrived{Request: 1, TimeLeft: time.Second}), Actions: NewActions([]decision.Action{decision.Fail{Request: 1}})})
		if r.Differences != 1 || r.FirstDifference == "" || (r.Uncertain == 1) != gap {
			t.Errorf("gap %v: %+v", gap, r)
		}
	}
}
