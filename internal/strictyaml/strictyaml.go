// Package strictyaml decodes YAML into structs. Unknown keys, wrong types and missing units are problems. Decoding
// continues after a problem, so that all problems are reported at once, each with file, line and field.
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

// Document is a decoded file with its problems. Callers that validate the values add further problems with Reportf. A
// Document must not be used by several goroutines at once.
type Document struct {
	Problems  diagnostic.Problems
	file      string
	positions map[string]position // positions of the fields in the file, by dotted name
}

// position is the position of a field in the file; both numbers begin at 1.
type position struct{ line, column int }

// Read decodes a document into target, a pointer to a struct. The yaml tag of a struct field is its key in the document. Read
// adds errors to the problems of the returned document. A field that can't be decoded keeps the value that it has in target.
func Read(file string, text []byte, target any) *Document {
	d := &Document{file: file, positions: map[string]position{}}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.reportSyntax(err)
		return d
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.Problems = append(d.Problems, diagnostic.Problem{File: file, Line: 1, Message: "expected one document with settings"})
		return d
	}
	d.decode(f.Docs[0].Body, reflect.ValueOf(target).Elem(), "")
	return d
}

// Has reports whether the document contains a field, given its dotted name.
func (d *Document) Has(field string) bool { _, ok := d.positions[field]; return ok }

// Readable reports whether the file is valid YAML with exactly one document that is not empty. If it is not, no field was decoded.
func (d *Document) Readable() bool { return len(d.positions) > 0 }

// Reportf adds a problem at the position of a field, or of the innermost enclosing field that the document contains.
func (d *Document) Reportf(field, format string, args ...any) {
	d.Report(field, fmt.Sprintf(format, args...), nil)
}

// Report is like Reportf, but takes a message and its cause, which errors.Is and errors.As find. The cause may be nil.
func (d *Document) Report(field, message string, cause error) {
	p := diagnostic.Problem{File: d.file, Line: 1, Field: field, Message: message, Cause: cause}
	for at := field; at != ""; {
		if found, ok := d.positions[at]; ok {
			p.Line, p.Column = found.line, found.column
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

// reportAt reports a problem at a node and records the node's position as that of the field.
func (d *Document) reportAt(n ast.Node, field, format string, args ...any) {
	d.setPosition(n, field)
	d.Reportf(field, format, args...)
}

func (d *Document) setPosition(n ast.Node, field string) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		d.positions[field] = position{t.Position.Line, t.Position.Column}
	}
}
