package http1

import "strings"

// Field is one field line of a head or of trailers (RFC 9110 section 5). The name keeps its original case; the value has no
// surrounding white space.
type Field struct{ Name, Value string }

// EqualName reports whether two field names are equal, ignoring case (RFC 9110 section 5.1).
func EqualName(a, b string) bool { return equalFold(a, b) }

// equalFold reports whether two ASCII names are equal, ignoring case. It does not use Unicode folding, in which K equals the
// Kelvin sign.
func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := 0; i < len(a); i++ {
		x, y := a[i], b[i]
		if x == y {
			continue
		}
		if x|caseBit != y|caseBit || !isLowerLetter(x|caseBit) {
			return false
		}
	}
	return true
}

// caseBit is the bit that is set in a lower-case ASCII letter and clear in its upper-case letter.
const caseBit = 0x20

func isLowerLetter(c byte) bool { return c >= 'a' && c <= 'z' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// tokenBytes is the set of bytes that are allowed in a token (RFC 9110 section 5.6.2).
var tokenBytes = func() (set [256]bool) {
	for c := '0'; c <= '9'; c++ {
		set[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		set[c] = true
		set[c&^caseBit] = true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		set[c] = true
	}
	return set
}()

// isToken reports whether s is a token, such as a method or a field name (RFC 9110 section 5.6.2).
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s may be a field value: no control byte except the tab (RFC 9110 section 5.5).
func isFieldValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

// del is the control byte DEL, which follows the printable ASCII bytes.
const del = 0x7f

// whitespace contains the bytes of optional white space (OWS) around values and list members (RFC 9110 section 5.6.3).
const whitespace = " \t"

// parseFieldLines parses the field lines of a complete head, which ends with an empty line.
func parseFieldLines(lines string) ([]Field, *Error) {
	lines = strings.TrimSuffix(lines, crlf)
	return appendFieldLines(make([]Field, 0, strings.Count(lines, "\n")), lines)
}

// appendFieldLines parses field lines, each ended by CRLF, and appends the fields to fields (RFC 9112 section 5).
func appendFieldLines(fields []Field, lines string) ([]Field, *Error) {
	for lines != "" {
		line, rest, _ := strings.Cut(lines, crlf)
		lines = rest
		field, err := parseFieldLine(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field)
	}
	return fields, nil
}

// parseFieldLine parses one field line without its end. It rejects syntax that a lenient parser accepts but another might
// interpret differently: folded lines (RFC 9112 section 5.2) and white space before the colon (section 5.1).
func parseFieldLine(line string) (Field, *Error) {
	if line[0] == ' ' || line[0] == '\t' {
		return Field{}, badRequest("a folded line")
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return Field{}, badRequest("a field without a colon")
	}
	if !isToken(name) { // also rejects a space before the colon
		return Field{}, badRequest("a field name that is no token")
	}
	value = strings.Trim(value, whitespace)
	if !isFieldValue(value) {
		return Field{}, badRequest("a control byte in a field")
	}
	return Field{name, value}, nil
}

// hasListMember reports whether a comma-separated list contains a token, ignoring case (RFC 9110 section 5.6.1).
func hasListMember(list, token string) bool {
	for list != "" {
		var member string
		member, list, _ = strings.Cut(list, ",")
		if equalFold(strings.Trim(member, whitespace), token) {
			return true
		}
	}
	return false
}
