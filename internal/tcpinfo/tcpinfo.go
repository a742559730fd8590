// Package tcpinfo asks the kernel about TCP connections, for what a process that runs late can't tell by its own clock.
package tcpinfo

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// InputAge is how long ago the last bytes of the peer came or, where none have, how long ago the connection was made: both
// may be well before they are seen here, above all behind others in the listener's backlog. It is 0 where the kernel does not
// tell.
func InputAge(raw syscall.RawConn) time.Duration {
	age := time.Duration(0)
	raw.Control(func(fd uintptr) { // an error leaves the age at 0
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
