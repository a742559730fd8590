package proxy

import (
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
	Kind               ResponseKind
	Status             int
	Bytes              []byte // for the client
	ReuseConn          bool   // Whole, Over: the connection can take another request
	CloseAfterResponse bool   // Begun: only the end of the client's connection can tell where the body ends; Whole: Bytes say that it ends
	protocol.ResponseReport
}

// ResponseReader is a connection to a box: it takes its answers apart, and renders them for the client that waits. An
// answer is held until it is whole, so that nothing has reached the client if the box breaks off and another attempt
// is allowed; one larger than limits.hold-answer, or of a streaming class, flows as it comes.
type ResponseReader struct {
	shared    *Shared
	parser    *http1.Reader
	exchange  *Exchange // whose answer is awaited
	head      *http1.Head
	body      []byte
	streaming bool
	chunked   bool // of the answer to the client
}

// NewResponseReader begins a connection.
func NewResponseReader(shared *Shared) *ResponseReader {
	limits := shared.Config.Limits
	return &ResponseReader{shared: shared, parser: http1.NewResponses(http1.Limits{Head: int(limits.Head), Fields: limits.Fields})}
}

// Expect sets the connection up for the answer to a request that is about to be written.
func (r *ResponseReader) Expect(ex *Exchange) {
	r.exchange, r.head, r.body, r.streaming, r.chunked = ex, nil, nil, false, false
	r.parser.Expect(ex.Method)
}

// Feed takes bytes in, all of them, and says what came of the answer by now.
func (r *ResponseReader) Feed(in []byte) Response {
	if r.exchange == nil {
		if len(in) == 0 {
			return Response{}
		}
		return Response{Kind: Malformed} // bytes that nobody asked for
	}
	var out []byte
	for {
		n, part, err := r.parser.Feed(in)
		in = in[n:]
		if err != nil {
			return r.malformed()
		}
		switch part.Kind {
		case http1.More:
			switch {
			case r.head == nil:
				return Response{}
			case r.streaming:
				if len(out) == 0 {
					return Response{}
				}
				return Response{Kind: Continued, Status: r.head.Status, Bytes: out}
			case len(r.body) > int(r.shared.Config.Limits.HoldResponse) || r.isStreamClass():
				return r.startStreaming()
			}
			return Response{}
		case http1.HeadEnd:
			if part.Head.Status < 200 {
				continue // interim answers speak of this hop, or promise what another attempt may not keep
			}
			r.head = part.Head
			if r.exceedsLimit(part.Head.Length) {
				return r.malformed()
			}
		case http1.Data:
			if r.exceedsLimit(int64(len(r.body) + len(part.Data))) {
				return r.malformed()
			}
			if r.streaming {
				out = r.appendBody(out, part.Data)
			} else {
				r.body = append(r.body, part.Data...)
			}
		case http1.End:
			reuse := !r.head.Close && len(in) == 0 // what follows the end of an answer belongs to none
			return r.finish(out, part.Trailers, reuse)
		}
	}
}

// exceedsLimit tells that an answer of this length is none that a box makes.
func (r *ResponseReader) exceedsLimit(n int64) bool {
	most := int64(r.shared.Config.Limits.Response)
	return most > 0 && n > most
}

// EOF tells that the box closed the connection.
func (r *ResponseReader) EOF() Response {
	if r.exchange == nil {
		return Response{Kind: Malformed}
	}
	part, err := r.parser.EOF()
	if err != nil || part.Kind != http1.End || r.head == nil {
		return r.malformed()
	}
	return r.finish(nil, nil, false)
}

// ConnectionLost tells that the connection was lost.
func (r *ResponseReader) ConnectionLost() Response { return r.malformed() }

func (r *ResponseReader) malformed() Response {
	r.exchange = nil
	return Response{Kind: Malformed}
}

func (r *ResponseReader) isStreamClass() bool {
	return !r.exchange.isProbe && r.shared.Config.Settings.Classes[r.exchange.Class].Stream
}

func (r *ResponseReader) appendBody(out, data []byte) []byte {
	if r.exchange.Method == "HEAD" {
		return out
	}
	if r.chunked {
		return http1.AppendChunk(out, data)
	}
	return append(out, data...)
}

// startStreaming renders the head and what there is of a body whose end has not come.
func (r *ResponseReader) startStreaming() Response {
	head, ex := r.head, r.exchange
	r.streaming = true
	response := r.newResponse(Started)
	r.chunked = head.Length < 0 && ex.MinorVersion == 1
	response.CloseAfterResponse = head.Length < 0 && ex.MinorVersion == 0
	out := r.shared.Protocol.RenderResponseHead(make([]byte, 0, 512+len(r.body)), head)
	switch {
	case r.chunked:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case head.Length >= 0:
		out = http1.AppendLength(out, head.Length)
	}
	out = appendConnectionField(out, ex.MinorVersion, ex.CloseAfterResponse || response.CloseAfterResponse || r.shared.closesAfterResponse())
	out = append(out, '\r', '\n')
	response.Bytes = r.appendBody(out, r.body)
	r.body = nil
	return response
}

// finish renders a whole answer, or the end of one that flows.
func (r *ResponseReader) finish(out []byte, trailers []http1.Field, reuse bool) Response {
	head, ex := r.head, r.exchange
	if r.streaming {
		if r.chunked {
			out = http1.AppendLastChunk(out, trailers)
		}
		response := r.newResponse(Ended)
		response.Bytes, response.ReuseConn = out, reuse
		r.exchange = nil
		return response
	}
	response := r.newResponse(Complete)
	response.ReuseConn = reuse
	out = r.shared.Protocol.RenderResponseHead(make([]byte, 0, 512+len(r.body)), head)
	chunked := len(trailers) > 0 && ex.MinorVersion == 1 && ex.Method != "HEAD"
	switch {
	case chunked:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case head.Status == 204:
	case ex.Method == "HEAD" || head.Status == 304: // what a GET would have had, if the box says so
		if v, ok := head.Get("Content-Length"); ok {
			out = http1.AppendField(out, "Content-Length", v)
		}
	default:
		out = http1.AppendLength(out, int64(len(r.body)))
	}
	response.CloseAfterResponse = ex.CloseAfterResponse || r.shared.closesAfterResponse()
	out = appendConnectionField(out, ex.MinorVersion, response.CloseAfterResponse)
	out = append(out, '\r', '\n')
	if chunked {
		out = http1.AppendLastChunk(http1.AppendChunk(out, r.body), trailers)
	} else if ex.Method != "HEAD" {
		out = append(out, r.body...)
	}
	response.Bytes = out
	r.exchange, r.body = nil, nil
	return response
}

// newResponse are what the head tells beside the answer.
func (r *ResponseReader) newResponse(kind ResponseKind) Response {
	return Response{Kind: kind, Status: r.head.Status, ResponseReport: r.shared.Protocol.ParseResponse(r.head, r.body, r.exchange.isProbe)}
}
