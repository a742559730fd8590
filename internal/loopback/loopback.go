// Package loopback finds free listen addresses for child processes.
package loopback

import "net"

// listenHost is a loopback address that the kernel never chooses as the source of an outgoing connection. With 127.0.0.1 an
// outgoing connection could take the port that was found free.
const listenHost = "127.0.0.2"

// FreeAddress returns an address (host:port) that is currently free.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(listenHost, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
