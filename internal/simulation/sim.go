// Package simulation runs whole deployments in one process and in virtual time: proxy instances made of the same state
// machines that package server runs, emulated backends and counters, clients, and a network that carries bytes. One queue of events and
// one seed decide everything that happens: the same script gives the same events, byte for byte, on any machine.
//
// A run starts no goroutine and reads no clock. A Sim has one owner; Sweep and Hunt run many side by side.
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

// maxKeyTTL bounds the time for which clients rely on an idempotency key, whatever classes say.
const maxKeyTTL = 10 * time.Second

// Options says how to run a script.
type Options struct {
	Log                    func(at time.Duration, what string) // called with every event, in order; nil for none
	Until                  time.Duration                       // stop at this time; 0: at the end
	ContinueAfterViolation bool                                // instead of ending the run
	Config                 *config.Config                      // nil: that of Deployment
	// Record, if set, is called with each instance's start and returns what is called with its steps.
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
	parsedFile   struct { // the endpoint file when it was last parsed
		text      string
		endpoints []config.Endpoint
		err       error
	}
	keyTTL            time.Duration
	sendingInstance   int           // whose connection a backend reads,
	sentAt            time.Duration // and when the request on it was sent
	replacements      int
	traffic           *rand.Rand
	surges            map[string]float64
	abortShare        float64
	slowShare         float64
	invalidShare      float64
	clientPools       []*clientPool // by instance
	trafficMoves      map[string]int
	requests          []*invariant.Request
	outcomes          map[string]invariant.Outcome
	operations        int
	faultsOverAt      time.Duration // the end of the last fault
	stopped           bool
	servedAfterFaults int // requests sent recoveryTime after the last fault
	sentAfterFaults   int
}

// Run runs a script to its end, or to the first violation. The error is one of the configuration.
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
		trafficMoves: map[string]int{}, outcomes: map[string]invariant.Outcome{}, traffic: stream(script.Seed, "traffic")}
	s.log = opt.Log
	s.config = script.applyTo(cfg).ForInstance(0, script.Instances)
	s.network = &network{clock: s.clock, rng: stream(script.Seed, "net"), latency: time.Duration(script.Net.Latency), jitter: script.Net.Jitter,
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

// limits returns what the rules compare with. Ceilings are those of a configuration, times the script's factor.
func (s *Sim) limits(cfg *config.Config) invariant.Limits {
	ceilings := map[string]invariant.Ceiling{}
	for _, p := range cfg.Plans {
		if p.Ceiling.Rate > 0 {
			// An instance that starts takes its share of the slack for granted, so that a restart costs that much more.
			x := s.script.PlanFactor
			ceilings[p.Name] = invariant.Ceiling{Rate: x * float64(p.Ceiling.Rate), Burst: x * p.Ceiling.Burst, Slack: x * p.Ceiling.Slack}
		}
	}
	set := s.config.Settings
	return invariant.Limits{
		DrainGrace:     set.DrainGrace,
		Slack:          4 * s.network.latency,
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

// outcome returns the result of the run. What the state machines counted is part of the digest.
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

// runEvents runs events until a time. A panic is a violation like any other.
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

func (s *Sim) cover(what string) { s.reached[what]++ }

func (s *Sim) addHost(name, addr string) *host {
	h := &host{name: name, descriptors: -1}
	if addr != "" {
		s.network.byAddr[addr] = h
	}
	return h
}

// noInstance is the number of hosts that are no instance; invariant.AllInstances is another.
const noInstance = -2

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
	drift := stream(sc.Seed, "drift")
	for i := range sc.Instances {
		inst := &simInstance{sim: s, number: i, config: s.config.ForInstance(i, sc.Instances), clockRate: 1 + sc.Drift*(2*drift.Float64()-1)}
		inst.host = s.addHost(fmt.Sprintf("door-%d", i), fmt.Sprintf("door-%d", i))
		s.instances = append(s.instances, inst)
		s.clientPools = append(s.clientPools, &clientPool{sim: s, instance: i})
		inst.start(s.instanceSeed(inst))
	}
	for _, e := range sc.Events {
		s.faultsOverAt = max(s.faultsOverAt, e.At+e.Duration)
		if e.Verb == fault.Replace || e.Verb == fault.Drain {
			s.faultsOverAt = max(s.faultsOverAt, e.At+e.Duration+s.config.Settings.SlowStartTime)
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
