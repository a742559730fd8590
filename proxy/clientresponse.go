package proxy

import (
	"errors"
	"time"

	"sandyard/internal/http1"
)

// localRetryAfter is the Retry-After of local 503 responses that are sent without a decision. Their causes (such as
// exhausted memory, a full queue or an instance that is starting) usually pass within about that time; a shorter time would
// bring the load back at once.
const localRetryAfter = time.Second

// Respond appends the complete response of an exchange, as given by the effect Respond. The exchange then ends, and the
// connection either closes or continues with Resume. closeAfterResponse means that the connection closes after the response.
//
// Respond and the methods for streamed responses do nothing for an exchange that is not the current one; Respond then
// reports false. Respond keeps the response for a while if the bytes behind the request may be a part of its body.
func (c *ClientConn) Respond(now time.Duration, ex *Exchange, b []byte, closeAfterResponse bool) bool {
	return c.holdResponse(now, ex, b, closeAfterResponse) || c.respondNow(now, ex, b, closeAfterResponse)
}

// respondNow is Respond without a look at the bytes behind the request.
func (c *ClientConn) respondNow(now time.Duration, ex *Exchange, b []byte, closeAfterResponse bool) bool {
	if !c.appendResponse(ex, b, closeAfterResponse) {
		return false
	}
	c.finishResponse(now)
	return true
}

// BeginResponse appends the first part of a streamed response, as given by the effect StreamResponse. ContinueResponse, and
// then EndResponse or AbortResponse, must follow. closeAfterResponse is as in Respond.
func (c *ClientConn) BeginResponse(ex *Exchange, b []byte, closeAfterResponse bool) {
	c.appendResponse(ex, b, closeAfterResponse)
}

// appendResponse appends a response or its first part. It reports false for an exchange that is not the current one.
func (c *ClientConn) appendResponse(ex *Exchange, b []byte, closeAfterResponse bool) bool {
	if c.exchange != ex || c.phase != phaseAwaitResponse {
		return false
	}
	c.Outgoing = append(c.Outgoing, b...)
	c.closeAfterResponse = c.closeAfterResponse || closeAfterResponse
	c.responseDeadline = 0
	c.responseBegun = true
	return true
}

// setAnswerDeadline sets when the connection answers the current exchange if the instance has not: half of
// limits.answer-margin after the instance's own deadline. If that is too soon, only the instance answers the
// request.
func (c *ClientConn) setAnswerDeadline(now time.Duration) {
	margin := time.Duration(c.shared.Config.Limits.ResponseMargin) / 2
	c.responseDeadline = c.exchange.Arrived + c.exchange.Timeout - margin - c.shared.timerDelayMargin(c.exchange.Timeout)
	if c.responseDeadline < now+margin {
		c.responseDeadline = 0
	}
}

// respondForLateInstance answers the current exchange with 504 because the instance's answer is late.
func (c *ClientConn) respondForLateInstance(now time.Duration) {
	c.respondInPlaceOfInstance(now, &deadlineExceeded, false)
}

// respondInPlaceOfInstance answers the current exchange with a local response, and closes the connection after it if closes is set.
// A later answer by the instance is dropped, and no further attempt starts.
func (c *ClientConn) respondInPlaceOfInstance(now time.Duration, response *localResponse, closes bool) {
	ex := c.exchange
	ex.clientDone.Store(true)
	closeAfterResponse := closes || ex.CloseAfterResponse || c.shared.closesAfterResponse()
	rendered := c.shared.appendLocalResponse(nil, response, ex.Method, ex.MinorVersion, closeAfterResponse, 0)
	c.LocalStatuses = append(c.LocalStatuses, response.Status)
	c.respondNow(now, ex, rendered, closeAfterResponse)
}

// RejectOverload answers an exchange with 503 because the instance's queue is full. The exchange must not have been passed
// to the instance.
func (c *ClientConn) RejectOverload(now time.Duration, ex *Exchange) {
	c.shared.release(ex.reservedBytes)
	ex.reservedBytes = 0
	closeAfterResponse := ex.CloseAfterResponse || c.shared.closesAfterResponse()
	rendered := c.shared.appendLocalResponse(nil, &queueFull, ex.Method, ex.MinorVersion, closeAfterResponse, localRetryAfter)
	c.respondNow(now, ex, rendered, closeAfterResponse)
}

// ContinueResponse appends more of a streamed response.
func (c *ClientConn) ContinueResponse(ex *Exchange, b []byte) {
	if c.exchange == ex && c.phase == phaseAwaitResponse {
		c.Outgoing = append(c.Outgoing, b...)
	}
}

// EndResponse appends the end of a streamed response. The exchange then ends, as with Respond.
func (c *ClientConn) EndResponse(now time.Duration, ex *Exchange, b []byte) {
	if c.exchange == ex && c.phase == phaseAwaitResponse {
		c.Outgoing = append(c.Outgoing, b...)
		c.finishResponse(now)
	}
}

// AbortResponse closes the connection of a streamed response that was cut off, so that the client sees that the response is
// incomplete.
func (c *ClientConn) AbortResponse(ex *Exchange) {
	if c.exchange == ex && c.phase == phaseAwaitResponse {
		c.mustReset = c.closeAfterResponse // the end of the connection would look like the end of the response
		c.close()
	}
}

// finishResponse ends the exchange. The connection continues with the next request or closes.
func (c *ClientConn) finishResponse(now time.Duration) {
	ex := c.exchange
	c.exchange, c.phase, c.phaseSince, c.responseBegun = nil, phaseIdle, now, false
	if ex.CloseAfterResponse || c.closeAfterResponse || c.readAheadOverflowed && c.readAhead.len() == 0 {
		c.linger = true
		c.close()
	}
}

// rejectMalformed answers bytes that are not a request and closes the connection, because the start of the next request is
// unknown.
func (c *ClientConn) rejectMalformed(now time.Duration, err error) {
	c.rejectAndClose(now, malformedResponse(err))
}

// malformedResponse returns the response to a request that can't be parsed.
func malformedResponse(err error) localResponse {
	response := malformedRequest
	var e *http1.Error
	if errors.As(err, &e) {
		response.Status, response.Detail = e.Status, "The request has "+e.Reason+"."
		if e.Status != 400 {
			response.Kind, response.Title = "unsupported", http1.StatusText(e.Status)
		}
	}
	return response
}

// rejectAndClose sends a local response at once and closes the connection after it.
func (c *ClientConn) rejectAndClose(now time.Duration, response localResponse) {
	c.setLocalResponse(response, true)
	c.sendLocalResponse(now)
}

// setLocalResponse sets the local response of the current request, unless one is set already; sendLocalResponse sends it. If
// no head was read, there is no exchange yet: a placeholder for an HTTP/1.1 GET, which is never passed to the instance,
// carries the response.
func (c *ClientConn) setLocalResponse(response localResponse, closeAfterResponse bool) {
	if c.localResponse == nil {
		c.localResponse = &response
	}
	if c.exchange == nil {
		c.exchange = &Exchange{Owner: c.owner, MinorVersion: 1, Method: "GET"}
	}
	c.exchange.CloseAfterResponse = c.exchange.CloseAfterResponse || closeAfterResponse
}

// sendLocalResponse sends the local response and ends the current request.
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
