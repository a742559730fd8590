package server

import (
	"net"
	"sync"
	"time"

	"sandyard/proxy"
)

const (
	lingeringCloseTimeout   = time.Second // how long a client that still sends is read after its last answer
	maxLingeringCloseBytes  = 256 << 10   // and how much
	maxUnwrittenClientBytes = 64 << 10    // bytes that a client has not taken; a flowing answer pauses there
)

// clientConn is a client's connection. Whoever holds mu owns the machine.
type clientConn struct {
	server *Server
	socket *socket

	mu             sync.Mutex
	readable       sync.Cond // signalled when reading may go on
	client         *proxy.ClientConn
	readDeadline   time.Duration // the read deadline that is set, 0: none
	closed         bool          // the last bytes are out
	lingers        bool
	closeRequested bool // it is to end if nothing of a request has been read; its reader sees to that
	evicted        bool // and at once: another needs the room, and its last answer arrived long ago
}

func (s *Server) newClientConn(conn *net.TCPConn) (*clientConn, error) {
	l, err := newSocket(conn, time.Duration(s.cfg.Limits.WriteTimeout))
	if err != nil {
		return nil, err
	}
	cc := &clientConn{server: s, socket: l}
	cc.readable.L = &cc.mu
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	cc.client = proxy.NewClientConn(s.shared, cc, host, s.now())
	l.onFlushed = cc.flushed
	return cc, nil
}

// run reads until the connection is over.
func (cc *clientConn) run() {
	defer cc.socket.releaseBuffer()
	defer cc.socket.close()
	for {
		cc.mu.Lock()
		for cc.socket.unwrittenBytes() > maxUnwrittenClientBytes && !cc.closed && !cc.socket.writeFailed() {
			cc.readable.Wait()
		}
		cc.setReadDeadline()
		closed := cc.closed
		cc.mu.Unlock()
		if closed {
			cc.closeGracefully()
			return
		}
		b, err := cc.socket.read()
		now := cc.server.now()
		cc.mu.Lock()
		switch {
		case isTimeout(err) && !cc.socket.writeFailed() && cc.closeRequested && !cc.closed:
			cc.closeIfIdle(now)
		case isTimeout(err) && !cc.socket.writeFailed():
			cc.readDeadline = 0
			cc.server.expiredReads.Add(1)
			cc.socket.clearReadDeadline() // a deadline that has passed would end every read from now on at once
			cc.client.DeadlinePassed(now)
			cc.advance(now, nil)
		case err != nil:
			ex := cc.client.Disconnected()
			cc.closed = true
			cc.mu.Unlock()
			if ex != nil {
				cc.server.post(post{kind: leave, ex: ex})
			}
			return
		default:
			cc.advance(now, cc.client.Feed(now, b))
		}
		cc.mu.Unlock()
	}
}

// closeIfIdle ends a connection that was asked to end, if nothing of a request has been read by now. What lies there unread is
// read first: a request that came before the end is answered. mu is held, by the reader, so that nothing is read and then
// dropped unseen.
func (cc *clientConn) closeIfIdle(now time.Duration) {
	cc.closeRequested, cc.readDeadline = false, 0
	cc.socket.clearReadDeadline()
	if cc.client.Idle() {
		if b := cc.socket.readAvailable(); len(b) > 0 {
			cc.evicted = false
			cc.advance(now, cc.client.Feed(now, b))
			return
		}
		cc.client.Drain()
	} else {
		cc.evicted = false // it is in use
	}
	cc.advance(now, nil)
}

// closeGracefully reads what a client still sends after its last answer, since closing on it could take the answer along.
func (cc *clientConn) closeGracefully() {
	cc.mu.Lock()
	linger := cc.lingers && !cc.evicted
	if cc.client.MustReset() {
		cc.socket.conn.SetLinger(0)
		cc.mu.Unlock()
		return
	}
	cc.mu.Unlock()
	cc.socket.conn.CloseWrite()
	if !linger || cc.socket.writeFailed() {
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

// setReadDeadline sets the read deadline when the one that is set would come too late. One that comes too early is looked at
// when it comes; so a busy connection sets none from request to request.
func (cc *clientConn) setReadDeadline() {
	d := cc.client.Deadline()
	if d != 0 && !cc.closeRequested && (cc.readDeadline == 0 || cc.readDeadline > d) {
		cc.readDeadline = d
		cc.socket.conn.SetReadDeadline(cc.server.clockOrigin().Add(d))
	}
}

// advance carries out what the machine wants; mu is held.
func (cc *clientConn) advance(now time.Duration, ex *proxy.Exchange) {
	for {
		if ex != nil && !cc.server.post(post{kind: arrive, ex: ex}) {
			cc.client.RejectOverload(now, ex)
		} else if ex != nil {
			break
		}
		if len(cc.client.LocalStatuses) > 0 {
			if cc.server.debug {
				for _, status := range cc.client.LocalStatuses {
					cc.server.log.Debug("answer", "status", status, "client", cc.socket.conn.RemoteAddr().String())
				}
			}
			cc.client.LocalStatuses = cc.client.LocalStatuses[:0]
		}
		if len(cc.client.Outgoing) > 0 {
			cc.socket.write(cc.client.Outgoing)
			if cc.client.Outgoing = cc.client.Outgoing[:0]; cap(cc.client.Outgoing) > 16<<10 {
				cc.client.Outgoing = nil
			}
		}
		if cc.socket.unwrittenBytes() > 0 { // the flusher goes on
			break
		}
		if cc.markClosedIfFinished() {
			return
		}
		if ex = cc.client.Resume(now); ex == nil && len(cc.client.Outgoing) == 0 {
			if cc.markClosedIfFinished() {
				return
			}
			break
		}
	}
	cc.setReadDeadline()
	cc.readable.Signal()
}

// markClosedIfFinished tells whether the connection is over, and lets its reader know; mu is held and nothing is unwritten.
func (cc *clientConn) markClosedIfFinished() bool {
	closes, linger := cc.client.Closing()
	if !closes || len(cc.client.Outgoing) > 0 {
		return false
	}
	if !cc.closed {
		cc.closed, cc.lingers = true, linger
		cc.socket.conn.SetReadDeadline(time.Unix(1, 0))
		cc.readable.Signal()
	}
	return true
}

// flushed goes on once a slow client has taken what was kept for it.
func (cc *clientConn) flushed() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.socket.writeFailed() {
		cc.server.log.Debug("client took too long, or went", "client", cc.socket.conn.RemoteAddr().String())
		cc.readable.Signal()
		return
	}
	cc.advance(cc.server.now(), nil)
}

// respond hands an answer, or its beginning, to the client.
func (cc *clientConn) respond(now time.Duration, ex *proxy.Exchange, b []byte, more, closes bool) {
	cc.mu.Lock()
	cc.client.Respond(now, ex, b, more, closes)
	cc.advance(now, nil)
	cc.mu.Unlock()
}

// relayBody hands on more of an answer and waits until the client has taken enough of it.
func (cc *clientConn) relayBody(now time.Duration, ex *proxy.Exchange, b []byte, end, broken bool) {
	cc.mu.Lock()
	cc.client.ContinueResponse(now, ex, b, end, broken)
	cc.advance(now, nil)
	cc.mu.Unlock()
	if !end && !broken {
		cc.socket.waitUnwrittenBelow(maxUnwrittenClientBytes)
	}
}

// requestClose asks for the connection's end if it is idle. Its reader ends it: what has been read by then is no idle connection.
func (cc *clientConn) requestClose() {
	cc.mu.Lock()
	cc.requestCloseLocked()
	cc.mu.Unlock()
}

func (cc *clientConn) requestCloseLocked() {
	if cc.client.Idle() && !cc.closed && !cc.closeRequested {
		cc.closeRequested = true
		cc.socket.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
