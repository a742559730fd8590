// Package server runs a front door on TCP connections: it carries bytes between sockets and the machines of package
// door, keeps the time and owns the goroutines. It decides nothing.
//
// Goroutines: one that owns door.Core and carries out its wishes; one that accepts; one for each connection, which
// reads; and one for a connection's writing for as long as its peer takes less than we have. Errgroups own them all.
package server

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const readSize = 16 << 10 // bytes read at once

var buffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

// link is a connection that is written without blocking: what the kernel does not take at once is kept, and a
// goroutine writes it. It is read into borrowed buffers that are held only while there is something to read, so
// that an idle connection costs none.
type link struct {
	conn    *net.TCPConn
	raw     syscall.RawConn
	timeout time.Duration // for the peer to take 64 KiB
	flushed func()        // called, without locks held, when what was kept is out or lost

	mu       sync.Mutex
	room     sync.Cond // signalled when out shrinks or the link fails
	out      []byte
	flushing bool
	failed   bool
	short    bool // it failed, and not all that it was handed went out

	// of the reading goroutine
	readFn func(fd uintptr) bool
	buf    *[]byte
	n      int
	err    error
	// of the writing side, under mu
	writeFn func(fd uintptr) bool
	src     []byte
	wrote   int
	werr    error
}

func newLink(conn *net.TCPConn, timeout time.Duration) (*link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, raw: raw, timeout: timeout}
	l.room.L = &l.mu
	l.readFn, l.writeFn = l.tryRead, l.tryWrite
	return l, nil
}

func (l *link) tryRead(fd uintptr) bool {
	if l.buf == nil {
		l.buf = buffers.Get().(*[]byte)
	}
	for {
		n, err := syscall.Read(int(fd), *l.buf)
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			buffers.Put(l.buf)
			l.buf = nil
			return false
		}
		l.n, l.err = max(0, n), err
		return true
	}
}

// read waits for bytes. They are good until the next call, which must come even after an error has been seen only
// to give the buffer back with done.
func (l *link) read() ([]byte, error) {
	l.done()
	l.n, l.err = 0, nil
	if err := l.raw.Read(l.readFn); err != nil {
		return nil, err
	}
	if l.err != nil {
		return nil, l.err
	}
	if l.n == 0 {
		return nil, io.EOF
	}
	return (*l.buf)[:l.n], nil
}

// done gives the buffer back.
func (l *link) done() {
	if l.buf != nil {
		buffers.Put(l.buf)
		l.buf = nil
	}
}

func (l *link) tryWrite(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), l.src[l.wrote:])
		if n > 0 {
			l.wrote += n
		}
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN || err == nil && l.wrote < len(l.src):
			return true // the rest is the flusher's
		case err != nil:
			l.werr = err
		}
		return true
	}
}

// write hands bytes to the kernel as far as it takes them and keeps the rest. It never blocks. short tells that the
// connection failed before all of b went out.
func (l *link) write(b []byte) (short bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		l.short = true
		return true
	}
	if l.flushing {
		l.out = append(l.out, b...)
		return false
	}
	l.src, l.wrote, l.werr = b, 0, nil
	err := l.raw.Write(l.writeFn)
	l.src = nil
	if err != nil || l.werr != nil {
		l.short = l.wrote < len(b)
		l.failLocked()
		return l.short
	}
	if l.wrote < len(b) {
		l.out = append(l.out, b[l.wrote:]...)
		l.flushing = true
		go l.flush()
	}
	return false
}

// flush writes what was kept. It ends when all is out, or the peer takes too long over 64 KiB, or the link closes.
func (l *link) flush() {
	l.mu.Lock()
	for len(l.out) > 0 && !l.failed {
		chunk := l.out[:min(len(l.out), 64<<10)]
		l.mu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(l.timeout))
		n, err := l.conn.Write(chunk)
		l.mu.Lock()
		l.out = l.out[n:]
		if err != nil {
			l.failLocked()
		}
		l.room.Broadcast()
	}
	l.short = len(l.out) > 0
	l.out, l.flushing = nil, false
	l.room.Broadcast()
	if !l.failed {
		l.conn.SetWriteDeadline(time.Time{})
	}
	f := l.flushed
	l.mu.Unlock()
	if f != nil {
		f()
	}
}

func (l *link) failLocked() {
	l.failed = true
	l.room.Broadcast()
	l.conn.SetReadDeadline(time.Unix(1, 0)) // the reader finds out
}

// unarm takes the read deadline back, unless it is there to end the reading for good.
func (l *link) unarm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failed {
		l.conn.SetReadDeadline(time.Time{})
	}
}

// pending is how many bytes are kept.
func (l *link) pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.out)
}

// broken tells whether writing has failed.
func (l *link) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// waitRoom waits until less than n bytes are kept or the link has failed.
func (l *link) waitRoom(n int) {
	l.mu.Lock()
	for len(l.out) >= n && !l.failed {
		l.room.Wait()
	}
	l.mu.Unlock()
}

// quiet tells that nothing lies there to be read, and that the other side has not ended; what does lie there is lost. It
// does not wait.
func (l *link) quiet() bool {
	quiet := false
	err := l.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && quiet
}

// poll reads what lies there, and does not wait. The bytes are good until the next read.
func (l *link) poll() []byte {
	l.done()
	l.n, l.err = 0, nil
	if l.raw.Control(func(fd uintptr) { l.tryRead(fd) }) != nil || l.err != nil || l.n == 0 {
		return nil
	}
	return (*l.buf)[:l.n]
}

// end closes the link and tells whether the kernel took all that it was handed.
func (l *link) end() (whole bool) {
	l.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.flushing {
		l.room.Wait()
	}
	return !l.short
}

// close ends the link; what was kept is lost.
func (l *link) close() {
	l.mu.Lock()
	l.failed = true
	l.room.Broadcast()
	l.mu.Unlock()
	l.conn.Close()
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
