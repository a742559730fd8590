package server

import "syscall"

// hasInput tells whether something lies to be read, an end or an error included, and leaves it there.
func hasInput(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN
}

// smallWindow makes a connection that takes little before it is read.
func smallWindow(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }); e != nil {
		return e
	}
	return err
}
