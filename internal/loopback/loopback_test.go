package loopback

import (
	"net"
	"testing"
)

// TestFreeAddressStaysFree guards against an outgoing connection that takes the port of the free address, so that the process
// that should listen on it can't start.
func TestFreeAddressStaysFree(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	address := connectFromFreePort(t, peer.Addr().String())
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
}

// connectFromFreePort connects to a peer from the port of a free address, as the kernel does by chance, and returns that
// address.
func connectFromFreePort(t *testing.T, peer string) (address string) {
	const tries = 100 // another connection of the machine may use the port at 127.0.0.1
	for range tries {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ := net.SplitHostPort(address)
		source, err := net.ResolveTCPAddr("tcp", net.JoinHostPort("127.0.0.1", port))
		if err != nil {
			t.Fatal(err)
		}
		if outgoing, err := (&net.Dialer{LocalAddr: source}).Dial("tcp", peer); err == nil {
			t.Cleanup(func() { outgoing.Close() })
			return address
		}
	}
	t.Fatalf("no connection in %d tries", tries)
	return ""
}
