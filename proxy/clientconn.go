package proxy

import (
	"time"

	"sandyard/internal/http1"
)

// phase is where a client's connection stands.
type phase uint8

// The phases of a client's connection.
const (
	phaseIdle          phase = iota // between requests
	phaseHead                       // a request has begun, and its head is not complete
	phaseBody                       // its head is complete
	phaseSkipBody                   // it gets a local response; its body is read and dropped
	phaseAwaitResponse              // it is complete, and its response is awaited or under way
	phaseClosing                    // no more requests are read
)

// ClientConn is a client's connection. It belongs to one owner at a time, and no method blocks.
//
// It parses one request at a time. Bytes that come while a response is awaited are kept, up to a bound, and parsed after
// it, so that responses go out in the order of the requests.
//
// A client that closes its side counts as gone, as with most servers: a half-closed connection can't be distinguished from a
// closed one until something is written to it.
type ClientConn struct {
	Outgoing      []byte // bytes for the client; the owner writes and removes them
	LocalStatuses []int  // statuses of local responses that no decision is behind; the owner reports and removes them

	shared     *Shared
	owner      any
	clientAddr string // IP address without a port
	reader     *http1.Reader
	openedAt   time.Duration
	phase      phase
	phaseSince time.Duration // when the phase began

	// The request under way.
	receivedAt       time.Duration // when the bytes that are being parsed were received
	exchange         *Exchange     // from the end of its head until its response is out
	head             *http1.Head
	body             []byte // its capacity is reserved in Shared.ReservedBytes
	trailers         []http1.Field
	bytesToSkip      int64          // of phaseSkipBody: how much of the body is still read
	localResponse    *localResponse // that it gets without a decision; nil: none
	answerDeadline   time.Duration  // of phaseAwaitResponse: when the connection answers in place of the instance; 0: it does not
	handedOutRequest bool           // a request was handed out for the instance to decide; local responses don't count

	// What came while a response was awaited.
	readAhead           []byte        // reserved in Shared.ReservedBytes
	readAheadSince      time.Duration // when its first byte was received
	readAheadOverflowed bool          // more came than is kept; what is kept is answered, and then the connection ends

	// The connection's end.
	closeAfterResponse bool // the response under way is its last
	linger             bool // see Closing
	mustReset          bool // see MustReset
}

// NewClientConn returns the machine of a new connection. owner becomes the Owner of its exchanges; clientAddr is the client's
// IP address without a port.
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

// Closing reports whether the connection is to be closed once Outgoing is written. linger says that a response may still be
// on its way: the owner then reads and drops what comes for a while before it closes, since closing over unread bytes
// resets the connection and could take the response with it.
func (c *ClientConn) Closing() (closing, linger bool) {
	return c.phase == phaseClosing, c.linger || c.handedOutRequest
}

// MustReset reports whether a connection that closes must be reset once Outgoing is written: its response broke off, and a
// regular end would look like the end of the response.
func (c *ClientConn) MustReset() bool { return c.mustReset }

// AwaitingResponse reports whether a request is complete and its response is not.
func (c *ClientConn) AwaitingResponse() bool { return c.phase == phaseAwaitResponse }

// Idle reports whether nothing of a request was received since the last response.
func (c *ClientConn) Idle() bool { return c.phase == phaseIdle && len(c.readAhead) == 0 }

// IdleSince reports, with Idle, since when the phase lasts and whether a request was handed out before, by Feed or Resume.
func (c *ClientConn) IdleSince() (since time.Duration, handedOutRequest, idle bool) {
	return c.phaseSince, c.handedOutRequest, c.Idle()
}

// Deadline returns when DeadlinePassed should be called if nothing else happens; 0 is never. A new connection has
// limits.first-timeout in all until its first request is handed out; one that gets a local response does not count.
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
	case phaseAwaitResponse:
		return c.answerDeadline
	default:
		return 0
	}
	if !c.handedOutRequest {
		deadline = min(deadline, c.openedAt+time.Duration(limits.FirstTimeout))
	}
	return deadline
}

// DeadlinePassed closes the connection if its deadline has passed. A client that was sending a request gets 408; one that
// awaits a response gets 504, and its connection goes on.
func (c *ClientConn) DeadlinePassed(now time.Duration) {
	if deadline := c.Deadline(); deadline == 0 || now < deadline {
		return
	}
	if c.phase == phaseAwaitResponse {
		c.answerInPlaceOfInstance(now)
		return
	}
	if c.phase == phaseHead || c.phase == phaseBody || c.phase == phaseSkipBody {
		c.setLocalResponse(requestTimeout, true)
		c.sendLocalResponse(now)
	}
	c.close()
}

// Feed takes all of b in, which has been received now. It returns an exchange when a request is complete and for the
// instance to decide; until its response is out no other follows, and nil is returned.
func (c *ClientConn) Feed(now time.Duration, b []byte) *Exchange {
	return c.FeedReceived(now, now, b)
}

// FeedReceived is Feed for bytes that were received at a time before now: the client's time counts from then.
func (c *ClientConn) FeedReceived(now, receivedAt time.Duration, b []byte) *Exchange {
	if c.phase == phaseAwaitResponse {
		if len(c.readAhead) == 0 {
			c.readAheadSince = receivedAt
		}
		c.storeReadAhead(b)
		return nil
	}
	if len(c.readAhead) > 0 { // the owner has not resumed yet, and what came before comes first
		c.storeReadAhead(b)
		return c.Resume(now)
	}
	c.receivedAt = receivedAt
	return c.parse(now, b)
}

// Resume parses what was kept while a response was awaited. The owner calls it after each response until it returns nil.
func (c *ClientConn) Resume(now time.Duration) *Exchange {
	if c.phase == phaseAwaitResponse || len(c.readAhead) == 0 {
		return nil
	}
	b := c.readAhead
	c.receivedAt = c.readAheadSince
	c.dropReadAhead()
	ex := c.parse(now, b)
	if ex == nil && c.readAheadOverflowed { // the bytes that would come next were dropped
		c.linger = true
		c.close()
	}
	return ex
}

// Disconnected reports that the client closed the connection, or that it is lost. It returns the exchange that waits for
// its response, if any, for Instance.ClientLeft. From here on no attempt of that begins, however late the instance gets that report.
func (c *ClientConn) Disconnected() *Exchange {
	ex := c.exchange
	if c.phase != phaseAwaitResponse {
		ex = nil
	}
	if ex != nil {
		ex.unawaited.Store(true)
	}
	c.close()
	return ex
}

// close ends the connection: nothing more is parsed, and the memory of what was is given back.
func (c *ClientConn) close() {
	c.phase, c.exchange = phaseClosing, nil
	c.dropReadAhead()
	c.releaseBody()
}

// storeReadAhead keeps bytes that come while a response is awaited: as many as one request may have, and as limits.memory
// allows. Beyond that they are dropped rather than left unread, since a client that leaves is not seen behind unread bytes.
func (c *ClientConn) storeReadAhead(b []byte) {
	limits := &c.shared.Config.Limits
	largest := int(limits.Head) + int(limits.Body)
	if c.readAheadOverflowed || len(c.readAhead)+len(b) > largest || !c.shared.reserve(len(b)) {
		c.readAheadOverflowed = true
		return
	}
	c.readAhead = append(c.readAhead, b...)
}

// dropReadAhead forgets what was kept and gives its memory back.
func (c *ClientConn) dropReadAhead() {
	c.shared.release(len(c.readAhead))
	c.readAhead = nil
}

// Drain closes an idle connection. Others end with their response, if Shared.CloseAfterResponses was called.
func (c *ClientConn) Drain() {
	if c.Idle() {
		c.close()
	}
}
