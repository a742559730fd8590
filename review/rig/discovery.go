package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is the interval of the empty lines on a watch on which nothing changes.
const heartbeatInterval = 2 * time.Second

// listEntry is an entry of the endpoint list.
type listEntry struct {
	Host    string  `json:"host"`
	Dial    string  `json:"dial"`
	Site    string  `json:"site"`
	Class   string  `json:"class"`
	Block   int     `json:"block"`
	Health  string  `json:"health"`
	Share   float64 `json:"share"`
	StartMS float64 `json:"born_ms"`
}

// listMessage is a message of discovery.
type listMessage struct {
	Version int         `json:"seq"`
	Whole   bool        `json:"whole"`
	Hosts   []listEntry `json:"hosts"`
}

// discovery is an agent of discovery. Every watch begins with the whole list.
type discovery struct {
	listener net.Listener

	mu      sync.Mutex
	current listMessage
}

func startDiscovery(hosts []listEntry) (*discovery, error) {
	d := &discovery{current: listMessage{Version: 1, Whole: true, Hosts: hosts}}
	var err error
	d.listener, err = listen(d.serve)
	return d, err
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// list returns the whole list.
func (d *discovery) list() listMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// serve answers one call for the list or one watch.
func (d *discovery) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	text, _ := json.Marshal(d.list())
	if request.URL.Query().Get("follow") != "1" {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		return
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
			return
		}
		text = nil
		time.Sleep(heartbeatInterval)
	}
}

// listen accepts connections on a free loopback port. It calls serve for each and closes the connection when serve returns.
func listen(serve func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
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
	return listener, nil
}
