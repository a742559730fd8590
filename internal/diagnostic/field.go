package diagnostic

import (
	"errors"
	"fmt"
)

// ErrMissing is the error of a required field that is missing.
var ErrMissing = errors.New("missing")

// FieldError is the error of a field with an invalid value.
type FieldError struct {
	Field string // dotted path, as in the input
	Value string // value in the input
	Want  string // what is expected instead, such as "a number"
}

// Error returns a message with the field, its value and what is expected.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q: expected %s", e.Field, e.Value, e.Want)
}

// PlaceError is an error in a named place of an input, such as a field.
type PlaceError struct {
	Place string
	Err   error
}

// Error returns the cause, preceded by the place.
func (e *PlaceError) Error() string { return e.Place + ": " + e.Err.Error() }

// Unwrap returns the error without its place.
func (e *PlaceError) Unwrap() error { return e.Err }
