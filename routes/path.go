package routes

import "strings"

// isUnambiguous reports whether every server interprets a path in the same way. A backend that decodes %61dmin, or resolves
// dot segments, would see another path than the one that was matched and charged.
func isUnambiguous(path string) bool {
	for i := 0; i < len(path); i++ {
		switch path[i] {
		case '%':
			if i+2 >= len(path) || !isRequiredEscape(path[i+1], path[i+2]) {
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

// isRequiredEscape reports whether two hexadecimal digits escape a character that can't be written unescaped, and that is
// safe. Servers differ in how they interpret an escaped unreserved character, and an escaped separator, percent sign or
// control character.
func isRequiredEscape(high, low byte) bool {
	hi, lo := hexDigit(high), hexDigit(low)
	if hi < 0 || lo < 0 {
		return false
	}
	c := byte(hi<<4 | lo)
	isUnreserved := c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
	isDangerous := c == '/' || c == '\\' || c < 0x20 || c == 0x7f || c == '%'
	return !isUnreserved && !isDangerous
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
