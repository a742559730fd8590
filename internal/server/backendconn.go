package server

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"sandyard/proxy"
)

// backendConn is the TCP side of a connection to a backend. Its goroutine reads; the event loop writes and closes.
type backendConn struct {
	server       *Server
	conn         *proxy.BackendConn // the instance's state of the connection
	cancel       context.CancelFunc // of the dial
	streamPermit chan bool          // buffered, capacity 1: whether the response that has started may be streamed
	received     responseReceived   // the message that may be queued; used only by the reading goroutine until it is posted

	// mu guards all fields below and the state of responses.
	mu        sync.Mutex
	responses *proxy.ResponseReader
	socket    *socket         // nil until the dial has succeeded
	exchange  *proxy.Exchange // the exchange whose response is awaited
	closed    bool            // closed by the event loop, or the end of the connection was posted: nothing more is posted
	trailing  bool            // bytes were received that belong to no response
}

// dialBackend starts the goroutine of a new connection. The dial times out after limits.connect-timeout.
func (s *Server) dialBackend(conn *proxy.BackendConn) {
	ctx, cancel := context.WithTimeout(s.connectionsCtx, time.Duration(s.cfg.Limits.ConnectTimeout))
	bc := &backendConn{server: s, conn: conn, cancel: cancel, responses: proxy.NewResponseReader(s.shared),
		streamPermit: make(chan bool, 1)}
	conn.Owner = bc
	s.goroutines.Go(func() {
		defer cancel()
		bc.run(ctx)
	})
}

// dialTCP connects to an address (host:port). It blocks until the connection is established or ctx ends.
func dialTCP(ctx context.Context, addr string, writeTimeout time.Duration) (*socket, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := newSocket(conn.(*net.TCPConn), writeTimeout)
	if err != nil {
		conn.Close()
	}
	return socket, err
}

// run dials the backend and reads until the connection ends.
func (bc *backendConn) run(ctx context.Context) {
	socket, err := dialTCP(ctx, bc.conn.Addr, time.Duration(bc.server.cfg.Limits.WriteTimeout))
	if !bc.handleDialResult(socket, err) {
		if err == nil {
			socket.close()
		}
		return
	}
	defer socket.close()
	defer socket.releaseBuffer()
	stop := context.AfterFunc(bc.server.connectionsCtx, socket.close)
	defer stop()
	for bc.readOnce(socket) {
	}
	bc.recordTrailingBytes()
}

// handleDialResult posts the result of the dial, unless the event loop has closed the connection in the meantime. It reports
// whether the connection is established and must be read.
func (bc *backendConn) handleDialResult(socket *socket, err error) bool {
	bc.mu.Lock()
	if bc.closed || err != nil {
		closedBefore := bc.closed
		bc.closed = true
		bc.mu.Unlock()
		if !closedBefore {
			bc.postDisconnected()
		}
		return false
	}
	bc.socket = socket
	bc.mu.Unlock()
	bc.server.post(backendConnected{bc.conn})
	return true
}

// readOnce waits for bytes and handles the result of the read. It returns false if the connection must be closed.
func (bc *backendConn) readOnce(socket *socket) bool {
	b, err := socket.read()
	bc.mu.Lock()
	if bc.closed {
		bc.mu.Unlock()
		return false
	}
	exchange := bc.exchange
	if exchange == nil { // the end of an idle connection, or bytes without a request: it cannot be used any more
		bc.closed = true
		bc.trailing = len(b) > 0
		bc.mu.Unlock()
		bc.postDisconnected()
		return false
	}
	response := bc.parseLocked(b, err)
	bc.mu.Unlock()
	return bc.handleResponse(exchange, response) && err == nil
}

// parseLocked passes the result of a read to the state machine, and clears the exchange when its response has ended.
func (bc *backendConn) parseLocked(b []byte, err error) proxy.Response {
	var response proxy.Response
	switch err {
	case nil:
		response = bc.responses.Feed(b)
	case io.EOF:
		response = bc.responses.EOF()
	default:
		response = bc.responses.ConnectionLost()
	}
	if response.Kind == proxy.Ended && hasUnreadBytes(bc.socket) { // its last bytes are not forwarded yet
		response = response.WithTrailingBytes()
	}
	switch response.Kind {
	case proxy.Complete, proxy.Ended, proxy.Malformed:
		bc.exchange = nil
		bc.closed = response.Kind == proxy.Malformed
		bc.trailing = response.TrailingBytes
		response.ReuseConn = response.ReuseConn && bc.socket.unwrittenBytes() == 0
	}
	return response
}

// hasTrailingBytes reports whether more bytes have arrived since the last response was parsed. Only the event loop calls it,
// right before the response is forwarded; it does not wait.
func (bc *backendConn) hasTrailingBytes() bool {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	bc.trailing = bc.trailing || hasUnreadBytes(bc.socket)
	return bc.trailing
}

// recordTrailingBytes records that the connection has ended after bytes that belong to no response, if so.
func (bc *backendConn) recordTrailingBytes() {
	bc.mu.Lock()
	trailing := bc.trailing
	bc.mu.Unlock()
	if trailing {
		bc.server.recordTrailingBytes(bc.conn.Addr)
	}
}

// handleResponse posts a response to the event loop, or passes the body of a streamed response to its client. It blocks until
// the event loop permits a stream, and while too many bytes are buffered for the client. It returns false if the connection
// must be closed.
func (bc *backendConn) handleResponse(exchange *proxy.Exchange, response proxy.Response) bool {
	switch response.Kind {
	case proxy.Complete:
		bc.postResponse(response)
	case proxy.Started:
		bc.postResponse(response)
		if !bc.waitForStreamPermit() {
			return false
		}
		bc.setStreamDeadline()
	case proxy.Continued:
		exchange.Owner.(*clientConn).continueStream(bc.server.now(), exchange, response.Bytes)
		bc.setStreamDeadline()
	case proxy.Ended:
		bc.socket.conn.SetReadDeadline(time.Time{})
		exchange.Owner.(*clientConn).endStream(bc.server.now(), exchange, response.Bytes)
		bc.postResponse(response)
	case proxy.Malformed:
		if bc.socket.closeAndFlushed() {
			bc.postResponse(response)
		} else { // not all of the request was handed to the kernel; see write
			bc.postDisconnected()
		}
		return false
	}
	return true
}

func (bc *backendConn) waitForStreamPermit() bool {
	select {
	case permitted := <-bc.streamPermit:
		return permitted
	case <-bc.server.connectionsCtx.Done():
		return false
	}
}

// setStreamDeadline sets a read deadline that ends a stream if the backend sends nothing for limits.stream-silence.
func (bc *backendConn) setStreamDeadline() {
	bc.socket.conn.SetReadDeadline(time.Now().Add(time.Duration(bc.server.cfg.Limits.StreamIdleTimeout)))
}

func (bc *backendConn) postResponse(response proxy.Response) {
	bc.received = responseReceived{conn: bc.conn, response: response}
	bc.server.post(&bc.received)
}

func (bc *backendConn) postDisconnected() {
	bc.server.post(backendDisconnected{bc.conn})
}

// write sends a request. Only the event loop calls it; it never blocks. If the connection has unread bytes, which would be
// taken for the response, or fails before all of the request was handed to the kernel, it is closed and reported by
// backendDisconnected. The attempt then counts as not run, even if a part of the request was sent. This assumes that backends
// act only on complete requests.
func (bc *backendConn) write(exchange *proxy.Exchange, request []byte) {
	bc.mu.Lock()
	if bc.closed { // backendDisconnected is queued for the event loop
		bc.mu.Unlock()
		return
	}
	incomplete := bc.socket.consumeUnexpectedByte()
	if !incomplete {
		bc.responses.Expect(exchange)
		bc.exchange = exchange
		incomplete = bc.socket.write(request)
	}
	bc.closed = incomplete
	bc.mu.Unlock()
	if incomplete {
		bc.postDisconnected()
		bc.socket.close()
	}
}

// close closes the connection or cancels its dial. Nothing more is posted about it. Only the event loop calls it; it never
// blocks.
func (bc *backendConn) close() {
	bc.mu.Lock()
	bc.closed, bc.exchange = true, nil
	socket := bc.socket
	bc.mu.Unlock()
	bc.cancel()
	select {
	case bc.streamPermit <- false:
	default:
	}
	if socket != nil {
		socket.close()
	}
}
