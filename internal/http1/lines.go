package http1

import "bytes"

// collectLines appends lines to r.buf, up to and including an empty one; done reports that the empty line is complete. Beyond
// limit bytes it returns tooLong. The check depends only on the number of bytes, not on how they were split.
func (r *Reader) collectLines(b []byte, limit int, tooLong *Error) (used int, done bool, err *Error) {
	for used < len(b) {
		limit, tooLong := r.lineLimit(limit, tooLong)
		rest := b[used:min(len(b), used+limit-len(r.buf))]
		if len(rest) == 0 {
			return used, false, tooLong
		}
		n := bytes.IndexByte(rest, '\n') + 1
		if n == 0 { // the line is not complete
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

// lineLimit returns the limit on the bytes in r.buf and the error for exceeding it. In the request line, the limit on request
// lines applies if it is smaller.
func (r *Reader) lineLimit(limit int, tooLong *Error) (int, *Error) {
	inRequestLine := r.state == stateHead && !r.response && r.lineStart == 0
	if inRequestLine && r.limits.RequestLine < limit {
		return r.limits.RequestLine, &Error{statusURITooLong, "a request line that is too long"}
	}
	return limit, tooLong
}

// endLine checks the last line in r.buf, which is complete. empty reports that it is the empty line, which ends a head or
// trailers. A line that does not end with CRLF, or contains another CR, is rejected, because another parser might split it
// differently (RFC 9112 section 2.2).
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
	if r.lineCount > r.limits.Fields+1 { // one more for the start line
		return false, &Error{statusHeaderFieldsTooLarge, "too many fields"}
	}
	r.lineStart = len(r.buf)
	return false, nil
}

// resetLines prepares r.buf for the next lines.
func (r *Reader) resetLines() {
	r.buf = r.buf[:0]
	r.lineStart = 0
	r.lineCount = 0
}
