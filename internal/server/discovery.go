package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/platform"
)

const (
	watchSilence = 3 * time.Second        // half as much again as the time between the empty lines by which a watch shows that it stands
	watchDial    = time.Second            // for the connection of a watch; the agent is on this machine
	leastRewatch = 100 * time.Millisecond // until a watch that ended is begun again; doubled up to the most
	mostRewatch  = time.Second
	firstList    = 2 * time.Second // that a new front door waits for its first list; then it goes on with the one it was started with
)

// discovery watches the list of boxes. One watch stands at a time; one that ends or falls silent is begun again from
// the version that was seen last, so that no change is missed.
//
// Versions: changes up to an older version than the one held are an echo, and are dropped; those up to the same one are
// taken again, which changes nothing. Gaps mean nothing, since each message tells all that changed since the one before it.
// A whole list holds whatever its version is: discovery may have begun to count anew.
type discovery struct {
	s *Server

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed when addr is another

	// the watch's alone
	seq   uint64                     // of the list as it was told to the core
	boxes map[string]config.Endpoint // that list, without what is gone
}

func newDiscovery(s *Server, addr string, seq uint64) *discovery {
	d := &discovery{s: s, addr: addr, seq: seq, moved: make(chan struct{}), boxes: map[string]config.Endpoint{}}
	for _, b := range s.cfg.Endpoints {
		d.boxes[b.Name] = b
	}
	return d
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
	dial, cancel := context.WithTimeout(ctx, watchDial)
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
	body := &watchBody{link: l, rd: http1.NewResponses(http1.Limits{})}
	body.rd.Expect("GET")
	body.empty = func() { // an empty line in the first place: nothing has changed
		told = true
		d.s.post(post{kind: begin})
	}
	messages := json.NewDecoder(body)
	for {
		var text json.RawMessage
		if err := messages.Decode(&text); err != nil {
			return told, err
		}
		body.size = 0
		if err := d.take(text); err != nil {
			return told, err
		}
		told = true
	}
}

// watchBody is the body of a watch's answer as a stream, for as long as something comes: a message is one JSON value,
// however it is laid out and wherever it is cut, with empty lines between.
type watchBody struct {
	link  *link
	rd    *http1.Reader
	in    []byte // of the connection, not yet taken apart
	data  []byte // of the body, not yet read
	size  int    // read of the message that is being read, and of what came after it
	empty func() // called for each part that is blank while no message has begun
}

func (w *watchBody) Read(p []byte) (int, error) {
	for len(w.data) == 0 {
		n, part, err := w.rd.Feed(w.in)
		w.in = w.in[n:]
		if err != nil {
			return 0, err
		}
		switch part.Kind {
		case http1.More:
			w.link.conn.SetReadDeadline(time.Now().Add(watchSilence))
			if w.in, err = w.link.read(); err != nil {
				return 0, err
			}
		case http1.HeadEnd:
			if s := part.Head.Status; s != 200 && s/100 != 1 {
				return 0, fmt.Errorf("status %d", s)
			}
		case http1.Data:
			if w.data = part.Data; w.size == 0 {
				if w.data = bytes.TrimLeft(w.data, " \t\r\n"); len(w.data) == 0 {
					w.empty()
				}
			}
		case http1.End:
			return 0, errors.New("the watch ended")
		}
	}
	if w.size += len(w.data); w.size > platform.MaxEndpointListBytes {
		return 0, fmt.Errorf("a message of more than %d bytes", platform.MaxEndpointListBytes)
	}
	n := copy(p, w.data)
	w.data = w.data[n:]
	w.size -= len(w.data)
	return n, nil
}

// take tells the core of a message.
func (d *discovery) take(text []byte) error {
	news, err := platform.ParseEndpointList(text)
	if err != nil {
		return err
	}
	if !news.Full && news.Version < d.seq {
		d.s.log.Warn("list of boxes: changes of an older version are dropped", "seq", news.Version, "held", d.seq)
		return nil
	}
	for _, w := range news.Malformed { // what is held of such a box stays
		d.s.log.Warn("list of boxes: an entry is not taken", "seq", news.Version, "error", w.Err)
		if held, ok := d.boxes[w.Host]; ok && news.Full {
			news.Endpoints = append(news.Endpoints, held)
		}
	}
	kind := changes
	if news.Full {
		kind = list
		clear(d.boxes)
	}
	for _, b := range news.Endpoints {
		if d.boxes[b.Name] = b; decision.EndpointState(b.State) == decision.Removed {
			delete(d.boxes, b.Name)
		}
	}
	d.seq = news.Version
	d.s.post(post{kind: kind, boxes: news.Endpoints})
	d.s.post(post{kind: begin})
	d.s.log.Info("list of boxes", "seq", news.Version, "whole", news.Full, "entries", len(news.Endpoints))
	return nil
}

// Move goes on with a discovery and a counter at other addresses. Any goroutine may call it.
func (s *Server) Move(discovery, keeper string) {
	if s.disco != nil {
		s.disco.move(discovery)
	}
	s.post(post{kind: counter, bytes: []byte(keeper)})
}
