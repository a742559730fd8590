package server

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"sandyard/proxy"
)

// lineConn is a connection to a box. Whoever holds mu owns the machine.
type lineConn struct {
	s      *Server
	line   *proxy.BackendConn
	cancel context.CancelFunc
	grant  chan bool // a begun answer may flow, or is not wanted

	mu   sync.Mutex
	m    *proxy.ResponseReader
	link *link
	ex   *proxy.Exchange // whose answer is awaited
	dead bool            // closed, or its end was told
}

func (s *Server) dial(l *proxy.BackendConn) {
	ctx, cancel := context.WithTimeout(s.hard, time.Duration(s.cfg.Limits.ConnectTimeout))
	lc := &lineConn{s: s, line: l, cancel: cancel, m: proxy.NewResponseReader(s.shared), grant: make(chan bool, 1)}
	l.Owner = lc
	s.conns.Go(func() error {
		defer cancel()
		lc.run(ctx)
		return nil
	})
}

// dialTCP connects, and hands over what can be written without blocking.
func dialTCP(ctx context.Context, addr string, timeout time.Duration) (*link, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	l, err := newLink(conn.(*net.TCPConn), timeout)
	if err != nil {
		conn.Close()
	}
	return l, err
}

func (lc *lineConn) run(ctx context.Context) {
	l, err := dialTCP(ctx, lc.line.Addr, time.Duration(lc.s.cfg.Limits.WriteTimeout))
	lc.mu.Lock()
	if lc.dead || err != nil {
		told := lc.dead
		lc.dead = true
		lc.mu.Unlock()
		if !told {
			lc.s.post(post{kind: lineDown, line: lc.line, unsent: true})
		}
		if err == nil {
			l.close()
		}
		return
	}
	lc.link = l
	lc.mu.Unlock()
	lc.s.post(post{kind: lineUp, line: lc.line})
	defer l.close()
	defer l.done()
	for lc.turn(l) {
	}
}

// turn reads once and hands on what came; false ends the connection.
func (lc *lineConn) turn(l *link) bool {
	b, err := l.read()
	lc.mu.Lock()
	if lc.dead {
		lc.mu.Unlock()
		return false
	}
	ex := lc.ex
	if ex == nil { // its end, or bytes that nobody asked for: it is of no use, and nothing of a request was written
		lc.dead = true
		lc.mu.Unlock()
		lc.s.post(post{kind: lineDown, line: lc.line, unsent: true})
		return false
	}
	var a proxy.Response
	switch {
	case err == nil:
		a = lc.m.Feed(b)
	case err == io.EOF:
		a = lc.m.EOF()
	default:
		a = lc.m.ConnectionLost()
	}
	if a.Kind == proxy.Complete || a.Kind == proxy.Ended || a.Kind == proxy.Malformed {
		lc.ex = nil
		a.ReuseConn = a.ReuseConn && l.pending() == 0
	}
	if a.Kind == proxy.Malformed {
		lc.dead = true
	}
	lc.mu.Unlock()
	switch a.Kind {
	case proxy.NeedMore:
	case proxy.Complete:
		lc.s.post(post{kind: answer, line: lc.line, answer: a})
	case proxy.Started:
		lc.s.post(post{kind: answer, line: lc.line, answer: a})
		select {
		case ok := <-lc.grant:
			if !ok {
				return false
			}
		case <-lc.s.hard.Done():
			return false
		}
		l.conn.SetReadDeadline(time.Now().Add(time.Duration(lc.s.cfg.Limits.StreamIdleTimeout)))
	case proxy.Continued:
		ex.Owner.(*clientConn).relay(lc.s.now(), ex, a.Bytes, false, false)
		l.conn.SetReadDeadline(time.Now().Add(time.Duration(lc.s.cfg.Limits.StreamIdleTimeout)))
	case proxy.Ended:
		l.conn.SetReadDeadline(time.Time{})
		ex.Owner.(*clientConn).relay(lc.s.now(), ex, a.Bytes, true, false)
		lc.s.post(post{kind: answer, line: lc.line, answer: a})
	case proxy.Malformed:
		if !l.end() { // the request's last byte never went out: the box can't have begun on it
			lc.s.post(post{kind: lineDown, line: lc.line, unsent: true})
			return false
		}
		lc.s.post(post{kind: answer, line: lc.line, answer: a})
		return false
	}
	return err == nil
}

// write sends a request; it never blocks. A line on which something lies to be read, which would be taken for the answer,
// or on which not all of the request goes out, is of no use: the box can't have begun.
func (lc *lineConn) write(ex *proxy.Exchange, wire []byte) {
	lc.mu.Lock()
	if lc.dead { // its end is on its way to the core, as that of a line on which nothing was sent
		lc.mu.Unlock()
		return
	}
	unsent := !lc.link.quiet()
	if !unsent {
		lc.m.Expect(ex)
		lc.ex = ex
		unsent = lc.link.write(wire)
	}
	lc.dead = unsent
	lc.mu.Unlock()
	if unsent {
		lc.s.post(post{kind: lineDown, line: lc.line, unsent: true})
		lc.link.close()
	}
}

// hang closes the connection; nothing more is told of it.
func (lc *lineConn) hang() {
	lc.mu.Lock()
	lc.dead, lc.ex = true, nil
	l := lc.link
	lc.mu.Unlock()
	lc.cancel()
	select {
	case lc.grant <- false:
	default:
	}
	if l != nil {
		l.close()
	}
}
