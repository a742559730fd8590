package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"sandyard/fault"
)

// FaultTarget is a stand-in whose faults can be set while it runs.
type FaultTarget interface {
	Set(v fault.Verb, value float64, on bool) error
}

// ServeFaultControl listens for lines that set a stand-in's faults: "set slow 3", "clear slow". Each is answered "ok" or
// "error: ...". The function returned stops it.
func ServeFaultControl(addr string, f FaultTarget) (net.Addr, func(), error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]struct{}{}
	closed := false
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if closed || len(open) >= 16 { // few have business here
				mu.Unlock()
				conn.Close()
				continue
			}
			open[conn] = struct{}{}
			mu.Unlock()
			wg.Go(func() {
				serveFaultControlConn(conn, f)
				mu.Lock()
				delete(open, conn)
				mu.Unlock()
			})
		}
	})
	return ln.Addr(), func() {
		ln.Close()
		mu.Lock()
		closed = true
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	}, nil
}

func serveFaultControlConn(conn net.Conn, f FaultTarget) {
	defer conn.Close()
	in := bufio.NewScanner(conn)
	in.Buffer(make([]byte, 256), 256)
	for in.Scan() {
		if err := runFaultCommand(in.Text(), f); err != nil {
			fmt.Fprintf(conn, "error: %v\n", err)
		} else {
			fmt.Fprintln(conn, "ok")
		}
	}
}

func runFaultCommand(command string, f FaultTarget) error {
	word, rest, _ := strings.Cut(strings.TrimSpace(command), " ")
	switch word {
	case "set":
		v, x, err := fault.Parse(rest)
		if err != nil {
			return err
		}
		return f.Set(v, x, true)
	case "clear":
		v, _, err := fault.Parse(rest + " 0")
		if err != nil {
			return err
		}
		return f.Set(v, 0, false)
	}
	return fmt.Errorf("%q: expected set or clear", word)
}

// SendFaultCommand tells a stand-in's control address a line.
func SendFaultCommand(addr, command string) error {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(conn, command); err != nil {
		return err
	}
	reply, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err
	}
	if reply = strings.TrimSpace(reply); reply != "ok" {
		return fmt.Errorf("%s", reply)
	}
	return nil
}
