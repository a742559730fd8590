package routes

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/pb33f/go-yaml"
	"github.com/pb33f/libopenapi"
	"github.com/pb33f/libopenapi/datamodel"
	v3 "github.com/pb33f/libopenapi/datamodel/high/v3"

	"sandyard/internal/diagnostic"
)

// compiler builds a table and collects the problems of the description. It is used for one description.
type compiler struct {
	file     string
	table    *Table
	problems diagnostic.Problems
	ids      map[string]int // lines of operations, by id
}

// location is a place in the description.
type location struct {
	line, column int
	field        string // dotted
}

// report adds a problem. A cause among args is kept for errors.Is and errors.As.
func (c *compiler) report(at location, format string, args ...any) {
	p := diagnostic.Problem{File: c.file, Line: at.line, Column: at.column, Field: at.field, Message: fmt.Sprintf(format, args...)}
	for _, arg := range args {
		if cause, ok := arg.(error); ok {
			p.Cause = cause
		}
	}
	c.problems = append(c.problems, p)
}

// nodeLocation is where a node stands, under the name of a field.
func nodeLocation(n *yaml.Node, field string) location { return location{n.Line, n.Column, field} }

// Compile reads a description. The error is a diagnostic.Problems with all that is wrong; the table is nil then.
// References to other files and hosts are not followed.
func Compile(file string, text []byte) (*Table, error) {
	c := &compiler{file: file, table: &Table{}, ids: map[string]int{}}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		c.report(location{yamlLine(err), 1, ""}, "not YAML or JSON: %v", err)
		return nil, c.problems.Err()
	}
	c.reportDuplicates(&root, "")
	if len(c.problems) > 0 { // which of two declarations is meant can't be told
		return nil, c.problems.Err()
	}
	doc, err := libopenapi.NewDocumentWithConfiguration(text, &datamodel.DocumentConfiguration{
		SkipExternalRefResolution: true, SkipJSONConversion: true,
	})
	if err != nil {
		c.report(location{1, 1, "openapi"}, "not an OpenAPI 3 description: %v", err)
		return nil, c.problems.Err()
	}
	model, err := doc.BuildV3Model()
	if err != nil || model == nil {
		c.report(location{1, 1, ""}, "not an OpenAPI 3 description: %v", err)
		return nil, c.problems.Err()
	}
	if !strings.HasPrefix(model.Model.Version, "3.") {
		c.report(location{1, 1, "openapi"}, "version %q: expected 3.0 or 3.1", model.Model.Version)
	}
	c.compilePaths(&model.Model)
	if len(c.problems) > 0 {
		return nil, c.problems.Err()
	}
	return c.table, nil
}

// yamlLine is the line that an error of the YAML reader names, 1 if it names none.
func yamlLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	n := 0
	for i := 0; i < len(rest) && rest[i] >= '0' && rest[i] <= '9'; i++ {
		n = n*10 + int(rest[i]-'0')
	}
	return max(1, n)
}

// reportDuplicates finds keys that stand twice in a mapping: a path declared twice with different costs among them.
func (c *compiler) reportDuplicates(n *yaml.Node, at string) {
	if n.Kind == yaml.MappingNode {
		seen := map[string]int{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			k := n.Content[i]
			field := strings.TrimPrefix(at+"."+k.Value, ".")
			if line, ok := seen[k.Value]; ok {
				c.report(nodeLocation(k, field), "declared twice, first in line %d; keep one", line)
			} else {
				seen[k.Value] = k.Line
			}
			c.reportDuplicates(n.Content[i+1], field)
		}
		return
	}
	for i, m := range n.Content {
		if n.Kind == yaml.SequenceNode {
			c.reportDuplicates(m, at+"["+strconv.Itoa(i)+"]")
		} else {
			c.reportDuplicates(m, at)
		}
	}
}

// compilePaths puts every operation of the description into the table.
func (c *compiler) compilePaths(doc *v3.Document) {
	base := c.basePath(doc.Servers)
	if doc.Paths == nil || doc.Paths.PathItems == nil || doc.Paths.PathItems.Len() == 0 {
		c.report(location{1, 1, "paths"}, "no paths: nothing could be routed")
		return
	}
	for pair := doc.Paths.PathItems.First(); pair != nil; pair = pair.Next() {
		c.compilePath(base, pair.Key(), pair.Value())
	}
}

// compilePath puts the operations of one path into the table.
func (c *compiler) compilePath(base, template string, item *v3.PathItem) {
	at := location{1, 1, "paths." + template}
	if low := item.GoLow(); low != nil && low.KeyNode != nil {
		at.line, at.column = low.KeyNode.Line, low.KeyNode.Column
	}
	segments, ok := c.parseTemplate(base+template, at)
	if !ok {
		return
	}
	end := c.leaf(segments, template, at)
	if end == nil {
		return
	}
	inherited := extensions(item.Extensions)
	c.reportUnknown(inherited, at.field)
	for pair := item.GetOperations().First(); pair != nil; pair = pair.Next() {
		op := c.compileOperation(strings.ToUpper(pair.Key()), base+template, pair.Value(), inherited, at)
		end.methods = append(end.methods, op)
	}
}

// basePath is the path of the first server, which all paths begin with.
func (c *compiler) basePath(servers []*v3.Server) string {
	if len(servers) == 0 {
		return ""
	}
	raw := servers[0].URL
	u, err := url.Parse(raw)
	if err != nil || strings.ContainsAny(raw, "{}") {
		line := 1
		if low := servers[0].GoLow(); low != nil && low.URL.ValueNode != nil {
			line = low.URL.ValueNode.Line
		}
		c.report(location{line, 1, "servers[0].url"}, "%q: expected a URL without variables", raw)
		return ""
	}
	return strings.TrimSuffix(u.Path, "/")
}

// parameterSegment stands for a segment of a template that is a parameter, whatever its name.
const parameterSegment = "{}"

// parseTemplate splits a path into segments; parameterSegment stands for a parameter.
func (c *compiler) parseTemplate(path string, at location) ([]string, bool) {
	if path == "" || path[0] != '/' {
		c.report(at, "a path begins with /")
		return nil, false
	}
	if !isUnambiguous(strings.NewReplacer("{", "", "}", "").Replace(path)) || strings.ContainsAny(path, "?# ") {
		c.report(at, "a path without dot segments, queries and needless escapes is expected")
		return nil, false
	}
	segments := strings.Split(path[1:], "/")
	names := map[string]bool{}
	for i, s := range segments {
		if !strings.ContainsAny(s, "{}") {
			continue
		}
		name := strings.TrimSuffix(strings.TrimPrefix(s, "{"), "}")
		if s != "{"+name+"}" || name == "" || strings.ContainsAny(name, "{}") {
			c.report(at, "segment %q: a parameter is a whole segment, {name}", s)
			return nil, false
		}
		if names[name] {
			c.report(at, "parameter {%s} stands twice in the path", name)
			return nil, false
		}
		names[name] = true
		segments[i] = parameterSegment
	}
	return segments, true
}

// leaf walks to where a template ends. Two templates that end in one place differ in names of parameters at most:
// no request could tell them apart (OpenAPI 3, Paths Object).
func (c *compiler) leaf(segments []string, template string, at location) *node {
	n := &c.table.root
	for _, s := range segments {
		if s == parameterSegment {
			if n.param == nil {
				n.param = &node{}
			}
			n = n.param
			continue
		}
		next := n.literal[s]
		if next == nil {
			next = &node{}
			if n.literal == nil {
				n.literal = map[string]*node{}
			}
			n.literal[s] = next
		}
		n = next
	}
	if n.line > 0 {
		c.report(at, "the same requests as %s in line %d; keep one", n.template, n.line)
		return nil
	}
	n.line, n.template = at.line, template
	return n
}

// compileOperation adds an operation to the table. What it does not say by extensions of its own it inherits from its path.
func (c *compiler) compileOperation(method, template string, o *v3.Operation, inherited extensionMap, path location) *Operation {
	at := location{path.line, 1, path.field + "." + strings.ToLower(method)}
	if low := o.GoLow(); low != nil && low.KeyNode != nil {
		at.line = low.KeyNode.Line
	}
	op := &Operation{ID: o.OperationId, Method: method, Template: template, Line: at.line, Index: len(c.table.Operations),
		Units: Units{Fixed: 1}}
	if op.ID == "" {
		op.ID = method + " " + template
	}
	if other, ok := c.ids[op.ID]; ok {
		c.report(location{at.line, 1, at.field + ".operationId"}, "%q is that of line %d, too", op.ID, other)
	}
	c.ids[op.ID] = at.line
	own := extensions(o.Extensions)
	c.reportUnknown(own, at.field)
	c.applyExtensions(op, at, func(name string) (*yaml.Node, string) {
		if value := own[name]; value != nil {
			return value, at.field + "." + name
		}
		return inherited[name], path.field + "." + name
	})
	c.table.Operations = append(c.table.Operations, op)
	return op
}

// applyExtensions reads class, units and repeat. A lookup gives the value of an extension, nil if there is none, and its
// field.
func (c *compiler) applyExtensions(op *Operation, at location, lookup func(name string) (*yaml.Node, string)) {
	if value, field := lookup(extClass); value == nil {
		c.report(at, "no %s: the operation has no class", extClass)
	} else if op.Class = value.Value; value.Kind != yaml.ScalarNode || op.Class == "" {
		c.report(nodeLocation(value, field), "expected the name of a class")
	}
	if value, field := lookup(extUnits); value != nil {
		op.Units = c.parseUnits(value, field)
	}
	if value, field := lookup(extRepeat); value != nil {
		op.Repeat = c.parseRepeat(value, field)
	}
}
