package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
)

// counter is the shared counter. A run is shorter than the life of a name.
type counter struct {
	listener net.Listener

	mu     sync.Mutex
	totals map[string]float64
}

func startCounter() (*counter, error) {
	c := &counter{totals: map[string]float64{}}
	var err error
	c.listener, err = listen(c.serve)
	return c, err
}

func (c *counter) address() string { return c.listener.Addr().String() }

func (c *counter) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		call, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, c.answer(strings.Fields(call))); err != nil {
			return
		}
	}
}

func (c *counter) answer(call []string) string {
	if len(call) == 1 && call[0] == "ping" {
		return "pong\r\n"
	}
	if len(call) != 4 || call[0] != "add" {
		return "error\r\n"
	}
	amount, err := strconv.ParseFloat(call[2], 64)
	if err != nil {
		return "error\r\n"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals[call[1]] += amount
	return fmt.Sprintf("ok %.7g\r\n", c.totals[call[1]])
}
