package simwire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
)

func read(t *testing.T, text string) []Batch {
	t.Helper()
	r := NewReader(strings.NewReader(text))
	var out []Batch
	for {
		b, err := r.Next()
		if err == io.EOF {
			return out
		}
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, b)
	}
}

// TestEventsAreDecoded: every message of the wire is decoded to its event, with absent values as zero.
func TestEventsAreDecoded(t *testing.T) {
	cases := []struct {
		line string
		want decision.Event
	}{
		{"accept\tdoor-3\t4f268fe15d3a91c4\t0\t1\tc-k\t240.5\t2\t3\t1\t1", decision.RequestArrived{Request: 0x4f268fe15d3a91c4,
			Plan: 1, Customer: "c-k", TimeLeft: 240500 * time.Microsecond, Units: 2, Spread: 3, First: 1}},
		{"left\tdoor-3\t8d7fa5030e6f2b19", decision.ClientDisconnected{Request: 0x8d7fa5030e6f2b19}},
		{"reply\tdoor-3\t4f268fe15d3a91c4\t18.5\t3\t86\tdelivered\t51530247\t1\t0\t7,0.62", decision.AttemptEnded{
			Request: 0x4f268fe15d3a91c4, Latency: 18500 * time.Microsecond, Units: 3, Backend: 51530247, Answered: true,
			Load: []float64{7, 0.62}}},
		{"reply\tdoor-3\t4f268fe15d3a91c4\t18.5\t-\t-\tshed\t5\t0\t2\t-", decision.AttemptEnded{
			Request: 0x4f268fe15d3a91c4, Latency: 18500 * time.Microsecond, Backend: 5, Outcome: decision.Rejected, Attempt: 2}},
		{"under_way\tdoor-3\t4f268fe15d3a91c4\t0\t51530247\t9.25", decision.StreamStarted{Request: 0x4f268fe15d3a91c4,
			Backend: 51530247}},
		{"probed\tdoor-3\t747639282\tdelivered\t1.4\t7", decision.ProbeEnded{Backend: 747639282, Load: []float64{7}}},
		{"added\tdoor-3\texpired\t2.15\t-\tsweep", decision.CounterReplied{Name: "sweep", Outcome: decision.TimedOut}},
		{"timer\tdoor-3\t1.4f", decision.TimerFired{Timer: decision.Timer{Kind: decision.DeadlineTimer, Request: 0x4f}}},
		{"timer\tdoor-3\tsweep", decision.TimerFired{Timer: decision.Timer{Kind: -1}}},
		{"directory_update\tdoor-3\tunavailable\t-\t41", decision.EndpointsChanged{Failed: true}},
		{"note_from\tdoor-3\t2\t68692037", nil},
	}
	for _, c := range cases {
		b := read(t, "clock\t8412.25\n"+c.line+"\nend\n")
		if b[0].Now != 8412250*time.Microsecond || len(b[0].Messages) != 1 {
			t.Fatalf("%s: %+v", c.line, b)
		}
		if message := b[0].Messages[0]; message.Instance != "door-3" || !reflect.DeepEqual(message.Event, c.want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", c.line, message.Event, c.want)
		}
	}
}

// The number of an endpoint list may be reused within a batch: earlier events keep the list that they referred to.
func TestEndpointListsResolveInOrder(t *testing.T) {
	b := read(t, "clock\t1\ncensus\t0\t1\nrow\t-\t0\t0\t5\t0\tup\t1\ndirectory_update\td\trestored\t0\t1\n"+
		"census\t0\t1\nrow\t6.5\t1\t0\t6\t2\tdraining\t2\ndirectory_update\td\tupdate\t0\t2\nend\n")
	first := b[0].Messages[0].Event.(decision.EndpointsChanged)
	if !first.Full || !first.Cached || first.Endpoints[0].Backend != 5 {
		t.Errorf("first list: %+v", first)
	}
	last := b[0].Messages[len(b[0].Messages)-1].Event.(decision.EndpointsChanged)
	want := decision.Endpoint{Backend: 6, Zone: 2, Cell: 1, State: decision.Draining, Weight: 2, Started: 6500 * time.Microsecond}
	if last.Full || !reflect.DeepEqual(last.Endpoints, []decision.Endpoint{want}) {
		t.Errorf("last list: %+v", last)
	}
}

// TestInitCarriesSettings: an instance is started with the seed and the settings of its init message.
func TestInitCarriesSettings(t *testing.T) {
	b := read(t, "clock\t1\ninit\tdoor-0\t51\tme=1\tpeers-total=2\tnew.key=x\tservices.count=1\tservices.0.semantics=dedup\t"+
		"services.0.dedup-scope=cell\tservices.0.aim-ms=600\tservices.0.value=2\tplans.count=1\tplans.0.refill=1.5\t"+
		"plans.0.store-size=5\tplans.0.never-over-rate=4\tfeedback.names=busy_reqs,odd,cpu_share\tfeedback.via=pull\t"+
		"limits.may-duplicate=true\tspecifics.shared-counter=true\nstop\tdoor-0\nend\n")
	message := b[0].Messages[0]
	s := message.Settings
	if message.Kind != Start || message.Seed != 51 || b[0].Messages[1].Kind != Stop {
		t.Fatalf("%+v", b)
	}
	if s.Self != 1 || s.Instances != 2 || !s.Hedging || !s.Counter || !s.LoadByProbe || s.LoadInAnswers {
		t.Errorf("settings: %+v", s)
	}
	if c := s.Classes[0]; c.Idempotency != decision.IdempotentByKey || c.KeyScope != decision.KeyScopeCell || c.LatencyObjective != 600*time.Millisecond || c.PriorityWeight != 2 {
		t.Errorf("class: %+v", c)
	}
	if p := s.Plans[0]; p.Rate != 1.5 || p.Burst != 5 || p.CeilingRate != 4 || p.WeightFactor != 1 {
		t.Errorf("plan: %+v", p)
	}
	if !reflect.DeepEqual(s.LoadFields, []decision.LoadField{decision.FieldInFlight, decision.FieldOther, decision.FieldUtil}) {
		t.Errorf("load fields: %v", s.LoadFields)
	}
}

// TestMalformedInputNamesLineAndField: the simulator ends a run at the first error, so the error must name the line and
// the field.
func TestMalformedInputNamesLineAndField(t *testing.T) {
	cases := []struct{ text, line, field string }{
		{"tock\t1\n", "line 1", "tock"},
		{"clock\tx\nend\n", "line 1", "clock"},
		{"clock\t1\n", "line 1", "end"},
		{"clock\t1\nnews\td\nend\n", "line 2", "news"},
		{"clock\t1\naccept\td\txyz\t0\t0\tc\t1\t1\t1\t0\t0\nend\n", "line 2", "job"},
		{"clock\t1\naccept\td\t1f\t0\t0\tc\nend\n", "line 2", "time-budget-ms"},
		{"clock\t1\nend\nclock\t2\nreply\td\t1f\tNaN\t0\t0\tdelivered\t1\t1\t0\t-\nend\n", "line 4", "wait-time-ms"},
		{"clock\t1\nreply\td\t1f\t1\t0\t0\tfine\t1\t1\t0\t-\nend\n", "line 2", "how"},
		{"clock\t1\nreply\td\t1f\t1\t0\t0\tshed\t4294967296\t1\t0\t-\nend\n", "line 2", "backend"},
		{"clock\t1\nreply\td\t1f\t1\t0\t0\tshed\t1\tyes\t0\t-\nend\n", "line 2", "settled"},
		{"clock\t1\ncensus\t0\t2\nrow\t-\t0\t0\t5\t0\tup\t1\nend\n", "line 4", "row"},
		{"clock\t1\ncensus\t0\t1\nrow\t-\t0\t0\t5\t0\tidle\t1\nend\n", "line 3", "health"},
		{"clock\t1\ndirectory_update\td\tupdate\t3\t1\nend\n", "line 2", "roster-id"},
		{"clock\t1\ninit\td\t1\tservices.count=many\nend\n", "line 2", "services.count"},
		{"clock\t1\ninit\td\t1\tbare\nend\n", "line 2", "options"},
	}
	for _, c := range cases {
		r := NewReader(strings.NewReader(c.text))
		var err error
		for err == nil {
			_, err = r.Next()
		}
		if !strings.HasPrefix(err.Error(), c.line+":") || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%q: error %v, want it to name %s and %s", c.text, err, c.line, c.field)
		}
	}
}

// TestErrorsOfInputAreTyped: callers can distinguish a truncated input from a malformed one, and get the line and the
// field from the error without parsing its text.
func TestErrorsOfInputAreTyped(t *testing.T) {
	next := func(text string) error {
		_, err := NewReader(strings.NewReader(text)).Next()
		return err
	}
	var line *LineError
	if err := next("clock\t1\ncensus\t0\t2\n"); !errors.Is(err, ErrInputEnded) || !errors.As(err, &line) || line.Line != 2 {
		t.Errorf("a truncated input: %v", err)
	}
	var message *UnexpectedMessageError
	if err := next("clock\t1\nnews\td\nend\n"); !errors.As(err, &message) || message.Got != "news" || !errors.As(err, &line) || line.Line != 2 {
		t.Errorf("an unknown message: %v", err)
	}
	var field *diagnostic.FieldError
	if err := next(initBatch("me=x")); !errors.As(err, &field) || *field != (diagnostic.FieldError{Field: "me", Value: "x", Want: "a whole number, 0 or more"}) {
		t.Errorf("a setting that is not a number: %v", err)
	}
	if err := next(""); err != io.EOF {
		t.Errorf("an input that ends between batches: %v", err)
	}
}

// TestActionsArePrinted: each action is printed in the form of the wire, with times in milliseconds.
func TestActionsArePrinted(t *testing.T) {
	cases := []struct {
		action decision.Action
		want   string
	}{
		{decision.SendAttempt{Request: 0x1f, Backend: 7, Timeout: 80500 * time.Microsecond}, "deliver\td\t000000000000001f\t7\t80.5"},
		{decision.CancelAttempt{Request: 0x1f, Attempt: 2}, "undo_send\td\t000000000000001f\t2"},
		{decision.Reject{Request: 0x1f}, "decline\td\t000000000000001f\t0"},
		{decision.Fail{Request: 0x1f}, "surrender\td\t000000000000001f"},
		{decision.Probe{Backend: 9}, "ask_load\td\t9"},
		{decision.AddToCounter{Name: "n", Amount: -1.5, TTL: 3 * time.Second}, "charge_counter\td\tn\t-1.5\t3000"},
		{decision.SetTimer{At: time.Second, Timer: decision.Timer{Kind: decision.DeadlineTimer, Request: 0x1f}}, "remind\td\t1000\t1.1f"},
		{decision.WatchEndpoints{}, "stream_changes\td\t1"},
	}
	for _, c := range cases {
		var out strings.Builder
		w := NewWriter(&out)
		w.Action("d", c.action)
		if err := w.Done(); err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != c.want+"\ndone\n" {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}

// A timer token decodes to the timer that was set.
func TestTimerTokenRoundTrip(t *testing.T) {
	want := decision.Timer{Kind: decision.DeadlineTimer, Request: 0xfedcba9876543210}
	var out strings.Builder
	w := NewWriter(&out)
	w.Action("d", decision.SetTimer{At: time.Second, Timer: want})
	w.Done()
	token := strings.Split(strings.Split(out.String(), "\n")[0], "\t")[3]
	b := read(t, "clock\t1\ntimer\td\t"+token+"\nend\n")
	if got := b[0].Messages[0].Event.(decision.TimerFired).Timer; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
