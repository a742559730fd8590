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
