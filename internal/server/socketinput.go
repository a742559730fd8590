package server

import "syscall"

// hasInput reports whether something is there to be read, an end or an error included, and leaves it there.
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

// hasUnreadBytes reports whether bytes are there to be read on a connection; nil: there is none. It does not wait. An end or an
// error alone, which hasInput counts as well, is not.
func hasUnreadBytes(s *socket) bool {
	if s == nil {
		return false
	}
	found := false
	s.raw.Control(func(fd uintptr) { // an error: the watch has ended
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = n > 0
	})
	return found
}
