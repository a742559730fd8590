package proxy

import (
	"time"

	"sandyard/internal/http1"
)

// maxSkippedBody is how much of a rejected request's body is read so that the connection can be kept, in bytes. Beyond it
// closing the connection costs less than reading on.
const maxSkippedBody = 64 << 10

// minBodySize is the least memory that is reserved for a body, in bytes, so that small bodies are not copied several times.
const minBodySize = 512

// addedHeadSize is the room left in a rendered request for what the instance adds to its head, in bytes.
const addedHeadSize = 512

// parse takes b in until a request is complete, whose exchange it returns, or all is used, or the connection ends.
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

// headRead takes a complete head in: the request is identified, and gets a local response where that fails. Its body is
// skipped then, or the connection closed where the body is large or the client waits for 100 (Continue) before it sends it.
func (c *ClientConn) headRead(now time.Duration, h *http1.Head) {
	c.phase, c.phaseSince, c.head = phaseBody, now, h
	c.exchange = &Exchange{Owner: c.owner, Method: h.Method, MinorVersion: h.Minor, CloseAfterResponse: h.Close}
	if response := c.identifyRequest(h); response != nil {
		c.setLocalResponse(*response, false)
	}
	hasBody := h.Length != 0
	switch {
	case c.localResponse == nil && h.Length > int64(c.shared.Config.Limits.Body):
		c.rejectAndClose(now, bodyTooLarge)
	case c.localResponse != nil && (h.Continue && hasBody || h.Length > maxSkippedBody):
		c.exchange.CloseAfterResponse = true
		c.sendLocalResponse(now)
	case c.localResponse != nil:
		c.phase, c.bytesToSkip = phaseSkipBody, maxSkippedBody
	case h.Continue && hasBody:
		c.Outgoing = append(c.Outgoing, "HTTP/1.1 100 Continue\r\n\r\n"...)
	}
}

// bodyRead takes a piece of a body in, which is kept or skipped.
func (c *ClientConn) bodyRead(now time.Duration, b []byte) {
	if c.phase == phaseSkipBody {
		c.bytesToSkip -= int64(len(b))
		if c.bytesToSkip < 0 {
			c.exchange.CloseAfterResponse = true
			c.sendLocalResponse(now)
		}
		return
	}
	need := len(c.body) + len(b)
	if need > int(c.shared.Config.Limits.Body) {
		c.rejectAndClose(now, bodyTooLarge)
		return
	}
	if need > cap(c.body) && !c.growBody(need) {
		c.rejectAndClose(now, outOfMemory)
		return
	}
	c.body = append(c.body, b...)
}

// growBody makes room for a body of need bytes, and reports false where limits.memory does not allow it. Room grows with what
// was received, not with what the head claims: clients that claim much and send nothing must not use the memory up.
func (c *ClientConn) growBody(need int) bool {
	size := max(need, 2*cap(c.body), minBodySize)
	if c.head.Length > 0 {
		size = min(size, int(c.head.Length))
	}
	if !c.shared.reserve(size) {
		return false
	}
	grown := make([]byte, len(c.body), size)
	copy(grown, c.body)
	if c.body != nil {
		c.shared.release(cap(c.body))
	}
	c.body = grown
	return true
}

// requestRead takes the end of a request in. It returns its exchange, ready for the instance, or nil where the request got
// a local response.
func (c *ClientConn) requestRead(now time.Duration) *Exchange {
	if c.localResponse != nil {
		c.sendLocalResponse(now)
		return nil
	}
	ex := c.exchange
	size := len(c.body) + addedHeadSize
	for i := range c.head.Fields {
		size += len(c.head.Fields[i].Name) + len(c.head.Fields[i].Value) + 4
	}
	if !c.shared.reserve(size) {
		c.setLocalResponse(outOfMemory, false)
		c.sendLocalResponse(now)
		return nil
	}
	ex.reservedBytes = size
	ex.RenderedRequest, ex.attemptFieldsAt = c.shared.Protocol.RenderRequest(make([]byte, 0, size), c.head, c.body, c.trailers, c.clientAddr)
	c.releaseBody()
	c.handedOutRequest = true
	ex.Arrived = min(now, c.receivedAt) // the client waits since its bytes came, not since the response before it
	c.phase, c.phaseSince = phaseAwaitResponse, now
	c.setAnswerDeadline(now)
	return ex
}

// identifyRequest fills the exchange's RequestInfo. It returns a local response where the request needs no decision.
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

// releaseBody forgets the request under way and gives its body's memory back.
func (c *ClientConn) releaseBody() {
	if c.body != nil {
		c.shared.release(cap(c.body))
	}
	c.body, c.head, c.trailers = nil, nil, nil
}
