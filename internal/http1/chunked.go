package http1

// The chunked transfer coding (RFC 9112 section 7.1).

// Bounds on the framing of chunks, so that a sender cannot make a reader work without sending a body.
const (
	maxChunkSizeLine   = 256       // bytes of the line before a chunk, extensions and line end included
	maxExcessFraming   = 16 << 10  // bytes of framing in excess of the allowance of countFraming, as in net/http
	maxChunkSize       = 1<<62 - 1 // bytes of a chunk; the sum of two fits in an int64
	maxChunkSizeDigits = 15        // hexadecimal digits of a chunk size, leading zeros included
)

// Framing that is allowed for a chunk; more is counted as excess (see countFraming).
const (
	chunkLineEnds        = 2 * len(crlf) // bytes: after the size line and after the chunk
	chunkFramingAllowed  = 16            // bytes for each chunk
	framingAllowedByByte = 2             // bytes for each byte of the chunk
)

// forbiddenTrailers are the fields that frame or route a message, which must not be in trailers (RFC 9110 section 6.5.1): a
// parser that merges trailers into the head would see a different message.
var forbiddenTrailers = [...]string{"Content-Length", "Transfer-Encoding", "Host", "Connection", "Trailer"}

// readChunkSize reads the line before a chunk. incomplete reports that the line is not complete.
func (r *Reader) readChunkSize(b []byte) (used int, incomplete bool, err *Error) {
	used, line, err := r.collectChunkLine(b, maxChunkSizeLine)
	if err != nil || line == nil {
		return used, true, err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return used, true, err
	}
	if err := r.countFraming(len(line), size); err != nil {
		return used, true, err
	}
	r.buf = r.buf[:0]
	r.beginChunk(size)
	return used, false, nil
}

// readChunkEnd reads the line end after a chunk. incomplete reports that it is not complete.
func (r *Reader) readChunkEnd(b []byte) (used int, incomplete bool, err *Error) {
	used, line, err := r.collectChunkLine(b, len(crlf))
	if err != nil || line == nil {
		return used, true, err
	}
	r.buf = r.buf[:0]
	r.state = stateChunkSize
	return used, false, nil
}

// collectChunkLine reads a line of chunk framing of at most limit bytes. It returns the line without its end, or nil while the
// line is not complete. A bare CR or LF is rejected, because another parser might interpret it as the end of the line.
func (r *Reader) collectChunkLine(b []byte, limit int) (used int, line []byte, err *Error) {
	for i, c := range b {
		length := len(r.buf)
		afterCR := length > 0 && r.buf[length-1] == '\r'
		switch {
		case length == limit:
			return i, nil, badRequest("a line of chunk framing that is too long")
		case c != '\n' && afterCR:
			return i, nil, badRequest("a bare CR")
		case c == '\n' && !afterCR:
			return i, nil, badRequest("a bare LF")
		case c == '\n':
			return i + 1, r.buf[:length-1], nil
		case r.state == stateChunkEnd && c != '\r':
			return i, nil, badRequest("a chunk that is longer than its size")
		}
		r.buf = append(r.buf, c)
	}
	return len(b), nil, nil
}

// parseChunkSize parses the line before a chunk: the size in bytes, in hexadecimal digits, and extensions, which are ignored
// (RFC 9112 section 7.1.1).
func parseChunkSize(line []byte) (int64, *Error) {
	size, digits := int64(0), 0
	for ; digits < len(line); digits++ {
		value, ok := hexValue(line[digits])
		if !ok {
			break
		}
		if digits >= maxChunkSizeDigits || size > maxChunkSize>>4 {
			return 0, badRequest("a chunk size that is too large")
		}
		size = size<<4 | value
	}
	if digits == 0 {
		return 0, badRequest("a chunk without a size")
	}
	extensions := line[digits:]
	if len(extensions) > 0 && (extensions[0] != ';' || !isFieldValue(string(extensions))) {
		return 0, badRequest("a chunk size followed by something else")
	}
	return size, nil
}

// hexValue returns the value of a hexadecimal digit; ok is false for any other byte.
func hexValue(c byte) (value int64, ok bool) {
	lower := c | caseBit
	switch {
	case isDigit(c):
		return int64(c - '0'), true
	case lower >= 'a' && lower <= 'f':
		return int64(lower-'a') + 10, true
	}
	return 0, false
}

// countFraming bounds the framing of a chunked body, since a sender that pads chunks with extensions makes the reader work
// without sending a body. For each chunk, 16 bytes plus twice the size of the chunk are allowed. Framing in excess of that is
// counted over the body and bounded, as in net/http.
func (r *Reader) countFraming(lineLength int, size int64) *Error {
	framing := int64(lineLength + chunkLineEnds)
	allowed := chunkFramingAllowed + framingAllowedByByte*size
	r.excessFraming = max(0, r.excessFraming+framing-allowed)
	if r.excessFraming > maxExcessFraming {
		return badRequest("more chunk framing than body")
	}
	return nil
}

// beginChunk prepares the reader for a chunk, or for the trailers after the last chunk, whose size is 0.
func (r *Reader) beginChunk(size int64) {
	r.bodyLeft = size
	if size > 0 {
		r.state = stateChunk
		return
	}
	r.state = stateTrailers
	r.lineStart = 0
}

// readTrailers reads the trailers of a chunked body (RFC 9112 section 7.1.2), including the empty line that ends them.
func (r *Reader) readTrailers(b []byte) (used int, part Part, err *Error) {
	used, done, err := r.collectLines(b, r.limits.Trailers, badRequest("trailers that are too large"))
	if err != nil || !done {
		return used, Part{}, err
	}
	fields, err := appendFieldLines(nil, string(r.buf[:len(r.buf)-len(crlf)]))
	if err != nil {
		return used, Part{}, err
	}
	for _, field := range fields {
		if isForbiddenTrailer(field.Name) {
			return used, Part{}, badRequest("a trailer that frames or routes")
		}
	}
	r.resetLines()
	r.state = stateHead
	return used, Part{Kind: End, Trailers: fields}, nil
}

func isForbiddenTrailer(name string) bool {
	for _, forbidden := range forbiddenTrailers {
		if equalFold(name, forbidden) {
			return true
		}
	}
	return false
}
