// Package soak plays ends of a process on a real one: an instance of "sandyard node" on loopback, with stand-ins of
// discovery, backends and counter, clients that go on using open connections until SIGKILL, signals in series, and changes,
// silent watches and hanging backends that fall into the shutdown. What crossed the sockets is checked against the rules of
// the platform.
//
// A plan is drawn from a seed alone (plan.go). Checks are strict (check.go). A time limit that was passed by no more than the
// machine itself ran late at that moment is reported apart, and the run does not count as played.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"sandyard/internal/lateness"
)

// Options say how runs are played.
type Options struct {
	// Command says how to run "sandyard".
	Command func(program string) (exe string, args []string)
	// LogDir keeps the logs and configurations; empty: a temporary folder that is removed.
	LogDir string
	// Scenario changes the plans.
	Scenario Scenario
}

// Report is what a run has shown.
type Report struct {
	Seed       uint64      `json:"seed"`
	Scenario   Scenario    `json:"scenario,omitempty"`
	Requests   int         `json:"requests"`
	Served     int         `json:"served"`
	Attempts   int         `json:"attempts"`
	Late       int         `json:"attempts_after_sigterm"`
	Exposure   Exposure    `json:"exposure"`
	Refused    int         `json:"connections_refused"`
	Unread     int         `json:"connections_unread"` // new ones that ended without an answer, with a crowd
	EndedAfter float64     `json:"ended_after_s"`      // SIGTERM
	OwnDelay   int64       `json:"own_delay_ms"`       // greatest of this process
	Waited     int64       `json:"waited_ms"`          // of the instance's threads for a processor, all together
	Violations []Violation `json:"violations"`
	Unjudged   []Violation `json:"unjudged"`                     // no later than the machine ran at that moment
	Unsettled  int         `json:"attempts_unsettled,omitempty"` // that OlderList speaks of
	Plan       string      `json:"plan"`
}

// run is a run in progress.
type run struct {
	plan            *Plan
	record          *record
	options         Options
	dir             string
	instanceAddress string
	discovery       *discovery
	counter         *counter
	backends        []*backend
	firstClient     int // number of its first client
	process         *instanceProcess
	ended           atomic.Bool // no request is sent any more
	paused          atomic.Bool // clients send nothing for now
	own             lateness.Monitor
	waits           lateness.ProcessMonitor
	clients         sync.WaitGroup
	batch           []*client // that wait to send at once

	// The record's lock guards these.
	extraBytes  int           // idle connections that brought bytes
	silentSince time.Duration // since when watches are silent; 0: they are not
	movedAt     time.Duration // when discovery and counter moved; 0: they have not
	startedAt   time.Duration // when a process with a stale list was started; 0: the list is not stale
}

// Run plays the plan of a seed. The error is one of the run itself: it could not be played.
func Run(ctx context.Context, seed uint64, options Options) (Report, error) {
	plan, err := DrawScenario(seed, options.Scenario)
	if err != nil {
		return Report{}, err
	}
	dir := options.LogDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "sandyard-soak-"); err != nil {
			return Report{}, err
		}
		defer os.RemoveAll(dir)
	}
	dir = filepath.Join(dir, fmt.Sprint(seed))
	play := runSingle
	if plan.Fleet.Instances > 0 {
		play = runFleet
	}
	report, err := play(ctx, plan, options, dir)
	if err != nil {
		return Report{}, fmt.Errorf("seed %d: %w", seed, err)
	}
	return report, nil
}

// runSingle plays a plan of one instance.
func runSingle(ctx context.Context, plan *Plan, options Options, dir string) (Report, error) {
	r := newRun(plan, options, dir)
	backends, err := startBackends(r.record)
	if err != nil {
		return Report{}, err
	}
	defer backends.close()
	defer r.close()
	if err := r.start(backends); err != nil {
		return Report{}, err
	}
	if err := r.play(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

func newRun(plan *Plan, options Options, dir string) *run {
	return &run{plan: plan, record: newRecord(), options: options, dir: dir}
}

// start starts the stand-ins that are the instance's own, and the instance, and waits until that is ready.
func (r *run) start(backends *backendGroup) error {
	err := os.MkdirAll(r.dir, 0o700)
	if err != nil {
		return err
	}
	r.backends = backends.members
	var hosts []endpointEntry
	for i, backend := range r.backends {
		hosts = append(hosts, endpointEntry{Host: fmt.Sprintf("backend-%d", i), Dial: backend.listener.Addr().String(), Health: "active", Share: 1})
	}
	if r.discovery, err = startDiscovery(r.plan, r.record, hosts); err != nil {
		return err
	}
	if r.counter, err = startCounter(); err != nil {
		return err
	}
	r.process, err = r.startInstance()
	return err
}

// close ends what still runs.
func (r *run) close() {
	r.ended.Store(true)
	if r.process != nil {
		r.process.kill()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	if r.counter != nil {
		r.counter.close()
	}
}

// over reports whether clients stop.
func (r *run) over() bool {
	for r.paused.Load() && !r.ended.Load() {
		time.Sleep(retryPause)
	}
	return r.ended.Load()
}

// connectionsCome reports whether new connections still come.
func (r *run) connectionsCome() bool {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	return r.record.termAt == 0 || r.record.now() < r.record.termAt+r.plan.NewConnections
}

// play sends traffic and plays the plan until the process has ended, or is killed.
func (r *run) play(ctx context.Context) error {
	pid := r.process.cmd.Process.Pid
	stopOwn := r.own.Start(r.record.now)
	defer stopOwn()
	stopWaits := r.waits.Start(r.record.now, func() []int { return []int{pid} })
	defer stopWaits()
	crowd := r.startCrowd()
	defer crowd()
	for number := range r.plan.Clients + r.plan.Resting {
		r.clients.Go(newClient(r, r.firstClient+number).play)
	}
	if r.plan.ChecksIdle {
		r.checkIdle(pid)
	}
	events := r.events()
	r.playEvents(ctx, events)
	r.endProcess()
	r.ended.Store(true)
	stopOwn()
	stopWaits()
	r.clients.Wait()
	return ctx.Err()
}

// report judges the run.
func (r *run) report() Report {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	report := Report{Seed: r.plan.Seed, Scenario: r.options.Scenario, Requests: len(r.record.order), Refused: r.record.refused, Plan: r.plan.String()}
	for _, req := range r.record.order {
		if req.status == 200 {
			report.Served++
		}
		for _, attempt := range req.attempts {
			report.Attempts++
			if attempt.firstByteAt > r.record.termAt {
				report.Late++
			}
		}
	}
	report.Exposure = r.exposure()
	report.Violations, report.Unjudged = r.split(r.judge())
	report.Unread = r.record.unread
	report.Unsettled = r.unsettledAttempts()
	report.EndedAfter = (r.record.endedAt - r.record.termAt).Seconds()
	report.OwnDelay = lateness.Max(r.own.Delays, 0, r.record.endedAt).Milliseconds()
	report.Waited = lateness.Sum(r.waits.Waits[0], 0, r.record.endedAt).Milliseconds()
	return report
}

// name is the seed, with the scenario if there is one.
func (report Report) name() string {
	if report.Scenario == NoScenario {
		return fmt.Sprintf("seed %d", report.Seed)
	}
	return fmt.Sprintf("seed %d of %s", report.Seed, report.Scenario)
}

// Print writes a line for the run, and one for each violation.
func (report Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%v: %d requests, %d served, %d attempts, %d of them after SIGTERM; %v; ended after %.2f s; soak %d ms late, instance waited %d ms for a processor; %d broken, %d not judged\n",
		report.name(), report.Requests, report.Served, report.Attempts, report.Late, report.Exposure, report.EndedAfter, report.OwnDelay, report.Waited, len(report.Violations), len(report.Unjudged))
	for _, v := range report.Violations {
		fmt.Fprintf(out, "  BROKEN %s: %s %s, %.3f s after SIGTERM\n", v.Rule, v.Request, v.What, v.At.Seconds())
	}
	for _, v := range report.Unjudged {
		fmt.Fprintf(out, "  not judged, the machine was late: %s: %s %s, %.3f s after SIGTERM\n", v.Rule, v.Request, v.What, v.At.Seconds())
	}
	if report.Unsettled > 0 {
		fmt.Fprintf(out, "  %d attempts at a backend that an older list named active after its notice\n", report.Unsettled)
	}
	if len(report.Violations) > 0 {
		fmt.Fprintf(out, "  plan: %s\n", report.Plan)
	}
}
