// Package diagnostic defines errors about inputs: the problems of a configuration file, collected and each with its position,
// and errors about fields of messages with invalid values.
package diagnostic

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a file. Line and Column begin at 1; a Line of 0 means the file as a whole.
type Problem struct {
	File         string
	Line, Column int
	Field        string // dotted path with indexes, such as plans[2].rate; "": none
	Message      string // what is wrong and what is expected
	Cause        error  // error that caused the problem; nil if there is none
}

// Error returns the message, preceded by file, line, column and field.
func (p Problem) Error() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d:%d", p.Line, max(1, p.Column))
	}
	if p.Field != "" {
		s += ": " + p.Field
	}
	return s + ": " + p.Message
}

// Unwrap returns the cause.
func (p Problem) Unwrap() error { return p.Cause }

// Problems is a list of problems that implements error; Err returns nil instead of an empty list. errors.Is and errors.As
// examine each Problem and its cause.
type Problems []Problem

// Error returns all messages, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems as separate errors.
func (ps Problems) Unwrap() []error {
	errs := make([]error, len(ps))
	for i, p := range ps {
		errs[i] = p
	}
	return errs
}

// Err sorts ps by file, line and column and returns it, or nil if there are no problems.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ps
}
