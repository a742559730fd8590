package strictyaml

import (
	"math"
	"reflect"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// TextDecoder is a value that parses its own textual format, such as Duration.
type TextDecoder interface {
	// DecodeText parses the value. Its error says what is expected, as in "expected a time such as 600ms".
	DecodeText(string) error
}

// decode decodes a node into a value and records the node's position as that of field, the dotted name of the value.
func (d *Document) decode(n ast.Node, v reflect.Value, field string) {
	d.setPosition(n, field)
	switch m := n.(type) {
	case *ast.AnchorNode:
		d.decode(m.Value, v, field)
		return
	case *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.Reportf(field, "anchors, aliases and tags are not supported")
		return
	}
	if t, ok := v.Addr().Interface().(TextDecoder); ok {
		d.decodeText(n, t, field)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, field)
	case reflect.Slice:
		d.decodeList(n, v, field)
	case reflect.Map:
		d.decodeMap(n, v, field)
	default:
		d.decodeScalar(n, v, field)
	}
}

// decodeText decodes a single value with its own DecodeText method.
func (d *Document) decodeText(n ast.Node, t TextDecoder, field string) {
	s, ok := scalar(n)
	if !ok {
		d.Reportf(field, "expected a single value")
		return
	}
	if err := t.DecodeText(s); err != nil {
		d.Report(field, strconv.Quote(s)+": "+err.Error(), err)
	}
}

// decodeList decodes a list into a slice.
func (d *Document) decodeList(n ast.Node, v reflect.Value, field string) {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		d.Reportf(field, "expected a list")
		return
	}
	for i, item := range sequence.Values {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decode(item, e, field+"["+strconv.Itoa(i)+"]")
		v.Set(reflect.Append(v, e))
	}
}

// decodeMap decodes a mapping into a map with string keys.
func (d *Document) decodeMap(n ast.Node, v reflect.Value, field string) {
	pairs, ok := mappingPairs(n)
	if !ok {
		d.Reportf(field, "expected a mapping")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, p := range pairs {
		e := reflect.New(v.Type().Elem()).Elem()
		key := p.Key.String()
		if v.MapIndex(reflect.ValueOf(key)).IsValid() {
			d.reportAt(p.Key, join(field, key), "occurs twice")
		}
		d.decode(p.Value, e, join(field, key))
		v.SetMapIndex(reflect.ValueOf(key), e)
	}
}

// join returns the dotted name of field b in a, which is "" for the document itself.
func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

// mappingPairs returns the pairs of a mapping. The parser represents a mapping of one pair by another type of node.
func mappingPairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

// decodeStruct decodes a mapping into a struct. A key that is not the yaml tag of a field is a problem.
func (d *Document) decodeStruct(n ast.Node, v reflect.Value, field string) {
	pairs, ok := mappingPairs(n)
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
			d.reportAt(p.Key, at, "occurs twice, first in line %d", first)
			continue
		}
		seen[key] = line
		i, ok := fields[key]
		if !ok {
			d.reportAt(p.Key, at, "unknown key%s", suggestion(key, fields))
			continue
		}
		d.decode(p.Value, v.Field(i), at)
	}
}

// scalar returns the text of a scalar node; the second result is false for other nodes.
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

// decodeScalar decodes a scalar into a string, bool, int or float64.
func (d *Document) decodeScalar(n ast.Node, v reflect.Value, field string) {
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
		panic("strictyaml: a field has a type that is not supported: " + v.Kind().String())
	}
}
