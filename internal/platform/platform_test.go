package platform

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/http1"
	"sandyard/internal/protocol"
)

const configuration = `{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"counter":"127.0.0.3:6400",
"known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.9:80","site":"hall b","block":3,"health":"leaving","share":1.5,"born_ms":1700000000123}]},
"settings":{"az":1,"peers-total":4,"me":2,"localities":["hall a","hall b"],"feedback":{"names":["cpu_share","pending"],"via":"piggyback"},
"limits":{"max-attempts":3,"retry-after":true,"conn-idle-ms":4000.0,"connect-timeout-ms":200.0},
"services":[{"name":"look up","semantics":"retryable","aim-ms":500.0,"deadline-ms":2000.0,"value":2.0},
 {"name":"book","semantics":"dedup","aim-ms":500.0,"deadline-ms":2000.0,"key-ttl-ms":3000.0},{"name":"pay","semantics":"fragile","aim-ms":500.0,"deadline-ms":2000.0}],
"plans":[{"name":"free","refill":1.5,"store-size":4.0},{"name":"team","parallel":2,"refill":null}],
"specifics":{"shared-counter":true,"count-limit-ms":50.0,"units-top":6}}}`

func newNode(t *testing.T) *Node {
	t.Helper()
	n, err := ParseConfig([]byte(configuration))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestConfigurationIsParsed checks that an instance reads its settings, its limits and its last endpoint list from one file.
// A counter that the settings disable is not used, and file descriptors remain for other uses.
func TestConfigurationIsParsed(t *testing.T) {
	n := newNode(t)
	s, c := n.Config.Settings, n.Config
	if s.Zone != 1 || s.Instances != 4 || s.Self != 2 || !s.LoadInAnswers || s.MaxAttempts != 3 || !s.RetryAfter || !s.Counter || s.MaxUnits != 6 {
		t.Errorf("%+v", s)
	}
	if len(s.Classes) != 3 || s.Classes[1].Idempotency != decision.IdempotentByKey || s.Classes[1].KeyTTL != 3*time.Second || s.Classes[0].PriorityWeight != 2 {
		t.Errorf("%+v", s.Classes)
	}
	if len(s.Plans) != 2 || s.Plans[0].Rate != 1.5 || s.Plans[1].MaxInFlight != 2 || s.Plans[1].Rate != 0 {
		t.Errorf("%+v", s.Plans)
	}
	if c.Counter.Address != "127.0.0.3:6400" || c.Limits.Connections+c.Limits.BackendConns >= n.Limits.Sockets || c.Limits.BackendIdleTimeout >= 4e9 {
		t.Errorf("%+v %+v", c.Counter, c.Limits)
	}
	b := n.CachedEndpoints.Endpoints[0]
	if n.CachedEndpoints.Version != 41 || decision.EndpointState(b.State) != decision.Draining || time.Time(b.Started).UnixMilli() != 1700000000123 || b.Cell != 3 {
		t.Errorf("%+v", n.CachedEndpoints)
	}
	if n, err := ParseConfig([]byte(strings.Replace(configuration, `"shared-counter":true`, `"shared-counter":false`, 1))); err != nil || n.Config.Counter.Address != "" {
		t.Errorf("a disabled counter: %v %+v", err, n.Config.Counter)
	}
	if c.Zones[1] != "hall_b" {
		t.Errorf("%q", c.Zones)
	}
}

// TestMalformedConfigurationsNameTheField checks that the error names the invalid field: an operator whose instance does not
// start has only this message.
func TestMalformedConfigurationsNameTheField(t *testing.T) {
	for _, c := range [][3]string{{`"127.0.0.2:8500"`, `"nowhere"`, "discovery"}, {`"8c1f30d27a5be964"`, `"seed"`, "seed"}, {`"leaving"`, `"away"`, "hosts[0].health"},
		{`"retryable"`, `"often"`, "services.0.semantics"}, {`"max-attempts":3`, `"max-attempts":"x"`, "limits.max-attempts"}, {`"name":"book"`, `"name":"pay"`, "two classes"},
		{`"memory_mb":64`, `"memory_mb":-1`, "limits"}, {`"seq":41`, `"sea":41`, "seq"}, {`"settings":{`, `"settings":[{`, "configuration"}} {
		if _, err := ParseConfig([]byte(strings.Replace(configuration, c[0], c[1], 1))); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s instead of %s: %v, want an error that names %s", c[1], c[0], err, c[2])
		}
	}
}

func parseHead(t *testing.T, text string) *http1.Head {
	t.Helper()
	_, p, err := http1.NewRequests(http1.Limits{}).Feed([]byte(text))
	if err != nil || p.Kind != http1.HeadEnd {
		t.Fatalf("%q: %v", text, err)
	}
	return p.Head
}

const getRequest = "GET /api?client=00000000b4d65521 HTTP/1.1\r\nHost: o\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: look_up\r\nX-Tier: team\r\n" +
	"X-Deadline-Ms: 480\r\nX-Call-Terms: units=2,spread=3,first=1\r\nX-Retry: 1\r\n\r\n"

const postRequest = "POST /api?x=1&client=00000000b4d65521 HTTP/1.1\r\nHost: o\r\nX-Request-Id: 9b1f03aa5c7e2d42\r\nX-Class: book\r\nX-Tier: free\r\n" +
	"Idempotency-Key: k1\r\nX-Deadline-Ms: 480\r\nContent-Length: 3\r\nX-Call-Terms: units=1,spread=4,first=0\r\n\r\n"

// TestRequestsAreParsedAndRendered checks that all values in a request are passed to the decision, and that a backend gets
// only the forwarded fields and the time left.
func TestRequestsAreParsedAndRendered(t *testing.T) {
	n := newNode(t)
	var info protocol.RequestInfo
	if response := n.ParseRequest(parseHead(t, getRequest), &info); response != nil {
		t.Fatal(response)
	}
	if info.Class != 0 || info.Customer.Plan != 1 || info.Customer.Name != "00000000b4d65521" || info.Customer.Spread != 3 || info.Customer.First != 1 ||
		info.Units != 2 || info.Timeout != 480*time.Millisecond || !info.IsRetry || info.UniqueName != "9b1f03aa5c7e2d41" {
		t.Errorf("%+v %+v", info, info.Customer)
	}
	h := parseHead(t, postRequest)
	if response := n.ParseRequest(h, &info); response != nil {
		t.Fatal(response)
	}
	wire, at := n.RenderRequest(nil, h, []byte("abc"), nil, "")
	want := "POST /api?x=1&client=00000000b4d65521 HTTP/1.1\r\nHost: o\r\nX-Request-Id: 9b1f03aa5c7e2d42\r\nIdempotency-Key: k1\r\nContent-Length: 3\r\nX-Deadline-Ms: 250\r\n\r\nabc"
	if got := string(n.RenderAttempt(wire, at, 250*time.Millisecond)); got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	if p := n.RenderProbe("a:1"); string(n.RenderAttempt(p, 0, time.Second)) != "GET /status/load HTTP/1.1\r\nHost: a:1\r\n\r\n" {
		t.Errorf("a probe is sent as %q", n.RenderAttempt(p, 0, time.Second))
	}
	if response := n.ParseRequest(parseHead(t, "GET /ready HTTP/1.1\r\nHost: o\r\n\r\n"), &info); response == nil || response.Status != 200 {
		t.Errorf("ready: %+v", response)
	}
}

// TestMalformedRequestsAreRejected checks that requests that violate the protocol get a 4xx response and no decision.
func TestMalformedRequestsAreRejected(t *testing.T) {
	n := newNode(t)
	for _, c := range [][3]string{{getRequest, "GET /api", "GET /other"}, {getRequest, "GET ", "POST "}, {getRequest, "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4"}, {getRequest, "9b1f", "ZZZZ"},
		{getRequest, "X-Request-Id: 9b1f03aa5c7e2d41\r\n", ""}, {getRequest, "X-Retry: 1", "X-Request-Id: 0000000000000000"}, {getRequest, "look_up", "lookup"}, {getRequest, "team", "none"},
		{getRequest, "00000000b4d65521", "0000000200000000"}, {getRequest, "00000000b4d65521", "b4d65521"}, {getRequest, "client=", "clien="}, {getRequest, "?client=", "?client=0000000000000001&client="},
		{getRequest, ": 480", ": 4e2"}, {getRequest, ": 480", ": 0"}, {getRequest, ": 480", ": -1"}, {getRequest, "units=2", "units=7"}, {getRequest, "units=2", "units=-1"}, {getRequest, "units=2", "units=NaN"},
		{getRequest, "spread=3", "spread=5"}, {getRequest, "spread=3", "spread=0"}, {getRequest, "first=1", "first=4"}, {getRequest, ",first=1", ""}, {getRequest, "first=1", "first=1,first=2"},
		{getRequest, "X-Retry: 1", "Idempotency-Key: k"}, {getRequest, "X-Retry: 1", "Content-Length: 1"}, {postRequest, "POST", "PUT"}, {postRequest, "Idempotency-Key: k1\r\n", ""}, {postRequest, "POST", "GET"}} {
		var info protocol.RequestInfo
		if response := n.ParseRequest(parseHead(t, strings.Replace(c[0], c[1], c[2], 1)), &info); response == nil || response.Status < 400 || response.Status > 499 {
			t.Errorf("%q instead of %q: %+v", c[2], c[1], response)
		}
	}
}

// TestUnitsOutOfRangeAreRejected guards against bad clients that are served for next to nothing: a request of less than one unit, or
// whose units are no decimal number, must get 400, and both bounds of the range must be accepted.
func TestUnitsOutOfRangeAreRejected(t *testing.T) {
	n := newNode(t)
	accepts := func(units string) bool {
		var info protocol.RequestInfo
		return n.ParseRequest(parseHead(t, strings.Replace(getRequest, "units=2", "units="+units, 1)), &info) == nil
	}
	for _, units := range []string{"0", "-0", "1e-9", "0.01", "0.5", "0.9999", "6.0001", "7", "1e9", "1e999", "-1", "NaN", "Inf", "many", "0x2", "0x1p1", "", "1..2"} {
		if accepts(units) {
			t.Errorf("units=%s is accepted", units)
		}
	}
	for _, units := range []string{"1", "1.0", "2.5", "6"} {
		if !accepts(units) {
			t.Errorf("units=%s is rejected", units)
		}
	}
}

// TestMemoryLimitCoversProgramFile guards against a process that exceeds its memory limit while the heap is within its own: the
// resident pages of the program's file count as well.
func TestMemoryLimitCoversProgramFile(t *testing.T) {
	for _, megabytes := range []int{32, 48, 64, 128, 192, 2048} {
		limits := Limits{MemoryMB: megabytes}
		if heap := limits.RuntimeMemory(); heap+programPages > int64(megabytes)<<20 || heap < int64(limits.bodyMemory())*2 {
			t.Errorf("%d MB: %d bytes for the heap, %d for bodies, %d for the program's file", megabytes, heap, limits.bodyMemory(), programPages)
		}
	}
	if heap := (Limits{}).RuntimeMemory(); heap != 0 {
		t.Errorf("no limit: %d", heap)
	}
}

// TestOutcomesAndLoadReportsAreParsed checks that a request counts as not run only if the backend says so: if an error
// without X-Not-Run counted as a rejection, the request would be retried and could take effect twice. Values that can't be
// parsed are missing, not zero.
func TestOutcomesAndLoadReportsAreParsed(t *testing.T) {
	n := newNode(t)
	for _, c := range []struct {
		text, body string
		probe      bool
		want       decision.Outcome
		util       float64 // -1: no report
	}{
		{"200 OK\r\nX-Load: inflight=7,queue=2,util=0.61", "", false, decision.OK, 0.61},
		{"200 OK", "util=0.5,queue=1\r\n", true, decision.OK, 0.5},
		{"200 OK\r\nX-Load: util=zero", "", false, decision.OK, math.NaN()},
		{"503 S\r\nX-Not-Run: 1\r\nX-Load: cpu_share=0.9", "", false, decision.Rejected, 0.9},
		{"504 S\r\nX-Not-Run: 1", "", false, decision.Rejected, -1},
		{"503 S", "", false, decision.BackendError, -1}, {"500 S\r\nX-Not-Run: 1", "", false, decision.BackendError, -1}, {"404 N", "", false, decision.BackendError, -1},
	} {
		rd := http1.NewResponses(http1.Limits{})
		rd.Expect("GET")
		_, p, err := rd.Feed([]byte("HTTP/1.1 " + c.text + "\r\nContent-Length: 0\r\n\r\n"))
		if err != nil {
			t.Fatal(err)
		}
		r := n.ParseResponse(p.Head, []byte(c.body), c.probe)
		if r.Outcome != c.want || (r.Load == nil) != (c.util == -1) {
			t.Errorf("%q: %+v", c.text, r)
		} else if r.Load != nil && r.Load[0] != c.util && !math.IsNaN(c.util) || math.IsNaN(c.util) && !math.IsNaN(r.Load[0]) {
			t.Errorf("%q: load %v", c.text, r.Load)
		}
	}
	if s := string(n.AppendRetryAfter(nil, 80500*time.Microsecond)); s != "0.081" {
		t.Errorf("Retry-After: %s", s)
	}
}

// TestCounterRepliesAreParsedHoweverTheyAreSplit checks that the result does not depend on how replies are split, and that a
// malformed reply is an error.
func TestCounterRepliesAreParsedHoweverTheyAreSplit(t *testing.T) {
	n := newNode(t)
	if b := n.NewCounterCodec().AppendCall(nil, "a.1", -2.5, 4*time.Second); string(b) != "add a.1 -2.5 4000\r\n" {
		t.Errorf("%q", b)
	}
	text := "ok 12.5\r\nbusy\r\nerror\r\nok 3\r\n"
	for cut := range len(text) {
		c, sum, got := n.NewCounterCodec(), 0.0, 0
		for _, piece := range []string{text[:cut], text[cut:]} {
			for b := []byte(piece); len(b) > 0; {
				k, r, err := c.Feed(b)
				if err != nil {
					t.Fatal(cut, err)
				}
				if b = b[k:]; r.Complete {
					got++
				}
				if r.Added {
					sum += r.Total
				}
			}
		}
		if got != 4 || sum != 15.5 {
			t.Fatalf("cut at %d: %d replies, sum %g", cut, got, sum)
		}
	}
	for _, bad := range []string{"ok\r\n", "ok \r\n", "ok NaN\r\n", "ok 1e999\r\n", "\x00\xff\r\n", strings.Repeat("x", 300)} {
		if _, _, err := n.NewCounterCodec().Feed([]byte(bad)); err != protocol.ErrMalformedReply {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// TestMalformedEndpointsAreSkipped checks that valid entries of a list are accepted and that the error for a malformed entry
// gives its position. An instance that rejected the whole list would keep using backends that have left.
func TestMalformedEndpointsAreSkipped(t *testing.T) {
	l, err := ParseEndpointList([]byte(`{"seq":43,"whole":false,"hosts":[{"host":"s","health":"left"}]}`))
	if err != nil || l.Full || l.Version != 43 || l.Endpoints[0].State != config.EndpointState(decision.Removed) {
		t.Errorf("%+v %v", l, err)
	}
	for _, bad := range []string{`{"seq":-1}`, `x`, `{"hosts":[]}`, `{"seq":1,"hosts":{}}`, `[]`} {
		if _, err := ParseEndpointList([]byte(bad)); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
	const good = `{"host":"g","health":"active","dial":"127.0.0.1:1"}`
	for bad, want := range map[string]EndpointError{
		`{"host":"","health":"active","dial":"127.0.0.1:1"}`:             {"", errors.New("hosts[1].host: missing")},
		`{"host":"a","health":"active","dial":"a"}`:                      {"a", errors.New(`hosts[1].dial: "a": expected an IP address and a port`)},
		`{"host":"a","health":"up","dial":"127.0.0.1:1"}`:                {"a", errors.New(`hosts[1].health: "up": expected active, leaving or left`)},
		`{"host":"a","health":"active","dial":"127.0.0.1:1","share":""}`: {"a", errors.New("hosts[1].share: string: expected another type")},
		`{"host":7,"health":"active","dial":"127.0.0.1:1"}`:              {"", errors.New("hosts[1].host: number: expected another type")},
		`7`: {"", errors.New("hosts[1].host: json: cannot unmarshal number")},
	} {
		l, err := ParseEndpointList([]byte(`{"seq":1,"hosts":[` + good + `,` + bad + `,` + good + `]}`))
		if err != nil || len(l.Endpoints) != 2 || len(l.Malformed) != 1 || l.Malformed[0].Host != want.Host || !strings.HasPrefix(l.Malformed[0].Err.Error(), want.Err.Error()) {
			t.Errorf("%s: %+v %v", bad, l, err)
		}
	}
}
