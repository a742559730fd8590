package simwire

import (
	"errors"
	"fmt"
)

// ErrInputEnded says that the input ended within a batch; it comes wrapped in a LineError.
var ErrInputEnded = errors.New("input ended")

// UnexpectedMessageError is a message other than the one that has to come; it comes wrapped in a LineError.
type UnexpectedMessageError struct {
	Got  string // name of the message
	Want string // what has to come
}

// Error names the message and what had to come.
func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("message %q: expected %s", e.Got, e.Want)
}

// LineError is an error at a line of the input, counted from 1. Where a field has a value that can't be taken, it wraps
// a *diagnostic.FieldError.
type LineError struct {
	Line int
	Err  error
}

// Error is the cause with its line in front.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap gives the error without its line.
func (e *LineError) Unwrap() error { return e.Err }

// unexpected is a message other than the one that has to come here.
func unexpected(line int, got, want string) error {
	return &LineError{line, &UnexpectedMessageError{got, want}}
}

// endedInside is an end of the input before a group of lines is complete.
func endedInside(line int, group, want string) error {
	return &LineError{line, fmt.Errorf("%w inside a %s: expected %q", ErrInputEnded, group, want)}
}
