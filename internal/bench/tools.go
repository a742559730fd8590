package bench

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sandyard/trace"
)

// ToolOptions configures a measurement of the costs of trace recording and of admin socket queries.
type ToolOptions struct {
	Options
	Rate      float64 // of the open loop (requests per second)
	QueryRate int     // queries per second, all for one customer; one in queriesPerWouldQuery asks what the gateway would decide
	// Query sends a query to a gateway's admin socket and returns an error if it fails.
	Query func(socket, path string) error
}

// variant is a gateway in one of the compared configurations, with its results by round.
type variant struct {
	name        string
	extraConfig string // appended to its gateway.yaml
	queried     bool
	target      *target
	adminSocket string
	dir         string
	throughput  []float64
	p50         []float64
	p99         []float64
	cpu         []float64 // processor time per request (us)
}

// Tools compares a gateway that records a trace and one whose admin socket is queried with a plain gateway. All are measured in
// turn in one run. A second plain gateway shows the noise. Tools then reads and replays the recorded trace.
func Tools(o ToolOptions) error {
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
	all := []*variant{{name: "plain"}, {name: "plain, again"}, {name: "recording", extraConfig: "trace: {mode: full, folder: traces, most: 8GiB}\n"},
		{name: "looked at", extraConfig: "admin: {socket: admin.sock}\n", queried: true}}
	for i, v := range all {
		v.dir = filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(v.dir, 0o700); err != nil {
			return err
		}
		v.adminSocket = filepath.Join(v.dir, "admin.sock")
		if v.target, err = o.startGateway(v.dir, backend.addr, v.extraConfig); err != nil {
			return err
		}
		processes = append(processes, v.target)
		v.target.name = v.name
		if err := warmUp(v.target); err != nil {
			return err
		}
	}
	queries := &atomic.Int64{}
	for _, conns := range o.Conns {
		for _, v := range all {
			v.throughput, v.p50, v.p99, v.cpu = nil, nil, nil, nil
		}
		for round := range o.Rounds {
			for i := range all {
				if err := o.round(all[(round+i)%len(all)], conns, queries); err != nil {
					return err
				}
			}
		}
		o.print(all, conns)
	}
	fmt.Fprintf(o.Out, "\n%d queries were answered\n", queries.Load())
	rec := all[2]
	if err := rec.target.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := rec.target.cmd.Wait(); err != nil {
		return fmt.Errorf("the recording front door: %w", err)
	}
	return o.readTraces(filepath.Join(rec.dir, "traces"))
}

// round measures one gateway in a closed loop and then in an open loop.
func (o ToolOptions) round(v *variant, conns int, queries *atomic.Int64) error {
	d := time.Duration(o.Seconds * float64(time.Second))
	var wg sync.WaitGroup
	var queryErr error
	stop := make(chan struct{})
	if v.queried {
		wg.Go(func() { queryErr = o.queryAdmin(v.adminSocket, stop, queries) })
	}
	closed, err := Load(v.target.addr, benchRequest, conns, 0, d)
	var open Result
	var before, after time.Duration
	if err == nil {
		before, err = processorTime(v.target.cmd.Process.Pid)
	}
	if err == nil {
		open, err = Load(v.target.addr, benchRequest, conns, o.Rate, d)
	}
	if err == nil {
		after, err = processorTime(v.target.cmd.Process.Pid)
	}
	close(stop)
	wg.Wait()
	if err = errors.Join(err, queryErr); err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	if n := closed.NotOK + open.NotOK; n > 0 {
		return fmt.Errorf("%s: %d of %d responses have a status other than 200", v.name, n, closed.Done+open.Done)
	}
	v.throughput, v.cpu = append(v.throughput, closed.PerSecond()), append(v.cpu, float64((after-before).Microseconds())/float64(open.Done))
	v.p50, v.p99 = append(v.p50, float64(open.Latency.ValueAtQuantile(50))), append(v.p99, float64(open.Latency.ValueAtQuantile(99)))
	return nil
}

// queriesPerWouldQuery is the number of queries of which one is for /v1/would, which asks what the gateway would decide. For such a
// query the gateway copies its state, at most four times a second.
const queriesPerWouldQuery = 25

// queryAdmin queries an admin socket until stop is closed or a query fails, and counts the queries.
func (o ToolOptions) queryAdmin(socket string, stop chan struct{}, queries *atomic.Int64) error {
	tick := time.NewTicker(time.Second / time.Duration(max(1, o.QueryRate)))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		path := "/v1/studio?name=s"
		if n%queriesPerWouldQuery == queriesPerWouldQuery-1 {
			path = "/v1/would?name=s&units=1"
		}
		if err := o.Query(socket, path); err != nil {
			return err
		}
		queries.Add(1)
	}
}

// print prints the results of the variants as shares of the first variant's.
func (o ToolOptions) print(all []*variant, conns int) {
	fmt.Fprintf(o.Out, "\n%d connections; open loop at %.0f a second; as shares of the plain one's in the same round: median (least to most)\n", conns, o.Rate)
	fmt.Fprintf(o.Out, "%-14s %12s %26s %26s %26s %26s\n", "", "most a second", "of plain", "processor a request", "p50", "p99")
	for _, v := range all {
		fmt.Fprintf(o.Out, "%-14s %12.0f", v.name, median(v.throughput))
		for _, x := range [][2][]float64{{v.throughput, all[0].throughput}, {v.cpu, all[0].cpu}, {v.p50, all[0].p50}, {v.p99, all[0].p99}} {
			var r []float64
			for i := range x[0] {
				r = append(r, x[0][i]/max(x[1][i], 1e-9))
			}
			fmt.Fprintf(o.Out, " %26s", fmt.Sprintf("%.3f (%.3f to %.3f)", median(r), slices.Min(r), slices.Max(r)))
		}
		fmt.Fprintln(o.Out)
	}
}

// readTraces reads the recorded trace files, checks that they are complete, replays them and prints sizes and rates.
func (o ToolOptions) readTraces(folder string) error {
	files, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	var total traceCounts
	started := time.Now()
	for _, f := range files {
		if err := total.add(folder, f.Name()); err != nil {
			return err
		}
	}
	reading := time.Since(started)
	if total.steps == 0 {
		return errors.New("nothing was recorded")
	}
	slices.SortFunc(total.names, func(a, b string) int { return total.part[a] - total.part[b] })
	started = time.Now()
	replay, err := replayTraces(folder, total.names)
	if err != nil {
		return err
	}
	replaying := time.Since(started)
	_, err = fmt.Fprintf(o.Out, "%d files, %.1f MiB: %d steps with %d actions, %d dropped; %.1f bytes a step\nread: %.0f steps a second; read and replayed: %.0f steps a second, %d differ, %d of them behind a gap\n",
		len(total.names), float64(total.bytes)/(1<<20), total.steps, total.actions, total.dropped, float64(total.bytes)/float64(total.steps),
		float64(total.steps)/reading.Seconds(), float64(replay.Steps)/replaying.Seconds(), replay.Differences, replay.Uncertain)
	if err == nil && replay.Differences > replay.Uncertain {
		return errors.New("a replay differs: " + replay.FirstDifference)
	}
	return err
}

// traceCounts holds the totals of the files of a recording.
type traceCounts struct {
	names                   []string
	part                    map[string]int // number of the part, by file
	bytes                   int
	steps, actions, dropped uint64
}

// add reads a file and adds its counts.
func (t *traceCounts) add(folder, name string) error {
	if t.part == nil {
		t.part = map[string]int{}
	}
	size, err := eachRecord(folder, name, func(h trace.Header) error { t.part[name] = h.Part; return nil }, func(_ trace.Header, r trace.Record) error {
		t.dropped += r.Dropped
		if r.Snapshot == nil && r.Backend == nil && r.Dropped == 0 {
			t.steps++
		}
		t.actions += uint64(len(r.Actions))
		return nil
	})
	t.names, t.bytes = append(t.names, name), t.bytes+size
	return err
}

// replayTraces replays the files of a recording in the given order, which must be that of their parts.
func replayTraces(folder string, names []string) (replay *trace.Replay, err error) {
	for _, name := range names {
		if _, err := eachRecord(folder, name, func(h trace.Header) (err error) {
			if replay == nil {
				replay, err = trace.NewReplay(h)
			}
			return err
		}, func(h trace.Header, r trace.Record) error { return replay.Step(h, r) }); err != nil {
			return nil, err
		}
	}
	return replay, nil
}

// eachRecord calls begin with the header and each with every record of a file, and returns the file's size (bytes). It returns an
// error if the file is truncated.
func eachRecord(folder, name string, begin func(trace.Header) error, each func(trace.Header, trace.Record) error) (size int, err error) {
	text, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return 0, err
	}
	truncatedAt, err := trace.Each(text, begin, each)
	if err == nil && truncatedAt > 0 {
		err = trace.ErrTruncated
	}
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return len(text), nil
}

// processorTime returns the processor time that a process has used: the sum of utime and stime in /proc/PID/stat (ticks of
// 10 ms), see proc(5). The fields are counted from the closing parenthesis of the process name, which may contain any character.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(f) < 13 {
		return 0, fmt.Errorf("not a stat of proc(5): %.60q", text)
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2)
}
