package server

import "syscall"

// hasInput reports whether bytes, the end of the stream or an error can be read. It consumes nothing.
func hasInput(raw syscall.RawConn) bool {
	found := true
	raw.Control(func(fd uintptr) { found = fdHasInput(fd) })
	return found
}

// fdHasInput is hasInput for a file descriptor.
func fdHasInput(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN
}

// hasUnreadBytes reports whether a connection has unread bytes. Unlike hasInput it does not count the end of the stream or an
// error. s may be nil: there is no connection. It does not wait.
func hasUnreadBytes(s *socket) bool {
	if s == nil {
		return false
	}
	found := false
	s.raw.Control(func(fd uintptr) { // fails only if the socket is closed
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = n > 0
	})
	return found
}
