package server

import (
	"context"
	"slices"
	"sync"
	"time"
)

const maxUnwrittenCounterBytes = 4 << 20 // bytes that a keeper has not taken; the connection is given up there

// counterConn is a connection to the tally keeper.
type counterConn struct {
	server *Server
	cancel context.CancelFunc
	mu     sync.Mutex
	socket *socket
	closed bool
}

func (s *Server) dialCounter(addr string) {
	ctx, cancel := context.WithTimeout(s.connectionsCtx, max(time.Second, time.Duration(s.cfg.Limits.ConnectTimeout)))
	k := &counterConn{server: s, cancel: cancel}
	s.counter = k
	s.goroutines.Go(func() error {
		defer cancel()
		k.run(ctx, addr)
		return nil
	})
}

func (k *counterConn) run(ctx context.Context, addr string) {
	defer k.server.post(post{kind: keeperDown, keeper: k})
	socket, err := dialTCP(ctx, addr, time.Duration(k.server.cfg.Limits.WriteTimeout))
	if err != nil {
		return
	}
	defer socket.close()
	defer socket.releaseBuffer()
	k.mu.Lock()
	closed := k.closed
	k.socket = socket
	k.mu.Unlock()
	if closed {
		return
	}
	k.server.post(post{kind: keeperUp, keeper: k})
	k.server.log.Info("keeper connected", "addr", addr)
	for {
		b, err := socket.read()
		if err != nil {
			return
		}
		k.server.post(post{kind: keeperBytes, keeper: k, bytes: slices.Clone(b)})
	}
}

// write writes without blocking. A keeper that takes nothing is given up.
func (k *counterConn) write(b []byte) {
	k.mu.Lock()
	socket := k.socket
	k.mu.Unlock()
	if socket.write(b) || socket.unwrittenBytes() > maxUnwrittenCounterBytes {
		socket.close()
	}
}

func (k *counterConn) close() {
	k.mu.Lock()
	k.closed = true
	socket := k.socket
	k.mu.Unlock()
	k.cancel()
	if socket != nil {
		socket.close()
	}
}
