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

// ToolOptions say how to measure what recording and looking cost.
type ToolOptions struct {
	Options
	Rate  float64 // of the open loop, a second
	Looks int     // at one studio, a second, and one in twenty-five asks what the front door would decide
	// Ask asks a front door's admin socket.
	Ask func(socket, path string) error
}

// variant is a front door under measurement, and what came of it by round, as shares of the plain one's.
type variant struct {
	name   string
	extra  string // of its gateway.yaml
	looked bool
	peer   *peer
	socket string
	dir    string
	most   []float64
	p50    []float64
	p99    []float64
	cpu    []float64 // processor time for a request
}

// Tools measures front doors that record, and that are looked at, against one that does neither, played in turn in one run;
// and a second one that does neither, which tells the noise. What was recorded is then read and replayed.
func Tools(o ToolOptions) error {
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
	all := []*variant{{name: "plain"}, {name: "plain, again"}, {name: "recording", extra: "trace: {mode: full, folder: traces, most: 8GiB}\n"},
		{name: "looked at", extra: "admin: {socket: admin.sock}\n", looked: true}}
	for i, v := range all {
		v.dir = filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(v.dir, 0o700); err != nil {
			return err
		}
		v.socket = filepath.Join(v.dir, "admin.sock")
		if v.peer, err = o.startDoor(v.dir, box.addr, v.extra); err != nil {
			return err
		}
		peers = append(peers, v.peer)
		v.peer.name = v.name
		if err := warmUp(v.peer); err != nil {
			return err
		}
	}
	looks := &atomic.Int64{}
	for _, conns := range o.Conns {
		for _, v := range all {
			v.most, v.p50, v.p99, v.cpu = nil, nil, nil, nil
		}
		for round := range o.Rounds {
			for i := range all {
				if err := o.round(all[(round+i)%len(all)], conns, looks); err != nil {
					return err
				}
			}
		}
		o.print(all, conns)
	}
	fmt.Fprintf(o.Out, "\n%d looks were answered\n", looks.Load())
	rec := all[2]
	if err := rec.peer.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := rec.peer.cmd.Wait(); err != nil {
		return fmt.Errorf("the recording front door: %w", err)
	}
	return o.read(filepath.Join(rec.dir, "traces"))
}

// round loads one front door in a closed loop and then in an open one.
func (o ToolOptions) round(v *variant, conns int, looks *atomic.Int64) error {
	d := time.Duration(o.Seconds * float64(time.Second))
	var wg sync.WaitGroup
	var lookErr error
	stop := make(chan struct{})
	if v.looked {
		wg.Go(func() { lookErr = o.look(v.socket, stop, looks) })
	}
	most, err := Load(v.peer.addr, ask, conns, 0, d)
	var open Result
	var before, after time.Duration
	if err == nil {
		before, err = processor(v.peer.cmd.Process.Pid)
	}
	if err == nil {
		open, err = Load(v.peer.addr, ask, conns, o.Rate, d)
	}
	if err == nil {
		after, err = processor(v.peer.cmd.Process.Pid)
	}
	close(stop)
	wg.Wait()
	if err = errors.Join(err, lookErr); err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	if n := most.Bad + open.Bad; n > 0 {
		return fmt.Errorf("%s: %d bad answers of %d", v.name, n, most.Done+open.Done)
	}
	v.most, v.cpu = append(v.most, most.PerSecond()), append(v.cpu, float64((after-before).Microseconds())/float64(open.Done))
	v.p50, v.p99 = append(v.p50, float64(open.Latency.ValueAtQuantile(50))), append(v.p99, float64(open.Latency.ValueAtQuantile(99)))
	return nil
}

func (o ToolOptions) look(socket string, stop chan struct{}, looks *atomic.Int64) error {
	tick := time.NewTicker(time.Second / time.Duration(max(1, o.Looks)))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		path := "/v1/studio?name=s"
		if n%25 == 24 {
			path = "/v1/would?name=s&units=1"
		}
		if err := o.Ask(socket, path); err != nil {
			return err
		}
		looks.Add(1)
	}
}

func (o ToolOptions) print(all []*variant, conns int) {
	fmt.Fprintf(o.Out, "\n%d connections; open loop at %.0f a second; as shares of the plain one's in the same round: median (least to most)\n", conns, o.Rate)
	fmt.Fprintf(o.Out, "%-14s %12s %26s %26s %26s %26s\n", "", "most a second", "of plain", "processor a request", "p50", "p99")
	for _, v := range all {
		fmt.Fprintf(o.Out, "%-14s %12.0f", v.name, median(v.most))
		for _, x := range [][2][]float64{{v.most, all[0].most}, {v.cpu, all[0].cpu}, {v.p50, all[0].p50}, {v.p99, all[0].p99}} {
			var r []float64
			for i := range x[0] {
				r = append(r, x[0][i]/max(x[1][i], 1e-9))
			}
			fmt.Fprintf(o.Out, " %26s", fmt.Sprintf("%.3f (%.3f to %.3f)", median(r), slices.Min(r), slices.Max(r)))
		}
		fmt.Fprintln(o.Out)
	}
}

// read reads what was recorded, checks that it is whole, and then replays it.
func (o ToolOptions) read(folder string) error {
	files, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	var names []string
	part := map[string]int{}
	each := func(name string, begin func(trace.Header) error, f func(trace.Header, trace.Record) error) (size int, err error) {
		text, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			return 0, err
		}
		cut, err := trace.Each(text, begin, f)
		if err == nil && cut > 0 {
			err = trace.ErrTruncated
		}
		if err != nil {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
		return len(text), nil
	}
	var steps, actions, dropped uint64
	total := 0
	begun := time.Now()
	for _, f := range files {
		n, err := each(f.Name(), func(h trace.Header) error { part[f.Name()] = h.Part; return nil }, func(_ trace.Header, it trace.Record) error {
			dropped += it.Dropped
			if it.Snapshot == nil && it.Backend == nil && it.Dropped == 0 {
				steps++
			}
			actions += uint64(len(it.Actions))
			return nil
		})
		if err != nil {
			return err
		}
		names, total = append(names, f.Name()), total+n
	}
	reading := time.Since(begun)
	if steps == 0 {
		return errors.New("nothing was recorded")
	}
	slices.SortFunc(names, func(a, b string) int { return part[a] - part[b] })
	var rep *trace.Replay
	begun = time.Now()
	for _, name := range names {
		if _, err := each(name, func(h trace.Header) (err error) {
			if rep == nil {
				rep, err = trace.NewReplay(h)
			}
			return err
		}, func(h trace.Header, it trace.Record) error { return rep.Step(h, it) }); err != nil {
			return err
		}
	}
	replaying := time.Since(begun)
	_, err = fmt.Fprintf(o.Out, "%d files, %.1f MiB: %d steps with %d actions, %d dropped; %.1f bytes a step\nread: %.0f steps a second; read and replayed: %.0f steps a second, %d differ, %d of them behind a gap\n",
		len(names), float64(total)/(1<<20), steps, actions, dropped, float64(total)/float64(steps), float64(steps)/reading.Seconds(),
		float64(rep.Steps)/replaying.Seconds(), rep.Differences, rep.Uncertain)
	if err == nil && rep.Differences > rep.Uncertain {
		return errors.New("a replay differs: " + rep.FirstDifference)
	}
	return err
}

// processor is the processor time that a process has used: utime and stime of proc(5)'s stat, in hundredths of a second. The
// name before them may hold anything, so that fields count from its closing parenthesis.
func processor(pid int) (time.Duration, error) {
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
