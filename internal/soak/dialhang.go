package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"
)

// HangingDial is how long dials of discovery's new address hang after SIGHUP has moved it. The zero value is no hanging dial. As
// after any move, the instance counts as notified of a change during the hang when the change is written, and no later than
// moveNoticeDelay after SIGHUP.
type HangingDial time.Duration

// Bounds of a HangingDial. The upper bound is long enough for a second dial to hang as well; each dial lasts up to a second.
const (
	minDialHang = 300 * time.Millisecond
	maxDialHang = 2400 * time.Millisecond
)

// drawHangingDial draws a move some seconds before SIGTERM, so that moveNoticeDelay ends at about the beginning of the shutdown. The
// first backend leaves while the dial hangs.
func (p *Plan) drawHangingDial(rng *rand.Rand) {
	hang := between(rng, minDialHang, maxDialHang)
	reloadAt := -between(rng, 3700*time.Millisecond, 4100*time.Millisecond)
	p.HangingDial = HangingDial(hang)
	p.MovesAtReload = true
	p.Signals = []Signal{{reloadAt, syscall.SIGHUP}, {0, syscall.SIGTERM}}
	p.Warmup = -reloadAt + 300*time.Millisecond
	p.Changes[0].At = reloadAt + between(rng, 0, hang)
}

// String describes the hanging dial; it returns "" for the zero value.
func (h HangingDial) String() string {
	if h == 0 {
		return ""
	}
	return fmt.Sprintf("dials of discovery hang for %v after the move", time.Duration(h))
}

// hangingPort is a loopback port with a full backlog. Dials of it hang until it is released.
type hangingPort struct {
	socket  *os.File
	address string
	fillers []net.Conn
}

// Parameters of filling a backlog.
const (
	fillTimeout    = 100 * time.Millisecond // after which a dial is considered to hang
	maxFillers     = 8
	releaseBacklog = 128
)

var errBacklogNotFull = errors.New("a listener's backlog does not fill")

// newHangingPort opens a port and fills its backlog.
func newHangingPort() (*hangingPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	port := &hangingPort{socket: os.NewFile(uintptr(fd), "discovery")}
	if err := port.listen(fd); err != nil {
		port.close()
		return nil, err
	}
	return port, nil
}

// listen binds the socket and opens connections until its backlog is full and a dial hangs.
func (port *hangingPort) listen(fd int) error {
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return err
	}
	port.address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range maxFillers {
		filler, err := net.DialTimeout("tcp", port.address, fillTimeout)
		var netError net.Error
		if errors.As(err, &netError) && netError.Timeout() {
			return nil
		}
		if err != nil {
			return err
		}
		port.fillers = append(port.fillers, filler)
	}
	return errBacklogNotFull
}

func (port *hangingPort) close() {
	for _, filler := range port.fillers {
		filler.Close()
	}
	port.socket.Close()
}

// release enlarges the backlog, so that hanging dials complete, and serves the connections.
func (port *hangingPort) release(serve func(net.Conn)) (net.Listener, error) {
	defer port.close()
	if err := syscall.Listen(int(port.socket.Fd()), releaseBacklog); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(port.socket)
	if err != nil {
		return nil, err
	}
	accept(listener, serve)
	return listener, nil
}

// releaseDials completes the dials of the address that discovery has moved to.
func (d *discovery) releaseDials() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listener, err := d.hanging.release(func(conn net.Conn) { d.serve(conn, 1) }); err == nil {
		d.listeners[1] = listener
	}
}
