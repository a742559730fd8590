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

// Options configures a measurement.
type Options struct {
	Conns   []int
	Seconds float64 // duration of each load (s)
	Rounds  int     // in each round every target is measured once; medians over the rounds are printed
	Idle    int     // number of idle connections whose memory is measured; 0: no such measurement
	Out     io.Writer
	// Command returns the executable and the first arguments that run a program as a child. Programs are "sandyard", "box",
	// "reverseproxy" and "fasthttp".
	Command func(program string) (exe string, args []string)
}

// target is a process under load.
type target struct {
	name string
	addr string
	cmd  *exec.Cmd
}

// start starts a program and waits until it has printed the address that it listens on.
func (o Options) start(name string, args ...string) (*target, error) {
	exe, programArgs := o.Command(name)
	cmd := exec.Command(exe, append(programArgs, args...)...)
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
			return &target{name, line.Addr, cmd}, nil
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

// children are the processes that are killed at the end of the measurement.
type children []*target

// stop kills the processes and waits for them.
func (ps *children) stop() {
	for _, p := range *ps {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	}
}

// startGateway starts a gateway for a backend and writes its files to dir. extraConfig is appended to its gateway.yaml.
func (o Options) startGateway(dir, backend, extraConfig string) (*target, error) {
	for name, text := range map[string]string{"gateway.yaml": gatewayYAML + extraConfig, "openapi.yaml": openapiYAML,
		"boxes.yaml": fmt.Sprintf("boxes: [{name: b, address: %q}]\n", backend)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return o.start("sandyard", "serve", "--config", filepath.Join(dir, "gateway.yaml"), "--listen", "127.0.0.1:0")
}

// warmUp applies a load before the measurements: a gateway that has just started has no estimate of response times yet, and may
// reject some requests until it has one.
func warmUp(p *target) error {
	if _, err := Load(p.addr, benchRequest, 4, 0, 500*time.Millisecond); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// benchRequest is the request that all loads send.
var benchRequest = []byte("GET /look HTTP/1.1\r\nHost: bench\r\nX-Api-Key: k\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n")

// Run measures all targets and prints the results. It returns an error if a target fails or responds with a status other than 200.
func Run(o Options) error {
	dir, err := os.MkdirTemp("", "sandyard-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var processes children
	defer processes.stop()
	backend, err := o.start("box")
	if err != nil {
		return err
	}
	processes = append(processes, backend)
	gateway, err := o.startGateway(dir, backend.addr, "")
	if err != nil {
		return err
	}
	processes = append(processes, gateway)
	targets := []*target{{name: "direct", addr: backend.addr}, gateway}
	for _, name := range []string{"reverseproxy", "fasthttp"} {
		p, err := o.start(name, backend.addr)
		if err != nil {
			return err
		}
		processes, targets = append(processes, p), append(targets, p)
	}
	for _, p := range targets {
		if err := warmUp(p); err != nil {
			return err
		}
	}
	d := time.Duration(o.Seconds * float64(time.Second))
	for _, conns := range o.Conns {
		if err := o.measureConns(targets, conns, d); err != nil {
			return err
		}
	}
	if o.Idle > 0 {
		return o.measureIdle(targets)
	}
	return nil
}

func median(xs []float64) float64 {
	xs = slices.Clone(xs)
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// quantiles are the printed percentiles of latency.
var quantiles = []float64{50, 99, 99.9}

// measureConns measures all targets over a number of connections: first their throughput, then their latency at a rate that all
// of them can serve.
func (o Options) measureConns(all []*target, conns int, d time.Duration) error {
	throughput := map[string][]float64{}
	for range o.Rounds {
		for _, t := range all {
			r, err := Load(t.addr, benchRequest, conns, 0, d)
			if err != nil {
				return err
			}
			if r.NotOK > 0 {
				return fmt.Errorf("%s: %d of %d responses have a status other than 200", t.name, r.NotOK, r.Done)
			}
			throughput[t.name] = append(throughput[t.name], r.PerSecond())
		}
	}
	rate := median(throughput["reverseproxy"]) / 2
	latency := map[string]map[float64][]float64{} // by target and percentile, in microseconds
	for range o.Rounds {
		for _, t := range all {
			r, err := Load(t.addr, benchRequest, conns, rate, d)
			if err != nil {
				return err
			}
			if latency[t.name] == nil {
				latency[t.name] = map[float64][]float64{}
			}
			for _, q := range quantiles {
				latency[t.name][q] = append(latency[t.name][q], float64(r.Latency.ValueAtQuantile(q)))
			}
		}
	}
	fmt.Fprintf(o.Out, "\n%d connections; latency at %.0f a second, open loop, added over going direct, in us\n", conns, rate)
	o.printConns(all, throughput, latency)
	return nil
}

// printConns prints the throughput and the added latency of each target.
func (o Options) printConns(all []*target, throughput map[string][]float64, latency map[string]map[float64][]float64) {
	fmt.Fprintf(o.Out, "%-14s %12s %14s %10s %10s %10s\n", "", "most a second", "of reverseproxy", "p50", "p99", "p99.9")
	for _, t := range all {
		ratios := make([]float64, o.Rounds)
		for i := range ratios {
			ratios[i] = throughput[t.name][i] / throughput["reverseproxy"][i]
		}
		fmt.Fprintf(o.Out, "%-14s %12.0f %14.2f ", t.name, median(throughput[t.name]), median(ratios))
		for _, q := range quantiles {
			v := median(latency[t.name][q])
			if t.name == "direct" {
				fmt.Fprintf(o.Out, " %10.0f", v)
				continue
			}
			fmt.Fprintf(o.Out, " %+10.0f", v-median(latency["direct"][q]))
		}
		fmt.Fprintln(o.Out)
	}
}

// measureIdle measures and prints the resident memory that idle connections use in each target but the first, the backend.
func (o Options) measureIdle(targets []*target) error {
	fmt.Fprintf(o.Out, "\n%d idle connections, resident memory\n", o.Idle)
	for _, t := range targets[1:] {
		before, err := residentMemory(t.cmd.Process.Pid)
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
		after, err := residentMemory(t.cmd.Process.Pid)
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

// residentMemory returns the resident memory of a process (bytes).
func residentMemory(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	return pages * os.Getpagesize(), err
}
