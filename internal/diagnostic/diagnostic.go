// Package diagnostic holds what is wrong with files that people write: all of it at once, each with its place.
package diagnostic

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a file. Line and Column count from 1; 0 stands for the file as a whole.
type Problem struct {
	File         string
	Line, Column int
	Field        string // dotted, with indexes: plans[2].rate
	Message      string // what is wrong and what would be right
}

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

// Problems is an error when it is not empty.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err is ps in the order of the files, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ps
}
