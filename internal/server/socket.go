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
	// readSize (16 KiB) is the size of a read buffer: a head of typical size with a small body fits.
	readSize = 16 << 10
	// flushChunk (64 KiB) is how much a peer must accept within a write timeout, so that a slow peer that makes progress is
	// not disconnected.
	flushChunk = 64 << 10
)

var readBuffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

// socket is a TCP connection with non-blocking writes: bytes that the kernel does not accept at once are buffered, and a
// goroutine writes them. Reads use pooled buffers that are held only while there is input, so that an idle connection holds
// none.
//
// Only one goroutine, the reader, may call read, readAvailable and releaseBuffer. Any goroutine may call the other methods.
type socket struct {
	conn         *net.TCPConn
	raw          syscall.RawConn
	writeTimeout time.Duration // for the peer to accept flushChunk bytes

	// mu guards all fields below except those of the reader.
	mu            sync.Mutex
	onFlushed     func()    // called without locks held when the buffered bytes are written or lost; may be nil
	writeProgress sync.Cond // on mu: signalled when unwritten shrinks, flushing ends or the socket fails
	unwritten     []byte
	flushing      bool // a goroutine writes the unwritten bytes
	failed        bool // closed, or a write has failed: nothing more is written
	incomplete    bool // the socket failed before all bytes passed to write were handed to the kernel
	tryWriteFunc  func(fd uintptr) bool
	writeSource   []byte // bytes of the write in progress
	writeCount    int    // number of them that the kernel has accepted
	writeError    error

	// Used only by the reader.
	tryReadFunc func(fd uintptr) bool
	readBuffer  *[]byte // from readBuffers; nil: none is held
	readCount   int     // the result of the read in progress
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

// tryRead makes one non-blocking read and reports whether the read is done. If there is no input, it returns the buffer to
// the pool and reports false.
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

// waitForInput waits, at most until the read deadline, until bytes, the end of the stream or an error can be read. It
// consumes nothing.
func (s *socket) waitForInput() error { return s.raw.Read(fdHasInput) }

// read waits for bytes, at most until the read deadline. The bytes are valid until the next call of read, readAvailable or
// releaseBuffer. It returns io.EOF when the peer has closed its sending side, and an error for which isTimeout is true when
// the deadline has passed.
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

// readAvailable reads bytes without waiting. It returns nil if no bytes are available. The bytes are valid as long as those
// of read.
func (s *socket) readAvailable() []byte {
	s.releaseBuffer()
	s.readCount, s.readError = 0, nil
	err := s.raw.Control(func(fd uintptr) { s.tryRead(fd) })
	if err != nil || s.readError != nil || s.readCount == 0 {
		return nil
	}
	return (*s.readBuffer)[:s.readCount]
}

// releaseBuffer returns the read buffer to the pool. The reader calls it when it has processed the last read.
func (s *socket) releaseBuffer() {
	if s.readBuffer != nil {
		readBuffers.Put(s.readBuffer)
		s.readBuffer = nil
	}
}

// consumeUnexpectedByte reports whether a byte, the end of the stream or an error can be read although no input is
// expected. It consumes the byte: the connection cannot be used after that. It does not wait.
func (s *socket) consumeUnexpectedByte() bool {
	noInput := false
	err := s.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noInput = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err != nil || !noInput
}

// clearReadDeadline removes the read deadline, unless the socket has failed and the deadline was set to wake the reader.
func (s *socket) clearReadDeadline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failed {
		s.conn.SetReadDeadline(time.Time{})
	}
}

// tryWrite writes as many bytes as the kernel accepts at once. It always reports true (done): flush writes the rest.
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

// write hands as many bytes to the kernel as it accepts and buffers the rest. It never blocks. incomplete reports that the
// connection failed before all of b was handed to the kernel; a part of b may have been handed over.
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
		go s.flush() // ends when all is written, at close, or when a chunk takes longer than writeTimeout
	}
	return false
}

// flush writes the buffered bytes. It returns when all are written, when the peer does not accept flushChunk bytes within
// writeTimeout, or when the socket is closed.
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
	s.conn.SetReadDeadline(expiredDeadline) // wakes the reader
}

// unwrittenBytes returns the number of buffered bytes.
func (s *socket) unwrittenBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unwritten)
}

// closedOrFailed reports whether a write has failed or the socket was closed.
func (s *socket) closedOrFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// waitUnwrittenBelow waits until fewer than n bytes are buffered or the socket has failed.
func (s *socket) waitUnwrittenBelow(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unwritten) >= n && !s.failed {
		s.writeProgress.Wait()
	}
}

// closeAndFlushed closes the socket and reports whether all bytes passed to write were handed to the kernel.
func (s *socket) closeAndFlushed() bool {
	s.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.flushing {
		s.writeProgress.Wait()
	}
	return !s.incomplete
}

// closeAfterFlush closes the connection once all buffered bytes are written. It does not wait.
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

// reset closes the connection with a reset; the peer may lose bytes that it has not read by then.
func (s *socket) reset() {
	s.conn.SetLinger(0)
	s.close()
}

// close closes the connection and discards the buffered bytes.
func (s *socket) close() {
	s.mu.Lock()
	s.failed = true
	s.writeProgress.Broadcast()
	s.mu.Unlock()
	s.conn.Close()
}

// isTimeout reports whether a read, write or accept failed because its deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
