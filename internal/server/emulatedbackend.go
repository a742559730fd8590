package server

import (
	"time"

	"sandyard/emulator"
	"sandyard/fault"
)

// EmulatedBackend runs package emulator's backend on a TCP socket.
type EmulatedBackend struct {
	emulatedServer
	backend *emulator.Backend // guarded by mu
	timer   *time.Timer       // runs advance when the backend's next job is due
}

// StartBackend starts a backend on an address (host:port). onEvent, which may be nil, is called for each event with the
// backend's lock held: it must not block. Close stops the backend.
func StartBackend(addr string, cfg emulator.BackendConfig, onEvent func(emulator.Event)) (*EmulatedBackend, error) {
	b := &EmulatedBackend{emulatedServer: emulatedServer{startTime: time.Now(), conns: map[*emulatorConn]struct{}{}}}
	b.backend = emulator.NewBackend(cfg, b.now())
	b.backend.OnEvent = onEvent
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

// Set begins a fault with a value, or ends it. It returns an error if the backend cannot listen on its address again when a
// refusal ends.
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

// Close stops the backend: its connections close, and pending responses are lost. It waits for the goroutines.
func (b *EmulatedBackend) Close() {
	b.timer.Stop()
	b.close()
}

// advance completes the jobs that are due and writes their responses. The timer calls it.
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
		for ec := range b.conns { // a backend has few connections
			if ec.backend == conn {
				b.write(ec)
			}
		}
	})
	b.scheduleAdvance()
}

// scheduleAdvance sets the timer. If the backend has collapsed, it closes the listener and resets all connections. The caller
// holds mu.
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

// write writes the output of a connection's state machine to its client. The caller holds mu.
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
