package http1

import "errors"

// Error is the error of a message that is not acceptable. A Reader returns it as *Error, for errors.As.
type Error struct {
	Status int    // the status code for the server's response, 4xx or 5xx (RFC 9110 section 15)
	Reason string // what is wrong with the message; also appears in the detail of the server's response
}

// Error returns the reason, prefixed with the name of the package.
func (e *Error) Error() string { return "http1: " + e.Reason }

// badRequest returns the error of a message that is malformed or that two parsers could interpret differently.
func badRequest(reason string) *Error { return &Error{statusBadRequest, reason} }

// ErrTruncated is the error of a connection that ended within a message (RFC 9112 section 8).
var ErrTruncated = errors.New("http1: the connection ended within a message")
