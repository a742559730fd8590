package routes

import (
	"strconv"
	"strings"
)

// Units is the cost of a request of an operation: a fixed number, or the value of a parameter.
type Units struct {
	Fixed   float64 // cost if there is no parameter
	In      string  // "query" or "header"; "" if fixed
	Name    string  // name of the parameter
	Default float64 // cost if the parameter is absent
	Max     float64 // maximum; a larger value is an error of the client
}

// ForRequest returns the cost of a request with a query; header returns the value of a header field. ok is false if the
// parameter is not a number from 0 to Max, or is ambiguous in the query (see findParameter). It allocates only to decode
// parameter names with escapes.
func (u *Units) ForRequest(query string, header func(name string) (string, bool)) (units float64, ok bool) {
	var value string
	found := false
	switch u.In {
	case "":
		return u.Fixed, true
	case "header":
		value, found = header(u.Name)
	case "query":
		if value, found, ok = findParameter(query, u.Name); !ok {
			return 0, false
		}
	}
	if !found {
		return u.Default, true
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || !(x >= 0) || x > u.Max {
		return 0, false
	}
	return x, true
}

// findParameter returns the value of a query parameter. ok is false if the parameter occurs twice or with escapes in its name,
// or if the escapes of any name are invalid: a backend could read another value than the one that was charged.
func findParameter(query, name string) (value string, found, ok bool) {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, text, _ := strings.Cut(pair, "=")
		if key != name {
			if decodesTo(key, name) {
				return "", false, false
			}
			continue
		}
		if found {
			return "", false, false
		}
		value, found = text, true
	}
	return value, found, true
}

// decodesTo reports whether key contains escapes and either decodes to name or can't be decoded.
func decodesTo(key, name string) bool {
	if strings.IndexByte(key, '%') < 0 && strings.IndexByte(key, '+') < 0 {
		return false
	}
	decoded, ok := unescape(key)
	return !ok || decoded == name
}

// unescape decodes the name of a query parameter. ok is false if an escape is invalid.
func unescape(s string) (decoded string, ok bool) {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch c {
		case '%':
			if i+2 >= len(s) || hexDigit(s[i+1]) < 0 || hexDigit(s[i+2]) < 0 {
				return "", false
			}
			c = byte(hexDigit(s[i+1])<<4 | hexDigit(s[i+2]))
			i += 2
		case '+':
			c = ' '
		}
		out = append(out, c)
	}
	return string(out), true
}
