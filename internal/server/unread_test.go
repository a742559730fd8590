package server

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestUnusualDiscoveryInputDoesNotStopRequests: no attempt begins while a message of discovery is unread. Input that is not such
// a message must not count as one for long, or the instance would reject all requests without need.
func TestUnusualDiscoveryInputDoesNotStopRequests(t *testing.T) {
	for name, send := range map[string]func(rig *drainRig){
		"a message of which half has come": func(rig *drainRig) {
			writeChunk(rig.watch, `{"seq":8,"whole":false,"ho`)
		},
		"a large list in small pieces": func(rig *drainRig) {
			text := `{"seq":8,"whole":false,"hosts":[]` + strings.Repeat(" ", 4*readSize) + "}\n"
			for len(text) > 0 {
				n := min(len(text), readSize/16)
				writeChunk(rig.watch, text[:n])
				text = text[n:]
			}
			rig.waitForLog("seq=8")
		},
		"a watch that was reset behind an unread message, and discovery refuses the next": func(rig *drainRig) {
			release := rig.holdWatch()
			writeChunk(rig.watch, `{"seq":8,"whole":false,"ho`)
			rig.watch.(*net.TCPConn).SetLinger(0)
			rig.watch.Close()
			rig.server.SetAddresses(refusingAddress(rig.T), "")
			release()
			rig.waitForLog("watch of discovery")
		},
		"an answer that is no list, again and again": func(rig *drainRig) {
			rig.server.SetAddresses(startAgent(rig.T, func(_ int, c net.Conn, _ string) {
				io.WriteString(c, watchHead)
				writeChunk(c, "no list\n")
			}), "")
			rig.waitForLog("invalid character")
		},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			rig := startDrainRig(t)
			send(rig)
			time.Sleep(2 * testDrainGrace)
			for id := 1; id <= 5; id++ {
				if status := rig.status(nodeRequest(id)); status != 200 {
					t.Errorf("request %d: %d", id, status)
				}
			}
		})
	}
}

// refusingAddress returns an address at which connections are refused.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// waitClosedByPeer waits until the kernel has processed the peer's reset of a connection.
func waitClosedByPeer(t *testing.T, socket *socket) {
	t.Helper()
	const stateClosed = 7 // TCP_CLOSE
	state := uint8(0)
	for limit := time.Now().Add(orderTimeout); state != stateClosed; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("connection state: %d", state)
		}
		socket.raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err != nil {
				t.Fatal(err)
			}
			state = info.State
		})
	}
}

// TestUnreadBytesSurviveReset: bytes that arrived before a reset of the watch must still be readable.
func TestUnreadBytesSurviveReset(t *testing.T) {
	const notice = "notice"
	socket, discovery := newSocketPair(t)
	discovery.Write([]byte(notice))
	waitReadable(t, socket)
	discovery.SetLinger(0)
	discovery.Close()
	waitClosedByPeer(t, socket)
	if !hasUnreadBytes(socket) {
		t.Error("no unread bytes")
	}
	input := watchInput{now: func() time.Duration { return time.Hour }}
	if b, err := input.read(socket); string(b) != notice || err != nil {
		t.Errorf("%q, %v, want %q", b, err, notice)
	}
}
