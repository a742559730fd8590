package proxy

import (
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

// responseHeadSize is the memory that is allocated for the head of a rendered response (bytes). Most heads fit; the buffer
// is copied once for larger ones.
const responseHeadSize = 512

// ResponseKind is the kind of a Response.
type ResponseKind uint8

// The kinds of responses.
const (
	NeedMore  ResponseKind = iota // more bytes are needed
	Complete                      // the response is complete; Bytes is all of it
	Started                       // the response is streamed; Bytes is its head and the body received so far
	Continued                     // more of a streamed response, in Bytes
	Ended                         // the streamed response is complete; Bytes is its end
	Malformed                     // the bytes are not a valid response, or the response was cut off
)

// Response is the result of parsing bytes from a backend connection. Status and the report are set in Complete, Started and
// Ended.
type Response struct {
	Kind      ResponseKind
	Status    int
	Bytes     []byte // for the client
	ReuseConn bool   // Complete, Ended: the backend connection can carry another request
	// CloseAfterResponse means in Complete that Bytes announce that the client's connection will be closed, and in Started
	// that the body is delimited by the end of the client's connection.
	CloseAfterResponse bool
	TrailingBytes      bool // Malformed: more bytes were received after its end
	protocol.ResponseReport

	bodiless bool // Complete: it has no body, by its status or the request's method
}

// WithTrailingBytes returns the result for a Complete or Ended response after whose end more bytes were received before it was
// forwarded. Either its stated length is too short, and what was parsed is a part of it, or it is one of two responses, and
// which of them belongs to the request is unknown. It is Malformed: a client must not get the wrong body as a complete one.
//
// A response without a body, such as to HEAD, can't be cut off. It is forwarded, and only its connection is not reused.
func (response Response) WithTrailingBytes() Response {
	if response.bodiless {
		response.ReuseConn = false
		return response
	}
	return Response{Kind: Malformed, TrailingBytes: true}
}

// ResponseReader is the codec of a connection to a backend: it parses responses and renders them for the waiting client. It
// belongs to one goroutine at a time, and no method blocks.
//
// A response is buffered until it is complete, so that the request can still be retried if the backend's response is cut
// off. A response larger than limits.hold-answer, or of a streaming class, is streamed: it is forwarded as it arrives. A
// response to a health check that is larger than limits.hold-answer is Malformed.
type ResponseReader struct {
	shared    *Shared
	parser    *http1.Reader
	exchange  *Exchange // whose response is awaited; nil: none
	head      *http1.Head
	body      []byte // the buffered part of the body
	streaming bool
	chunked   bool // the streamed response is sent to the client with chunked transfer coding
}

// NewResponseReader returns the codec of a new connection.
func NewResponseReader(shared *Shared) *ResponseReader {
	limits := &shared.Config.Limits
	return &ResponseReader{shared: shared, parser: http1.NewResponses(http1.Limits{Head: int(limits.Head), Fields: limits.Fields})}
}

// Expect prepares for the response to a request that is about to be written. The previous response must have ended.
func (r *ResponseReader) Expect(ex *Exchange) {
	r.exchange, r.head, r.body, r.streaming, r.chunked = ex, nil, nil, false, false
	r.parser.Expect(ex.Method)
}

// Feed consumes all of in and returns the result. Bytes that arrive while no response is expected are Malformed, and so is a
// response that bytes follow (see WithTrailingBytes).
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
				continue // not forwarded: it concerns this connection only, or announces fields that another attempt's response may lack
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
			response := r.finish(out, part.Trailers, !r.head.Close)
			if len(in) > 0 {
				return response.WithTrailingBytes()
			}
			return response
		}
	}
}

// EOF reports that the backend closed the connection. This completes a response whose body is delimited by the end of the
// connection.
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

// ConnectionLost reports that the connection was lost, which makes any response Malformed.
func (r *ResponseReader) ConnectionLost() Response { return r.malformed() }

func (r *ResponseReader) malformed() Response {
	r.exchange = nil
	return Response{Kind: Malformed}
}

// unfinished returns the result for a response whose end has not been received. out is the newly rendered part of a streamed
// response.
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

// exceedsLimit reports whether a body of n bytes is larger than limits.answer, if that is set. A backend that sends more is
// considered faulty, and its response is not forwarded.
func (r *ResponseReader) exceedsLimit(n int64) bool {
	limit := int64(r.shared.Config.Limits.Response)
	return limit > 0 && n > limit
}

// isStreamClass reports whether the response is streamed regardless of its size.
func (r *ResponseReader) isStreamClass() bool {
	return !r.exchange.isProbe && r.shared.Config.Settings.Classes[r.exchange.Class].Stream
}

// appendBody appends a part of a streamed body in the form in which the client gets it.
func (r *ResponseReader) appendBody(out, data []byte) []byte {
	if r.exchange.Method == "HEAD" {
		return out
	}
	if r.chunked {
		return http1.AppendChunk(out, data)
	}
	return append(out, data...)
}

// startStreaming renders the head and the part of the body received so far.
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

// finish renders a complete response, or appends the end of a streamed one to out, which is already rendered.
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
		response.bodiless = r.head.IsBodiless(r.exchange.Method)
		r.body = nil
	}
	response.ReuseConn = reuse
	r.exchange = nil
	return response
}

// renderComplete renders a complete buffered response. It has a Content-Length, or is chunked if it has trailers that the
// client can read.
func (r *ResponseReader) renderComplete(trailers []http1.Field, closeAfterResponse bool) []byte {
	head, ex := r.head, r.exchange
	out := r.shared.Protocol.RenderResponseHead(make([]byte, 0, responseHeadSize+len(r.body)), head)
	chunked := len(trailers) > 0 && ex.MinorVersion == 1 && ex.Method != "HEAD"
	switch {
	case chunked:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case head.Status == 204:
	case ex.Method == "HEAD" || head.Status == 304: // the length that a GET would have, if the backend sent it
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

// newResponse returns a Response with the report in the head, and in the body as far as it was buffered.
func (r *ResponseReader) newResponse(kind ResponseKind) Response {
	report := r.shared.Protocol.ParseResponse(r.head, r.body, r.exchange.isProbe)
	return Response{Kind: kind, Status: r.head.Status, ResponseReport: report}
}
