// Package soak runs a proxy instance as a real process through its shutdown and checks the traffic on its sockets against the
// rules of the platform. The instance is "sandyard node" on loopback, with emulated discovery, backends and counter. Clients
// keep using open connections until SIGKILL. Series of signals, changes of the endpoint list, silent watches and hanging
// backends race with the shutdown.
//
// A plan is drawn from a seed alone (plan.go). Checks are strict (check.go). If a time limit was exceeded by no more than the
// scheduling delay of the machine at that moment, the violation is reported separately, and a run without other violations is
// inconclusive.
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

// Options configure runs.
type Options struct {
	// Command returns the executable and the leading arguments that run "sandyard".
	Command func(program string) (exe string, args []string)
	// LogDir is the folder for logs and configurations. If it is empty, a temporary folder is used and removed.
	LogDir string
	// Scenario modifies the drawn plans.
	Scenario Scenario
}

// Report is the result of a run.
type Report struct {
	Seed                 uint64      `json:"seed"`
	Scenario             Scenario    `json:"scenario,omitempty"`
	Requests             int         `json:"requests"`
	Served               int         `json:"served"`
	Attempts             int         `json:"attempts"`
	AttemptsAfterSIGTERM int         `json:"attempts_after_sigterm"`
	Exposure             Exposure    `json:"exposure"`
	Refused              int         `json:"connections_refused"`
	Unread               int         `json:"connections_unread"` // new connections that ended unanswered while idle connections filled the descriptors
	EndedAfter           float64     `json:"ended_after_s"`      // from SIGTERM to the end of the process (s)
	OwnDelay             int64       `json:"own_delay_ms"`       // greatest scheduling delay of the soak process (ms)
	ProcessorWait        int64       `json:"waited_ms"`          // total time that the threads of the instance waited for a processor (ms)
	Violations           []Violation `json:"violations"`
	Unjudged             []Violation `json:"unjudged"`                     // violations that a delay of the machine may explain
	Unsettled            int         `json:"attempts_unsettled,omitempty"` // attempts after an older list withdrew the notice of their backend; see OlderList
	Plan                 string      `json:"plan"`
}

// run is the state of a run of one instance.
type run struct {
	plan            *Plan
	record          *record
	options         Options
	dir             string
	instanceAddress string
	discovery       *discovery
	counter         *counter
	backends        []*backend
	firstClient     int // number of the first client
	process         *instanceProcess
	ended           atomic.Bool // clients send no further requests
	paused          atomic.Bool // clients send nothing until it is cleared
	ownDelays       lateness.Monitor
	processorWaits  lateness.ProcessMonitor
	clients         sync.WaitGroup
	batch           []*client // connected clients that are to send at the same time

	// The following fields are guarded by the mutex of record.
	connsWithExtraBytes int           // idle connections on which unsolicited bytes arrived
	silentSince         time.Duration // when the watches fell silent; 0: they did not
	movedAt             time.Duration // when discovery and counter moved to their second addresses; 0: they did not
	staleStartAt        time.Duration // when the process started with a stale endpoint list; 0: the list is not stale
}

// Run executes the plan of a seed. It returns an error only if the run itself fails; broken rules are in the report.
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
	runPlan := runSingle
	if plan.Fleet.Instances > 0 {
		runPlan = runFleet
	}
	report, err := runPlan(ctx, plan, options, dir)
	if err != nil {
		return Report{}, fmt.Errorf("seed %d: %w", seed, err)
	}
	return report, nil
}

// runSingle executes a plan with one instance.
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
	if err := r.execute(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

func newRun(plan *Plan, options Options, dir string) *run {
	return &run{plan: plan, record: newRecord(), options: options, dir: dir}
}

// start starts the instance, with a discovery and a counter of its own, and waits until the instance is ready.
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

// close stops everything that still runs.
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

// isOver waits while clients are paused, and then reports whether the run has ended.
func (r *run) isOver() bool {
	for r.paused.Load() && !r.ended.Load() {
		time.Sleep(retryPause)
	}
	return r.ended.Load()
}

// newConnectionsAllowed reports whether clients may still open new connections.
func (r *run) newConnectionsAllowed() bool {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	return r.record.termAt == 0 || r.record.now() < r.record.termAt+r.plan.NewConnectionTime
}

// execute sends traffic and executes the plan until the process has ended or is killed.
func (r *run) execute(ctx context.Context) error {
	pid := r.process.cmd.Process.Pid
	stopDelays := r.ownDelays.Start(r.record.now)
	defer stopDelays()
	stopWaits := r.processorWaits.Start(r.record.now, func() []int { return []int{pid} })
	defer stopWaits()
	closeIdleConnections := r.openIdleConnections()
	defer closeIdleConnections()
	for number := range r.plan.Clients + r.plan.LongPauseClients {
		r.clients.Go(newClient(r, r.firstClient+number).sendRequests)
	}
	if r.plan.ChecksIdle {
		r.checkIdle(pid)
	}
	events := r.events()
	r.runEvents(ctx, events)
	r.endProcess()
	r.ended.Store(true)
	stopDelays()
	stopWaits()
	r.clients.Wait()
	return ctx.Err()
}

// report checks the run and returns its result.
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
				report.AttemptsAfterSIGTERM++
			}
		}
	}
	report.Exposure = r.exposure()
	report.Violations, report.Unjudged = r.separateUnjudged(r.judge())
	report.Unread = r.record.unread
	report.Unsettled = r.attemptsAfterWithdrawal()
	report.EndedAfter = (r.record.endedAt - r.record.termAt).Seconds()
	report.OwnDelay = lateness.Max(r.ownDelays.Delays, 0, r.record.endedAt).Milliseconds()
	report.ProcessorWait = lateness.Sum(r.processorWaits.Waits[0], 0, r.record.endedAt).Milliseconds()
	return report
}

// name names the run by its seed, and by its scenario if there is one.
func (report Report) name() string {
	if report.Scenario == NoScenario {
		return fmt.Sprintf("seed %d", report.Seed)
	}
	return fmt.Sprintf("seed %d of %s", report.Seed, report.Scenario)
}

// Print writes a line for the run and a line for each violation, for the attempts that Unsettled counts, and for the plan if a rule
// was broken.
func (report Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%v: %d requests, %d served, %d attempts, %d of them after SIGTERM; %v; ended after %.2f s; soak %d ms late, instance waited %d ms for a processor; %d broken, %d not judged\n",
		report.name(), report.Requests, report.Served, report.Attempts, report.AttemptsAfterSIGTERM, report.Exposure, report.EndedAfter, report.OwnDelay, report.ProcessorWait, len(report.Violations), len(report.Unjudged))
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
