package proxy

import (
	"time"

	"sandyard/internal/http1"
)

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
