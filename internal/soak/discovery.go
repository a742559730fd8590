package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the interval of heartbeats on a watch.
const heartbeatInterval = 2 * time.Second

// endpointEntry is the wire format of an entry of the endpoint list.
type endpointEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

// endpointMessage is the wire format of a message of discovery.
type endpointMessage struct {
	Version int             `json:"seq"`
	Full    bool            `json:"whole"`
	Hosts   []endpointEntry `json:"hosts"`
}

// discovery is an emulated discovery service. It serves watches at two addresses; the second one is in use after a move.
type discovery struct {
	record    *record
	framing   Framing
	answersAt time.Duration // watches that open earlier are answered at this time; set before the instance starts
	listeners [2]net.Listener
	addresses [2]string
	hanging   *hangingPort // replaces the second listener until it is released; nil: not used

	mu             sync.Mutex
	messages       []published // in the order of their versions, from 1
	current        []endpointEntry
	watches        map[*watch]struct{}
	activeListener int // index of the listener in use
}

// published is a message with the index of its notice in the record; noNotice if it has none.
type published struct {
	endpointMessage
	notice int
}

const noNotice = -1

// notNotified is the time of a notice whose writing has not finished. It is later than the end of any run.
const notNotified = 24 * time.Hour

// watch is an open watch.
type watch struct {
	conn     net.Conn
	listener int  // index of the listener that accepted it
	silent   bool // nothing more is written
	next     int  // version of the next message
}

func startDiscovery(plan *Plan, record *record, hosts []endpointEntry) (*discovery, error) {
	d := &discovery{record: record, framing: plan.Framing, current: hosts, watches: map[*watch]struct{}{}}
	for i := range d.listeners {
		var err error
		if d.listeners[i], err = listen(func(conn net.Conn) { d.serve(conn, i) }); err != nil {
			return nil, err
		}
		d.addresses[i] = d.listeners[i].Addr().String()
	}
	if plan.HangingDial > 0 {
		var err error
		if d.hanging, err = newHangingPort(); err != nil {
			return nil, err
		}
		d.addresses[1] = d.hanging.address
	}
	return d, nil
}

func (d *discovery) address(index int) string { return d.addresses[index] }

func (d *discovery) close() {
	for _, listener := range d.listeners {
		listener.Close()
	}
	if d.hanging != nil {
		d.hanging.close()
	}
	d.breakWatches()
}

// serve serves a watch until its connection ends.
func (d *discovery) serve(conn net.Conn, listener int) {
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	d.waitForAnswers()
	since, _ := strconv.Atoi(req.URL.Query().Get("since"))
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	w := &watch{conn: conn, listener: listener, next: since + 1}
	d.mu.Lock()
	d.watches[w] = struct{}{}
	d.catchUp(w)
	d.writeTo(w, "\n")
	d.mu.Unlock()
	defer d.removeWatch(w)
	ended := make(chan struct{})
	go func() { // ends with the connection
		defer close(ended)
		in.ReadByte()
	}()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ended:
			return
		case <-heartbeat.C:
			d.mu.Lock()
			d.writeTo(w, "\n")
			d.mu.Unlock()
		}
	}
}

func (d *discovery) removeWatch(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
}

// catchUp writes the pending messages of a watch. mu must be held.
func (d *discovery) catchUp(w *watch) {
	if w.silent || w.listener != d.activeListener {
		return
	}
	if !d.framing.isPlain() {
		d.catchUpFramed(w)
		return
	}
	for ; w.next <= len(d.messages); w.next++ {
		message := d.messages[w.next-1]
		text, _ := json.Marshal(message.endpointMessage)
		d.writeTo(w, string(text)+"\n")
		d.noteNotified(message.notice)
	}
}

// writeTo writes a chunk on a watch unless the watch is silent. mu must be held.
func (d *discovery) writeTo(w *watch, text string) {
	if !w.silent {
		w.write(chunk(text))
	}
}

func (w *watch) write(text string) {
	w.conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(w.conn, text)
}

// noteNotified records that a notice was written to the instance. The instance counts as notified of it now, if not earlier.
func (d *discovery) noteNotified(number int) {
	if number == noNotice {
		return
	}
	now := d.record.now()
	d.record.update(func() {
		notified := &d.record.notices[number].notifiedAt
		*notified = min(*notified, now)
	})
}

// change takes a backend off the list. For DrainsThenOmitted it publishes the drain only, and leaveOut omits the backend. The
// instance counts as notified when the message is written, and no later than notifiedAtLatest. If the message is written in
// pieces, it does not count as notified before the last piece is written.
func (d *discovery) change(c Change, notifiedAtLatest time.Duration) {
	inPieces := d.framing.Pieces > 1
	number := noNotice
	d.record.update(func() {
		number = len(d.record.notices)
		d.record.notices = append(d.record.notices, notice{Change: c, notifiedAt: notifiedAtLatest})
		if inPieces {
			d.record.notices[number].notifiedAt = notNotified
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publishChange(c, number)
	if inPieces {
		latest := max(notifiedAtLatest, d.record.now())
		d.record.update(func() {
			notified := &d.record.notices[number].notifiedAt
			*notified = min(*notified, latest)
		})
	}
}

// publishChange publishes the message of a change. mu must be held.
func (d *discovery) publishChange(c Change, number int) {
	entry := &d.current[c.Backend]
	switch c.Kind {
	case Drains, DrainsThenOmitted:
		entry.Health = "leaving"
		d.publish(endpointMessage{Hosts: []endpointEntry{*entry}}, number)
	case Removed:
		entry.Health = "left"
		d.publish(endpointMessage{Hosts: []endpointEntry{*entry}}, number)
	case Omitted:
		entry.Health = "left"
		d.publish(d.fullList(), number)
	}
}

// leaveOut publishes a full list without a draining backend.
func (d *discovery) leaveOut(backend int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current[backend].Health = "left"
	d.publish(d.fullList(), noNotice)
}

// fullList returns the current list as a message. mu must be held.
func (d *discovery) fullList() endpointMessage {
	list := endpointMessage{Full: true}
	for _, entry := range d.current {
		if entry.Health != "left" {
			list.Hosts = append(list.Hosts, entry)
		}
	}
	return list
}

// publish assigns the next version to a message and writes it on all watches. mu must be held.
func (d *discovery) publish(message endpointMessage, notice int) {
	if d.framing.Filler > 0 {
		d.append(d.framing.fillerMessage(), noNotice)
	}
	d.append(message, notice)
	for w := range d.watches {
		d.catchUp(w)
	}
}

// append assigns the next version to a message and stores it. mu must be held.
func (d *discovery) append(message endpointMessage, notice int) {
	message.Version = len(d.messages) + 1
	d.messages = append(d.messages, published{message, notice})
}

// breakWatches closes all open watches.
func (d *discovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.conn.Close()
	}
}

// silenceWatches stops writing on all open watches. Later watches are served.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.silent = true
	}
}

// move moves discovery to its second address. Watches at the first address receive only heartbeats from now on.
func (d *discovery) move() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeListener = 1
	for w := range d.watches {
		d.catchUp(w)
	}
}
