package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
	"go.uber.org/goleak"

	"sandyard/config"
	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/proxy"
	"sandyard/trace"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const api = `
openapi: 3.0.3
info: {title: t, version: "1"}
paths:
  /look: {get: {x-sandyard-class: look, responses: {}}, post: {x-sandyard-class: look, responses: {}}}
  /pay: {post: {x-sandyard-class: pay, responses: {}}}
  /feed: {get: {x-sandyard-class: feed, responses: {}}}
`

// rig is a front door on sockets with what it needs, all in this process.
type rig struct {
	*testing.T
	dir   string
	addr  string
	log   *lines
	stop  context.CancelFunc
	ended chan error
	s     *Server
	from  int // in the log: what was written before a file was replaced tells nothing of that
}

// lines keeps a log and lets a test wait for a record in it.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
	more chan struct{}
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(b)
	select {
	case l.more <- struct{}{}:
	default:
	}
	return len(b), nil
}

// String is what has been logged.
func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (r *rig) logged(what string) {
	r.Helper()
	limit := time.After(10 * time.Second)
	for {
		r.log.mu.Lock()
		found := strings.Contains(r.log.text.String()[r.from:], what)
		r.log.mu.Unlock()
		if found {
			return
		}
		select {
		case <-r.log.more:
		case <-limit:
			r.Fatalf("not logged: %s", what)
		}
	}
}

func boxesText(addrs ...string) string {
	if len(addrs) == 0 {
		return "boxes: []\n"
	}
	s := "boxes:\n"
	for i, a := range addrs {
		s += fmt.Sprintf("  - {name: box-%d, address: %q}\n", i, a)
	}
	return s
}

func (r *rig) replace(name, text string) {
	r.Helper()
	r.log.mu.Lock()
	r.from = r.log.text.Len()
	r.log.mu.Unlock()
	p := filepath.Join(r.dir, name)
	if err := os.WriteFile(p+".new", []byte(text), 0o600); err != nil {
		r.Fatal(err)
	}
	if err := os.Rename(p+".new", p); err != nil {
		r.Fatal(err)
	}
}

func start(t *testing.T, keeper, limits string, boxes ...string) *rig {
	t.Helper()
	r := &rig{T: t, dir: t.TempDir(), log: &lines{more: make(chan struct{}, 1)}, ended: make(chan error, 1)}
	text := `
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
` + keeper + limits
	for name, s := range map[string]string{"gateway.yaml": text, "api.yaml": api, "boxes.yaml": boxesText(boxes...)} {
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

// serve runs a front door until the test is over.
func (r *rig) serve(cfg *config.Config, opt Options) {
	r.Helper()
	opt.Log = slog.New(slog.NewTextHandler(r.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	var err error
	if r.s, err = Listen(cfg, "127.0.0.1:0", opt); err != nil {
		r.Fatal(err)
	}
	r.addr = r.s.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.ended <- r.s.Serve(ctx) }()
	r.Cleanup(func() {
		cancel()
		if err, ok := <-r.ended; ok && err != nil {
			r.Errorf("serve: %v", err)
		}
	})
}

func aBox(t *testing.T, c emulator.BackendConfig, facts func(emulator.Fact)) *EmulatedBackend {
	t.Helper()
	if c.Name == "" {
		c.Name = "b"
	}
	b, err := StartBackend("127.0.0.1:0", c, facts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// rawBox is a box that a test scripts by hand.
func rawBox(t *testing.T, handle func(net.Conn, *bufio.Reader)) string {
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

func req(method, path, key, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + key + "\r\n" + more + "\r\n"
}

// talk sends bytes and reads n answers.
func (r *rig) talk(text string, n int) []*http.Response {
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
			r.Fatalf("after %d answers: %v", len(out), err)
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

func (r *rig) status(text string) int { r.Helper(); return r.talk(text, 1)[0].StatusCode }

func TestServesAndRefuses(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	r := start(t, "", "", b.Addr())
	got := r.talk(strings.Repeat(req("GET", "/look", "kb", ""), 6), 6)
	for i, resp := range got {
		if want := map[bool]int{true: 200, false: 429}[i < 3]; resp.StatusCode != want {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
	}
	body, _ := io.ReadAll(got[5].Body)
	if got[5].Header.Get("Content-Type") != "application/problem+json" || !strings.Contains(string(body), `"retry":"harmless"`) {
		t.Errorf("%s", body)
	}
	if s := r.status(req("GET", "/look", "ka", "")); s != 200 {
		t.Errorf("another studio: %d", s)
	}
}

// TestPipelinedOnSockets: 100 in one write, one of them refused, in order, while another client is served.
func TestPipelinedOnSockets(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{Work: time.Millisecond}, nil)
	r := start(t, "", "", b.Addr())
	text := strings.Repeat(req("POST", "/look", "ka", "Content-Length: 3\r\n")+"abc", 60) + req("GET", "/nowhere", "ka", "") +
		strings.Repeat(req("GET", "/look", "ka", ""), 39)
	for i, resp := range r.talk(text, 100) {
		if want := map[bool]int{true: 404, false: 200}[i == 60]; resp.StatusCode != want {
			t.Errorf("answer %d: %d", i, resp.StatusCode)
		}
	}
}

// TestLargeAnswersAndSlowReaders: an answer far larger than what is held arrives whole, and a reader that takes
// nothing holds up nobody else and is cut off.
func TestLargeAnswersAndSlowReaders(t *testing.T) {
	const size = 16 << 20
	b := aBox(t, emulator.BackendConfig{BodySize: size}, nil)
	small := aBox(t, emulator.BackendConfig{}, nil)
	r := start(t, "", "limits: {write-timeout: 300ms, stream-silence: 20s}\n", b.Addr())
	resp := r.talk(req("GET", "/look", "ka", ""), 1)[0]
	if n, _ := io.Copy(io.Discard, resp.Body); n != size {
		t.Errorf("%d bytes", n)
	}
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, req("GET", "/look", "ka", ""))
	if _, err := io.ReadFull(conn, make([]byte, 1000)); err != nil { // its answer flows
		t.Fatal(err)
	}
	r.replace("boxes.yaml", boxesText(small.Addr()))
	r.logged("boxes=1")
	for range 20 {
		if s := r.status(req("GET", "/look", "ka", "")); s != 200 {
			t.Errorf("beside a slow reader: %d", s)
		}
	}
	r.logged("client took too long")
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := io.Copy(io.Discard, conn); err == nil && n >= size-1000 {
		t.Errorf("a reader that takes nothing got %d bytes", n)
	}
}

// TestClientLeavesBeforeItsBoxAnswers: the attempt is withdrawn and the door forgets it.
func TestClientLeavesBeforeItsBoxAnswers(t *testing.T) {
	got, closed := make(chan struct{}), make(chan struct{})
	addr := rawBox(t, func(c net.Conn, in *bufio.Reader) {
		in.ReadString('\n')
		close(got)
		io.Copy(io.Discard, in)
		close(closed)
	})
	r := start(t, "", "", addr)
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, req("GET", "/look", "ka", ""))
	<-got
	conn.Close()
	<-closed
}

// TestBoxClosesIdleLine: a box that closes each connection after its answer, without saying so, costs no request.
func TestBoxClosesIdleLine(t *testing.T) {
	var runs atomic.Int64
	addr := rawBox(t, func(c net.Conn, in *bufio.Reader) {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, q.Body)
		runs.Add(1)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	r := start(t, "", "", addr, addr)
	served, failed := 0, 0
	for range 60 {
		switch s := r.status(req("POST", "/pay", "ka", "Content-Length: 0\r\n")); s {
		case 200:
			served++
		case 502:
			failed++
		default:
			t.Errorf("unsafe: %d", s)
		}
	}
	if int(runs.Load()) > 60 || served < 30 {
		t.Errorf("60 unsafe requests ran %d times; %d served, %d failed", runs.Load(), served, failed)
	}
	for range 60 {
		if s := r.status(req("GET", "/look", "ka", "")); s != 200 && s != 503 {
			t.Errorf("safe: %d", s)
		}
	}
}

// TestListOfBoxes: a broken file keeps the old list; an empty one empties it; a good one is taken at once.
func TestListOfBoxes(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	r := start(t, "", "", b.Addr())
	look := req("GET", "/look", "ka", "")
	r.replace("boxes.yaml", "boxes: [{name: x, address")
	r.logged("the last one stays in force")
	if s := r.status(look); s != 200 {
		t.Errorf("after a broken list: %d", s)
	}
	r.replace("boxes.yaml", "boxes: []\n")
	r.logged("boxes=0")
	if s := r.status(look); s != 503 {
		t.Errorf("without boxes: %d", s)
	}
	r.replace("boxes.yaml", boxesText(b.Addr()))
	r.logged("boxes=1")
	if s := r.status(look); s != 200 {
		t.Errorf("boxes are back: %d", s)
	}
}

// TestShutdown: what is held is answered, new connections are not taken, and Serve returns nil.
func TestShutdown(t *testing.T) {
	got, answer := make(chan struct{}), make(chan struct{})
	addr := rawBox(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(got)
		<-answer
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		io.Copy(io.Discard, in)
	})
	r := start(t, "", "", addr)
	idle, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	done := make(chan *http.Response)
	go func() { done <- r.talk(req("GET", "/look", "ka", ""), 1)[0] }()
	<-got
	r.stop()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	close(answer)
	if resp := <-done; resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
	close(r.ended)
	if _, err := net.Dial("tcp", r.addr); err == nil {
		t.Error("still accepting")
	}
}

// TestConnectionLimit: one beyond the limit is told so; when one goes, the next is taken.
func TestConnectionLimit(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	r := start(t, "", "limits: {connections: 2}\n", b.Addr())
	var held []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, req("GET", "/look", "ka", ""))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	c.Close()
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("%v %v", resp, err)
	}
	for _, c := range held {
		c.Close()
	}
	s := 503
	for i := 0; i < 10000 && s == 503; i++ { // until the door has seen that they are gone
		s = r.status(req("GET", "/look", "ka", ""))
	}
	if s != 200 {
		t.Errorf("%d", s)
	}
}

// TestDescriptorsExhausted: with no descriptors left the door keeps what it has, and goes on when there are some.
func TestDescriptorsExhausted(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	r := start(t, "", "", b.Addr())
	look := req("GET", "/look", "ka", "")
	old, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	in := bufio.NewReader(old)
	ask := func() int {
		io.WriteString(old, look)
		old.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	if s := ask(); s != 200 {
		t.Fatal(s)
	}
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", r.addr) // the socket to be refused a descriptor at the other end
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, look)
	http.ReadResponse(bufio.NewReader(c), nil)
	next, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0) // before there are none
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(next)
	now := was
	now.Cur = 3
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &now); err != nil {
		t.Fatal(err)
	}
	port := r.s.Addr().(*net.TCPAddr).Port
	err = syscall.Connect(next, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		syscall.Write(next, []byte(look))
		r.logged("msg=accept")
	}
	served := ask()
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)
	if err != nil {
		t.Fatal(err)
	}
	if served != 200 {
		t.Errorf("on a connection that is there: %d", served)
	}
	var buf [12]byte
	if n, err := syscall.Read(next, buf[:]); err != nil || string(buf[:n]) != "HTTP/1.1 200" {
		t.Errorf("after descriptors are back: %q %v", buf[:n], err)
	}
}

// TestMonotonicOnly: the clock has its monotonic reading, so that steps of the machine's clock don't move it.
func TestMonotonicOnly(t *testing.T) {
	r := start(t, "", "")
	if !strings.Contains(r.s.start.String(), "m=") {
		t.Error("the origin has no monotonic reading")
	}
}

// TestKeeperOverTheWire: one round trip a call, answers in order, and a door that goes on when its keeper goes.
func TestKeeperOverTheWire(t *testing.T) {
	k, err := StartCounter("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	b := aBox(t, emulator.BackendConfig{}, nil)
	r := start(t, fmt.Sprintf("keeper: {address: %q, timeout: 1s}\n", k.Addr()), "", b.Addr())
	r.logged("keeper connected")
	served := 0
	for range 8 {
		if s := r.status(req("GET", "/look", "kc", "")); s == 200 {
			served++
		}
	}
	if served < 2 || served > 4 {
		t.Errorf("%d of 8 served with a burst of 3", served)
	}
	var name string
	var weight float64
	told := make(chan struct{})
	r.s.post(post{kind: inquiry, look: func(c *proxy.Instance, _ time.Duration) { name, weight, _ = c.Gateway().CounterName("c"); close(told) }})
	<-told
	k.mu.Lock()
	calls, total := k.keeper.Increments, k.keeper.Total(k.now(), name)
	k.mu.Unlock()
	if used := total / weight; !(used > 1 && used < 9) { // what was refused may not be taken back yet
		t.Errorf("%d served, %v units under %q", served, used, name)
	}
	if calls == 0 {
		t.Error("the keeper was not asked")
	}
	k.Set(fault.Refuse, 0, true)
	if s := r.status(req("GET", "/look", "ka", "")); s != 200 {
		t.Errorf("without a keeper: %d", s)
	}
}

// TestStandInKeeperIsRedis: the stand-in satisfies a client that knows nothing of this project.
func TestStandInKeeperIsRedis(t *testing.T) {
	k, err := StartCounter("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	ctx := context.Background()
	c := redis.NewClient(&redis.Options{Addr: k.Addr(), MaxRetries: -1})
	defer c.Close()
	pipe := c.Pipeline()
	sum := pipe.IncrByFloat(ctx, "a", 2.5)
	nx := pipe.ExpireNX(ctx, "a", 0)
	_ = nx
	if _, err := pipe.Exec(ctx); err == nil {
		t.Error("EXPIRE is not offered, and should be said so")
	}
	if sum.Val() != 2.5 {
		t.Errorf("%v", sum)
	}
	if ok, err := c.PExpire(ctx, "a", time.Minute).Result(); !ok || err != nil {
		t.Error(ok, err)
	}
	if d := c.PTTL(ctx, "a").Val(); d <= 0 || d > time.Minute {
		t.Error(d)
	}
	if v := c.IncrByFloat(ctx, "a", -0.5).Val(); v != 2 {
		t.Error(v)
	}
	if v, err := c.Get(ctx, "a").Float64(); v != 2 || err != nil {
		t.Error(v, err)
	}
	if _, err := c.Get(ctx, "b").Result(); err != redis.Nil {
		t.Error(err)
	}
	if c.Del(ctx, "a", "b").Val() != 1 || c.Ping(ctx).Val() != "PONG" {
		t.Error("DEL or PING")
	}
	if err := c.IncrByFloat(ctx, "a", 1e308).Err(); err != nil {
		t.Error(err)
	}
	if err := c.IncrByFloat(ctx, "a", 1e308).Err(); err == nil {
		t.Error("an overflow is taken")
	}
}

// TestHostileBytes: nothing of a malformed request reaches a box.
func TestHostileBytes(t *testing.T) {
	var seen atomic.Int64
	addr := rawBox(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := in.ReadByte(); err == nil {
			seen.Add(1)
		}
	})
	r := start(t, "", "", addr)
	for text, want := range map[string]int{
		req("POST", "/look", "ka", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n": 400,
		req("POST", "/look", "ka", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abc":                400,
		req("POST", "/look", "ka", "Transfer-Encoding: chunked\r\n") + "zz\r\n":                         400,
		req("GET", "/look", "ka", "X : y\r\n"):                                                          400,
		"GET http://other/look HTTP/1.1\r\nHost: h\r\nX-Api-Key: ka\r\n\r\n":                            400,
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n":                                                400,
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n":                                                              505,
		req("GET", "/look", "ka", "X: "+strings.Repeat("y", 40000)+"\r\n"):                              431,
		req("POST", "/look", "ka", "Content-Length: 2000000\r\n"):                                       413,
		"GET /look HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Api-Key: kx\r\n", 2) + "\r\n":           401,
	} {
		if s := r.status(text); s != want {
			t.Errorf("%.60q: %d, want %d", text, s, want)
		}
	}
	if seen.Load() != 0 {
		t.Errorf("%d of them reached the box", seen.Load())
	}
}

func TestControl(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	addr, stop, err := Control("127.0.0.1:0", b)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	r := start(t, "", "", b.Addr())
	look := req("GET", "/look", "ka", "")
	if err := SetFault(addr.String(), "set fault 1"); err != nil {
		t.Fatal(err)
	}
	if s := r.status(look); s != 503 {
		t.Errorf("%d", s)
	}
	if err := SetFault(addr.String(), "clear fault"); err != nil {
		t.Fatal(err)
	}
	if s := r.status(look); s != 200 {
		t.Errorf("%d", s)
	}
	for _, bad := range []string{"set", "set slow", "set nonsense", "what", "set slow x", "clear"} {
		if SetFault(addr.String(), bad) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

// TestAdminSocket: tools look at a front door that serves, and change nothing; two at once, hostile ones, and a socket
// left behind by a killed process are no trouble.
func TestAdminSocket(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	path := filepath.Join(t.TempDir(), "a.sock")
	old, err := net.Listen("unix", path) // of a process that is gone
	if err != nil {
		t.Fatal(err)
	}
	old.(*net.UnixListener).SetUnlinkOnClose(false)
	old.Close()
	r := start(t, fmt.Sprintf("admin: {socket: %q}\n", path), "", b.Addr())
	r.logged("admin socket")
	ask := func(text string) string {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Error(err)
			return ""
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, text)
		got, _ := io.ReadAll(c)
		return string(got)
	}
	get := func(p string) string { return ask("GET " + p + " HTTP/1.1\r\nHost: a\r\n\r\n") }
	for range 2 {
		r.status(req("GET", "/look", "kb", ""))
	}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for range 3 {
				if got := get("/v1/studio?name=b"); !strings.Contains(got, `"known":true`) || !strings.Contains(got, "Sandyard-Core: ") {
					t.Errorf("%s", got)
				}
			}
			if got := get("/v1/would?name=b&units=1"); !strings.Contains(got, "admitted") {
				t.Errorf("%s", got)
			}
			if got := get("/v1/would?name=b&units=900"); !strings.Contains(got, "refused: quota") {
				t.Errorf("%s", got)
			}
		})
	}
	wg.Wait()
	for _, l := range []proxy.Inspection{{Method: "GET", Target: "/look?a=%20&b=+", Customer: "b"}, {Method: "GET", Target: "/look", Key: "kb"}, {Method: "POST", Target: "/look", Customer: "a"},
		{Method: "GET", Target: "/look", Fields: []string{"X-Api-Key: kb", "X-Other: a&b=c"}}, {Method: "GET", Target: "/nowhere", Customer: "a"}, {Method: "GET", Target: "look"},
		{Method: "GET", Target: "/look", Customer: "nobody"}, {Method: "GET", Target: "/look"}, {Method: "G T", Target: "/\r\n\r\n"}, {}} {
		want, _ := json.Marshal(l.Run(r.s.cfg))
		if got := get("/v1/match?" + l.Query()); !strings.HasSuffix(got, "\r\n\r\n"+string(want)+"\n") {
			t.Errorf("%+v: %s, from files %s", l, got, want)
		}
	}
	if s := r.status(req("GET", "/look", "kb", "")); s != 200 {
		t.Errorf("looking has cost the studio its third unit: %d", s)
	}
	for text, want := range map[string]string{"GET /v1/studio?name=nobody HTTP/1.1\r\nHost: a\r\n\r\n": "404", "POST /v1/identity HTTP/1.1\r\nHost: a\r\n\r\n": "405",
		"GET /v2/studio HTTP/1.1\r\nHost: a\r\n\r\n": "404", "nonsense\r\n\r\n": "400", "GET /v1/would?name=b&units=x HTTP/1.1\r\nHost: a\r\n\r\n": "400",
		"GET /v1/studio?name=%zz HTTP/1.1\r\nHost: a\r\n\r\n": "400"} {
		if got := ask(text); !strings.HasPrefix(got, "HTTP/1.1 "+want) {
			t.Errorf("%q: %s", text, got)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v %v", info.Mode(), err)
	}
}

// TestRecording: what is decided is in the trace and no key is; files are begun anew at their size.
func TestRecording(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	dir := t.TempDir()
	r := start(t, fmt.Sprintf("trace: {mode: full, folder: %q, file-size: 64KiB, most: 1MiB}\n", dir), "", b.Addr())
	for range 300 {
		if s := r.status(req("GET", "/look", "ka", "")); s != 200 {
			t.Fatal(s)
		}
	}
	r.stop()
	if err := <-r.ended; err != nil {
		t.Fatal(err)
	}
	close(r.ended)
	files, _ := filepath.Glob(filepath.Join(dir, "*.trace"))
	arrived, served := 0, 0
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		rd, err := trace.NewReader(text)
		if err != nil {
			t.Fatal(err)
		}
		for {
			items, err := rd.Next()
			if err != nil {
				t.Fatal(err)
			}
			if items == nil {
				break
			}
			for _, it := range items {
				b, _ := json.Marshal(it)
				if strings.Contains(string(b), `"ka"`) {
					t.Error("a key in the trace")
				}
				if it.Event.Arrived != nil {
					arrived++
				}
				if it.Event.Ended != nil {
					served++
				}
			}
		}
		rd.Close()
	}
	if arrived != 300 || served != 300 {
		t.Errorf("%d arrived and %d were served in %d files", arrived, served, len(files))
	}
}

// TestRecordingEndsWithItsDisk: a folder that can't be written any more ends the recording, not the front door.
func TestRecordingEndsWithItsDisk(t *testing.T) {
	b := aBox(t, emulator.BackendConfig{}, nil)
	r := start(t, fmt.Sprintf("trace: {mode: full, folder: %q}\n", t.TempDir()), "", b.Addr())
	r.s.rec.opened.Close() // before Serve has begun to write, or between two frames
	r.logged("recording has ended")
	if s := r.status(req("GET", "/look", "ka", "")); s != 200 {
		t.Errorf("%d", s)
	}
}
