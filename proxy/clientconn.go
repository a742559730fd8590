package proxy

import (
	"time"

	"sandyard/internal/http1"
)

// phase is where a client's connection stands.
type phase uint8

const (
	idle     phase = iota // between requests
	inHead                // a request has begun
	inBody                // its head is whole
	skipping              // it is answered already; its body is read and dropped
	waiting               // it is whole and its answer is awaited
	closing               // no more requests are read
)

const (
	mostSkip = 64 << 10 // bytes of a refused request's body that are read rather than closing on it
)

// ClientConn is a client's connection. It reads one request at a time; what comes while an answer is awaited is kept,
// up to a bound, and read after it, so that answers go out in the order of the requests.
//
// A client that closes its side is taken to have left, as most servers do: a half-closed connection can't be told
// from a closed one until something is written to it.
type ClientConn struct {
	Out         []byte // bytes for the client, to be written and cut off by the owner
	OwnStatuses []int  // statuses of answers that no decision is behind, to be noted and cut off by the owner

	set     *Shared
	owner   any
	remote  string
	rd      *http1.Reader
	phase   phase
	since   time.Duration // when the phase began
	ex      *Exchange
	head    *http1.Head
	body    []byte
	tail    []http1.Field
	left    int64 // bytes of a skipped body that are still read
	refusal *problem
	stash   []byte
	stashed time.Duration // when its first byte came
	came    time.Duration // when the bytes that are read did
	linger  bool
	last    bool // the answer under way is the connection's last
	overrun bool // more came than is kept: what is kept is answered, and then the connection ends
	aborts  bool
	opened  time.Duration
	asked   bool // a request has been whole
}

// NewClientConn begins a connection. owner is handed on with exchanges; remote is the client's address without a port.
func NewClientConn(set *Shared, owner any, remote string, now time.Duration) *ClientConn {
	l := set.Config.Limits
	return &ClientConn{set: set, owner: owner, remote: remote, since: now, opened: now,
		rd: http1.NewRequests(http1.Limits{Head: int(l.Head), Fields: l.Fields})}
}

// Closing tells that the connection is to be closed once Out is written. Linger tells that an answer may still be on its
// way: what comes should be read and dropped for a while, since closing on unread bytes would reset the connection and
// could take the answer with it.
func (c *ClientConn) Closing() (closes, linger bool) { return c.phase == closing, c.linger || c.asked }

// Aborts tells that a connection that closes must be reset, once Out is written, rather than ended.
func (c *ClientConn) Aborts() bool { return c.aborts }

// Waiting tells that an answer is awaited.
func (c *ClientConn) Waiting() bool { return c.phase == waiting }

// Idle tells that nothing of a request has come.
func (c *ClientConn) Idle() bool { return c.phase == idle && len(c.stash) == 0 }

// IdleSince tells whether nothing of a request has come, since when, and whether there was one before.
func (c *ClientConn) IdleSince() (since time.Duration, asked, idle bool) {
	return c.since, c.asked, c.Idle()
}

// Deadline is when Expired should be called if nothing else happens; 0 is never.
func (c *ClientConn) Deadline() time.Duration {
	l, d := c.set.Config.Limits, time.Duration(0)
	switch c.phase {
	case idle:
		d = c.since + time.Duration(l.IdleTimeout)
	case inHead:
		d = c.since + time.Duration(l.HeadTimeout)
	case inBody, skipping:
		d = c.since + time.Duration(l.BodyTimeout)
	default:
		return 0
	}
	if !c.asked {
		d = min(d, c.opened+time.Duration(l.FirstTimeout))
	}
	return d
}

// Expired takes note of the time: slow senders get 408, idle connections are closed.
func (c *ClientConn) Expired(now time.Duration) {
	if d := c.Deadline(); d == 0 || now < d {
		return
	}
	if c.phase == inHead || c.phase == inBody || c.phase == skipping {
		c.refuse(now, tooSlow, true)
		c.answer(now)
	}
	c.close()
}

// Feed takes bytes in. It returns an exchange when a request is whole and for the core to decide; until that is
// answered no other follows.
func (c *ClientConn) Feed(now time.Duration, b []byte) *Exchange {
	if c.phase == waiting {
		if len(c.stash) == 0 {
			c.stashed = now
		}
		c.keep(b)
		return nil
	}
	if len(c.stash) > 0 { // its answer is not all out yet, and what came before comes first
		c.keep(b)
		return c.Resume(now)
	}
	c.came = now
	return c.read(now, b)
}

// Resume goes on with what was kept. Call it after an answer is out.
func (c *ClientConn) Resume(now time.Duration) *Exchange {
	if c.phase == waiting || len(c.stash) == 0 {
		return nil
	}
	b := c.stash
	c.came = c.stashed
	c.unkeep()
	ex := c.read(now, b)
	if ex == nil && c.overrun { // what would come next was dropped
		c.linger = true
		c.close()
	}
	return ex
}

// Gone ends the connection from the client's side. It returns the exchange that has lost its client, if any; from here
// on no attempt of it begins, however late the core is told.
func (c *ClientConn) Gone() *Exchange {
	ex := c.ex
	if c.phase != waiting {
		ex = nil
	}
	if ex != nil {
		ex.left.Store(true)
	}
	c.close()
	return ex
}

func (c *ClientConn) close() {
	c.phase, c.ex = closing, nil
	c.unkeep()
	c.drop()
}

// keep keeps bytes that come while an answer is awaited: as many as one request may have, and as limits.memory has room for.
// Beyond that they are dropped rather than left unread, since the end of the connection would not be seen behind them.
func (c *ClientConn) keep(b []byte) {
	l := c.set.Config.Limits
	if c.overrun = c.overrun || len(c.stash)+len(b) > int(l.Head)+int(l.Body) || !c.set.reserve(len(b)); !c.overrun {
		c.stash = append(c.stash, b...)
	}
}

// unkeep lets go of them.
func (c *ClientConn) unkeep() {
	c.set.release(len(c.stash))
	c.stash = nil
}

// Drain closes an idle connection and lets others end with their answer.
func (c *ClientConn) Drain() {
	if c.Idle() {
		c.close()
	}
}

// Answered appends an answer of ours or of a box. more tells that the rest follows by Relay; else the exchange is
// over and the connection goes on, with Resume, or closes.
// closes tells that it is the connection's last: it says so, or only the connection's end can end it.
func (c *ClientConn) Answered(now time.Duration, ex *Exchange, b []byte, more, closes bool) {
	if c.ex != ex || c.phase != waiting {
		return
	}
	c.Out = append(c.Out, b...)
	c.last = c.last || closes
	if !more {
		c.finish(now)
	}
}

// RejectOverload answers an exchange that the core's queue has no room for.
func (c *ClientConn) RejectOverload(now time.Duration, ex *Exchange) {
	c.set.release(ex.held)
	ex.held = 0
	closes := ex.Close || c.set.closes()
	c.Answered(now, ex, c.set.own(nil, &tooBusy, ex.Method, ex.Minor, closes, time.Second), false, closes)
}

// Relay appends more of an answer; end tells that it is over, broken that it must be cut off.
func (c *ClientConn) Relay(now time.Duration, ex *Exchange, b []byte, end, broken bool) {
	if c.ex != ex || c.phase != waiting {
		return
	}
	c.Out = append(c.Out, b...)
	switch {
	case broken:
		c.aborts = c.last // the end of the connection would look like the end of the answer
		c.close()
	case end:
		c.finish(now)
	}
}

func (c *ClientConn) finish(now time.Duration) {
	ex := c.ex
	c.ex, c.phase, c.since = nil, idle, now
	if ex.Close || c.last || c.overrun && len(c.stash) == 0 {
		c.linger = true
		c.close()
	}
}

// read takes bytes apart until a request is whole, all are used or the connection ends.
func (c *ClientConn) read(now time.Duration, b []byte) *Exchange {
	for c.phase != closing {
		if c.phase == idle && len(b) > 0 {
			c.phase, c.since = inHead, now
		}
		n, part, err := c.rd.Feed(b)
		b = b[n:]
		if err != nil {
			c.malformed(now, err)
			return nil
		}
		switch part.Kind {
		case http1.More:
			return nil
		case http1.HeadEnd:
			c.begun(now, part.Head)
		case http1.Data:
			c.data(now, part.Data)
		case http1.End:
			c.tail = part.Trailers
			if ex := c.ended(now); ex != nil {
				c.stashed = c.came
				c.keep(b)
				return ex
			}
		}
	}
	return nil
}

// malformed answers what can't be read, and closes: nobody knows where the next request would begin.
func (c *ClientConn) malformed(now time.Duration, err error) {
	p := badRequest
	if e, ok := err.(*http1.Error); ok {
		p.Status, p.Detail = e.Status, "The request has "+e.Reason+"."
		if e.Status != 400 {
			p.Kind, p.Title = "unsupported", http1.StatusText(e.Status)
		}
	}
	c.refuse(now, p, true)
	c.answer(now)
}

// refuse settles that the request gets an answer of ours that no decision is behind.
func (c *ClientConn) refuse(now time.Duration, p problem, closes bool) {
	if c.refusal == nil {
		c.refusal = &p
	}
	if c.ex == nil {
		c.ex = &Exchange{Owner: c.owner, Minor: 1, Method: "GET"}
	}
	c.ex.Close = c.ex.Close || closes
}

// answer writes the settled refusal.
func (c *ClientConn) answer(now time.Duration) {
	ex, p := c.ex, c.refusal
	closes := ex.Close || c.set.closes()
	retry := time.Duration(0)
	if p.Status == 503 {
		retry = time.Second
	}
	c.Out = c.set.own(c.Out, p, ex.Method, ex.Minor, closes, retry)
	c.OwnStatuses = append(c.OwnStatuses, p.Status)
	c.drop()
	c.ex, c.refusal = nil, nil
	c.phase, c.since, c.linger = idle, now, true
	if closes {
		c.close()
	}
}

// drop lets go of a body.
func (c *ClientConn) drop() {
	if c.body != nil {
		c.set.release(cap(c.body))
	}
	c.body, c.head, c.tail = nil, nil, nil
}

// begun takes a whole head in.
func (c *ClientConn) begun(now time.Duration, h *http1.Head) {
	c.phase, c.since, c.head = inBody, now, h
	c.ex = &Exchange{Owner: c.owner, Method: h.Method, Minor: h.Minor, Close: h.Close}
	if p := c.identify(h); p != nil {
		c.refuse(now, *p, false)
	}
	body := h.Length != 0
	switch {
	case c.refusal == nil && h.Length > int64(c.set.Config.Limits.Body):
		c.refuse(now, tooLarge, true)
		c.answer(now)
	case c.refusal != nil && (h.Continue && body || h.Length > mostSkip): // the body is not wanted
		c.ex.Close = true
		c.answer(now)
	case c.refusal != nil:
		c.phase, c.left = skipping, mostSkip
	case h.Continue && body:
		c.Out = append(c.Out, "HTTP/1.1 100 Continue\r\n\r\n"...)
	}
}

// data takes a piece of a body in.
func (c *ClientConn) data(now time.Duration, b []byte) {
	if c.phase == skipping {
		if c.left -= int64(len(b)); c.left < 0 {
			c.ex.Close = true
			c.answer(now)
		}
		return
	}
	need := len(c.body) + len(b)
	if need > int(c.set.Config.Limits.Body) {
		c.refuse(now, tooLarge, true)
		c.answer(now)
		return
	}
	if need > cap(c.body) { // grown by what has come, not by what was promised
		size := max(need, 2*cap(c.body), 512)
		if c.head.Length > 0 {
			size = min(size, int(c.head.Length))
		}
		if !c.set.reserve(size) {
			c.refuse(now, outOfMemory, true)
			c.answer(now)
			return
		}
		grown := make([]byte, len(c.body), size)
		copy(grown, c.body)
		if c.body != nil {
			c.set.release(cap(c.body))
		}
		c.body = grown
	}
	c.body = append(c.body, b...)
}

// ended takes the end of a request in.
func (c *ClientConn) ended(now time.Duration) *Exchange {
	if c.refusal != nil {
		c.answer(now)
		return nil
	}
	ex := c.ex
	size := len(c.body) + 512
	for i := range c.head.Fields {
		size += len(c.head.Fields[i].Name) + len(c.head.Fields[i].Value) + 4
	}
	if !c.set.reserve(size) {
		c.refuse(now, outOfMemory, false)
		c.answer(now)
		return nil
	}
	ex.held = size
	ex.Rendered, ex.head = c.set.Protocol.RenderRequest(make([]byte, 0, size), c.head, c.body, c.tail, c.remote)
	c.drop()
	c.asked = true
	ex.Arrived = min(now, c.came) // its client has waited since its bytes came, not since the answer before it
	c.phase, c.since = waiting, now
	return ex
}

// identify finds the route, the studio, the units and the patience of a request.
func (c *ClientConn) identify(h *http1.Head) *problem {
	if c.set.Draining() {
		c.ex.Close = true
		return &shuttingDown
	}
	if c.set.starting.Load() {
		return &notReady
	}
	return c.set.Protocol.ParseRequest(h, &c.ex.RequestInfo)
}
