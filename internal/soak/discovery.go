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

// heartbeatInterval is how often a watch shows that it stands.
const heartbeatInterval = 2 * time.Second

// endpointEntry is an entry of the endpoint list on the wire.
type endpointEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
}

// endpointMessage is a message of discovery on the wire.
type endpointMessage struct {
	Version int             `json:"seq"`
	Full    bool            `json:"whole"`
	Hosts   []endpointEntry `json:"hosts"`
}

// discovery is a stand-in of discovery: it serves watches at two addresses, of which the second is in use after a move.
type discovery struct {
	record    *record
	framing   Framing
	answersAt time.Duration // before which no watch is answered; set before the instance starts
	listeners [2]net.Listener
	addresses [2]string
	hanging   *hangingPort // in place of the second listener, until it is released; nil: there is none

	mu       sync.Mutex
	messages []published // by version, from 1
	current  []endpointEntry
	watches  map[*watch]struct{}
	movedTo  int // index of the listener in use
}

// published is a message with the number of the notice that it gives in the record; noNotice: none of its own.
type published struct {
	endpointMessage
	notice int
}

const noNotice = -1

// notNotified is the time of a notice that is being written: after any run's end.
const notNotified = 24 * time.Hour

// watch is one that stands.
type watch struct {
	conn   net.Conn
	at     int  // index of its listener
	silent bool // nothing is written any more
	next   int  // version of the next message
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

func (d *discovery) address(moved int) string { return d.addresses[moved] }

func (d *discovery) close() {
	for _, listener := range d.listeners {
		listener.Close()
	}
	if d.hanging != nil {
		d.hanging.close()
	}
	d.breakWatches()
}

// serve answers a watch until its connection ends.
func (d *discovery) serve(conn net.Conn, at int) {
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	d.waitForAnswers()
	since, _ := strconv.Atoi(req.URL.Query().Get("since"))
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	w := &watch{conn: conn, at: at, next: since + 1}
	d.mu.Lock()
	d.watches[w] = struct{}{}
	d.catchUp(w)
	d.writeTo(w, "\n")
	d.mu.Unlock()
	defer d.forget(w)
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

func (d *discovery) forget(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
}

// catchUp writes what a watch lacks; mu is held.
func (d *discovery) catchUp(w *watch) {
	if w.silent || w.at != d.movedTo {
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

// writeTo writes a chunk on a watch that is not silent; mu is held.
func (d *discovery) writeTo(w *watch, text string) {
	if !w.silent {
		w.write(chunk(text))
	}
}

func (w *watch) write(text string) {
	w.conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(w.conn, text)
}

// noteNotified notes that the instance was written a notice: it counts as told from now at the latest.
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

// change takes a backend off the list. One that drains first and is then left out is left out by leaveOut. The change counts
// as told at the latest at a given time, or with its last piece where a message is written in pieces.
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

// publishChange publishes a change; mu is held.
func (d *discovery) publishChange(c Change, number int) {
	entry := &d.current[c.Backend]
	switch c.Kind {
	case Drains, DrainOut:
		entry.Health = "leaving"
		d.publish(endpointMessage{Hosts: []endpointEntry{*entry}}, number)
	case Removed:
		entry.Health = "left"
		d.publish(endpointMessage{Hosts: []endpointEntry{*entry}}, number)
	case LeftOut:
		entry.Health = "left"
		d.publish(d.wholeList(), number)
	}
}

// leaveOut publishes a whole list without a backend that drains.
func (d *discovery) leaveOut(backend int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current[backend].Health = "left"
	d.publish(d.wholeList(), noNotice)
}

// wholeList is the list as it is now; mu is held.
func (d *discovery) wholeList() endpointMessage {
	list := endpointMessage{Full: true}
	for _, entry := range d.current {
		if entry.Health != "left" {
			list.Hosts = append(list.Hosts, entry)
		}
	}
	return list
}

// publish gives a message the next version and writes it on all watches; mu is held.
func (d *discovery) publish(message endpointMessage, notice int) {
	if d.framing.Filler > 0 {
		d.append(d.framing.fillerMessage(), noNotice)
	}
	d.append(message, notice)
	for w := range d.watches {
		d.catchUp(w)
	}
}

// append gives a message the next version; mu is held.
func (d *discovery) append(message endpointMessage, notice int) {
	message.Version = len(d.messages) + 1
	d.messages = append(d.messages, published{message, notice})
}

// breakWatches closes the watches that stand.
func (d *discovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.conn.Close()
	}
}

// silenceWatches stops writing on the watches that stand; later ones are served.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.silent = true
	}
}

// move serves changes at the other address from now on; watches at the old one get heartbeats only.
func (d *discovery) move() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movedTo = 1
	for w := range d.watches {
		d.catchUp(w)
	}
}
