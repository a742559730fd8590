package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// add adds a line: the milliseconds since the start, a kind and a text.
func (r *record) add(kind, format string, args ...any) {
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.1f %-10s %s\n", float64(at.Microseconds())/1000, kind, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// world holds everything that a case has started.
type world struct {
	disrupted  bool
	record     *record
	dir        string // temporary; removed at the end
	runCommand string // of the deploy file
	instances  []*instance
	backends   []*backend
	counter    net.Listener
}

func newWorld(recordFile string, disrupted bool) (*world, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	if match == nil {
		return nil, fmt.Errorf("the deploy file has no run command")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{disrupted: disrupted, dir: dir, runCommand: string(match[1]), record: &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}}
	w.counter, err = startCounter()
	return w, err
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, b := range w.backends {
		b.server.Close()
	}
	w.counter.Close()
	w.record.close()
	os.RemoveAll(w.dir)
}

// unexpectedEnd returns an error if an instance has ended by itself.
func (w *world) unexpectedEnd() error {
	for _, i := range w.instances {
		select {
		case <-i.exited:
			return i.endError()
		default:
		}
	}
	return nil
}

// instance is a process of the gateway, with its discovery agent.
type instance struct {
	world  *world
	number int
	name   string
	listen string
	agent  *agent
	config object
	cmd    *exec.Cmd
	exited chan struct{}
}

// addInstance prepares an instance with its discovery agent, which knows the backends of the world.
func (w *world) addInstance(settings, limits object, agentEntries []entry) (*instance, error) {
	number := len(w.instances)
	agent, err := startAgent(w.record, number, agentEntries)
	if err != nil {
		return nil, err
	}
	listen, err := w.freeAddress()
	if err != nil {
		return nil, err
	}
	own := object{}
	for key, value := range settings {
		own[key] = value
	}
	own["me"] = number
	i := &instance{world: w, number: number, name: fmt.Sprintf("n%d", number), listen: listen, agent: agent, exited: make(chan struct{})}
	i.config = object{"name": i.name, "listen": listen, "discovery": agent.address(), "counter": w.counter.Addr().String(), "seed": fmt.Sprintf("%x", 77+number),
		"limits": limits, "known": agent.wholeList(), "settings": own}
	w.instances = append(w.instances, i)
	return i, nil
}

// start starts the process as the platform does and waits until it is ready.
func (i *instance) start() error {
	dir := filepath.Join(i.world.dir, i.name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	text, err := json.Marshal(i.config)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", i.world.runCommand)
	cmd.Env = []string{"NODE_NAME=" + i.name, "NODE_CONFIG=" + file, "TMPDIR=" + dir, "NODE_LISTEN=" + i.listen, "NODE_DISCOVERY=" + i.agent.address()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a stand-in that is killed leaves no process behind
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.cmd, i.exited = cmd, exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	i.world.record.add("start", "%s", i.name)
	return nil
}

// endError returns an error with the last line of the log of an instance that has ended by itself.
func (i *instance) endError() error {
	log, _ := os.ReadFile(filepath.Join(i.world.dir, i.name, "log"))
	records := strings.Split(strings.TrimSpace(string(log)), "\n")
	return fmt.Errorf("instance %s ended by itself: %s", i.name, records[len(records)-1])
}

// waitUntilReady polls the instance until it is ready.
func (i *instance) waitUntilReady(atMost time.Duration) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for until := time.Now().Add(atMost); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-i.exited:
			return i.endError()
		default:
		}
		response, err := client.Get("http://" + i.listen + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			i.world.record.add("ready", "%s", i.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, atMost)
}

// kill ends the process with SIGKILL and waits for its end.
func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	i.cmd.Process.Kill()
	<-i.exited
}

// The ports on which instances listen: below those that systems give to outgoing connections.
const (
	firstPort  = 20000
	portCount  = 10000
	portTrials = 100
)

// freeAddress returns a loopback address that no instance of the world has, with a port that was free a moment ago.
func (w *world) freeAddress() (string, error) {
	for range portTrials {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if slices.ContainsFunc(w.instances, func(i *instance) bool { return i.listen == address }) {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}
