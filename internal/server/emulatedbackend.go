package server

import (
	"time"

	"sandyard/emulator"
	"sandyard/fault"
)

// EmulatedBackend is package emulator's backend on a TCP socket.
type EmulatedBackend struct {
	emulatedServer
	backend *emulator.Backend // mu guards it
	timer   *time.Timer       // of the backend's next step
}

// StartBackend starts a backend on an address (host:port). facts, if given, is called with what happens, under the
// backend's lock: it must not block. Close ends the backend.
func StartBackend(addr string, cfg emulator.BackendConfig, facts func(emulator.Fact)) (*EmulatedBackend, error) {
	b := &EmulatedBackend{emulatedServer: emulatedServer{startTime: time.Now(), conns: map[*emulatorConn]struct{}{}}}
	b.backend = emulator.NewBackend(cfg, b.now())
	b.backend.Facts = facts
	b.timer = time.AfterFunc(time.Hour, b.advance) // scheduleAdvance sets its time
	b.onAccept = func(ec *emulatorConn) { ec.backend = b.backend.NewConn() }
	b.onDisconnect = func(ec *emulatorConn) { ec.backend.Closed() }
	b.onBytes = func(ec *emulatorConn, in []byte) {
		ec.backend.Feed(b.now(), in)
		b.write(ec)
		b.scheduleAdvance()
	}
	if err := b.listen(addr); err != nil {
		b.timer.Stop()
		return nil, err
	}
	return b, nil
}

// Set begins a fault with a value, or ends it. It fails where the address can't be had again after a refusal.
func (b *EmulatedBackend) Set(v fault.Verb, value float64, on bool) error {
	b.mu.Lock()
	b.backend.Set(b.now(), v, value, on)
	b.scheduleAdvance()
	b.mu.Unlock()
	if v == fault.Refuse {
		return b.setRefusing(on)
	}
	return nil
}

// Close stops the backend: its connections close, and responses under way are lost. It waits for the goroutines.
func (b *EmulatedBackend) Close() {
	b.timer.Stop()
	b.close()
}

// advance completes the jobs that are due, and writes their responses. The timer runs it.
func (b *EmulatedBackend) advance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	now := b.now()
	b.backend.Advance(now, func(job *emulator.Job) {
		conn := job.Conn()
		conn.Done(now, job)
		for ec := range b.conns { // few
			if ec.backend == conn {
				b.write(ec)
			}
		}
	})
	b.scheduleAdvance()
}

// scheduleAdvance sets the timer; a backend that has collapsed refuses connections from then on. mu is held.
func (b *EmulatedBackend) scheduleAdvance() {
	if b.backend.HasCollapsed() && b.listener != nil {
		listener := b.listener
		b.listener = nil
		listener.Close()
		b.resetConns()
	}
	if next := b.backend.Next(); next != 0 {
		b.timer.Reset(max(0, next-b.now()))
	}
}

// write writes what a connection's state machine has for its client; mu is held.
func (b *EmulatedBackend) write(ec *emulatorConn) {
	if len(ec.backend.Out) > 0 {
		ec.socket.write(ec.backend.Out)
		ec.backend.Out = ec.backend.Out[:0]
	}
	if !ec.backend.Close {
		return
	}
	if ec.backend.Abort {
		ec.socket.conn.SetLinger(0)
	}
	ec.socket.closeAfterFlush()
}
