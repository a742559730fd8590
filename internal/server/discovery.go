package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/platform"
	"sandyard/internal/tcpinfo"
	"sandyard/proxy"
)

// Timeouts of the watch. docs/design/platform.md lists which sums of them must stay below the platform's bounds;
// TestEndpointUpdateDeadlines checks these sums.
const (
	// watchSilenceTimeout ends a watch on which nothing arrives: 1.5 times discovery's heartbeat interval of 2 s. A heartbeat
	// is an empty line, which shows that the watch is alive.
	watchSilenceTimeout = 3 * time.Second
	// watchDialTimeout bounds the dial of a watch. The discovery agent runs on this machine.
	watchDialTimeout = time.Second
	// minWatchBackoff is the backoff before a watch that ended is restarted. It doubles, with jitter, up to maxWatchBackoff.
	minWatchBackoff = 100 * time.Millisecond
	// maxWatchBackoff bounds the backoff, since the watch must work again a few seconds after discovery can be reached again.
	maxWatchBackoff = time.Second
)

// maxFinalReads bounds the reads of a watch after its context has ended: enough for a message of the maximum size.
const maxFinalReads = platform.MaxEndpointListBytes / readSize

var (
	errWatchEnded      = errors.New("the watch ended")
	errMessageTooLarge = fmt.Errorf("a message of more than %d bytes", platform.MaxEndpointListBytes)
)

// watchStatusError is a status other than 200 in answer to a watch.
type watchStatusError int

func (status watchStatusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

// endpointWatch watches the endpoint list at discovery. There is one watch at a time. A watch that ends or falls silent is
// restarted from the version that was received last, so that no change is missed.
//
// Versions: changes up to a version older than the current one repeat earlier messages and are dropped. Changes up to the
// current version are applied again, which has no effect. Gaps are harmless, since each message has all changes since the
// previous one. A full list is applied whatever its version, since discovery may have restarted its numbering.
type endpointWatch struct {
	server *Server

	readVersion atomic.Uint64 // of the last message that was read; it may still be queued for the event loop
	input       watchInput

	mu             sync.Mutex    // guards address and addressChanged
	address        string        // host:port
	addressChanged chan struct{} // closed and replaced when address changes

	firstListTimeouts firstListTimeouts // set before run

	// Used by the goroutine of the watch only.
	version   uint64                     // of the endpoint list that was last queued for the event loop
	endpoints map[string]config.Endpoint // that list by name, without removed endpoints
}

func newEndpointWatch(s *Server, address string, version uint64) *endpointWatch {
	w := &endpointWatch{
		server:         s,
		address:        address,
		addressChanged: make(chan struct{}),
		version:        version,
		endpoints:      map[string]config.Endpoint{},

		firstListTimeouts: defaultFirstListTimeouts,
	}
	w.readVersion.Store(version)
	w.input.start(s.now)
	for _, e := range s.cfg.Endpoints {
		w.endpoints[e.Name] = e
	}
	return w
}

// setAddress restarts the watch at another address. Any goroutine may call it; it does not block.
func (w *endpointWatch) setAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address != w.address {
		w.address = address
		close(w.addressChanged)
		w.addressChanged = make(chan struct{})
	}
}

// run watches discovery until its context ends. Requests are rejected until discovery has answered (see firstListTimeouts).
func (w *endpointWatch) run(ctx context.Context) {
	stopTimers := w.startFirstListTimers(ctx)
	defer stopTimers()
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		w.mu.Lock()
		address, addressChanged := w.address, w.addressChanged
		w.mu.Unlock()
		received, err := w.watchUntilChanged(ctx, address, addressChanged)
		if received {
			backoff = minWatchBackoff
		}
		w.input.markCaughtUp(w.server.now())
		select {
		case <-addressChanged:
			backoff = minWatchBackoff
			continue
		case <-ctx.Done():
			return
		case <-time.After(jitter(backoff)):
		}
		w.input.markBehind()
		w.server.log.Warn("watch of discovery", "addr", address, "error", err, "seq", w.version)
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// jitter returns a random wait between d/2 and d, so that instances that lost discovery together do not reconnect together.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()/2) * float64(d))
}

// watchUntilChanged runs one watch until it ends, its context ends or the address changes.
func (w *endpointWatch) watchUntilChanged(ctx context.Context, address string, changed <-chan struct{}) (received bool, err error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // ends with watchCtx
		select {
		case <-changed:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	return w.watchOnce(watchCtx, address)
}

// watchOnce runs one watch until it ends. It reports whether a message or a heartbeat was received.
func (w *endpointWatch) watchOnce(ctx context.Context, address string) (received bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, watchDialTimeout)
	w.input.markCaughtUp(w.server.now())
	socket, err := dialTCP(dialCtx, address, watchSilenceTimeout)
	cancel()
	if err != nil {
		return false, err
	}
	defer socket.close()
	defer socket.releaseBuffer()
	w.input.socket.Store(socket)
	defer func() {
		w.input.markUnwatched(w.server.now())
		w.input.socket.Store(nil)
	}()
	stop := context.AfterFunc(ctx, func() { socket.conn.SetReadDeadline(expiredDeadline) }) // data that has arrived is still read
	defer stop()
	socket.write(fmt.Appendf(nil, "GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n", w.version, address))
	w.server.log.Info("watch of discovery opened", "addr", address, "seq", w.version, "unwatched_ms", w.input.unwatchedFor(w.server.now()).Milliseconds())
	w.input.markWatched()
	body := newWatchBody(ctx, &w.input, socket, func() { // the current version is confirmed without changes
		received = true
		w.server.postEndpoints(w.confirmation(socket, nil))
	})
	messages := json.NewDecoder(body)
	for {
		var text json.RawMessage
		if err := messages.Decode(&text); err != nil {
			return received, err
		}
		body.messageBytes = 0
		if err := w.handleMessage(socket, text); err != nil {
			return received, err
		}
		received = true
	}
}

// watchBody is the body of the response to a watch as a stream. Reading it fails when nothing arrives for
// watchSilenceTimeout. A message is one JSON value in any layout and split into chunks at any place, with empty lines between
// messages.
type watchBody struct {
	ctx          context.Context // of the watch: after its end, data that has arrived is read, without waiting for more
	input        *watchInput
	socket       *socket
	finalReads   int // number of reads since ctx ended
	responses    *http1.Reader
	unparsed     []byte // bytes read from the connection
	unread       []byte // bytes of the body that Read has not returned
	messageBytes int    // bytes that Read has returned since the last complete message
	onHeartbeat  func() // called for whitespace between messages: a heartbeat
}

func newWatchBody(ctx context.Context, input *watchInput, socket *socket, onHeartbeat func()) *watchBody {
	body := &watchBody{ctx: ctx, input: input, socket: socket, responses: http1.NewResponses(http1.Limits{}), onHeartbeat: onHeartbeat}
	body.responses.Expect("GET")
	return body
}

// Read waits for a part of the body for at most watchSilenceTimeout. It returns an error at the end of the body.
func (b *watchBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if err := b.readPart(); err != nil {
			return 0, err
		}
	}
	b.messageBytes += len(b.unread)
	if b.messageBytes > platform.MaxEndpointListBytes {
		return 0, errMessageTooLarge
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	b.messageBytes -= len(b.unread)
	return n, nil
}

// readPart parses the next part of the response, or reads more bytes if the part is incomplete.
func (b *watchBody) readPart() error {
	n, part, err := b.responses.Feed(b.unparsed)
	b.unparsed = b.unparsed[n:]
	if err != nil {
		return err
	}
	switch part.Kind {
	case http1.More:
		if b.unparsed, err = b.readSocket(); err != nil {
			return err
		}
	case http1.HeadEnd:
		if status := part.Head.Status; status != 200 && status/100 != 1 {
			return watchStatusError(status)
		}
	case http1.Data:
		b.unread = part.Data
		if b.messageBytes == 0 {
			b.unread = bytes.TrimLeft(b.unread, " \t\r\n")
			if len(b.unread) == 0 {
				b.onHeartbeat()
			}
		}
	case http1.End:
		return errWatchEnded
	}
	return nil
}

// readSocket waits for bytes for at most watchSilenceTimeout. Once the context has ended it does not wait, and only returns
// bytes that have arrived.
func (b *watchBody) readSocket() ([]byte, error) {
	b.socket.conn.SetReadDeadline(time.Now().Add(watchSilenceTimeout))
	if b.ctx.Err() != nil {
		b.socket.conn.SetReadDeadline(expiredDeadline)
		if b.finalReads++; b.finalReads > maxFinalReads {
			return nil, errWatchEnded
		}
	}
	return b.input.read(b.socket)
}

// handleMessage queues a message of discovery for the event loop. It logs entries that can't be parsed; the current endpoints
// of their hosts stay in force. It returns an error if the message as a whole can't be parsed.
func (w *endpointWatch) handleMessage(socket *socket, text []byte) error {
	update, err := platform.ParseEndpointList(text)
	if err != nil {
		return err
	}
	if !update.Full && update.Version < w.version {
		w.server.log.Warn("list of boxes: changes of an older version are dropped", "seq", update.Version, "held", w.version)
		return nil
	}
	endpoints := update.Endpoints
	if update.Full {
		endpoints = append(endpoints, w.currentEndpoints(update.Malformed)...)
	}
	departed := w.updateEndpoints(endpoints, update.Full)
	w.version = update.Version
	w.readVersion.Store(update.Version)
	confirmed := w.confirmation(socket, departed)
	change := proxy.EndpointsUpdate{Endpoints: endpoints, Origin: w.server.clockOrigin()}
	if update.Full {
		w.server.postEndpoints(endpointsReplaced{change}, confirmed)
	} else {
		w.server.postEndpoints(endpointsUpdated{change}, confirmed)
	}
	for _, invalid := range update.Malformed { // logged after the update is queued, which a slow log must not delay
		w.server.log.Warn("list of boxes: an entry is not taken", "seq", update.Version, "error", invalid.Err)
	}
	w.server.log.Info("list of boxes", "seq", update.Version, "whole", update.Full, "entries", len(endpoints))
	return nil
}

// currentEndpoints returns the current endpoints of the hosts whose new entries can't be parsed.
func (w *endpointWatch) currentEndpoints(malformed []platform.EndpointError) (current []config.Endpoint) {
	for _, invalid := range malformed {
		if endpoint, ok := w.endpoints[invalid.Host]; ok {
			current = append(current, endpoint)
		}
	}
	return current
}

// updateEndpoints applies a message to endpoints, and returns the addresses of the endpoints that it takes out of use.
func (w *endpointWatch) updateEndpoints(endpoints []config.Endpoint, full bool) (departed []string) {
	before := w.endpoints
	if full {
		w.endpoints = make(map[string]config.Endpoint, len(endpoints))
	} else {
		before = make(map[string]config.Endpoint, len(endpoints))
		for _, e := range endpoints {
			before[e.Name] = w.endpoints[e.Name]
		}
	}
	for _, e := range endpoints {
		w.endpoints[e.Name] = e
		if decision.EndpointState(e.State) == decision.Removed {
			delete(w.endpoints, e.Name)
		}
	}
	return departedEndpoints(before, w.endpoints)
}

// confirmation returns the message to the event loop that discovery has just confirmed the current version of the list.
func (w *endpointWatch) confirmation(socket *socket, departed []string) endpointsConfirmed {
	readAt := w.server.now()
	return endpointsConfirmed{
		version:   w.version,
		readAt:    readAt,
		arrivedAt: readAt - tcpinfo.InputAge(socket.raw),
		departed:  departed,
	}
}
