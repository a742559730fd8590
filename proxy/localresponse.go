package proxy

import (
	"strconv"
	"time"

	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// problem is one of this program's own answers.
type problem = protocol.LocalResponse

func says(status int, kind, title, detail string, harmless bool) problem {
	return problem{Status: status, Kind: kind, Title: title, Detail: detail, RetryIsSafe: harmless}
}

var (
	beyondQuota  = says(429, "beyond-quota", "Beyond the quota", "The studio's plan allows no more now.", true)
	noRoom       = says(503, "no-room", "No room", "The boxes have no room for this request in time.", true)
	failedHere   = says(502, "failed", "Failed", "A box was tried; whether it acted is not known.", false)
	failedLate   = says(504, "late", "No answer in time", "A box was tried; whether it acted is not known.", false)
	shuttingDown = says(503, "shutting-down", "Shutting down", "This front door takes no more requests.", true)
	notReady     = says(503, "starting", "Starting", "This front door has no list of boxes yet.", true)
	outOfMemory  = says(503, "no-memory", "No room", "This front door holds as many bodies as it may.", true)
	tooMany      = says(503, "connections", "Too many connections", "This front door has as many as it may.", true)
	tooBusy      = says(503, "queue", "Too busy", "This front door has more to decide than it may queue.", true)

	sameName = says(409, "same-name", "Open already", "A request of this name is open.", true)

	noKey       = says(401, "no-key", "No key", "The request carries no key of a studio.", true)
	wrongKey    = says(401, "unknown-key", "Unknown key", "The key belongs to no studio.", true)
	noRoute     = says(404, "no-route", "No such path", "The description has no such path.", true)
	noMethod    = says(405, "no-method", "No such method", "The description has the path, but not this method.", true)
	badPath     = says(400, "path", "Ambiguous path", "Dot segments and needless escapes are not taken.", true)
	badUnits    = says(400, "units", "Bad units", "The parameter that tells the units is no number in its bounds.", true)
	badPatience = says(400, "patience", "Bad patience", "The field that tells the client's patience is no number of milliseconds.", true)
	noIdemKey   = says(400, "no-idempotency-key", "No Idempotency-Key", "This operation needs an Idempotency-Key.", true)
	badRequest  = says(400, "malformed", "Malformed request", "The request can't be read in one way only.", true)
	tooSlow     = says(408, "slow", "Too slow", "The request took too long to arrive.", true)
	tooLarge    = says(413, "too-large", "Too large", "The body is larger than this front door holds.", true)
)

// own appends an answer of this program to a request of the given method.
func (s *Shared) own(b []byte, p *problem, method string, minor int, closing bool, retryAfter time.Duration) []byte {
	b = http1.AppendStatus(b, p.Status, http1.StatusText(p.Status))
	if retryAfter > 0 && s.Config.RetryAfter.Enabled {
		b = append(b, "Retry-After: "...)
		b = append(s.Protocol.AppendRetryAfter(b, retryAfter), '\r', '\n')
	}
	if p.Status < 400 { // nothing is wrong, and there is nothing more to say
		b = http1.AppendLength(b, 0)
		return append(connection(b, minor, closing), '\r', '\n')
	}
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	if p.Status == 401 {
		b = append(b, "WWW-Authenticate: Bearer\r\n"...)
	}
	retry := "unknown"
	if p.RetryIsSafe {
		retry = "harmless"
	}
	const a, c, d, e, f, z = `{"type":"urn:sandyard:problem:`, `","title":"`, `","status":`, `,"detail":"`, `","retry":"`, "\"}\n"
	length := len(a) + len(p.Kind) + len(c) + len(p.Title) + len(d) + 3 + len(e) + len(p.Detail) + len(f) + len(retry) + len(z)
	b = http1.AppendLength(b, int64(length))
	b = connection(b, minor, closing)
	b = append(b, '\r', '\n')
	if method == "HEAD" {
		return b
	}
	b = append(b, a...)
	b = append(b, p.Kind...)
	b = append(b, c...)
	b = append(b, p.Title...)
	b = append(b, d...)
	b = strconv.AppendInt(b, int64(p.Status), 10)
	b = append(b, e...)
	b = append(b, p.Detail...)
	b = append(b, f...)
	b = append(b, retry...)
	return append(b, z...)
}

// connection says what becomes of the connection, where it is not what the version says by itself.
func connection(b []byte, minor int, closing bool) []byte {
	switch {
	case closing:
		b = append(b, "Connection: close\r\n"...)
	case minor == 0:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// TooManyConnections is the answer to a connection beyond limits.connections, which is closed after it.
func (s *Shared) TooManyConnections() []byte {
	return s.own(nil, &tooMany, "GET", 1, true, time.Second)
}
