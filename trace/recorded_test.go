package trace

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"sandyard/decision"
)

var (
	recordGolden = flag.Bool("record-golden", false, "rewrite the golden file of the recorded trace, for an intended change of behaviour")
	recordStates = flag.Bool("record-states", false, "replace the recorded states with those of this build, for an intended change of the contents of a state; the steps stay")
)

const (
	recordedTrace     = "testdata/recorded-before-renaming.trace"
	recordedHistories = "testdata/recorded-before-renaming.golden"
)

// eachRecorded calls f with the records of the recorded trace, and checks that the whole trace is read.
func eachRecorded(t *testing.T, f func(Header, Record)) {
	t.Helper()
	b, err := os.ReadFile(recordedTrace)
	if err != nil {
		t.Fatal(err)
	}
	cut, err := Each(b, nil, func(h Header, record Record) error { f(h, record); return nil })
	if err != nil || cut != 0 {
		t.Fatalf("cut at %d, %v", cut, err)
	}
}

// TestRecordedTraceGivesTheSameHistories checks that a recorded trace is read completely and gives the same histories as when
// it was recorded: the counts, every 40th request with its explanation, and a digest of all. The trace is of core
// 4a62adf9f07493b3 (commit 0a5d9aa): 68 s of a proxy instance on sockets, with backends that were slow, unresponsive, failing,
// in slow start or draining, changes of the endpoint list, and a counter that was unresponsive or late.
func TestRecordedTraceGivesTheSameHistories(t *testing.T) {
	var head Header
	s, states := NewHistories(), 0
	kinds := map[string]int{}
	eachRecorded(t, func(h Header, record Record) {
		head = h
		s.Add(record)
		if record.Snapshot != nil {
			states++
		}
		if e := record.Event.Unwrap(); e != nil {
			kinds["event"]++
		}
		kinds["action"] += len(record.Actions)
	})
	if states != 3 || s.Steps != 9303 || s.Dropped != 0 || len(s.All) != 2603 {
		t.Errorf("%d states, %d steps, %d dropped, %d requests; recorded were 3, 9303, 0 and 2603", states, s.Steps, s.Dropped, len(s.All))
	}
	outcomes, attempts, calls := map[Outcome]int{}, map[int]int{}, 0
	var sample strings.Builder
	digest := sha256.New()
	for i, request := range s.All {
		b, err := json.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		history := fmt.Sprintf("%s\n%s\n", b, s.Explain(head, request))
		digest.Write([]byte(history))
		if i%40 == 0 {
			sample.WriteString(history)
		}
		outcomes[request.Outcome]++
		attempts[len(request.Attempts)]++
		if request.CounterCall != nil {
			calls++
		}
	}
	counts, err := json.Marshal(map[string]any{"outcomes": outcomes, "requests by attempts": attempts, "calls waited for": calls, "in all": kinds, "servers": s.BackendNames})
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprintf("%s\nsha256 of all: %x\n%s", counts, digest.Sum(nil), &sample)
	if *recordGolden {
		if err := os.WriteFile(recordedHistories, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	b, err := os.ReadFile(recordedHistories)
	if err != nil {
		t.Fatal(err)
	}
	if want := string(b); got != want {
		a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
		for i := range min(len(a), len(b)) {
			if a[i] != b[i] {
				t.Fatalf("line %d is\n%s\nrecorded was\n%s", i+1, a[i], b[i])
			}
		}
		t.Fatalf("%d lines, recorded were %d", len(a), len(b))
	}
}

// openRecorded returns a reader of the recorded trace.
func openRecorded(t *testing.T) *Reader {
	t.Helper()
	file, err := os.ReadFile(recordedTrace)
	if err != nil {
		t.Fatal(err)
	}
	r, err := NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// rewriteRecordedStates rewrites the recorded trace with the states of this build. Header, events and actions stay the same.
func rewriteRecordedStates(t *testing.T) {
	r := openRecorded(t)
	replay, err := NewReplay(r.Header)
	if err != nil {
		t.Fatal(err)
	}
	w, err := NewWriter()
	if err != nil {
		t.Fatal(err)
	}
	out, err := w.Begin(r.Header)
	if err != nil {
		t.Fatal(err)
	}
	out = bytes.Clone(out)
	for {
		records, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if records == nil {
			break
		}
		for i := range records {
			if err := replay.Step(r.Header, records[i]); err != nil {
				t.Fatal(err)
			}
			if records[i].Snapshot != nil {
				replaceState(t, records[i].Snapshot, replay)
			}
		}
		frame, err := w.Frame(records)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, frame...)
	}
	if err := os.WriteFile(recordedTrace, out, 0o644); err != nil {
		t.Fatal(err)
	}
}

// replaceState replaces a recorded state with the replay's, and logs the fields that differ.
func replaceState(t *testing.T, recorded *decision.State, replay *Replay) {
	own, err := replay.Gateway().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before, after := reflect.ValueOf(*recorded), reflect.ValueOf(own)
	for i := range before.NumField() {
		if a, b := before.Field(i).Interface(), after.Field(i).Interface(); !reflect.DeepEqual(a, b) {
			t.Logf("%s: recorded %+v, now %+v", before.Type().Field(i).Name, a, b)
		}
	}
	*recorded = own
}

// TestRecordedTraceReplays checks that this build takes the recorded actions in each step of the recorded trace and reaches the
// recorded states, from the first step and from each of the states. The core identity, which tools compare, is not checked.
func TestRecordedTraceReplays(t *testing.T) {
	if *recordStates {
		rewriteRecordedStates(t)
	}
	const steps, states = 9303, 3
	for from := 0; from <= states; from++ { // 0: from the first step; otherwise from the state with this number
		var r *Replay
		seen := 0
		eachRecorded(t, func(h Header, record Record) {
			if from > 0 {
				h.Part = 1 // as in a later part, where a replay begins at a state
			}
			if r == nil {
				var err error
				if r, err = NewReplay(h); err != nil {
					t.Fatal(err)
				}
			}
			if record.Snapshot != nil {
				seen++
			}
			if from > 0 && (record.Initial || record.Snapshot != nil && seen < from) {
				return
			}
			if err := r.Step(h, record); err != nil {
				t.Fatal(err)
			}
		})
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var got struct {
			Steps, Differ, Dropped, Uncertain, Skipped, States int
			First                                              string
		}
		if err := json.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		totalSteps, wantStates := got.Steps+got.Skipped, states
		if from > 0 {
			totalSteps, wantStates = totalSteps+1, states-from+1 // the first step is not replayed
		}
		if totalSteps != steps || got.States != wantStates || got.Steps < 500 || from == 0 && got.Skipped != 0 {
			t.Errorf("from state %d: %s", from, b)
		}
		if got.Differ != 0 || got.Dropped != 0 || got.Uncertain != 0 || got.First != "" {
			t.Errorf("from state %d: %s", from, b)
		}
		t.Logf("from state %d: %s", from, b)
	}
}

// TestRecordedTraceIsEncodedUnchanged checks that the recorded trace is encoded to the same bytes after it is decoded. This
// shows that the names and numbers in the format have not changed, including those of package decision's settings, events,
// actions and states.
func TestRecordedTraceIsEncodedUnchanged(t *testing.T) {
	r := openRecorded(t)
	head, err := codec.enc.Marshal(r.Header)
	if err != nil {
		t.Fatal(err)
	}
	frames, size := 0, 0
	for again := head; ; frames++ {
		if frames == 0 {
			r.offset = len(Format)
		}
		b, err := r.frame()
		if err != nil {
			t.Fatal(err)
		}
		if frames > 0 {
			var records []Record
			if err := codec.dec.Unmarshal(b, &records); err != nil {
				t.Fatal(err)
			}
			if again, err = codec.enc.Marshal(records); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(b, again) {
			t.Fatalf("frame %d is encoded differently:\n%q\nrecorded was\n%q", frames, clip(again, b), clip(b, again))
		}
		size += len(b)
		if r.offset == len(r.file) {
			break
		}
	}
	t.Logf("%d frames, %d bytes", frames+1, size)
}

// clip returns the part of a around its first difference from b.
func clip(a, b []byte) []byte {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[max(0, n-40):min(len(a), n+120)]
}
