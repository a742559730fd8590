package proxy

import (
	"time"

	"sandyard/config"
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// ResponseKind says what came of an answer.
type ResponseKind uint8

// The kinds.
const (
	NeedMore  ResponseKind = iota // more bytes are needed
	Complete                      // the answer is complete and rendered in Bytes
	Started                       // it has begun and is too large to hold, or is a stream; Bytes is what there is
	Continued                     // more of a begun answer, in Bytes
	Ended                         // the begun answer is complete; Bytes is its end
	Malformed                     // what came is no answer, or it was cut off
)

// Response is what came of an answer.
type Response struct {
	Kind   ResponseKind
	Status int
	Bytes  []byte // for the client
	Reuse  bool   // Whole, Over: the connection can take another request
	Close  bool   // Begun: only the end of the client's connection can tell where the body ends; Whole: Bytes say that it ends
	protocol.ResponseReport
}

// ResponseReader is a connection to a box: it takes its answers apart, and renders them for the client that waits. An
// answer is held until it is whole, so that nothing has reached the client if the box breaks off and another attempt
// is allowed; one larger than limits.hold-answer, or of a streaming class, flows as it comes.
type ResponseReader struct {
	set    *Shared
	rd     *http1.Reader
	ex     *Exchange // whose answer is awaited
	head   *http1.Head
	body   []byte
	flows  bool
	chunks bool // of the answer to the client
}

// NewResponseReader begins a connection.
func NewResponseReader(set *Shared) *ResponseReader {
	l := set.Config.Limits
	return &ResponseReader{set: set, rd: http1.NewResponses(http1.Limits{Head: int(l.Head), Fields: l.Fields})}
}

// Expect sets the connection up for the answer to a request that is about to be written.
func (b *ResponseReader) Expect(ex *Exchange) {
	b.ex, b.head, b.body, b.flows, b.chunks = ex, nil, nil, false, false
	b.rd.Expect(ex.Method)
}

// Feed takes bytes in, all of them, and says what came of the answer by now.
func (b *ResponseReader) Feed(in []byte) Response {
	if b.ex == nil {
		if len(in) == 0 {
			return Response{}
		}
		return Response{Kind: Malformed} // bytes that nobody asked for
	}
	var out []byte
	for {
		n, part, err := b.rd.Feed(in)
		in = in[n:]
		if err != nil {
			return b.broken()
		}
		switch part.Kind {
		case http1.More:
			switch {
			case b.head == nil:
				return Response{}
			case b.flows:
				if len(out) == 0 {
					return Response{}
				}
				return Response{Kind: Continued, Status: b.head.Status, Bytes: out}
			case len(b.body) > int(b.set.Config.Limits.HoldResponse) || b.stream():
				return b.begin()
			}
			return Response{}
		case http1.HeadEnd:
			if part.Head.Status < 200 {
				continue // interim answers speak of this hop, or promise what another attempt may not keep
			}
			b.head = part.Head
			if b.tooLong(part.Head.Length) {
				return b.broken()
			}
		case http1.Data:
			if b.tooLong(int64(len(b.body) + len(part.Data))) {
				return b.broken()
			}
			if b.flows {
				out = b.piece(out, part.Data)
			} else {
				b.body = append(b.body, part.Data...)
			}
		case http1.End:
			reuse := !b.head.Close && len(in) == 0 // what follows the end of an answer belongs to none
			return b.end(out, part.Trailers, reuse)
		}
	}
}

// tooLong tells that an answer of this length is none that a box makes.
func (b *ResponseReader) tooLong(n int64) bool {
	most := int64(b.set.Config.Limits.Response)
	return most > 0 && n > most
}

// EOF tells that the box closed the connection.
func (b *ResponseReader) EOF() Response {
	if b.ex == nil {
		return Response{Kind: Malformed}
	}
	part, err := b.rd.EOF()
	if err != nil || part.Kind != http1.End || b.head == nil {
		return b.broken()
	}
	return b.end(nil, nil, false)
}

// Lost tells that the connection was lost.
func (b *ResponseReader) Lost() Response { return b.broken() }

func (b *ResponseReader) broken() Response {
	b.ex = nil
	return Response{Kind: Malformed}
}

func (b *ResponseReader) stream() bool {
	return !b.ex.isProbe && b.set.Config.Settings.Classes[b.ex.Class].Stream
}

func (b *ResponseReader) piece(out, data []byte) []byte {
	if b.ex.Method == "HEAD" {
		return out
	}
	if b.chunks {
		return http1.AppendChunk(out, data)
	}
	return append(out, data...)
}

// begin renders the head and what there is of a body whose end has not come.
func (b *ResponseReader) begin() Response {
	h, ex := b.head, b.ex
	b.flows = true
	a := b.facts(Started)
	b.chunks = h.Length < 0 && ex.Minor == 1
	a.Close = h.Length < 0 && ex.Minor == 0
	out := b.set.Protocol.RenderResponseHead(make([]byte, 0, 512+len(b.body)), h)
	switch {
	case b.chunks:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case h.Length >= 0:
		out = http1.AppendLength(out, h.Length)
	}
	out = connection(out, ex.Minor, ex.Close || a.Close || b.set.closes())
	out = append(out, '\r', '\n')
	a.Bytes = b.piece(out, b.body)
	b.body = nil
	return a
}

// end renders a whole answer, or the end of one that flows.
func (b *ResponseReader) end(out []byte, trailers []http1.Field, reuse bool) Response {
	h, ex := b.head, b.ex
	if b.flows {
		if b.chunks {
			out = http1.AppendLastChunk(out, trailers)
		}
		a := b.facts(Ended)
		a.Bytes, a.Reuse = out, reuse
		b.ex = nil
		return a
	}
	a := b.facts(Complete)
	a.Reuse = reuse
	out = b.set.Protocol.RenderResponseHead(make([]byte, 0, 512+len(b.body)), h)
	chunks := len(trailers) > 0 && ex.Minor == 1 && ex.Method != "HEAD"
	switch {
	case chunks:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case h.Status == 204:
	case ex.Method == "HEAD" || h.Status == 304: // what a GET would have had, if the box says so
		if v, ok := h.Get("Content-Length"); ok {
			out = http1.AppendField(out, "Content-Length", v)
		}
	default:
		out = http1.AppendLength(out, int64(len(b.body)))
	}
	a.Close = ex.Close || b.set.closes()
	out = connection(out, ex.Minor, a.Close)
	out = append(out, '\r', '\n')
	if chunks {
		out = http1.AppendLastChunk(http1.AppendChunk(out, b.body), trailers)
	} else if ex.Method != "HEAD" {
		out = append(out, b.body...)
	}
	a.Bytes = out
	b.ex, b.body = nil, nil
	return a
}

// facts are what the head tells beside the answer.
func (b *ResponseReader) facts(k ResponseKind) Response {
	return Response{Kind: k, Status: b.head.Status, ResponseReport: b.set.Protocol.ParseResponse(b.head, b.body, b.ex.isProbe)}
}

// BackendConn is a connection to a box as the core knows it.
type BackendConn struct {
	Owner any // the runtime's connection; set by the runtime when it is told to dial
	Addr  string

	box   *box
	stamp config.Timestamp // of the process that it is made to, as the list told
	state lineState
	ex    *Exchange // whose attempt it carries
	n     int       // the attempt's number
	id    uint64
	used  time.Duration // when it last ended an attempt; before that, when it was begun to be made
	load  []float64     // told by the head of an answer that flows
	units float64
}

type lineState uint8

const (
	connecting lineState = iota
	free
	busy
	down
)
