package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"sandyard/emulator"
	"sandyard/internal/server"
)

// Emulator runs the sandyard-emulator program.
func Emulator(args []string, out, errs io.Writer) int {
	var g struct {
		Backend emulateBackendCommand `cmd:"" name:"box" help:"Run a stand-in box."`
		Counter emulateCounterCommand `cmd:"" name:"keeper" help:"Run a stand-in tally keeper."`
		Set     setFaultCommand       `cmd:"" help:"Set a fault of a running stand-in: slow 3, hang, reset 20, lose, fault 0.5, refuse, lie 0, stall, delay 200; of the keeper: silent, empty, refuse, stall, delay."`
		Clear   clearFaultCommand     `cmd:"" help:"End a fault of a running stand-in."`
	}
	return program("sandyard-emulator", "Peers to try a front door against: boxes and a tally keeper.", &g, args, out, errs,
		&Console{out, errs})
}

// emulateBackendCommand is the command "sandyard-emulator box".
type emulateBackendCommand struct {
	Name           string        `default:"box" help:"Its name in records and answers."`
	Listen         string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Control        string        `default:"127.0.0.1:0" help:"Address on which faults are set."`
	Cores          int           `default:"2" help:"Requests worked on at once."`
	Queue          int           `default:"24" help:"Requests that wait beside those."`
	Work           time.Duration `default:"20ms" help:"Mean work of a request."`
	Spread         float64       `default:"1" help:"Coefficient of variation of the work."`
	SlowStartShare float64       `name:"cold-share" default:"1" help:"Speed at the start, as a share of a warm box's."`
	SlowStartTime  time.Duration `name:"cold-time" help:"Time until it is warm."`
	OverloadFactor float64       `help:"Work of this multiple of what it can do, within overload-time, makes a cold box fall over."`
	OverloadTime   time.Duration `help:"See overload-factor."`
	KeyTTL         time.Duration `name:"key-ttl" default:"10s" help:"Repeats of a key are discarded for so long."`
	Body           int           `default:"64" help:"Bytes of an answer's body."`
	Seed           uint64        `help:"Seed of its draws."`
	Record         bool          `help:"Print what happens as lines of JSON."`
}

// BackendEvent is an event of an emulated backend, printed as one line of JSON.
type BackendEvent struct {
	At      int64              `json:"at"` // Unix time in nanoseconds
	Backend string             `json:"box"`
	Kind    emulator.EventKind `json:"kind"`
	ID      string             `json:"id,omitempty"`
	Key     string             `json:"key,omitempty"`
}

// Ready is the first line that an emulator prints, as JSON.
type Ready struct {
	Msg     string `json:"msg"` // "listening"
	Addr    string `json:"addr"`
	Control string `json:"control"`
}

// lineWriter writes lines of JSON in a separate goroutine, so that a slow reader does not block the backend.
type lineWriter struct {
	mu    sync.Mutex
	lines []byte
	wake  chan struct{}
	done  chan struct{}
}

func newLineWriter(out io.Writer) *lineWriter {
	r := &lineWriter{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		w := bufio.NewWriter(out)
		for range r.wake {
			r.mu.Lock()
			b := r.lines
			r.lines = nil
			r.mu.Unlock()
			w.Write(b)
			w.Flush()
		}
	}()
	return r
}

// write queues a value as a line of JSON. It does not block.
func (r *lineWriter) write(v any) {
	b, _ := json.Marshal(v)
	r.mu.Lock()
	r.lines = append(append(r.lines, b...), '\n')
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// close writes the queued lines and ends the goroutine.
func (r *lineWriter) close() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
	close(r.wake)
	<-r.done
}

func (b emulateBackendCommand) Run(c *Console) error {
	lines := newLineWriter(c.Out)
	defer lines.close()
	var onEvent func(emulator.Event)
	if b.Record {
		onEvent = func(event emulator.Event) {
			lines.write(BackendEvent{time.Now().UnixNano(), event.Backend, event.Kind, event.ID, event.Key})
		}
	}
	backend, err := server.StartBackend(b.Listen, emulator.BackendConfig{Name: b.Name, Cores: b.Cores, Queue: b.Queue, Work: b.Work, WorkVariation: b.Spread,
		SlowStartShare: b.SlowStartShare, SlowStartTime: b.SlowStartTime, OverloadFactor: b.OverloadFactor, OverloadTime: b.OverloadTime, KeyTTL: b.KeyTTL,
		BodySize: b.Body, Seed: b.Seed}, onEvent)
	if err != nil {
		return err
	}
	defer backend.Close()
	return serveUntilSignal(lines, backend.Addr(), b.Control, backend)
}

// serveUntilSignal serves an emulator's fault control, prints the addresses and waits for SIGTERM or SIGINT.
func serveUntilSignal(out *lineWriter, addr, control string, target server.FaultTarget) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	controlAddr, stop, err := server.ServeFaultControl(control, target)
	if err != nil {
		return err
	}
	defer stop()
	out.write(Ready{"listening", addr, controlAddr.String()})
	<-signals
	return nil
}

// emulateCounterCommand is the command "sandyard-emulator keeper".
type emulateCounterCommand struct {
	Listen  string `default:"127.0.0.1:0" help:"Address to listen on."`
	Control string `default:"127.0.0.1:0" help:"Address on which faults are set."`
}

func (s emulateCounterCommand) Run(c *Console) error {
	lines := newLineWriter(c.Out)
	defer lines.close()
	counter, err := server.StartCounter(s.Listen)
	if err != nil {
		return err
	}
	defer counter.Close()
	return serveUntilSignal(lines, counter.Addr(), s.Control, counter)
}

// setFaultCommand is the command "sandyard-emulator set".
type setFaultCommand struct {
	Control string   `required:"" help:"The stand-in's control address." placeholder:"ADDR"`
	Fault   []string `arg:"" help:"The fault, with its value."`
}

func (s setFaultCommand) Run(c *Console) error {
	if err := server.SendFaultCommand(s.Control, "set "+strings.Join(s.Fault, " ")); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.Out, "ok")
	return err
}

// clearFaultCommand is the command "sandyard-emulator clear".
type clearFaultCommand struct {
	Control string `required:"" help:"The stand-in's control address." placeholder:"ADDR"`
	Fault   string `arg:"" help:"The fault."`
}

func (s clearFaultCommand) Run(c *Console) error {
	if err := server.SendFaultCommand(s.Control, "clear "+s.Fault); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.Out, "ok")
	return err
}
