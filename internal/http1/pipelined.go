package http1

import "bytes"

// maxMethod is the longest method (bytes) that MayBeginRequest accepts; the longest registered one has 17.
const maxMethod = 32

// ErrExcessBody is the error of a request whose body is followed by bytes that can't begin another request.
var ErrExcessBody = badRequest("a body that is longer than its length")

// MayBeginRequest reports whether b can be the beginning of a request line, of which any part may not be received yet (RFC 9112
// section 3). It accepts methods in the form of the registered ones, upper-case letters and hyphens, so that it can reject most
// other text by its first byte. One empty line before the request is skipped, as by a Reader.
func MayBeginRequest(b []byte) bool {
	b = bytes.TrimPrefix(b, []byte(crlf))
	if len(b) == 0 || string(b) == "\r" {
		return true
	}
	line, _, complete := bytes.Cut(b, []byte(crlf))
	method, rest, hasTarget := bytes.Cut(line, []byte(" "))
	if !isMethodForm(method) {
		return false
	}
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	if !isTargetForm(target) || complete && !hasVersion || hasVersion && len(target) == 0 {
		return false
	}
	return !hasTarget || !hasVersion || mayBeginVersion(string(bytes.TrimSuffix(version, []byte("\r"))))
}

// isMethodForm reports whether a method has the form of the registered ones.
func isMethodForm(method []byte) bool {
	for _, c := range method {
		if (c < 'A' || c > 'Z') && c != '-' {
			return false
		}
	}
	return len(method) > 0 && len(method) <= maxMethod
}

// isTargetForm reports whether a target, or a part of it, has only bytes that a URI may have.
func isTargetForm[T string | []byte](target T) bool {
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= del {
			return false
		}
	}
	return true
}

// mayBeginVersion reports whether s is a beginning of an HTTP version of any number.
func mayBeginVersion(s string) bool {
	const form = "HTTP/D.D" // D: a digit
	if len(s) > len(form) {
		return false
	}
	for i := range len(s) {
		if s[i] != form[i] && (form[i] != 'D' || !isDigit(s[i])) {
			return false
		}
	}
	return true
}
