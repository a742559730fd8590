package proxy

import (
	"time"

	"sandyard/internal/http1"
)

// A request whose body is longer than its head states must not take effect as if it were whole. The rest of the body stands
// where a pipelined request would. Bytes that can't begin a request are such a rest, and a whole request line shows that
// another request follows. For bytes between the two, such as a few capitals, the connection waits for the rest of the line:
// with the request if they came with it, and with the response if they came later.

const (
	// followingRequestTimeout is how long the rest of a request line is awaited: several round trips, since a client that sends
	// requests in a row writes a line at once.
	followingRequestTimeout = 500 * time.Millisecond
	// followingRequestDivisor limits that time to a quarter of the client's timeout. The rest is left for the backends.
	followingRequestDivisor = 4
)

// heldResponse is a complete response that is sent once a request line follows its request.
type heldResponse struct {
	bytes              []byte
	closeAfterResponse bool
}

// following returns what the bytes behind the current request are. Nothing can be cut off from a request without a body.
func (c *ClientConn) following(b []byte) http1.Following {
	if !c.hasStatedBody {
		return http1.FollowingNothing
	}
	return http1.CheckFollowing(b)
}

// followingRequestDeadline returns until when the rest of a request line is awaited whose beginning was found at since.
func (c *ClientConn) followingRequestDeadline(since time.Duration) time.Duration {
	return since + min(followingRequestTimeout, c.exchange.Timeout/followingRequestDivisor)
}

// finishRequest handles the end of a request, which the bytes in following follow. It returns the exchange for the instance, if
// any; wait means that it must first be known what follows.
func (c *ClientConn) finishRequest(now time.Duration, following []byte) (ex *Exchange, wait bool) {
	if c.localResponse != nil {
		c.sendLocalResponse(now)
		return nil, false
	}
	switch c.following(following) {
	case http1.FollowingExcess:
		c.rejectMalformed(now, http1.ErrExcessBody)
		return nil, false
	case http1.FollowingPartialRequest:
		c.phase, c.phaseSince = phaseCheckEnd, now
		return nil, true
	}
	return c.createExchange(now), false
}

// resumeRequestEnd continues with a request in phaseCheckEnd after more bytes were received. It returns the exchange for the
// instance once a request line follows. Bytes that were dropped can't be checked, and count as a part of the body.
func (c *ClientConn) resumeRequestEnd(now time.Duration) *Exchange {
	following := c.following(c.readAhead.unparsed())
	if c.readAheadOverflowed || following == http1.FollowingExcess {
		c.rejectMalformed(now, http1.ErrExcessBody)
		return nil
	}
	if following == http1.FollowingPartialRequest {
		return nil
	}
	if ex := c.createExchange(now); ex != nil {
		return ex
	}
	return c.Resume(now)
}

// checkReadAhead checks the bytes that arrived after the current request was passed to the instance. If they are a part of its
// body, it is answered with 400. If they are a request line, a response that waited for that is sent.
func (c *ClientConn) checkReadAhead(now time.Duration) {
	if c.responseBegun {
		return
	}
	switch c.following(c.readAhead.unparsed()) {
	case http1.FollowingExcess:
		c.respondToExcessBody(now)
	case http1.FollowingRequest:
		c.sendHeldResponse(now)
	}
}

// holdResponse keeps a response until it is known what the bytes behind its request are. It reports false if that is known, or if
// the exchange is not the current one.
func (c *ClientConn) holdResponse(now time.Duration, ex *Exchange, b []byte, closeAfterResponse bool) bool {
	if c.exchange != ex || c.phase != phaseAwaitResponse || c.responseBegun || c.following(c.readAhead.unparsed()) != http1.FollowingPartialRequest {
		return false
	}
	deadline := c.followingRequestDeadline(c.readAhead.since)
	if c.responseDeadline != 0 {
		deadline = min(deadline, c.responseDeadline)
	}
	if c.readAheadOverflowed || now >= deadline || c.shared.closesAfterResponse() { // no line can follow, or none has in time
		c.respondToExcessBody(now)
		return true
	}
	c.heldResponse = &heldResponse{b, closeAfterResponse}
	c.responseDeadline = deadline
	return true
}

// sendHeldResponse sends the response that is held, if any.
func (c *ClientConn) sendHeldResponse(now time.Duration) {
	held := c.heldResponse
	if held == nil {
		return
	}
	c.heldResponse = nil
	c.appendResponse(c.exchange, held.bytes, held.closeAfterResponse)
	c.finishResponse(now)
}

// respondToExcessBody answers the current exchange with 400, because the bytes that arrived after it was passed to the instance
// show that its body is longer than its head states. It may have run; a later answer by the instance is dropped.
func (c *ClientConn) respondToExcessBody(now time.Duration) {
	c.heldResponse = nil
	response := malformedResponse(http1.ErrExcessBody)
	response.RetryIsSafe = false
	c.respondInPlaceOfInstance(now, &response, true)
}
