// Package strictyaml reads YAML into structs: unknown keys, wrong types and values without their units are mistakes, and
// reading goes on after each, so that all are told at once, with file, line and field.
package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"sandyard/internal/diagnostic"
)

// Document is a file that was read, with its mistakes. Checks of one's own add to them with Say.
type Document struct {
	Problems diagnostic.Problems
	file     string
	places   map[string]place // where each field stands, by its dotted name
}

type place struct{ line, column int }

// Read reads a document into a pointer to a struct whose fields name their keys in yaml tags.
func Read(file string, text []byte, into any) *Document {
	d := &Document{file: file, places: map[string]place{}}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		line, column := 1, 1
		if se, ok := err.(yaml.Error); ok && se.GetToken() != nil {
			line, column = se.GetToken().Position.Line, se.GetToken().Position.Column
		}
		msg, _, _ := strings.Cut(err.Error(), "\n")
		d.Problems = append(d.Problems, diagnostic.Problem{File: file, Line: line, Column: column, Message: "not YAML: " + msg})
		return d
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.Problems = append(d.Problems, diagnostic.Problem{File: file, Line: 1, Message: "expected one document with settings"})
		return d
	}
	d.value(f.Docs[0].Body, reflect.ValueOf(into).Elem(), "")
	return d
}

// Has tells whether the document has a field, by its dotted name.
func (d *Document) Has(field string) bool { _, ok := d.places[field]; return ok }

// Whole tells whether the document could be read at all.
func (d *Document) Whole() bool { return len(d.places) > 0 }

// Reportf adds a problem at a field that was read, or at the nearest thing around it.
func (d *Document) Reportf(field, format string, args ...any) {
	p := diagnostic.Problem{File: d.file, Line: 1, Field: field, Message: fmt.Sprintf(format, args...)}
	for at := field; at != ""; {
		if where, ok := d.places[at]; ok {
			p.Line, p.Column = where.line, where.column
			break
		}
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	d.Problems = append(d.Problems, p)
}

func (d *Document) sayAt(n ast.Node, field, format string, args ...any) {
	d.note(n, field)
	d.Reportf(field, format, args...)
}

func (d *Document) note(n ast.Node, field string) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		d.places[field] = place{t.Position.Line, t.Position.Column}
	}
}

// Text is a value with a form of its own.
type Text interface{ FromText(string) error }

func (d *Document) value(n ast.Node, v reflect.Value, field string) {
	d.note(n, field)
	switch m := n.(type) {
	case *ast.AnchorNode:
		d.value(m.Value, v, field)
		return
	case *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.Reportf(field, "anchors, aliases and tags are not taken here")
		return
	}
	if t, ok := v.Addr().Interface().(Text); ok {
		s, ok := scalar(n)
		if !ok {
			d.Reportf(field, "expected a single value")
		} else if err := t.FromText(s); err != nil {
			d.Reportf(field, "%q: %v", s, err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(n, v, field)
	case reflect.Slice:
		seq, ok := n.(*ast.SequenceNode)
		if !ok {
			d.Reportf(field, "expected a list")
			return
		}
		for i, item := range seq.Values {
			e := reflect.New(v.Type().Elem()).Elem()
			d.value(item, e, field+"["+strconv.Itoa(i)+"]")
			v.Set(reflect.Append(v, e))
		}
	case reflect.Map:
		pairs, ok := mapping(n)
		if !ok {
			d.Reportf(field, "expected a mapping")
			return
		}
		v.Set(reflect.MakeMap(v.Type()))
		for _, p := range pairs {
			e := reflect.New(v.Type().Elem()).Elem()
			key := p.Key.String()
			if v.MapIndex(reflect.ValueOf(key)).IsValid() {
				d.sayAt(p.Key, join(field, key), "stands twice")
			}
			d.value(p.Value, e, join(field, key))
			v.SetMapIndex(reflect.ValueOf(key), e)
		}
	default:
		d.scalar(n, v, field)
	}
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

func mapping(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

func (d *Document) structure(n ast.Node, v reflect.Value, field string) {
	pairs, ok := mapping(n)
	if !ok {
		if _, null := n.(*ast.NullNode); !null {
			d.Reportf(field, "expected a mapping")
		}
		return
	}
	fields := map[string]int{}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = i
		}
	}
	seen := map[string]int{}
	for _, p := range pairs {
		key, _ := scalar(p.Key)
		at := join(field, key)
		line := p.Key.GetToken().Position.Line
		if first, ok := seen[key]; ok {
			d.sayAt(p.Key, at, "stands twice, first in line %d", first)
			continue
		}
		seen[key] = line
		i, ok := fields[key]
		if !ok {
			d.sayAt(p.Key, at, "unknown key%s", nearest(key, fields))
			continue
		}
		d.value(p.Value, v.Field(i), at)
	}
}

// nearest suggests a known key for a mistyped one.
func nearest(key string, known map[string]int) string {
	best, least := "", 3
	for k := range known {
		if n := edits(key, k); n < least || n == least && best != "" && k < best {
			best, least = k, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// edits is the Levenshtein distance.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := last
			if a[i] != b[j] {
				change++
			}
			last = row[j+1]
			row[j+1] = min(change, last+1, row[j]+1)
		}
	}
	return row[len(b)]
}

func scalar(n ast.Node) (string, bool) {
	switch m := n.(type) {
	case *ast.StringNode:
		return m.Value, true
	case *ast.LiteralNode:
		return m.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	}
	return "", false
}

func (d *Document) scalar(n ast.Node, v reflect.Value, field string) {
	s, ok := scalar(n)
	if !ok {
		d.Reportf(field, "expected a single value")
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(s)
	case reflect.Bool:
		if _, ok := n.(*ast.BoolNode); !ok {
			d.Reportf(field, "%q: expected true or false", s)
			return
		}
		v.SetBool(s == "true")
	case reflect.Int:
		x, err := strconv.Atoi(s)
		if err != nil {
			d.Reportf(field, "%q: expected a whole number", s)
			return
		}
		v.SetInt(int64(x))
	case reflect.Float64:
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			d.Reportf(field, "%q: expected a number", s)
			return
		}
		v.SetFloat(x)
	default:
		panic("strict: no way to read a " + v.Kind().String())
	}
}

// Duration is written as 600ms or 2.5s.
type Duration time.Duration

func (t *Duration) FromText(s string) error {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return fmt.Errorf("expected a time such as 600ms or 2.5s")
	}
	*t = Duration(d)
	return nil
}

// Rate is units a second, written as 12/s or 30/min.
type Rate float64

func (r *Rate) FromText(s string) error {
	number, per, ok := strings.Cut(s, "/")
	x, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	each := map[string]float64{"s": 1, "min": 60, "h": 3600}[strings.TrimSpace(per)]
	if !ok || err != nil || each == 0 || !(x >= 0) || math.IsInf(x, 0) {
		return fmt.Errorf("expected a rate such as 12/s, 30/min or 900/h")
	}
	*r = Rate(x / each)
	return nil
}

// Size is bytes, written as 64KiB or 1MiB.
type Size int

func (z *Size) FromText(s string) error {
	units := []struct {
		name string
		by   int
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}
	for _, u := range units {
		if number, ok := strings.CutSuffix(s, u.name); ok {
			n, err := strconv.Atoi(strings.TrimSpace(number))
			if err != nil || n < 0 || n > math.MaxInt/u.by {
				break
			}
			*z = Size(n * u.by)
			return nil
		}
	}
	return fmt.Errorf("expected a size such as 64KiB or 1MiB")
}
