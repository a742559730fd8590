package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the interval of empty lines on a watch.
const heartbeatInterval = 2 * time.Second

// entry is an entry of discovery's list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// list is a message of discovery.
type list struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// agent is discovery's agent on the machine of one instance. While it is silent it accepts connections and writes nothing.
type agent struct {
	record   *record
	instance int
	listener net.Listener

	mu      sync.Mutex
	hosts   []entry
	changes []entry // the change to version firstSeq+1+i
	silent  bool
	wake    chan struct{} // closed and replaced when there is something to write
}

// firstSeq is the version of the list at the start.
const firstSeq = 41

func startAgent(record *record, instance int, hosts []entry) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{record: record, instance: instance, listener: listener, hosts: append([]entry(nil), hosts...), wake: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// wholeList returns the current list.
func (a *agent) wholeList() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return list{Seq: firstSeq + len(a.changes), Whole: true, Hosts: append([]entry(nil), a.hosts...)}
}

// change changes the health of a host. The agent holds the change from now on.
func (a *agent) change(host, health string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.hosts {
		if a.hosts[i].Host == host {
			a.hosts[i].Health = health
			a.changes = append(a.changes, a.hosts[i])
		}
	}
	a.record.add("told", "agent of n%d holds: %s is %s (seq %d)", a.instance, host, health, firstSeq+len(a.changes))
	a.wakeLocked()
}

// setSilent begins or ends an outage of discovery.
func (a *agent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.record.add("discovery", "agent of n%d silent: %v", a.instance, silent)
	a.wakeLocked()
}

func (a *agent) wakeLocked() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// next returns what a watch that has seen the version since must be told now, if the agent is not silent.
func (a *agent) next(since int) (message *list, silent bool, wake chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.silent && since < firstSeq+len(a.changes) {
		message = &list{Seq: firstSeq + len(a.changes), Hosts: a.changes[max(0, since-firstSeq):]}
	}
	return message, a.silent, a.wake
}

// serve serves one connection: a watch, or a single list.
func (a *agent) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	request, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		in.ReadByte()
	}()
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	headWritten := false
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		message, silent, wake := a.next(since)
		if !silent && !headWritten {
			headWritten = true
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		}
		if message != nil {
			since = message.Seq
			text, _ := json.Marshal(message)
			writeChunk(conn, string(text)+"\n")
			continue
		}
		select {
		case <-wake:
		case <-ended:
			return
		case <-heartbeat.C:
			if !silent {
				writeChunk(conn, "\n")
			}
		}
	}
}

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }
