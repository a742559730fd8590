package drill_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sandyard/fault"
	"sandyard/internal/cli"
	"sandyard/internal/drill"
)

// TestMain runs a program of the drill if the test binary is started with --as=.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && strings.HasPrefix(os.Args[1], "--as=") {
		if strings.HasPrefix(os.Args[1], "--as=broken-") {
			brokenGateway(strings.TrimPrefix(os.Args[1], "--as=broken-"), os.Args[2:])
			return
		}
		os.Exit(cli.Drill(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// slack is large so that a machine that is busy with other tests does not cause violations.
const slack = 700 * time.Millisecond

func run(t *testing.T, broken string, seconds float64, events ...fault.Event) drill.Report {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	opt := drill.Options{Seed: 5, Seconds: seconds, Rate: 150, Instances: 2, Backends: 4, Slack: slack, Command: func(p string) (string, []string) {
		if p == "sandyard" && broken != "" {
			return exe, []string{"--as=broken-" + broken}
		}
		return exe, []string{"--as=" + p}
	}}
	if len(events) > 0 {
		opt.Events = events
	}
	r, err := drill.Run(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const sec = time.Second

// A few faults on real processes must break no rule, and every rule must be exercised.
func TestShortDrillBreaksNoRule(t *testing.T) {
	r := run(t, "", 8, fault.Event{At: sec, Duration: 2 * sec, Verb: fault.Surge, Target: "school-0", Value: 12},
		fault.Event{At: sec, Duration: sec, Verb: fault.Replace, Target: "box-0"},
		fault.Event{At: 3 * sec, Duration: sec, Verb: fault.DropResponse, Target: "box-1"},
		fault.Event{At: 4 * sec, Duration: sec, Verb: fault.Kill, Target: "door-1"},
		fault.Event{At: 5 * sec, Duration: sec, Verb: fault.NoReply, Target: "keeper"})
	if r.Failed() {
		b, _ := json.MarshalIndent(r, "", " ")
		t.Errorf("%s", b)
	}
}

// A drill without violations is evidence only if it finds broken rules. For each rule there is a gateway that breaks it, and the
// drill must find the violation.
func TestDrillFindsBrokenGateways(t *testing.T) {
	dropResponses := fault.Event{At: 0, Verb: fault.DropResponse, Target: "*"}
	for _, c := range []struct {
		broken string
		rule   int
		events []fault.Event
	}{
		{"loses", 0, []fault.Event{{At: sec, Duration: sec, Verb: fault.Surge, Target: "*", Value: 1}}},
		{"repeats", 1, []fault.Event{dropResponses}},
		{"repeats", 0, []fault.Event{dropResponses}},
		{"stale", 2, []fault.Event{{At: 200 * time.Millisecond, Duration: sec, Verb: fault.Drain, Target: "box-0"}}},
		{"stale", 3, []fault.Event{{At: 200 * time.Millisecond, Duration: sec, Verb: fault.Replace, Target: "box-0"}, {At: sec, Verb: fault.Surge, Target: "*", Value: 3}}},
		{"stale", 4, []fault.Event{{At: 0, Verb: fault.Surge, Target: "school-0", Value: 30}}},
	} {
		t.Run(fmt.Sprintf("%s-%d", c.broken, c.rule), func(t *testing.T) {
			t.Parallel()
			r := run(t, c.broken, 4, c.events...)
			if r.Rules[c.rule].Count == 0 {
				t.Errorf("violation not found: %+v", r.Rules[c.rule])
			}
		})
	}
}

// brokenGateway runs a gateway that makes no decisions. It forwards every request, with the kind of fault given.
func brokenGateway(kind string, args []string) {
	var config, listen string
	for i := range args {
		switch args[i] {
		case "--config":
			config = args[i+1]
		case "--listen":
			listen = args[i+1]
		}
	}
	addrs := func() [][]string {
		text, _ := os.ReadFile(filepath.Join(filepath.Dir(config), "boxes.yaml"))
		return regexp.MustCompile(`name: ([^,]*), address: "([^"]*)"`).FindAllStringSubmatch(string(text), -1)
	}
	first := addrs()
	var n atomic.Int64
	t := &http.Transport{MaxIdleConnsPerHost: 100}
	proxy := &httputil.ReverseProxy{Transport: t, Rewrite: func(r *httputil.ProxyRequest) {
		list := first
		target := list[n.Add(1)%int64(len(list))][2]
		if kind == "stale" { // all requests to the first backend of the first list, or to a replacement
			target = first[0][2]
			if now := addrs(); strings.Contains(now[len(now)-1][1], "-r") {
				target = now[len(now)-1][2]
			}
		}
		r.SetURL(&url.URL{Scheme: "http", Host: target})
	}}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(os.Stderr, "{\"msg\":\"listening\",\"addr\":%q}\n", ln.Addr())
	http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch k := n.Add(1); {
		case kind == "loses" && k%50 == 0:
			<-r.Context().Done()
		case kind == "loses" && k%50 == 1:
			panic(http.ErrAbortHandler)
		case kind == "repeats":
			body := []byte("ok")
			for range 3 {
				repeat := r.Clone(context.Background())
				repeat.Body = struct {
					*bytes.Reader
					noopCloser
				}{bytes.NewReader(body), noopCloser{}}
				proxy.ServeHTTP(&discardResponse{h: http.Header{}}, repeat)
			}
			w.WriteHeader(429)
			fmt.Fprint(w, `{"retry":"harmless"}`)
			go func() { // repeat once more after the response
				time.Sleep(2 * slack)
				repeat := r.Clone(context.Background())
				repeat.Body = struct {
					*bytes.Reader
					noopCloser
				}{bytes.NewReader(body), noopCloser{}}
				proxy.ServeHTTP(&discardResponse{h: http.Header{}}, repeat)
			}()
		default:
			proxy.ServeHTTP(w, r)
		}
	}))
}

type noopCloser struct{}

func (noopCloser) Close() error { return nil }

type discardResponse struct{ h http.Header }

func (d *discardResponse) Header() http.Header         { return d.h }
func (d *discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardResponse) WriteHeader(int)             {}
