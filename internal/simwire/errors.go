package simwire

import (
	"errors"
	"fmt"
)

// ErrInputEnded is returned, wrapped in a LineError, if the input ends within a batch.
var ErrInputEnded = errors.New("input ended")

// UnexpectedMessageError reports a message of the wrong kind. It is returned wrapped in a LineError.
type UnexpectedMessageError struct {
	Got  string // name of the message
	Want string // expected message
}

// Error returns a text with the message and the expected one.
func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("message %q: expected %s", e.Got, e.Want)
}

// LineError is an error at a line of the input, counted from 1. If a field has an invalid value, it wraps a
// *diagnostic.FieldError.
type LineError struct {
	Line int
	Err  error
}

// Error returns the text of the cause, preceded by the line.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error without its line.
func (e *LineError) Unwrap() error { return e.Err }

// unexpected returns an UnexpectedMessageError at a line.
func unexpected(line int, got, want string) error {
	return &LineError{line, &UnexpectedMessageError{got, want}}
}

// endedInside returns an ErrInputEnded for an input that ends before a group of lines is complete.
func endedInside(line int, group, want string) error {
	return &LineError{line, fmt.Errorf("%w inside a %s: expected %q", ErrInputEnded, group, want)}
}
