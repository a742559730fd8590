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

const (
	// readSize (16 KiB) is how much is read at once: a head of usual size with a small body.
	readSize = 16 << 10
	// flushChunk (64 KiB) is how much a peer has to take within a write timeout: a slow peer that takes some is not cut off.
	flushChunk = 64 << 10
)

var readBuffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

// socket is a TCP connection that is written without blocking: what the kernel does not take at once is kept, and a
// goroutine writes it. It is read into borrowed buffers that are held only while there is something to read, so that an
// idle connection costs none.
//
// One goroutine reads: read, readAvailable, releaseBuffer. All other methods may be called by any.
type socket struct {
	conn         *net.TCPConn
	raw          syscall.RawConn
	writeTimeout time.Duration // for the peer to take flushChunk

	// mu guards all below, but for the fields of the reading goroutine.
	mu            sync.Mutex
	onFlushed     func()    // called, without locks held, when what was kept is written or lost; nil: nothing is
	writeProgress sync.Cond // on mu: signalled when unwritten shrinks, flushing ends or the socket fails
	unwritten     []byte
	flushing      bool // a goroutine writes what is unwritten
	failed        bool // closed, or a write has failed: nothing more is written
	incomplete    bool // it failed, and not all that it was given was handed to the kernel
	tryWriteFunc  func(fd uintptr) bool
	writeSource   []byte // of the write under way, with its result
	writeCount    int
	writeError    error

	// Of the reading goroutine.
	tryReadFunc func(fd uintptr) bool
	readBuffer  *[]byte // nil: none is borrowed
	readCount   int     // the result of the read under way
	readError   error
}

func newSocket(conn *net.TCPConn, writeTimeout time.Duration) (*socket, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &socket{conn: conn, raw: raw, writeTimeout: writeTimeout}
	s.writeProgress.L = &s.mu
	s.tryReadFunc, s.tryWriteFunc = s.tryRead, s.tryWrite
	return s, nil
}

// tryRead reads what is there, and reports whether the read is over: false, nothing is there. The buffer is given back then.
func (s *socket) tryRead(fd uintptr) bool {
	if s.readBuffer == nil {
		s.readBuffer = readBuffers.Get().(*[]byte)
	}
	for {
		n, err := syscall.Read(int(fd), *s.readBuffer)
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			s.releaseBuffer()
			return false
		}
		s.readCount, s.readError = max(0, n), err
		return true
	}
}

// waitForInput waits until bytes, an end or an error are there to be read, until the read deadline at most, and leaves them there.
func (s *socket) waitForInput() error { return s.raw.Read(fdHasInput) }

// read waits for bytes, until the read deadline at most. They are good until the next call of read, readAvailable or
// releaseBuffer. The end of the peer's sending is io.EOF; a deadline that passes is an error that isTimeout reports.
func (s *socket) read() ([]byte, error) {
	s.releaseBuffer()
	s.readCount, s.readError = 0, nil
	if err := s.raw.Read(s.tryReadFunc); err != nil {
		return nil, err
	}
	if s.readError != nil {
		return nil, s.readError
	}
	if s.readCount == 0 {
		return nil, io.EOF
	}
	return (*s.readBuffer)[:s.readCount], nil
}

// readAvailable reads what is there without waiting: nil, there is nothing. The bytes are good as those of read.
func (s *socket) readAvailable() []byte {
	s.releaseBuffer()
	s.readCount, s.readError = 0, nil
	err := s.raw.Control(func(fd uintptr) { s.tryRead(fd) })
	if err != nil || s.readError != nil || s.readCount == 0 {
		return nil
	}
	return (*s.readBuffer)[:s.readCount]
}

// releaseBuffer gives the borrowed buffer back. The reading goroutine calls it when it has done with the last read.
func (s *socket) releaseBuffer() {
	if s.readBuffer != nil {
		readBuffers.Put(s.readBuffer)
		s.readBuffer = nil
	}
}

// consumeUnexpectedByte reports whether a byte, the end of the peer's sending or an error is there to be read, while
// nothing is expected. A byte that is there is consumed: the connection is of no use then. It does not wait.
func (s *socket) consumeUnexpectedByte() bool {
	nothing := false
	err := s.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		nothing = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err != nil || !nothing
}

// clearReadDeadline takes the read deadline back, unless it is there because writing has failed.
func (s *socket) clearReadDeadline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failed {
		s.conn.SetReadDeadline(time.Time{})
	}
}

// tryWrite writes what the kernel takes at once. It is always over: the rest is flush's.
func (s *socket) tryWrite(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), s.writeSource[s.writeCount:])
		if n > 0 {
			s.writeCount += n
		}
		switch err {
		case syscall.EINTR:
			continue
		case nil, syscall.EAGAIN:
		default:
			s.writeError = err
		}
		return true
	}
}

// write hands bytes to the kernel as far as it takes them and keeps the rest. It never blocks. incomplete reports that the
// connection failed before all of b was handed to the kernel; a part of it may have been.
func (s *socket) write(b []byte) (incomplete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		s.incomplete = true
		return true
	}
	if s.flushing {
		s.unwritten = append(s.unwritten, b...)
		return false
	}
	s.writeSource, s.writeCount, s.writeError = b, 0, nil
	err := s.raw.Write(s.tryWriteFunc)
	s.writeSource = nil
	if err != nil || s.writeError != nil {
		s.incomplete = s.writeCount < len(b)
		s.failLocked()
		return s.incomplete
	}
	if s.writeCount < len(b) {
		s.unwritten = append(s.unwritten, b[s.writeCount:]...)
		s.flushing = true
		go s.flush() // ends within writeTimeout of the last chunk, or with close
	}
	return false
}

// flush writes what was kept. It ends when all is written, the peer takes too long over flushChunk, or the socket closes.
func (s *socket) flush() {
	s.mu.Lock()
	for len(s.unwritten) > 0 && !s.failed {
		chunk := s.unwritten[:min(len(s.unwritten), flushChunk)]
		s.mu.Unlock()
		s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout))
		n, err := s.conn.Write(chunk)
		s.mu.Lock()
		s.unwritten = s.unwritten[n:]
		if err != nil {
			s.failLocked()
		}
		s.writeProgress.Broadcast()
	}
	s.incomplete = len(s.unwritten) > 0
	s.unwritten, s.flushing = nil, false
	s.writeProgress.Broadcast()
	if !s.failed {
		s.conn.SetWriteDeadline(time.Time{})
	}
	onFlushed := s.onFlushed
	s.mu.Unlock()
	if onFlushed != nil {
		onFlushed()
	}
}

func (s *socket) failLocked() {
	s.failed = true
	s.writeProgress.Broadcast()
	s.conn.SetReadDeadline(inThePast) // the reader finds out
}

// unwrittenBytes is how many bytes are kept.
func (s *socket) unwrittenBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unwritten)
}

// closedOrFailed reports whether a write has failed, or the socket was closed.
func (s *socket) closedOrFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// waitUnwrittenBelow waits until less than n bytes are kept or the socket has failed.
func (s *socket) waitUnwrittenBelow(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unwritten) >= n && !s.failed {
		s.writeProgress.Wait()
	}
}

// closeAndFlushed closes the socket and reports whether the kernel had taken all that it was handed.
func (s *socket) closeAndFlushed() bool {
	s.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.flushing {
		s.writeProgress.Wait()
	}
	return !s.incomplete
}

// closeAfterFlush closes the connection when all that it was handed is written. It does not wait.
func (s *socket) closeAfterFlush() {
	s.mu.Lock()
	flushing := s.flushing
	if flushing {
		s.onFlushed = func() { s.conn.Close() }
	}
	s.mu.Unlock()
	if !flushing {
		s.close()
	}
}

// reset closes the connection with a reset; what the peer has not read by then may be lost.
func (s *socket) reset() {
	s.conn.SetLinger(0)
	s.close()
}

// close closes the connection; what was kept is lost.
func (s *socket) close() {
	s.mu.Lock()
	s.failed = true
	s.writeProgress.Broadcast()
	s.mu.Unlock()
	s.conn.Close()
}

// isTimeout reports an error of a read, write or accept whose deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
