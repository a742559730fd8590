package diagnostic

import (
	"errors"
	"fmt"
)

// ErrMissing says that a field which has to be there is not.
var ErrMissing = errors.New("missing")

// FieldError is a field of an input with a value that can't be taken.
type FieldError struct {
	Field string // dotted, as the input has it
	Value string // as it was given
	Want  string // what is expected instead, such as "a number"
}

// Error names the field, its value and what is expected.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q: expected %s", e.Field, e.Value, e.Want)
}

// PlaceError is an error at a place of an input, by the name of the place.
type PlaceError struct {
	Place string
	Err   error
}

// Error is the cause with its place in front.
func (e *PlaceError) Error() string { return e.Place + ": " + e.Err.Error() }

// Unwrap gives the error without its place.
func (e *PlaceError) Unwrap() error { return e.Err }
