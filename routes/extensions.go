package routes

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pb33f/go-yaml"
	"github.com/pb33f/libopenapi/orderedmap"

	"sandyard/decision"
)

// The names of the extension fields of operations and paths.
const (
	extClass  = "x-sandyard-class"
	extUnits  = "x-sandyard-units"
	extRepeat = "x-sandyard-repeat"
	extPrefix = "x-sandyard-"
)

// The values of package decision, by their names in extension fields.
var (
	idempotencies = map[string]decision.Idempotency{
		"safe":   decision.Idempotent,
		"keyed":  decision.IdempotentByKey,
		"unsafe": decision.NotIdempotent,
	}
	keyScopes = map[string]decision.KeyScope{
		"all":  decision.KeyScopeAll,
		"zone": decision.KeyScopeZone,
		"cell": decision.KeyScopeCell,
	}
)

// extensionMap holds the values of this project's extension fields by name.
type extensionMap map[string]*yaml.Node

// extensions returns the extension fields whose names begin with extPrefix.
func extensions(m *orderedmap.Map[string, *yaml.Node]) extensionMap {
	out := extensionMap{}
	for name, value := range m.FromOldest() {
		if strings.HasPrefix(name, extPrefix) {
			out[name] = value
		}
	}
	return out
}

// reportUnknown reports extension fields that are not known.
func (c *compiler) reportUnknown(extensions extensionMap, field string) {
	for name, value := range extensions {
		if name != extClass && name != extUnits && name != extRepeat {
			c.report(nodeLocation(value, field+"."+name), "unknown extension; expected %s, %s or %s", extClass, extUnits, extRepeat)
		}
	}
}

// scalarValues returns the scalar values of a mapping by key. It reports keys other than the known ones, and values that are
// not scalars.
func (c *compiler) scalarValues(n *yaml.Node, at string, known ...string) map[string]*yaml.Node {
	out := map[string]*yaml.Node{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if !slices.Contains(known, k.Value) {
			c.report(nodeLocation(k, at+"."+k.Value), "unknown key; expected one of %s", strings.Join(known, ", "))
			continue
		}
		if v.Kind != yaml.ScalarNode {
			c.report(nodeLocation(v, at+"."+k.Value), "expected a single value")
			continue
		}
		out[k.Value] = v
	}
	return out
}

// parseNumber parses a number, 0 or more. It reports an invalid one and returns 0.
func (c *compiler) parseNumber(n *yaml.Node, at string) float64 {
	x, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || !(x >= 0) || math.IsInf(x, 0) {
		c.report(nodeLocation(n, at), "%q: expected a number, 0 or more", n.Value)
		return 0
	}
	return x
}

// parseUnits parses the cost of a request: a number, or a mapping that names the parameter with the number.
func (c *compiler) parseUnits(value *yaml.Node, at string) Units {
	switch value.Kind {
	case yaml.ScalarNode:
		return Units{Fixed: c.parseNumber(value, at)}
	case yaml.MappingNode:
	default:
		c.report(nodeLocation(value, at), "expected a number, or in, name, default and most")
		return Units{}
	}
	u := Units{Default: 1}
	values := c.scalarValues(value, at, "in", "name", "default", "most")
	if n := values["in"]; n == nil || n.Value != "query" && n.Value != "header" {
		c.report(nodeLocation(value, at+".in"), "expected query or header")
	} else {
		u.In = n.Value
	}
	if n := values["name"]; n == nil || n.Value == "" {
		c.report(nodeLocation(value, at+".name"), "expected the parameter that carries the units")
	} else {
		u.Name = n.Value
	}
	if n := values["default"]; n != nil {
		u.Default = c.parseNumber(n, at+".default")
	}
	if n := values["most"]; n == nil {
		c.report(nodeLocation(value, at+".most"), "expected the maximum units of a request")
	} else if u.Max = c.parseNumber(n, at+".most"); u.Default > u.Max {
		c.report(nodeLocation(n, at+".most"), "less than the default, %g", u.Default)
	}
	return u
}

// parseRepeat parses the idempotency of an operation: one of its names, or a mapping with kind, ttl and scope.
func (c *compiler) parseRepeat(value *yaml.Node, at string) Repeat {
	r := Repeat{Given: true, Idempotency: decision.NotIdempotent}
	kind := value
	if value.Kind == yaml.MappingNode {
		values := c.scalarValues(value, at, "kind", "ttl", "scope")
		if kind = values["kind"]; kind == nil {
			c.report(nodeLocation(value, at+".kind"), "expected safe, keyed or unsafe")
			return r
		}
		r.KeyTTL = c.parseTTL(values["ttl"], at+".ttl")
		r.KeyScope = c.parseScope(values["scope"], at+".scope")
	}
	idempotency, ok := idempotencies[kind.Value]
	if !ok || kind.Kind != yaml.ScalarNode {
		c.report(nodeLocation(kind, at), "%q: expected safe, keyed or unsafe", kind.Value)
		return r
	}
	r.Idempotency = idempotency
	if idempotency == decision.IdempotentByKey && r.KeyTTL == 0 {
		c.report(nodeLocation(value, at+".ttl"), "missing: how long boxes remember the keys of a keyed operation")
	}
	return r
}

// parseTTL parses a duration above 0 and reports an invalid one. It returns 0 if there is no value.
func (c *compiler) parseTTL(n *yaml.Node, at string) time.Duration {
	if n == nil {
		return 0
	}
	ttl, err := time.ParseDuration(n.Value)
	if err != nil || ttl <= 0 {
		c.report(nodeLocation(n, at), "%q: expected a time such as 6s", n.Value)
	}
	return ttl
}

// parseScope parses the scope of an idempotency key and reports an invalid one. It returns KeyScopeAll if there is no value.
func (c *compiler) parseScope(n *yaml.Node, at string) decision.KeyScope {
	if n == nil {
		return decision.KeyScopeAll
	}
	scope, ok := keyScopes[n.Value]
	if !ok {
		c.report(nodeLocation(n, at), "%q: expected all, zone or cell", n.Value)
	}
	return scope
}
