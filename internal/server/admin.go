package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sandyard/coreid"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/proxy"
	"sandyard/quota"
)

// The admin socket: a unix socket that its owner alone may open, on which tools look and change nothing. The protocol is
// HTTP/1.1 by our own parser, versioned by its paths:
//
//	GET /v1/identity                     core, configuration, door
//	GET /v1/studio?name=S                what the module knows of a studio
//	GET /v1/counted?name=S               under which name the keeper holds its use, and where the keeper is
//	GET /v1/would?name=S&units=N         what it would decide now, by a copy of its state
//	GET /v1/match?method=M&target=T&...  what it makes of a request before it decides (see door.Look)
//
// Its cost to requests is bounded: a look at a studio is one look-up between two events; a copy is taken at most once in
// minSnapshotInterval, for all tools together, and used outside the loop.
const (
	maxAdminConns       = 8
	adminTimeout        = 5 * time.Second
	minSnapshotInterval = 250 * time.Millisecond
)

type adminServer struct {
	server   *Server
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	closed   bool

	snapshotMu   sync.Mutex
	lastSnapshot time.Time
}

// Identity is the answer to /v1/identity.
type Identity struct {
	Core     string `json:"core"`
	Config   string `json:"config"`
	Instance int    `json:"door"`
	Of       int    `json:"of"`
}

// CounterEntry is the answer to /v1/counted. Names change every while: it holds as of the front door's last event.
type CounterEntry struct {
	Known       bool    `json:"known"` // seen lately, and shared with other front doors
	Name        string  `json:"name"`
	Weight      float64 `json:"weight"` // of a unit that is used now
	CounterAddr string  `json:"keeper"` // host:port; empty: there is none
}

func (s *Server) startAdmin() (func(), error) {
	path := s.cfg.AdminSocket()
	if path == "" {
		return func() {}, nil
	}
	ln, err := listenUnix(path)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	a := &adminServer{server: s, listener: ln, open: map[net.Conn]struct{}{}}
	a.wg.Go(a.accept)
	s.log.Info("admin socket", "path", path)
	return a.close, nil
}

// listenUnix takes over the socket of a process that is gone, never that of one that listens.
func listenUnix(path string) (net.Listener, error) {
	old := syscall.Umask(0o177) // from the first moment on it is its owner's alone
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return ln, err
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process listens there", path)
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	old = syscall.Umask(0o177)
	defer syscall.Umask(old)
	return net.Listen("unix", path)
}

func (a *adminServer) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		if a.closed || len(a.open) >= maxAdminConns {
			a.mu.Unlock()
			c.Close()
			continue
		}
		a.open[c] = struct{}{}
		a.mu.Unlock()
		a.wg.Go(func() {
			a.serve(c)
			c.Close()
			a.mu.Lock()
			delete(a.open, c)
			a.mu.Unlock()
		})
	}
}

func (a *adminServer) close() {
	a.listener.Close()
	a.mu.Lock()
	a.closed = true
	for c := range a.open {
		c.Close()
	}
	a.mu.Unlock()
	a.wg.Wait()
}

// serve answers one request; tools need no more.
func (a *adminServer) serve(c net.Conn) {
	c.SetDeadline(time.Now().Add(adminTimeout))
	rd := http1.NewRequests(http1.Limits{RequestLine: 16 << 10, Head: 20 << 10})
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		_, part, err := rd.Feed(b[:n])
		status, answer := 200, any(nil)
		switch {
		case err != nil:
			status, answer = 400, map[string]string{"error": err.Error()}
		case part.Kind != http1.HeadEnd:
			continue
		case part.Head.Method != "GET":
			status, answer = 405, map[string]string{"error": "only GET is taken here"}
		default:
			status, answer = a.answer(part.Head)
		}
		body, err := json.Marshal(answer)
		if err != nil {
			status, body = 500, []byte(`{"error":"the answer can't be written as JSON"}`)
		}
		out := http1.AppendStatus(nil, status, http1.StatusText(status))
		out = http1.AppendField(out, "Content-Type", "application/json")
		out = http1.AppendField(out, "Sandyard-Core", coreid.Core())
		out = http1.AppendLength(out, int64(len(body))+1)
		out = append(out, "Connection: close\r\n\r\n"...)
		c.Write(append(append(out, body...), '\n'))
		return
	}
}

func (a *adminServer) answer(h *http1.Head) (int, any) {
	fail := func(status int, format string, args ...any) (int, any) {
		return status, map[string]string{"error": fmt.Sprintf(format, args...)}
	}
	q, err := parseQuery(h.Query)
	if err != nil {
		return fail(400, "%v", err)
	}
	cfg := a.server.cfg
	if h.Path == "/v1/identity" {
		return 200, Identity{coreid.Core(), cfg.Digest, cfg.Instance.Number, cfg.Instance.Total}
	}
	if h.Path == "/v1/match" {
		return 200, proxy.ParseInspection(q).Run(cfg)
	}
	if h.Path != "/v1/studio" && h.Path != "/v1/would" && h.Path != "/v1/counted" {
		return fail(404, "no such path; version 1 has identity, studio, counted, would and match")
	}
	studio := cfg.CustomerByName(q["name"])
	if studio == nil {
		return fail(404, "no studio %q", q["name"])
	}
	if h.Path == "/v1/studio" {
		var v quota.View
		if !a.runInLoop(func(c *proxy.Instance, now time.Duration) {
			st, known := c.Gateway().Customer(studio.Name)
			v = quota.Inspect(cfg.Settings, studio.Plan, studio.Name, st, known, now)
		}) {
			return fail(503, "the front door is ending")
		}
		return 200, v
	}
	if h.Path == "/v1/counted" {
		n := CounterEntry{CounterAddr: cfg.Counter.Address}
		if !a.runInLoop(func(c *proxy.Instance, _ time.Duration) {
			n.Name, n.Weight, n.Known = c.Gateway().CounterName(studio.Name)
		}) {
			return fail(503, "the front door is ending")
		}
		return 200, n
	}
	units, err := strconv.ParseFloat(q["units"], 64)
	if q["units"] == "" {
		units, err = 1, nil
	}
	if err != nil || !(units >= 0) || units > 1e9 {
		return fail(400, "units %q: expected a number, 0 or more", q["units"])
	}
	a.snapshotMu.Lock() // one copy at a time, and not more often than every minSnapshotInterval
	defer a.snapshotMu.Unlock()
	if wait := minSnapshotInterval - time.Since(a.lastSnapshot); wait > 0 {
		time.Sleep(wait)
	}
	a.lastSnapshot = time.Now()
	var st decision.State
	var at time.Duration
	if !a.runInLoop(func(c *proxy.Instance, now time.Duration) { st, err = c.Gateway().Snapshot(); at = now }) {
		return fail(503, "the front door is ending")
	}
	if err != nil {
		return fail(500, "%v", err)
	}
	w, err := quota.WouldDecide(cfg.Settings, st, studio.Plan, studio.Name, studio.Spread, studio.First, units, at)
	if err != nil {
		return fail(500, "%v", err)
	}
	return 200, w
}

// runInLoop runs a look in the loop and waits for it; false: the loop has ended.
func (a *adminServer) runInLoop(inspect func(*proxy.Instance, time.Duration)) bool {
	done := make(chan struct{})
	if !a.server.post(post{kind: inquiry, look: func(c *proxy.Instance, now time.Duration) { inspect(c, now); close(done) }}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-a.server.connectionsCtx.Done():
		return false
	}
}

func parseQuery(s string) (map[string]string, error) {
	q := map[string]string{}
	for _, pair := range strings.Split(s, "&") {
		k, v, _ := strings.Cut(pair, "=")
		if strings.ContainsAny(v, "+") {
			v = strings.ReplaceAll(v, "+", " ")
		}
		var err error
		if v, err = unescapePercent(v); err != nil {
			return nil, err
		}
		q[k] = v
	}
	return q, nil
}

func unescapePercent(s string) (string, error) {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			out = append(out, s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", fmt.Errorf("%q: a broken escape", s)
		}
		n, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
		if err != nil {
			return "", fmt.Errorf("%q: a broken escape", s)
		}
		out = append(out, byte(n))
		i += 2
	}
	return string(out), nil
}
