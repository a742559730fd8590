package routes

import (
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pb33f/go-yaml"
	"github.com/pb33f/libopenapi"
	"github.com/pb33f/libopenapi/datamodel"
	v3 "github.com/pb33f/libopenapi/datamodel/high/v3"
	"github.com/pb33f/libopenapi/orderedmap"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
)

// The extension fields.
const (
	extClass  = "x-sandyard-class"
	extUnits  = "x-sandyard-units"
	extRepeat = "x-sandyard-repeat"
	extPrefix = "x-sandyard-"
)

// compiler collects problems while it builds a table.
type compiler struct {
	file     string
	table    *Table
	problems diagnostic.Problems
	ids      map[string]int // lines of operation ids
}

func (c *compiler) say(line, column int, field, format string, args ...any) {
	c.problems = append(c.problems, diagnostic.Problem{File: c.file, Line: line, Column: column, Field: field,
		Message: fmt.Sprintf(format, args...)})
}

// Compile reads a description. The error is a diag.Problems with every mistake found; the table is nil then.
// References to other files and hosts are not followed.
func Compile(file string, text []byte) (*Table, error) {
	c := &compiler{file: file, table: &Table{}, ids: map[string]int{}}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		c.say(yamlLine(err), 1, "", "not YAML or JSON: %v", err)
		return nil, c.problems.Err()
	}
	c.duplicates(&root, "")
	if len(c.problems) > 0 { // which of the two is meant is not for us to guess
		return nil, c.problems.Err()
	}
	doc, err := libopenapi.NewDocumentWithConfiguration(text, &datamodel.DocumentConfiguration{
		SkipExternalRefResolution: true, SkipJSONConversion: true,
	})
	if err != nil {
		c.say(1, 1, "openapi", "not an OpenAPI 3 description: %v", err)
		return nil, c.problems.Err()
	}
	model, err := doc.BuildV3Model()
	if err != nil || model == nil {
		c.say(1, 1, "", "not an OpenAPI 3 description: %v", err)
		return nil, c.problems.Err()
	}
	if !strings.HasPrefix(model.Model.Version, "3.") {
		c.say(1, 1, "openapi", "version %q: expected 3.0 or 3.1", model.Model.Version)
	}
	c.paths(&model.Model)
	if len(c.problems) > 0 {
		return nil, c.problems.Err()
	}
	return c.table, nil
}

func yamlLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	n := 0
	for i := 0; i < len(rest) && rest[i] >= '0' && rest[i] <= '9'; i++ {
		n = n*10 + int(rest[i]-'0')
	}
	return max(1, n)
}

// duplicates finds keys that stand twice in a mapping: a path declared twice with different costs among them.
func (c *compiler) duplicates(n *yaml.Node, at string) {
	if n.Kind == yaml.MappingNode {
		seen := map[string]int{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			k := n.Content[i]
			field := strings.TrimPrefix(at+"."+k.Value, ".")
			if line, ok := seen[k.Value]; ok {
				c.say(k.Line, k.Column, field, "declared twice, first in line %d; keep one", line)
			} else {
				seen[k.Value] = k.Line
			}
			c.duplicates(n.Content[i+1], field)
		}
		return
	}
	for i, m := range n.Content {
		if n.Kind == yaml.SequenceNode {
			c.duplicates(m, at+"["+strconv.Itoa(i)+"]")
		} else {
			c.duplicates(m, at)
		}
	}
}

func (c *compiler) paths(doc *v3.Document) {
	base := c.base(doc.Servers)
	if doc.Paths == nil || doc.Paths.PathItems == nil || doc.Paths.PathItems.Len() == 0 {
		c.say(1, 1, "paths", "no paths: nothing could be routed")
		return
	}
	for pair := doc.Paths.PathItems.First(); pair != nil; pair = pair.Next() {
		template, item := pair.Key(), pair.Value()
		line, column := 1, 1
		if low := item.GoLow(); low != nil && low.KeyNode != nil {
			line, column = low.KeyNode.Line, low.KeyNode.Column
		}
		field := "paths." + template
		segments, ok := c.template(base+template, line, column, field)
		if !ok {
			continue
		}
		end := c.place(segments, template, line, column, field)
		if end == nil {
			continue
		}
		inherited := extensions(item.Extensions)
		c.unknown(inherited, field)
		for op := item.GetOperations().First(); op != nil; op = op.Next() {
			c.operation(end, strings.ToUpper(op.Key()), base+template, op.Value(), inherited, line, field)
		}
	}
}

// base is the path of the first server, which all paths begin with.
func (c *compiler) base(servers []*v3.Server) string {
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
		c.say(line, 1, "servers[0].url", "%q: expected a URL without variables", raw)
		return ""
	}
	return strings.TrimSuffix(u.Path, "/")
}

// template splits a path into segments; "{}" stands for a parameter.
func (c *compiler) template(path string, line, column int, field string) ([]string, bool) {
	if path == "" || path[0] != '/' {
		c.say(line, column, field, "a path begins with /")
		return nil, false
	}
	if !plain(strings.NewReplacer("{", "", "}", "").Replace(path)) || strings.ContainsAny(path, "?# ") {
		c.say(line, column, field, "a path without dot segments, queries and needless escapes is expected")
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
			c.say(line, column, field, "segment %q: a parameter is a whole segment, {name}", s)
			return nil, false
		}
		if names[name] {
			c.say(line, column, field, "parameter {%s} stands twice in the path", name)
			return nil, false
		}
		names[name] = true
		segments[i] = "{}"
	}
	return segments, true
}

// place walks to where a template ends. Two templates that end in one place differ in names of parameters at most:
// no request could tell them apart (OpenAPI 3, Paths Object).
func (c *compiler) place(segments []string, template string, line, column int, field string) *node {
	n := &c.table.root
	for _, s := range segments {
		if s == "{}" {
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
		c.say(line, column, field, "the same requests as %s in line %d; keep one", n.ends, n.line)
		return nil
	}
	n.line, n.ends = line, template
	return n
}

type extension struct {
	node *yaml.Node
	line int
}

func extensions(m *orderedmap.Map[string, *yaml.Node]) map[string]extension {
	out := map[string]extension{}
	for k, v := range m.FromOldest() {
		if strings.HasPrefix(k, extPrefix) {
			out[k] = extension{v, v.Line}
		}
	}
	return out
}

func (c *compiler) unknown(ext map[string]extension, field string) {
	for name, e := range ext {
		if name != extClass && name != extUnits && name != extRepeat {
			c.say(e.line, e.node.Column, field+"."+name, "unknown extension; expected %s, %s or %s", extClass, extUnits, extRepeat)
		}
	}
}

func (c *compiler) operation(end *node, method, template string, o *v3.Operation, inherited map[string]extension,
	line int, field string) {
	field += "." + strings.ToLower(method)
	if low := o.GoLow(); low != nil && low.KeyNode != nil {
		line = low.KeyNode.Line
	}
	op := &Operation{ID: o.OperationId, Method: method, Template: template, Line: line, Index: len(c.table.Operations),
		Units: Units{Fixed: 1}}
	if op.ID == "" {
		op.ID = method + " " + template
	}
	if other, ok := c.ids[op.ID]; ok {
		c.say(line, 1, field+".operationId", "%q is that of line %d, too", op.ID, other)
	}
	c.ids[op.ID] = line
	own := extensions(o.Extensions)
	c.unknown(own, field)
	get := func(name string) (extension, string, bool) {
		if e, ok := own[name]; ok {
			return e, field + "." + name, true
		}
		e, ok := inherited[name]
		return e, strings.TrimSuffix(field, "."+strings.ToLower(method)) + "." + name, ok
	}
	if e, at, ok := get(extClass); !ok {
		c.say(line, 1, field, "no %s: the operation has no class", extClass)
	} else if op.Class = e.node.Value; e.node.Kind != yaml.ScalarNode || op.Class == "" {
		c.say(e.line, e.node.Column, at, "expected the name of a class")
	}
	if e, at, ok := get(extUnits); ok {
		op.Units = c.units(e, at)
	}
	if e, at, ok := get(extRepeat); ok {
		op.Repeat = c.repeat(e, at)
	}
	c.table.Operations = append(c.table.Operations, op)
	end.methods = append(end.methods, op)
}

// keys reads a mapping of known keys.
func (c *compiler) keys(n *yaml.Node, at string, known ...string) map[string]*yaml.Node {
	out := map[string]*yaml.Node{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if !slices.Contains(known, k.Value) {
			c.say(k.Line, k.Column, at+"."+k.Value, "unknown key; expected one of %s", strings.Join(known, ", "))
			continue
		}
		if v.Kind != yaml.ScalarNode {
			c.say(v.Line, v.Column, at+"."+k.Value, "expected a single value")
			continue
		}
		out[k.Value] = v
	}
	return out
}

func (c *compiler) number(n *yaml.Node, at string) float64 {
	x, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		c.say(n.Line, n.Column, at, "%q: expected a number, 0 or more", n.Value)
		return 0
	}
	return x
}

func (c *compiler) units(e extension, at string) Units {
	switch e.node.Kind {
	case yaml.ScalarNode:
		return Units{Fixed: c.number(e.node, at)}
	case yaml.MappingNode:
	default:
		c.say(e.line, e.node.Column, at, "expected a number, or in, name, default and most")
		return Units{}
	}
	u := Units{Default: 1}
	keys := c.keys(e.node, at, "in", "name", "default", "most")
	if n := keys["in"]; n == nil || n.Value != "query" && n.Value != "header" {
		c.say(e.line, e.node.Column, at+".in", "expected query or header")
	} else {
		u.In = n.Value
	}
	if n := keys["name"]; n == nil || n.Value == "" {
		c.say(e.line, e.node.Column, at+".name", "expected the parameter that carries the units")
	} else {
		u.Name = n.Value
	}
	if n := keys["default"]; n != nil {
		u.Default = c.number(n, at+".default")
	}
	if n := keys["most"]; n == nil {
		c.say(e.line, e.node.Column, at+".most", "expected the most units that a call may ask for")
	} else if u.Most = c.number(n, at+".most"); u.Default > u.Most {
		c.say(n.Line, n.Column, at+".most", "less than the default, %g", u.Default)
	}
	return u
}

var (
	kinds  = map[string]decision.Idempotency{"safe": decision.Idempotent, "keyed": decision.IdempotentByKey, "unsafe": decision.NotIdempotent}
	scopes = map[string]decision.KeyScope{"all": decision.KeyScopeAll, "zone": decision.KeyScopeZone, "cell": decision.KeyScopeCell}
)

func (c *compiler) repeat(e extension, at string) Repeat {
	r := Repeat{Given: true, Kind: decision.NotIdempotent}
	kind := e.node
	if e.node.Kind == yaml.MappingNode {
		keys := c.keys(e.node, at, "kind", "ttl", "scope")
		if kind = keys["kind"]; kind == nil {
			c.say(e.line, e.node.Column, at+".kind", "expected safe, keyed or unsafe")
			return r
		}
		if n := keys["ttl"]; n != nil {
			d, err := time.ParseDuration(n.Value)
			if err != nil || d <= 0 {
				c.say(n.Line, n.Column, at+".ttl", "%q: expected a time such as 6s", n.Value)
			}
			r.TTL = d
		}
		if n := keys["scope"]; n != nil {
			s, ok := scopes[n.Value]
			if !ok {
				c.say(n.Line, n.Column, at+".scope", "%q: expected all, zone or cell", n.Value)
			}
			r.Scope = s
		}
	}
	k, ok := kinds[kind.Value]
	if !ok || kind.Kind != yaml.ScalarNode {
		c.say(kind.Line, kind.Column, at, "%q: expected safe, keyed or unsafe", kind.Value)
		return r
	}
	if r.Kind = k; k == decision.IdempotentByKey && r.TTL == 0 {
		c.say(e.line, e.node.Column, at+".ttl", "a keyed operation needs how long boxes remember its keys")
	}
	return r
}
