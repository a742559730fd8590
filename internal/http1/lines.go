package http1

import "bytes"

// collectLines takes lines up to and with an empty one into r.buf; done reports that it has come. Beyond limit bytes it
// returns tooLong. What is too long is found by the count of bytes alone, so that it does not depend on how they were split.
func (r *Reader) collectLines(b []byte, limit int, tooLong *Error) (used int, done bool, err *Error) {
	for used < len(b) {
		limit, tooLong := r.lineLimit(limit, tooLong)
		rest := b[used:min(len(b), used+limit-len(r.buf))]
		if len(rest) == 0 {
			return used, false, tooLong
		}
		n := bytes.IndexByte(rest, '\n') + 1
		if n == 0 { // the line's end has not come
			r.buf = append(r.buf, rest...)
			used += len(rest)
			continue
		}
		r.buf = append(r.buf, rest[:n]...)
		used += n
		done, err := r.endLine()
		if done || err != nil {
			return used, done, err
		}
	}
	return used, false, nil
}

// lineLimit returns the bound on the bytes in r.buf, and the error beyond it: for the first line of a request, that of
// request lines if it is the smaller.
func (r *Reader) lineLimit(limit int, tooLong *Error) (int, *Error) {
	inRequestLine := r.state == stateHead && !r.response && r.lineStart == 0
	if inRequestLine && r.limits.RequestLine < limit {
		return r.limits.RequestLine, &Error{statusURITooLong, "a request line that is too long"}
	}
	return limit, tooLong
}

// endLine checks the line that ends r.buf; empty reports that it is the one that ends a head or trailers. A line that does
// not end in CRLF, or holds a CR elsewhere, might be split otherwise by another parser (RFC 9112 section 2.2).
func (r *Reader) endLine() (empty bool, err *Error) {
	line, ok := bytes.CutSuffix(r.buf[r.lineStart:], []byte(crlf))
	if !ok {
		return false, badRequest("a bare LF")
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return false, badRequest("a bare CR")
	}
	if len(line) == 0 {
		return true, nil
	}
	r.lineCount++
	if r.lineCount > r.limits.Fields+1 { // and the start line
		return false, &Error{statusHeaderFieldsTooLarge, "too many fields"}
	}
	r.lineStart = len(r.buf)
	return false, nil
}

// resetLines makes r.buf ready for other lines.
func (r *Reader) resetLines() {
	r.buf = r.buf[:0]
	r.lineStart = 0
	r.lineCount = 0
}
