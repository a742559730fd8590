package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// keyMemory is what a group of backends knows about idempotency keys.
type keyMemory struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time // when a key was first seen
}

func newKeyMemory(window time.Duration) *keyMemory {
	return &keyMemory{window: window, seen: map[string]time.Time{}}
}

// begin reports whether a request with a key takes effect: it does unless the key was first seen less than the window ago.
func (k *keyMemory) begin(key string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, known := k.seen[key]; known && now.Sub(at) < k.window {
		return false
	}
	k.seen[key] = now
	return true
}

// backend is a stand-in for a backend: cores that work on one request each, and a queue.
type backend struct {
	name    string
	record  *record
	keys    *keyMemory
	address string
	server  *http.Server
	cores   chan struct{}
	queue   int64
	waiting atomic.Int64
	work    func(class string) time.Duration         // draws the work of a request
	arrived func(b *backend, id string, body []byte) // called when a request is complete; may be nil
}

const (
	backendCores = 2
	backendQueue = 40 // requests that wait beside those being worked on
)

// addBackend starts a backend.
func (w *world) addBackend(keys *keyMemory, work func(string) time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{name: fmt.Sprintf("s-%08x", 0x5be2a000+len(w.backends)), record: w.record, keys: keys, address: listener.Addr().String(),
		cores: make(chan struct{}, backendCores), queue: backendQueue, work: work}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go b.server.Serve(listener)
	w.backends = append(w.backends, b)
	return b, nil
}

// entry returns the backend's entry in discovery's list.
func (b *backend) entry(site string, block int) entry {
	return entry{Host: b.name, Dial: b.address, Site: site, Class: "m2", Block: block, Health: "active", Share: 1}
}

// ServeHTTP works on a request. Cancelled requests that wait are dropped; work that has begun goes on.
func (b *backend) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path != "/api" {
		b.answerProbe(out, in)
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	id, key := in.Header.Get("X-Request-Id"), in.Header.Get("Idempotency-Key")
	b.record.add("arrived", "%s %s key=%s body=%d left=%s", b.name, id, key, len(body), in.Header.Get("X-Deadline-Ms"))
	if b.arrived != nil {
		b.arrived(b, id, body)
	}
	if b.waiting.Add(1) > b.queue {
		b.waiting.Add(-1)
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.cores <- struct{}{}:
		b.waiting.Add(-1)
	case <-in.Context().Done():
		b.waiting.Add(-1)
		return
	}
	b.runRequest(in.Method, id, key)
	<-b.cores
	out.Header().Set("X-Load", fmt.Sprintf("cpu_share=%.2f", float64(len(b.cores))/backendCores))
	fmt.Fprintf(out, "%s served %s, %d bytes\n", b.name, id, len(body))
}

// runRequest lets a request take effect, unless its key is known, and works on it.
func (b *backend) runRequest(method, id, key string) {
	if key != "" && !b.keys.begin(key, time.Now()) {
		b.record.add("repeat", "%s %s key=%s: discarded", b.name, id, key)
		return
	}
	b.record.add("ran", "%s %s key=%s", b.name, id, key)
	time.Sleep(b.work(method))
}

func (b *backend) answerProbe(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/status/load" {
		fmt.Fprintf(out, "cpu_share=%.2f", float64(len(b.cores))/backendCores)
	}
}
