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
	conn         *proxy.BackendConn // the instance's side
	cancel       context.CancelFunc // of the dial
	streamPermit chan bool          // buffered, capacity 1: whether the response that has started may stream, or is not wanted
	received     responseReceived   // the one that may be queued; of the reading goroutine until it is posted

	// mu guards all below, and what responses holds.
	mu        sync.Mutex
	responses *proxy.ResponseReader
	socket    *socket         // nil until the dial has succeeded
	exchange  *proxy.Exchange // whose response is awaited
	closed    bool            // closed by the event loop, or its end was posted: nothing more is posted
}

// dialBackend starts the goroutine of a new connection, which dials for limits.connect-timeout at most.
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

// dialTCP connects to an address (host:port). It blocks until ctx ends at most.
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

// run dials and reads until the connection ends.
func (bc *backendConn) run(ctx context.Context) {
	socket, err := dialTCP(ctx, bc.conn.Addr, time.Duration(bc.server.cfg.Limits.WriteTimeout))
	if !bc.begin(socket, err) {
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
}

// begin reports how the dial went, unless the event loop has closed the connection meanwhile. It reports whether there is a
// connection to read.
func (bc *backendConn) begin(socket *socket, err error) bool {
	bc.mu.Lock()
	if bc.closed || err != nil {
		reported := bc.closed
		bc.closed = true
		bc.mu.Unlock()
		if !reported {
			bc.postLostRequestIncomplete()
		}
		return false
	}
	bc.socket = socket
	bc.mu.Unlock()
	bc.server.post(backendConnected{bc.conn})
	return true
}

// readOnce waits for bytes and hands on what came of them; false ends the connection.
func (bc *backendConn) readOnce(socket *socket) bool {
	b, err := socket.read()
	bc.mu.Lock()
	if bc.closed {
		bc.mu.Unlock()
		return false
	}
	exchange := bc.exchange
	if exchange == nil { // its end, or bytes without a request: it is of no use, and awaits no response
		bc.closed = true
		bc.mu.Unlock()
		bc.postLostRequestIncomplete()
		return false
	}
	response := bc.parseLocked(b, err)
	bc.mu.Unlock()
	return bc.handOn(exchange, response) && err == nil
}

// parseLocked feeds what a read returned to the state machine, and ends the exchange where its response is over.
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
	switch response.Kind {
	case proxy.Complete, proxy.Ended, proxy.Malformed:
		bc.exchange = nil
		bc.closed = response.Kind == proxy.Malformed
		response.ReuseConn = response.ReuseConn && bc.socket.unwrittenBytes() == 0
	}
	return response
}

// handOn gives the event loop what it decides on, and the body of a streamed response to its client. It blocks while the
// event loop has not permitted the stream, and while the client has too much to take. False ends the connection.
func (bc *backendConn) handOn(exchange *proxy.Exchange, response proxy.Response) bool {
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
		} else { // not all of the request was handed to the kernel: see write
			bc.postLostRequestIncomplete()
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

// setStreamDeadline ends a stream from which nothing comes for limits.stream-silence.
func (bc *backendConn) setStreamDeadline() {
	bc.socket.conn.SetReadDeadline(time.Now().Add(time.Duration(bc.server.cfg.Limits.StreamIdleTimeout)))
}

func (bc *backendConn) postResponse(response proxy.Response) {
	bc.received = responseReceived{conn: bc.conn, response: response}
	bc.server.post(&bc.received)
}

func (bc *backendConn) postLostRequestIncomplete() {
	bc.server.post(backendLostRequestIncomplete{bc.conn})
}

// write sends a request. Only the event loop calls it; it never blocks. A connection with unread bytes, which would be
// taken for the response, or one that fails at once, before all of the request was handed to the kernel, is closed and
// reported by backendLostRequestIncomplete. The attempt is counted as not run, also where a part of the request went out:
// that assumes that backends act only on complete requests.
func (bc *backendConn) write(exchange *proxy.Exchange, request []byte) {
	bc.mu.Lock()
	if bc.closed { // its end is queued for the event loop, by backendLostRequestIncomplete
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
		bc.postLostRequestIncomplete()
		bc.socket.close()
	}
}

// close closes the connection, or ends its dial; nothing more is posted of it. Only the event loop calls it; it never
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
