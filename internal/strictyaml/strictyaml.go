// Package strictyaml reads YAML into structs: unknown keys, wrong types and values without their units are problems, and
// reading goes on after each, so that all are reported at once, with file, line and field.
package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"sandyard/internal/diagnostic"
)

// Document is a file that was read, with its problems. Validation by its callers adds to them with Reportf. It belongs to
// one goroutine.
type Document struct {
	Problems diagnostic.Problems
	file     string
	places   map[string]place // of each field, by its dotted name
}

// place is where a field stands in the file, from 1.
type place struct{ line, column int }

// Read reads a document into a pointer to a struct whose fields name their keys in yaml tags. What is wrong is among the
// document's problems; fields that could not be read keep their values.
func Read(file string, text []byte, into any) *Document {
	d := &Document{file: file, places: map[string]place{}}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.reportSyntax(err)
		return d
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.Problems = append(d.Problems, diagnostic.Problem{File: file, Line: 1, Message: "expected one document with settings"})
		return d
	}
	d.decode(f.Docs[0].Body, reflect.ValueOf(into).Elem(), "")
	return d
}

// Has says whether the document has a field, by its dotted name.
func (d *Document) Has(field string) bool { _, ok := d.places[field]; return ok }

// Readable says whether the document is YAML; without it nothing was read.
func (d *Document) Readable() bool { return len(d.places) > 0 }

// Reportf adds a problem at a field that was read, or at the nearest thing around it.
func (d *Document) Reportf(field, format string, args ...any) {
	d.Report(field, fmt.Sprintf(format, args...), nil)
}

// Report is Reportf for a problem with a cause, which errors.Is and errors.As find; it may be nil.
func (d *Document) Report(field, message string, cause error) {
	p := diagnostic.Problem{File: d.file, Line: 1, Field: field, Message: message, Cause: cause}
	for at := field; at != ""; {
		if where, ok := d.places[at]; ok {
			p.Line, p.Column = where.line, where.column
			break
		}
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	d.Problems = append(d.Problems, p)
}

func (d *Document) reportSyntax(err error) {
	line, column := 1, 1
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		line, column = syntax.GetToken().Position.Line, syntax.GetToken().Position.Column
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	d.Problems = append(d.Problems, diagnostic.Problem{File: d.file, Line: line, Column: column, Message: "not YAML: " + message, Cause: err})
}

// reportAt reports a problem at a node and remembers the node as the field's place.
func (d *Document) reportAt(n ast.Node, field, format string, args ...any) {
	d.setPlace(n, field)
	d.Reportf(field, format, args...)
}

func (d *Document) setPlace(n ast.Node, field string) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		d.places[field] = place{t.Position.Line, t.Position.Column}
	}
}
