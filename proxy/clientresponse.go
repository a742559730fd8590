package proxy

import (
	"time"

	"sandyard/internal/http1"
)

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
