package simwire

import (
	"errors"
	"fmt"
)

// Errors of input that does not have the wire's form; they come wrapped in a LineError.
var (
	ErrUnexpectedMessage = errors.New("unexpected message")
	ErrInputEnded        = errors.New("input ended")
)

// LineError is an error at a line of the input, counted from 1. Where a field has a value that can't be taken, it wraps
// a *diagnostic.FieldError.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap gives the error without its line.
func (e *LineError) Unwrap() error { return e.Err }

// unexpected is a message other than the one that has to come here.
func unexpected(line int, got, want string) error {
	return &LineError{line, fmt.Errorf("%w %q: expected %s", ErrUnexpectedMessage, got, want)}
}

// endedInside is an end of the input before a group of lines is complete.
func endedInside(line int, group, want string) error {
	return &LineError{line, fmt.Errorf("%w inside a %s: expected %q", ErrInputEnded, group, want)}
}
