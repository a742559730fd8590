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

	"sandyard/config"
	"sandyard/coreid"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/proxy"
	"sandyard/quota"
)

// The admin socket is a unix socket that only its owner may open. Tools use it to inspect an instance; it changes nothing.
// The protocol is HTTP/1.1, parsed by package http1 and versioned by its paths:
//
//	GET /v1/identity                     core, configuration, instance
//	GET /v1/studio?name=S                state of a customer in the decision package
//	GET /v1/counted?name=S               name under which the counter counts a customer's use, and address of the counter
//	GET /v1/would?name=S&units=N         what the instance would decide now, by a copy of its state
//	GET /v1/match?method=M&target=T&...  how a request is parsed and matched before the decision (see proxy.Inspection)
//
// Inspections delay requests only briefly: the event loop inspects a customer between two messages. It copies the state at
// most once in minSnapshotInterval, for all tools together, and the copy is used outside the event loop.
const (
	// maxAdminConns bounds the connections of tools. Each costs a descriptor.
	maxAdminConns = 8
	// adminTimeout bounds a request and its response. A tool sends its request at once.
	adminTimeout = 5 * time.Second
	// minSnapshotInterval limits copies of the state, each of which delays the event loop, to a few per second.
	minSnapshotInterval = 250 * time.Millisecond
	// takeoverTimeout bounds the dial that checks whether another process listens on the socket file.
	takeoverTimeout = time.Second
	// maxAdminRequestTarget and maxAdminHead bound a request (bytes). The target of /v1/match holds the header fields of the
	// request to match.
	maxAdminRequestTarget = 16 << 10
	maxAdminHead          = 20 << 10
	// maxInspectedUnits bounds the units of /v1/would. It is more than any plan allows.
	maxInspectedUnits = 1e9
)

// ErrAdminSocketInUse is wrapped in the error of Serve if another process listens on the admin socket.
var ErrAdminSocketInUse = errors.New("another process listens there")

// adminServer answers the requests of the admin socket.
type adminServer struct {
	server *Server

	snapshotMu   sync.Mutex // held while waiting for a copy of the state and using it, so that there is one at a time
	lastSnapshot time.Time
}

// adminResponse is a response of the admin socket; body is written as JSON.
type adminResponse struct {
	status int
	body   any
}

// adminError is the body of a response other than 200.
type adminError struct {
	Error string `json:"error"`
}

func adminFailure(status int, format string, args ...any) adminResponse {
	return adminResponse{status, adminError{fmt.Sprintf(format, args...)}}
}

// stoppingResponse returns the response to a request that arrives after the event loop has ended.
func stoppingResponse() adminResponse { return adminFailure(503, "the front door is ending") }

// Identity is the response to /v1/identity.
type Identity struct {
	Core     string `json:"core"`
	Config   string `json:"config"`
	Instance int    `json:"door"`
	Of       int    `json:"of"`
}

// CounterEntry is the response to /v1/counted: where the shared counter counts a customer's use. The name changes with time;
// it is the one at the instance's last event.
type CounterEntry struct {
	Known       bool    `json:"known"` // the customer was seen recently, and other instances share its quota
	Name        string  `json:"name"`
	Weight      float64 `json:"weight"` // what the counter adds for a unit that is used now
	CounterAddr string  `json:"keeper"` // host:port; empty: no counter
}

// startAdmin serves the admin socket, if one is configured, until the returned function is called.
func (s *Server) startAdmin() (stop func(), err error) {
	path := s.cfg.AdminSocket()
	if path == "" {
		return func() {}, nil
	}
	listener, err := listenUnix(path)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	a := &adminServer{server: s}
	connections := startConnServer(listener, maxAdminConns, a.serve)
	s.log.Info("admin socket", "path", path)
	return connections.close, nil
}

// listenUnix listens on a socket file. It takes over the file of a process that has ended, never that of one that still listens.
func listenUnix(path string) (net.Listener, error) {
	listener, err := listenPrivately(path)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return listener, err
	}
	if c, err := net.DialTimeout("unix", path, takeoverTimeout); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrAdminSocketInUse)
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	return listenPrivately(path)
}

// listenPrivately listens on a socket file that only its owner can open from the beginning: if the mode were set later, others
// could connect before. The umask applies to the whole process meanwhile; it can only make other files more private.
func listenPrivately(path string) (net.Listener, error) {
	old := syscall.Umask(0o177)
	defer syscall.Umask(old)
	return net.Listen("unix", path)
}

// serve answers one request per connection; tools need no more.
func (a *adminServer) serve(c net.Conn) {
	c.SetDeadline(time.Now().Add(adminTimeout))
	requests := http1.NewRequests(http1.Limits{RequestLine: maxAdminRequestTarget, Head: maxAdminHead})
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		_, part, err := requests.Feed(b[:n])
		switch {
		case err != nil:
			writeAdminResponse(c, adminFailure(400, "%v", err))
		case part.Kind != http1.HeadEnd:
			continue
		case part.Head.Method != "GET":
			writeAdminResponse(c, adminFailure(405, "only GET is taken here"))
		default:
			writeAdminResponse(c, a.respond(part.Head))
		}
		return
	}
}

func writeAdminResponse(c net.Conn, r adminResponse) {
	body, err := json.Marshal(r.body)
	if err != nil {
		r.status, body = 500, []byte(`{"error":"the answer can't be written as JSON"}`)
	}
	out := http1.AppendStatus(nil, r.status, http1.StatusText(r.status))
	out = http1.AppendField(out, "Content-Type", "application/json")
	out = http1.AppendField(out, "Sandyard-Core", coreid.Core())
	out = http1.AppendLength(out, int64(len(body))+1)
	out = append(out, "Connection: close\r\n\r\n"...)
	c.Write(append(append(out, body...), '\n'))
}

// respond routes a request to its handler and returns the response.
func (a *adminServer) respond(head *http1.Head) adminResponse {
	query, err := parseQuery(head.Query)
	if err != nil {
		return adminFailure(400, "%v", err)
	}
	cfg := a.server.cfg
	switch head.Path {
	case "/v1/identity":
		return adminResponse{200, Identity{coreid.Core(), cfg.Digest, cfg.Instance.Number, cfg.Instance.Total}}
	case "/v1/match":
		return adminResponse{200, proxy.ParseInspection(query).Run(cfg)}
	case "/v1/studio", "/v1/would", "/v1/counted":
	default:
		return adminFailure(404, "no such path; version 1 has identity, studio, counted, would and match")
	}
	customer := cfg.CustomerByName(query["name"])
	if customer == nil {
		return adminFailure(404, "no studio %q", query["name"])
	}
	switch head.Path {
	case "/v1/studio":
		return a.inspectCustomer(customer)
	case "/v1/counted":
		return a.inspectCounter(customer)
	}
	return a.inspectDecision(customer, query["units"])
}

// inspectCustomer handles /v1/studio.
func (a *adminServer) inspectCustomer(customer *config.Customer) adminResponse {
	var view quota.View
	ran := a.runInLoop(func(instance *proxy.Instance, now time.Duration) {
		state, known := instance.Gateway().Customer(customer.Name)
		view = quota.Inspect(a.server.cfg.Settings, customer.Plan, customer.Name, state, known, now)
	})
	if !ran {
		return stoppingResponse()
	}
	return adminResponse{200, view}
}

// inspectCounter handles /v1/counted.
func (a *adminServer) inspectCounter(customer *config.Customer) adminResponse {
	entry := CounterEntry{CounterAddr: a.server.cfg.Counter.Address}
	ran := a.runInLoop(func(instance *proxy.Instance, _ time.Duration) {
		entry.Name, entry.Weight, entry.Known = instance.Gateway().CounterName(customer.Name)
	})
	if !ran {
		return stoppingResponse()
	}
	return adminResponse{200, entry}
}

// inspectDecision handles /v1/would: it returns what a copy of the instance's state decides on a request for a number of
// units, 1 by default. It waits for concurrent calls of inspectDecision, and until minSnapshotInterval after the previous
// copy.
func (a *adminServer) inspectDecision(customer *config.Customer, unitsText string) adminResponse {
	units, err := parseUnits(unitsText)
	if err != nil {
		return adminFailure(400, "%v", err)
	}
	a.snapshotMu.Lock()
	defer a.snapshotMu.Unlock()
	if wait := minSnapshotInterval - time.Since(a.lastSnapshot); wait > 0 {
		time.Sleep(wait)
	}
	a.lastSnapshot = time.Now()
	var state decision.State
	var at time.Duration
	ran := a.runInLoop(func(instance *proxy.Instance, now time.Duration) {
		state, err = instance.Gateway().Snapshot()
		at = now
	})
	if !ran {
		return stoppingResponse()
	}
	if err != nil {
		return adminFailure(500, "%v", err)
	}
	outcome, err := quota.DryRun(a.server.cfg.Settings, state, customer.Plan, customer.Name, customer.Spread, customer.First, units, at)
	if err != nil {
		return adminFailure(500, "%v", err)
	}
	return adminResponse{200, outcome}
}

func parseUnits(text string) (float64, error) {
	if text == "" {
		return 1, nil
	}
	units, err := strconv.ParseFloat(text, 64)
	if err != nil || !(units >= 0) || units > maxInspectedUnits {
		return 0, fmt.Errorf("units %q: expected a number, 0 or more", text)
	}
	return units, nil
}

// runInLoop runs an inspection in the event loop and waits for its end. It returns false if the loop has ended.
func (a *adminServer) runInLoop(inspect inspection) bool {
	done := make(chan struct{})
	queued := a.server.post(inspection(func(instance *proxy.Instance, now time.Duration) {
		inspect(instance, now)
		close(done)
	}))
	if !queued {
		return false
	}
	select {
	case <-done:
		return true
	case <-a.server.connectionsCtx.Done():
		return false
	}
}

// parseQuery parses the pairs of a query string. If a name occurs twice, the last value counts.
func parseQuery(s string) (map[string]string, error) {
	query := map[string]string{}
	for pair := range strings.SplitSeq(s, "&") {
		name, value, _ := strings.Cut(pair, "=")
		value, err := unescapePercent(strings.ReplaceAll(value, "+", " "))
		if err != nil {
			return nil, err
		}
		query[name] = value
	}
	return query, nil
}

// unescapePercent decodes percent escapes. Unlike net/url it accepts every byte.
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
