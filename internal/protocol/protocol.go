// Package protocol defines the interface between the proxy and a protocol adapter: how a request's head is parsed into a
// RequestInfo, how an attempt is rendered, what a response reports, and how calls to the shared counter are encoded.
//
// An implementation only parses and renders: it makes no decisions, opens no connection, reads no clock and starts no
// goroutine. It is chosen once, when an instance is created. Package proxy implements the protocol of the configuration
// file, package internal/platform that of the operators' platform.
package protocol

import (
	"errors"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/routes"
)

// RequestInfo is the information in the head of a request.
type RequestInfo struct {
	Operation  *routes.Operation // never nil in a request that needs a decision
	Class      decision.ClassID  // of the operation
	Customer   *config.Customer  // never nil in a request that needs a decision
	Units      float64           // cost (units of the customer's quota)
	IsRetry    bool              // the client has marked the request as a retry
	Timeout    time.Duration     // how long the client waits in total, from the request's last byte
	UniqueName string            // name that no other open request may have; empty: none
}

// LocalResponse is one of the gateway's own responses. It has an RFC 9457 problem as its body if its status is 400 or more,
// and no body otherwise. It must not be modified.
type LocalResponse struct {
	Status      int
	Kind        string // last part of the problem type's URN
	Title       string
	Detail      string
	RetryIsSafe bool // the request was not run; if false, it may have run
}

// ResponseReport is what a response reports besides its body.
type ResponseReport struct {
	Outcome decision.Outcome // OK, Rejected or BackendError
	Load    []float64        // values in the order of decision.Settings.LoadFields; NaN: not reported; nil: no report
	Units   float64          // the request's true cost (units); 0: not reported
}

// Protocol parses and renders what an instance receives and sends. It is safe for concurrent use. No method blocks, modifies
// its arguments except as documented, or retains a slice argument.
type Protocol interface {
	// ParseRequest sets info, which is empty, from the head of a client's request. It returns a response if the request
	// needs no decision, because it is invalid or the gateway answers it itself; info may then be incomplete. A ClientConn
	// calls it once per request.
	ParseRequest(h *http1.Head, info *RequestInfo) *LocalResponse

	// RenderRequest appends a request to b in the form in which backends get it. It returns b and the offset at which
	// RenderAttempt adds header fields; 0: nowhere. clientAddr is the client's IP address. A ClientConn calls it once per
	// request, with the complete body. The result is shared by all attempts and must not be modified.
	RenderRequest(b []byte, h *http1.Head, body []byte, trailers []http1.Field, clientAddr string) (rendered []byte, attemptFieldsAt int)

	// RenderAttempt returns a rendered request in the form in which one attempt sends it. The attempt times out after
	// timeLeft. RenderAttempt may return rendered itself. The instance calls it just before the attempt's first byte.
	RenderAttempt(rendered []byte, attemptFieldsAt int, timeLeft time.Duration) []byte

	// RenderProbe returns a health check for the backend at addr (host:port). Its attempt adds no fields.
	RenderProbe(addr string) []byte

	// ParseResponse parses the head of a backend's response, and the buffered part of its body, which is the complete body
	// for a health check. A ResponseReader calls it when the response is complete, and when it starts to be streamed.
	ParseResponse(h *http1.Head, body []byte, isProbe bool) ResponseReport

	// RenderResponseHead appends the status line of a backend's response and the header fields that the client gets. The
	// caller appends the fields that frame the body and the end of the head.
	RenderResponseHead(b []byte, h *http1.Head) []byte

	// AppendRetryAfter appends the value of a Retry-After field. after must be above 0.
	AppendRetryAfter(b []byte, after time.Duration) []byte

	// NewCounterCodec returns the codec of a new connection to the counter.
	NewCounterCodec() CounterCodec
}

// CounterCodec is the codec of one connection to the shared counter. It belongs to one goroutine at a time, the owner of the
// instance, and no method blocks. Replies arrive in the order of the calls.
type CounterCodec interface {
	// AppendCall appends a call that adds amount (units) to the counter's value of a name. ttl is the lifetime that the
	// name gets at its first call.
	AppendCall(b []byte, name string, amount float64, ttl time.Duration) []byte

	// Feed parses bytes from the counter. It returns the number of bytes used, and a complete reply if there is one. The
	// caller calls it again with the remaining bytes until none are left. An error, ErrMalformedReply or another, is final:
	// the connection can't be used any more.
	Feed(b []byte) (used int, reply CounterReply, err error)
}

// CounterReply is the counter's reply to the oldest pending call.
type CounterReply struct {
	Complete bool    // false: more bytes are needed, and the other fields are zero
	Added    bool    // false: the counter rejected the call, and nothing was added
	Total    float64 // the name's value after the call (units); set if Added
}

// ErrMalformedReply is returned for a reply of the counter that can't be parsed.
var ErrMalformedReply = errors.New("the counter's reply can't be parsed")
