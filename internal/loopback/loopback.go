// Package loopback finds addresses for child processes that have to be given one to listen on.
package loopback

import "net"

// listenHost is a loopback address that the kernel chooses for no outgoing connection: the port of one to 127.0.0.1 could be
// the one that was found free.
const listenHost = "127.0.0.2"

// FreeAddress returns an address (host:port) that is free now.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(listenHost, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
