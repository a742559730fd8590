package proxy

import (
	"time"

	"sandyard/internal/http1"
)

// maxSkippedBody is the largest part of a rejected request's body (bytes) that is read and discarded to keep the connection.
// For a larger body, closing the connection is cheaper than reading on.
const maxSkippedBody = 64 << 10

// minBodySize is the smallest buffer that is allocated for a body (bytes), so that small bodies are not copied repeatedly.
const minBodySize = 512

// addedHeadSize is the space in a rendered request for the header fields that the instance adds (bytes).
const addedHeadSize = 512

// maxPendingOutput is how much output of local responses is created before it is written (bytes): more than one large
// response. A client that sends many small requests and does not read must not make the output grow.
const maxPendingOutput = 8 << 10

// freeHeadBuffer is the size of a parser's buffer (bytes) that is not reserved in Shared.ReservedBytes. Typical heads are
// smaller, so that they are accepted also while other clients exhaust limits.memory.
const freeHeadBuffer = 4 << 10

// parse parses b until a request is complete, all bytes are used, maxPendingOutput is reached or the connection closes. It
// returns the exchange of a complete request, and the bytes that are not parsed.
func (c *ClientConn) parse(now time.Duration, b []byte) (ex *Exchange, rest []byte) {
	for c.phase != phaseClosing {
		if c.phase == phaseIdle && len(b) > 0 {
			if len(c.Outgoing) >= maxPendingOutput {
				return nil, b
			}
			c.phase, c.phaseSince = phaseHead, now
		}
		n, part, err := c.reader.Feed(b)
		b = b[n:]
		if err != nil {
			c.rejectMalformed(now, err)
			return nil, nil
		}
		switch part.Kind {
		case http1.More:
			c.reserveHead(now)
			return nil, nil
		case http1.HeadEnd:
			c.handleHead(now, part.Head)
		case http1.Data:
			c.handleBody(now, part.Data)
		case http1.End:
			c.trailers = part.Trailers
			if ex, wait := c.finishRequest(now, b); ex != nil || wait {
				return ex, b
			}
		}
	}
	return nil, nil
}

// reserveHead reserves the memory of the parser's buffer, which holds an incomplete head. If limits.memory does not allow it,
// the request is rejected.
func (c *ClientConn) reserveHead(now time.Duration) {
	size := max(0, c.reader.BufferSize()-freeHeadBuffer)
	if size > c.reservedHead && !c.shared.reserve(size-c.reservedHead) {
		c.rejectAndClose(now, outOfMemory)
		return
	}
	if size < c.reservedHead {
		c.shared.release(c.reservedHead - size)
	}
	c.reservedHead = size
}

// handleHead handles a complete head. It identifies the request, which gets a local response if that fails. The body is then
// skipped, or the connection closed if the body is large or the client waits for 100 (Continue) before it sends the body.
func (c *ClientConn) handleHead(now time.Duration, h *http1.Head) {
	c.phase, c.phaseSince, c.head = phaseBody, now, h
	_, hasLength := h.Get("Content-Length")
	c.hasStatedBody = hasLength || h.Length != 0
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

// handleBody buffers or skips a part of a body.
func (c *ClientConn) handleBody(now time.Duration, b []byte) {
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

// growBody grows the body's buffer to at least need bytes. It reports false if limits.memory does not allow it. The buffer
// grows with the received bytes, not with the announced length: clients that announce large bodies and send nothing must not
// exhaust the memory.
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

// createExchange returns the exchange of the complete request for the instance, or nil if the request got a local response.
func (c *ClientConn) createExchange(now time.Duration) *Exchange {
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
	c.hadRequest = true
	ex.Arrived = min(now, c.receivedAt) // the client has been waiting since its bytes arrived, not since the previous response
	c.phase, c.phaseSince = phaseAwaitResponse, now
	c.setAnswerDeadline(now)
	return ex
}

// identifyRequest sets the exchange's RequestInfo. It returns a local response if the request needs no decision.
func (c *ClientConn) identifyRequest(h *http1.Head) *localResponse {
	if c.shared.Draining() {
		c.exchange.CloseAfterResponse = true
		return &shuttingDown
	}
	phase := c.shared.startPhase.Load()
	if phase == waitingForEndpoints {
		return &notReady
	}
	response := c.shared.Protocol.ParseRequest(h, &c.exchange.RequestInfo)
	if response == nil && phase == readyWithoutEndpoints {
		return &notReady
	}
	return response
}

// releaseBody drops the current request's head, body and trailers, and releases the body's memory.
func (c *ClientConn) releaseBody() {
	if c.body != nil {
		c.shared.release(cap(c.body))
	}
	c.body, c.head, c.trailers = nil, nil, nil
}
