package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// slowListener is a listener whose backlog is full until open is called. A dial stays unanswered until then. It is
// established a second or more after it began, when the kernel retransmits its SYN.
type slowListener struct {
	addr string
	open func()
}

// startSlowListener starts a slow listener. After open, handle is called for each connection.
func startSlowListener(t *testing.T, handle func(net.Conn, *bufio.Reader)) *slowListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }) // one connection fills the backlog
	if err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var goroutines sync.WaitGroup
	open := sync.OnceFunc(func() {
		goroutines.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				goroutines.Go(func() { defer conn.Close(); handle(conn, bufio.NewReader(conn)) })
			}
		})
	})
	t.Cleanup(func() { filler.Close(); listener.Close(); goroutines.Wait() })
	return &slowListener{listener.Addr().String(), open}
}

// departures are the ways in which discovery takes backend a out of use; %[1]s is its address, %[2]s that of backend b.
var departures = map[string]string{
	"drains":      `{"seq":8,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"leaving","share":1},{"host":"b","dial":"%[2]s","health":"active","share":1}]}`,
	"is removed":  `{"seq":8,"whole":false,"hosts":[{"host":"a","dial":"%[1]s","health":"left","share":1},{"host":"b","dial":"%[2]s","health":"active","share":1}]}`,
	"is left out": `{"seq":8,"whole":true,"hosts":[{"host":"b","dial":"%[2]s","health":"active","share":1}]}%.0[1]s`,
}

// TestLateConnectionToDepartedBackend checks an attempt that was decided on before its backend departed, and whose connection was
// established more than a drain grace later. Its request must go to another backend, also during a shutdown.
func TestLateConnectionToDepartedBackend(t *testing.T) {
	for name, departure := range departures {
		for _, shutdown := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, shutdown=%v", name, shutdown), func(t *testing.T) {
				t.Parallel()
				rig := newDrainRig(t)
				slow := startSlowListener(t, func(c net.Conn, in *bufio.Reader) {
					for rig.draining.serve(t, c, in) {
					}
				})
				rig.draining.addr = slow.addr
				rig.startReady()
				if shutdown {
					rig.shutDown()
				}
				release := rig.hold()
				status := rig.sendWhileHeld(2)
				release()
				rig.waitForLoop() // the dial has begun
				rig.write(fmt.Sprintf(departure, rig.draining.addr, rig.other))
				rig.waitPastGrace()
				slow.open()
				if s := <-status; s != 200 {
					t.Errorf("the request's answer: %d", s)
				}
				rig.requireDrainKept()
			})
		}
	}
}

// waitPastGrace waits until the drain grace of backend a, with slack, has passed since the notice.
func (rig *drainRig) waitPastGrace() {
	time.Sleep(time.Until(rig.noticedAt.Add(testDrainGrace + 2*socketSlack)))
}

// TestNoRequestBeginsAfterShutdown checks a dial that is in progress when the event loop ends, after the client has left. Nothing
// may be written on its connection when it is established afterwards.
func TestNoRequestBeginsAfterShutdown(t *testing.T) {
	rig := newDrainRig(t)
	received := make(chan struct{}, 16)
	slow := startSlowListener(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := in.Peek(1); err == nil {
			received <- struct{}{}
		}
	})
	rig.draining.addr = slow.addr
	rig.startReady()
	release := rig.hold()
	client := rig.dial()
	io.WriteString(client, nodeRequest(2))
	waitQueued[requestArrived](rig.serverRig)
	release()
	rig.waitForLoop() // the dial has begun
	client.Close()
	rig.stop()
	rig.requireEnd(orderTimeout)
	slow.open()
	time.Sleep(time.Second) // the kernel would have retried the dial by then if it had not been cancelled
	select {
	case <-received:
		t.Error("a byte of the request arrived after the event loop had ended")
	default:
	}
}
