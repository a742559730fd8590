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
	// minAcceptBackoff is the first delay after accept failed for lack of descriptors or memory: typically a response completes
	// within this time and its resources become free. Each further failure doubles the delay, up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	// maxAcceptBackoff bounds that delay, so that a client in the backlog is still answered within a typical client timeout.
	maxAcceptBackoff = time.Second
	// backlogAcceptTime is how long the instance accepts connections after the listener's deadline. accept fails once the
	// deadline has passed, even if the backlog holds connections, and closing the listener would reset those.
	backlogAcceptTime = 50 * time.Millisecond
)

// accept accepts connections until the listener is closed or its deadline and backlogAcceptTime have passed. It pauses while
// the event loop's queue is half full, so that clients wait in the backlog before any is rejected. Only Serve calls it.
//
// A shutdown does not interrupt its waits, because connectionsCtx is cancelled in step 4 of the shutdown (shutdown.go), after
// accept has returned. Each wait is bounded: the backoff by maxAcceptBackoff, waitForClientSlot by clientSlotTimeout, and
// waitForQueueSpace by the time until the event loop takes its queue.
func (s *Server) accept() error {
	backoff, deadlinePassed := minAcceptBackoff, false
	for {
		s.waitForQueueSpace()
		conn, err := s.listener.AcceptTCP()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			s.serveClient(conn)
		case isTemporaryAcceptError(err):
			s.log.Warn("accept", "error", err, "again_in", backoff.String())
			select {
			case <-time.After(backoff):
			case <-s.connectionsCtx.Done():
			}
			backoff = min(2*backoff, maxAcceptBackoff)
		case isTimeout(err) && !deadlinePassed:
			deadlinePassed = true
			s.listener.SetDeadline(time.Now().Add(backlogAcceptTime))
		case isTimeout(err):
			return nil
		default:
			return err
		}
	}
}

// waitForQueueSpace waits until fewer than half of limits.queue messages are queued for the event loop. The end of the
// loop or of connectionsCtx would also end the wait, but both come only after accept, the only caller, has returned.
func (s *Server) waitForQueueSpace() {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	for len(s.queue) >= s.cfg.Limits.Queue/2 && !s.loopEnded && s.connectionsCtx.Err() == nil {
		s.queueSpace.Wait()
	}
}

// isTemporaryAcceptError reports whether accept may succeed later: the process or the machine is out of descriptors or
// memory, or a client disconnected while it was in the backlog.
func isTemporaryAcceptError(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// serveClient starts the goroutine of an accepted connection. It rejects the connection if limits.connections are open and
// none of them can be evicted. It blocks for at most clientSlotTimeout. The connection counts in shared.ClientConns until it
// is closed.
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

// makeRoomFor tries to evict an idle connection in favour of a new one beyond limits.connections, and reports whether the
// new one may be served. Otherwise it rejects the new connection. A connection that sent nothing for firstRequestTime in the
// backlog is closed without a response: it would be the first to be evicted.
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

// rejectClient sends an error response on a connection beyond the limit. If maxRejectedConnections are already being
// rejected, it closes the connection unread.
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

// rejectConnection writes a response and closes the connection. Before that it reads a limited amount of what the client
// sent, for at most lingeringCloseTimeout: closing a socket with unread bytes resets the connection, and the client may then
// lose the response.
func rejectConnection(conn *net.TCPConn, response []byte) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lingeringCloseTimeout))
	if _, err := conn.Write(response); err != nil {
		return
	}
	conn.CloseWrite()
	var unread [512]byte
	for range maxRejectedReads {
		if _, err := conn.Read(unread[:]); err != nil {
			return
		}
	}
}
