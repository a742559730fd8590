package http1

import (
	"strconv"
	"strings"
)

// crlf ends every line of a head and of chunk framing (RFC 9112 section 2.2).
const crlf = "\r\n"

// Head is a start line with its fields, and the properties of the body that follow from them. It is immutable once a Reader
// has returned it.
type Head struct {
	Method, Target string // of a request
	Path, Query    string // of a request's target; Path is "*" for OPTIONS *
	Authority      string // of a request: the host, with the port if there is one
	Status         int    // of a response
	Reason         string // of a response
	Minor          int    // HTTP/1.Minor: 0 or 1
	Fields         []Field
	Length         int64 // of the body in bytes; or Chunked or UntilClose
	Close          bool  // the connection does not persist after this message
	Continue       bool  // of a request: the client waits for 100 (RFC 9110 section 10.1.1)

	hasTransferEncoding bool
	hasContentLength    bool
}

// Values of Length for bodies without a stated length.
const (
	Chunked    = -1 // the last chunk ends the body (RFC 9112 section 7.1)
	UntilClose = -2 // the end of the connection ends the body (RFC 9112 section 6.3, item 8)
)

// Get returns the value of the first field with a name, and whether there is one. Case is ignored.
func (h *Head) Get(name string) (string, bool) {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value, true
		}
	}
	return "", false
}

// Nominated reports whether a Connection field of the head lists another field as a connection option. Such a field is not
// forwarded (RFC 9110 section 7.6.1).
func (h *Head) Nominated(name string) bool {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, "Connection") && hasListMember(h.Fields[i].Value, name) {
			return true
		}
	}
	return false
}

// parseRequest parses the complete head of a request, which ends with an empty line.
func parseRequest(raw string) (*Head, *Error) {
	line, lines, _ := strings.Cut(raw, crlf)
	h := &Head{}
	if err := h.parseRequestLine(line); err != nil {
		return nil, err
	}
	fields, err := parseFieldLines(lines)
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

// parseRequestLine parses method, target and version, separated by single spaces (RFC 9112 section 3).
func (h *Head) parseRequestLine(line string) *Error {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) || target == "" {
		return badRequest("a request line that is not method, target and version")
	}
	if err := h.parseVersion(version); err != nil {
		return err
	}
	if !isTargetForm(target) {
		return badRequest("a byte in the target that no URI has")
	}
	h.Method = method
	h.Target = target
	return nil
}

// parseVersion parses the HTTP version, which must be 1.0 or 1.1 (RFC 9112 section 2.3).
func (h *Head) parseVersion(version string) *Error {
	const form = "HTTP/D.D" // D: a digit
	const major, point, minor = 5, 6, 7
	if len(version) != len(form) || version[:major] != form[:major] || version[point] != '.' ||
		!isDigit(version[major]) || !isDigit(version[minor]) {
		return badRequest("no version of HTTP")
	}
	if version[major] != '1' || version[minor] > '1' {
		return &Error{statusHTTPVersionUnsupported, "version " + version}
	}
	h.Minor = int(version[minor] - '0')
	return nil
}

// parseResponse parses the complete head of a response to a request with the given method.
func parseResponse(raw, method string) (*Head, *Error) {
	line, lines, _ := strings.Cut(raw, crlf)
	h := &Head{}
	if err := h.parseStatusLine(line); err != nil {
		return nil, err
	}
	fields, err := parseFieldLines(lines)
	if err != nil {
		return nil, err
	}
	h.Fields = fields
	if err := h.resolveFraming(false); err != nil {
		return nil, err
	}
	if err := h.resolveResponseBody(method); err != nil {
		return nil, err
	}
	return h, nil
}

// parseStatusLine parses version, status code and reason phrase. The phrase may be missing (RFC 9112 section 4).
func (h *Head) parseStatusLine(line string) *Error {
	version, rest, _ := strings.Cut(line, " ")
	if err := h.parseVersion(version); err != nil {
		return err
	}
	code, reason, _ := strings.Cut(rest, " ")
	if !isStatusCode(code) {
		return badRequest("no status code")
	}
	if !isFieldValue(reason) {
		return badRequest("a control byte in the status line")
	}
	h.Status, _ = strconv.Atoi(code) // three digits always parse
	h.Reason = reason
	return nil
}

// isStatusCode reports whether s consists of three digits of which the first is not 0 (RFC 9110 section 15).
func isStatusCode(s string) bool {
	return len(s) == 3 && isDigit(s[0]) && s[0] != '0' && isDigit(s[1]) && isDigit(s[2])
}
