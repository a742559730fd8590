package server

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"sandyard/proxy"
)

// backendConn is a connection to a box. Whoever holds mu owns the machine.
type backendConn struct {
	server       *Server
	conn         *proxy.BackendConn
	cancel       context.CancelFunc
	streamPermit chan bool // a begun answer may flow, or is not wanted

	mu        sync.Mutex
	responses *proxy.ResponseReader
	socket    *socket
	exchange  *proxy.Exchange // whose answer is awaited
	closed    bool            // closed, or its end was told
}

func (s *Server) dialBackend(conn *proxy.BackendConn) {
	ctx, cancel := context.WithTimeout(s.connectionsCtx, time.Duration(s.cfg.Limits.ConnectTimeout))
	lc := &backendConn{server: s, conn: conn, cancel: cancel, responses: proxy.NewResponseReader(s.shared), streamPermit: make(chan bool, 1)}
	conn.Owner = lc
	s.goroutines.Go(func() error {
		defer cancel()
		lc.run(ctx)
		return nil
	})
}

// dialTCP connects, and hands over what can be written without blocking.
func dialTCP(ctx context.Context, addr string, timeout time.Duration) (*socket, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := newSocket(conn.(*net.TCPConn), timeout)
	if err != nil {
		conn.Close()
	}
	return socket, err
}

func (lc *backendConn) run(ctx context.Context) {
	socket, err := dialTCP(ctx, lc.conn.Addr, time.Duration(lc.server.cfg.Limits.WriteTimeout))
	lc.mu.Lock()
	if lc.closed || err != nil {
		reported := lc.closed
		lc.closed = true
		lc.mu.Unlock()
		if !reported {
			lc.server.post(post{kind: lineDown, line: lc.conn, unsent: true})
		}
		if err == nil {
			socket.close()
		}
		return
	}
	lc.socket = socket
	lc.mu.Unlock()
	lc.server.post(post{kind: lineUp, line: lc.conn})
	defer socket.close()
	defer socket.releaseBuffer()
	for lc.readOnce(socket) {
	}
}

// readOnce reads once and hands on what came; false ends the connection.
func (lc *backendConn) readOnce(socket *socket) bool {
	b, err := socket.read()
	lc.mu.Lock()
	if lc.closed {
		lc.mu.Unlock()
		return false
	}
	ex := lc.exchange
	if ex == nil { // its end, or bytes that nobody asked for: it is of no use, and nothing of a request was written
		lc.closed = true
		lc.mu.Unlock()
		lc.server.post(post{kind: lineDown, line: lc.conn, unsent: true})
		return false
	}
	var response proxy.Response
	switch {
	case err == nil:
		response = lc.responses.Feed(b)
	case err == io.EOF:
		response = lc.responses.EOF()
	default:
		response = lc.responses.ConnectionLost()
	}
	if response.Kind == proxy.Complete || response.Kind == proxy.Ended || response.Kind == proxy.Malformed {
		lc.exchange = nil
		response.ReuseConn = response.ReuseConn && socket.unwrittenBytes() == 0
	}
	if response.Kind == proxy.Malformed {
		lc.closed = true
	}
	lc.mu.Unlock()
	switch response.Kind {
	case proxy.NeedMore:
	case proxy.Complete:
		lc.server.post(post{kind: answer, line: lc.conn, answer: response})
	case proxy.Started:
		lc.server.post(post{kind: answer, line: lc.conn, answer: response})
		select {
		case ok := <-lc.streamPermit:
			if !ok {
				return false
			}
		case <-lc.server.connectionsCtx.Done():
			return false
		}
		socket.conn.SetReadDeadline(time.Now().Add(time.Duration(lc.server.cfg.Limits.StreamIdleTimeout)))
	case proxy.Continued:
		ex.Owner.(*clientConn).relayBody(lc.server.now(), ex, response.Bytes, false, false)
		socket.conn.SetReadDeadline(time.Now().Add(time.Duration(lc.server.cfg.Limits.StreamIdleTimeout)))
	case proxy.Ended:
		socket.conn.SetReadDeadline(time.Time{})
		ex.Owner.(*clientConn).relayBody(lc.server.now(), ex, response.Bytes, true, false)
		lc.server.post(post{kind: answer, line: lc.conn, answer: response})
	case proxy.Malformed:
		if !socket.closeAndFlushed() { // the request's last byte never went out: the box can't have begun on it
			lc.server.post(post{kind: lineDown, line: lc.conn, unsent: true})
			return false
		}
		lc.server.post(post{kind: answer, line: lc.conn, answer: response})
		return false
	}
	return err == nil
}

// write sends a request; it never blocks. A line on which something lies to be read, which would be taken for the answer,
// or on which not all of the request goes out, is of no use: the box can't have begun.
func (lc *backendConn) write(ex *proxy.Exchange, request []byte) {
	lc.mu.Lock()
	if lc.closed { // its end is on its way to the core, as that of a line on which nothing was sent
		lc.mu.Unlock()
		return
	}
	notSent := !lc.socket.nothingToRead()
	if !notSent {
		lc.responses.Expect(ex)
		lc.exchange = ex
		notSent = lc.socket.write(request)
	}
	lc.closed = notSent
	lc.mu.Unlock()
	if notSent {
		lc.server.post(post{kind: lineDown, line: lc.conn, unsent: true})
		lc.socket.close()
	}
}

// close closes the connection; nothing more is told of it.
func (lc *backendConn) close() {
	lc.mu.Lock()
	lc.closed, lc.exchange = true, nil
	socket := lc.socket
	lc.mu.Unlock()
	lc.cancel()
	select {
	case lc.streamPermit <- false:
	default:
	}
	if socket != nil {
		socket.close()
	}
}
