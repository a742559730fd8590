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

// The deadlines of the watch. docs/design/platform.md has the sums that must stay under the platform's bounds;
// TestEndpointUpdateDeadlines adds them up.
const (
	// watchSilenceTimeout ends a watch from which nothing comes: 1.5 times discovery's heartbeat interval of 2 s. A
	// heartbeat is an empty line, by which discovery shows that a watch stands.
	watchSilenceTimeout = 3 * time.Second
	// watchDialTimeout bounds the dial of a watch; the agent is on this machine.
	watchDialTimeout = time.Second
	// minWatchBackoff is the wait before a watch that ended is begun again; it doubles, with jitter, up to the most.
	minWatchBackoff = 100 * time.Millisecond
	// maxWatchBackoff bounds that wait, since discovery that can be reached again must be followed within a few seconds.
	maxWatchBackoff = time.Second
	// firstEndpointsTimeout is how long a new instance waits for its first endpoint list, and rejects requests; then it
	// goes by the one in its configuration. A first watch that stays silent, and the one after it, fit in.
	firstEndpointsTimeout = watchSilenceTimeout + minWatchBackoff + watchDialTimeout + firstAnswerTime
	// firstAnswerTime is for discovery's first answer to a watch to come and to be handled.
	firstAnswerTime = 500 * time.Millisecond
	// firstEndpointsPoll is how often it is checked after that whether discovery's answer lies unread.
	firstEndpointsPoll = 20 * time.Millisecond
)

// maxLastReads bounds the reads of a watch that is ended: a message of the greatest size.
const maxLastReads = platform.MaxEndpointListBytes / readSize

var (
	errWatchEnded      = errors.New("the watch ended")
	errMessageTooLarge = fmt.Errorf("a message of more than %d bytes", platform.MaxEndpointListBytes)
)

// watchStatusError is a status other than 200 in answer to a watch.
type watchStatusError int

func (status watchStatusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

// endpointWatch follows the endpoint list at discovery. One watch stands at a time; one that ends or falls silent is
// begun again from the version that was seen last, so that no change is missed.
//
// Versions: changes up to an older version than the one held are an echo, and are dropped; those up to the same one are
// taken again, which changes nothing. Gaps mean nothing, since each message has all that changed since the one before it.
// A whole list holds whatever its version is: discovery may have begun to count anew.
type endpointWatch struct {
	server *Server

	readVersion atomic.Uint64 // of the last message that was read, which may still wait for the event loop
	input       watchInput

	mu             sync.Mutex // guards address and addressChanged
	address        string     // host:port
	addressChanged chan struct{}

	// Of the goroutine of the watch.
	version   uint64                     // of the endpoint list as it was handed to the event loop
	endpoints map[string]config.Endpoint // that list by name, without what is removed
}

func newEndpointWatch(s *Server, address string, version uint64) *endpointWatch {
	w := &endpointWatch{
		server:         s,
		address:        address,
		addressChanged: make(chan struct{}),
		version:        version,
		endpoints:      map[string]config.Endpoint{},
	}
	w.readVersion.Store(version)
	w.input.start(s.now)
	for _, e := range s.cfg.Endpoints {
		w.endpoints[e.Name] = e
	}
	return w
}

// setAddress goes on at another address. Any goroutine may call it; it does not block.
func (w *endpointWatch) setAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address != w.address {
		w.address = address
		close(w.addressChanged)
		w.addressChanged = make(chan struct{})
	}
}

// run follows discovery until its context ends. Requests are rejected until discovery has answered, or for
// firstEndpointsTimeout.
func (w *endpointWatch) run(ctx context.Context) {
	late := time.AfterFunc(firstEndpointsTimeout, func() { w.giveUpFirstList(ctx) })
	defer late.Stop()
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		w.mu.Lock()
		address, addressChanged := w.address, w.addressChanged
		w.mu.Unlock()
		received, err := w.watchUntilChanged(ctx, address, addressChanged)
		if received {
			backoff = minWatchBackoff
		}
		w.input.wait(w.server.now())
		select {
		case <-addressChanged:
			backoff = minWatchBackoff
			continue
		case <-ctx.Done():
			return
		case <-time.After(jitter(backoff)):
		}
		w.input.resume()
		w.server.log.Warn("watch of discovery", "addr", address, "error", err, "seq", w.version)
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// giveUpFirstList lets the instance go by the list in its configuration, once discovery has nothing to say: its answer may
// be there, and not read yet.
func (w *endpointWatch) giveUpFirstList(ctx context.Context) {
	for !w.input.isSilent() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(firstEndpointsPoll):
		}
	}
	w.server.post(endpointsInForce{})
}

// jitter draws a wait between a half of d and d, so that instances that lost discovery together do not come back together.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()/2) * float64(d))
}

// watchUntilChanged runs one watch until it ends, its context does, or the address has changed.
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

// watchOnce runs one watch until it ends, and reports whether anything came of it.
func (w *endpointWatch) watchOnce(ctx context.Context, address string) (received bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, watchDialTimeout)
	w.input.wait(w.server.now())
	socket, err := dialTCP(dialCtx, address, watchSilenceTimeout)
	cancel()
	if err != nil {
		return false, err
	}
	defer socket.close()
	defer socket.releaseBuffer()
	w.input.socket.Store(socket)
	defer w.input.socket.Store(nil)
	stop := context.AfterFunc(ctx, func() { socket.conn.SetReadDeadline(expiredDeadline) }) // what has come is still read
	defer stop()
	socket.write(fmt.Appendf(nil, "GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n", w.version, address))
	body := newWatchBody(ctx, &w.input, socket, func() { // nothing has changed since the version that is held
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

// watchBody is the body of the answer to a watch as a stream, for as long as something comes: a message is one JSON value,
// however it is laid out and wherever it is cut, with empty lines between.
type watchBody struct {
	ctx          context.Context // of the watch: with its end, what has come is read and no more is waited for
	input        *watchInput
	socket       *socket
	lastReads    int // reads after ctx has ended
	responses    *http1.Reader
	unparsed     []byte // bytes of the connection
	unread       []byte // bytes of the body
	messageBytes int    // bytes of the message that is being read, and of what came after it
	onHeartbeat  func() // called for each part that is blank while no message has begun
}

func newWatchBody(ctx context.Context, input *watchInput, socket *socket, onHeartbeat func()) *watchBody {
	body := &watchBody{ctx: ctx, input: input, socket: socket, responses: http1.NewResponses(http1.Limits{}), onHeartbeat: onHeartbeat}
	body.responses.Expect("GET")
	return body
}

// Read waits for a part of the body, for watchSilenceTimeout at most. The end of the body is an error.
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

// readPart parses the next part of the answer, or reads what it lacks.
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

// readSocket waits for bytes, for watchSilenceTimeout at most, and not any more once the watch is to end: what has come by
// then is read.
func (b *watchBody) readSocket() ([]byte, error) {
	b.socket.conn.SetReadDeadline(time.Now().Add(watchSilenceTimeout))
	if b.ctx.Err() != nil {
		b.socket.conn.SetReadDeadline(expiredDeadline)
		if b.lastReads++; b.lastReads > maxLastReads {
			return nil, errWatchEnded
		}
	}
	return b.input.read(b.socket)
}

// handleMessage hands a message of discovery to the event loop. An entry that can't be read is logged; what is held of it
// stays. It fails where the message as a whole can't be read.
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
		endpoints = append(endpoints, w.heldOf(update.Malformed)...)
	}
	departed := w.holdEndpoints(endpoints, update.Full)
	w.version = update.Version
	w.readVersion.Store(update.Version)
	confirmed := w.confirmation(socket, departed)
	change := proxy.EndpointsUpdate{Endpoints: endpoints, Origin: w.server.clockOrigin()}
	if update.Full {
		w.server.postEndpoints(endpointsReplaced{change}, confirmed)
	} else {
		w.server.postEndpoints(endpointsUpdated{change}, confirmed)
	}
	for _, wrong := range update.Malformed { // after the rest is handed over: a log that is held up must not hold that up
		w.server.log.Warn("list of boxes: an entry is not taken", "seq", update.Version, "error", wrong.Err)
	}
	w.server.log.Info("list of boxes", "seq", update.Version, "whole", update.Full, "entries", len(endpoints))
	return nil
}

// heldOf returns what is held of the hosts whose entries can't be read.
func (w *endpointWatch) heldOf(malformed []platform.EndpointError) (held []config.Endpoint) {
	for _, wrong := range malformed {
		if endpoint, ok := w.endpoints[wrong.Host]; ok {
			held = append(held, endpoint)
		}
	}
	return held
}

// holdEndpoints keeps what a message says, and returns the addresses of the endpoints that it takes out of use.
func (w *endpointWatch) holdEndpoints(endpoints []config.Endpoint, full bool) (departed []string) {
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

// confirmation is what tells the event loop that discovery has just said something by which the list of the held version is
// current.
func (w *endpointWatch) confirmation(socket *socket, departed []string) endpointsConfirmed {
	readAt := w.server.now()
	return endpointsConfirmed{
		version:   w.version,
		readAt:    readAt,
		arrivedAt: readAt - tcpinfo.InputAge(socket.raw),
		departed:  departed,
	}
}
