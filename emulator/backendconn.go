package emulator

import (
	"strconv"
	"time"

	"sandyard/fault"
	"sandyard/internal/http1"
)

// BackendConn is a connection to a stand-in box. It answers one request at a time, in order.
type BackendConn struct {
	Out   []byte // for the peer, to be written and cut off by the owner
	Close bool   // the connection is to be closed once Out is written,
	Abort bool   // with a reset

	backend   *Backend
	reader    *http1.Reader
	pipelined []byte
	head      *http1.Head
	body      int
	busy      bool
	seq       uint64
	closed    bool
}

// NewConn begins a connection.
func (b *Backend) NewConn() *BackendConn {
	return &BackendConn{backend: b, reader: http1.NewRequests(http1.Limits{})}
}

const maxPipelinedBytes = 1 << 20

// Feed takes bytes in.
func (c *BackendConn) Feed(now time.Duration, in []byte) {
	if c.busy {
		if c.pipelined = append(c.pipelined, in...); len(c.pipelined) > maxPipelinedBytes {
			c.Close = true
		}
		return
	}
	c.read(now, in)
}

func (c *BackendConn) read(now time.Duration, in []byte) {
	for !c.busy && !c.Close {
		n, part, err := c.reader.Feed(in)
		in = in[n:]
		if err != nil {
			c.Out = append(c.Out, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"...)
			c.Close = true
			return
		}
		switch part.Kind {
		case http1.More:
			return
		case http1.HeadEnd:
			c.head, c.body = part.Head, 0
			if part.Head.Continue && part.Head.Length != 0 {
				c.Out = append(c.Out, "HTTP/1.1 100 Continue\r\n\r\n"...)
			}
		case http1.Data:
			c.body += len(part.Data)
		case http1.End:
			c.requestComplete(now)
		}
	}
	c.pipelined = append(c.pipelined, in...)
}

// requestComplete takes a request to the box. Two fields let a client say what it asks of the stand-in: X-Request-Id names the
// request in the record, X-Work is the work in milliseconds.
func (c *BackendConn) requestComplete(now time.Duration) {
	if c.head.Path == "/load" { // a probe: no work to speak of
		if !c.backend.faulty(fault.Hang) && c.backend.stalledAt == 0 {
			c.respond(now, 200)
		} else {
			c.busy = true
		}
		return
	}
	j := &Job{conn: c, seq: c.seq}
	j.ID, _ = c.head.Get("X-Request-Id")
	j.Key, _ = c.head.Get("Idempotency-Key")
	if v, ok := c.head.Get("X-Work"); ok {
		if ms, err := strconv.ParseFloat(v, 64); err == nil && ms >= 0 && ms < 1e6 {
			j.RequestedWork = time.Duration(ms * float64(time.Millisecond))
		}
	}
	c.busy = true
	if status := c.backend.accept(now, j); status != 0 {
		c.respond(now, status)
	}
}

// Done answers a job that the box has finished.
func (c *BackendConn) Done(now time.Duration, j *Job) {
	if c.closed || j.seq != c.seq {
		return
	}
	c.respond(now, 200)
	if !c.Close && len(c.pipelined) > 0 {
		in := c.pipelined
		c.pipelined = nil
		c.read(now, in)
	}
}

var bodyFiller = func() []byte {
	b := make([]byte, 64<<10)
	for i := range b {
		b[i] = "clay and glaze, "[i%16]
	}
	return b
}()

func (c *BackendConn) respond(now time.Duration, status int) {
	c.busy = false
	c.seq++
	box := c.backend
	if box.faulty(fault.DropResponse) && status == 200 {
		c.Close = true
		return
	}
	at := len(c.Out)
	size := box.cfg.Body
	c.Out = http1.AppendStatus(c.Out, status, http1.StatusText(status))
	c.Out = append(c.Out, "Content-Type: text/plain\r\n"...)
	inFlight, use := box.loadReport(now)
	c.Out = append(c.Out, "endpoint-load-metrics: TEXT cpu_utilization="...)
	c.Out = strconv.AppendFloat(c.Out, use, 'f', 3, 64)
	c.Out = append(c.Out, ", named_metrics.in_flight="...)
	c.Out = strconv.AppendFloat(c.Out, inFlight, 'f', -1, 64)
	c.Out = append(c.Out, "\r\nX-Box: "...)
	c.Out = append(c.Out, box.cfg.Name...)
	c.Out = append(c.Out, '\r', '\n')
	if id, ok := c.head.Get("X-Request-Id"); ok { // so that a client can tell whose answer it got
		c.Out = http1.AppendField(c.Out, "X-Answers", id)
	}
	c.Out = http1.AppendLength(c.Out, int64(size))
	if c.head.Close {
		c.Close = true
		c.Out = append(c.Out, "Connection: close\r\n"...)
	}
	c.Out = append(c.Out, '\r', '\n')
	if c.head.Method != "HEAD" {
		for size > 0 {
			n := min(size, len(bodyFiller))
			c.Out = append(c.Out, bodyFiller[:n]...)
			size -= n
		}
	}
	if _, ok := box.faults[fault.ExtraResponse]; ok { // what follows an answer that nobody asked for
		c.Out = append(c.Out, "HTTP/1.1 200 OK\r\nX-Answers: nobody\r\nContent-Length: 0\r\n\r\n"...)
	}
	if after, ok := box.faults[fault.ResetResponse]; ok && status == 200 {
		c.Out = c.Out[:at+min(len(c.Out)-at, int(after))]
		c.Close, c.Abort = true, true
	}
}

// Closed tells that the connection is gone.
func (c *BackendConn) Closed() {
	if !c.closed {
		c.closed = true
		c.backend.dropQueued(c)
	}
}

// Busy tells that a request is in work or queued, so that the connection is not idle.
func (c *BackendConn) Busy() bool { return c.busy }

// Conn is the connection that a job came on.
func (j *Job) Conn() *BackendConn { return j.conn }
