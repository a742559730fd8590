package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backendIdleTimeout is how long a backend keeps an idle connection.
const backendIdleTimeout = 15 * time.Second

// attempt is a request that a backend has received whole.
type attempt struct {
	id, key    string // X-Request-Id and Idempotency-Key
	backend    string
	body       int // bytes
	receivedAt time.Duration
	deadline   time.Duration // X-Deadline-Ms
	ran        bool          // it took effect; a repeat of a key that is remembered does not
}

// backendGroup holds what the backends share: the memory of the keys and the list of what reached them.
type backendGroup struct {
	record    *record
	cores     int                                       // of each backend: requests that it works on at once
	keyMemory time.Duration                             // how long a key is remembered
	work      func() time.Duration                      // processing time of a request
	fault     func(*backend, *attempt) func(*http1Peer) // returns how the answer is spoilt; nil: it is not

	mu       sync.Mutex
	keys     map[string]time.Duration // when a key was first seen
	attempts map[string][]*attempt    // by X-Request-Id, in the order of their arrival
	byKey    map[string][]*attempt    // by Idempotency-Key
}

// http1Peer is a connection on which an attempt waits for its answer.
type http1Peer struct {
	conn net.Conn
	body string // of a sound answer
	keep bool   // the connection is read on
}

// backend is an emulated backend.
type backend struct {
	name     string
	number   int // from 0
	group    *backendGroup
	listener net.Listener
	cores    chan struct{}
}

func newBackendGroup(rec *record, work func() time.Duration, keyMemory time.Duration) *backendGroup {
	return &backendGroup{record: rec, cores: 2, work: work, keyMemory: keyMemory, keys: map[string]time.Duration{},
		attempts: map[string][]*attempt{}, byKey: map[string][]*attempt{}}
}

// start starts backends and returns their entries in the endpoint list.
func (g *backendGroup) start(count int, sites []string) ([]listEntry, error) {
	var entries []listEntry
	for i := range count {
		b := &backend{name: fmt.Sprintf("s-%08x", i+1), number: i, group: g, cores: make(chan struct{}, g.cores)}
		var err error
		if b.listener, err = listen(b.serve); err != nil {
			return nil, err
		}
		entries = append(entries, listEntry{Host: b.name, Dial: b.listener.Addr().String(), Site: sites[i%len(sites)],
			Class: "small", Block: i / 4, Health: "active", Share: 1})
	}
	return entries, nil
}

// logNormalWork draws processing times with a mean and a coefficient of variation.
func logNormalWork(mean time.Duration, variation float64) func() time.Duration {
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	return func() time.Duration {
		return time.Duration(float64(mean) * math.Exp(sigma*rand.NormFloat64()-sigma*sigma/2))
	}
}

// serve handles the requests of a connection.
func (b *backend) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(backendIdleTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !b.handle(conn, request, len(body)) {
			return
		}
	}
}

// handle processes a request and reports whether the connection is read on.
func (b *backend) handle(conn net.Conn, request *http.Request, bodySize int) bool {
	id := request.Header.Get("X-Request-Id")
	if id == "" {
		return writeAnswer(conn, 404, "")
	}
	deadline, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	a := &attempt{id: id, key: request.Header.Get("Idempotency-Key"), backend: b.name, body: bodySize,
		deadline: time.Duration(deadline) * time.Millisecond}
	b.group.receive(a)
	if a.ran {
		b.cores <- struct{}{}
		time.Sleep(b.group.work())
		<-b.cores
	}
	peer := &http1Peer{conn: conn, body: answerBody(id), keep: true}
	if b.group.fault != nil {
		if spoil := b.group.fault(b, a); spoil != nil {
			spoil(peer)
			return peer.keep
		}
	}
	return writeAnswer(conn, 200, peer.body)
}

// receive records an attempt. A key that is remembered makes it a repeat, which takes no effect.
func (g *backendGroup) receive(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.receivedAt = g.record.now()
	a.ran = true
	if a.key != "" {
		firstSeenAt, seen := g.keys[a.key]
		a.ran = !seen || a.receivedAt > firstSeenAt+g.keyMemory
		if a.ran {
			g.keys[a.key] = a.receivedAt
		}
		g.byKey[a.key] = append(g.byKey[a.key], a)
	}
	g.attempts[a.id] = append(g.attempts[a.id], a)
	g.record.add("backend %s received %s key %q, runs it: %v", a.backend, a.id, a.key, a.ran)
}

// firstAttempt returns the first attempt of a request that has reached a backend whole, or nil.
func (g *backendGroup) firstAttempt(id string) *attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.attempts[id]) == 0 {
		return nil
	}
	return g.attempts[id][0]
}

// answerBody is the body of the answer to a request.
func answerBody(id string) string {
	return fmt.Sprintf(`{"answer":%q,"rows":[%q,%q,%q,%q]}`, id, id, id, id, id)
}

// writeAnswer writes a sound answer and reports whether the connection is in order.
func writeAnswer(conn net.Conn, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Load: util=0.5\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	return err == nil
}

// staySilent makes a connection open and silent until the peer closes it.
func staySilent(peer *http1Peer) {
	io.Copy(io.Discard, peer.conn)
	peer.keep = false
}
