package emulator

import (
	"bytes"
	"strconv"
	"time"

	"sandyard/fault"
	"sandyard/internal/http1"
)

// maxPipelinedBytes bounds how many bytes a client may send after a request in progress.
const maxPipelinedBytes = 1 << 20

// maxRequestedWork (milliseconds) bounds the work that a client may request in X-Work.
const maxRequestedWork = 1e6

// BackendConn is a connection to an emulated backend. It responds to one request at a time, in order.
type BackendConn struct {
	Out   []byte // output for the peer: the owner writes and truncates it
	Close bool   // the owner must close the connection once Out is written
	Abort bool   // with Close: by a reset

	backend   *Backend
	reader    *http1.Reader
	head      *http1.Head // of the current request
	busy      bool        // a request is in progress or queued
	pipelined []byte      // bytes received after that request
	seq       uint64      // number of the current request
	closed    bool
}

// NewConn returns a new connection.
func (b *Backend) NewConn() *BackendConn {
	return &BackendConn{backend: b, reader: http1.NewRequests(http1.Limits{})}
}

// Busy reports whether a request is in progress or queued, so that the connection is not idle.
func (c *BackendConn) Busy() bool { return c.busy }

// Feed processes bytes from the peer.
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
			c.head = part.Head
			if part.Head.Continue && part.Head.Length != 0 {
				c.Out = append(c.Out, "HTTP/1.1 100 Continue\r\n\r\n"...)
			}
		case http1.End:
			c.requestComplete(now)
		}
	}
	c.pipelined = append(c.pipelined, in...)
}

// requestComplete passes a complete request to the backend. Two header fields are for the emulator: X-Request-Id identifies
// the request in events, and X-Work is its work in milliseconds.
func (c *BackendConn) requestComplete(now time.Duration) {
	c.busy = true
	if c.head.Path == "/load" { // a health check: negligible work
		if !c.backend.hasFault(fault.Hang) && c.backend.stalledAt == 0 {
			c.respond(now, 200)
		}
		return
	}
	j := &Job{conn: c, seq: c.seq}
	j.ID, _ = c.head.Get("X-Request-Id")
	j.Key, _ = c.head.Get("Idempotency-Key")
	if v, ok := c.head.Get("X-Work"); ok {
		if ms, err := strconv.ParseFloat(v, 64); err == nil && ms >= 0 && ms < maxRequestedWork {
			j.RequestedWork = time.Duration(ms * float64(time.Millisecond))
		}
	}
	if status := c.backend.accept(now, j); status != 0 {
		c.respond(now, status)
	}
}

// Done responds to a job that the backend has finished.
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

// Closed tells the backend that the connection has been closed.
func (c *BackendConn) Closed() {
	if !c.closed {
		c.closed = true
		c.backend.dropQueued(c)
	}
}

// bodyFiller is the content of response bodies.
var bodyFiller = bytes.Repeat([]byte("clay and glaze, "), 4<<10)

// extraResponse is the unsolicited response that fault.ExtraResponse sends after a response.
const extraResponse = "HTTP/1.1 200 OK\r\nX-Answers: nobody\r\nContent-Length: 0\r\n\r\n"

// respond ends the current request with a response, or in the way that a fault defines.
func (c *BackendConn) respond(now time.Duration, status int) {
	c.busy = false
	c.seq++
	b := c.backend
	if b.hasFault(fault.DropResponse) && status == 200 {
		c.Close = true
		return
	}
	begin := len(c.Out)
	c.writeHead(now, status)
	if c.head.Method != "HEAD" {
		c.writeBody()
	}
	if b.hasFault(fault.ExtraResponse) {
		c.Out = append(c.Out, extraResponse...)
	}
	if after, ok := b.faults[fault.ResetResponse]; ok && status == 200 {
		c.Out = c.Out[:begin+min(len(c.Out)-begin, int(after))]
		c.Close, c.Abort = true, true
	}
}

// writeHead writes the head of a response with the load report, the backend's name and the id of the request. With the name
// and the id a client can verify which response it received.
func (c *BackendConn) writeHead(now time.Duration, status int) {
	out := http1.AppendStatus(c.Out, status, http1.StatusText(status))
	out = append(out, "Content-Type: text/plain\r\n"...)
	inFlight, utilization := c.backend.loadReport(now)
	out = append(out, "endpoint-load-metrics: TEXT cpu_utilization="...)
	out = strconv.AppendFloat(out, utilization, 'f', 3, 64)
	out = append(out, ", named_metrics.in_flight="...)
	out = strconv.AppendFloat(out, inFlight, 'f', -1, 64)
	out = append(out, "\r\nX-Box: "...)
	out = append(out, c.backend.config.Name...)
	out = append(out, '\r', '\n')
	if id, ok := c.head.Get("X-Request-Id"); ok {
		out = http1.AppendField(out, "X-Answers", id)
	}
	out = http1.AppendLength(out, c.statedLength())
	if c.head.Close {
		c.Close = true
		out = append(out, "Connection: close\r\n"...)
	}
	c.Out = append(out, '\r', '\n')
}

// statedLength returns the length of a response's body (bytes) as its head states it.
func (c *BackendConn) statedLength() int64 {
	length := int64(c.backend.config.BodySize)
	if c.backend.hasFault(fault.ShortLength) {
		length /= 2
	}
	return length
}

func (c *BackendConn) writeBody() {
	for size := c.backend.config.BodySize; size > 0; {
		n := min(size, len(bodyFiller))
		c.Out = append(c.Out, bodyFiller[:n]...)
		size -= n
	}
}
