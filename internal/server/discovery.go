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
	watchSilenceTimeout   = 3 * time.Second        // half as much again as the time between the empty lines by which a watch shows that it stands
	watchDialTimeout      = time.Second            // for the connection of a watch; the agent is on this machine
	minWatchBackoff       = 100 * time.Millisecond // until a watch that ended is begun again; doubled up to the most
	maxWatchBackoff       = time.Second
	firstEndpointsTimeout = 2 * time.Second // that a new front door waits for its first list; then it goes on with the one it was started with
)

// endpointWatch watches the list of boxes. One watch stands at a time; one that ends or falls silent is begun again from
// the version that was seen last, so that no change is missed.
//
// Versions: changes up to an older version than the one held are an echo, and are dropped; those up to the same one are
// taken again, which changes nothing. Gaps mean nothing, since each message tells all that changed since the one before it.
// A whole list holds whatever its version is: discovery may have begun to count anew.
type endpointWatch struct {
	server *Server

	mu             sync.Mutex
	addr           string
	addressChanged chan struct{} // closed when addr is another

	// the watch's alone
	version   uint64                     // of the list as it was told to the core
	endpoints map[string]config.Endpoint // that list, without what is gone
}

func newEndpointWatch(s *Server, addr string, seq uint64) *endpointWatch {
	d := &endpointWatch{server: s, addr: addr, version: seq, addressChanged: make(chan struct{}), endpoints: map[string]config.Endpoint{}}
	for _, b := range s.cfg.Endpoints {
		d.endpoints[b.Name] = b
	}
	return d
}

// setAddress goes on at another address.
func (d *endpointWatch) setAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr != d.addr {
		d.addr = addr
		close(d.addressChanged)
		d.addressChanged = make(chan struct{})
	}
}

// run goes on until its context ends.
func (d *endpointWatch) run(ctx context.Context) error {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		d.mu.Lock()
		addr, addressChanged := d.addr, d.addressChanged
		d.mu.Unlock()
		watchCtx, cancel := context.WithCancel(ctx)
		go func() { // ends with one
			select {
			case <-addressChanged:
				cancel()
			case <-watchCtx.Done():
			}
		}()
		received, err := d.watchOnce(watchCtx, addr)
		cancel()
		if received {
			backoff = minWatchBackoff
		}
		select {
		case <-addressChanged:
			backoff = minWatchBackoff
			continue
		case <-ctx.Done():
			return nil
		case <-time.After(time.Duration((0.5 + rand.Float64()/2) * float64(backoff))):
		}
		d.server.log.Warn("watch of discovery", "addr", addr, "error", err, "seq", d.version)
		backoff = min(2*backoff, maxWatchBackoff)
	}
	return nil
}

// watchOnce runs one watch until it ends, and tells whether it told anything.
func (d *endpointWatch) watchOnce(ctx context.Context, addr string) (received bool, err error) {
	dial, cancel := context.WithTimeout(ctx, watchDialTimeout)
	socket, err := dialTCP(dial, addr, watchSilenceTimeout)
	cancel()
	if err != nil {
		return false, err
	}
	defer socket.close()
	defer socket.releaseBuffer()
	stop := context.AfterFunc(ctx, socket.close)
	defer stop()
	socket.write(fmt.Appendf(nil, "GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n", d.version, addr))
	body := &watchBody{socket: socket, responses: http1.NewResponses(http1.Limits{})}
	body.responses.Expect("GET")
	body.onHeartbeat = func() { // an empty line in the first place: nothing has changed
		received = true
		d.server.post(post{kind: begin})
	}
	messages := json.NewDecoder(body)
	for {
		var text json.RawMessage
		if err := messages.Decode(&text); err != nil {
			return received, err
		}
		body.messageBytes = 0
		if err := d.handleEvent(text); err != nil {
			return received, err
		}
		received = true
	}
}

// watchBody is the body of a watch's answer as a stream, for as long as something comes: a message is one JSON value,
// however it is laid out and wherever it is cut, with empty lines between.
type watchBody struct {
	socket       *socket
	responses    *http1.Reader
	unparsed     []byte // of the connection, not yet taken apart
	unread       []byte // of the body, not yet read
	messageBytes int    // read of the message that is being read, and of what came after it
	onHeartbeat  func() // called for each part that is blank while no message has begun
}

func (w *watchBody) Read(p []byte) (int, error) {
	for len(w.unread) == 0 {
		n, part, err := w.responses.Feed(w.unparsed)
		w.unparsed = w.unparsed[n:]
		if err != nil {
			return 0, err
		}
		switch part.Kind {
		case http1.More:
			w.socket.conn.SetReadDeadline(time.Now().Add(watchSilenceTimeout))
			if w.unparsed, err = w.socket.read(); err != nil {
				return 0, err
			}
		case http1.HeadEnd:
			if s := part.Head.Status; s != 200 && s/100 != 1 {
				return 0, fmt.Errorf("status %d", s)
			}
		case http1.Data:
			if w.unread = part.Data; w.messageBytes == 0 {
				if w.unread = bytes.TrimLeft(w.unread, " \t\r\n"); len(w.unread) == 0 {
					w.onHeartbeat()
				}
			}
		case http1.End:
			return 0, errors.New("the watch ended")
		}
	}
	if w.messageBytes += len(w.unread); w.messageBytes > platform.MaxEndpointListBytes {
		return 0, fmt.Errorf("a message of more than %d bytes", platform.MaxEndpointListBytes)
	}
	n := copy(p, w.unread)
	w.unread = w.unread[n:]
	w.messageBytes -= len(w.unread)
	return n, nil
}

// handleEvent tells the core of a message.
func (d *endpointWatch) handleEvent(text []byte) error {
	update, err := platform.ParseEndpointList(text)
	if err != nil {
		return err
	}
	if !update.Full && update.Version < d.version {
		d.server.log.Warn("list of boxes: changes of an older version are dropped", "seq", update.Version, "held", d.version)
		return nil
	}
	for _, w := range update.Malformed { // what is held of such a box stays
		d.server.log.Warn("list of boxes: an entry is not taken", "seq", update.Version, "error", w.Err)
		if held, ok := d.endpoints[w.Host]; ok && update.Full {
			update.Endpoints = append(update.Endpoints, held)
		}
	}
	kind := changes
	if update.Full {
		kind = list
		clear(d.endpoints)
	}
	for _, b := range update.Endpoints {
		if d.endpoints[b.Name] = b; decision.EndpointState(b.State) == decision.Removed {
			delete(d.endpoints, b.Name)
		}
	}
	d.version = update.Version
	d.server.post(post{kind: kind, boxes: update.Endpoints})
	d.server.post(post{kind: begin})
	d.server.log.Info("list of boxes", "seq", update.Version, "whole", update.Full, "entries", len(update.Endpoints))
	return nil
}

// SetAddresses goes on with a discovery and a counter at other addresses. Any goroutine may call it.
func (s *Server) SetAddresses(discovery, counter string) {
	if s.discovery != nil {
		s.discovery.setAddress(discovery)
	}
	s.post(post{kind: counterAddress, bytes: []byte(counter)})
}
