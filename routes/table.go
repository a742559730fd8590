// Package routes compiles an OpenAPI 3 description into a table of routes. For a method and a path the table returns the
// operation, with its request class and its cost in units. A Table is immutable, so any number of goroutines may match
// requests. A match allocates nothing.
//
// Class, cost and idempotency are extension fields of an operation, or of a path for all its operations:
//
//	x-sandyard-class: slot-booking          # a class of the configuration
//	x-sandyard-units: 2                     # or {in: query, name: slots, default: 1, most: 8}
//	x-sandyard-repeat: {kind: keyed, ttl: 6s, scope: all}   # or safe, or unsafe; absent: as in the class
package routes

import (
	"strings"
	"time"

	"sandyard/decision"
)

// Repeat is the idempotency that an operation declares. The zero value means that the idempotency of its class
// applies.
type Repeat struct {
	Given       bool // the operation declares its idempotency
	Idempotency decision.Idempotency
	KeyScope    decision.KeyScope // with IdempotentByKey
	KeyTTL      time.Duration     // with IdempotentByKey: how long backends remember a key
}

// Operation is one method of one path.
type Operation struct {
	ID       string // the operationId; if it is absent, method and template
	Method   string // in upper case
	Template string // path template, including the base path
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

// node is a node in the tree of path segments. Literals are tried before the parameter, because a concrete path has
// precedence over a templated one (OpenAPI 3, Paths Object). If the subtree of a literal has no match, the parameter is tried.
type node struct {
	literal  map[string]*node
	param    *node
	methods  []*Operation
	line     int    // line of the template that ends at this node; 0: none does
	template string // that template
}

// MatchResult is the result of a match.
type MatchResult int

// The results of a match, with the status of the response to the request.
const (
	Found            MatchResult = iota
	PathNotFound                 // 404
	MethodNotAllowed             // 405: the path has other methods
	BadPath                      // 400: a path that two parsers could interpret differently
	BadParams                    // 400: the parameter with the units is ambiguous, or not a number within its bounds
)

// Match returns the operation of a request, which is nil unless the result is Found. HEAD matches GET if the path has no
// HEAD operation of its own.
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

// match returns the operation for the rest of a path below n, or nil if there is none. If a template matches the path but has
// other methods only, match sets result to MethodNotAllowed.
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

// matchNext matches the rest of a path below this node, or the method at this node if the path ends here.
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
