package proxy

import (
	"strconv"
	"time"

	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// localResponse is one of this program's own answers.
type localResponse = protocol.LocalResponse

func newLocalResponse(status int, kind, title, detail string, retryIsSafe bool) localResponse {
	return localResponse{Status: status, Kind: kind, Title: title, Detail: detail, RetryIsSafe: retryIsSafe}
}

var (
	overQuota          = newLocalResponse(429, "beyond-quota", "Beyond the quota", "The studio's plan allows no more now.", true)
	noCapacity         = newLocalResponse(503, "no-room", "No room", "The boxes have no room for this request in time.", true)
	attemptFailed      = newLocalResponse(502, "failed", "Failed", "A box was tried; whether it acted is not known.", false)
	deadlineExceeded   = newLocalResponse(504, "late", "No answer in time", "A box was tried; whether it acted is not known.", false)
	shuttingDown       = newLocalResponse(503, "shutting-down", "Shutting down", "This front door takes no more requests.", true)
	notReady           = newLocalResponse(503, "starting", "Starting", "This front door has no list of boxes yet.", true)
	outOfMemory        = newLocalResponse(503, "no-memory", "No room", "This front door holds as many bodies as it may.", true)
	tooManyConnections = newLocalResponse(503, "connections", "Too many connections", "This front door has as many as it may.", true)
	queueFull          = newLocalResponse(503, "queue", "Too busy", "This front door has more to decide than it may queue.", true)

	duplicateName = newLocalResponse(409, "same-name", "Open already", "A request of this name is open.", true)

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

// appendLocalResponse appends an answer of this program to a request of the given method.
func (s *Shared) appendLocalResponse(b []byte, response *localResponse, method string, minorVersion int, closeAfterResponse bool, retryAfter time.Duration) []byte {
	b = http1.AppendStatus(b, response.Status, http1.StatusText(response.Status))
	if retryAfter > 0 && s.Config.RetryAfter.Enabled {
		b = append(b, "Retry-After: "...)
		b = append(s.Protocol.AppendRetryAfter(b, retryAfter), '\r', '\n')
	}
	if response.Status < 400 { // nothing is wrong, and there is nothing more to say
		b = http1.AppendLength(b, 0)
		return append(appendConnectionField(b, minorVersion, closeAfterResponse), '\r', '\n')
	}
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	if response.Status == 401 {
		b = append(b, "WWW-Authenticate: Bearer\r\n"...)
	}
	retryField := "unknown"
	if response.RetryIsSafe {
		retryField = "harmless"
	}
	const a, c, d, e, f, z = `{"type":"urn:sandyard:problem:`, `","title":"`, `","status":`, `,"detail":"`, `","retry":"`, "\"}\n"
	length := len(a) + len(response.Kind) + len(c) + len(response.Title) + len(d) + 3 + len(e) + len(response.Detail) + len(f) + len(retryField) + len(z)
	b = http1.AppendLength(b, int64(length))
	b = appendConnectionField(b, minorVersion, closeAfterResponse)
	b = append(b, '\r', '\n')
	if method == "HEAD" {
		return b
	}
	b = append(b, a...)
	b = append(b, response.Kind...)
	b = append(b, c...)
	b = append(b, response.Title...)
	b = append(b, d...)
	b = strconv.AppendInt(b, int64(response.Status), 10)
	b = append(b, e...)
	b = append(b, response.Detail...)
	b = append(b, f...)
	b = append(b, retryField...)
	return append(b, z...)
}

// appendConnectionField says what becomes of the connection, where it is not what the version says by itself.
func appendConnectionField(b []byte, minorVersion int, closeAfterResponse bool) []byte {
	switch {
	case closeAfterResponse:
		b = append(b, "Connection: close\r\n"...)
	case minorVersion == 0:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// TooManyConnections is the answer to a connection beyond limits.connections, which is closed after it.
func (s *Shared) TooManyConnections() []byte {
	return s.appendLocalResponse(nil, &tooManyConnections, "GET", 1, true, time.Second)
}
