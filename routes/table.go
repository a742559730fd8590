// Package routes turns an OpenAPI 3 description into a table that finds, for a method and a path, the operation,
// its class of requests and how many units it costs. A Table is immutable: any number of goroutines may match requests, and
// a match allocates nothing.
//
// A description says it with extension fields of an operation, or of a path for all its operations:
//
//	x-sandyard-class: slot-booking          # a class of the configuration
//	x-sandyard-units: 2                     # or {in: query, name: slots, default: 1, most: 8}
//	x-sandyard-repeat: {kind: keyed, ttl: 6s, scope: all}   # or safe, or unsafe; absent: as the class says
package routes

import (
	"strings"
	"time"

	"sandyard/decision"
)

// Repeat is what an operation says of repeated requests; the zero value leaves it to the class.
type Repeat struct {
	Given       bool // the operation says something
	Idempotency decision.Idempotency
	KeyScope    decision.KeyScope // with IdempotentByKey
	KeyTTL      time.Duration     // with IdempotentByKey: for which backends remember a key
}

// Operation is one method of one path.
type Operation struct {
	ID       string // operationId, or method and template
	Method   string // in upper case
	Template string // with the base path
	Class    string // name of a class of the configuration
	Repeat   Repeat
	Units    Units
	Line     int // in the description
	Index    int // in Table.Operations
}

// Table is a compiled description.
type Table struct {
	Operations []*Operation // in the order of the description
	root       node
}

// node is a place in the tree of path segments. Literals are tried before the parameter, so a concrete path goes
// before a templated one (OpenAPI 3, Paths Object); what a literal leads to in vain is tried as a parameter next.
type node struct {
	literal  map[string]*node
	param    *node
	methods  []*Operation
	line     int    // of the template that ends here
	template string // that template
}

// MatchResult says how a match ended.
type MatchResult int

// The results, with the status that a request gets.
const (
	Found            MatchResult = iota
	PathNotFound                 // 404
	MethodNotAllowed             // 405: the path is there
	BadPath                      // 400: a path that two parsers could read differently
	BadParams                    // 400: a parameter that carries units and is no number in its bounds
)

// Match finds the operation of a request; it is nil with any result but Found. HEAD is answered where GET is described.
func (t *Table) Match(method, path string) (*Operation, MatchResult) {
	if !isUnambiguous(path) {
		return nil, BadPath
	}
	if path == "" || path[0] != '/' {
		return nil, PathNotFound
	}
	result := PathNotFound
	if op := t.root.match(method, path[1:], &result); op != nil {
		return op, Found
	}
	return nil, result
}

// match finds the operation below a node; if there is none, it may set result.
func (n *node) match(method, rest string, result *MatchResult) *Operation {
	segment, tail, more := strings.Cut(rest, "/")
	if next := n.literal[segment]; next != nil {
		if op := next.matchNext(method, tail, more, result); op != nil {
			return op
		}
	}
	if n.param != nil && segment != "" {
		return n.param.matchNext(method, tail, more, result)
	}
	return nil
}

// matchNext goes on with the rest of a path, or ends at this node if there is no more.
func (n *node) matchNext(method, tail string, more bool, result *MatchResult) *Operation {
	if more {
		return n.match(method, tail, result)
	}
	for _, op := range n.methods {
		if op.Method == method {
			return op
		}
	}
	if method == "HEAD" {
		return n.matchNext("GET", "", false, result)
	}
	if len(n.methods) > 0 {
		*result = MethodNotAllowed
	}
	return nil
}
