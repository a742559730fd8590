// Package protocol is the seam between the proxy and what it speaks: how a request's head becomes a RequestInfo, how an
// attempt is written, what a response reports, and how the shared counter is spoken to.
//
// An implementation parses and renders and decides nothing; it opens no connection, reads no clock and starts no goroutine.
// It is chosen once, when an instance is built. Package proxy has that of the configuration file, package internal/platform
// that of the operators' platform.
package protocol

import (
	"errors"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/routes"
)

// RequestInfo is what a request asks for, as its head says.
type RequestInfo struct {
	Operation  *routes.Operation // never nil in a request that goes on to a decision
	Class      decision.ClassID  // of the operation
	Customer   *config.Customer  // never nil in a request that goes on to a decision
	Units      float64           // cost, in units of the customer's quota
	IsRetry    bool              // the client says that it has sent the request before
	Timeout    time.Duration     // how long the client waits in all, from the request's last byte
	UniqueName string            // name that no other open request may have; empty: none
}

// LocalResponse is one of the gateway's own responses: a problem of RFC 9457 where its status is 400 or more, and without a
// body else. It is not changed once it is in use.
type LocalResponse struct {
	Status      int
	Kind        string // last part of the problem type's URN
	Title       string
	Detail      string
	RetryIsSafe bool // the request was not run; else it is not known whether it was
}

// ResponseReport is what a response reports beside its body.
type ResponseReport struct {
	Outcome decision.Outcome // OK, Rejected or BackendError
	Load    []float64        // values in the order of decision.Settings.LoadFields; NaN: not reported; nil: no report
	Units   float64          // the request's true cost, in units; 0: not reported
}

// Protocol parses and renders what an instance reads and writes. All goroutines may call its methods at once. No method
// blocks, changes its arguments beyond what it says, or keeps a slice that it was given.
type Protocol interface {
	// ParseRequest fills info, which is empty, from the head of a client's request. It returns a response where the request
	// needs no decision, because it is wrong or is answered by the gateway itself; info may be incomplete then. A
	// ClientConn calls it once a request.
	ParseRequest(h *http1.Head, info *RequestInfo) *LocalResponse

	// RenderRequest appends a request to b as backends get it, and returns it with the offset at which RenderAttempt adds
	// header fields; 0: nowhere. clientAddr is the client's IP address. A ClientConn calls it once a request, with the
	// complete body; what it returns is shared by all attempts and must not be changed.
	RenderRequest(b []byte, h *http1.Head, body []byte, trailers []http1.Field, clientAddr string) (rendered []byte, attemptFieldsAt int)

	// RenderAttempt returns a rendered request as one attempt sends it, which is given up after timeLeft. It may return
	// rendered itself. The instance calls it just before the attempt's first byte.
	RenderAttempt(rendered []byte, attemptFieldsAt int, timeLeft time.Duration) []byte

	// RenderProbe returns a health check for the backend at addr (host:port). Its attempt adds no fields.
	RenderProbe(addr string) []byte

	// ParseResponse reads the head of a backend's response, and the body as far as it was held, which is all of it for a
	// health check. A ResponseReader calls it when the response is complete, and when it begins to be streamed.
	ParseResponse(h *http1.Head, body []byte, isProbe bool) ResponseReport

	// RenderResponseHead appends the status line and the header fields of a backend's response that go on to the client.
	// What frames the body and the end of the head are the caller's.
	RenderResponseHead(b []byte, h *http1.Head) []byte

	// AppendRetryAfter appends the value of a Retry-After field; after is above 0.
	AppendRetryAfter(b []byte, after time.Duration) []byte

	// NewCounterCodec returns the codec of a new connection to the counter.
	NewCounterCodec() CounterCodec
}

// CounterCodec is the codec of one connection to the shared counter. It belongs to one goroutine at a time, the owner of the
// instance, and no method blocks. Replies come in the order of the calls.
type CounterCodec interface {
	// AppendCall appends a call that adds amount, in units, to the counter's value of a name. ttl is the lifetime that a
	// name gets with its first call.
	AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte

	// Feed takes bytes of the counter and returns how many it used, and a complete reply if there is one. It is called
	// with the rest until nothing is left. An error, ErrMalformedReply or another, is final: the connection can't be used
	// any more.
	Feed(b []byte) (used int, reply CounterReply, err error)
}

// CounterReply is the counter's reply to the oldest call without one.
type CounterReply struct {
	Complete bool    // else more bytes are needed, and the rest is empty
	Added    bool    // else the counter rejected the call, and nothing was added
	Total    float64 // the name's value after the call, in units; set where Added
}

// ErrMalformedReply is the error of a counter's reply that can't be read.
var ErrMalformedReply = errors.New("the counter's reply can't be read")
