// Package protocol says what may differ between the ways in and out of a front door: how a request's head becomes an
// ask, how an attempt is written, what an answer tells, and how the counter is spoken to. A dialect parses and renders;
// it decides nothing, opens no connection and reads no clock. Package door has the product's, package platform the
// operators' platform's. What a Dialect returns may be used by any goroutine; a Counter belongs to one at a time.
package protocol

import (
	"errors"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/routes"
)

// RequestInfo is what a request asks for, as its head tells.
type RequestInfo struct {
	Operation  *routes.Operation
	Class      decision.ClassID
	Customer   *config.Customer
	Units      float64
	IsRetry    bool          // the client says that it has tried before
	Timeout    time.Duration // that the client has in all
	UniqueName string        // that no other open request may have; empty: it has none
}

// LocalResponse is an answer of the front door itself, a problem of RFC 9457 where its status is 400 or more.
type LocalResponse struct {
	Status      int
	Kind        string // last part of the type's URN
	Title       string
	Detail      string
	RetryIsSafe bool // a retry is; else it is not known whether the request was carried out
}

// ResponseReport is what an answer tells beside its body.
type ResponseReport struct {
	Outcome decision.Outcome
	Load    []float64 // in the order of Settings.LoadFields; NaN: not told; nil: no report
	Units   float64   // true units; 0: not told
}

// Protocol is one way in and out.
type Protocol interface {
	// ParseRequest fills an ask from a request's head. It returns an answer where no decision is needed.
	ParseRequest(h *http1.Head, ask *RequestInfo) *LocalResponse
	// RenderRequest renders a request as boxes get it, into b, which has room. head is where Attempt adds fields; 0: nowhere.
	RenderRequest(b []byte, h *http1.Head, body []byte, trailers []http1.Field, remote string) (wire []byte, head int)
	// RenderAttempt is a rendered request as one attempt sends it, which is given up after left.
	RenderAttempt(wire []byte, head int, left time.Duration) []byte
	// RenderProbe renders a question for a box's load.
	RenderProbe(addr string) []byte
	// ParseResponse reads the head of a whole answer; body is what it brought.
	ParseResponse(h *http1.Head, body []byte, probe bool) ResponseReport
	// RenderResponseHead appends the status line and the fields of an answer that go on to the client.
	RenderResponseHead(b []byte, h *http1.Head) []byte
	// AppendRetryAfter appends the value of that field, which is above 0.
	AppendRetryAfter(b []byte, d time.Duration) []byte
	// NewCounterCodec begins a connection to the counter.
	NewCounterCodec() CounterCodec
}

// CounterCodec is the codec of one connection to the counter.
type CounterCodec interface {
	// AppendCall appends a call. A TTL is the life of a new name.
	AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte
	// Feed takes bytes in and returns how many it used; Got tells that a call's reply is whole. Call it with the rest
	// until nothing is left. An error is final: the connection is of no further use.
	Feed(b []byte) (n int, r CounterReply, err error)
}

// CounterReply is the end of the oldest call that had none.
type CounterReply struct {
	Complete bool
	Added    bool // else turned away, nothing added
	Total    float64
}

// ErrMalformedReply is a counter's reply that can't be read.
var ErrMalformedReply = errors.New("the counter's reply can't be read")
