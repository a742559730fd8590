package door

import (
	"strconv"
	"time"

	"sandyard/internal/http1"
)

// problem is one of this program's own answers, a problem of RFC 9457.
type problem struct {
	status   int
	kind     string // last part of the type's URN
	title    string
	detail   string
	harmless bool // a retry is; else it is not known whether the request was carried out
}

var (
	beyondQuota  = problem{429, "beyond-quota", "Beyond the quota", "The studio's plan allows no more now.", true}
	noRoom       = problem{503, "no-room", "No room", "The boxes have no room for this request in time.", true}
	failedHere   = problem{502, "failed", "Failed", "A box was tried; whether it acted is not known.", false}
	failedLate   = problem{504, "late", "No answer in time", "A box was tried; whether it acted is not known.", false}
	shuttingDown = problem{503, "shutting-down", "Shutting down", "This front door takes no more requests.", true}
	outOfMemory  = problem{503, "no-memory", "No room", "This front door holds as many bodies as it may.", true}
	tooMany      = problem{503, "connections", "Too many connections", "This front door has as many as it may.", true}
	tooBusy      = problem{503, "queue", "Too busy", "This front door has more to decide than it may queue.", true}

	noKey       = problem{401, "no-key", "No key", "The request carries no key of a studio.", true}
	wrongKey    = problem{401, "unknown-key", "Unknown key", "The key belongs to no studio.", true}
	noRoute     = problem{404, "no-route", "No such path", "The description has no such path.", true}
	noMethod    = problem{405, "no-method", "No such method", "The description has the path, but not this method.", true}
	badPath     = problem{400, "path", "Ambiguous path", "Dot segments and needless escapes are not taken.", true}
	badUnits    = problem{400, "units", "Bad units", "The parameter that tells the units is no number in its bounds.", true}
	badPatience = problem{400, "patience", "Bad patience", "The field that tells the client's patience is no number of milliseconds.", true}
	noIdemKey   = problem{400, "no-idempotency-key", "No Idempotency-Key", "This operation needs an Idempotency-Key.", true}
	badRequest  = problem{400, "malformed", "Malformed request", "The request can't be read in one way only.", true}
	tooSlow     = problem{408, "slow", "Too slow", "The request took too long to arrive.", true}
	tooLarge    = problem{413, "too-large", "Too large", "The body is larger than this front door holds.", true}
)

// append renders the answer for a request of the given method.
func (p problem) append(b []byte, method string, minor int, closing bool, retryAfter time.Duration) []byte {
	b = http1.AppendStatus(b, p.status, http1.StatusText(p.status))
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	if retryAfter > 0 { // whole seconds, rounded up (RFC 9110 section 10.2.3)
		b = append(b, "Retry-After: "...)
		b = strconv.AppendInt(b, int64((retryAfter+time.Second-1)/time.Second), 10)
		b = append(b, '\r', '\n')
	}
	if p.status == 401 {
		b = append(b, "WWW-Authenticate: Bearer\r\n"...)
	}
	retry := "unknown"
	if p.harmless {
		retry = "harmless"
	}
	const a, c, d, e, f, z = `{"type":"urn:sandyard:problem:`, `","title":"`, `","status":`, `,"detail":"`, `","retry":"`, "\"}\n"
	length := len(a) + len(p.kind) + len(c) + len(p.title) + len(d) + 3 + len(e) + len(p.detail) + len(f) + len(retry) + len(z)
	b = http1.AppendLength(b, int64(length))
	b = connection(b, minor, closing)
	b = append(b, '\r', '\n')
	if method == "HEAD" {
		return b
	}
	b = append(b, a...)
	b = append(b, p.kind...)
	b = append(b, c...)
	b = append(b, p.title...)
	b = append(b, d...)
	b = strconv.AppendInt(b, int64(p.status), 10)
	b = append(b, e...)
	b = append(b, p.detail...)
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

// Busy is the answer to a connection beyond limits.connections, which is closed after it.
func Busy() []byte { return tooMany.append(nil, "GET", 1, true, time.Second) }
