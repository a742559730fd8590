// Package drill injects faults into real processes: proxy instances, emulated backends and the emulated counter on loopback. Clients
// that retry send seeded traffic, a script defines the faults, and an auditor checks only what crossed the sockets.
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

// Options configures a drill. Zero values select the defaults.
type Options struct {
	Seed      uint64
	Seconds   float64       // duration of the traffic; default 50
	Instances int           // default 3
	Backends  int           // default 8
	Rate      float64       // operations a second without surges and retries; default 180
	Events    []fault.Event // nil: DefaultEvents
	Slack     time.Duration // allowed delay between an event and its record; default 150 ms
	LogDir    string        // folder for the logs of the processes; empty: a temporary folder that is removed
	Log       io.Writer
	// Command returns the executable and the leading arguments that run a program: "sandyard" or "sandyard-emulator".
	Command func(program string) (exe string, args []string)
}

// Report is the result of a drill.
type Report struct {
	invariant.Verdict
	Seed       uint64   `json:"seed"`
	Seconds    float64  `json:"seconds"`
	Requests   int      `json:"tries"`
	ValueShare float64  `json:"worth_served_in_time"` // share of the value offered
	Exits      []string `json:"bad_exits"`            // processes that did not exit properly
	Faults     int      `json:"troubles"`

	Unanswered       []UnansweredRequest `json:"unanswered"`         // includes requests for which no rule requires an answer
	Lateness         []lateness.Delay    `json:"lateness"`           // scheduling delays of the drill's own process
	ListenerOverflow int                 `json:"listener_overflows"` // of all listeners on this machine during the drill
}

// Failed reports whether a rule was broken or not exercised, or a process did not exit properly.
func (r Report) Failed() bool { return r.Violations > 0 || len(r.NotExercised) > 0 || len(r.Exits) > 0 }

// backend is an emulated backend and its state in the endpoint list.
type backend struct {
	name        string
	address     string
	control     string
	startedAt   time.Time
	listedState string
	process     *process
}

// Drill is the state of a running drill.
type Drill struct {
	options Options
	dir     string
	origin  time.Time

	mu             sync.Mutex
	auditor        *invariant.Auditor
	totalSurge     float64            // factor of the traffic of all customers
	surges         map[string]float64 // factors of traffic, by plan or customer
	requests       int
	unanswered     []UnansweredRequest
	lateness       lateness.Monitor
	processorWaits lateness.ProcessMonitor
	customers      []*customer
	backends       []*backend
	replacements   int        // number of backends that were started as replacements
	endpointFile   sync.Mutex // held while the endpoint file is written
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

// ErrUnsupportedFault is returned for a fault that only the simulator supports.
var ErrUnsupportedFault = errors.New("supported only by the simulator")

// Run runs a drill: it starts all processes, sends traffic, injects faults, and stops the processes. Broken rules are in the report.
// An error means that the drill itself failed.
func Run(ctx context.Context, opt Options) (Report, error) {
	opt = opt.withDefaults()
	for _, e := range opt.Events {
		if !slices.Contains(supportedVerbs, e.Verb) {
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
	err := d.execute(ctx)
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
	defaultRate      = 180                    // operations a second: 45% of the capacity of the default backends
	defaultInstances = 3                      // two for each customer, and one that the customer does not use
	defaultBackends  = 8                      // DefaultEvents needs this many
	defaultSlack     = 150 * time.Millisecond // for scheduling delays of a machine that runs a dozen processes
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

// limits returns the limits that the rules are checked against.
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

// execute sends traffic and injects the faults until both have finished.
func (d *Drill) execute(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	startedAt := time.Now()
	g.Go(func() error { return d.traffic(ctx, startedAt) })
	for _, e := range d.options.Events {
		g.Go(func() error {
			if !sleep(ctx, time.Until(startedAt.Add(e.At))) {
				return nil
			}
			if err := d.injectFault(ctx, e); err != nil && ctx.Err() == nil {
				return fmt.Errorf("%s %s: %w", e.Verb, e.Target, err)
			}
			return nil
		})
	}
	return g.Wait()
}

// sleep waits for d and reports whether it did: it returns false if the context ended first.
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
