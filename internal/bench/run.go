package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options say what to measure.
type Options struct {
	Conns   []int
	Seconds float64 // of each load
	Rounds  int     // that are played in turn; medians are told
	Idle    int     // idle connections whose memory is measured; 0: none
	Out     io.Writer
	// Command says how to run a program as a child: "sandyard", "box", "reverseproxy" or "fasthttp".
	Command func(program string) (exe string, args []string)
}

type peer struct {
	name string
	addr string
	cmd  *exec.Cmd
}

func (o Options) start(name string, args ...string) (*peer, error) {
	exe, pre := o.Command(name)
	cmd := exec.Command(exe, append(pre, args...)...)
	cmd.Stderr = nil
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = w, w
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.Close()
	in := bufio.NewScanner(r)
	for in.Scan() {
		var line struct{ Msg, Addr string }
		if json.Unmarshal(in.Bytes(), &line) == nil && line.Msg == "listening" {
			go io.Copy(io.Discard, r)
			return &peer{name, line.Addr, cmd}, nil
		}
	}
	cmd.Process.Kill()
	cmd.Wait()
	return nil, fmt.Errorf("%s did not start", name)
}

const gatewayYAML = `openapi: openapi.yaml
classes: [{name: c, repeat: safe, aim: 1s, deadline: 5s, worth: 1, late-share: 0.2}]
plans: [{name: p, rate: 1000000/s, burst: 1000000}]
studios: [{name: s, plan: p, keys: [k]}]
boxes: {file: boxes.yaml}
load: {via: answers, fields: [{name: named_metrics.in_flight, is: in-flight}, {name: cpu_utilization, is: utilization}]}
attempts: {most: 3}
limits: {connections: 20000, lines-per-box: 4096, idle-timeout: 10m}
`

const openapiYAML = `openapi: 3.0.3
info: {title: bench, version: "1"}
paths: {/look: {get: {x-sandyard-class: c, responses: {"200": {description: fine}}}}}
`

// peers are processes to be ended.
type peers []*peer

func (ps *peers) stop() {
	for _, p := range *ps {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	}
}

// startDoor starts a front door before a box, with its files in a folder. extra is more of its gateway.yaml.
func (o Options) startDoor(dir, box, extra string) (*peer, error) {
	for name, text := range map[string]string{"gateway.yaml": gatewayYAML + extra, "openapi.yaml": openapiYAML,
		"boxes.yaml": fmt.Sprintf("boxes: [{name: b, address: %q}]\n", box)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return o.start("sandyard", "serve", "--config", filepath.Join(dir, "gateway.yaml"), "--listen", "127.0.0.1:0")
}

// warmUp is a load before the first that is measured: a front door that has just started guesses how long answers take, and
// may refuse some until it knows.
func warmUp(p *peer) error {
	if _, err := Load(p.addr, ask, 4, 0, 500*time.Millisecond); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// ask is the request that all loads consist of.
var ask = []byte("GET /look HTTP/1.1\r\nHost: bench\r\nX-Api-Key: k\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n")

// Run measures and prints.
func Run(o Options) error {
	dir, err := os.MkdirTemp("", "sandyard-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var peers peers
	defer peers.stop()
	box, err := o.start("box")
	if err != nil {
		return err
	}
	peers = append(peers, box)
	door, err := o.startDoor(dir, box.addr, "")
	if err != nil {
		return err
	}
	peers = append(peers, door)
	targets := []*peer{{name: "direct", addr: box.addr}, door}
	for _, name := range []string{"reverseproxy", "fasthttp"} {
		p, err := o.start(name, box.addr)
		if err != nil {
			return err
		}
		peers, targets = append(peers, p), append(targets, p)
	}
	for _, p := range targets {
		if err := warmUp(p); err != nil {
			return err
		}
	}
	d := time.Duration(o.Seconds * float64(time.Second))
	for _, conns := range o.Conns {
		if err := o.atConns(targets, conns, d); err != nil {
			return err
		}
	}
	if o.Idle > 0 {
		return o.idle(targets)
	}
	return nil
}

func median(xs []float64) float64 {
	xs = slices.Clone(xs)
	slices.Sort(xs)
	return xs[len(xs)/2]
}

func (o Options) atConns(targets []*peer, conns int, d time.Duration) error {
	most := map[string][]float64{}
	for range o.Rounds {
		for _, t := range targets {
			r, err := Load(t.addr, ask, conns, 0, d)
			if err != nil {
				return err
			}
			if r.Bad > 0 {
				return fmt.Errorf("%s: %d bad answers of %d", t.name, r.Bad, r.Done)
			}
			most[t.name] = append(most[t.name], r.PerSecond())
		}
	}
	rate := median(most["reverseproxy"]) / 2 // what all can serve
	at := map[string]map[float64][]float64{}
	for range o.Rounds {
		for _, t := range targets {
			r, err := Load(t.addr, ask, conns, rate, d)
			if err != nil {
				return err
			}
			if at[t.name] == nil {
				at[t.name] = map[float64][]float64{}
			}
			for _, q := range []float64{50, 99, 99.9} {
				at[t.name][q] = append(at[t.name][q], float64(r.Latency.ValueAtQuantile(q)))
			}
		}
	}
	fmt.Fprintf(o.Out, "\n%d connections; latency at %.0f a second, open loop, added over going direct, in us\n", conns, rate)
	fmt.Fprintf(o.Out, "%-14s %12s %14s %10s %10s %10s\n", "", "most a second", "of reverseproxy", "p50", "p99", "p99.9")
	for _, t := range targets {
		ratios := make([]float64, o.Rounds)
		for i := range ratios {
			ratios[i] = most[t.name][i] / most["reverseproxy"][i]
		}
		fmt.Fprintf(o.Out, "%-14s %12.0f %14.2f ", t.name, median(most[t.name]), median(ratios))
		for _, q := range []float64{50, 99, 99.9} {
			v := median(at[t.name][q])
			if t.name == "direct" {
				fmt.Fprintf(o.Out, " %10.0f", v)
				continue
			}
			fmt.Fprintf(o.Out, " %+10.0f", v-median(at["direct"][q]))
		}
		fmt.Fprintln(o.Out)
	}
	return nil
}

// idle measures what idle connections cost a process in resident memory.
func (o Options) idle(targets []*peer) error {
	fmt.Fprintf(o.Out, "\n%d idle connections, resident memory\n", o.Idle)
	for _, t := range targets[1:] {
		before, err := resident(t.cmd.Process.Pid)
		if err != nil {
			return err
		}
		var open []net.Conn
		for range o.Idle {
			c, err := net.Dial("tcp", t.addr)
			if err != nil {
				return fmt.Errorf("%s: connection %d: %w", t.name, len(open), err)
			}
			open = append(open, c)
		}
		time.Sleep(2 * time.Second)
		after, err := resident(t.cmd.Process.Pid)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "%-14s %6.1f MiB more, %.1f KiB each\n", t.name, float64(after-before)/(1<<20), float64(after-before)/1024/float64(o.Idle))
		for _, c := range open {
			c.Close()
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

func resident(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	return pages * os.Getpagesize(), err
}
