package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"sandyard/internal/http1"
	"sandyard/invariant"
)

// clientPool holds the idle keep-alive connections from clients to one instance.
type clientPool struct {
	sim      *Sim
	instance int
	idle     []*clientConn
}

// get returns an idle connection, or dials a new one.
func (p *clientPool) get(rng *rand.Rand) *clientConn {
	if rng.Float64() >= p.sim.script.Clients.NewConnShare {
		for len(p.idle) > 0 {
			c := p.idle[len(p.idle)-1]
			p.idle = p.idle[:len(p.idle)-1]
			if !c.done && p.sim.now-c.lastUsed < 3*time.Second {
				return c
			}
			c.close(false)
		}
	}
	c := &clientConn{pool: p, reader: http1.NewResponses(http1.Limits{}), lastUsed: p.sim.now}
	c.dialing = p.sim.network.dial(p.sim.clientHost, fmt.Sprintf("door-%d", p.instance), c, func(conn *netConn, ok bool) {
		switch {
		case c.done:
			if conn != nil {
				conn.close(true)
			}
		case !ok:
			c.fail(invariant.NotAccepted)
		default:
			c.conn, c.acceptedAt = conn, p.sim.now
			c.flush()
			if len(conn.received) > 0 { // an instance may reject a connection before its client knows that it is established
				c.readable(conn)
			}
		}
	})
	return c
}

// clientConn is a client's connection. Several pipelined requests may be in flight on it; responses come in their order.
type clientConn struct {
	pool            *clientPool
	dialing         *dialing
	conn            *netConn
	reader          *http1.Reader
	unsent          []byte
	awaiting        []*clientRequest
	head            *http1.Head
	responseStarted bool // for the first request in awaiting
	bodySize        int  // bytes of its body that were received
	done            bool
	misbehaving     bool
	acceptedAt      time.Duration // when the connection was established
	lastUsed        time.Duration
}

func (c *clientConn) flush() {
	if c.conn == nil || c.done {
		return
	}
	c.unsent = c.conn.writeBuffered(c.unsent, nil)
}

func (c *clientConn) writable(*netConn) { c.flush() }

func (c *clientConn) closed(conn *netConn, reset bool) {
	if c.conn == nil { // closed before its client knew that it was established
		c.conn = conn
	}
	c.fail(invariant.ConnectionBroken)
}

// fail closes the connection and ends the requests in flight on it.
func (c *clientConn) fail(e invariant.Ending) {
	out := c.awaiting
	c.awaiting = nil
	if e == invariant.ConnectionBroken && c.conn != nil && c.conn.tooManyConns { // the reset may arrive before the response that gives this reason
		c.pool.sim.countReached("excuse: no answer: turned away")
		e = invariant.NotAccepted
	}
	c.close(true)
	for i, r := range out {
		if i == 0 && c.responseStarted && e == invariant.ConnectionBroken { // the client sees a truncated response
			c.pool.sim.countReached("excuse: broken off: an answer that flowed")
			c.pool.sim.finish(r, invariant.Failed, 1)
			continue
		}
		if i > 0 && e == invariant.ConnectionBroken { // an instance accepts one request at a time, so those behind it were not accepted
			c.pool.sim.countReached("excuse: no answer: behind one that was cut")
			e = invariant.ClientLeft
		}
		c.pool.sim.finish(r, e, 0)
	}
}

func (c *clientConn) close(reset bool) {
	if c.done {
		return
	}
	c.done = true
	c.pool.idle = without(c.pool.idle, c)
	if c.conn != nil {
		c.conn.close(reset)
	} else if c.dialing != nil {
		c.dialing.ended = true
	}
	if out := c.awaiting; len(out) > 0 { // a client that abandons a request abandons those pipelined behind it, too
		c.awaiting = nil
		for _, r := range out {
			c.pool.sim.finish(r, invariant.ClientLeft, 0)
		}
	}
}

func (c *clientConn) readable(*netConn) {
	if c.conn == nil {
		return
	}
	in := c.conn.read()
	for !c.done && (len(c.awaiting) > 0 || len(in) > 0) {
		if len(c.awaiting) == 0 {
			c.unexpected(in)
			return
		}
		n, more := c.feed(in)
		if !more {
			return
		}
		in = in[n:]
	}
	if len(c.awaiting) == 0 && !c.done && len(c.unsent) == 0 {
		c.lastUsed = c.pool.sim.now
		c.pool.idle = append(c.pool.idle, c)
	}
}

// statusStart and statusEnd are the offsets of the status code in a response (bytes).
const statusStart, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")

// unexpected handles bytes for a client without a pending request. They are a violation, except for a misbehaving client.
func (c *clientConn) unexpected(in []byte) {
	s := c.pool.sim
	if c.misbehaving && len(in) > statusEnd {
		s.countReached("status " + string(in[statusStart:statusEnd]))
	}
	if !c.misbehaving {
		s.report(RuleOwnResponse, fmt.Sprintf("door %d sent %.40q to a client without a pending request", c.pool.instance, in))
	}
	c.close(true)
}

// feed parses a part of the response to the first awaiting request. It returns the number of bytes that it consumed, and
// whether the rest may contain more.
func (c *clientConn) feed(in []byte) (n int, more bool) {
	s, r := c.pool.sim, c.awaiting[0]
	c.reader.Expect(s.config.Routes.Operations[r.operation].Method)
	n, part, err := c.reader.Feed(in)
	if err != nil {
		s.report(RuleOwnResponse, fmt.Sprintf("door %d sent an invalid response to %s: %v", c.pool.instance, r.ID, err))
		return n, false
	}
	switch part.Kind {
	case http1.More:
		return n, false
	case http1.HeadEnd:
		if part.Head.Status >= 200 {
			c.head, c.bodySize, c.responseStarted = part.Head, 0, true
		}
	case http1.Data:
		c.bodySize += len(part.Data)
	case http1.End:
		c.responseStarted = false
		c.awaiting = c.awaiting[1:]
		c.finishResponse(r)
		if c.head.Close {
			c.fail(invariant.NotAccepted) // the instance never accepted the requests pipelined behind it
			return n, false
		}
	}
	return n, true
}

// checkResponse reports a violation if a complete response belongs to another request, or is only a part of its own.
func (c *clientConn) checkResponse(r *clientRequest) {
	s, h := c.pool.sim, c.head
	id, fromBackend := h.Get("X-Answers")
	if !fromBackend {
		return
	}
	if id != r.ID {
		s.report(RuleOwnResponse, fmt.Sprintf("%s received the response to %s", r.ID, id))
		return
	}
	method, whole := s.config.Routes.Operations[r.operation].Method, s.script.Backends.Body
	if h.Status == 200 && !h.IsBodiless(method) && c.bodySize != whole {
		s.report(RuleOwnResponse, fmt.Sprintf("%s received %d bytes of %d as a complete response", r.ID, c.bodySize, whole))
	}
}

// finishResponse handles a complete response.
func (c *clientConn) finishResponse(r *clientRequest) {
	s, h := c.pool.sim, c.head
	s.countReached("status " + strconv.Itoa(h.Status))
	c.checkResponse(r)
	r.status = h.Status
	e := invariant.Failed
	switch {
	case h.Status < 400:
		e = invariant.Served
	case h.Status == 429, h.Status == 503, h.Status < 500:
		e = invariant.Rejected
	}
	s.finish(r, e, 1)
}
