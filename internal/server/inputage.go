package server

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// inputAge is how long ago the last bytes of the peer came or, where none have, how long ago the connection was made: both
// may be well before they are seen here, above all behind others in the listener's backlog. It is 0 where the kernel does not tell.
func inputAge(raw syscall.RawConn) time.Duration {
	age := time.Duration(0)
	raw.Control(func(fd uintptr) { // an error leaves the age at 0
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// hasInput reports whether something is there to be read, an end or an error included, and leaves it there.
func hasInput(raw syscall.RawConn) bool {
	found := true
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = err != syscall.EAGAIN
	})
	return found
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
