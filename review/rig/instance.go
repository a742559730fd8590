package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// readyTimeout is how long an instance may take to become ready, as on the platform.
const readyTimeout = 30 * time.Second

var errNotReady = errors.New("an instance did not become ready")

// limits are the resource limits in an instance's configuration, within those of the platform's scored days.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// configuration is an instance's configuration file.
type configuration struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Counter   string         `json:"counter"`
	Seed      string         `json:"seed"`
	Limits    limits         `json:"limits"`
	Known     listMessage    `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// instance is a proxy instance, a process that the deploy file's command runs.
type instance struct {
	config  configuration
	folder  string
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startInstance writes the configuration, starts the process and waits until it is ready.
func startInstance(opt *options, config configuration, folder string) (*instance, error) {
	inst := &instance{config: config, folder: filepath.Join(folder, config.Name)}
	if err := os.MkdirAll(inst.folder, 0o700); err != nil {
		return nil, err
	}
	if err := inst.writeConfig(); err != nil {
		return nil, err
	}
	if err := inst.start(opt); err != nil {
		return nil, err
	}
	return inst, inst.waitUntilReady()
}

func (inst *instance) configPath() string { return filepath.Join(inst.folder, "config.json") }

// writeConfig replaces the configuration file.
func (inst *instance) writeConfig() error {
	text, err := json.MarshalIndent(inst.config, "", " ")
	if err != nil {
		return err
	}
	next := inst.configPath() + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, inst.configPath())
}

// start starts the process with nothing but the platform's environment.
func (inst *instance) start(opt *options) error {
	log, err := os.OpenFile(filepath.Join(inst.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", opt.runCommand)
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"NODE_NAME=" + inst.config.Name,
		"NODE_LISTEN=" + inst.config.Listen,
		"NODE_DISCOVERY=" + inst.config.Discovery,
		"NODE_CONFIG=" + inst.configPath(),
		"TMPDIR=" + inst.folder,
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // run keeps its thread: see playing
	if err := command.Start(); err != nil {
		return err
	}
	opt.record.add("instance %s started, process %d, at %s", inst.config.Name, command.Process.Pid, inst.config.Listen)
	inst.process, inst.ended = command, make(chan struct{})
	ended := inst.ended
	go func() { // ends with the process
		command.Wait()
		opt.record.add("instance %s ended: %v", inst.config.Name, command.ProcessState)
		close(ended)
	}()
	return nil
}

// waitUntilReady polls GET /ready.
func (inst *instance) waitUntilReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if inst.ready() {
			return nil
		}
	}
	text, _ := os.ReadFile(filepath.Join(inst.folder, "log"))
	return fmt.Errorf("%w: %s: %s", errNotReady, inst.config.Name, text)
}

func (inst *instance) ready() bool {
	conn, err := net.DialTimeout("tcp", inst.config.Listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
	var status [12]byte
	_, err = io.ReadFull(conn, status[:])
	return err == nil && string(status[9:]) == "200"
}

// kill ends the process if it still runs.
func (inst *instance) kill() {
	select {
	case <-inst.ended:
	default:
		inst.process.Process.Kill()
		<-inst.ended
	}
}
