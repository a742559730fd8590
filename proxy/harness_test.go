package proxy

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// TestMain fixes the seed of the property tests, so that their results are reproducible; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// harnessConfig is the configuration of most tests. Its formatting verbs are for the number of instances and the rejected
// statuses.
const harnessConfig = `
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

// harnessAPI describes one operation of each class.
const harnessAPI = `
openapi: 3.0.3
info: {title: t, version: "1"}
paths:
  /look: {get: {x-sandyard-class: look, responses: {}}, post: {x-sandyard-class: look, responses: {}}}
  /book: {post: {x-sandyard-class: book, responses: {}}}
  /pay: {post: {x-sandyard-class: pay, responses: {}}}
  /feed: {get: {x-sandyard-class: feed, responses: {}}}
`

// harness drives an instance in place of a runtime: it collects the effects, which the test inspects and executes.
type harness struct {
	*testing.T
	instance *Instance
	shared   *Shared
	now      time.Duration
	effects  []Effect // fetched, and not yet removed by want
}

// newHarness returns a harness with an instance of harnessConfig whose backends are up.
func newHarness(t *testing.T, backends, instances int, rejectedStatuses string) *harness {
	t.Helper()
	return newHarnessOf(t, harnessConfig, backends, instances, rejectedStatuses)
}

// newHarnessOf is newHarness with another configuration.
func newHarnessOf(t *testing.T, text string, backends, instances int, rejectedStatuses string) *harness {
	t.Helper()
	list := "boxes:"
	if backends == 0 {
		list = "boxes: []"
	}
	for i := range backends {
		list += fmt.Sprintf("\n  - {name: box-%d, address: '10.0.0.%d:80'}", i, i)
	}
	cfg, err := config.Parse("gateway.yaml", fmt.Appendf(nil, text, instances, rejectedStatuses), []byte(harnessAPI), []byte(list))
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{T: t, shared: &Shared{Config: cfg, Protocol: NewConfiguredProtocol(cfg, "t")}, now: Start}
	if r.instance, err = NewInstance(r.shared, 1, r.now); err != nil {
		t.Fatal(err)
	}
	r.instance.ReplaceEndpoints(r.now, EndpointsUpdate{Endpoints: cfg.Endpoints})
	r.collect()
	return r
}

// collect appends the instance's new effects to the collected ones.
func (r *harness) collect() { r.effects = append(r.effects, r.instance.Effects()...) }

// want removes and returns the first collected effect of a kind. It fails the test if there is none.
func (r *harness) want(k EffectKind) Effect {
	r.Helper()
	r.collect()
	for i, effect := range r.effects {
		if effect.Kind == k {
			r.effects = append(r.effects[:i:i], r.effects[i+1:]...)
			return effect
		}
	}
	r.Fatalf("no effect %v among %+v", k, r.effects)
	return Effect{}
}

// hasEffect reports whether there is a collected effect of a kind.
func (r *harness) hasEffect(k EffectKind) bool {
	r.collect()
	return slices.ContainsFunc(r.effects, func(effect Effect) bool { return effect.Kind == k })
}

// wantNone fails the test if there is a collected effect of a kind.
func (r *harness) wantNone(k EffectKind) {
	r.Helper()
	r.collect()
	for _, effect := range r.effects {
		if effect.Kind == k {
			r.Fatalf("unexpected effect %v: %+v", k, effect)
		}
	}
}

// advance moves the time forward and fires each timer that is due.
func (r *harness) advance(d time.Duration) {
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

// requestText returns a request with additional header fields, each ending in CRLF.
func requestText(method, path, key, extraFields string) []byte {
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + key + "\r\n" + extraFields + "\r\n")
}

// request sends a complete request on a new client connection.
func (r *harness) request(method, path, key, extraFields string) (*ClientConn, *Exchange) {
	r.Helper()
	c := NewClientConn(r.shared, nil, "192.0.2.1", r.now)
	ex := c.Feed(r.now, requestText(method, path, key, extraFields))
	if ex == nil {
		r.Fatalf("no exchange: %s", c.Outgoing)
	}
	r.instance.RequestArrived(r.now, ex)
	r.collect()
	return c, ex
}

// connect establishes the next connection that the instance dials, and returns it with the exchange that is written on it.
func (r *harness) connect() (*BackendConn, *Exchange) {
	r.Helper()
	dial := r.want(DialBackend)
	r.instance.BackendConnected(r.now, dial.Conn)
	effect := r.want(WriteAttempt)
	return effect.Conn, effect.Exchange
}

// reply parses a backend's response with a new ResponseReader and reports it to the instance.
func (r *harness) reply(conn *BackendConn, ex *Exchange, s string) *ResponseReader {
	reader := NewResponseReader(r.shared)
	reader.Expect(ex)
	response := reader.Feed([]byte(s))
	r.instance.ResponseReceived(r.now, conn, &response)
	r.collect()
	return reader
}

// ok200 is a complete response.
const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// wantResponse removes and returns the first complete response. It fails the test if the response has another status.
func (r *harness) wantResponse(want string) Effect {
	r.Helper()
	effect := r.want(Respond)
	if !strings.HasPrefix(string(effect.Bytes), "HTTP/1.1 "+want) {
		r.Fatalf("want %s, got %q", want, effect.Bytes)
	}
	return effect
}

// requireQuiescent fails the test if any exchange or reserved memory remains after a minute.
func (r *harness) requireQuiescent() {
	r.Helper()
	r.advance(time.Minute)
	if reqs, _, _ := r.instance.Sizes(); reqs != 0 || r.instance.Unanswered() != 0 || r.shared.ReservedBytes.Load() != 0 {
		r.Fatalf("remaining: %d exchanges, %d unanswered, %d bytes", reqs, r.instance.Unanswered(), r.shared.ReservedBytes.Load())
	}
}
