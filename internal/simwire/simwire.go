// Package simwire speaks the line dialect of the bench: it parses batches of events, translates them to the
// types of package choice, and prints actions. It decides nothing.
package simwire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
	"sandyard/internal/sitesettings"
)

// Kind tells what an Item is.
type Kind int

// The kinds of items.
const (
	Event Kind = iota
	Start
	Stop
)

// Item is one line of a batch, for one instance.
type Item struct {
	Instance string
	Kind     Kind
	Event    decision.Event    // with Event
	Seed     uint64            // with Start
	Settings decision.Settings // with Start
}

// Batch is what happened at one time.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Reader parses batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]decision.Endpoint
}

// NewReader reads batches from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), lists: map[int][]decision.Endpoint{}}
}

// Next returns the next batch; io.EOF says that the input ended between batches.
func (r *Reader) Next() (Batch, error) {
	var b Batch
	f, err := r.fields()
	if err != nil {
		return b, err
	}
	if f.name() != "clock" {
		return b, unexpected(r.line, f.name(), `"clock"`)
	}
	b.Now = f.millis("clock")
	if f.err != nil {
		return b, f.err
	}
	for {
		f, err := r.fields()
		if err == io.EOF {
			return b, endedInside(r.line, "batch", "end")
		}
		if err != nil {
			return b, err
		}
		switch f.name() {
		case "end":
			return b, nil
		case "census":
			err = r.census(f)
		default:
			var it Item
			if it, err = r.item(f); err == nil {
				b.Items = append(b.Items, it)
			}
		}
		if err != nil {
			return b, err
		}
	}
}

func (r *Reader) fields() (*fields, error) {
	s, err := r.in.ReadString('\n')
	if err != nil && (err != io.EOF || s == "") {
		return nil, err
	}
	r.line++
	return &fields{line: r.line, parts: strings.Split(strings.TrimRight(s, "\r\n"), "\t")}, nil
}

func (r *Reader) census(f *fields) error {
	id, n := f.int("roster-id"), f.int("rows-in")
	if n < 0 {
		f.fail("rows-in", strconv.Itoa(n), "a number of rows")
	}
	if f.err != nil {
		return f.err
	}
	var list []decision.Endpoint
	for range n {
		f, err := r.fields()
		if err == io.EOF {
			return endedInside(r.line, "census", "row")
		}
		if err != nil {
			return err
		}
		if f.name() != "row" {
			return unexpected(r.line, f.name(), `"row"`)
		}
		var e decision.Endpoint
		e.Started = f.millis("ready-at-ms")
		e.Cell = f.int("block")
		f.int("class-of-host")
		e.Backend = f.server("backend")
		e.Zone = f.int("failure-domain")
		e.State = word(f, "health", states)
		e.Weight = f.float("nominal")
		if f.err != nil {
			return f.err
		}
		list = append(list, e)
	}
	r.lists[id] = list
	return nil
}

func (r *Reader) item(f *fields) (Item, error) {
	switch f.name() {
	case "init", "stop", "accept", "left", "reply", "under_way", "probed", "added", "directory_update",
		"timer", "note_from":
	default:
		return Item{}, unexpected(r.line, f.name(), "an event of the wire")
	}
	it := Item{Instance: f.text("who")}
	switch f.name() {
	case "init":
		it.Kind, it.Seed = Start, f.uint("seed", 10)
		it.Settings = f.settings()
	case "stop":
		it.Kind = Stop
	case "accept":
		e := decision.RequestArrived{Request: f.request("job"), Class: decision.ClassID(f.int("lane")),
			Plan: decision.PlanID(f.int("tier")), Customer: f.text("user-key"), TimeLeft: f.millis("time-budget-ms"),
			Units: f.float("cost-units"), Spread: f.int("width"), First: f.int("base")}
		e.Retry = f.int("marks")&2 != 0
		it.Event = e
	case "left":
		it.Event = decision.ClientDisconnected{Request: f.request("job")}
	case "reply":
		e := decision.AttemptEnded{Request: f.request("job"), Latency: f.millis("wait-time-ms")}
		e.Units = f.float("cost")
		f.int("usage")
		e.Outcome = word(f, "how", outcomes)
		e.Backend, e.Answered, e.Attempt = f.server("backend"), f.bool("settled"), f.int("go")
		e.Load = f.load("load")
		it.Event = e
	case "under_way":
		it.Event = decision.StreamStarted{Request: f.request("job"), Attempt: f.int("go"), Backend: f.server("backend")}
		f.millis("wait-time-ms")
	case "probed":
		e := decision.ProbeEnded{Backend: f.server("backend"), Outcome: word(f, "how", outcomes)}
		f.millis("wait-time-ms")
		e.Load = f.load("load")
		it.Event = e
	case "added":
		e := decision.CounterReplied{Outcome: word(f, "how", outcomes)}
		f.millis("wait-time-ms")
		e.Total, e.Name = f.float("sum"), f.text("counter-key")
		it.Event = e
	case "directory_update":
		var e decision.EndpointsChanged
		mode := f.text("mode")
		switch mode {
		case "update":
		case "replace":
			e.Full = true
		case "restored":
			e.Full, e.Cached = true, true
		case "unavailable":
			e.Failed = true
		default:
			f.fail("mode", mode, "update, replace, restored or unavailable")
		}
		if id := f.int("roster-id"); !e.Failed && f.err == nil {
			list, ok := r.lists[id]
			if !ok {
				f.fail("roster-id", strconv.Itoa(id), "the number of a census sent before")
			}
			e.Endpoints = list
		}
		f.text("serial")
		it.Event = e
	case "timer":
		it.Event = decision.TimerFired{Timer: f.timer("token")}
	case "note_from":
		f.int("from")
		it.Event = nil
	}
	return it, f.err
}

var (
	states   = map[string]decision.EndpointState{"up": decision.Up, "draining": decision.Draining, "removed": decision.Removed}
	outcomes = map[string]decision.Outcome{"delivered": decision.OK, "app_error": decision.BackendError, "shed": decision.Rejected,
		"expired": decision.TimedOut, "dial_failed": decision.ConnectFailed, "dropped": decision.ConnectionReset,
		"revoked": decision.Cancelled, "unused": decision.NotSent}
)

// fields takes the parts of a line one by one and keeps the first error.
type fields struct {
	line  int
	next  int
	parts []string
	err   error
}

func (f *fields) name() string { return f.parts[0] }

func (f *fields) fail(field, got, want string) {
	f.failWith(&diagnostic.FieldError{Field: field, Value: got, Want: want})
}

func (f *fields) failWith(err error) {
	if f.err == nil {
		f.err = &LineError{Line: f.line, Err: &diagnostic.PlaceError{Place: f.name(), Err: err}}
	}
}

// take returns the next part; "" stands for an absent value.
func (f *fields) take(field string) string {
	f.next++
	if f.next >= len(f.parts) {
		f.fail(field, "", "a value, but the line ended")
		return ""
	}
	if s := f.parts[f.next]; s != "-" {
		return s
	}
	return ""
}

func (f *fields) rest() []string {
	if f.next+1 >= len(f.parts) {
		return nil
	}
	return f.parts[f.next+1:]
}

func (f *fields) text(field string) string {
	s := f.take(field)
	if s == "" {
		f.fail(field, s, "a text")
	}
	return s
}

func (f *fields) uint(field string, base int) uint64 {
	s := f.take(field)
	n, err := strconv.ParseUint(s, base, 64)
	if err != nil {
		f.fail(field, s, fmt.Sprintf("a whole number in base %d", base))
	}
	return n
}

func (f *fields) request(field string) decision.RequestID {
	return decision.RequestID(f.uint(field, 16))
}

func (f *fields) server(field string) decision.BackendID {
	n := f.uint(field, 10)
	if n > math.MaxUint32 {
		f.fail(field, strconv.FormatUint(n, 10), "a number below 2^32")
	}
	return decision.BackendID(n)
}

// int reads a whole number; absent is 0.
func (f *fields) int(field string) int {
	s := f.take(field)
	if s == "" {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		f.fail(field, s, "a whole number")
	}
	return n
}

// float reads a finite number; absent is 0.
func (f *fields) float(field string) float64 {
	s := f.take(field)
	if s == "" {
		return 0
	}
	x, ok := sitesettings.ParseNumber(s)
	if !ok {
		f.fail(field, s, "a number")
	}
	return x
}

func (f *fields) millis(field string) time.Duration { return sitesettings.Millis(f.float(field)) }

func (f *fields) bool(field string) bool {
	switch s := f.take(field); s {
	case "1":
		return true
	case "0", "":
	default:
		f.fail(field, s, "1 or 0")
	}
	return false
}

func (f *fields) load(field string) []float64 {
	s := f.take(field)
	if s == "" {
		return nil
	}
	var out []float64
	for _, p := range strings.Split(s, ",") {
		x, ok := sitesettings.ParseNumber(p)
		if !ok {
			f.fail(field, s, "numbers set apart by commas")
		}
		out = append(out, x)
	}
	return out
}

func (f *fields) timer(field string) decision.Timer {
	s := f.text(field)
	kind, id, ok := strings.Cut(s, ".")
	k, err1 := strconv.Atoi(kind)
	n, err2 := strconv.ParseUint(id, 16, 64)
	if !ok || err1 != nil || err2 != nil {
		return decision.Timer{Kind: -1} // not one of ours: the gateway ignores it
	}
	return decision.Timer{Kind: decision.TimerKind(k), Request: decision.RequestID(n)}
}

func word[T any](f *fields, field string, known map[string]T) T {
	s := f.take(field)
	v, ok := known[s]
	if !ok {
		f.fail(field, s, "a word of the wire")
	}
	return v
}

// Writer prints replies.
type Writer struct{ out *bufio.Writer }

// NewWriter writes replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16)} }

// Action prints one action of an instance.
func (w *Writer) Action(instance string, a decision.Action) {
	switch a := a.(type) {
	case decision.SendAttempt:
		w.line("deliver", instance, hex(a.Request), server(a.Backend), ms(a.Timeout))
	case decision.CancelAttempt:
		w.line("undo_send", instance, hex(a.Request), strconv.Itoa(a.Attempt))
	case decision.Reject:
		w.line("decline", instance, hex(a.Request), ms(a.RetryAfter))
	case decision.Fail:
		w.line("surrender", instance, hex(a.Request))
	case decision.Probe:
		w.line("ask_load", instance, server(a.Backend))
	case decision.AddToCounter:
		w.line("charge_counter", instance, a.Name, strconv.FormatFloat(a.Amount, 'f', -1, 64), ms(a.TTL))
	case decision.SetTimer:
		w.line("remind", instance, ms(a.At), fmt.Sprintf("%d.%x", int(a.Timer.Kind), uint64(a.Timer.Request)))
	case decision.WatchEndpoints:
		w.line("stream_changes", instance, "1")
	}
}

// Done ends a reply and hands it on.
func (w *Writer) Done() error {
	w.line("done")
	return w.out.Flush()
}

func (w *Writer) line(parts ...string) {
	for i, p := range parts {
		if i > 0 {
			w.out.WriteByte('\t')
		}
		w.out.WriteString(p)
	}
	w.out.WriteByte('\n')
}

func hex(id decision.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func server(id decision.BackendID) string { return strconv.FormatUint(uint64(id), 10) }

func ms(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}
