package proxy

import (
	"strconv"
	"time"

	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// localResponse is one of the gateway's own responses.
type localResponse = protocol.LocalResponse

// newLocalResponse returns a response with a problem's kind, title and detail. These texts are part of the stable output,
// on which clients may rely; do not change them.
func newLocalResponse(status int, kind, title, detail string, retryIsSafe bool) localResponse {
	return localResponse{Status: status, Kind: kind, Title: title, Detail: detail, RetryIsSafe: retryIsSafe}
}

// Responses for actions of the decision gateway.
var (
	overQuota        = newLocalResponse(429, "beyond-quota", "Beyond the quota", "The studio's plan allows no more now.", true)
	noCapacity       = newLocalResponse(503, "no-room", "No room", "The boxes have no room for this request in time.", true)
	attemptFailed    = newLocalResponse(502, "failed", "Failed", "A box was tried; whether it acted is not known.", false)
	deadlineExceeded = newLocalResponse(504, "late", "No answer in time", "A box was tried; whether it acted is not known.", false)
)

// Responses of an instance that can't accept any request.
var (
	shuttingDown       = newLocalResponse(503, "shutting-down", "Shutting down", "This front door takes no more requests.", true)
	notReady           = newLocalResponse(503, "starting", "Starting", "This front door has no list of boxes yet.", true)
	outOfMemory        = newLocalResponse(503, "no-memory", "No room", "This front door holds as many bodies as it may.", true)
	tooManyConnections = newLocalResponse(503, "connections", "Too many connections", "This front door has as many as it may.", true)
	queueFull          = newLocalResponse(503, "queue", "Too busy", "This front door has more to decide than it may queue.", true)
)

// duplicateName is the response to a request whose unique name is used by another open request.
var duplicateName = newLocalResponse(409, "same-name", "Open already", "A request of this name is open.", true)

// repeatedName is the response to a request whose unique name was used by a request that may have run.
var repeatedName = newLocalResponse(409, "name-used", "Sent already", "A request of this name was sent to a box; whether it acted is not known.", false)

// Responses to invalid requests.
var (
	missingKey            = newLocalResponse(401, "no-key", "No key", "The request carries no key of a studio.", true)
	unknownKey            = newLocalResponse(401, "unknown-key", "Unknown key", "The key belongs to no studio.", true)
	pathNotFound          = newLocalResponse(404, "no-route", "No such path", "The description has no such path.", true)
	methodNotAllowed      = newLocalResponse(405, "no-method", "No such method", "The description has the path, but not this method.", true)
	ambiguousPath         = newLocalResponse(400, "path", "Ambiguous path", "Dot segments and needless escapes are not taken.", true)
	invalidUnits          = newLocalResponse(400, "units", "Bad units", "The parameter that tells the units is no number in its bounds.", true)
	invalidTimeout        = newLocalResponse(400, "patience", "Bad patience", "The field that tells the client's patience is no number of milliseconds.", true)
	missingIdempotencyKey = newLocalResponse(400, "no-idempotency-key", "No Idempotency-Key", "This operation needs an Idempotency-Key.", true)
	malformedRequest      = newLocalResponse(400, "malformed", "Malformed request", "The request can't be read in one way only.", true)
	requestTimeout        = newLocalResponse(408, "slow", "Too slow", "The request took too long to arrive.", true)
	bodyTooLarge          = newLocalResponse(413, "too-large", "Too large", "The body is larger than this front door holds.", true)
)

// appendLocalResponse appends a response to a request with the given method and HTTP/1 minor version. A response with a
// status of 400 or more has an RFC 9457 problem as its body. If retryAfter is above 0 and the configuration enables it, the
// response has a Retry-After field.
func (s *Shared) appendLocalResponse(b []byte, response *localResponse, method string, minorVersion int, closeAfterResponse bool, retryAfter time.Duration) []byte {
	b = http1.AppendStatus(b, response.Status, http1.StatusText(response.Status))
	if retryAfter > 0 && s.Config.RetryAfter.Enabled {
		b = append(b, "Retry-After: "...)
		b = append(s.Protocol.AppendRetryAfter(b, retryAfter), '\r', '\n')
	}
	if response.Status < 400 { // no problem to describe
		b = http1.AppendLength(b, 0)
		return append(appendConnectionField(b, minorVersion, closeAfterResponse), '\r', '\n')
	}
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	if response.Status == 401 {
		b = append(b, "WWW-Authenticate: Bearer\r\n"...)
	}
	retryAdvice := "unknown"
	if response.RetryIsSafe {
		retryAdvice = "harmless"
	}
	b = http1.AppendLength(b, int64(problemLength(response, retryAdvice)))
	b = appendConnectionField(b, minorVersion, closeAfterResponse)
	b = append(b, '\r', '\n')
	if method == "HEAD" {
		return b
	}
	return appendProblem(b, response, retryAdvice)
}

// The parts of a problem's JSON between its values. The values must not contain characters that JSON escapes.
const (
	problemType   = `{"type":"urn:sandyard:problem:`
	problemTitle  = `","title":"`
	problemStatus = `","status":`
	problemDetail = `,"detail":"`
	problemRetry  = `","retry":"`
	problemEnd    = "\"}\n"

	statusDigits = 3
)

// problemLength returns the number of bytes that appendProblem appends.
func problemLength(response *localResponse, retryAdvice string) int {
	pieces := len(problemType) + len(problemTitle) + len(problemStatus) + len(problemDetail) + len(problemRetry) + len(problemEnd)
	return pieces + len(response.Kind) + len(response.Title) + statusDigits + len(response.Detail) + len(retryAdvice)
}

// appendProblem appends a response's body.
func appendProblem(b []byte, response *localResponse, retryAdvice string) []byte {
	b = append(b, problemType...)
	b = append(b, response.Kind...)
	b = append(b, problemTitle...)
	b = append(b, response.Title...)
	b = append(b, problemStatus...)
	b = strconv.AppendInt(b, int64(response.Status), 10)
	b = append(b, problemDetail...)
	b = append(b, response.Detail...)
	b = append(b, problemRetry...)
	b = append(b, retryAdvice...)
	return append(b, problemEnd...)
}

// appendConnectionField appends a Connection field: close if the connection is closed after the response, or keep-alive if
// an HTTP/1.0 connection stays open.
func appendConnectionField(b []byte, minorVersion int, closeAfterResponse bool) []byte {
	switch {
	case closeAfterResponse:
		b = append(b, "Connection: close\r\n"...)
	case minorVersion == 0:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// TooManyConnections returns the response for a connection beyond limits.connections. The connection is closed after it.
func (s *Shared) TooManyConnections() []byte {
	return s.appendLocalResponse(nil, &tooManyConnections, "GET", 1, true, localRetryAfter)
}
