package routes

import "strings"

// isUnambiguous reports whether every server interprets a path in the same way. A backend that decodes %61dmin, resolves dot
// segments, or treats a backslash as a slash would see another path than the one that was matched and charged.
func isUnambiguous(path string) bool {
	for i := 0; i < len(path); i++ {
		switch path[i] {
		case '%':
			if i+2 >= len(path) || !isUnambiguousEscape(path[i+1], path[i+2]) {
				return false
			}
			i += 2
		case '\\':
			return false
		case '/':
			if isDotSegment(path[i+1:]) {
				return false
			}
		}
	}
	return true
}

// isUnambiguousEscape reports whether two characters are the hexadecimal digits of an escape that every server interprets in
// the same way. Servers differ in how they interpret an escaped unreserved character, and an escaped separator, percent sign
// or control character.
func isUnambiguousEscape(high, low byte) bool {
	hi, lo := hexDigit(high), hexDigit(low)
	if hi < 0 || lo < 0 {
		return false
	}
	c := byte(hi<<4 | lo)
	isUnreserved := c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
	isAmbiguous := c == '/' || c == '\\' || c < 0x20 || c == 0x7f || c == '%'
	return !isUnreserved && !isAmbiguous
}

// isDotSegment reports whether the rest of a path begins with a segment "." or "..".
func isDotSegment(rest string) bool {
	segment, _, _ := strings.Cut(rest, "/")
	return segment == "." || segment == ".."
}

// hexDigit returns the value of a hexadecimal digit, or -1 for any other character.
func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	}
	return -1
}
