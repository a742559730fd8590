package proxy

import (
	"time"

	"sandyard/internal/http1"
)

// phase is the state of a client's connection.
type phase uint8

// The phases of a client's connection.
const (
	phaseIdle          phase = iota // between requests
	phaseHead                       // reading the head of a request
	phaseBody                       // reading the body of a request
	phaseSkipBody                   // discarding the body of a request that gets a local response
	phaseCheckEnd                   // the request is complete, unless the bytes behind its body turn out to be a part of it
	phaseAwaitResponse              // the request is complete, and its response is awaited or being sent
	phaseClosing                    // no more requests are read
)

// ClientConn is a client's connection. It belongs to one owner at a time, and no method blocks.
//
// It parses one request at a time. Bytes that arrive while a response is awaited are buffered, up to a limit, and parsed
// after the response, so that responses are sent in the order of the requests.
//
// A client that closes its side is treated as disconnected, as by most servers: a half-closed connection can't be
// distinguished from a closed one until something is written to it.
type ClientConn struct {
	Outgoing      []byte // bytes for the client; the owner writes and removes them
	LocalStatuses []int  // statuses of local responses that were sent without a decision; the owner reports and removes them

	shared     *Shared
	owner      any
	clientAddr string // IP address without a port
	reader     *http1.Reader
	openedAt   time.Duration
	phase      phase
	phaseSince time.Duration // when the phase started

	// The current request.
	receivedAt       time.Duration // when the bytes that are being parsed were received
	exchange         *Exchange     // from the end of its head until its response is complete
	head             *http1.Head
	body             []byte // its capacity is reserved in Shared.ReservedBytes
	trailers         []http1.Field
	hasStatedBody    bool           // its head states where its body ends
	responseBegun    bool           // a part of its response was sent
	heldResponse     *heldResponse  // its response, until it is known what the bytes behind its body are; nil: none
	bytesToSkip      int64          // in phaseSkipBody: how many more bytes of the body are read and discarded
	localResponse    *localResponse // response without a decision; nil: none
	responseDeadline time.Duration  // in phaseAwaitResponse: when the connection answers in place of the instance; 0: never
	hadRequest       bool           // Feed or Resume has returned a request for the instance; local responses don't count

	// Bytes that were received and not parsed.
	readAhead           readAhead
	readAheadOverflowed bool // bytes beyond the limit were dropped; the connection closes after the buffered requests
	reservedHead        int  // bytes of the reader's buffer that are reserved in Shared.ReservedBytes

	// Closing the connection.
	closeAfterResponse bool // the current response is the last one
	linger             bool // see Closing
	mustReset          bool // see MustReset
}

// NewClientConn returns the state machine of a new connection. owner becomes the Owner of its exchanges. clientAddr is the
// client's IP address without a port.
func NewClientConn(shared *Shared, owner any, clientAddr string, now time.Duration) *ClientConn {
	limits := &shared.Config.Limits
	return &ClientConn{
		shared:     shared,
		owner:      owner,
		clientAddr: clientAddr,
		phaseSince: now,
		openedAt:   now,
		reader:     http1.NewRequests(http1.Limits{Head: int(limits.Head), Fields: limits.Fields}),
	}
}

// Closing reports whether the connection must be closed after Outgoing is written. linger means that a response may still
// be in transit: the owner must then read and discard incoming bytes for a while before it closes, because closing a socket
// with unread bytes resets the connection, and the client could lose the response.
func (c *ClientConn) Closing() (closing, linger bool) {
	return c.phase == phaseClosing, c.linger || c.hadRequest
}

// MustReset reports whether a closing connection must be reset after Outgoing is written: its response was cut off, and a
// regular close would look like the end of the response.
func (c *ClientConn) MustReset() bool { return c.mustReset }

// AwaitingResponse reports whether a request is complete and its response is not yet complete; the response may have begun.
func (c *ClientConn) AwaitingResponse() bool { return c.phase == phaseAwaitResponse }

// Idle reports whether nothing of a request was received since the last response.
func (c *ClientConn) Idle() bool { return c.phase == phaseIdle && c.readAhead.len() == 0 }

// IdleSince returns when the current phase started, whether Feed or Resume has returned a request before, and the result of
// Idle. The connection has been idle since that time only if idle is true.
func (c *ClientConn) IdleSince() (since time.Duration, hadRequest, idle bool) {
	return c.phaseSince, c.hadRequest, c.Idle()
}

// Deadline returns when DeadlinePassed must be called if nothing else happens; 0: never. A new connection has
// limits.first-timeout until Feed or Resume returns its first request; requests that get a local response don't count.
func (c *ClientConn) Deadline() time.Duration {
	limits := &c.shared.Config.Limits
	deadline := time.Duration(0)
	switch c.phase {
	case phaseIdle:
		deadline = c.phaseSince + time.Duration(limits.IdleTimeout)
	case phaseHead:
		deadline = c.phaseSince + time.Duration(limits.HeadTimeout)
	case phaseBody, phaseSkipBody:
		deadline = c.phaseSince + time.Duration(limits.BodyTimeout)
	case phaseCheckEnd:
		deadline = min(c.followingRequestDeadline(c.phaseSince), c.receivedAt+c.exchange.Timeout)
	case phaseAwaitResponse:
		return c.responseDeadline
	default:
		return 0
	}
	if !c.hadRequest {
		deadline = min(deadline, c.openedAt+time.Duration(limits.FirstTimeout))
	}
	return deadline
}

// DeadlinePassed has no effect before the deadline. After it, a client that awaits a response gets 504, and its connection
// can be used for further requests unless the response closes it. Any other connection is closed; a client that was sending
// a request gets 408, or 400 if what it sent behind a body has not become a request line.
func (c *ClientConn) DeadlinePassed(now time.Duration) {
	if deadline := c.Deadline(); deadline == 0 || now < deadline {
		return
	}
	switch {
	case c.heldResponse != nil:
		c.respondToExcessBody(now)
		return
	case c.phase == phaseAwaitResponse:
		c.respondForLateInstance(now)
		return
	case c.phase == phaseCheckEnd:
		c.rejectMalformed(now, http1.ErrExcessBody)
		return
	}
	if c.phase == phaseHead || c.phase == phaseBody || c.phase == phaseSkipBody {
		c.setLocalResponse(requestTimeout, true)
		c.sendLocalResponse(now)
	}
	c.close()
}

// Feed consumes all of b, which was received now. It returns an exchange when a request is complete and needs a decision by
// the instance, and nil otherwise. It returns no further exchange until the response is complete.
func (c *ClientConn) Feed(now time.Duration, b []byte) *Exchange {
	return c.FeedReceived(now, now, b)
}

// FeedReceived is Feed for bytes that were received before now, at receivedAt. The time
// for which the client waits counts from receivedAt.
func (c *ClientConn) FeedReceived(now, receivedAt time.Duration, b []byte) *Exchange {
	if c.phase == phaseAwaitResponse {
		c.storeReadAhead(receivedAt, b)
		c.checkReadAhead(now)
		return nil
	}
	if c.phase == phaseCheckEnd {
		c.storeReadAhead(receivedAt, b)
		return c.resumeRequestEnd(now)
	}
	if c.readAhead.len() > 0 { // the owner has not called Resume yet, and earlier bytes must be parsed first
		c.storeReadAhead(receivedAt, b)
		return c.Resume(now)
	}
	c.receivedAt = receivedAt
	ex, rest := c.parse(now, b)
	if len(rest) > 0 {
		c.storeReadAhead(receivedAt, rest)
	}
	c.checkReadAheadOverflow(now)
	return ex
}

// Resume parses the bytes that were buffered while a response was awaited or written. The owner calls it after each response,
// and after each call of Feed or Resume that has added to Outgoing, until it returns nil and adds nothing.
func (c *ClientConn) Resume(now time.Duration) *Exchange {
	if c.phase == phaseAwaitResponse || c.phase == phaseCheckEnd || c.readAhead.len() == 0 {
		return nil
	}
	b := c.readAhead.unparsed()
	c.receivedAt = c.readAhead.since
	ex, rest := c.parse(now, b)
	if c.phase != phaseClosing {
		c.readAhead.skip(c.shared, len(b)-len(rest))
		c.checkReadAheadOverflow(now)
	}
	return ex
}

// checkReadAheadOverflow ends a connection of which bytes were dropped, unless buffered requests are left to be answered.
func (c *ClientConn) checkReadAheadOverflow(now time.Duration) {
	switch {
	case !c.readAheadOverflowed:
	case c.phase == phaseCheckEnd: // the rest of the request line was dropped
		c.rejectMalformed(now, http1.ErrExcessBody)
	case c.phase != phaseAwaitResponse && c.readAhead.len() == 0:
		c.linger = true
		c.close()
	}
}

// Disconnected reports that the client closed the connection, or that it was lost. It returns the exchange that awaits its
// response, if any, for Instance.ClientLeft. From then on no attempt of the exchange starts, even if ClientLeft is called
// late.
func (c *ClientConn) Disconnected() *Exchange {
	ex := c.exchange
	if c.phase != phaseAwaitResponse {
		ex = nil
	}
	if ex != nil {
		ex.clientDone.Store(true)
	}
	c.close()
	return ex
}

// close ends the connection: nothing more is parsed, and reserved memory is released.
func (c *ClientConn) close() {
	c.phase, c.exchange, c.heldResponse = phaseClosing, nil, nil
	c.readAhead.release(c.shared)
	c.releaseBody()
	c.shared.release(c.reservedHead)
	c.reservedHead = 0
}

// storeReadAhead buffers bytes that can't be parsed yet: up to the size of one request, and as far as limits.memory allows.
// Further bytes are read and dropped, because a disconnect can't be detected behind unread bytes.
func (c *ClientConn) storeReadAhead(receivedAt time.Duration, b []byte) {
	if c.readAhead.len() == 0 {
		c.readAhead.since = receivedAt
	}
	limits := &c.shared.Config.Limits
	if c.readAheadOverflowed || !c.readAhead.add(c.shared, b, int(limits.Head)+int(limits.Body)) {
		c.readAheadOverflowed = true
	}
}

// Drain closes an idle connection. Other connections close after their response if Shared.CloseAfterResponses was called.
func (c *ClientConn) Drain() {
	if c.Idle() {
		c.close()
	}
}
