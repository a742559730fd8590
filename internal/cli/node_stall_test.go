package cli

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	stallDrainGrace = 400 * time.Millisecond
	// stallSocketSlack is the tolerance that the platform adds to every time limit on sockets.
	stallSocketSlack = 50 * time.Millisecond
	// stalledClients is the number of clients that send a request while the process is stopped.
	stalledClients = 8
	// stallRounds is the number of runs of each stall: the order in which a resumed process runs its goroutines is random.
	stallRounds = 8
)

// stallNotice is a notice of discovery that backend a drains and backend b is up.
const stallNotice = `{"seq":8,"whole":false,"hosts":[{"host":"a","dial":"%s","health":"leaving","share":1},{"host":"b","dial":"%s","health":"active","share":1}]}` + "\n"

// requestTimes records when the first byte of each request arrived at a backend.
type requestTimes struct {
	mu sync.Mutex
	at []time.Time
}

// serve responds to the requests of a connection and records their times.
func (f *requestTimes) serve(c net.Conn, in *bufio.Reader) {
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		f.mu.Lock()
		f.at = append(f.at, time.Now())
		f.mu.Unlock()
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}
}

// after returns the number of requests that arrived after a moment, and the time from the moment to the last of them.
func (f *requestTimes) after(moment time.Time) (count int, last time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.at {
		if at.After(moment) {
			count++
			last = max(last, at.Sub(moment))
		}
	}
	return count, last
}

// TestStalledNodeSendsNothingToDrainingBackend: a process was stopped for longer than the drain grace, and a notice arrived
// meanwhile. When it resumed it forwarded requests to the draining backend: the deadline of the watch had passed during the
// stop, and the process ended the watch without reading the notice.
func TestStalledNodeSendsNothingToDrainingBackend(t *testing.T) {
	for _, c := range []struct {
		name      string
		after     time.Duration // time from the heartbeat to the stop of the process
		stall     time.Duration
		heartbeat bool // a heartbeat arrives at the end of the stall
	}{
		{"the watch's deadline does not pass", 200 * time.Millisecond, 1500 * time.Millisecond, false},
		{"the watch's deadline passes", 1500 * time.Millisecond, 2000 * time.Millisecond, false},
		{"a heartbeat comes behind the notice", 500 * time.Millisecond, 1500 * time.Millisecond, true},
	} {
		for round := range stallRounds {
			t.Run(fmt.Sprintf("%s/%d", strings.ReplaceAll(c.name, " ", "_"), round), func(t *testing.T) {
				t.Parallel()
				testStall(t, c.after, c.stall, c.heartbeat)
			})
		}
	}
}

// stallDiscovery is a discovery that sends its notice on each watch that is opened after notified is closed. The test writes
// the notice to the watch that is already open.
type stallDiscovery struct {
	addr     string
	notice   string
	notified chan struct{}
	watches  chan net.Conn
}

func startStallDiscovery(t *testing.T, notice string) *stallDiscovery {
	d := &stallDiscovery{notice: notice, notified: make(chan struct{}), watches: make(chan net.Conn, 16)}
	d.addr = startPeer(t, func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		select {
		case <-d.notified:
			writeChunk(c, d.notice)
		default:
			writeChunk(c, "\n")
		}
		d.watches <- c
		discardInput(c, in)
	})
	return d
}

func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// stop stops the process with SIGSTOP, and returns when all of its threads have stopped: on a busy machine they continue for some
// milliseconds.
func (p *nodeProcess) stop() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	for err := error(unix.EINTR); err != nil; {
		if err = unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED, nil); err != nil && err != unix.EINTR {
			p.t.Fatal(err)
		}
	}
}

// testStall stops a process some time after a heartbeat and resumes it. A notice and requests arrive while it is stopped.
func testStall(t *testing.T, after, stall time.Duration, heartbeat bool) {
	var draining requestTimes
	a, b := startPeer(t, draining.serve), startPeer(t, serveHTTP)
	discovery := startStallDiscovery(t, fmt.Sprintf(stallNotice, a, b))
	p := startProcess(t, func(listen string) string {
		text := fmt.Sprintf(nodeText, listen, discovery.addr, startPeer(t, serveCounter), nodeSockets, a, false)
		return strings.Replace(text, `"settings":{`, fmt.Sprintf(`"settings":{"rules":{"drain-grace-ms":%d},`, stallDrainGrace.Milliseconds()), 1)
	})
	p.waitForLog("msg=listening")
	p.waitForReady()
	watch := <-discovery.watches
	var clients []net.Conn
	for id := range stalledClients {
		status, c := p.request(fmt.Sprintf(nodeRequest, id+1))
		if status != 200 {
			t.Fatalf("request %d: %d", id, status)
		}
		clients = append(clients, c)
	}
	writeChunk(watch, "\n")
	time.Sleep(after)
	p.stop()
	close(discovery.notified)
	writeChunk(watch, discovery.notice)
	noticedAt := time.Now()
	for id, c := range clients {
		fmt.Fprintf(c, nodeRequest, 100+id)
	}
	time.Sleep(stall)
	if heartbeat {
		writeChunk(watch, "\n")
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	for _, c := range clients {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			io.Copy(io.Discard, resp.Body)
		}
	}
	allowed := stallDrainGrace + stallSocketSlack
	if count, last := draining.after(noticedAt.Add(allowed)); count > 0 {
		t.Errorf("%d of %d requests arrived at the draining backend after its drain grace, the last %v after the notice; the limit is %v",
			count, stalledClients, last+allowed, allowed)
	}
}
