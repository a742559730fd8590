package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sandyard/emulator"
	"sandyard/proxy"
)

// TestAdminSocket checks that two tools can inspect a serving instance at the same time, that malformed requests and the socket
// file of a killed process do no harm, and that an inspection uses none of a customer's quota.
func TestAdminSocket(t *testing.T) {
	b := startBackend(t, emulator.BackendConfig{}, nil)
	path := filepath.Join(t.TempDir(), "a.sock")
	old, err := net.Listen("unix", path) // of a process that has ended
	if err != nil {
		t.Fatal(err)
	}
	old.(*net.UnixListener).SetUnlinkOnClose(false)
	old.Close()
	r := startGateway(t, fmt.Sprintf("admin: {socket: %q}\n", path), "", b.Addr())
	r.waitForLog("admin socket")
	send := func(text string) string {
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
	get := func(p string) string { return send("GET " + p + " HTTP/1.1\r\nHost: a\r\n\r\n") }
	for range 2 {
		r.status(request("GET", "/look", "kb", ""))
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
		want, _ := json.Marshal(l.Run(r.server.cfg))
		if got := get("/v1/match?" + l.Query()); !strings.HasSuffix(got, "\r\n\r\n"+string(want)+"\n") {
			t.Errorf("%+v: %s, want %s", l, got, want)
		}
	}
	if s := r.status(request("GET", "/look", "kb", "")); s != 200 {
		t.Errorf("the inspections used the third unit of the customer's quota: %d", s)
	}
	for text, want := range map[string]string{"GET /v1/studio?name=nobody HTTP/1.1\r\nHost: a\r\n\r\n": "404", "POST /v1/identity HTTP/1.1\r\nHost: a\r\n\r\n": "405",
		"GET /v2/studio HTTP/1.1\r\nHost: a\r\n\r\n": "404", "nonsense\r\n\r\n": "400", "GET /v1/would?name=b&units=x HTTP/1.1\r\nHost: a\r\n\r\n": "400",
		"GET /v1/studio?name=%zz HTTP/1.1\r\nHost: a\r\n\r\n": "400"} {
		if got := send(text); !strings.HasPrefix(got, "HTTP/1.1 "+want) {
			t.Errorf("%q: %s", text, got)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v %v", info.Mode(), err)
	}
}
