package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
	"sandyard/internal/sitesettings"
)

// noTimer is the kind of a timer that the gateway did not set.
const noTimer decision.TimerKind = -1

// fields reads the parts of a line one by one, in the order of the wire, and keeps the first error. After an error, the
// returned values are meaningless.
type fields struct {
	line  int // in the input, from 1
	last  int // index of the part that was read last; 0 is the message's name
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

// take returns the next part, or "" for an absent value, which the wire represents as "-".
func (f *fields) take(field string) string {
	f.last++
	if f.last >= len(f.parts) {
		f.fail(field, "", "a value, but the line ended")
		return ""
	}
	if s := f.parts[f.last]; s != "-" {
		return s
	}
	return ""
}

// rest returns the parts that have not been read yet.
func (f *fields) rest() []string {
	if f.last+1 >= len(f.parts) {
		return nil
	}
	return f.parts[f.last+1:]
}

// text returns the next part, which is required.
func (f *fields) text(field string) string {
	s := f.take(field)
	if s == "" {
		f.fail(field, s, "a non-empty text")
	}
	return s
}

// uint reads a whole number, 0 or more, in the given base. The value is required.
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

func (f *fields) backend(field string) decision.BackendID {
	n := f.uint(field, 10)
	if n > math.MaxUint32 {
		f.fail(field, strconv.FormatUint(n, 10), "a number below 2^32")
	}
	return decision.BackendID(n)
}

// int reads a whole number; an absent value is 0.
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

// float reads a finite number; an absent value is 0.
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

// bool reads 1 or 0; an absent value is false.
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

// load reads a load report; an absent report is nil.
func (f *fields) load(field string) []float64 {
	s := f.take(field)
	if s == "" {
		return nil
	}
	var out []float64
	for _, p := range strings.Split(s, ",") {
		x, ok := sitesettings.ParseNumber(p)
		if !ok {
			f.fail(field, s, "numbers separated by commas")
		}
		out = append(out, x)
	}
	return out
}

// timer reads the token of a timer as Writer.Action prints it. For a token of another form it returns a timer of kind
// noTimer, which the gateway ignores.
func (f *fields) timer(field string) decision.Timer {
	s := f.text(field)
	kind, id, ok := strings.Cut(s, ".")
	k, err1 := strconv.Atoi(kind)
	n, err2 := strconv.ParseUint(id, 16, 64)
	if !ok || err1 != nil || err2 != nil {
		return decision.Timer{Kind: noTimer}
	}
	return decision.Timer{Kind: decision.TimerKind(k), Request: decision.RequestID(n)}
}

// word reads a value that the wire represents by one of the known words.
func word[T any](f *fields, field string, known map[string]T) T {
	s := f.take(field)
	v, ok := known[s]
	if !ok {
		f.fail(field, s, "a word of the wire")
	}
	return v
}
