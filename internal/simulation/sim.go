// Package simulation runs whole deployments in one process and in virtual time: proxy instances that run the same state
// machines as package server does, emulated backends and counters, clients, and a network that transports bytes. One
// event queue and one seed determine everything that happens: the same script gives the same events, byte for byte, on
// any machine.
//
// A run starts no goroutine and reads no clock. A Sim must be used by one goroutine; Sweep and Hunt run many concurrently.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/invariant"
	"sandyard/proxy"
)

// maxKeyTTL limits the time for which clients rely on an idempotency key, whatever the classes configure.
const maxKeyTTL = 10 * time.Second

// Options are the options of a run.
type Options struct {
	Log                    func(at time.Duration, what string) // called with every event, in order; nil: no log
	Until                  time.Duration                       // stops the run at this time; 0: at its end
	ContinueAfterViolation bool                                // does not end the run at a violation
	Config                 *config.Config                      // nil: the result of Deployment()
	// Record, if set, is called at each start of an instance. It returns the function that is called with the instance's
	// decision steps.
	Record func(number int, cfg *config.Config, seed uint64) func(proxy.DecisionStep)
}

// Sim is a run in progress.
type Sim struct {
	*clock
	options      Options
	script       *Script
	config       *config.Config
	network      *network
	instances    []*simInstance
	backends     []*simBackend
	counter      *simCounter
	clientHost   *host // of all clients
	checker      *invariant.Checker
	findings     []Finding
	reached      map[string]int
	endpointFile string
	parsedFile   struct { // the result of the last parse of the endpoint file
		text      string
		endpoints []config.Endpoint
		err       error
	}
	keyTTL            time.Duration
	requestInstance   int                // instance on whose connection a backend is receiving or executing a request
	sentAt            time.Duration      // when the instance began to send that request
	replacements      int                // number of replacements of backends so far
	trafficRNG        *rand.Rand         // draws the customers of operations and the times between operations
	surges            map[string]float64 // factor of the traffic, by customer, plan or fault.TargetAll
	abortShare        float64            // share of the requests whose clients disconnect early
	slowShare         float64            // share of the operations whose clients send and read slowly
	invalidShare      float64            // share of the operations whose clients send bytes that are not a valid request
	clientPools       []*clientPool      // by instance
	trafficMoves      map[string]int     // by customer: how often a fault moved its traffic to its next instance
	requests          []*invariant.Request
	outcomes          map[string]invariant.Outcome
	operations        int           // number of operations that have started
	faultsEndAt       time.Duration // end of the last fault, and of the slow start after a drain or replacement
	stopped           bool
	servedAfterFaults int // of sentAfterFaults
	sentAfterFaults   int // requests that were sent recoveryTime or more after the last fault
}

// Run runs a script to its end, or to the first violation. It returns an error only if Options.Config is nil and
// Deployment returns one.
func Run(script *Script, opt Options) (Outcome, error) {
	cfg := opt.Config
	if cfg == nil {
		var err error
		if cfg, err = builtInDeployment(); err != nil {
			return Outcome{}, err
		}
	}
	s := newSim(script, cfg, opt)
	s.start()
	l := s.config.Limits
	limit := script.trafficTime() + settleTime + time.Duration(max(l.IdleTimeout, l.BackendIdleTimeout, l.HeadTimeout, l.BodyTimeout))
	if opt.Until > 0 {
		limit = min(limit, opt.Until)
	}
	s.runEvents(limit)
	if !s.stopped && opt.Until == 0 {
		s.now = limit
		s.checkQuiescent()
	}
	return s.outcome(), nil
}

func newSim(script *Script, cfg *config.Config, opt Options) *Sim {
	s := &Sim{clock: newClock(script.Seed), options: opt, script: script, reached: map[string]int{}, surges: map[string]float64{},
		trafficMoves: map[string]int{}, outcomes: map[string]invariant.Outcome{}, trafficRNG: randomSource(script.Seed, "traffic")}
	s.log = opt.Log
	s.config = script.applyTo(cfg).ForInstance(0, script.Instances)
	s.network = &network{clock: s.clock, rng: randomSource(script.Seed, "net"), latency: time.Duration(script.Net.Latency), jitter: script.Net.Jitter,
		splitProbability: script.Net.SplitProbability, byAddr: map[string]*host{}, links: map[[2]*host]*link{}}
	s.clientHost = s.addHost("clients", "")
	s.clientHost.alive = true
	s.keyTTL = maxKeyTTL
	for _, class := range s.config.Settings.Classes {
		if class.Idempotency == decision.IdempotentByKey {
			s.keyTTL = min(s.keyTTL, class.KeyTTL)
		}
	}
	s.checker = invariant.NewChecker(s.limits(cfg))
	s.checker.OnViolation = func(rule int, what string) { s.report(s.checker.Rules()[rule].Name, what) }
	return s
}

// limits returns the limits for the checker. Ceilings are those of cfg multiplied by the script's PlanFactor.
func (s *Sim) limits(cfg *config.Config) invariant.Limits {
	ceilings := map[string]invariant.Ceiling{}
	for _, p := range cfg.Plans {
		if p.Ceiling.Rate > 0 {
			// Restarts get no extra allowance: a starting instance grants its share of the slack at once, and what it admits
			// then counts against the configured slack.
			x := s.script.PlanFactor
			ceilings[p.Name] = invariant.Ceiling{Rate: x * float64(p.Ceiling.Rate), Burst: x * p.Ceiling.Burst, Slack: x * p.Ceiling.Slack}
		}
	}
	set := s.config.Settings
	return invariant.Limits{
		DrainGrace:     set.DrainGrace,
		Slack:          4 * s.network.latency, // a time, which allows for the network's delays and jitter; latency is the shortest delay in one direction
		KeyTTL:         s.keyTTL,
		SlowStartShare: set.SlowStartShare,
		SlowStartTime:  set.SlowStartTime,
		OverloadFactor: set.OverloadFactor,
		OverloadTime:   set.OverloadTime,
		Cores:          float64(s.script.Backends.Cores),
		Ceilings:       ceilings,
		CellOf:         s.cellOfName(),
	}
}

// outcome returns the result of the run. The state machines' counts are part of the digest.
func (s *Sim) outcome() Outcome {
	o := Outcome{Findings: s.findings, Events: s.events, Virtual: s.now, Reached: s.reached, Requests: len(s.requests)}
	for _, inst := range s.instances {
		if inst.core != nil {
			s.digest(instanceStats, inst.core.Stats.Counts())
		}
	}
	o.Digest = s.digestState.Sum64()
	o.Verdict = invariant.Judge(s.checker, invariant.Summarize(s.requests, s.outcomes))
	for _, p := range o.Verdict.Plans {
		o.ValueServed, o.ValueOffered = o.ValueServed+p.ValueServed, o.ValueOffered+p.ValueOffered
	}
	if s.counter != nil {
		o.CounterCalls = s.counter.earlierIncrements + s.counter.model.Increments
	}
	return o
}

// runEvents runs the events up to limit. A panic is reported as a violation.
func (s *Sim) runEvents(limit time.Duration) {
	defer func() {
		if x := recover(); x != nil {
			s.stopped = true
			s.report(RuleCrash, fmt.Sprintf("%v\n%s", x, debug.Stack()))
		}
	}()
	for !s.stopped && s.step(limit) {
	}
}

// countReached counts that the run reached a situation, such as an ending or an error path. Outcome.Reached has the counts.
func (s *Sim) countReached(what string) { s.reached[what]++ }

func (s *Sim) addHost(name, addr string) *host {
	h := &host{name: name, descriptors: -1}
	if addr != "" {
		s.network.byAddr[addr] = h
	}
	return h
}

// noInstance is the instance number of hosts that are not instances. It must differ from invariant.AllInstances.
const noInstance = -2

// instanceOf returns the number of the instance that runs on a host, or noInstance.
func (s *Sim) instanceOf(h *host) int {
	for _, inst := range s.instances {
		if inst.host == h {
			return inst.number
		}
	}
	return noInstance
}

// start starts all processes, and schedules the faults and the traffic.
func (s *Sim) start() {
	sc := s.script
	if addr := s.config.Counter.Address; addr != "" {
		s.counter = &simCounter{sim: s, host: s.addHost("keeper", addr), model: emulator.NewCounter()}
		s.counter.start()
	}
	for i := range sc.Backends.Count {
		s.addBackend(fmt.Sprintf("box-%d", i)).start(false)
	}
	s.endpointFile = s.endpointFileText()
	drift := randomSource(sc.Seed, "drift")
	for i := range sc.Instances {
		inst := &simInstance{sim: s, number: i, config: s.config.ForInstance(i, sc.Instances), clockRate: 1 + sc.Drift*(2*drift.Float64()-1)}
		inst.host = s.addHost(fmt.Sprintf("door-%d", i), fmt.Sprintf("door-%d", i))
		s.instances = append(s.instances, inst)
		s.clientPools = append(s.clientPools, &clientPool{sim: s, instance: i})
		inst.start(s.instanceSeed(inst))
	}
	for _, e := range sc.Events {
		s.faultsEndAt = max(s.faultsEndAt, e.At+e.Duration)
		if e.Verb == fault.Replace || e.Verb == fault.Drain {
			s.faultsEndAt = max(s.faultsEndAt, e.At+e.Duration+s.config.Settings.SlowStartTime)
		}
		s.schedule(e.At, func() { s.beginFault(e) })
	}
	s.schedule(0, s.generateRequest)
}

func (s *Sim) instanceSeed(inst *simInstance) uint64 {
	return s.script.Seed*1_000_003 + uint64(inst.number)*97 + uint64(inst.incarnation)
}

func (s *Sim) addBackend(name string) *simBackend {
	addr := fmt.Sprintf("10.1.%d.%d:80", len(s.backends)/200, len(s.backends)%200)
	b := &simBackend{sim: s, name: name, number: len(s.backends), address: addr, listedState: listedUp, host: s.addHost(name, addr)}
	s.backends = append(s.backends, b)
	return b
}
