package server

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"sandyard/internal/tcpinfo"
)

const (
	// minAcceptBackoff is the first wait after the machine had no descriptor or memory for a connection: a response
	// sooner than that gives one back. The wait doubles up to the most.
	minAcceptBackoff = 5 * time.Millisecond
	// maxAcceptBackoff bounds that wait: a client in the backlog still gets its answer within its usual timeout.
	maxAcceptBackoff = time.Second
	// backlogTime is how long accepting goes on after the deadline of the listener: a deadline that has passed ends an
	// accept although connections lie in the backlog, and those would be reset.
	backlogTime = 50 * time.Millisecond
)

// accept takes connections until the listener ends. It stops while the queue of the event loop is half full, so that
// clients wait in the backlog before any is rejected. Only Serve calls it.
//
// Its waits do not see a shutdown: connectionsCtx ends, at step 4, only after accept has returned. Each is bounded: the
// backoff by maxAcceptBackoff, waitForClientSlot by clientSlotTimeout, waitForQueueSpace by how soon the event loop takes its queue.
func (s *Server) accept() error {
	backoff, deadlinePassed := minAcceptBackoff, false
	for {
		s.waitForQueueSpace()
		conn, err := s.listener.AcceptTCP()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			s.serveClient(conn)
		case isShortage(err):
			s.log.Warn("accept", "error", err, "again_in", backoff.String())
			select {
			case <-time.After(backoff):
			case <-s.connectionsCtx.Done():
			}
			backoff = min(2*backoff, maxAcceptBackoff)
		case isTimeout(err) && !deadlinePassed:
			deadlinePassed = true
			s.listener.SetDeadline(time.Now().Add(backlogTime))
		case isTimeout(err):
			return nil
		default:
			return err
		}
	}
}

// waitForQueueSpace returns when less than half of limits.queue messages wait for the event loop. That the loop, or
// connectionsCtx, has ended would also end the wait, but both end only after accept, its one caller, has returned.
func (s *Server) waitForQueueSpace() {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	for len(s.queue) >= s.cfg.Limits.Queue/2 && !s.loopEnded && s.connectionsCtx.Err() == nil {
		s.queueSpace.Wait()
	}
}

// isShortage reports errors of accept that pass: no descriptors or memory left, or a client that left the backlog.
func isShortage(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// serveClient starts the goroutine of an accepted connection, or rejects it where limits.connections are open and none
// makes room. It waits for clientSlotTimeout at most, and counts the connection in shared.ClientConns until it is closed.
func (s *Server) serveClient(conn *net.TCPConn) {
	cc, err := s.newClientConn(conn)
	if err != nil {
		conn.Close()
		return
	}
	if open := s.shared.ClientConns.Add(1); open > int64(s.cfg.Limits.Connections) && !s.makeRoomFor(cc) {
		return
	}
	if s.debug {
		s.log.Debug("client connected", "client", conn.RemoteAddr().String())
	}
	s.clientsMu.Lock()
	s.clients[cc] = struct{}{}
	s.clientsMu.Unlock()
	s.goroutines.Go(func() {
		cc.run()
		s.clientsMu.Lock()
		delete(s.clients, cc)
		s.clientsMu.Unlock()
		s.shared.ClientConns.Add(-1)
	})
}

// makeRoomFor makes room for a connection beyond limits.connections, and reports whether there is any; else the connection
// is rejected. One that was silent in the backlog for firstRequestTime is closed: it would be the first to make room.
func (s *Server) makeRoomFor(cc *clientConn) bool {
	age := tcpinfo.InputAge(cc.socket.raw)
	if age >= firstRequestTime && !hasInput(cc.socket.raw) {
		s.shared.ClientConns.Add(-1)
		cc.socket.close()
		return false
	}
	if s.waitForClientSlot(clientSlotTimeout - age) {
		return true
	}
	s.rejectClient(cc.socket.conn)
	return false
}

// rejectClient answers a connection beyond the limit, or closes it unread where maxRejectedConnections are being answered.
func (s *Server) rejectClient(conn *net.TCPConn) {
	if s.shared.ClientConns.Load() > int64(s.cfg.Limits.Connections)+maxRejectedConnections {
		s.shared.ClientConns.Add(-1)
		conn.Close()
		return
	}
	s.goroutines.Go(func() {
		defer s.shared.ClientConns.Add(-1)
		stop := context.AfterFunc(s.connectionsCtx, func() { conn.Close() })
		defer stop()
		rejectConnection(conn, s.shared.TooManyConnections())
	})
}

// rejectConnection writes a response and closes the connection. What the client has sent is read, a little and for
// lingeringCloseTimeout at most: closing over unread bytes is a reset, which can take the response along.
func rejectConnection(conn *net.TCPConn, response []byte) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lingeringCloseTimeout))
	if _, err := conn.Write(response); err != nil {
		return
	}
	conn.CloseWrite()
	var unread [512]byte
	for range rejectedReads {
		if _, err := conn.Read(unread[:]); err != nil {
			return
		}
	}
}
