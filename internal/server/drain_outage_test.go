package server

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
)

// Times of the tests of an outage of discovery.
const (
	// testSilenceTimeout takes the place of watchSilenceTimeout, so that an outage outlasts many watches.
	testSilenceTimeout = 200 * time.Millisecond
	testHeartbeat      = testSilenceTimeout / 4
	testOutage         = 2500 * time.Millisecond
	// waitForWatchEnd is how long the end of an outage is put off until a watch ends.
	waitForWatchEnd = 1200 * time.Millisecond
	// afterOutage is how long requests are sent after the outage.
	afterOutage = testDrainGrace + time.Second
)

// halfMessage is the beginning of a message of discovery.
const halfMessage = `{"seq":7,"whole":false,`

// outageAgent is a discovery agent that fails and comes back. While it is up, each watch gets heartbeats, and the notice once there
// is one.
type outageAgent struct {
	t        *testing.T
	listener *net.TCPListener

	mu         sync.Mutex
	down       *outage // nil: it is up
	notice     string
	changed    chan struct{} // closed and replaced when down or notice changes
	open       map[net.Conn]struct{}
	watchEnded chan struct{} // receives a value when a connection ends
	goroutines sync.WaitGroup
}

// outage is a way in which discovery's agent is down.
type outage struct {
	name     string
	begin    func(agent *outageAgent)                // besides what serve does; may be nil
	end      func(agent *outageAgent)                // may be nil
	serve    func(agent *outageAgent, conn net.Conn) // of a new connection, before it waits for the end of the outage
	keepOpen bool                                    // watches that are open when it begins stay open
}

func outages() []*outage {
	return []*outage{
		{name: "accepts and writes nothing", keepOpen: true},
		{name: "closes open watches, then accepts and writes nothing"},
		{name: "closes at once", serve: func(_ *outageAgent, conn net.Conn) { conn.Close() }},
		{name: "resets", serve: func(_ *outageAgent, conn net.Conn) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}},
		{name: "answers the head and nothing more", serve: func(_ *outageAgent, conn net.Conn) { io.WriteString(conn, watchHead) }},
		{name: "writes half a message and nothing more", serve: func(_ *outageAgent, conn net.Conn) {
			io.WriteString(conn, watchHead)
			writeChunk(conn, halfMessage)
		}},
		{name: "refuses connections", begin: func(agent *outageAgent) { agent.listener.Close() }, end: (*outageAgent).listen},
		{name: "lets dials hang", begin: (*outageAgent).fillBacklog, end: (*outageAgent).emptyBacklog},
		{name: "lets dials hang and keeps silent watches open", begin: (*outageAgent).fillBacklog, end: (*outageAgent).emptyBacklog, keepOpen: true},
	}
}

func startOutageAgent(t *testing.T) *outageAgent {
	agent := &outageAgent{t: t, changed: make(chan struct{}), open: map[net.Conn]struct{}{}, watchEnded: make(chan struct{}, 1)}
	agent.listen()
	t.Cleanup(func() {
		agent.listener.Close()
		agent.closeOpen()
		agent.goroutines.Wait()
	})
	return agent
}

// listen listens, at the same address as before if there is one.
func (agent *outageAgent) listen() {
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}
	if agent.listener != nil {
		address = agent.listener.Addr().(*net.TCPAddr)
	}
	listener, err := net.ListenTCP("tcp", address)
	if err != nil {
		agent.t.Error(err)
		return
	}
	agent.listener = listener
	agent.accept()
}

// accept accepts connections until the listener is closed or its deadline passes.
func (agent *outageAgent) accept() {
	listener := agent.listener
	agent.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			agent.goroutines.Go(func() { agent.serve(conn) })
		}
	})
}

func (agent *outageAgent) setBacklog(connections int) {
	raw, err := agent.listener.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), connections) })
	}
	if err != nil {
		agent.t.Error(err)
	}
}

// fillBacklog stops accepting and fills the backlog, so that dials hang.
func (agent *outageAgent) fillBacklog() {
	agent.listener.SetDeadline(time.Now())
	agent.setBacklog(0)
	for {
		filler, err := net.DialTimeout("tcp", agent.listener.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return
		}
		agent.t.Cleanup(func() { filler.Close() })
	}
}

func (agent *outageAgent) emptyBacklog() {
	agent.setBacklog(128)
	agent.listener.SetDeadline(time.Time{})
	agent.accept()
}

// state returns the state of the agent and a channel that is closed when it changes.
func (agent *outageAgent) state() (down *outage, notice string, changed <-chan struct{}) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.down, agent.notice, agent.changed
}

// serve serves a watch until its connection ends.
func (agent *outageAgent) serve(conn net.Conn) {
	agent.mu.Lock()
	agent.open[conn] = struct{}{}
	agent.mu.Unlock()
	defer agent.forget(conn)
	in := bufio.NewReader(conn)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	ended := make(chan struct{})
	agent.goroutines.Go(func() { // ends with the connection
		io.Copy(io.Discard, in)
		close(ended)
	})
	beginning, rest := watchHead, ""
	down, _, _ := agent.state()
	if down != nil && down.serve != nil {
		down.serve(agent, conn)
		beginning = ""
		if strings.Contains(down.name, "half a message") {
			rest = `"hosts":[]}`
		}
	}
	notified := false
	for {
		down, notice, changed := agent.state()
		if down == nil {
			io.WriteString(conn, beginning)
			writeChunk(conn, rest+"\n")
			beginning, rest = "", ""
			if notice != "" && !notified {
				notified = true
				writeChunk(conn, notice)
			}
		}
		select {
		case <-changed:
		case <-ended:
			return
		case <-time.After(testHeartbeat):
		}
	}
}

func (agent *outageAgent) forget(conn net.Conn) {
	conn.Close()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	delete(agent.open, conn)
	select {
	case agent.watchEnded <- struct{}{}:
	default:
	}
}

func (agent *outageAgent) closeOpen() {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for conn := range agent.open {
		conn.Close()
	}
}

func (agent *outageAgent) set(down *outage, notice string) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.down, agent.notice = down, notice
	close(agent.changed)
	agent.changed = make(chan struct{})
}

// fail begins an outage.
func (agent *outageAgent) fail(down *outage) {
	agent.set(down, "")
	if down.begin != nil {
		down.begin(agent)
	}
	if !down.keepOpen {
		agent.closeOpen()
	}
}

// comeBack ends the outage, with a notice that open and new watches get at once. It waits for the end of a watch, if one ends soon:
// then an instance may have no watch open.
func (agent *outageAgent) comeBack(notice string) (at time.Time) {
	select {
	case <-agent.watchEnded:
	default:
	}
	select {
	case <-agent.watchEnded:
	case <-time.After(waitForWatchEnd):
	}
	down, _, _ := agent.state()
	at = time.Now()
	agent.set(nil, notice)
	if down.end != nil {
		down.end(agent)
	}
	return at
}

// sendUntil sends requests one after another until a time. It returns how many were served, and how many sent.
func (rig *drainRig) sendUntil(until time.Time, firstID int) (served, sent int) {
	for ; time.Now().Before(until); sent++ {
		if rig.status(nodeRequest(firstID+sent)) == 200 {
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return served, sent
}

// TestChangeAtReturnOfDiscoveryKeepsDrainGrace guards against attempts at a draining backend after an outage of discovery: the
// instance had no watch open when discovery came back and told of the drain, and opened the next one only after a wait of up to a
// second. During the outage it must serve.
func TestChangeAtReturnOfDiscoveryKeepsDrainGrace(t *testing.T) {
	for _, down := range outages() {
		for _, moved := range []bool{false, true} {
			name := fmt.Sprintf("%s, moved=%v", down.name, moved)
			t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
				t.Parallel()
				runOutage(t, down, moved)
			})
		}
	}
}

// runOutage runs an instance through an outage. With moved, its discovery is moved during the outage to an agent that is down, too.
func runOutage(t *testing.T, down *outage, moved bool) {
	agent := startOutageAgent(t)
	rig := newDrainRig(t)
	rig.beforeServe = func() { rig.server.discovery.silenceTimeout = testSilenceTimeout }
	rig.startAt(agent.listener.Addr().String())
	if !rig.isReadyWithin(orderTimeout) {
		t.Fatal("not ready")
	}
	agent.fail(down)
	if moved {
		agent = startOutageAgent(t)
		agent.fail(down)
		rig.server.SetAddresses(agent.listener.Addr().String(), "")
	}
	returned := make(chan time.Time, 1)
	ends := time.AfterFunc(testOutage, func() { returned <- agent.comeBack(drainsAForB(rig.draining.addr, rig.other)) })
	defer ends.Stop()
	served, sent := rig.sendUntil(time.Now().Add(testOutage), 1)
	if served < sent/2 {
		t.Errorf("%d of %d requests are served during the outage", served, sent)
	}
	for id := sent + 1; rig.noticedAt.IsZero(); id++ {
		select {
		case rig.noticedAt = <-returned:
		case <-time.After(5 * time.Millisecond):
			rig.status(nodeRequest(id))
		}
	}
	rig.sendUntil(rig.noticedAt.Add(afterOutage), 100_000)
	rig.requireDrainKept()
	rig.requireServedBy(999_999, "b")
}
