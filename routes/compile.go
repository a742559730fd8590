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

// compiler builds the table of one description and collects the description's problems.
type compiler struct {
	file     string
	table    *Table
	problems diagnostic.Problems
	lineOfID map[string]int // line of an operation, by operation ID
}

// location is a position in the description.
type location struct {
	line, column int
	field        string // dotted path
}

// report adds a problem. An error among args becomes its cause, which errors.Is and errors.As find.
func (c *compiler) report(at location, format string, args ...any) {
	p := diagnostic.Problem{File: c.file, Line: at.line, Column: at.column, Field: at.field, Message: fmt.Sprintf(format, args...)}
	for _, arg := range args {
		if cause, ok := arg.(error); ok {
			p.Cause = cause
		}
	}
	c.problems = append(c.problems, p)
}

// nodeLocation returns the position of a node, with the name of its field.
func nodeLocation(n *yaml.Node, field string) location { return location{n.Line, n.Column, field} }

// Compile compiles an OpenAPI description into a table. If it fails, the error is a diagnostic.Problems with every problem,
// and the table is nil. Compile does not follow references to other files and hosts.
func Compile(file string, text []byte) (*Table, error) {
	c := &compiler{file: file, table: &Table{}, lineOfID: map[string]int{}}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		c.report(location{yamlLine(err), 1, ""}, "not YAML or JSON: %v", err)
		return nil, c.problems.Err()
	}
	c.reportDuplicates(&root, "")
	if len(c.problems) > 0 { // it is unknown which of two declarations is meant
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

// yamlLine returns the line that an error of the YAML parser names, or 1 if it names none.
func yamlLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	n := 0
	for i := 0; i < len(rest) && rest[i] >= '0' && rest[i] <= '9'; i++ {
		n = n*10 + int(rest[i]-'0')
	}
	return max(1, n)
}

// reportDuplicates reports keys that occur twice in a mapping, such as a path that is declared twice with different costs.
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

// compilePaths adds every operation of the description to the table.
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

// compilePath adds the operations of one path to the table.
func (c *compiler) compilePath(base, template string, item *v3.PathItem) {
	at := location{1, 1, "paths." + template}
	if low := item.GoLow(); low != nil && low.KeyNode != nil {
		at.line, at.column = low.KeyNode.Line, low.KeyNode.Column
	}
	segments, ok := c.parseTemplate(base+template, at)
	if !ok {
		return
	}
	leaf := c.addTemplate(segments, template, at)
	if leaf == nil {
		return
	}
	inherited := extensions(item.Extensions)
	c.reportUnknown(inherited, at.field)
	for pair := item.GetOperations().First(); pair != nil; pair = pair.Next() {
		op := c.compileOperation(strings.ToUpper(pair.Key()), base+template, pair.Value(), inherited, at)
		leaf.methods = append(leaf.methods, op)
	}
}

// basePath returns the path of the first server's URL, with which all paths of the description begin.
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

// parameterSegment represents a segment of a template that is a parameter, regardless of its name.
const parameterSegment = "{}"

// parseTemplate splits a path template into segments. Parameters become parameterSegment. It reports an invalid template and
// returns false.
func (c *compiler) parseTemplate(path string, at location) ([]string, bool) {
	if path == "" || path[0] != '/' {
		c.report(at, "a path begins with /")
		return nil, false
	}
	if !isUnambiguous(strings.NewReplacer("{", "", "}", "").Replace(path)) || strings.ContainsAny(path, "?# ") {
		c.report(at, "expected a path without dot segments, queries and unnecessary escapes")
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
			c.report(at, "parameter {%s} occurs twice in the path", name)
			return nil, false
		}
		names[name] = true
		segments[i] = parameterSegment
	}
	return segments, true
}

// addTemplate adds the nodes of a template to the tree and returns the last one. If that node already ends another template,
// the two differ at most in the names of their parameters and match the same requests (OpenAPI 3, Paths Object). It reports
// such a template and returns nil.
func (c *compiler) addTemplate(segments []string, template string, at location) *node {
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
		c.report(at, "matches the same requests as %s in line %d; keep one", n.template, n.line)
		return nil
	}
	n.line, n.template = at.line, template
	return n
}

// compileOperation adds an operation to the table. The operation inherits each extension of its path that it does not set.
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
	if other, ok := c.lineOfID[op.ID]; ok {
		c.report(location{at.line, 1, at.field + ".operationId"}, "%q is already used in line %d", op.ID, other)
	}
	c.lineOfID[op.ID] = at.line
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

// applyExtensions sets the class, units and idempotency of an operation from its extensions. lookup returns the value of an
// extension, or nil if there is none, and its field.
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
