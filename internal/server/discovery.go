package server

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sandyard/config"
)

// watchSilenceTimeout is how long nothing arrives on a watch before it counts as silent: 1.5 times discovery's heartbeat interval of
// 2 s. A heartbeat is an empty line, which shows that the watch is alive.
const watchSilenceTimeout = 3 * time.Second

// watchLogInterval is the minimum interval between log records of watches that open, and of watches and dials that fail.
const watchLogInterval = time.Second

// endpointWatch watches the endpoint list at discovery. There is one watch at a time. A watch that ends is restarted from the
// version that was received last, so that no change is missed. A watch that falls silent stays open until the connection of the next
// one is established: discovery answers the watches that are open when it is back.
//
// Versions: changes up to a version older than the current one repeat earlier messages and are dropped. Changes up to the
// current version are applied again, which has no effect. Gaps are harmless, since each message has all changes since the
// previous one. A full list is applied whatever its version, since discovery may have restarted its numbering.
type endpointWatch struct {
	server *Server

	readVersion atomic.Uint64 // of the last message that was read; it may still be queued for the event loop
	input       watchInput

	mu           sync.Mutex         // guards address and leaveAddress
	address      string             // host:port
	leaveAddress context.CancelFunc // ends the watch at the current address; nil before run

	firstListTimeouts firstListTimeouts // set before run
	silenceTimeout    time.Duration     // set before run

	failureLoggedAt atomic.Int64 // time.Duration: when a failure was last logged

	// Used by the goroutine of the watch only.
	openedLoggedAt time.Duration              // when a watch that opened was last logged
	version        uint64                     // of the endpoint list that was last queued for the event loop
	endpoints      map[string]config.Endpoint // that list by name, without removed endpoints
}

func newEndpointWatch(s *Server, address string, version uint64) *endpointWatch {
	w := &endpointWatch{
		server:    s,
		address:   address,
		version:   version,
		endpoints: map[string]config.Endpoint{},

		firstListTimeouts: defaultFirstListTimeouts,
		silenceTimeout:    watchSilenceTimeout,
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
	if address == w.address {
		return
	}
	w.address = address
	if w.leaveAddress != nil {
		w.leaveAddress()
	}
}

// atCurrentAddress returns the address of discovery and a context that ends when the address changes.
func (w *endpointWatch) atCurrentAddress(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.leaveAddress = context.WithCancel(ctx)
	return ctx, w.address
}

// run watches discovery until its context ends. Requests are rejected until discovery has answered (see firstListTimeouts).
func (w *endpointWatch) run(ctx context.Context) {
	stopTimers := w.startFirstListTimers(ctx)
	defer stopTimers()
	for ctx.Err() == nil {
		addressCtx, address := w.atCurrentAddress(ctx)
		w.watchAddress(addressCtx, address)
	}
}

// watchAddress watches discovery at an address until the context ends.
func (w *endpointWatch) watchAddress(ctx context.Context, address string) {
	dialer := newWatchDialer(w, address)
	socket := dialer.connect(ctx, w.waitUnwatched)
	for socket != nil {
		if socket = w.watchOnce(ctx, dialer, socket); socket == nil {
			socket = dialer.connect(ctx, w.waitUnwatched)
		}
	}
}

// waitUnwatched records that the goroutine begins to wait while no watch is open. Discovery could not be reached at probedAt.
func (w *endpointWatch) waitUnwatched(probedAt time.Duration) {
	w.input.markUnwatched(w.server.now(), probedAt)
	w.input.markCaughtUp(w.server.now())
}

// watchOnce runs a watch on a connection until the watch ends. If the watch ended because it was silent and its replacement is
// established, watchOnce returns the connection of the replacement, else nil.
func (w *endpointWatch) watchOnce(ctx context.Context, dialer *watchDialer, socket *socket) (next *socket) {
	watchCtx, endWatch := context.WithCancel(ctx)
	defer endWatch()
	replacement := &watchReplacement{dialer: dialer, watchCtx: watchCtx, endWatch: endWatch}
	err := w.readMessages(watchCtx, socket, replacement)
	next = replacement.take()
	if ctx.Err() != nil {
		if next != nil {
			next.close()
		}
		return nil
	}
	w.logFailure(dialer.address, err)
	return next
}

// readMessages requests a watch on a connection, and reads its messages until it ends.
func (w *endpointWatch) readMessages(ctx context.Context, socket *socket, replacement *watchReplacement) error {
	defer socket.close()
	defer socket.releaseBuffer()
	w.input.markBehind()
	w.input.socket.Store(socket)
	defer w.input.socket.Store(nil)
	stop := context.AfterFunc(ctx, func() { socket.conn.SetReadDeadline(expiredDeadline) }) // data that has arrived is still read
	defer stop()
	address := replacement.dialer.address
	socket.write(fmt.Appendf(nil, "GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\nHost: %s\r\n\r\n", w.version, address))
	unwatchedFor := w.input.unwatchedFor(w.server.now())
	w.input.markWatched(w.server.now(), replacement.dialer.unreachableAt)
	logOpened := sync.OnceFunc(func() { w.logOpened(address, unwatchedFor) })
	received := func() {
		replacement.dialer.reset()
		w.input.markAnswered()
		logOpened()
	}
	body := newWatchBody(ctx, &w.input, socket, w.silenceTimeout, watchEvents{
		onHeartbeat: func() { // the current version is confirmed without changes
			w.server.postEndpoints(w.confirmation(socket, nil))
			received()
		},
		onSilence: replacement.begin,
		onBytes:   replacement.abandon,
	})
	messages := json.NewDecoder(body)
	for {
		var text json.RawMessage
		if err := messages.Decode(&text); err != nil {
			return err
		}
		body.messageBytes = 0
		if err := w.handleMessage(socket, text); err != nil {
			return err
		}
		received()
	}
}

// logOpened logs that discovery answers a watch, once a second at most. Before the watch was opened, none was open for unwatchedFor.
func (w *endpointWatch) logOpened(address string, unwatchedFor time.Duration) {
	now := w.server.now()
	if now < w.openedLoggedAt+watchLogInterval {
		return
	}
	w.openedLoggedAt = now
	w.server.log.Info("watch opened", "addr", address, "seq", w.version, "unwatched_ms", unwatchedFor.Milliseconds())
}

// logFailure logs the failure of a watch or a dial, once a second at most: while discovery is down, dials fail many times a second.
// Any goroutine may call it.
func (w *endpointWatch) logFailure(address string, err error) {
	now := w.server.now()
	last := w.failureLoggedAt.Load()
	if now < time.Duration(last)+watchLogInterval || !w.failureLoggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	w.server.log.Warn("watch of discovery", "addr", address, "error", err, "seq", w.readVersion.Load())
}
