package drill

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"sandyard/internal/http1"
	"sandyard/internal/tcpinfo"
	"sandyard/invariant"
)

// client is an HTTP client with a connection pool for one instance. It does not use net/http's client, which retries some requests
// automatically and would hide violations of invariants. It is safe for concurrent use.
type client struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

// clientConn is a connection that is used for one request at a time.
type clientConn struct {
	net.Conn
	raw      syscall.RawConn
	reader   *http1.Reader
	lastUsed time.Time
}

const (
	maxIdleTime  = 5 * time.Second // an idle connection is not reused after this time: the instance may be about to close it
	maxIdleConns = 128             // per instance, above the requests in flight at the default rate; idle connections beyond it are closed
)

// get returns an idle connection, or opens one.
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
	conn, err := net.DialTimeout("tcp", c.address, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &clientConn{Conn: conn, raw: raw, reader: http1.NewResponses(http1.Limits{})}, nil
}

// lastArrival returns when the last bytes of the peer reached this machine. The client may read them much later.
func (cn *clientConn) lastArrival() time.Time { return time.Now().Add(-tcpinfo.InputAge(cn.raw)) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readArrived returns unread bytes after the deadline has passed, if the last of them arrived before it: the client was scheduled
// too late to read them. If any bytes arrived after the deadline, all are ignored, as by a client that has timed out.
func (cn *clientConn) readArrived(b []byte, deadline time.Time) (int, error) {
	n := 0
	cn.raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) }) // does not block and ignores the read deadline
	if n <= 0 || cn.lastArrival().After(deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// put returns a connection to the pool for further requests.
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

// readBuffer is the size of a read (bytes). Most responses fit.
const readBuffer = 8 << 10

// callTimes are the times of a call as observed by the client. The zero time means that the event did not happen.
type callTimes struct {
	started, connected, written, firstByte time.Time // firstByte: when the client read the first byte of the response
	answered                               time.Time // when the last bytes of the response reached the client's machine
	localAddr                              string    // local address of the connection, which identifies it in the instance's log
}

// call sends one request and returns how it ended, with the number of responses; a truncated response counts. render is called
// with the remaining time when the request is about to be written.
func (c *client) call(render func(timeLeft time.Duration) []byte, method string, deadline time.Time, times *callTimes) (e invariant.Ending, responses int) {
	times.started = time.Now()
	conn, err := c.get(deadline)
	if err != nil {
		return invariant.NotAccepted, 0
	}
	times.connected, times.localAddr = time.Now(), conn.LocalAddr().String()
	conn.SetDeadline(deadline)
	if written, err := conn.Write(render(time.Until(deadline))); err != nil {
		conn.Close()
		if isTimeout(err) && written == 0 { // the instance has received nothing
			return invariant.NotAccepted, 0
		}
		return endingOf(err), 0
	}
	times.written = time.Now()
	conn.reader.Expect(method)
	return c.readResponse(conn, deadline, times)
}

// readResponse reads the response to the request that was written.
func (c *client) readResponse(conn *clientConn, deadline time.Time, times *callTimes) (e invariant.Ending, responses int) {
	var r response
	b := make([]byte, readBuffer)
	for {
		n, err := conn.Read(b)
		if isTimeout(err) {
			n, err = conn.readArrived(b, deadline)
		}
		if times.firstByte.IsZero() && n > 0 {
			times.firstByte = time.Now()
		}
		if n > 0 {
			times.answered = latest(times.connected, conn.lastArrival()) // the kernel's clock is coarse: the computed arrival may precede the connection
		}
		if err != nil {
			conn.Close()
			if e := endingOf(err); e != invariant.ConnectionBroken || r.head == nil {
				return e, 0
			}
			times.answered = time.Now()
			return invariant.Failed, 1 // the client sees a truncated response
		}
		complete, extra, err := r.feed(conn.reader, b[:n])
		switch {
		case err != nil:
			conn.Close()
			return invariant.ConnectionBroken, 0
		case complete && extra:
			conn.Close()
			return endingOfResponse(r.head, r.body), 2
		case complete && r.head.Close:
			conn.Close()
			return endingOfResponse(r.head, r.body), 1
		case complete:
			c.put(conn)
			return endingOfResponse(r.head, r.body), 1
		}
	}
}

// response is the part of a response that has been read.
type response struct {
	head *http1.Head // nil: not yet
	body []byte
}

// feed parses bytes, and reports whether the response is complete and whether more bytes follow it. These bytes count as an
// unsolicited second response.
func (r *response) feed(reader *http1.Reader, in []byte) (complete, extra bool, err error) {
	for {
		used, part, err := reader.Feed(in)
		in = in[used:]
		if err != nil {
			return false, false, err
		}
		switch part.Kind {
		case http1.More:
			return false, false, nil
		case http1.HeadEnd:
			if part.Head.Status >= 200 {
				r.head = part.Head
			}
		case http1.Data:
			r.body = append(r.body, part.Data...)
		case http1.End:
			return true, len(in) > 0, nil
		}
	}
}

// endingOf returns the ending of a request whose connection failed.
func endingOf(err error) invariant.Ending {
	if isTimeout(err) {
		return invariant.ClientTimedOut
	}
	return invariant.ConnectionBroken
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// endingOfResponse returns the ending of a request that got a response.
func endingOfResponse(h *http1.Head, body []byte) invariant.Ending {
	switch {
	case h.Status < 400:
		return invariant.Served
	case strings.Contains(string(body), `"retry":"harmless"`):
		return invariant.Rejected
	}
	return invariant.Failed
}
