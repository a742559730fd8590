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

// caller is a client's side of connections to one front door: small, so that what a try's end was is known for sure.
// The standard client sends some requests again by itself, which would hide what the auditor looks for.
type caller struct {
	addr string
	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	rd   *http1.Reader
	used time.Time
}

const (
	callerIdle = 5 * time.Second // connections unused for longer are not used again
	mostIdle   = 128
)

func (c *caller) get(deadline time.Time) (*conn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.used) < callerIdle {
			c.mu.Unlock()
			return last, nil
		}
		last.Close()
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", c.addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, rd: http1.NewResponses(http1.Limits{})}, nil
}

func (c *caller) put(cn *conn) {
	cn.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= mostIdle {
		cn.Close()
		return
	}
	c.idle = append(c.idle, cn)
}

func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
}

// call sends one request and says how it ended.
func (c *caller) call(request []byte, method string, deadline time.Time) (e invariant.Ending, status, answers int) {
	cn, err := c.get(deadline)
	if err != nil {
		return invariant.NotAccepted, 0, 0
	}
	cn.SetDeadline(deadline)
	if _, err := cn.Write(request); err != nil {
		cn.Close()
		return lost(err), 0, 0
	}
	cn.rd.Expect(method)
	var head *http1.Head
	var body []byte
	b := make([]byte, 8<<10)
	for {
		n, err := cn.Read(b)
		if err != nil {
			cn.Close()
			if e := lost(err); e != invariant.ConnectionBroken || head == nil {
				return e, 0, 0
			}
			return invariant.Failed, head.Status, 1 // an answer that flowed and broke off: its client knows that it failed
		}
		for in := b[:n]; ; {
			used, part, err := cn.rd.Feed(in)
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
				if answers = 1; len(in) > 0 { // a second answer on its heels
					answers = 2
				}
				if head.Close || len(in) > 0 {
					cn.Close()
				} else {
					c.put(cn)
				}
				return ending(head, body), head.Status, answers
			}
		}
	}
}

func lost(err error) invariant.Ending {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return invariant.ClientTimedOut
	}
	return invariant.ConnectionBroken
}

func ending(h *http1.Head, body []byte) invariant.Ending {
	switch {
	case h.Status < 400:
		return invariant.Served
	case strings.Contains(string(body), `"retry":"harmless"`):
		return invariant.Rejected
	}
	return invariant.Failed
}
