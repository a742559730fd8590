package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sandyard/config"
	"sandyard/emulator"
	"sandyard/internal/platform"
)

// newSocketPair returns the two ends of a connection. Nothing reads from either end.
func newSocketPair(t *testing.T) (*socket, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s, err := newSocket(c.(*net.TCPConn), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.close(); p.Close() })
	return s, p.(*net.TCPConn)
}

// waitReadable waits until bytes or the end of the stream can be read.
func waitReadable(t *testing.T, s *socket) {
	t.Helper()
	if err := s.waitForInput(); err != nil {
		t.Fatal(err)
	}
}

// clientConnOf waits until the instance has accepted a client's connection, and returns the instance's clientConn.
func (r *serverRig) clientConnOf(c net.Conn) *clientConn {
	for ; ; runtime.Gosched() {
		r.server.clientsMu.Lock()
		for cc := range r.server.clients {
			if cc.socket.conn.RemoteAddr().String() == c.LocalAddr().String() {
				r.server.clientsMu.Unlock()
				return cc
			}
		}
		r.server.clientsMu.Unlock()
	}
}

// discoveryServer is a scripted discovery: it answers each watch with an empty line, and sends the texts from send on the
// open watch.
type discoveryServer struct {
	addr     string
	send     chan string
	requests chan string // request lines
}

func startDiscovery(t *testing.T) *discoveryServer {
	d := &discoveryServer{send: make(chan string), requests: make(chan string, 16)}
	d.addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.requests <- req.URL.String()
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		disconnected := make(chan struct{})
		go func() { io.Copy(io.Discard, in); close(disconnected) }()
		for {
			select {
			case text := <-d.send:
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
			case <-disconnected:
				return
			}
		}
	})
	return d
}

// startCounter starts a counter that speaks the platform's protocol and executes every call. calls returns the number of
// calls.
func startCounter(t *testing.T) (addr string, calls func() int) {
	var mu sync.Mutex
	sum, n := map[string]float64{}, 0
	addr = startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			call, err := in.ReadString('\n')
			if err != nil {
				return
			}
			var name string
			var x, ttl float64
			fmt.Sscanf(call, "add %s %g %g", &name, &x, &ttl)
			mu.Lock()
			sum[name] += x
			n++
			fmt.Fprintf(c, "ok %g\r\n", sum[name])
			mu.Unlock()
		}
	})
	return addr, func() int { mu.Lock(); defer mu.Unlock(); return n }
}

const nodeConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"%s","counter":"%s","seed":"1f","limits":{"cores":1,"sockets":%d},
"known":{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"%s","health":"active","share":1}]},
"settings":{"me":0,"peers-total":2,"limits":{"max-attempts":3},"specifics":{"shared-counter":true,"count-limit-ms":500,"units-top":6},
"services":[{"name":"look","semantics":"retryable","aim-ms":2000,"deadline-ms":5000}],"plans":[{"name":"team","refill":1000,"store-size":1000}]}}`

const readyRequest = "GET /ready HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n"

// startNode starts an instance with a platform configuration and waits until it is ready.
func startNode(t *testing.T, discovery, counter string, sockets int, backend string) *serverRig {
	t.Helper()
	n, err := platform.ParseConfig(fmt.Appendf(nil, nodeConfig, discovery, counter, sockets, backend))
	if err != nil {
		t.Fatal(err)
	}
	r := &serverRig{T: t, log: &logBuffer{more: make(chan struct{}, 1)}, served: make(chan error, 1)}
	r.serve(n.Config, Options{Seed: n.Seed, Protocol: n, DiscoveryAddress: n.Discovery, EndpointsVersion: n.CachedEndpoints.Version})
	for r.status(readyRequest) != 200 {
		runtime.Gosched()
	}
	return r
}

// nodeRequest returns a request in the platform's protocol.
func nodeRequest(id int) string {
	return fmt.Sprintf("GET /api?client=0000000000000001 HTTP/1.1\r\nHost: o\r\nX-Request-Id: %016x\r\nX-Class: look\r\nX-Tier: team\r\nX-Deadline-Ms: 4000\r\nX-Call-Terms: units=1,spread=2,first=0\r\n\r\n", id)
}

// startNamedBackend starts a backend that answers with its name and the id of the request.
func startNamedBackend(t *testing.T, name string) string {
	return startScriptedPeer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body := name + " " + req.Header.Get("X-Request-Id")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
}

// requireServedBy fails unless a request is served by the backend of that name once the event loop has handled all messages
// queued so far: a log record of the watch only says that a list was posted.
func (r *serverRig) requireServedBy(id int, backend string) {
	r.Helper()
	r.waitForLoop()
	resp := r.exchange(nodeRequest(id), 1)[0]
	body, _ := io.ReadAll(resp.Body)
	if want := fmt.Sprintf("%s %016x", backend, id); resp.StatusCode != 200 || string(body) != want {
		r.Errorf("request %d: %d %q, want %q", id, resp.StatusCode, body, want)
	}
}

// smallWindow sets a small receive buffer on a connection, for net.Dialer.Control.
func smallWindow(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }); e != nil {
		return e
	}
	return err
}

const api = `
openapi: 3.0.3
info: {title: t, version: "1"}
paths:
  /look: {get: {x-sandyard-class: look, responses: {}}, post: {x-sandyard-class: look, responses: {}}}
  /pay: {post: {x-sandyard-class: pay, responses: {}}}
  /feed: {get: {x-sandyard-class: feed, responses: {}}}
`

// serverRig is an instance on TCP, run in the test process.
type serverRig struct {
	*testing.T
	dir       string
	addr      string
	log       *logBuffer
	stop      context.CancelFunc
	served    chan error
	server    *Server
	logOffset int // where waitForLog starts in the log: at the last replacement of a file
	// beforeServe, if set, is called once the instance listens, before Serve.
	beforeServe func()
}

// logBuffer stores a log, so that a test can wait for a record in it.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
	more chan struct{}
	hold *logHold // nil: no goroutine is to be blocked
}

// logHold blocks the goroutine that logs the next record with a given message.
type logHold struct {
	message        string
	held, released chan struct{}
}

// holdAt blocks the goroutine that logs the next record with a given message, before the record is written, until release is
// called. held is closed once the goroutine is blocked. Other goroutines can still log.
func (l *logBuffer) holdAt(message string) (held <-chan struct{}, release func()) {
	hold := &logHold{message: message, held: make(chan struct{}), released: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = hold
	return hold.held, sync.OnceFunc(func() { close(hold.released) })
}

// takeHold removes and returns the hold for a record with a message, or returns nil if there is none.
func (l *logBuffer) takeHold(message string) *logHold {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := l.hold
	if hold == nil || hold.message != message {
		return nil
	}
	l.hold = nil
	return hold
}

// holdingHandler is a log handler that applies the hold of a logBuffer. No lock is held while it blocks.
type holdingHandler struct {
	slog.Handler
	log *logBuffer
}

// Handle implements slog.Handler.
func (h holdingHandler) Handle(ctx context.Context, record slog.Record) error {
	if hold := h.log.takeHold(record.Message); hold != nil {
		close(hold.held)
		<-hold.released
	}
	return h.Handler.Handle(ctx, record)
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(b)
	select {
	case l.more <- struct{}{}:
	default:
	}
	return len(b), nil
}

// String returns the text logged so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// waitForLog waits until the log since the last replacement of a file contains a text.
func (r *serverRig) waitForLog(text string) {
	r.Helper()
	limit := time.After(10 * time.Second)
	for {
		r.log.mu.Lock()
		found := strings.Contains(r.log.text.String()[r.logOffset:], text)
		r.log.mu.Unlock()
		if found {
			return
		}
		select {
		case <-r.log.more:
		case <-limit:
			r.Fatalf("not logged: %s", text)
		}
	}
}

// endpointsYAML returns the text of an endpoint file.
func endpointsYAML(addrs ...string) string {
	if len(addrs) == 0 {
		return "boxes: []\n"
	}
	s := "boxes:\n"
	for i, a := range addrs {
		s += fmt.Sprintf("  - {name: box-%d, address: %q}\n", i, a)
	}
	return s
}

// replaceFile replaces a file atomically. After that waitForLog ignores older log records, which cannot be about the new
// file.
func (r *serverRig) replaceFile(name, text string) {
	r.Helper()
	r.log.mu.Lock()
	r.logOffset = r.log.text.Len()
	r.log.mu.Unlock()
	p := filepath.Join(r.dir, name)
	if err := os.WriteFile(p+".new", []byte(text), 0o600); err != nil {
		r.Fatal(err)
	}
	if err := os.Rename(p+".new", p); err != nil {
		r.Fatal(err)
	}
}

// startGateway starts an instance with three classes, three customers and the given backends.
func startGateway(t *testing.T, counter, limits string, backends ...string) *serverRig {
	t.Helper()
	return startGatewayOf(t, gatewayText+counter+limits, backends...)
}

// gatewayText is the configuration used by startGateway, without counter and limits.
const gatewayText = `
openapi: api.yaml
door: {number: 0, of: 3}
classes:
  - {name: look, repeat: safe, aim: 1s, deadline: 5s, worth: 1, late-share: 0.2}
  - {name: pay, repeat: unsafe, aim: 1s, deadline: 5s, worth: 1}
  - {name: feed, repeat: safe, aim: 1s, deadline: 5s, worth: 1, stream: true}
plans: [{name: big, rate: 10000/s, burst: 10000}, {name: small, rate: 1/min, burst: 3}]
studios:
  - {name: a, plan: big, keys: [ka], doors: {spread: 1}}
  - {name: b, plan: small, keys: [kb], doors: {spread: 1}}
  - {name: c, plan: small, keys: [kc]}
boxes: {file: boxes.yaml}
load: {via: answers, fields: [{name: cpu_utilization, is: utilization}, {name: named_metrics.in_flight, is: in-flight}]}
attempts: {most: 3}
log: {level: debug}
`

// startGatewayOf starts an instance with the given text of a configuration.
func startGatewayOf(t *testing.T, text string, backends ...string) *serverRig {
	t.Helper()
	r := &serverRig{T: t, dir: t.TempDir(), log: &logBuffer{more: make(chan struct{}, 1)}, served: make(chan error, 1)}
	for name, s := range map[string]string{"gateway.yaml": text, "api.yaml": api, "boxes.yaml": endpointsYAML(backends...)} {
		if err := os.WriteFile(filepath.Join(r.dir, name), []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cfg, err := config.Load(filepath.Join(r.dir, "gateway.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	r.serve(cfg, Options{Seed: 1})
	return r
}

// serve runs an instance until the end of the test.
func (r *serverRig) serve(cfg *config.Config, opt Options) {
	r.Helper()
	opt.Log = slog.New(holdingHandler{slog.NewTextHandler(r.log, &slog.HandlerOptions{Level: slog.LevelDebug}), r.log})
	var err error
	if r.server, err = Listen(cfg, "127.0.0.1:0", opt); err != nil {
		r.Fatal(err)
	}
	r.addr = r.server.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	if r.beforeServe != nil {
		r.beforeServe()
	}
	go func() { r.served <- r.server.Serve(ctx) }()
	r.Cleanup(func() {
		cancel()
		if err, ok := <-r.served; ok && err != nil {
			r.Errorf("serve: %v", err)
		}
	})
}

// startBackend starts an emulated backend, which is closed at the end of the test.
func startBackend(t *testing.T, c emulator.BackendConfig, onEvent func(emulator.Event)) *EmulatedBackend {
	t.Helper()
	if c.Name == "" {
		c.Name = "b"
	}
	b, err := StartBackend("127.0.0.1:0", c, onEvent)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// startScriptedPeer starts a server that calls handle for each connection.
func startScriptedPeer(t *testing.T, handle func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { defer c.Close(); handle(c, bufio.NewReader(c)) })
		}
	})
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	return ln.Addr().String()
}

// request returns the text of a request. more holds further header lines, each with its line end.
func request(method, path, key, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + key + "\r\n" + more + "\r\n"
}

// exchange sends a text on a new connection and reads n responses.
func (r *serverRig) exchange(text string, n int) []*http.Response {
	r.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	go io.WriteString(conn, text)
	in := bufio.NewReader(conn)
	var out []*http.Response
	for range n {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			r.Fatalf("after %d responses: %v", len(out), err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			r.Fatal(err)
		}
		resp.Body = io.NopCloser(strings.NewReader(string(body)))
		out = append(out, resp)
	}
	return out
}

// status sends a request on a new connection and returns the status of the response.
func (r *serverRig) status(text string) int { r.Helper(); return r.exchange(text, 1)[0].StatusCode }
