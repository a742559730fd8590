// Package dialect says what may differ between the ways in and out of a front door: how a request's head becomes an
// ask, how an attempt is written, what an answer tells, and how the counter is spoken to. A dialect parses and renders;
// it decides nothing, opens no connection and reads no clock. Package door has the product's, package platform the
// operators' platform's. What a Dialect returns may be used by any goroutine; a Counter belongs to one at a time.
package dialect

import (
	"errors"
	"time"

	"sandyard/choice"
	"sandyard/config"
	"sandyard/internal/http1"
	"sandyard/routes"
)

// Ask is what a request asks for, as its head tells.
type Ask struct {
	Op       *routes.Operation
	Class    choice.ClassID
	Studio   *config.Customer
	Units    float64
	Retry    bool          // the client says that it has tried before
	Patience time.Duration // that the client has in all
	Name     string        // that no other open request may have; empty: it has none
}

// Own is an answer of the front door itself, a problem of RFC 9457 where its status is 400 or more.
type Own struct {
	Status   int
	Kind     string // last part of the type's URN
	Title    string
	Detail   string
	Harmless bool // a retry is; else it is not known whether the request was carried out
}

// Report is what an answer tells beside its body.
type Report struct {
	Outcome choice.Outcome
	Load    []float64 // in the order of Settings.LoadFields; NaN: not told; nil: no report
	Units   float64   // true units; 0: not told
}

// Dialect is one way in and out.
type Dialect interface {
	// Read fills an ask from a request's head. It returns an answer where no decision is needed.
	Read(h *http1.Head, ask *Ask) *Own
	// Request renders a request as boxes get it, into b, which has room. head is where Attempt adds fields; 0: nowhere.
	Request(b []byte, h *http1.Head, body []byte, trailers []http1.Field, remote string) (wire []byte, head int)
	// Attempt is a rendered request as one attempt sends it, which is given up after left.
	Attempt(wire []byte, head int, left time.Duration) []byte
	// Probe renders a question for a box's load.
	Probe(addr string) []byte
	// Report reads the head of a whole answer; body is what it brought.
	Report(h *http1.Head, body []byte, probe bool) Report
	// Pass appends the status line and the fields of an answer that go on to the client.
	Pass(b []byte, h *http1.Head) []byte
	// RetryAfter appends the value of that field, which is above 0.
	RetryAfter(b []byte, d time.Duration) []byte
	// Counter begins a connection to the counter.
	Counter() Counter
}

// Counter is the codec of one connection to the counter.
type Counter interface {
	// Call appends a call. A TTL is the life of a new name.
	Call(b []byte, name string, amount float64, ttl time.Duration) []byte
	// Feed takes bytes in and returns how many it used; Got tells that a call's reply is whole. Call it with the rest
	// until nothing is left. An error is final: the connection is of no further use.
	Feed(b []byte) (n int, r Reply, err error)
}

// Reply is the end of the oldest call that had none.
type Reply struct {
	Got   bool
	Added bool // else turned away, nothing added
	Total float64
}

// ErrSpoilt is a counter's reply that can't be read.
var ErrSpoilt = errors.New("the counter's reply can't be read")
