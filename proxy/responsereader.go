package proxy

import (
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// responseHeadSize is the memory that is set aside for the head of a rendered response, in bytes. Most heads fit; larger
// ones are copied once.
const responseHeadSize = 512

// ResponseKind says what a backend connection's bytes amount to.
type ResponseKind uint8

// The kinds of responses.
const (
	NeedMore  ResponseKind = iota // more bytes are needed
	Complete                      // the response is complete; Bytes is all of it
	Started                       // the response is to be streamed; Bytes is its head and what there is of its body
	Continued                     // more of a streamed response, in Bytes
	Ended                         // a streamed response is complete; Bytes is its end
	Malformed                     // the bytes are no response, or it was cut off
)

// Response is what a backend connection's bytes amount to. Status and the report are set in Complete and Started, and in Ended.
type Response struct {
	Kind      ResponseKind
	Status    int
	Bytes     []byte // for the client
	ReuseConn bool   // Complete, Ended: the backend connection can carry another request
	// CloseAfterResponse says in Complete that Bytes tell the client that the connection ends, in Started that only the end
	// of the client's connection can tell it where the body ends.
	CloseAfterResponse bool
	protocol.ResponseReport
}

// ResponseReader is the codec of a connection to a backend: it parses responses and renders them for the client that waits.
// It belongs to one goroutine at a time, and no method blocks.
//
// A response is held until it is complete, so that nothing has reached the client if the backend breaks off and a retry is
// allowed. One larger than limits.hold-answer, or of a streaming class, is streamed: passed on as it comes. To a health check
// it is Malformed.
type ResponseReader struct {
	shared    *Shared
	parser    *http1.Reader
	exchange  *Exchange // whose response is awaited; nil: none
	head      *http1.Head
	body      []byte // what is held of it
	streaming bool
	chunked   bool // the streamed response goes to the client in chunks
}

// NewResponseReader returns the codec of a new connection.
func NewResponseReader(shared *Shared) *ResponseReader {
	limits := &shared.Config.Limits
	return &ResponseReader{shared: shared, parser: http1.NewResponses(http1.Limits{Head: int(limits.Head), Fields: limits.Fields})}
}

// Expect prepares for the response to a request that is about to be written. The one before must have ended.
func (r *ResponseReader) Expect(ex *Exchange) {
	r.exchange, r.head, r.body, r.streaming, r.chunked = ex, nil, nil, false, false
	r.parser.Expect(ex.Method)
}

// Feed takes all of in, and returns what the response amounts to by now. Bytes that no request expects are Malformed.
func (r *ResponseReader) Feed(in []byte) Response {
	if r.exchange == nil {
		if len(in) == 0 {
			return Response{}
		}
		return Response{Kind: Malformed}
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
			return r.unfinished(out)
		case http1.HeadEnd:
			if part.Head.Status < 200 {
				continue // interim responses speak of this hop, or promise what another attempt may not keep
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
			reuse := !r.head.Close && len(in) == 0 // what follows the end of a response belongs to none
			return r.finish(out, part.Trailers, reuse)
		}
	}
}

// EOF reports that the backend closed the connection, which ends a response without a length.
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

// ConnectionLost reports that the connection was lost, which ends no response well.
func (r *ResponseReader) ConnectionLost() Response { return r.malformed() }

func (r *ResponseReader) malformed() Response {
	r.exchange = nil
	return Response{Kind: Malformed}
}

// unfinished returns what a response amounts to whose end has not come; out is what is rendered of a streamed one.
func (r *ResponseReader) unfinished(out []byte) Response {
	switch {
	case r.head == nil:
		return Response{}
	case r.streaming:
		if len(out) == 0 {
			return Response{}
		}
		return Response{Kind: Continued, Status: r.head.Status, Bytes: out}
	case len(r.body) <= int(r.shared.Config.Limits.HoldResponse) && !r.isStreamClass():
		return Response{}
	case r.exchange.isProbe: // there is no client to stream to
		return r.malformed()
	}
	return r.startStreaming()
}

// exceedsLimit reports whether a body of n bytes is larger than limits.answer, if that is set: a backend that sends so much
// is taken to be faulty, and its response is not passed on.
func (r *ResponseReader) exceedsLimit(n int64) bool {
	limit := int64(r.shared.Config.Limits.Response)
	return limit > 0 && n > limit
}

// isStreamClass reports whether the response is streamed whatever its size.
func (r *ResponseReader) isStreamClass() bool {
	return !r.exchange.isProbe && r.shared.Config.Settings.Classes[r.exchange.Class].Stream
}

// appendBody appends a piece of a streamed body as the client gets it.
func (r *ResponseReader) appendBody(out, data []byte) []byte {
	if r.exchange.Method == "HEAD" {
		return out
	}
	if r.chunked {
		return http1.AppendChunk(out, data)
	}
	return append(out, data...)
}

// startStreaming renders the head, and what there is of a body whose end has not come.
func (r *ResponseReader) startStreaming() Response {
	head, ex := r.head, r.exchange
	r.streaming = true
	response := r.newResponse(Started)
	r.chunked = head.Length < 0 && ex.MinorVersion == 1
	response.CloseAfterResponse = head.Length < 0 && ex.MinorVersion == 0
	out := r.shared.Protocol.RenderResponseHead(make([]byte, 0, responseHeadSize+len(r.body)), head)
	switch {
	case r.chunked:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case head.Length >= 0:
		out = http1.AppendLength(out, head.Length)
	}
	closes := ex.CloseAfterResponse || response.CloseAfterResponse || r.shared.closesAfterResponse()
	out = appendConnectionField(out, ex.MinorVersion, closes)
	out = append(out, '\r', '\n')
	response.Bytes = r.appendBody(out, r.body)
	r.body = nil
	return response
}

// finish renders a complete response, or the end of one that is streamed, of which out is rendered already.
func (r *ResponseReader) finish(out []byte, trailers []http1.Field, reuse bool) Response {
	var response Response
	if r.streaming {
		if r.chunked {
			out = http1.AppendLastChunk(out, trailers)
		}
		response = r.newResponse(Ended)
		response.Bytes = out
	} else {
		response = r.newResponse(Complete)
		response.CloseAfterResponse = r.exchange.CloseAfterResponse || r.shared.closesAfterResponse()
		response.Bytes = r.renderComplete(trailers, response.CloseAfterResponse)
		r.body = nil
	}
	response.ReuseConn = reuse
	r.exchange = nil
	return response
}

// renderComplete renders a complete response that was held. It has a length, or chunks where trailers follow that the
// client can read.
func (r *ResponseReader) renderComplete(trailers []http1.Field, closeAfterResponse bool) []byte {
	head, ex := r.head, r.exchange
	out := r.shared.Protocol.RenderResponseHead(make([]byte, 0, responseHeadSize+len(r.body)), head)
	chunked := len(trailers) > 0 && ex.MinorVersion == 1 && ex.Method != "HEAD"
	switch {
	case chunked:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case head.Status == 204:
	case ex.Method == "HEAD" || head.Status == 304: // the length that a GET would have had, if the backend says so
		if v, ok := head.Get("Content-Length"); ok {
			out = http1.AppendField(out, "Content-Length", v)
		}
	default:
		out = http1.AppendLength(out, int64(len(r.body)))
	}
	out = appendConnectionField(out, ex.MinorVersion, closeAfterResponse)
	out = append(out, '\r', '\n')
	switch {
	case chunked:
		return http1.AppendLastChunk(http1.AppendChunk(out, r.body), trailers)
	case ex.Method == "HEAD":
		return out
	}
	return append(out, r.body...)
}

// newResponse returns a Response with what the head, and the body of a complete one, report.
func (r *ResponseReader) newResponse(kind ResponseKind) Response {
	report := r.shared.Protocol.ParseResponse(r.head, r.body, r.exchange.isProbe)
	return Response{Kind: kind, Status: r.head.Status, ResponseReport: report}
}
