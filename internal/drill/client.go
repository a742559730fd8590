package drill

import (
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"sandyard/internal/http1"
	"sandyard/invariant"
)

// client is a client's side of connections to one instance. It is not net/http's, which retries some requests by itself and
// would hide what the auditor looks for. It may be used by several goroutines.
type client struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

// clientConn is a connection, used for one request at a time.
type clientConn struct {
	net.Conn
	reader   *http1.Reader
	lastUsed time.Time
}

const (
	maxIdleTime  = 5 * time.Second // after which a connection is not used again: the instance may be about to close it
	maxIdleConns = 128             // of an instance; more than are in flight at the default rate
)

// get returns an idle connection, or makes one.
func (c *client) get(deadline time.Time) (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.lastUsed) < maxIdleTime {
			c.mu.Unlock()
			return last, nil
		}
		last.Close()
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", c.address, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, reader: http1.NewResponses(http1.Limits{})}, nil
}

// put keeps a connection for further requests.
func (c *client) put(cn *clientConn) {
	cn.lastUsed = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdleConns {
		cn.Close()
		return
	}
	c.idle = append(c.idle, cn)
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
}

// call sends one request and returns how it ended, with the status and the number of complete responses.
func (c *client) call(request []byte, method string, deadline time.Time) (e invariant.Ending, status, answers int) {
	cn, err := c.get(deadline)
	if err != nil {
		return invariant.NotAccepted, 0, 0
	}
	cn.SetDeadline(deadline)
	if _, err := cn.Write(request); err != nil {
		cn.Close()
		return endingOf(err), 0, 0
	}
	cn.reader.Expect(method)
	var head *http1.Head
	var body []byte
	b := make([]byte, 8<<10)
	for {
		n, err := cn.Read(b)
		if err != nil {
			cn.Close()
			if e := endingOf(err); e != invariant.ConnectionBroken || head == nil {
				return e, 0, 0
			}
			return invariant.Failed, head.Status, 1 // the client sees that its response broke off
		}
		for in := b[:n]; ; {
			used, part, err := cn.reader.Feed(in)
			in = in[used:]
			if err != nil {
				cn.Close()
				return invariant.ConnectionBroken, 0, 0
			}
			if part.Kind == http1.More {
				break
			}
			switch part.Kind {
			case http1.HeadEnd:
				if part.Head.Status >= 200 {
					head = part.Head
				}
			case http1.Data:
				body = append(body, part.Data...)
			case http1.End:
				if answers = 1; len(in) > 0 { // a second response behind it
					answers = 2
				}
				if head.Close || len(in) > 0 {
					cn.Close()
				} else {
					c.put(cn)
				}
				return endingOfResponse(head, body), head.Status, answers
			}
		}
	}
}

// endingOf returns how a request ended whose connection failed.
func endingOf(err error) invariant.Ending {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return invariant.ClientTimedOut
	}
	return invariant.ConnectionBroken
}

// endingOfResponse returns how a request ended with a response.
func endingOfResponse(h *http1.Head, body []byte) invariant.Ending {
	switch {
	case h.Status < 400:
		return invariant.Served
	case strings.Contains(string(body), `"retry":"harmless"`):
		return invariant.Rejected
	}
	return invariant.Failed
}
