// Package routes turns an OpenAPI 3 description into a table that tells, for a method and a path, which operation
// is meant, what class of request it is and how many units it costs. A Table is immutable: any number of goroutines
// may look things up, and looking up allocates nothing.
//
// A description says it with extension fields of an operation, or of a path for all its operations:
//
//	x-sandyard-class: slot-booking          # a class of the configuration
//	x-sandyard-units: 2                     # or {in: query, name: slots, default: 1, most: 8}
//	x-sandyard-repeat: {kind: keyed, ttl: 6s, scope: all}   # or safe, or unsafe; absent: as the class says
package routes

import (
	"strconv"
	"strings"
	"time"

	"sandyard/decision"
)

// Repeat is what an operation says of repeats; the zero value leaves it to the class.
type Repeat struct {
	Given bool
	Kind  decision.Idempotency
	Scope decision.KeyScope
	TTL   time.Duration
}

// Units is what a call of an operation costs: a fixed number, or one that a parameter carries.
type Units struct {
	Fixed   float64 // without a parameter
	In      string  // "query" or "header"; "" if fixed
	Name    string
	Default float64 // if the parameter is absent
	Most    float64 // a larger value is an error of the client's
}

// Operation is one method of one path.
type Operation struct {
	ID       string // operationId, or method and template
	Method   string
	Template string // with the base path
	Class    string
	Repeat   Repeat
	Units    Units
	Line     int // in the description
	Index    int // in Table.Operations
}

// Table is a compiled description.
type Table struct {
	Operations []*Operation
	root       node
}

// node is a place in the tree of path segments. Literals are tried before the parameter, so a concrete path goes
// before a templated one (OpenAPI 3, Paths Object); what a literal leads to in vain is tried as a parameter next.
type node struct {
	literal map[string]*node
	param   *node
	methods []*Operation
	line    int    // of the template that ends here
	ends    string // that template
}

// MatchResult says how a look-up ended.
type MatchResult int

// The verdicts.
const (
	Found     MatchResult = iota
	NoPath                // 404
	NoMethod              // 405: the path is there
	BadPath               // 400: a path that two parsers could read differently
	BadParams             // 400: a parameter that carries units and is no number in its bounds
)

// Match finds the operation of a request. HEAD is answered where GET is described.
func (t *Table) Match(method, path string) (*Operation, MatchResult) {
	if !plain(path) {
		return nil, BadPath
	}
	if path == "" || path[0] != '/' {
		return nil, NoPath
	}
	v := NoPath
	op := t.root.look(method, path[1:], &v)
	if op != nil {
		return op, Found
	}
	return nil, v
}

func (n *node) look(method, rest string, v *MatchResult) *Operation {
	seg, tail, more := strings.Cut(rest, "/")
	if next := n.literal[seg]; next != nil {
		if op := next.step(method, tail, more, v); op != nil {
			return op
		}
	}
	if n.param != nil && seg != "" {
		return n.param.step(method, tail, more, v)
	}
	return nil
}

func (n *node) step(method, tail string, more bool, v *MatchResult) *Operation {
	if more {
		return n.look(method, tail, v)
	}
	for _, op := range n.methods {
		if op.Method == method {
			return op
		}
	}
	if method == "HEAD" {
		return n.step("GET", "", false, v)
	}
	if len(n.methods) > 0 {
		*v = NoMethod
	}
	return nil
}

// plain tells whether a path can be read in one way only. A box that decodes %61dmin, or resolves dot segments,
// would see another path than the one that was looked up and paid for.
func plain(path string) bool {
	for i := 0; i < len(path); i++ {
		switch path[i] {
		case '%':
			if i+2 >= len(path) {
				return false
			}
			hi, lo := unhex(path[i+1]), unhex(path[i+2])
			if hi < 0 || lo < 0 {
				return false
			}
			switch c := byte(hi<<4 | lo); {
			case c|0x20 >= 'a' && c|0x20 <= 'z', c >= '0' && c <= '9', strings.IndexByte("-._~", c) >= 0: // unreserved
				return false
			case c == '/', c == '\\', c < 0x20, c == 0x7f, c == '%':
				return false
			}
			i += 2
		case '\\':
			return false
		case '/':
			if end := path[i+1:]; end == "." || end == ".." || strings.HasPrefix(end, "./") || strings.HasPrefix(end, "../") {
				return false
			}
		}
	}
	return true
}

func unhex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	}
	return -1
}

// Of is what a call costs, given the query and a way to read header fields; ok is false if its parameter is no
// number from 0 to Most, or comes twice.
func (u *Units) Of(query string, header func(name string) (string, bool)) (units float64, ok bool) {
	var value string
	found := false
	switch u.In {
	case "":
		return u.Fixed, true
	case "header":
		value, found = header(u.Name)
	case "query":
		for query != "" {
			var pair string
			pair, query, _ = strings.Cut(query, "&")
			name, v, _ := strings.Cut(pair, "=")
			if name != u.Name {
				if strings.IndexByte(name, '%') >= 0 || strings.IndexByte(name, '+') >= 0 {
					if decoded, err := unescape(name); err || decoded == u.Name {
						return 0, false // the same parameter in disguise
					}
				}
				continue
			}
			if found {
				return 0, false
			}
			value, found = v, true
		}
	}
	if !found {
		return u.Default, true
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= 0) || x > u.Most {
		return 0, false
	}
	return x, true
}

func unescape(s string) (string, bool) {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c == '%' {
			if i+2 >= len(s) || unhex(s[i+1]) < 0 || unhex(s[i+2]) < 0 {
				return "", true
			}
			c = byte(unhex(s[i+1])<<4 | unhex(s[i+2]))
			i += 2
		} else if c == '+' {
			c = ' '
		}
		out = append(out, c)
	}
	return string(out), false
}
