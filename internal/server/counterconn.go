package server

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxUnwrittenCounterBytes (4 MiB) is how many unwritten bytes of calls are buffered for a counter: far more than are sent
	// within its timeout. Beyond it the connection is closed.
	maxUnwrittenCounterBytes = 4 << 20
	// minCounterDialTimeout is a lower bound on the dial timeout of the counter. A short limits.connect-timeout is meant for
	// nearby backends and must not cut off a counter that is farther away.
	minCounterDialTimeout = time.Second
)

// counterConn is the TCP side of a connection to the shared counter. Its goroutine reads; the event loop writes and closes.
type counterConn struct {
	server *Server
	cancel context.CancelFunc // of the dial

	mu     sync.Mutex // guards all fields below
	socket *socket    // nil until the dial has succeeded
	closed bool       // closed by the event loop
}

// dialCounter starts the goroutine of a new connection, which replaces the previous one. Only the event loop calls it.
func (s *Server) dialCounter(addr string) {
	timeout := max(minCounterDialTimeout, time.Duration(s.cfg.Limits.ConnectTimeout))
	ctx, cancel := context.WithTimeout(s.connectionsCtx, timeout)
	c := &counterConn{server: s, cancel: cancel}
	s.counter = c
	s.goroutines.Go(func() {
		defer cancel()
		c.run(ctx, addr)
	})
}

// run dials the counter and reads until the connection ends. It posts the end even after close; the event loop then drops the
// message.
func (c *counterConn) run(ctx context.Context, addr string) {
	defer c.server.post(counterDisconnected{c})
	socket, err := dialTCP(ctx, addr, time.Duration(c.server.cfg.Limits.WriteTimeout))
	if err != nil {
		return
	}
	defer socket.close()
	defer socket.releaseBuffer()
	c.mu.Lock()
	closed := c.closed
	c.socket = socket
	c.mu.Unlock()
	if closed {
		return
	}
	c.server.post(counterConnected{c})
	c.server.log.Info("keeper connected", "addr", addr)
	for {
		b, err := socket.read()
		if err != nil {
			return
		}
		c.server.post(&counterReceived{conn: c, bytes: slices.Clone(b)})
	}
}

// write writes calls. Only the event loop calls it, after counterConnected; it never blocks. If the counter does not read, the
// connection is closed once more than maxUnwrittenCounterBytes are buffered.
func (c *counterConn) write(calls []byte) {
	c.mu.Lock()
	socket := c.socket
	c.mu.Unlock()
	if socket.write(calls) || socket.unwrittenBytes() > maxUnwrittenCounterBytes {
		socket.close()
	}
}

// close closes the connection or cancels its dial. Only the event loop calls it; it never blocks.
func (c *counterConn) close() {
	c.mu.Lock()
	c.closed = true
	socket := c.socket
	c.mu.Unlock()
	c.cancel()
	if socket != nil {
		socket.close()
	}
}
