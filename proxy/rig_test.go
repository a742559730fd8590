package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

const rigConfig = `
openapi: api.yaml
door: {number: 0, of: %d}
classes:
  - {name: look, repeat: safe, aim: 500ms, deadline: 2s, worth: 1, late-share: 0.2}
  - {name: book, repeat: keyed, key-ttl: 6s, aim: 500ms, deadline: 2s, worth: 1, late-share: 0.2}
  - {name: pay, repeat: unsafe, aim: 500ms, deadline: 2s, worth: 1}
  - {name: feed, repeat: safe, aim: 500ms, deadline: 2s, worth: 1, stream: true}
plans:
  - {name: big, rate: 1000/s, burst: 1000}
  - {name: small, rate: 1/s, burst: 3}
studios:
  - {name: a, plan: big, keys: [ka]}
  - {name: b, plan: small, keys: [kb]}
boxes: {file: boxes.yaml, drain-grace: 250ms, full-statuses: [%s]}
load: {via: answers, fields: [{name: cpu_utilization, is: utilization}, {name: named_metrics.n, is: in-flight}]}
attempts: {most: 3}
keeper: {address: "127.0.0.1:1", timeout: 50ms}
limits: {body: 1KiB, hold-answer: 1KiB, lines-per-box: 4, memory: 16KiB}
`

const rigAPI = `
openapi: 3.0.3
info: {title: t, version: "1"}
paths:
  /look: {get: {x-sandyard-class: look, responses: {}}, post: {x-sandyard-class: look, responses: {}}}
  /book: {post: {x-sandyard-class: book, responses: {}}}
  /pay: {post: {x-sandyard-class: pay, responses: {}}}
  /feed: {get: {x-sandyard-class: feed, responses: {}}}
`

// rig drives the machines by hand: it keeps the wishes for the test to look at and to carry out.
type rig struct {
	*testing.T
	instance *Instance
	shared   *Shared
	now      time.Duration
	effects  []Effect
}

func newRig(t *testing.T, backends, instances int, rejectedStatuses string) *rig {
	t.Helper()
	return newRigOf(t, rigConfig, backends, instances, rejectedStatuses)
}

func newRigOf(t *testing.T, text string, backends, instances int, rejectedStatuses string) *rig {
	t.Helper()
	list := "boxes:"
	if backends == 0 {
		list = "boxes: []"
	}
	for i := range backends {
		list += fmt.Sprintf("\n  - {name: box-%d, address: '10.0.0.%d:80'}", i, i)
	}
	cfg, err := config.Parse("gateway.yaml", fmt.Appendf(nil, text, instances, rejectedStatuses), []byte(rigAPI), []byte(list))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, shared: &Shared{Config: cfg, Protocol: NewConfiguredProtocol(cfg, "t")}, now: Start}
	if r.instance, err = NewInstance(r.shared, 1, r.now); err != nil {
		t.Fatal(err)
	}
	r.instance.ReplaceEndpoints(r.now, cfg.Endpoints, time.Time{})
	r.collect()
	return r
}

// collect adds the core's new wishes to those that are kept.
func (r *rig) collect() { r.effects = append(r.effects, r.instance.Effects()...) }

// want takes the first kept wish of a kind out, and fails if there is none.
func (r *rig) want(k EffectKind) Effect {
	r.Helper()
	r.collect()
	for i, w := range r.effects {
		if w.Kind == k {
			r.effects = append(r.effects[:i:i], r.effects[i+1:]...)
			return w
		}
	}
	r.Fatalf("no wish of kind %d among %+v", k, r.effects)
	return Effect{}
}

// wantNone fails if there is a wish of a kind.
func (r *rig) wantNone(k EffectKind) {
	r.Helper()
	r.collect()
	for _, w := range r.effects {
		if w.Kind == k {
			r.Fatalf("a wish of kind %d: %+v", k, w)
		}
	}
}

// advance lets time pass, timer by timer.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; ; {
		next := r.instance.NextTimer()
		if next > end {
			r.now = end
			return
		}
		r.now = max(r.now, next)
		r.instance.Tick(r.now)
		r.collect()
	}
}

func requestText(method, path, key, more string) []byte {
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + key + "\r\n" + more + "\r\n")
}

// request brings a request in by a client of its own.
func (r *rig) request(method, path, key, more string) (*ClientConn, *Exchange) {
	r.Helper()
	c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
	ex := c.Feed(r.now, requestText(method, path, key, more))
	if ex == nil {
		r.Fatalf("no exchange: %s", c.Outgoing)
	}
	r.instance.RequestArrived(r.now, ex)
	r.collect()
	return c, ex
}

// connect connects the next line that is asked for and returns it with what is written on it.
func (r *rig) connect() (*BackendConn, *Exchange) {
	r.Helper()
	d := r.want(DialBackend)
	r.instance.BackendConnected(r.now, d.Conn)
	w := r.want(WriteAttempt)
	return w.Conn, w.Exchange
}

// reply feeds an answer of a box through the codec to the core.
func (r *rig) reply(l *BackendConn, ex *Exchange, s string) *ResponseReader {
	b := NewResponseReader(r.shared)
	b.Expect(ex)
	a := b.Feed([]byte(s))
	r.instance.ResponseReceived(r.now, l, &a)
	r.collect()
	return b
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

func (r *rig) wantResponse(want string) Effect {
	r.Helper()
	w := r.want(Respond)
	if !strings.HasPrefix(string(w.Bytes), "HTTP/1.1 "+want) {
		r.Fatalf("want %s, got %q", want, w.Bytes)
	}
	return w
}

// requireQuiescent fails if anything is held once time has passed.
func (r *rig) requireQuiescent() {
	r.Helper()
	r.advance(time.Minute)
	if reqs, _, _ := r.instance.Sizes(); reqs != 0 || r.instance.Unanswered() != 0 || r.shared.ReservedBytes.Load() != 0 {
		r.Fatalf("held: %d exchanges, %d owed, %d bytes", reqs, r.instance.Unanswered(), r.shared.ReservedBytes.Load())
	}
}
