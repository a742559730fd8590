// Package http1 is HTTP/1.1 as bytes in and values out: incremental readers of requests and responses (RFC 9112)
// and writers that append to a buffer. It opens no connection, reads no clock and starts no goroutine. A Reader
// belongs to one goroutine at a time; heads it has returned are immutable and may be shared.
//
// It is strict where leniency lets two parsers disagree about where a message ends: what two honest
// implementations could read differently is an error, and the connection it came on can't be used again.
package http1

import (
	"strconv"
	"strings"
)

// Error is a message that can't be accepted. Status is the answer a server owes for it, by RFC 9110 section 15.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func badRequest(reason string) *Error { return &Error{400, reason} }

// Field is one line of a head or of trailers. Names keep the case they came in.
type Field struct{ Name, Value string }

// Head is a start line with its fields, and what they say of the body.
type Head struct {
	Method, Target                        string // of a request
	Path, Query                           string // of a request's target; Path is "*" for OPTIONS *
	Authority                             string // of a request: the host that it names
	Status                                int    // of a response
	Reason                                string // of a response
	Minor                                 int    // HTTP/1.Minor
	Fields                                []Field
	Length                                int64 // of the body; -1: chunked, -2: until the connection ends
	Close                                 bool  // the sender won't use the connection after this message
	Continue                              bool  // a request that waits for 100 (RFC 9110 section 10.1.1)
	hasTransferEncoding, hasContentLength bool
}

// Lengths of bodies that no field states.
const (
	Chunked    = -1
	UntilClose = -2
)

// Get is the value of the first field of a name; names match in any case.
func (h *Head) Get(name string) (string, bool) {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value, true
		}
	}
	return "", false
}

// equalFold compares ASCII names without folding through Unicode, where K and the Kelvin sign are alike.
func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := 0; i < len(a); i++ {
		x, y := a[i], b[i]
		if x == y {
			continue
		}
		if x|0x20 != y|0x20 || x|0x20 < 'a' || x|0x20 > 'z' {
			return false
		}
	}
	return true
}

// tokenBytes holds the bytes of a token (RFC 9110 section 5.6.2).
var tokenBytes = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-32] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// isFieldValue tells whether s may be a field's value: no control byte but the tab (RFC 9110 section 5.5).
func isFieldValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < 0x20 && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// parseFields reads lines, each ended by CRLF, into fields.
func parseFields(lines string, fields []Field) ([]Field, *Error) {
	for lines != "" {
		line, rest, _ := strings.Cut(lines, "\r\n")
		lines = rest
		if line[0] == ' ' || line[0] == '\t' {
			return nil, badRequest("a folded line")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, badRequest("a field without a colon")
		}
		if !isToken(name) { // a space before the colon included
			return nil, badRequest("a field name that is no token")
		}
		value = strings.Trim(value, " \t")
		if !isFieldValue(value) {
			return nil, badRequest("a control byte in a field")
		}
		fields = append(fields, Field{name, value})
	}
	return fields, nil
}

// parseRequest reads a whole head, which ends in an empty line.
func parseRequest(raw string) (*Head, *Error) {
	line, lines, _ := strings.Cut(raw, "\r\n")
	h := &Head{}
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || target == "" {
		return nil, badRequest("a request line that is not method, target and version")
	}
	h.Method, h.Target = method, target
	if err := h.parseVersion(version); err != nil {
		return nil, err
	}
	for i := 0; i < len(target); i++ {
		if c := target[i]; c <= 0x20 || c >= 0x7f {
			return nil, badRequest("a byte in the target that no URI has")
		}
	}
	lines = lines[:len(lines)-2]
	fields, err := parseFields(lines, make([]Field, 0, strings.Count(lines, "\n")))
	if err != nil {
		return nil, err
	}
	h.Fields = fields
	if err := h.resolveTarget(); err != nil {
		return nil, err
	}
	if err := h.resolveFraming(true); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Head) parseVersion(v string) *Error {
	if len(v) != 8 || v[:5] != "HTTP/" || v[6] != '.' || v[5] < '0' || v[5] > '9' || v[7] < '0' || v[7] > '9' {
		return badRequest("no version of HTTP")
	}
	if v[5] != '1' || v[7] > '1' {
		return &Error{505, "version " + v}
	}
	h.Minor = int(v[7] - '0')
	return nil
}

// resolveTarget takes the target apart and settles which host is meant (RFC 9112 section 3.2).
func (h *Head) resolveTarget() *Error {
	host, n := "", 0
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, "Host") {
			host, n = h.Fields[i].Value, n+1
		}
	}
	if n > 1 || n == 0 && h.Minor == 1 {
		return badRequest("not exactly one Host")
	}
	if !isHost(host) {
		return badRequest("a Host that names none")
	}
	h.Authority = host
	t := h.Target
	switch {
	case h.Method == "CONNECT":
		return &Error{501, "CONNECT is not offered"}
	case t == "*":
		if h.Method != "OPTIONS" {
			return badRequest("target * without OPTIONS")
		}
	case t[0] == '/':
	default: // absolute-form
		scheme, rest, ok := strings.Cut(t, "://")
		if !ok || !equalFold(scheme, "http") && !equalFold(scheme, "https") {
			return badRequest("a target that is neither a path nor a URI")
		}
		i := strings.IndexAny(rest, "/?")
		if i < 0 {
			i = len(rest)
		}
		if !isHost(rest[:i]) || rest[:i] == "" || n == 1 && !equalFold(rest[:i], host) {
			return badRequest("a target that names another host than Host")
		}
		h.Authority = rest[:i]
		if t = rest[i:]; t == "" || t[0] == '?' {
			t = "/" + t
		}
	}
	if strings.IndexByte(t, '#') >= 0 {
		return badRequest("a fragment in the target")
	}
	h.Path, h.Query, _ = strings.Cut(t, "?")
	return nil
}

// isHost tells whether s can be a host with an optional port; user names in it are not taken.
func isHost(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; !tokenBytes[c] && c != ':' && c != '[' && c != ']' || c == '`' || c == '^' || c == '|' || c == '#' {
			return false
		}
	}
	return true
}

// resolveFraming settles how long the body is and what becomes of the connection (RFC 9112 sections 6 and 9.3).
func (h *Head) resolveFraming(request bool) *Error {
	h.Close = h.Minor == 0
	h.Length = 0
	codings := ""
	for i := range h.Fields {
		f := &h.Fields[i]
		switch {
		case equalFold(f.Name, "Content-Length"):
			if h.hasContentLength {
				return badRequest("more than one Content-Length")
			}
			n, err := strconv.ParseInt(f.Value, 10, 64)
			if err != nil || f.Value[0] < '0' || f.Value[0] > '9' {
				return badRequest("a Content-Length that is no number")
			}
			h.Length, h.hasContentLength = n, true
		case equalFold(f.Name, "Transfer-Encoding"):
			if h.hasTransferEncoding {
				codings += ","
			}
			codings, h.hasTransferEncoding = codings+f.Value, true
		case equalFold(f.Name, "Connection"):
			if hasToken(f.Value, "close") {
				h.Close = true
			} else if h.Minor == 0 && hasToken(f.Value, "keep-alive") {
				h.Close = false
			}
		case request && equalFold(f.Name, "Expect"):
			if !equalFold(f.Value, "100-continue") {
				return &Error{417, "an expectation other than 100-continue"}
			}
			h.Continue = h.Minor == 1
		}
	}
	if h.hasTransferEncoding {
		switch {
		case h.hasContentLength:
			return badRequest("both Transfer-Encoding and Content-Length")
		case h.Minor == 0:
			return badRequest("Transfer-Encoding in HTTP/1.0")
		case strings.Count(strings.ToLower(codings), "chunked") > 1:
			return badRequest("chunked twice")
		case !equalFold(codings, "chunked"):
			return &Error{501, "a transfer coding other than chunked"}
		}
		h.Length = Chunked
	}
	return nil
}

// hasToken tells whether a comma-separated list holds a token, in any case.
func hasToken(list, token string) bool {
	for list != "" {
		var one string
		one, list, _ = strings.Cut(list, ",")
		if equalFold(strings.Trim(one, " \t"), token) {
			return true
		}
	}
	return false
}

// parseResponse reads a whole head of an answer to a request of the given method.
func parseResponse(raw, method string) (*Head, *Error) {
	line, lines, _ := strings.Cut(raw, "\r\n")
	h := &Head{}
	version, rest, _ := strings.Cut(line, " ")
	if err := h.parseVersion(version); err != nil {
		return nil, err
	}
	code, reason, _ := strings.Cut(rest, " ")
	if len(code) != 3 || code[0] < '1' || code[0] > '9' || code[1] < '0' || code[1] > '9' || code[2] < '0' || code[2] > '9' {
		return nil, badRequest("no status code")
	}
	h.Status, _ = strconv.Atoi(code)
	if h.Reason = reason; !isFieldValue(reason) {
		return nil, badRequest("a control byte in the status line")
	}
	lines = lines[:len(lines)-2]
	fields, err := parseFields(lines, make([]Field, 0, strings.Count(lines, "\n")))
	if err != nil {
		return nil, err
	}
	h.Fields = fields
	if err := h.resolveFraming(false); err != nil {
		return nil, err
	}
	switch { // RFC 9112 section 6.3
	case h.Status == 101:
		return nil, badRequest("a switch of protocols that nobody asked for")
	case method == "HEAD" || h.Status < 200 || h.Status == 204 || h.Status == 304:
		if h.hasTransferEncoding && (h.Status < 200 || h.Status == 204) {
			return nil, badRequest("Transfer-Encoding where there is no body")
		}
		h.Length = 0
	case !h.hasTransferEncoding && !h.hasContentLength:
		h.Length, h.Close = UntilClose, true
	}
	return h, nil
}
