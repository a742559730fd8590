package server

import (
	"net"
	"sync"
	"time"

	"sandyard/proxy"
)

const (
	lingerTime  = time.Second // how long a client that still sends is read after its last answer
	lingerBytes = 256 << 10   // and how much
	mostPending = 64 << 10    // bytes that a client has not taken; a flowing answer pauses there
)

// clientConn is a client's connection. Whoever holds mu owns the machine.
type clientConn struct {
	s    *Server
	link *link

	mu     sync.Mutex
	resume sync.Cond // signalled when reading may go on
	m      *proxy.ClientConn
	armed  time.Duration // the read deadline that is set, 0: none
	closed bool          // the last bytes are out
	linger bool
	ending bool // it is to end if nothing of a request has been read; its reader sees to that
	brief  bool // and at once: another needs the room, and its last answer arrived long ago
}

func (s *Server) newClient(conn *net.TCPConn) (*clientConn, error) {
	l, err := newLink(conn, time.Duration(s.cfg.Limits.WriteTimeout))
	if err != nil {
		return nil, err
	}
	cc := &clientConn{s: s, link: l}
	cc.resume.L = &cc.mu
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	cc.m = proxy.NewClientConn(s.shared, cc, host, s.now())
	l.flushed = cc.flushed
	return cc, nil
}

// run reads until the connection is over.
func (cc *clientConn) run() {
	defer cc.link.done()
	defer cc.link.close()
	for {
		cc.mu.Lock()
		for cc.link.pending() > mostPending && !cc.closed && !cc.link.broken() {
			cc.resume.Wait()
		}
		cc.arm()
		closed := cc.closed
		cc.mu.Unlock()
		if closed {
			cc.drain()
			return
		}
		b, err := cc.link.read()
		now := cc.s.now()
		cc.mu.Lock()
		switch {
		case isTimeout(err) && !cc.link.broken() && cc.ending && !cc.closed:
			cc.rest(now)
		case isTimeout(err) && !cc.link.broken():
			cc.armed = 0
			cc.s.expiries.Add(1)
			cc.link.unarm() // a deadline that has passed would end every read from now on at once
			cc.m.DeadlinePassed(now)
			cc.after(now, nil)
		case err != nil:
			ex := cc.m.Disconnected()
			cc.closed = true
			cc.mu.Unlock()
			if ex != nil {
				cc.s.post(post{kind: leave, ex: ex})
			}
			return
		default:
			cc.after(now, cc.m.Feed(now, b))
		}
		cc.mu.Unlock()
	}
}

// rest ends a connection that was asked to end, if nothing of a request has been read by now. What lies there unread is
// read first: a request that came before the end is answered. mu is held, by the reader, so that nothing is read and then
// dropped unseen.
func (cc *clientConn) rest(now time.Duration) {
	cc.ending, cc.armed = false, 0
	cc.link.unarm()
	if cc.m.Idle() {
		if b := cc.link.poll(); len(b) > 0 {
			cc.brief = false
			cc.after(now, cc.m.Feed(now, b))
			return
		}
		cc.m.Drain()
	} else {
		cc.brief = false // it is in use
	}
	cc.after(now, nil)
}

// drain reads what a client still sends after its last answer, since closing on it could take the answer along.
func (cc *clientConn) drain() {
	cc.mu.Lock()
	linger := cc.linger && !cc.brief
	if cc.m.MustReset() {
		cc.link.conn.SetLinger(0)
		cc.mu.Unlock()
		return
	}
	cc.mu.Unlock()
	cc.link.conn.CloseWrite()
	if !linger || cc.link.broken() {
		return
	}
	cc.link.conn.SetReadDeadline(time.Now().Add(lingerTime))
	for left := lingerBytes; left > 0; {
		b, err := cc.link.read()
		if err != nil {
			return
		}
		left -= len(b)
	}
}

// arm sets the read deadline when the one that is set would come too late. One that comes too early is looked at
// when it comes; so a busy connection sets none from request to request.
func (cc *clientConn) arm() {
	d := cc.m.Deadline()
	if d != 0 && !cc.ending && (cc.armed == 0 || cc.armed > d) {
		cc.armed = d
		cc.link.conn.SetReadDeadline(cc.s.origin().Add(d))
	}
}

// after carries out what the machine wants; mu is held.
func (cc *clientConn) after(now time.Duration, ex *proxy.Exchange) {
	for {
		if ex != nil && !cc.s.post(post{kind: arrive, ex: ex}) {
			cc.m.RejectOverload(now, ex)
		} else if ex != nil {
			break
		}
		if len(cc.m.LocalStatuses) > 0 {
			if cc.s.debug {
				for _, status := range cc.m.LocalStatuses {
					cc.s.log.Debug("answer", "status", status, "client", cc.link.conn.RemoteAddr().String())
				}
			}
			cc.m.LocalStatuses = cc.m.LocalStatuses[:0]
		}
		if len(cc.m.Outgoing) > 0 {
			cc.link.write(cc.m.Outgoing)
			if cc.m.Outgoing = cc.m.Outgoing[:0]; cap(cc.m.Outgoing) > 16<<10 {
				cc.m.Outgoing = nil
			}
		}
		if cc.link.pending() > 0 { // the flusher goes on
			break
		}
		if cc.finished() {
			return
		}
		if ex = cc.m.Resume(now); ex == nil && len(cc.m.Outgoing) == 0 {
			if cc.finished() {
				return
			}
			break
		}
	}
	cc.arm()
	cc.resume.Signal()
}

// finished tells whether the connection is over, and lets its reader know; mu is held and nothing is unwritten.
func (cc *clientConn) finished() bool {
	closes, linger := cc.m.Closing()
	if !closes || len(cc.m.Outgoing) > 0 {
		return false
	}
	if !cc.closed {
		cc.closed, cc.linger = true, linger
		cc.link.conn.SetReadDeadline(time.Unix(1, 0))
		cc.resume.Signal()
	}
	return true
}

// flushed goes on once a slow client has taken what was kept for it.
func (cc *clientConn) flushed() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.link.broken() {
		cc.s.log.Debug("client took too long, or went", "client", cc.link.conn.RemoteAddr().String())
		cc.resume.Signal()
		return
	}
	cc.after(cc.s.now(), nil)
}

// answered hands an answer, or its beginning, to the client.
func (cc *clientConn) answered(now time.Duration, ex *proxy.Exchange, b []byte, more, closes bool) {
	cc.mu.Lock()
	cc.m.Respond(now, ex, b, more, closes)
	cc.after(now, nil)
	cc.mu.Unlock()
}

// relay hands on more of an answer and waits until the client has taken enough of it.
func (cc *clientConn) relay(now time.Duration, ex *proxy.Exchange, b []byte, end, broken bool) {
	cc.mu.Lock()
	cc.m.ContinueResponse(now, ex, b, end, broken)
	cc.after(now, nil)
	cc.mu.Unlock()
	if !end && !broken {
		cc.link.waitRoom(mostPending)
	}
}

// shut asks for the connection's end if it is idle. Its reader ends it: what has been read by then is no idle connection.
func (cc *clientConn) shut() {
	cc.mu.Lock()
	cc.shutLocked()
	cc.mu.Unlock()
}

func (cc *clientConn) shutLocked() {
	if cc.m.Idle() && !cc.closed && !cc.ending {
		cc.ending = true
		cc.link.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
