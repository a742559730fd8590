package proxy

import (
	"errors"
	"time"

	"sandyard/internal/http1"
)

// localRetryAfter is the Retry-After of local responses 503 that no decision is behind. What they are for, memory, a full
// queue or a start, is over within about that time; less would bring the load back at once.
const localRetryAfter = time.Second

// Respond appends the complete response to an exchange, as the effect Respond gives it. The exchange is over then, and the
// connection goes on, with Resume, or closes. closeAfterResponse says that the response is the connection's last.
//
// Respond, and the methods for streamed responses, do nothing for an exchange that is not the one under way: Respond reports
// false then.
func (c *ClientConn) Respond(now time.Duration, ex *Exchange, b []byte, closeAfterResponse bool) bool {
	if !c.appendResponse(ex, b, closeAfterResponse) {
		return false
	}
	c.finishResponse(now)
	return true
}

// BeginResponse appends the beginning of a streamed response, as the effect StreamResponse gives it. The rest follows by
// ContinueResponse, and then EndResponse or AbortResponse. closeAfterResponse is as in Respond.
func (c *ClientConn) BeginResponse(ex *Exchange, b []byte, closeAfterResponse bool) {
	c.appendResponse(ex, b, closeAfterResponse)
}

// appendResponse appends a response, or its beginning, and reports false for an exchange that is not the one under way.
func (c *ClientConn) appendResponse(ex *Exchange, b []byte, closeAfterResponse bool) bool {
	if c.exchange != ex || c.phase != phaseAwaitResponse {
		return false
	}
	c.Outgoing = append(c.Outgoing, b...)
	c.closeAfterResponse = c.closeAfterResponse || closeAfterResponse
	c.answerDeadline = 0
	return true
}

// setAnswerDeadline sets when the connection answers the exchange under way in place of an instance that is late: halfway between
// the time at which the instance is to answer and the end of the client's timeout. A request that comes with less time is
// left to the instance.
func (c *ClientConn) setAnswerDeadline(now time.Duration) {
	margin := time.Duration(c.shared.Config.Limits.ResponseMargin) / 2
	c.answerDeadline = c.exchange.Arrived + c.exchange.Timeout - margin - c.shared.latenessMargin(c.exchange.Timeout)
	if c.answerDeadline < now+margin {
		c.answerDeadline = 0
	}
}

// answerInPlaceOfInstance answers 504 to the exchange under way, whose answer by the instance is late. What the instance answers
// after that is dropped, and no attempt begins any more.
func (c *ClientConn) answerInPlaceOfInstance(now time.Duration) {
	ex := c.exchange
	ex.unawaited.Store(true)
	closeAfterResponse := ex.CloseAfterResponse || c.shared.closesAfterResponse()
	rendered := c.shared.appendLocalResponse(nil, &deadlineExceeded, ex.Method, ex.MinorVersion, closeAfterResponse, 0)
	c.LocalStatuses = append(c.LocalStatuses, deadlineExceeded.Status)
	c.Respond(now, ex, rendered, closeAfterResponse)
}

// RejectOverload answers 503 to an exchange that the instance's queue has no room for. It was not handed to the instance.
func (c *ClientConn) RejectOverload(now time.Duration, ex *Exchange) {
	c.shared.release(ex.reservedBytes)
	ex.reservedBytes = 0
	closeAfterResponse := ex.CloseAfterResponse || c.shared.closesAfterResponse()
	rendered := c.shared.appendLocalResponse(nil, &queueFull, ex.Method, ex.MinorVersion, closeAfterResponse, localRetryAfter)
	c.Respond(now, ex, rendered, closeAfterResponse)
}

// ContinueResponse appends more of a streamed response.
func (c *ClientConn) ContinueResponse(ex *Exchange, b []byte) {
	if c.exchange == ex && c.phase == phaseAwaitResponse {
		c.Outgoing = append(c.Outgoing, b...)
	}
}

// EndResponse appends the end of a streamed response. The exchange is over then, as with Respond.
func (c *ClientConn) EndResponse(now time.Duration, ex *Exchange, b []byte) {
	if c.exchange == ex && c.phase == phaseAwaitResponse {
		c.Outgoing = append(c.Outgoing, b...)
		c.finishResponse(now)
	}
}

// AbortResponse closes the connection of a streamed response that broke off, so that the client sees that the response is
// not complete.
func (c *ClientConn) AbortResponse(ex *Exchange) {
	if c.exchange == ex && c.phase == phaseAwaitResponse {
		c.mustReset = c.closeAfterResponse // the end of the connection would look like the end of the response
		c.close()
	}
}

// finishResponse ends the exchange: the connection goes on with the next request, or closes.
func (c *ClientConn) finishResponse(now time.Duration) {
	ex := c.exchange
	c.exchange, c.phase, c.phaseSince = nil, phaseIdle, now
	if ex.CloseAfterResponse || c.closeAfterResponse || c.readAheadOverflowed && len(c.readAhead) == 0 {
		c.linger = true
		c.close()
	}
}

// rejectMalformed answers bytes that are no request, and closes: it can't be known where the next request begins.
func (c *ClientConn) rejectMalformed(now time.Duration, err error) {
	response := malformedRequest
	var e *http1.Error
	if errors.As(err, &e) {
		response.Status, response.Detail = e.Status, "The request has "+e.Reason+"."
		if e.Status != 400 {
			response.Kind, response.Title = "unsupported", http1.StatusText(e.Status)
		}
	}
	c.rejectAndClose(now, response)
}

// rejectAndClose sends a local response at once and closes the connection after it.
func (c *ClientConn) rejectAndClose(now time.Duration, response localResponse) {
	c.setLocalResponse(response, true)
	c.sendLocalResponse(now)
}

// setLocalResponse notes that the request under way gets a local response, unless it has one; sendLocalResponse sends it.
// Where no head was read, there is no exchange yet: one for an HTTP/1.1 GET, which no instance gets to see, carries the
// response.
func (c *ClientConn) setLocalResponse(response localResponse, closeAfterResponse bool) {
	if c.localResponse == nil {
		c.localResponse = &response
	}
	if c.exchange == nil {
		c.exchange = &Exchange{Owner: c.owner, MinorVersion: 1, Method: "GET"}
	}
	c.exchange.CloseAfterResponse = c.exchange.CloseAfterResponse || closeAfterResponse
}

// sendLocalResponse sends the local response that was set, and ends the request.
func (c *ClientConn) sendLocalResponse(now time.Duration) {
	ex, response := c.exchange, c.localResponse
	closeAfterResponse := ex.CloseAfterResponse || c.shared.closesAfterResponse()
	retryAfter := time.Duration(0)
	if response.Status == 503 {
		retryAfter = localRetryAfter
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
