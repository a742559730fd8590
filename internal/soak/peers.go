package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// listen accepts connections on a free loopback port. It calls serve for each and closes the connection when serve returns.
func listen(serve func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	accept(listener, serve)
	return listener, nil
}

// accept starts to accept connections. It calls serve for each and closes the connection when serve returns.
func accept(listener net.Listener, serve func(net.Conn)) {
	go func() { // ends with the listener
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { // ends with the connection
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
}

// Processing times of a backend for a request.
const (
	backendWork = 15 * time.Millisecond
	slowWork    = 250 * time.Millisecond
)

// backend is an emulated backend. It processes a request when it has received it completely.
type backend struct {
	number   int
	record   receiptLog
	listener net.Listener
	ended    chan struct{} // closed at the end of the run; requests that hang then end

	mu    sync.Mutex
	fault FaultKind // "": none
}

func startBackend(number int, record receiptLog, ended chan struct{}) (*backend, error) {
	b := &backend{number: number, record: record, ended: ended}
	var err error
	b.listener, err = listen(b.serve)
	return b, err
}

func (b *backend) setFault(kind FaultKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = kind
}

func (b *backend) currentFault() FaultKind {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// serve handles the requests of a connection.
func (b *backend) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(idleConnTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		firstByteAt := b.record.now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		deadline, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		fault := b.currentFault()
		id := req.Header.Get("X-Request-Id")
		b.record.received(id, receipt{
			backend:     b.number,
			firstByteAt: firstByteAt,
			completeAt:  b.record.now(),
			mayRun:      fault != NotRun,
			deadline:    time.Duration(deadline) * time.Millisecond,
		})
		if !b.answer(conn, id, fault) {
			return
		}
	}
}

// answer responds to a request as the fault of the backend requires, and reports whether the connection stays open.
func (b *backend) answer(conn net.Conn, id string, fault FaultKind) bool {
	switch fault {
	case Hang:
		<-b.ended
		return false
	case Reset:
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case NotRun:
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case Slow:
		time.Sleep(slowWork)
	default:
		time.Sleep(backendWork)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	return err == nil
}

// counter is an emulated shared counter. It has the same totals at its two addresses.
type counter struct {
	listeners [2]net.Listener
	silent    atomic.Bool // calls are added but not answered

	mu     sync.Mutex
	totals map[string]float64
}

func startCounter() (*counter, error) {
	c := &counter{totals: map[string]float64{}}
	for i := range c.listeners {
		var err error
		if c.listeners[i], err = listen(c.serve); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *counter) address(index int) string { return c.listeners[index].Addr().String() }

func (c *counter) close() {
	for _, listener := range c.listeners {
		listener.Close()
	}
}

// serve answers calls "add NAME AMOUNT MILLISECONDS".
func (c *counter) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		call, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(call)
		if len(fields) != 4 {
			io.WriteString(conn, "error\r\n")
			continue
		}
		amount, _ := strconv.ParseFloat(fields[2], 64)
		c.mu.Lock()
		c.totals[fields[1]] += amount
		total := c.totals[fields[1]]
		c.mu.Unlock()
		if !c.silent.Load() {
			fmt.Fprintf(conn, "ok %g\r\n", total)
		}
	}
}
