package server

import (
	"net"
	"sync"
	"time"

	"sandyard/internal/tcpinfo"
	"sandyard/proxy"
)

const (
	// lingeringCloseTimeout is how long the server reads from a client that still sends after the last response to it:
	// several round trips, also on a slow network.
	lingeringCloseTimeout = time.Second
	// maxLingeringCloseBytes (256 KiB) bounds what is read in that time: what a client may have in flight on a typical network.
	maxLingeringCloseBytes = 256 << 10
	// maxUnwrittenClientBytes (64 KiB) is how many unwritten bytes are buffered for a slow client before a streamed response
	// pauses.
	maxUnwrittenClientBytes = 64 << 10
	// maxUnwrittenBeforeRead (4 KiB) is how many unwritten bytes are buffered for a slow client before its further requests are
	// not read. Without the bound, hundreds of clients that don't read would each hold a stream's buffer of small responses.
	maxUnwrittenBeforeRead = 4 << 10
	// maxIdleOutputBytes (16 KiB) is the largest output buffer that a connection keeps between responses. Without the bound,
	// thousands of idle connections would each hold the memory of their largest response.
	maxIdleOutputBytes = 16 << 10
)

// expiredDeadline is a read deadline that has passed: it ends the read in progress and all later ones at once.
var expiredDeadline = time.Unix(1, 0)

// clientConn is the TCP side of a client connection. Its own goroutine, the reader, reads, and writes the responses that the
// state machine of the connection creates, for example at a deadline. The event loop writes the other responses, together with
// the reader of the backend connection if the response is streamed. After a slow client has accepted the buffered bytes, the
// socket's flush goroutine continues (resumeAfterFlush).
//
// Until the end of a shutdown (closeClients), only the reader closes the connection: closing a socket with unread bytes resets
// the connection, and the client may then lose the last response. Other goroutines call requestClose.
type clientConn struct {
	server *Server
	socket *socket

	// mu guards all fields below and the state of client.
	mu             sync.Mutex
	readable       sync.Cond // on mu: signalled when the reader may continue
	client         *proxy.ClientConn
	readDeadline   time.Duration // the deadline set on the socket; 0: none
	closed         bool          // the last bytes are written, or the client has disconnected: the reader must close the socket
	linger         bool          // with closed: the reader first reads and discards input, for lingeringCloseTimeout
	closeRequested bool          // the reader must close the connection if no part of a request has been read
	evicted        bool          // the reader closes the connection without lingering, to make room for a new client
	localResponses int           // since the reader's last read
}

// newClientConn creates the clientConn of an accepted connection. The caller starts run.
func (s *Server) newClientConn(conn *net.TCPConn) (*clientConn, error) {
	socket, err := newSocket(conn, time.Duration(s.cfg.Limits.WriteTimeout))
	if err != nil {
		return nil, err
	}
	cc := &clientConn{server: s, socket: socket}
	cc.readable.L = &cc.mu
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	cc.client = proxy.NewClientConn(s.shared, cc, host, s.now())
	socket.onFlushed = cc.resumeAfterFlush
	return cc, nil
}

// run reads until the connection ends, and closes it.
func (cc *clientConn) run() {
	defer cc.socket.releaseBuffer()
	defer cc.socket.close()
	for {
		if cc.prepareRead() {
			cc.closeGracefully()
			return
		}
		b, err := cc.socket.read()
		if !cc.handleRead(b, err) {
			return
		}
		if cc.needsPause() {
			cc.server.pacer.pause(cc.server.connectionsCtx)
		}
	}
}

// needsPause reports whether the last read has led to many local responses. While a response of the instance is awaited, the
// connection is read without a pause, so that a disconnect is detected.
func (cc *clientConn) needsPause() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	many := cc.localResponses > maxUnpacedResponses && !cc.client.AwaitingResponse() && !cc.closed
	cc.localResponses = 0
	return many
}

// prepareRead waits while more than maxUnwrittenBeforeRead bytes are buffered for the client, sets the read deadline, and reports
// whether the connection must be closed instead of read.
func (cc *clientConn) prepareRead() (closed bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for cc.socket.unwrittenBytes() > maxUnwrittenBeforeRead && !cc.closed && !cc.socket.closedOrFailed() {
		cc.readable.Wait()
	}
	cc.setReadDeadline()
	return cc.closed
}

// handleRead passes the result of a read to the state machine. It returns false if the connection has ended.
func (cc *clientConn) handleRead(b []byte, err error) bool {
	now := cc.server.now()
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch {
	case err == nil:
		cc.advance(now, cc.client.FeedReceived(now, now-tcpinfo.InputAge(cc.socket.raw), b))
	case isTimeout(err) && !cc.socket.closedOrFailed() && cc.closeRequested && !cc.closed:
		cc.closeIfIdle(now)
	case isTimeout(err) && !cc.socket.closedOrFailed():
		cc.readDeadline = 0
		cc.server.expiredReads.Add(1)
		cc.socket.clearReadDeadline() // an expired deadline would end every further read at once
		cc.client.DeadlinePassed(now)
		cc.advance(now, nil)
	default:
		cc.closed = true
		if exchange := cc.client.Disconnected(); exchange != nil {
			cc.server.post(clientLeft{exchange})
		}
		return false
	}
	return true
}

// closeIfIdle closes a connection after requestClose if no part of a request has been read. It first reads what has arrived:
// a request that arrived before the close is answered. Only the reader calls it, with mu held, so that no bytes are read and
// then discarded.
func (cc *clientConn) closeIfIdle(now time.Duration) {
	cc.closeRequested, cc.readDeadline = false, 0
	cc.socket.clearReadDeadline()
	if !cc.client.Idle() {
		cc.evicted = false
		cc.advance(now, nil)
		return
	}
	if b := cc.socket.readAvailable(); len(b) > 0 {
		cc.evicted = false
		cc.advance(now, cc.client.FeedReceived(now, now-tcpinfo.InputAge(cc.socket.raw), b))
		return
	}
	cc.client.Drain()
	cc.advance(now, nil)
}

// closeGracefully closes the sending side and then reads and discards what the client still sends, within
// lingeringCloseTimeout and maxLingeringCloseBytes. After that run closes the connection. If a response was aborted, the
// connection is reset instead: the client must not mistake the close for the end of a response without a length.
func (cc *clientConn) closeGracefully() {
	cc.mu.Lock()
	linger := cc.linger && !cc.evicted
	reset := cc.client.MustReset()
	cc.mu.Unlock()
	if reset {
		cc.socket.conn.SetLinger(0)
		return
	}
	cc.socket.conn.CloseWrite()
	if !linger || cc.socket.closedOrFailed() {
		return
	}
	cc.socket.conn.SetReadDeadline(time.Now().Add(lingeringCloseTimeout))
	for left := maxLingeringCloseBytes; left > 0; {
		b, err := cc.socket.read()
		if err != nil {
			return
		}
		left -= len(b)
	}
}

// setReadDeadline sets the socket's read deadline if none is set or the one that is set is too late. One that is too early
// stays: when it passes, handleRead sets the next. A busy connection thus does not set a deadline for each request. The
// caller holds mu.
func (cc *clientConn) setReadDeadline() {
	deadline := cc.client.Deadline()
	if deadline != 0 && !cc.closeRequested && (cc.readDeadline == 0 || cc.readDeadline > deadline) {
		cc.readDeadline = deadline
		cc.socket.conn.SetReadDeadline(cc.server.clockOrigin().Add(deadline))
	}
}

// advance posts a request that the state machine has read completely, writes the state machine's output, and continues with
// pipelined requests, until nothing is left to do or the client is slow to accept the output. The caller holds mu.
func (cc *clientConn) advance(now time.Duration, request *proxy.Exchange) {
	for {
		if request != nil {
			if cc.server.postRequest(request) {
				break
			}
			cc.client.RejectOverload(now, request)
		}
		cc.writeOutput()
		cc.logLocalResponses()              // after the write: a blocked log must not delay the response
		if cc.socket.unwrittenBytes() > 0 { // resumeAfterFlush continues
			break
		}
		if cc.beginCloseIfFinished() {
			return
		}
		request = cc.client.Resume(now)
		if request == nil && len(cc.client.Outgoing) == 0 {
			if cc.beginCloseIfFinished() {
				return
			}
			break
		}
	}
	cc.setReadDeadline()
	cc.readable.Signal()
}

// logLocalResponses counts and logs the local responses, which the connection sent without involving the instance. The caller holds mu.
func (cc *clientConn) logLocalResponses() {
	cc.localResponses += len(cc.client.LocalStatuses)
	if cc.server.debug {
		for _, status := range cc.client.LocalStatuses {
			cc.server.log.Debug("answer", "status", status, "client", cc.socket.conn.RemoteAddr().String())
		}
	}
	cc.client.LocalStatuses = cc.client.LocalStatuses[:0]
}

// writeOutput writes the state machine's output to the client. The caller holds mu.
func (cc *clientConn) writeOutput() {
	if len(cc.client.Outgoing) == 0 {
		return
	}
	cc.socket.write(cc.client.Outgoing)
	cc.client.Outgoing = cc.client.Outgoing[:0]
	if cap(cc.client.Outgoing) > maxIdleOutputBytes {
		cc.client.Outgoing = nil
	}
}

// beginCloseIfFinished reports whether the connection is finished. If so, it ends the read in progress or the wait in
// prepareRead, so that the reader closes the connection. The caller holds mu, and no bytes are unwritten.
func (cc *clientConn) beginCloseIfFinished() bool {
	closing, linger := cc.client.Closing()
	if !closing || len(cc.client.Outgoing) > 0 {
		return false
	}
	if !cc.closed {
		cc.closed, cc.linger = true, linger
		cc.socket.conn.SetReadDeadline(expiredDeadline)
		cc.readable.Signal()
	}
	return true
}

// resumeAfterFlush continues with pipelined requests after a slow client has accepted the buffered bytes, or wakes the reader
// if the connection has failed. The socket's flush goroutine calls it.
func (cc *clientConn) resumeAfterFlush() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.socket.closedOrFailed() {
		cc.server.log.Debug("client took too long, or went", "client", cc.socket.conn.RemoteAddr().String())
		cc.readable.Signal()
		return
	}
	cc.advance(cc.server.now(), nil)
}

// respond writes a complete response. It returns false if the exchange already has a response or its client has disconnected.
// closeAfterResponse says that the response's head announces the close of the connection. It does not block.
func (cc *clientConn) respond(now time.Duration, exchange *proxy.Exchange, response []byte, closeAfterResponse bool) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	responded := cc.client.Respond(now, exchange, response, closeAfterResponse)
	cc.advance(now, nil)
	return responded
}

// startStream writes the beginning of a streamed response. closeAfterResponse says that the close of the connection marks the
// end of the response. It does not block.
func (cc *clientConn) startStream(now time.Duration, exchange *proxy.Exchange, beginning []byte, closeAfterResponse bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.client.BeginResponse(exchange, beginning, closeAfterResponse)
	cc.advance(now, nil)
}

// continueStream writes the next part of a streamed response, and blocks while maxUnwrittenClientBytes or more are buffered
// for the client: the backend connection is not read in that time. The reader of the backend connection calls it.
func (cc *clientConn) continueStream(now time.Duration, exchange *proxy.Exchange, part []byte) {
	cc.mu.Lock()
	cc.client.ContinueResponse(exchange, part)
	cc.advance(now, nil)
	cc.mu.Unlock()
	cc.socket.waitUnwrittenBelow(maxUnwrittenClientBytes)
}

// endStream writes the end of a streamed response. It does not block.
func (cc *clientConn) endStream(now time.Duration, exchange *proxy.Exchange, end []byte) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.client.EndResponse(now, exchange, end)
	cc.advance(now, nil)
}

// abortStream closes the client connection of a streamed response that was aborted. It does not block.
func (cc *clientConn) abortStream(now time.Duration, exchange *proxy.Exchange) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.client.AbortResponse(exchange)
	cc.advance(now, nil)
}

// requestClose tells the reader to close the connection if it is idle. A request that arrives before the close is answered.
// Any goroutine may call it; it does not block.
func (cc *clientConn) requestClose() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.requestCloseLocked()
}

func (cc *clientConn) requestCloseLocked() {
	if cc.client.Idle() && !cc.closed && !cc.closeRequested {
		cc.closeRequested = true
		cc.socket.conn.SetReadDeadline(expiredDeadline)
	}
}
