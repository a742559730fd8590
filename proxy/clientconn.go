package proxy

import (
	"time"

	"sandyard/internal/http1"
)

// phase is where a client's connection stands.
type phase uint8

const (
	phaseIdle          phase = iota // between requests
	phaseHead                       // a request has begun
	phaseBody                       // its head is whole
	phaseSkipBody                   // it is answered already; its body is read and dropped
	phaseAwaitResponse              // it is whole and its answer is awaited
	phaseClosing                    // no more requests are read
)

const (
	maxSkippedBody = 64 << 10 // bytes of a refused request's body that are read rather than closing on it
)

// ClientConn is a client's connection. It reads one request at a time; what comes while an answer is awaited is kept,
// up to a bound, and read after it, so that answers go out in the order of the requests.
//
// A client that closes its side is taken to have left, as most servers do: a half-closed connection can't be told
// from a closed one until something is written to it.
type ClientConn struct {
	Outgoing      []byte // bytes for the client, to be written and cut off by the owner
	LocalStatuses []int  // statuses of answers that no decision is behind, to be noted and cut off by the owner

	shared              *Shared
	owner               any
	clientAddr          string
	reader              *http1.Reader
	phase               phase
	phaseSince          time.Duration // when the phase began
	exchange            *Exchange
	head                *http1.Head
	body                []byte
	trailers            []http1.Field
	bytesToSkip         int64 // bytes of a skipped body that are still read
	localResponse       *localResponse
	readAhead           []byte
	readAheadSince      time.Duration // when its first byte came
	receivedAt          time.Duration // when the bytes that are read did
	linger              bool
	closeAfterResponse  bool // the answer under way is the connection's last
	readAheadOverflowed bool // more came than is kept: what is kept is answered, and then the connection ends
	mustReset           bool
	openedAt            time.Duration
	hadRequest          bool // a request has been whole
}

// NewClientConn begins a connection. owner is handed on with exchanges; remote is the client's address without a port.
func NewClientConn(shared *Shared, owner any, clientAddr string, now time.Duration) *ClientConn {
	limits := shared.Config.Limits
	return &ClientConn{shared: shared, owner: owner, clientAddr: clientAddr, phaseSince: now, openedAt: now,
		reader: http1.NewRequests(http1.Limits{Head: int(limits.Head), Fields: limits.Fields})}
}

// Closing tells that the connection is to be closed once Out is written. Linger tells that an answer may still be on its
// way: what comes should be read and dropped for a while, since closing on unread bytes would reset the connection and
// could take the answer with it.
func (c *ClientConn) Closing() (closing, linger bool) {
	return c.phase == phaseClosing, c.linger || c.hadRequest
}

// MustReset tells that a connection that closes must be reset, once Out is written, rather than ended.
func (c *ClientConn) MustReset() bool { return c.mustReset }

// AwaitingResponse tells that an answer is awaited.
func (c *ClientConn) AwaitingResponse() bool { return c.phase == phaseAwaitResponse }

// Idle tells that nothing of a request has come.
func (c *ClientConn) Idle() bool { return c.phase == phaseIdle && len(c.readAhead) == 0 }

// IdleSince tells whether nothing of a request has come, since when, and whether there was one before.
func (c *ClientConn) IdleSince() (since time.Duration, hadRequest, idle bool) {
	return c.phaseSince, c.hadRequest, c.Idle()
}

// Deadline is when Expired should be called if nothing else happens; 0 is never.
func (c *ClientConn) Deadline() time.Duration {
	limits, deadline := c.shared.Config.Limits, time.Duration(0)
	switch c.phase {
	case phaseIdle:
		deadline = c.phaseSince + time.Duration(limits.IdleTimeout)
	case phaseHead:
		deadline = c.phaseSince + time.Duration(limits.HeadTimeout)
	case phaseBody, phaseSkipBody:
		deadline = c.phaseSince + time.Duration(limits.BodyTimeout)
	default:
		return 0
	}
	if !c.hadRequest {
		deadline = min(deadline, c.openedAt+time.Duration(limits.FirstTimeout))
	}
	return deadline
}

// DeadlinePassed takes note of the time: slow senders get 408, idle connections are closed.
func (c *ClientConn) DeadlinePassed(now time.Duration) {
	if deadline := c.Deadline(); deadline == 0 || now < deadline {
		return
	}
	if c.phase == phaseHead || c.phase == phaseBody || c.phase == phaseSkipBody {
		c.setLocalResponse(now, requestTimeout, true)
		c.sendLocalResponse(now)
	}
	c.close()
}

// Feed takes bytes in. It returns an exchange when a request is whole and for the core to decide; until that is
// answered no other follows.
func (c *ClientConn) Feed(now time.Duration, b []byte) *Exchange {
	if c.phase == phaseAwaitResponse {
		if len(c.readAhead) == 0 {
			c.readAheadSince = now
		}
		c.storeReadAhead(b)
		return nil
	}
	if len(c.readAhead) > 0 { // its answer is not all out yet, and what came before comes first
		c.storeReadAhead(b)
		return c.Resume(now)
	}
	c.receivedAt = now
	return c.parse(now, b)
}

// Resume goes on with what was kept. Call it after an answer is out.
func (c *ClientConn) Resume(now time.Duration) *Exchange {
	if c.phase == phaseAwaitResponse || len(c.readAhead) == 0 {
		return nil
	}
	b := c.readAhead
	c.receivedAt = c.readAheadSince
	c.dropReadAhead()
	ex := c.parse(now, b)
	if ex == nil && c.readAheadOverflowed { // what would come next was dropped
		c.linger = true
		c.close()
	}
	return ex
}

// Disconnected ends the connection from the client's side. It returns the exchange that has lost its client, if any; from here
// on no attempt of it begins, however late the core is told.
func (c *ClientConn) Disconnected() *Exchange {
	ex := c.exchange
	if c.phase != phaseAwaitResponse {
		ex = nil
	}
	if ex != nil {
		ex.clientLeft.Store(true)
	}
	c.close()
	return ex
}

func (c *ClientConn) close() {
	c.phase, c.exchange = phaseClosing, nil
	c.dropReadAhead()
	c.releaseBody()
}

// storeReadAhead keeps bytes that come while an answer is awaited: as many as one request may have, and as limits.memory has room for.
// Beyond that they are dropped rather than left unread, since the end of the connection would not be seen behind them.
func (c *ClientConn) storeReadAhead(b []byte) {
	limits := c.shared.Config.Limits
	if c.readAheadOverflowed = c.readAheadOverflowed || len(c.readAhead)+len(b) > int(limits.Head)+int(limits.Body) || !c.shared.reserve(len(b)); !c.readAheadOverflowed {
		c.readAhead = append(c.readAhead, b...)
	}
}

// dropReadAhead lets go of them.
func (c *ClientConn) dropReadAhead() {
	c.shared.release(len(c.readAhead))
	c.readAhead = nil
}

// Drain closes an idle connection and lets others end with their answer.
func (c *ClientConn) Drain() {
	if c.Idle() {
		c.close()
	}
}

// Respond appends an answer of ours or of a box. more tells that the rest follows by Relay; else the exchange is
// over and the connection goes on, with Resume, or closes.
// closes tells that it is the connection's last: it says so, or only the connection's end can end it.
func (c *ClientConn) Respond(now time.Duration, ex *Exchange, b []byte, more, closeAfterResponse bool) {
	if c.exchange != ex || c.phase != phaseAwaitResponse {
		return
	}
	c.Outgoing = append(c.Outgoing, b...)
	c.closeAfterResponse = c.closeAfterResponse || closeAfterResponse
	if !more {
		c.finishResponse(now)
	}
}

// RejectOverload answers an exchange that the core's queue has no room for.
func (c *ClientConn) RejectOverload(now time.Duration, ex *Exchange) {
	c.shared.release(ex.reservedBytes)
	ex.reservedBytes = 0
	closeAfterResponse := ex.CloseAfterResponse || c.shared.closesAfterResponse()
	c.Respond(now, ex, c.shared.appendLocalResponse(nil, &queueFull, ex.Method, ex.MinorVersion, closeAfterResponse, time.Second), false, closeAfterResponse)
}

// ContinueResponse appends more of an answer; end tells that it is over, broken that it must be cut off.
func (c *ClientConn) ContinueResponse(now time.Duration, ex *Exchange, b []byte, end, broken bool) {
	if c.exchange != ex || c.phase != phaseAwaitResponse {
		return
	}
	c.Outgoing = append(c.Outgoing, b...)
	switch {
	case broken:
		c.mustReset = c.closeAfterResponse // the end of the connection would look like the end of the answer
		c.close()
	case end:
		c.finishResponse(now)
	}
}

func (c *ClientConn) finishResponse(now time.Duration) {
	ex := c.exchange
	c.exchange, c.phase, c.phaseSince = nil, phaseIdle, now
	if ex.CloseAfterResponse || c.closeAfterResponse || c.readAheadOverflowed && len(c.readAhead) == 0 {
		c.linger = true
		c.close()
	}
}

// parse takes bytes apart until a request is whole, all are used or the connection ends.
func (c *ClientConn) parse(now time.Duration, b []byte) *Exchange {
	for c.phase != phaseClosing {
		if c.phase == phaseIdle && len(b) > 0 {
			c.phase, c.phaseSince = phaseHead, now
		}
		n, part, err := c.reader.Feed(b)
		b = b[n:]
		if err != nil {
			c.rejectMalformed(now, err)
			return nil
		}
		switch part.Kind {
		case http1.More:
			return nil
		case http1.HeadEnd:
			c.headRead(now, part.Head)
		case http1.Data:
			c.bodyRead(now, part.Data)
		case http1.End:
			c.trailers = part.Trailers
			if ex := c.requestRead(now); ex != nil {
				c.readAheadSince = c.receivedAt
				c.storeReadAhead(b)
				return ex
			}
		}
	}
	return nil
}

// rejectMalformed answers what can't be read, and closes: nobody knows where the next request would begin.
func (c *ClientConn) rejectMalformed(now time.Duration, err error) {
	response := malformedRequest
	if e, ok := err.(*http1.Error); ok {
		response.Status, response.Detail = e.Status, "The request has "+e.Reason+"."
		if e.Status != 400 {
			response.Kind, response.Title = "unsupported", http1.StatusText(e.Status)
		}
	}
	c.setLocalResponse(now, response, true)
	c.sendLocalResponse(now)
}

// setLocalResponse settles that the request gets an answer of ours that no decision is behind.
func (c *ClientConn) setLocalResponse(now time.Duration, response localResponse, closeAfterResponse bool) {
	if c.localResponse == nil {
		c.localResponse = &response
	}
	if c.exchange == nil {
		c.exchange = &Exchange{Owner: c.owner, MinorVersion: 1, Method: "GET"}
	}
	c.exchange.CloseAfterResponse = c.exchange.CloseAfterResponse || closeAfterResponse
}

// sendLocalResponse writes the settled refusal.
func (c *ClientConn) sendLocalResponse(now time.Duration) {
	ex, response := c.exchange, c.localResponse
	closeAfterResponse := ex.CloseAfterResponse || c.shared.closesAfterResponse()
	retryAfter := time.Duration(0)
	if response.Status == 503 {
		retryAfter = time.Second
	}
	c.Outgoing = c.shared.appendLocalResponse(c.Outgoing, response, ex.Method, ex.MinorVersion, closeAfterResponse, retryAfter)
	c.LocalStatuses = append(c.LocalStatuses, response.Status)
	c.releaseBody()
	c.exchange, c.localResponse = nil, nil
	c.phase, c.phaseSince, c.linger = phaseIdle, now, true
	if closeAfterResponse {
		c.close()
	}
}

// releaseBody lets go of a body.
func (c *ClientConn) releaseBody() {
	if c.body != nil {
		c.shared.release(cap(c.body))
	}
	c.body, c.head, c.trailers = nil, nil, nil
}

// headRead takes a whole head in.
func (c *ClientConn) headRead(now time.Duration, h *http1.Head) {
	c.phase, c.phaseSince, c.head = phaseBody, now, h
	c.exchange = &Exchange{Owner: c.owner, Method: h.Method, MinorVersion: h.Minor, CloseAfterResponse: h.Close}
	if response := c.identifyRequest(h); response != nil {
		c.setLocalResponse(now, *response, false)
	}
	hasBody := h.Length != 0
	switch {
	case c.localResponse == nil && h.Length > int64(c.shared.Config.Limits.Body):
		c.setLocalResponse(now, bodyTooLarge, true)
		c.sendLocalResponse(now)
	case c.localResponse != nil && (h.Continue && hasBody || h.Length > maxSkippedBody): // the body is not wanted
		c.exchange.CloseAfterResponse = true
		c.sendLocalResponse(now)
	case c.localResponse != nil:
		c.phase, c.bytesToSkip = phaseSkipBody, maxSkippedBody
	case h.Continue && hasBody:
		c.Outgoing = append(c.Outgoing, "HTTP/1.1 100 Continue\r\n\r\n"...)
	}
}

// bodyRead takes a piece of a body in.
func (c *ClientConn) bodyRead(now time.Duration, b []byte) {
	if c.phase == phaseSkipBody {
		if c.bytesToSkip -= int64(len(b)); c.bytesToSkip < 0 {
			c.exchange.CloseAfterResponse = true
			c.sendLocalResponse(now)
		}
		return
	}
	need := len(c.body) + len(b)
	if need > int(c.shared.Config.Limits.Body) {
		c.setLocalResponse(now, bodyTooLarge, true)
		c.sendLocalResponse(now)
		return
	}
	if need > cap(c.body) { // grown by what has come, not by what was promised
		size := max(need, 2*cap(c.body), 512)
		if c.head.Length > 0 {
			size = min(size, int(c.head.Length))
		}
		if !c.shared.reserve(size) {
			c.setLocalResponse(now, outOfMemory, true)
			c.sendLocalResponse(now)
			return
		}
		grown := make([]byte, len(c.body), size)
		copy(grown, c.body)
		if c.body != nil {
			c.shared.release(cap(c.body))
		}
		c.body = grown
	}
	c.body = append(c.body, b...)
}

// requestRead takes the end of a request in.
func (c *ClientConn) requestRead(now time.Duration) *Exchange {
	if c.localResponse != nil {
		c.sendLocalResponse(now)
		return nil
	}
	ex := c.exchange
	size := len(c.body) + 512
	for i := range c.head.Fields {
		size += len(c.head.Fields[i].Name) + len(c.head.Fields[i].Value) + 4
	}
	if !c.shared.reserve(size) {
		c.setLocalResponse(now, outOfMemory, false)
		c.sendLocalResponse(now)
		return nil
	}
	ex.reservedBytes = size
	ex.RenderedRequest, ex.attemptFieldsAt = c.shared.Protocol.RenderRequest(make([]byte, 0, size), c.head, c.body, c.trailers, c.clientAddr)
	c.releaseBody()
	c.hadRequest = true
	ex.Arrived = min(now, c.receivedAt) // its client has waited since its bytes came, not since the answer before it
	c.phase, c.phaseSince = phaseAwaitResponse, now
	return ex
}

// identifyRequest finds the route, the studio, the units and the patience of a request.
func (c *ClientConn) identifyRequest(h *http1.Head) *localResponse {
	if c.shared.Draining() {
		c.exchange.CloseAfterResponse = true
		return &shuttingDown
	}
	if c.shared.starting.Load() {
		return &notReady
	}
	return c.shared.Protocol.ParseRequest(h, &c.exchange.RequestInfo)
}
