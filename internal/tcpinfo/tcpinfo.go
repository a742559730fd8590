// Package tcpinfo reads TCP_INFO of connections: the kernel's times of events that a delayed process notices late.
package tcpinfo

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// InputAge returns the time since the last bytes of the peer arrived or, if none have, since the connection was established.
// This process can notice either event long after it happened, above all if the connection waited in the listener's backlog.
// It returns 0 where the kernel does not report it.
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
