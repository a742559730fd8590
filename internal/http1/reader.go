package http1

import (
	"bytes"
	"errors"
)

// Limits bound what a Reader keeps. The zero value stands for the defaults.
type Limits struct {
	RequestLine int // bytes of a request line: 414 beyond; default 8 KiB
	Head        int // bytes of a head: 431 beyond; default 32 KiB
	Fields      int // fields in a head: 431 beyond; default 128
	Trailers    int // bytes of trailers: 400 beyond; default 4 KiB
}

// withDefaults returns the limits with defaults in place of zeros.
func (l Limits) withDefaults() Limits {
	set := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&l.RequestLine, 8<<10)
	set(&l.Head, 32<<10)
	set(&l.Fields, 128)
	set(&l.Trailers, 4<<10)
	return l
}

// Kind says what a Part is.
type Kind int

// The kinds of parts.
const (
	More    Kind = iota // nothing yet: all bytes were used
	HeadEnd             // Part.Head is complete
	Data                // Part.Data is body; valid until the next call
	End                 // the message is complete; Part.Trailers came after a chunked body
)

// Part is a piece of a message.
type Part struct {
	Kind     Kind
	Head     *Head
	Data     []byte
	Trailers []Field
}

// state is where a Reader stands in a message.
type state int

// The states of a Reader.
const (
	stateHead           state = iota // between messages, or in a head
	stateFixedBody                   // in a body of a stated length
	stateBodyUntilClose              // in a body that ends with the connection
	stateChunkSize                   // in the line before a chunk
	stateChunk                       // in a chunk
	stateChunkEnd                    // in the line end behind a chunk
	stateTrailers                    // behind the last chunk
	stateEnd                         // the message is complete, and End is to be returned
	stateFailed                      // an error was returned
)

// Bounds on the framing of chunks, in bytes, so that a sender can't make a reader work without sending a body.
const (
	maxChunkSizeLine = 256       // of the line before a chunk, extensions included
	maxExcessFraming = 16 << 10  // of framing beyond what bodies in chunks of ordinary size have
	maxChunkSize     = 1<<62 - 1 // of a chunk; sums of two still fit an int64
)

// ErrTruncated is the error of EOF within a message.
var ErrTruncated = errors.New("http1: the connection ended within a message")

// Reader parses what comes on a connection. However the same bytes are split over calls, the parts are the same, but for
// where Data is cut. It belongs to one goroutine at a time, and no method blocks.
type Reader struct {
	limits           Limits
	response         bool   // it reads responses
	method           string // of the request that the next response answers
	state            state
	buf              []byte // the unfinished line or head
	lineStart        int    // of a head or trailers: where the unfinished line begins in buf
	lineCount        int    // of a head or trailers: complete lines in buf
	skippedEmptyLine bool   // one before the message
	bodyLeft         int64  // of a body or chunk: bytes that have not come
	excessFraming    int64  // of a chunked body: see parseChunkSize
	err              *Error // what every further call returns
}

// NewRequests returns a reader of what clients send.
func NewRequests(l Limits) *Reader { return &Reader{limits: l.withDefaults()} }

// NewResponses returns a reader of what servers send. Expect must be called before each response.
func NewResponses(l Limits) *Reader { return &Reader{limits: l.withDefaults(), response: true} }

// Expect names the method of the request that the next response answers.
func (r *Reader) Expect(method string) { r.method = method }

// Idle reports whether the reader stands between messages with nothing begun.
func (r *Reader) Idle() bool { return r.state == stateHead && len(r.buf) == 0 && !r.skippedEmptyLine }

// Feed takes bytes in and returns how many it used and the next part. Call it with the rest until the part's kind is More.
// An error is an *Error, and final.
func (r *Reader) Feed(b []byte) (int, Part, error) {
	if r.err != nil {
		return 0, Part{}, r.err
	}
	n, p, err := r.feed(b)
	if err != nil {
		r.state, r.err, r.buf = stateFailed, err, nil
		return n, Part{}, err
	}
	return n, p, nil
}

// EOF reports that no more bytes come. It returns the end of a body that lasts until then, and an error where a message was
// cut off.
func (r *Reader) EOF() (Part, error) {
	switch {
	case r.state == stateBodyUntilClose:
		r.state = stateHead
		return Part{Kind: End}, nil
	case r.Idle() && r.err == nil:
		return Part{}, nil
	}
	return Part{}, ErrTruncated
}

// feed is Feed without the care for errors.
func (r *Reader) feed(b []byte) (int, Part, *Error) {
	used := 0
	for {
		rest := b[used:]
		switch r.state {
		case stateHead:
			n, p, err := r.readHead(rest)
			return used + n, p, err
		case stateFixedBody, stateChunk, stateBodyUntilClose:
			if r.bodyLeft == 0 && r.state != stateBodyUntilClose {
				if r.state == stateFixedBody {
					r.state = stateEnd
				} else {
					r.state = stateChunkEnd
				}
				continue
			}
			if len(rest) == 0 {
				return used, Part{}, nil
			}
			n := len(rest)
			if r.state != stateBodyUntilClose {
				n = int(min(int64(n), r.bodyLeft))
				r.bodyLeft -= int64(n)
			}
			return used + n, Part{Kind: Data, Data: rest[:n]}, nil
		case stateChunkSize:
			n, line, err := r.collectLine(rest, maxChunkSizeLine)
			used += n
			if err != nil || line == nil {
				return used, Part{}, err
			}
			if err := r.parseChunkSize(line); err != nil {
				return used, Part{}, err
			}
			r.buf = r.buf[:0]
		case stateChunkEnd:
			n, line, err := r.collectLine(rest, 2)
			used += n
			if err != nil || line == nil {
				return used, Part{}, err
			}
			r.buf, r.state = r.buf[:0], stateChunkSize
		case stateTrailers:
			n, p, err := r.readTrailers(rest)
			return used + n, p, err
		case stateEnd:
			r.state = stateHead
			return used, Part{Kind: End}, nil
		}
	}
}

// collectLine takes a line of chunk framing of at most limit bytes in, and returns it without its end; nil while it is not
// complete.
func (r *Reader) collectLine(b []byte, limit int) (int, []byte, *Error) {
	for i, c := range b {
		if len(r.buf) == limit {
			return i, nil, badRequest("a line of chunk framing that is too long")
		}
		if l := len(r.buf); c != '\n' && l > 0 && r.buf[l-1] == '\r' {
			return i, nil, badRequest("a bare CR")
		}
		r.buf = append(r.buf, c)
		if c == '\n' {
			if len(r.buf) < 2 || r.buf[len(r.buf)-2] != '\r' {
				return i, nil, badRequest("a bare LF")
			}
			return i + 1, r.buf[:len(r.buf)-2], nil
		}
		if r.state == stateChunkEnd && c != '\r' {
			return i, nil, badRequest("a chunk that is longer than its size")
		}
	}
	return len(b), nil, nil
}

// parseChunkSize reads the line before a chunk. Extensions are skipped. A sender that pads its chunks with framing makes the
// reader work for nothing: what framing exceeds the body by, with 16 bytes and twice the chunk's size allowed for each
// chunk, is counted and bounded, as in net/http.
func (r *Reader) parseChunkSize(line []byte) *Error {
	n, i := int64(0), 0
	for ; i < len(line); i++ {
		c, d := line[i], int64(0)
		switch {
		case c >= '0' && c <= '9':
			d = int64(c - '0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			d = int64(c|0x20-'a') + 10
		default:
			d = -1
		}
		if d < 0 {
			break
		}
		if i >= 15 || n > maxChunkSize>>4 {
			return badRequest("a chunk size that is too large")
		}
		n = n<<4 | d
	}
	if i == 0 {
		return badRequest("a chunk without a size")
	}
	if i < len(line) {
		if line[i] != ';' || !isFieldValue(string(line[i:])) {
			return badRequest("a chunk size followed by something else")
		}
	}
	r.excessFraming = max(0, r.excessFraming+int64(len(line))+4-16-2*n)
	if r.excessFraming > maxExcessFraming {
		return badRequest("more chunk framing than body")
	}
	if r.bodyLeft = n; n == 0 {
		r.state, r.lineStart = stateTrailers, 0
	} else {
		r.state = stateChunk
	}
	return nil
}

// collectLines takes lines up to and with an empty one into r.buf; done reports that it has come. What is too long is found by
// the count of bytes alone, so that it does not depend on how they were split.
func (r *Reader) collectLines(b []byte, limit int, over *Error) (used int, done bool, err *Error) {
	for used < len(b) {
		limit, over := limit, over
		if r.state == stateHead && !r.response && r.lineStart == 0 && r.limits.RequestLine < limit {
			limit, over = r.limits.RequestLine, &Error{414, "a request line that is too long"}
		}
		rest := b[used:min(len(b), used+limit-len(r.buf))]
		if len(rest) == 0 {
			return used, false, over
		}
		nl := bytes.IndexByte(rest, '\n')
		if nl < 0 {
			r.buf = append(r.buf, rest...)
			used += len(rest)
			continue
		}
		r.buf = append(r.buf, rest[:nl+1]...)
		used += nl + 1
		line := r.buf[r.lineStart:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return used, false, badRequest("a bare LF")
		}
		if bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
			return used, false, badRequest("a bare CR")
		}
		if len(line) == 2 {
			return used, true, nil
		}
		if r.lineCount++; r.lineCount > r.limits.Fields+1 {
			return used, false, &Error{431, "too many fields"}
		}
		r.lineStart = len(r.buf)
	}
	return used, false, nil
}

// readHead takes a head in.
func (r *Reader) readHead(b []byte) (int, Part, *Error) {
	used := 0
	for {
		n, done, err := r.collectLines(b[used:], r.limits.Head, &Error{431, "a head that is too large"})
		used += n
		if err != nil || !done {
			return used, Part{}, err
		}
		if len(r.buf) > 2 {
			h, err := r.finishHead()
			if err != nil {
				return used, Part{}, err
			}
			return used, Part{Kind: HeadEnd, Head: h}, nil
		}
		// One empty line before a request is forgiven (RFC 9112 section 2.2).
		if r.response || r.skippedEmptyLine {
			return used, Part{}, badRequest("an empty line in place of a message")
		}
		r.skippedEmptyLine, r.buf = true, r.buf[:0]
	}
}

// finishHead reads the collected head and sets out for its body.
func (r *Reader) finishHead() (*Head, *Error) {
	raw := string(r.buf)
	if cap(r.buf) > 4<<10 { // a large head is rare; its room isn't kept over the connection's life
		r.buf = nil
	}
	r.buf, r.lineStart, r.lineCount, r.excessFraming, r.skippedEmptyLine = r.buf[:0], 0, 0, 0, false
	var h *Head
	var err *Error
	if r.response {
		h, err = parseResponse(raw, r.method)
	} else {
		h, err = parseRequest(raw)
	}
	if err != nil {
		return nil, err
	}
	switch {
	case r.response && h.Status < 200: // an interim answer; the final one follows
		r.state = stateHead
	case h.Length == Chunked:
		r.state = stateChunkSize
	case h.Length == UntilClose:
		r.state = stateBodyUntilClose
	default:
		r.state, r.bodyLeft = stateFixedBody, h.Length
	}
	return h, nil
}

// readTrailers takes the trailers of a chunked body in, of which those are refused that would frame or route the message.
func (r *Reader) readTrailers(b []byte) (int, Part, *Error) {
	n, done, err := r.collectLines(b, r.limits.Trailers, badRequest("trailers that are too large"))
	if err != nil || !done {
		return n, Part{}, err
	}
	fields, err := parseFields(string(r.buf[:len(r.buf)-2]), nil)
	if err != nil {
		return n, Part{}, err
	}
	for _, f := range fields {
		for _, no := range [...]string{"Content-Length", "Transfer-Encoding", "Host", "Connection", "Trailer"} {
			if equalFold(f.Name, no) {
				return n, Part{}, badRequest("a trailer that frames or routes")
			}
		}
	}
	r.buf, r.lineStart, r.lineCount, r.state = r.buf[:0], 0, 0, stateHead
	return n, Part{Kind: End, Trailers: fields}, nil
}
