package http1

import (
	"bytes"
	"errors"
)

// Limits bound what a Reader keeps. The zero value stands for the defaults.
type Limits struct {
	Line     int // bytes of a request line: 414 beyond; default 8 KiB
	Head     int // bytes of a head: 431 beyond; default 32 KiB
	Fields   int // fields in a head: 431 beyond; default 128
	Trailers int // bytes of trailers: 400 beyond; default 4 KiB
}

func (l Limits) orDefault() Limits {
	set := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&l.Line, 8<<10)
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
	HeadEnd             // Part.Head is whole
	Data                // Part.Data is body; valid until the next call
	End                 // the message is over; Part.Trailers came after a chunked body
)

// Part is a piece of a message.
type Part struct {
	Kind     Kind
	Head     *Head
	Data     []byte
	Trailers []Field
}

type state int

const (
	inHead state = iota
	inFixed
	inClose
	inSize
	inChunk
	inChunkEnd
	inTrailers
	atEnd
	broken
)

const (
	mostSizeLine = 256       // bytes of a chunk's size line, extensions included
	mostExcess   = 16 << 10  // bytes of chunk framing beyond what bodies of honest chunks have
	mostChunk    = 1<<62 - 1 // bytes of a chunk
)

var errCut = errors.New("http1: the connection ended within a message")

// Reader takes a connection's bytes apart. However the same bytes are split over calls, the parts are the same,
// but for where Data is cut.
type Reader struct {
	limits   Limits
	response bool
	method   string // of the request that the next response answers
	state    state
	buf      []byte // an unfinished line or head
	line     int    // where its last line begins
	lines    int
	skipped  bool // an empty line before the message
	left     int64
	excess   int64
	err      *Error
}

// NewRequests reads what clients send.
func NewRequests(l Limits) *Reader { return &Reader{limits: l.orDefault()} }

// NewResponses reads what servers send. Expect must be called before each answer.
func NewResponses(l Limits) *Reader { return &Reader{limits: l.orDefault(), response: true} }

// Expect names the method of the request that the next response answers.
func (r *Reader) Expect(method string) { r.method = method }

// Idle tells whether the reader stands between messages with nothing begun.
func (r *Reader) Idle() bool { return r.state == inHead && len(r.buf) == 0 && !r.skipped }

// Feed takes bytes in and returns how many it used and the next part. Call it with the rest until the part's
// kind is More. An error is final.
func (r *Reader) Feed(b []byte) (int, Part, error) {
	if r.err != nil {
		return 0, Part{}, r.err
	}
	n, p, err := r.feed(b)
	if err != nil {
		r.state, r.err, r.buf = broken, err, nil
		return n, Part{}, err
	}
	return n, p, nil
}

// EOF tells that no more bytes come. It returns the end of a body that lasts until then, and an error where a
// message was cut off.
func (r *Reader) EOF() (Part, error) {
	switch {
	case r.state == inClose:
		r.state = inHead
		return Part{Kind: End}, nil
	case r.Idle() && r.err == nil:
		return Part{}, nil
	}
	return Part{}, errCut
}

func (r *Reader) feed(b []byte) (int, Part, *Error) {
	used := 0
	for {
		rest := b[used:]
		switch r.state {
		case inHead:
			n, p, err := r.head(rest)
			return used + n, p, err
		case inFixed, inChunk, inClose:
			if r.left == 0 && r.state != inClose {
				if r.state == inFixed {
					r.state = atEnd
				} else {
					r.state = inChunkEnd
				}
				continue
			}
			if len(rest) == 0 {
				return used, Part{}, nil
			}
			n := len(rest)
			if r.state != inClose {
				n = int(min(int64(n), r.left))
				r.left -= int64(n)
			}
			return used + n, Part{Kind: Data, Data: rest[:n]}, nil
		case inSize:
			n, line, err := r.oneLine(rest, mostSizeLine)
			used += n
			if err != nil || line == nil {
				return used, Part{}, err
			}
			if err := r.size(line); err != nil {
				return used, Part{}, err
			}
			r.buf = r.buf[:0]
		case inChunkEnd:
			n, line, err := r.oneLine(rest, 2)
			used += n
			if err != nil || line == nil {
				return used, Part{}, err
			}
			r.buf, r.state = r.buf[:0], inSize
		case inTrailers:
			n, p, err := r.trailers(rest)
			return used + n, p, err
		case atEnd:
			r.state = inHead
			return used, Part{Kind: End}, nil
		}
	}
}

// oneLine collects a line of at most the given size; nil while it has not come.
func (r *Reader) oneLine(b []byte, most int) (int, []byte, *Error) {
	for i, c := range b {
		if len(r.buf) == most {
			return i, nil, bad("a line of chunk framing that is too long")
		}
		if l := len(r.buf); c != '\n' && l > 0 && r.buf[l-1] == '\r' {
			return i, nil, bad("a bare CR")
		}
		r.buf = append(r.buf, c)
		if c == '\n' {
			if len(r.buf) < 2 || r.buf[len(r.buf)-2] != '\r' {
				return i, nil, bad("a bare LF")
			}
			return i + 1, r.buf[:len(r.buf)-2], nil
		}
		if r.state == inChunkEnd && c != '\r' {
			return i, nil, bad("a chunk that is longer than its size")
		}
	}
	return len(b), nil, nil
}

// size reads a chunk's size line. Extensions are skipped, but a sender that pads its chunks with framing makes
// us work for nothing: what framing exceeds the body by is counted and bounded (net/http does the same).
func (r *Reader) size(line []byte) *Error {
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
		if i >= 15 || n > mostChunk>>4 {
			return bad("a chunk size that is too large")
		}
		n = n<<4 | d
	}
	if i == 0 {
		return bad("a chunk without a size")
	}
	if i < len(line) {
		if line[i] != ';' || !isValue(string(line[i:])) {
			return bad("a chunk size followed by something else")
		}
	}
	r.excess = max(0, r.excess+int64(len(line))+4-16-2*n)
	if r.excess > mostExcess {
		return bad("more chunk framing than body")
	}
	if r.left = n; n == 0 {
		r.state, r.line = inTrailers, 0
	} else {
		r.state = inChunk
	}
	return nil
}

// collect takes lines up to and with an empty one into r.buf; done tells that it has come. What is too long is
// told by the count of bytes alone, so that it does not depend on how they were split.
func (r *Reader) collect(b []byte, most int, over *Error) (used int, done bool, err *Error) {
	for used < len(b) {
		most, over := most, over
		if r.state == inHead && !r.response && r.line == 0 && r.limits.Line < most {
			most, over = r.limits.Line, &Error{414, "a request line that is too long"}
		}
		rest := b[used:min(len(b), used+most-len(r.buf))]
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
		line := r.buf[r.line:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return used, false, bad("a bare LF")
		}
		if bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
			return used, false, bad("a bare CR")
		}
		if len(line) == 2 {
			return used, true, nil
		}
		if r.lines++; r.lines > r.limits.Fields+1 {
			return used, false, &Error{431, "too many fields"}
		}
		r.line = len(r.buf)
	}
	return used, false, nil
}

func (r *Reader) head(b []byte) (int, Part, *Error) {
	used := 0
	for {
		n, done, err := r.collect(b[used:], r.limits.Head, &Error{431, "a head that is too large"})
		used += n
		if err != nil || !done {
			return used, Part{}, err
		}
		if len(r.buf) > 2 {
			h, err := r.parse()
			if err != nil {
				return used, Part{}, err
			}
			return used, Part{Kind: HeadEnd, Head: h}, nil
		}
		// One empty line before a request is forgiven (RFC 9112 section 2.2).
		if r.response || r.skipped {
			return used, Part{}, bad("an empty line in place of a message")
		}
		r.skipped, r.buf = true, r.buf[:0]
	}
}

// parse reads the collected head and sets out for its body.
func (r *Reader) parse() (*Head, *Error) {
	raw := string(r.buf)
	if cap(r.buf) > 4<<10 { // a large head is rare; its room isn't kept over the connection's life
		r.buf = nil
	}
	r.buf, r.line, r.lines, r.excess, r.skipped = r.buf[:0], 0, 0, 0, false
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
		r.state = inHead
	case h.Length == Chunked:
		r.state = inSize
	case h.Length == UntilClose:
		r.state = inClose
	default:
		r.state, r.left = inFixed, h.Length
	}
	return h, nil
}

func (r *Reader) trailers(b []byte) (int, Part, *Error) {
	n, done, err := r.collect(b, r.limits.Trailers, bad("trailers that are too large"))
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
				return n, Part{}, bad("a trailer that frames or routes")
			}
		}
	}
	r.buf, r.line, r.lines, r.state = r.buf[:0], 0, 0, inHead
	return n, Part{Kind: End, Trailers: fields}, nil
}
