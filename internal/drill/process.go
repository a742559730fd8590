package drill

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// process is a child process: an instance or an emulator.
type process struct {
	name    string
	cmd     *exec.Cmd
	ready   chan readyLine
	done    chan struct{} // closed when the process has ended
	err     error         // exit error; valid after done is closed
	logFile *os.File
}

// readyLine is the line with "msg":"listening" that a child process logs when it is ready.
type readyLine struct {
	Msg     string `json:"msg"`
	Addr    string `json:"addr"`
	Control string `json:"control"`
}

const startTimeout = 15 * time.Second // a child that is not ready in this time is killed

// startProcess starts a program of this drill and waits until it is ready. The child reports that on its standard output if stdout is
// set, and otherwise on its standard error. lines is called with each line of that output, by one goroutine.
func (d *Drill) startProcess(name, program string, args []string, stdout bool, lines func([]byte)) (*process, readyLine, error) {
	exe, leadingArgs := d.command(program)
	p := &process{name: name, cmd: exec.Command(exe, append(leadingArgs, args...)...), ready: make(chan readyLine, 1), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, readyLine{}, err
	}
	p.logFile = log
	var pipe io.ReadCloser
	if stdout {
		p.cmd.Stderr = log
		pipe, err = p.cmd.StdoutPipe()
	} else {
		pipe, err = p.cmd.StderrPipe()
	}
	if err == nil {
		err = Spawn(p.cmd)
	}
	if err != nil {
		log.Close()
		return nil, readyLine{}, fmt.Errorf("%s: %w", name, err)
	}
	go p.read(pipe, lines)
	select {
	case r := <-p.ready:
		return p, r, nil
	case <-p.done:
		return nil, readyLine{}, fmt.Errorf("%s ended before it was ready: %v; see %s", name, p.err, log.Name())
	case <-time.After(startTimeout):
		p.kill()
		return nil, readyLine{}, fmt.Errorf("%s was not ready within %v", name, startTimeout)
	}
}

// spawnRequests receives functions that start processes. They run on one thread that never ends: the kernel sends a child its
// Pdeathsig when the thread that started the child ends, which may be earlier than the end of this process.
var spawnRequests = func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
}()

// Spawn starts a command that is killed when this process ends.
func Spawn(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := make(chan error, 1)
	spawnRequests <- func() { err <- cmd.Start() }
	return <-err
}

// read passes the lines of the child to the log file and to lines until the child has ended.
func (p *process) read(pipe io.Reader, lines func([]byte)) {
	in := bufio.NewScanner(pipe)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var r readyLine
		if json.Unmarshal(in.Bytes(), &r) == nil && r.Msg == "listening" {
			select {
			case p.ready <- r:
			default:
			}
		}
		if lines != nil {
			lines(in.Bytes())
		}
		p.logFile.Write(append(in.Bytes(), '\n'))
	}
	io.Copy(io.Discard, pipe)
	p.err = p.cmd.Wait()
	p.logFile.Close()
	close(p.done)
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// stop sends SIGTERM to the child and returns an error if it fails or does not exit in time.
func (p *process) stop(within time.Duration) error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.name, p.err)
		}
		return nil
	case <-time.After(within):
		p.kill()
		return fmt.Errorf("%s did not end within %v of SIGTERM", p.name, within)
	}
}
