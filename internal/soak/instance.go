package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"sandyard/internal/drill"
	"sandyard/internal/loopback"
)

// instanceProcess is the process of an instance.
type instanceProcess struct {
	cmd     *exec.Cmd
	logFile string
	exited  chan struct{} // closed when the process has ended
	done    chan struct{} // closed when the exit status is known, which may be seconds after exited
	err     error         // exit error; valid after done is closed
}

// startInstance starts the instance and waits until it is ready.
func (r *run) startInstance() (*instanceProcess, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	r.instanceAddress = address
	if err := r.writeConfig(0); err != nil {
		return nil, err
	}
	exe, args := r.options.Command("sandyard")
	p := &instanceProcess{cmd: exec.Command(exe, append(args, "node")...), logFile: filepath.Join(r.dir, "instance.log"), exited: make(chan struct{}), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+r.configFile())
	log, err := os.Create(p.logFile)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stderr = log
	r.beginStaleStart()
	started := time.Now()
	if err := p.spawn(); err != nil {
		return nil, err
	}
	r.publishDeparted()
	if err := r.waitForReady(p, started); err != nil {
		p.kill()
		return nil, err
	}
	r.record.readyTime = time.Since(started)
	return p, nil
}

// spawn starts the process, which inherits the write end of a pipe. End of file on the pipe signals that the process has ended.
// cmd.Wait returns only after the kernel has also removed the entries of the process under /proc, which takes long while they
// are read.
func (p *instanceProcess) spawn() error {
	pipe, writeEnd, err := os.Pipe()
	if err != nil {
		return err
	}
	defer writeEnd.Close()
	p.cmd.ExtraFiles = []*os.File{writeEnd}
	if err := drill.Spawn(p.cmd); err != nil {
		pipe.Close()
		return err
	}
	go func() { // ends with the process
		defer pipe.Close()
		io.Copy(io.Discard, pipe)
		close(p.exited)
	}()
	go func() { // ends when the exit status is known
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

// waitForReady polls the instance until it is ready. It returns an error if the instance ends, or is not ready after
// twice the allowed time.
func (r *run) waitForReady(p *instanceProcess, started time.Time) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyBound}
	for time.Since(started) < 2*readyBound {
		select {
		case <-p.exited:
			<-p.done
			return fmt.Errorf("the instance ended before it was ready: %w; its last record: %s", p.err, p.lastRecord())
		default:
		}
		response, err := client.Get("http://" + r.instanceAddress + "/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				return nil
			}
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("the instance is not ready after %v", 2*readyBound)
}

func (p *instanceProcess) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// lastRecord returns the last line of the log. Errors contain it because the log may be removed at the end of the run.
func (p *instanceProcess) lastRecord() string {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	records := strings.Split(strings.TrimSpace(string(text)), "\n")
	return records[len(records)-1]
}

// crash returns the first line of a panic or of another fatal error in the log; "" if there is none.
func (p *instanceProcess) crash() string {
	text, _ := os.ReadFile(p.logFile)
	for text := range strings.SplitSeq(string(text), "\n") {
		if strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
			return strings.TrimSpace(text)
		}
	}
	return ""
}

func (r *run) configFile() string { return filepath.Join(r.dir, "config.json") }

// object is a JSON object of the platform's configuration.
type object = map[string]any

// writeConfig replaces the configuration file. addressIndex selects the addresses of discovery and counter: 1 after a move.
func (r *run) writeConfig(addressIndex int) error {
	sockets := defaultSockets
	if r.plan.IdleConnections > 0 {
		sockets = socketsWithIdleConnections
	}
	var services []object
	for _, c := range classes {
		services = append(services, object{"name": c.name, "semantics": c.semantics, "key-ttl-ms": keyTTL.Milliseconds(), "aim-ms": c.objective.Milliseconds(),
			"deadline-ms": int64(c.deadlineShare * float64(r.plan.LongestDeadline.Milliseconds())), "value": 1})
	}
	r.discovery.mu.Lock()
	known := endpointMessage{Full: true, Hosts: r.discovery.current}
	text, err := json.Marshal(object{
		"name": "soak", "listen": r.instanceAddress, "discovery": r.discovery.address(addressIndex), "counter": r.counter.address(addressIndex),
		"seed": fmt.Sprintf("%x", r.plan.Seed), "limits": object{"cores": 1, "memory_mb": 64, "sockets": sockets}, "known": known,
		"settings": object{
			"me": 0, "peers-total": 1, "services": services,
			"limits":    object{"max-attempts": 3, "retry-after": true, "cancel": r.plan.MayCancel, "conn-idle-ms": idleConnTimeout.Milliseconds(), "connect-timeout-ms": 200},
			"rules":     object{"drain-grace-ms": drainGrace.Milliseconds()},
			"specifics": object{"shared-counter": true, "count-limit-ms": 50, "units-top": 6},
			"plans":     []object{{"name": "team", "refill": 10000, "store-size": 10000}},
		},
	})
	r.discovery.mu.Unlock()
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.configFile()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.configFile()+".new", r.configFile())
}
