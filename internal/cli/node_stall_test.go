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
	// stallSocketSlack is what the platform adds to every time limit on sockets.
	stallSocketSlack = 50 * time.Millisecond
	// stalledClients is how many clients send a request to a process that stands still.
	stalledClients = 8
	// stallRounds is how often each stall is tried: which of its goroutines a process runs first when it runs again is by chance.
	stallRounds = 8
)

// stallNotice is the notice that the first backend drains and the second is up.
const stallNotice = `{"seq":8,"whole":false,"hosts":[{"host":"a","dial":"%s","health":"leaving","share":1},{"host":"b","dial":"%s","health":"active","share":1}]}` + "\n"

// requestTimes keeps when requests came to a backend.
type requestTimes struct {
	mu sync.Mutex
	at []time.Time
}

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

// after returns how many requests came later than a moment, and by how much the last did.
func (f *requestTimes) after(moment time.Time) (count int, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.at {
		if at.After(moment) {
			count++
			late = max(late, at.Sub(moment))
		}
	}
	return count, late
}

// TestStalledNodeSendsNothingToDrainingBackend: a process that had not run for more than a drain grace, in which a notice came,
// forwarded requests to the draining backend once it ran again: the watch's deadline had passed meanwhile, and it was ended
// with the notice unread.
func TestStalledNodeSendsNothingToDrainingBackend(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration // of the heartbeat: when the process stops running
		stall time.Duration
		beats bool // a heartbeat comes at the stall's end
	}{
		{"the watch's deadline does not pass", 200 * time.Millisecond, 1500 * time.Millisecond, false},
		{"the watch's deadline passes", 1500 * time.Millisecond, 2000 * time.Millisecond, false},
		{"a heartbeat comes behind the notice", 500 * time.Millisecond, 1500 * time.Millisecond, true},
	} {
		for round := range stallRounds {
			t.Run(fmt.Sprintf("%s/%d", strings.ReplaceAll(c.name, " ", "_"), round), func(t *testing.T) {
				t.Parallel()
				testStall(t, c.after, c.stall, c.beats)
			})
		}
	}
}

// stallDiscovery is a discovery that notifies once: on the watch that stands, and on those that are opened later.
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

// stop stops the process, and returns once none of its threads runs any more: on a busy machine they do so for some milliseconds.
func (p *nodeProcess) stop() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	for err := error(unix.EINTR); err != nil; {
		if err = unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED, nil); err != nil && err != unix.EINTR {
			p.t.Fatal(err)
		}
	}
}

// testStall stops a process some time after a heartbeat, and lets it run again; a notice and requests come meanwhile.
func testStall(t *testing.T, after, stall time.Duration, beats bool) {
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
	if beats {
		writeChunk(watch, "\n")
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	for _, c := range clients {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			io.Copy(io.Discard, resp.Body)
		}
	}
	allowed := stallDrainGrace + stallSocketSlack
	if count, late := draining.after(noticedAt.Add(allowed)); count > 0 {
		t.Errorf("%d of %d requests came to the draining backend after its grace, the last %v after the notice; allowed are %v",
			count, stalledClients, late+allowed, allowed)
	}
}
