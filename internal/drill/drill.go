// Package drill plays faults on real processes: proxy instances, emulated backends and the emulated counter on loopback,
// seeded traffic of clients that retry, a script of faults, and an auditor that sees only what crossed the sockets.
package drill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sandyard/fault"
	"sandyard/internal/lateness"
	"sandyard/invariant"
)

// Options says what to play. Zero values stand for defaults.
type Options struct {
	Seed      uint64
	Seconds   float64       // of traffic; 50
	Instances int           // 3
	Backends  int           // 8
	Rate      float64       // requests a second without surges; 180
	Events    []fault.Event // nil: DefaultEvents
	Slack     time.Duration // allowed between where something happens and where it is noted; 150 ms
	LogDir    string        // of the processes; empty: a temporary one that is removed
	Log       io.Writer
	// Command says how to run a program: "sandyard" or "sandyard-emulator".
	Command func(program string) (exe string, args []string)
}

// Report is the result of a drill.
type Report struct {
	invariant.Verdict
	Seed       uint64   `json:"seed"`
	Seconds    float64  `json:"seconds"`
	Requests   int      `json:"tries"`
	ValueShare float64  `json:"worth_served_in_time"` // of the value offered
	Exits      []string `json:"bad_exits"`            // processes that did not end as they should
	Faults     int      `json:"troubles"`

	Unanswered       []UnansweredRequest `json:"unanswered"`         // also those that no rule asks an answer for
	Lateness         []lateness.Delay    `json:"lateness"`           // of the drill's own process
	ListenerOverflow int                 `json:"listener_overflows"` // of all listeners of this machine, during the drill
}

// Failed reports whether a rule was broken or not exercised, or a process did not end as it should.
func (r Report) Failed() bool { return r.Violations > 0 || len(r.NotExercised) > 0 || len(r.Exits) > 0 }

// backend is an emulated backend that was started.
type backend struct {
	name        string
	address     string
	control     string
	startedAt   time.Time
	listedState string
	process     *process
}

// Drill is a drill in progress.
type Drill struct {
	options Options
	dir     string
	origin  time.Time

	mu             sync.Mutex
	auditor        *invariant.Auditor
	totalSurge     float64
	surges         map[string]float64 // by plan or customer
	requests       int
	unanswered     []UnansweredRequest
	lateness       lateness.Monitor
	processorWaits lateness.ProcessMonitor
	customers      []*customer
	backends       []*backend
	replacements   int // backends started in place of others
	endpointFile   sync.Mutex
	instances      []*process
	clients        []*client
	counter        *process
	counterControl string // control address
	badExits       []string
	processes      []*process
}

func (d *Drill) command(program string) (string, []string) { return d.options.Command(program) }

func (d *Drill) now() time.Duration { return time.Since(d.origin) }

func (d *Drill) logf(format string, args ...any) {
	if d.options.Log != nil {
		fmt.Fprintf(d.options.Log, "%6.2fs  %s\n", d.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// ErrUnsupportedFault is a fault of a script that means something in the simulator only.
var ErrUnsupportedFault = errors.New("only in virtual time")

// Run plays a drill: it starts all processes, plays traffic and faults, and stops them. The report says what was found; the
// error is one of the drill itself.
func Run(ctx context.Context, opt Options) (Report, error) {
	opt = opt.withDefaults()
	for _, e := range opt.Events {
		if !slices.Contains(verbsOnSockets, e.Verb) {
			return Report{}, fmt.Errorf("%s: %w", e.Verb, ErrUnsupportedFault)
		}
	}
	d := &Drill{options: opt, dir: opt.LogDir, origin: time.Now(), totalSurge: 1, surges: map[string]float64{}, auditor: invariant.New(limits(opt.Slack))}
	if d.dir == "" {
		dir, err := os.MkdirTemp("", "sandyard-drill-")
		if err != nil {
			return Report{}, err
		}
		defer os.RemoveAll(dir)
		d.dir = dir
	} else if err := os.MkdirAll(d.dir, 0o700); err != nil {
		return Report{}, err
	}
	defer d.killAll()
	if err := d.startAll(); err != nil {
		return Report{}, err
	}
	overflows := listenerOverflows()
	stopLateness, stopWaits := d.lateness.Start(d.now), d.processorWaits.Start(d.now, d.instanceProcesses)
	err := d.play(ctx)
	d.stopAll()
	stopLateness()
	stopWaits()
	for _, c := range d.clients {
		c.close()
	}
	if err != nil {
		return Report{}, err
	}
	report := d.report()
	report.ListenerOverflow = listenerOverflows() - overflows
	return report, nil
}

// Defaults of Options.
const (
	defaultSeconds   = 50
	defaultRate      = 180                    // requests a second: 45% of what the default backends can do
	defaultInstances = 3                      // two for each customer, and one that is none of its
	defaultBackends  = 8                      // as many as DefaultEvents needs
	defaultSlack     = 150 * time.Millisecond // scheduling delays of a machine that runs a dozen processes
)

func (o Options) withDefaults() Options {
	if o.Seconds <= 0 {
		o.Seconds = defaultSeconds
	}
	if o.Rate <= 0 {
		o.Rate = defaultRate
	}
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.Backends == 0 {
		o.Backends = defaultBackends
	}
	if o.Slack == 0 {
		o.Slack = defaultSlack
	}
	if o.Events == nil {
		o.Events = DefaultEvents(o.Seconds)
	}
	return o
}

// limits returns what the rules compare with.
func limits(slack time.Duration) invariant.Limits {
	ceilings := map[string]invariant.Ceiling{}
	for _, p := range plans {
		if p.ceilingRate > 0 {
			ceilings[p.name] = invariant.Ceiling{Rate: p.ceilingRate, Burst: p.ceilingBurst, Slack: p.ceilingSlack}
		}
	}
	return invariant.Limits{DrainGrace: drainGrace, Slack: slack, KeyTTL: keyTTL, SlowStartShare: slowStartShare, SlowStartTime: slowStartTime,
		OverloadFactor: overloadFactor, OverloadTime: overloadTime, Cores: cores, Ceilings: ceilings}
}

func (d *Drill) report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Verdict: d.auditor.Verdict(), Seed: d.options.Seed, Seconds: d.options.Seconds, Requests: d.requests, Exits: d.badExits,
		Faults: len(d.options.Events), Unanswered: d.unanswered, Lateness: d.lateness.Delays}
	d.addInstanceRecords(r.Unanswered)
	offered, served := 0.0, 0.0
	for _, p := range r.Plans {
		offered, served = offered+p.ValueOffered, served+p.ValueServed
	}
	r.ValueShare = served / max(offered, 1e-9)
	return r
}

// play sends traffic and plays the faults until both are over.
func (d *Drill) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	begun := time.Now()
	g.Go(func() error { return d.traffic(ctx, begun) })
	for _, e := range d.options.Events {
		g.Go(func() error {
			if !sleep(ctx, time.Until(begun.Add(e.At))) {
				return nil
			}
			if err := d.playFault(ctx, e); err != nil && ctx.Err() == nil {
				return fmt.Errorf("%s %s: %w", e.Verb, e.Target, err)
			}
			return nil
		})
	}
	return g.Wait()
}

// sleep waits; false: the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
