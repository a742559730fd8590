package cli

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sandyard/internal/loopback"
)

// TestMain runs an instance with few descriptors, instead of the tests, if TEST_AS_NODE is set.
func TestMain(m *testing.M) {
	if os.Getenv("TEST_AS_NODE") != "" {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: nodeSockets, Max: nodeSockets}); err != nil {
			panic(err)
		}
		os.Exit(Gateway([]string{"node"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// nodeSockets is the limit of descriptors of an instance under test.
const nodeSockets = 64

const nodeText = `{"name":"n0","listen":"%s","discovery":"%s","counter":"%s","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":%d},
"known":{"seq":7,"whole":true,"hosts":[{"host":"a","dial":"%s","health":"active","share":1}]},
"settings":{"me":0,"peers-total":2,"limits":{"max-attempts":3,"retry-after":%v},"specifics":{"shared-counter":true,"count-limit-ms":500,"units-top":6},
"services":[{"name":"look","semantics":"retryable","aim-ms":2000,"deadline-ms":5000}],"plans":[{"name":"team","refill":1000,"store-size":1000}]}}`

const nodeRequest = "GET /api?client=0000000000000001 HTTP/1.1\r\nHost: o\r\nX-Request-Id: %016x\r\nX-Class: look\r\nX-Tier: team\r\n" +
	"X-Deadline-Ms: 4000\r\nX-Call-Terms: units=1,spread=2,first=0\r\n\r\n"

// startPeer starts a listener that calls handle for each connection, and closes the connection when handle returns. It returns
// the listener's address.
func startPeer(t *testing.T, handle func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() { // ends with the listener
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { // ends with the connection
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// nodeProcess is a process that runs an instance on the platform.
type nodeProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    *bufio.Scanner
	file   string
	listen string
	exited chan error
}

func startProcess(t *testing.T, text func(listen string) string) *nodeProcess {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	p := &nodeProcess{t: t, listen: address, file: filepath.Join(t.TempDir(), "config.json"), exited: make(chan error, 1)}
	p.configure(text(p.listen))
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = []string{"TEST_AS_NODE=1", "NODE_CONFIG=" + p.file}
	errs, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = w
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	errs.SetReadDeadline(time.Now().Add(time.Minute))
	p.log = bufio.NewScanner(errs)
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		errs.Close()
	})
	go func() { p.exited <- p.cmd.Wait() }()
	return p
}

func (p *nodeProcess) configure(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// waitForLog reads the log up to a line that contains all of the given texts.
func (p *nodeProcess) waitForLog(texts ...string) {
	p.t.Helper()
	last := ""
next:
	for p.log.Scan() {
		last = p.log.Text()
		for _, w := range texts {
			if !strings.Contains(p.log.Text(), w) {
				continue next
			}
		}
		return
	}
	p.t.Fatalf("not logged: %v (%v); the last line is %q", texts, p.log.Err(), last)
}

// maxTimeToReady is the time that the operators' platform allows a process until it is ready.
const maxTimeToReady = 10 * time.Second

// waitForReady requests /ready until the process reports that it is ready.
func (p *nodeProcess) waitForReady() {
	p.t.Helper()
	for deadline := time.Now().Add(maxTimeToReady); time.Now().Before(deadline); {
		status, c := p.request("GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
		c.Close()
		if status == 200 {
			return
		}
	}
	p.t.Fatalf("not ready within %v", maxTimeToReady)
}

// request sends a request on a new connection, and returns the response's status (0 if there is no response) and the connection,
// which stays open.
func (p *nodeProcess) request(request string) (int, net.Conn) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, c
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, c
}

func serveHTTP(c net.Conn, in *bufio.Reader) {
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}
}

// newSilentDiscovery returns a peer that confirms the list of a configuration on its first watch, and sends nothing after that.
func newSilentDiscovery() func(net.Conn, *bufio.Reader) {
	var watches atomic.Int32
	return func(c net.Conn, in *bufio.Reader) {
		if watches.Add(1) == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		}
		discardInput(c, in)
	}
}

func discardInput(_ net.Conn, in *bufio.Reader) { io.Copy(io.Discard, in) }

func serveCounter(c net.Conn, in *bufio.Reader) {
	for {
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		io.WriteString(c, "ok 1\r\n")
	}
}

// TestNodeWithFewDescriptors: idle clients use up all client connections of a process with few descriptors, while discovery sends
// nothing but its first answer. The process must still serve requests, read the configuration on SIGHUP, and connect to the new discovery and
// counter: descriptors are reserved for each of these.
func TestNodeWithFewDescriptors(t *testing.T) {
	backend, other := startPeer(t, serveHTTP), startPeer(t, serveHTTP)
	text := func(discovery, counter, backend string) func(string) string {
		return func(listen string) string {
			return fmt.Sprintf(nodeText, listen, discovery, counter, nodeSockets, backend, false)
		}
	}
	p := startProcess(t, text(startPeer(t, newSilentDiscovery()), startPeer(t, serveCounter), backend))
	p.waitForLog("msg=listening")
	p.waitForReady()            // with the endpoint list of its configuration
	for range 3 * nodeSockets { // more than the process may hold
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for id := range 10 {
		for try := 0; ; try++ { // at the connection limit a new connection may be rejected
			s, _ := p.request(fmt.Sprintf(nodeRequest, 100*id+try))
			if s == 200 {
				break
			}
			if s != 503 && s != 0 || try == 50 {
				t.Fatalf("request %d: %d", id, s)
			}
		}
	}
	newDiscovery := startPeer(t, func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		body := fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"b","dial":"%s","health":"active","share":1}]}`, other)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		discardInput(c, in)
	})
	counter := startPeer(t, serveCounter)
	p.configure(text(newDiscovery, counter, backend)(p.listen))
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("msg=reload", newDiscovery)
	p.waitForLog("list of boxes", "seq=9")
}

// TestNodeSignals sends signals in quick succession. A SIGHUP with a malformed file must change nothing. After two SIGHUPs at once
// the last file must be in force. Two SIGTERMs directly after a SIGHUP must end the process gracefully, with status 0. A
// malformed file at the start must give one line that names the field, and status 1.
func TestNodeSignals(t *testing.T) {
	discovery := startPeer(t, func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		discardInput(c, in)
	})
	counter, backend := startPeer(t, serveCounter), startPeer(t, serveHTTP)
	text := func(listen string) string {
		return fmt.Sprintf(nodeText, listen, discovery, counter, nodeSockets, backend, false)
	}
	p := startProcess(t, text)
	p.waitForLog("msg=listening")
	p.configure("{")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("the last configuration stays")
	p.configure(text(p.listen))
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("msg=reload")
	p.waitForReady() // before discovery's first message requests are rejected: "a new process" in docs/design/platform.md
	if s, _ := p.request(fmt.Sprintf(nodeRequest, 1)); s != 200 {
		t.Errorf("status %d after the reload, expected 200", s)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("msg=stopped")
	if err := <-p.exited; err != nil {
		t.Errorf("the process ended with %v, expected status 0", err)
	}

	bad := strings.Replace(text("127.0.0.1:1"), `"active"`, `"up"`, 1)
	file := filepath.Join(t.TempDir(), "bad.json")
	os.WriteFile(file, []byte(bad), 0o600)
	var out, errs bytes.Buffer
	if code := Gateway([]string{"node", "--config", file}, &out, &errs); code != 1 || strings.Count(errs.String(), "\n") != 1 || !strings.Contains(errs.String(), "known: hosts[0].health") {
		t.Errorf("%d %q", code, errs.String())
	}
}
