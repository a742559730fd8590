package server

import (
	"context"
	"slices"
	"sync"
	"time"
)

const mostKeeperOut = 4 << 20 // bytes that a keeper has not taken; the connection is given up there

// keeperConn is a connection to the tally keeper.
type keeperConn struct {
	s      *Server
	cancel context.CancelFunc
	mu     sync.Mutex
	link   *link
	dead   bool
}

func (s *Server) dialKeeper(addr string) {
	ctx, cancel := context.WithTimeout(s.hard, max(time.Second, time.Duration(s.cfg.Limits.ConnectTimeout)))
	k := &keeperConn{s: s, cancel: cancel}
	s.keeper = k
	s.conns.Go(func() error {
		defer cancel()
		k.run(ctx, addr)
		return nil
	})
}

func (k *keeperConn) run(ctx context.Context, addr string) {
	defer k.s.post(post{kind: keeperDown, keeper: k})
	l, err := dialTCP(ctx, addr, time.Duration(k.s.cfg.Limits.WriteTimeout))
	if err != nil {
		return
	}
	defer l.close()
	defer l.done()
	k.mu.Lock()
	dead := k.dead
	k.link = l
	k.mu.Unlock()
	if dead {
		return
	}
	k.s.post(post{kind: keeperUp, keeper: k})
	k.s.log.Info("keeper connected", "addr", addr)
	for {
		b, err := l.read()
		if err != nil {
			return
		}
		k.s.post(post{kind: keeperBytes, keeper: k, bytes: slices.Clone(b)})
	}
}

// send writes without blocking. A keeper that takes nothing is given up.
func (k *keeperConn) send(b []byte) {
	k.mu.Lock()
	l := k.link
	k.mu.Unlock()
	if l.write(b) || l.pending() > mostKeeperOut {
		l.close()
	}
}

func (k *keeperConn) hang() {
	k.mu.Lock()
	k.dead = true
	l := k.link
	k.mu.Unlock()
	k.cancel()
	if l != nil {
		l.close()
	}
}
