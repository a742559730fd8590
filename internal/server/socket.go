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

var readBuffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

// socket is a connection that is written without blocking: what the kernel does not take at once is kept, and a
// goroutine writes it. It is read into borrowed buffers that are held only while there is something to read, so
// that an idle connection costs none.
type socket struct {
	conn         *net.TCPConn
	raw          syscall.RawConn
	writeTimeout time.Duration // for the peer to take 64 KiB
	onFlushed    func()        // called, without locks held, when what was kept is out or lost

	mu            sync.Mutex
	writeProgress sync.Cond // signalled when out shrinks or the link fails
	unwritten     []byte
	flushing      bool
	failed        bool
	incomplete    bool // it failed, and not all that it was handed went out

	// of the reading goroutine
	tryReadFunc func(fd uintptr) bool
	readBuffer  *[]byte
	readCount   int
	readError   error
	// of the writing side, under mu
	tryWriteFunc func(fd uintptr) bool
	writeSource  []byte
	writeCount   int
	writeError   error
}

func newSocket(conn *net.TCPConn, timeout time.Duration) (*socket, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &socket{conn: conn, raw: raw, writeTimeout: timeout}
	l.writeProgress.L = &l.mu
	l.tryReadFunc, l.tryWriteFunc = l.tryRead, l.tryWrite
	return l, nil
}

func (l *socket) tryRead(fd uintptr) bool {
	if l.readBuffer == nil {
		l.readBuffer = readBuffers.Get().(*[]byte)
	}
	for {
		n, err := syscall.Read(int(fd), *l.readBuffer)
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			readBuffers.Put(l.readBuffer)
			l.readBuffer = nil
			return false
		}
		l.readCount, l.readError = max(0, n), err
		return true
	}
}

// read waits for bytes. They are good until the next call, which must come even after an error has been seen only
// to give the buffer back with done.
func (l *socket) read() ([]byte, error) {
	l.releaseBuffer()
	l.readCount, l.readError = 0, nil
	if err := l.raw.Read(l.tryReadFunc); err != nil {
		return nil, err
	}
	if l.readError != nil {
		return nil, l.readError
	}
	if l.readCount == 0 {
		return nil, io.EOF
	}
	return (*l.readBuffer)[:l.readCount], nil
}

// releaseBuffer gives the buffer back.
func (l *socket) releaseBuffer() {
	if l.readBuffer != nil {
		readBuffers.Put(l.readBuffer)
		l.readBuffer = nil
	}
}

func (l *socket) tryWrite(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), l.writeSource[l.writeCount:])
		if n > 0 {
			l.writeCount += n
		}
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN || err == nil && l.writeCount < len(l.writeSource):
			return true // the rest is the flusher's
		case err != nil:
			l.writeError = err
		}
		return true
	}
}

// write hands bytes to the kernel as far as it takes them and keeps the rest. It never blocks. short tells that the
// connection failed before all of b went out.
func (l *socket) write(b []byte) (incomplete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		l.incomplete = true
		return true
	}
	if l.flushing {
		l.unwritten = append(l.unwritten, b...)
		return false
	}
	l.writeSource, l.writeCount, l.writeError = b, 0, nil
	err := l.raw.Write(l.tryWriteFunc)
	l.writeSource = nil
	if err != nil || l.writeError != nil {
		l.incomplete = l.writeCount < len(b)
		l.failLocked()
		return l.incomplete
	}
	if l.writeCount < len(b) {
		l.unwritten = append(l.unwritten, b[l.writeCount:]...)
		l.flushing = true
		go l.flush()
	}
	return false
}

// flush writes what was kept. It ends when all is out, or the peer takes too long over 64 KiB, or the link closes.
func (l *socket) flush() {
	l.mu.Lock()
	for len(l.unwritten) > 0 && !l.failed {
		chunk := l.unwritten[:min(len(l.unwritten), 64<<10)]
		l.mu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(l.writeTimeout))
		n, err := l.conn.Write(chunk)
		l.mu.Lock()
		l.unwritten = l.unwritten[n:]
		if err != nil {
			l.failLocked()
		}
		l.writeProgress.Broadcast()
	}
	l.incomplete = len(l.unwritten) > 0
	l.unwritten, l.flushing = nil, false
	l.writeProgress.Broadcast()
	if !l.failed {
		l.conn.SetWriteDeadline(time.Time{})
	}
	f := l.onFlushed
	l.mu.Unlock()
	if f != nil {
		f()
	}
}

func (l *socket) failLocked() {
	l.failed = true
	l.writeProgress.Broadcast()
	l.conn.SetReadDeadline(time.Unix(1, 0)) // the reader finds out
}

// clearReadDeadline takes the read deadline back, unless it is there to end the reading for good.
func (l *socket) clearReadDeadline() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failed {
		l.conn.SetReadDeadline(time.Time{})
	}
}

// unwrittenBytes is how many bytes are kept.
func (l *socket) unwrittenBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unwritten)
}

// writeFailed tells whether writing has failed.
func (l *socket) writeFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// waitUnwrittenBelow waits until less than n bytes are kept or the link has failed.
func (l *socket) waitUnwrittenBelow(n int) {
	l.mu.Lock()
	for len(l.unwritten) >= n && !l.failed {
		l.writeProgress.Wait()
	}
	l.mu.Unlock()
}

// nothingToRead tells that nothing lies there to be read, and that the other side has not ended; what does lie there is lost. It
// does not wait.
func (l *socket) nothingToRead() bool {
	quiet := false
	err := l.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && quiet
}

// readAvailable reads what lies there, and does not wait. The bytes are good until the next read.
func (l *socket) readAvailable() []byte {
	l.releaseBuffer()
	l.readCount, l.readError = 0, nil
	if l.raw.Control(func(fd uintptr) { l.tryRead(fd) }) != nil || l.readError != nil || l.readCount == 0 {
		return nil
	}
	return (*l.readBuffer)[:l.readCount]
}

// closeAndFlushed closes the link and tells whether the kernel took all that it was handed.
func (l *socket) closeAndFlushed() (whole bool) {
	l.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.flushing {
		l.writeProgress.Wait()
	}
	return !l.incomplete
}

// close ends the link; what was kept is lost.
func (l *socket) close() {
	l.mu.Lock()
	l.failed = true
	l.writeProgress.Broadcast()
	l.mu.Unlock()
	l.conn.Close()
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
