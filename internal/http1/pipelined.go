package http1

import "bytes"

// maxMethod is the longest method (bytes) that CheckFollowing accepts; the longest registered one has 17.
const maxMethod = 32

// ErrExcessBody is the error of a request whose body is followed by bytes that don't begin another request.
var ErrExcessBody = badRequest("a body that is longer than its length")

// Following says what the bytes behind a request's body are.
type Following uint8

const (
	// FollowingNothing means that no bytes follow, or an empty line, which some clients send behind a body (RFC 9112 section 2.2).
	FollowingNothing Following = iota
	// FollowingRequest means that a whole request line follows.
	FollowingRequest
	// FollowingPartialRequest means that the bytes can be the beginning of a request line whose end has not been received, or a part of
	// the body.
	FollowingPartialRequest
	// FollowingExcess means that the bytes can't begin a request line (RFC 9112 section 3): they are a part of the body.
	FollowingExcess
)

// CheckFollowing returns what the bytes behind a request's body are. It accepts methods in the form of the registered ones,
// upper-case letters and hyphens, so that it can reject most other text by its first byte. One empty line before a request is
// skipped, as by a Reader.
func CheckFollowing(b []byte) Following {
	b = bytes.TrimPrefix(b, []byte(crlf))
	if len(b) == 0 {
		return FollowingNothing
	}
	if string(b) == "\r" {
		return FollowingPartialRequest
	}
	line, _, complete := bytes.Cut(b, []byte(crlf))
	if !mayBeginRequestLine(line, complete) {
		return FollowingExcess
	}
	if !complete {
		return FollowingPartialRequest
	}
	return FollowingRequest
}

// mayBeginRequestLine reports whether a line can be a request line or, if it is not complete, the beginning of one.
func mayBeginRequestLine(line []byte, complete bool) bool {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	if !isMethodForm(method) {
		return false
	}
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	if !hasVersion {
		return !complete && isTargetForm(target)
	}
	if len(target) == 0 || !isTargetForm(target) {
		return false
	}
	if complete {
		return isVersion(string(version))
	}
	return mayBeginVersion(string(bytes.TrimSuffix(version, []byte("\r"))))
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

// versionForm is the form of an HTTP version; D stands for a digit.
const versionForm = "HTTP/D.D"

// isVersion reports whether s is an HTTP version of any number.
func isVersion(s string) bool { return len(s) == len(versionForm) && mayBeginVersion(s) }

// mayBeginVersion reports whether s is a beginning of an HTTP version of any number.
func mayBeginVersion(s string) bool {
	if len(s) > len(versionForm) {
		return false
	}
	for i := range len(s) {
		if s[i] != versionForm[i] && (versionForm[i] != 'D' || !isDigit(s[i])) {
			return false
		}
	}
	return true
}
