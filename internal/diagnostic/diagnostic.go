// Package diagnostic holds the errors of inputs: problems of files that people write, all at once and each with its place,
// and fields of messages with values that can't be taken.
package diagnostic

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong in a file. Line and Column count from 1; 0 stands for the file as a whole.
type Problem struct {
	File         string
	Line, Column int
	Field        string // dotted, with indexes: plans[2].rate
	Message      string // what is wrong and what would be right
	Cause        error  // behind the message; nil if there is none
}

// Error is the message with file, line, column and field in front.
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

// Unwrap gives the cause.
func (p Problem) Unwrap() error { return p.Cause }

// Problems is an error when it is not empty. errors.As finds each Problem and its cause.
type Problems []Problem

// Error is all messages, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives the problems one by one.
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
