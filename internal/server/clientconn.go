package server

import (
	"net"
	"sync"
	"time"

	"sandyard/internal/tcpinfo"
	"sandyard/proxy"
)

const (
	// lingeringCloseTimeout is how long a client that still sends is read after its last response: some round trips.
	lingeringCloseTimeout = time.Second
	// maxLingeringCloseBytes (256 KiB) bounds what is read then: what a client may have under way on a usual network.
	maxLingeringCloseBytes = 256 << 10
	// maxUnwrittenClientBytes (64 KiB) is what is kept for a client that has not taken it. A streamed response pauses
	// there, and so does the reading of further requests.
	maxUnwrittenClientBytes = 64 << 10
	// maxIdleOutputBytes (16 KiB) is the largest output buffer that a connection keeps between responses; thousands of idle
	// connections would hold the memory of their largest response otherwise.
	maxIdleOutputBytes = 16 << 10
)

// inThePast is a read deadline that ends a read at once, and all that follow.
var inThePast = time.Unix(1, 0)

// clientConn is the TCP side of a client's connection. Its goroutine reads; whoever has something for the client (the
// event loop, the reader of a backend that streams) writes.
//
// Only the reader ends it: closing over bytes that were not read is a reset, which can take the last response along.
// Others ask for the end by requestClose.
type clientConn struct {
	server *Server
	socket *socket

	// mu guards all below, and what client holds.
	mu             sync.Mutex
	readable       sync.Cond // on mu: signalled when reading may go on
	client         *proxy.ClientConn
	readDeadline   time.Duration // that is set at the socket; 0: none
	closed         bool          // the last bytes are written, or the client has left: the reader is to close the socket
	lingers        bool          // with closed: the reader first reads and drops what comes, for lingeringCloseTimeout
	closeRequested bool          // the reader is to close the connection if no part of a request has been read
	evicted        bool          // the reader closes it without lingering, to make room for a new client
}

// newClientConn sets up an accepted connection; its run has not begun.
func (s *Server) newClientConn(conn *net.TCPConn) (*clientConn, error) {
	socket, err := newSocket(conn, time.Duration(s.cfg.Limits.WriteTimeout))
	if err != nil {
		return nil, err
	}
	cc := &clientConn{server: s, socket: socket}
	cc.readable.L = &cc.mu
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	cc.client = proxy.NewClientConn(s.shared, cc, host, s.now())
	socket.onFlushed = cc.flushed
	return cc, nil
}

// run reads until the connection is over. It owns the connection's end.
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
	}
}

// prepareRead waits while more than maxUnwrittenClientBytes are kept for the client, sets the read deadline, and reports
// whether the connection is to be closed instead of read.
func (cc *clientConn) prepareRead() (closed bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for cc.socket.unwrittenBytes() > maxUnwrittenClientBytes && !cc.closed && !cc.socket.closedOrFailed() {
		cc.readable.Wait()
	}
	cc.setReadDeadline()
	return cc.closed
}

// handleRead feeds what a read returned to the state machine; false: the client has disconnected.
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
		cc.socket.clearReadDeadline() // a deadline that has passed would end every read from now on at once
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

// closeIfIdle ends a connection that was asked to end, if no part of a request has been read by now. What has come and is
// unread is read first: a request that came before the end is answered. mu is held, and the reader calls it, so that
// nothing is read and then dropped.
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

// closeGracefully shuts the sending side and reads what the client still sends, within lingeringCloseTimeout and
// maxLingeringCloseBytes. run closes the connection then. One whose response broke off is reset: the client must not take
// the end for that of a response without a length.
func (cc *clientConn) closeGracefully() {
	cc.mu.Lock()
	lingers := cc.lingers && !cc.evicted
	resets := cc.client.MustReset()
	cc.mu.Unlock()
	if resets {
		cc.socket.conn.SetLinger(0)
		return
	}
	cc.socket.conn.CloseWrite()
	if !lingers || cc.socket.closedOrFailed() {
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

// setReadDeadline sets the read deadline when the one that is set would come too late. One that comes too early ends a
// read, and handleRead sets the next: so a busy connection sets none from request to request. mu is held.
func (cc *clientConn) setReadDeadline() {
	deadline := cc.client.Deadline()
	if deadline != 0 && !cc.closeRequested && (cc.readDeadline == 0 || cc.readDeadline > deadline) {
		cc.readDeadline = deadline
		cc.socket.conn.SetReadDeadline(cc.server.clockOrigin().Add(deadline))
	}
}

// advance posts a request that the state machine has completed, writes what it has for the client, and goes on with
// requests that came ahead, until nothing is left to do or the client takes no more. mu is held.
func (cc *clientConn) advance(now time.Duration, request *proxy.Exchange) {
	for {
		if request != nil {
			if cc.server.postRequest(request) {
				break
			}
			cc.client.RejectOverload(now, request)
		}
		cc.writeOutput()
		cc.logOwnResponses()                // a log that is held up must not hold up the response
		if cc.socket.unwrittenBytes() > 0 { // flushed goes on
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

// logOwnResponses logs the responses that the connection has given without the instance. mu is held.
func (cc *clientConn) logOwnResponses() {
	if cc.server.debug {
		for _, status := range cc.client.LocalStatuses {
			cc.server.log.Debug("answer", "status", status, "client", cc.socket.conn.RemoteAddr().String())
		}
	}
	cc.client.LocalStatuses = cc.client.LocalStatuses[:0]
}

// writeOutput writes what the state machine has for the client. mu is held.
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

// beginCloseIfFinished reports whether the connection is over, and then ends the read under way, or prepareRead's wait, so
// that the reader closes it. mu is held, and nothing is unwritten.
func (cc *clientConn) beginCloseIfFinished() bool {
	closes, lingers := cc.client.Closing()
	if !closes || len(cc.client.Outgoing) > 0 {
		return false
	}
	if !cc.closed {
		cc.closed, cc.lingers = true, lingers
		cc.socket.conn.SetReadDeadline(inThePast)
		cc.readable.Signal()
	}
	return true
}

// flushed goes on once a slow client has taken what was kept for it. The socket's flusher calls it.
func (cc *clientConn) flushed() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.socket.closedOrFailed() {
		cc.server.log.Debug("client took too long, or went", "client", cc.socket.conn.RemoteAddr().String())
		cc.readable.Signal()
		return
	}
	cc.advance(cc.server.now(), nil)
}

// respond writes a whole response, and reports false for an exchange that has one, or whose client has left. closes says that
// its head announces the connection's end. It does not block.
func (cc *clientConn) respond(now time.Duration, exchange *proxy.Exchange, response []byte, closes bool) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	responded := cc.client.Respond(now, exchange, response, closes)
	cc.advance(now, nil)
	return responded
}

// startStream writes the beginning of a streamed response. closes says that only the connection's end can end it. It does
// not block.
func (cc *clientConn) startStream(now time.Duration, exchange *proxy.Exchange, beginning []byte, closes bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.client.BeginResponse(exchange, beginning, closes)
	cc.advance(now, nil)
}

// continueStream writes more of a streamed response, and blocks while the client has maxUnwrittenClientBytes or more to
// take: the backend's connection is not read meanwhile. The reader of that connection calls it.
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

// abortStream ends the connection of a streamed response that broke off. It does not block.
func (cc *clientConn) abortStream(now time.Duration, exchange *proxy.Exchange) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.client.AbortResponse(exchange)
	cc.advance(now, nil)
}

// requestClose asks the reader to close the connection if it is idle. A request that comes before that is answered. Any
// goroutine may call it; it does not block.
func (cc *clientConn) requestClose() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.requestCloseLocked()
}

func (cc *clientConn) requestCloseLocked() {
	if cc.client.Idle() && !cc.closed && !cc.closeRequested {
		cc.closeRequested = true
		cc.socket.conn.SetReadDeadline(inThePast)
	}
}
