package http1

// Kind is the kind of a Part.
type Kind int

// The kinds of parts.
const (
	More    Kind = iota // no part: all bytes were used, and more are needed
	HeadEnd             // Part.Head is complete
	Data                // Part.Data is a piece of the body; valid until the next call
	End                 // the message is complete; Part.Trailers holds the trailers of a chunked body
)

// Part is a piece of a message.
type Part struct {
	Kind     Kind
	Head     *Head   // of HeadEnd
	Data     []byte  // of Data: not empty; a part of the slice passed to Feed
	Trailers []Field // of End
}

// state is a Reader's position in a message.
type state int

// The states of a Reader.
const (
	stateHead           state = iota // between messages, or in a head
	stateFixedBody                   // in a body of a stated length
	stateBodyUntilClose              // in a body that ends with the connection
	stateChunkSize                   // in the line before a chunk
	stateChunk                       // in a chunk
	stateChunkEnd                    // in the line end after a chunk
	stateTrailers                    // after the last chunk
	stateEnd                         // the message is complete, and End is returned next
	stateFailed                      // an error was returned
)

// maxKeptBuffer is the largest buffer (bytes) that a Reader keeps for the next head. Large heads are rare, and their buffers
// would otherwise be held until the connection ends.
const maxKeptBuffer = 4 << 10

// Reader parses the bytes of a connection. The parts do not depend on how the bytes are split over calls, except for the
// boundaries of Data. Only one goroutine may use a Reader at a time, and no method blocks.
type Reader struct {
	limits           Limits
	response         bool   // it reads responses
	method           string // of the request that the next response answers
	state            state
	buf              []byte // the unfinished line or head
	lineStart        int    // of a head or trailers: where the unfinished line begins in buf
	lineCount        int    // of a head or trailers: complete lines in buf
	skippedEmptyLine bool   // an empty line before the message was skipped
	bodyLeft         int64  // of a body or chunk: bytes that have not been received
	excessFraming    int64  // of a chunked body: see countFraming
	err              *Error // returned by every further call
}

// NewRequests returns a reader of requests.
func NewRequests(l Limits) *Reader { return &Reader{limits: l.withDefaults()} }

// NewResponses returns a reader of responses. Expect must be called before each response.
func NewResponses(l Limits) *Reader { return &Reader{limits: l.withDefaults(), response: true} }

// Expect sets the method of the request that the next response answers. The method affects whether the response has a body.
func (r *Reader) Expect(method string) { r.method = method }

// Idle reports whether the reader is between messages and has received no part of the next one.
func (r *Reader) Idle() bool { return r.state == stateHead && len(r.buf) == 0 && !r.skippedEmptyLine }

// BufferSize returns the size of the buffer (bytes) that the reader holds for an unfinished line or head.
func (r *Reader) BufferSize() int { return cap(r.buf) }

// Feed processes bytes and returns how many it used and the next part. The caller must call it with the rest until the kind of
// the part is More. The error is an *Error and final: every later call returns the same error.
func (r *Reader) Feed(b []byte) (int, Part, error) {
	if r.err != nil {
		return 0, Part{}, r.err
	}
	n, part, err := r.feed(b)
	if err != nil {
		r.state = stateFailed
		r.err = err
		r.buf = nil
		return n, Part{}, err
	}
	return n, part, nil
}

// EOF reports that the stream has ended. It returns End for a body that ends with the connection (RFC 9112 section
// 6.3, item 8), More between messages, and ErrTruncated within a message or after an error of Feed.
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

// feed implements Feed for a reader that has not failed. It runs the state machine until a state returns a part or needs more
// bytes.
func (r *Reader) feed(b []byte) (used int, part Part, err *Error) {
	for {
		n, part, done, err := r.step(b[used:])
		used += n
		if done || err != nil {
			return used, part, err
		}
	}
}

// step processes bytes in the current state. done is false if the state has changed and the new state can continue with the
// rest.
func (r *Reader) step(b []byte) (used int, part Part, done bool, err *Error) {
	switch r.state {
	case stateHead:
		used, part, err = r.readHead(b)
		return used, part, true, err
	case stateFixedBody, stateChunk:
		if r.bodyLeft == 0 {
			r.endData()
			return 0, Part{}, false, nil
		}
		used, part = r.readSizedData(b)
		return used, part, true, nil
	case stateBodyUntilClose:
		used, part = dataPart(b)
		return used, part, true, nil
	case stateChunkSize:
		used, done, err = r.readChunkSize(b)
		return used, Part{}, done, err
	case stateChunkEnd:
		used, done, err = r.readChunkEnd(b)
		return used, Part{}, done, err
	case stateTrailers:
		used, part, err = r.readTrailers(b)
		return used, part, true, err
	default: // stateEnd
		r.state = stateHead
		return 0, Part{Kind: End}, true, nil
	}
}

// readSizedData reads bytes of a body or chunk of known size, up to its end.
func (r *Reader) readSizedData(b []byte) (int, Part) {
	n := int(min(int64(len(b)), r.bodyLeft))
	r.bodyLeft -= int64(n)
	return dataPart(b[:n])
}

// dataPart returns bytes as a part of the body, or More if there are none.
func dataPart(b []byte) (int, Part) {
	if len(b) == 0 {
		return 0, Part{}
	}
	return len(b), Part{Kind: Data, Data: b}
}

// endData changes the state after the last byte of a body or chunk.
func (r *Reader) endData() {
	if r.state == stateFixedBody {
		r.state = stateEnd
		return
	}
	r.state = stateChunkEnd
}

// readHead reads a head. One empty line before a request is skipped (RFC 9112 section 2.2).
func (r *Reader) readHead(b []byte) (used int, part Part, err *Error) {
	for {
		n, done, err := r.collectLines(b[used:], r.limits.Head, &Error{statusHeaderFieldsTooLarge, "a head that is too large"})
		used += n
		if err != nil || !done {
			return used, Part{}, err
		}
		if len(r.buf) > len(crlf) {
			head, err := r.finishHead()
			if err != nil {
				return used, Part{}, err
			}
			return used, Part{Kind: HeadEnd, Head: head}, nil
		}
		if r.response || r.skippedEmptyLine {
			return used, Part{}, badRequest("an empty line in place of a message")
		}
		r.skippedEmptyLine = true
		r.buf = r.buf[:0]
	}
}

// finishHead parses the collected head and prepares the reader for the body.
func (r *Reader) finishHead() (*Head, *Error) {
	raw := string(r.buf)
	r.resetHead()
	head, err := r.parseHead(raw)
	if err != nil {
		return nil, err
	}
	switch {
	case r.response && head.isInterim(): // the final response follows
		r.state = stateHead
	case head.Length == Chunked:
		r.state = stateChunkSize
	case head.Length == UntilClose:
		r.state = stateBodyUntilClose
	default:
		r.state = stateFixedBody
		r.bodyLeft = head.Length
	}
	return head, nil
}

// resetHead prepares the reader for the lines that follow a head.
func (r *Reader) resetHead() {
	if cap(r.buf) > maxKeptBuffer {
		r.buf = nil
	}
	r.resetLines()
	r.excessFraming = 0
	r.skippedEmptyLine = false
}

// parseHead parses the complete head of a request or response.
func (r *Reader) parseHead(raw string) (*Head, *Error) {
	if r.response {
		return parseResponse(raw, r.method)
	}
	return parseRequest(raw)
}
