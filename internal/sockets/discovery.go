package sockets

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sandyard/internal/http1"
	"sandyard/internal/platform"
)

const (
	watchSilence = 5 * time.Second        // more than two of the empty lines by which a watch shows that it stands
	leastRewatch = 100 * time.Millisecond // until a watch that ended is begun again; doubled up to the most
	mostRewatch  = time.Second
)

// discovery watches the list of boxes. One watch stands at a time; one that ends or falls silent is begun again from
// the version that was seen last, so that no change is missed and none is taken in twice.
type discovery struct {
	s *Server

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed when addr is another

	seq uint64 // of the list as it was told to the core; the watch's alone
}

func newDiscovery(s *Server, addr string, seq uint64) *discovery {
	return &discovery{s: s, addr: addr, seq: seq, moved: make(chan struct{})}
}

// move goes on at another address.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr != d.addr {
		d.addr = addr
		close(d.moved)
		d.moved = make(chan struct{})
	}
}

// watch goes on until its context ends.
func (d *discovery) watch(ctx context.Context) error {
	wait := leastRewatch
	for ctx.Err() == nil {
		d.mu.Lock()
		addr, moved := d.addr, d.moved
		d.mu.Unlock()
		one, cancel := context.WithCancel(ctx)
		go func() { // ends with one
			select {
			case <-moved:
				cancel()
			case <-one.Done():
			}
		}()
		told, err := d.once(one, addr)
		cancel()
		if told {
			wait = leastRewatch
		}
		select {
		case <-moved:
			wait = leastRewatch
			continue
		case <-ctx.Done():
			return nil
		case <-time.After(time.Duration((0.5 + rand.Float64()/2) * float64(wait))):
		}
		d.s.log.Warn("watch of discovery", "addr", addr, "error", err, "seq", d.seq)
		wait = min(2*wait, mostRewatch)
	}
	return nil
}

// once runs one watch until it ends, and tells whether it told anything.
func (d *discovery) once(ctx context.Context, addr string) (told bool, err error) {
	dial, cancel := context.WithTimeout(ctx, watchSilence)
	l, err := dialTCP(dial, addr, watchSilence)
	cancel()
	if err != nil {
		return false, err
	}
	defer l.close()
	defer l.done()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	l.write(fmt.Appendf(nil, "GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n", d.seq, addr))
	rd := http1.NewResponses(http1.Limits{})
	rd.Expect("GET")
	var line []byte
	for {
		l.conn.SetReadDeadline(time.Now().Add(watchSilence))
		b, err := l.read()
		if err != nil {
			return told, err
		}
		for more := true; more; {
			n, part, err := rd.Feed(b)
			b = b[n:]
			if err != nil {
				return told, err
			}
			switch part.Kind {
			case http1.More:
				more = false
			case http1.HeadEnd:
				if part.Head.Status != 200 {
					return told, fmt.Errorf("status %d", part.Head.Status)
				}
			case http1.Data:
				if line, err = d.lines(append(line, part.Data...)); err != nil {
					return told, err
				}
				told = true
			case http1.End:
				return told, errors.New("the watch ended")
			}
		}
	}
}

// lines tells the core of whole lines and returns the rest.
func (d *discovery) lines(b []byte) ([]byte, error) {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			if len(b) > platform.MostList {
				return nil, fmt.Errorf("a list of more than %d bytes", platform.MostList)
			}
			return b, nil
		}
		one := bytes.TrimSpace(b[:i])
		b = b[i+1:]
		if len(one) == 0 {
			continue
		}
		news, err := platform.ReadList(one)
		if err != nil {
			return nil, err
		}
		kind := changes
		if news.Whole {
			kind = list
		}
		d.seq = news.Seq
		d.s.post(post{kind: kind, boxes: news.Boxes})
		d.s.log.Info("list of boxes", "seq", news.Seq, "whole", news.Whole, "entries", len(news.Boxes))
	}
}

// Move goes on with a discovery and a counter at other addresses. Any goroutine may call it.
func (s *Server) Move(discovery, keeper string) {
	if s.disco != nil {
		s.disco.move(discovery)
	}
	s.post(post{kind: counter, bytes: []byte(keeper)})
}
