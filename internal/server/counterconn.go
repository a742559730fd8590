package server

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxUnwrittenCounterBytes (4 MiB) is how many bytes of calls a counter may leave untaken: far more than are under way
	// in any interval of its time-out. The connection is closed there.
	maxUnwrittenCounterBytes = 4 << 20
	// minCounterDialTimeout keeps a short limits.connect-timeout, meant for backends nearby, from cutting off a counter
	// that is further away.
	minCounterDialTimeout = time.Second
)

// counterConn is the TCP side of a connection to the shared counter. Its goroutine reads; the event loop writes and closes.
type counterConn struct {
	server *Server
	cancel context.CancelFunc // of the dial

	mu     sync.Mutex // guards all below
	socket *socket    // nil until the dial has succeeded
	closed bool       // by the event loop
}

// dialCounter starts the goroutine of a new connection, which takes the place of the one before. Only the event loop
// calls it.
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

// run dials and reads until the connection ends. Its end is posted also after close: the event loop drops it then.
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

// write writes calls. Only the event loop calls it, after counterConnected; it never blocks. A counter that takes nothing is
// disconnected.
func (c *counterConn) write(calls []byte) {
	c.mu.Lock()
	socket := c.socket
	c.mu.Unlock()
	if socket.write(calls) || socket.unwrittenBytes() > maxUnwrittenCounterBytes {
		socket.close()
	}
}

// close closes the connection, or ends its dial. Only the event loop calls it; it never blocks.
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
