// Package simulation runs whole deployments in one process and in virtual time: front doors made of the same machines that
// package sockets runs, stand-in boxes and keepers, clients, and a network that carries bytes. One queue of events and
// one seed decide everything that happens: the same script gives the same events, byte for byte, on any machine.
//
// Nothing here starts a goroutine or reads a clock. A Sim has one owner; any number may run side by side.
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

// Options say how to run a script.
type Options struct {
	Log                    func(at time.Duration, what string) // every event, in order; nil for none
	Until                  time.Duration                       // 0: to the end
	ContinueAfterViolation bool                                // after the first broken rule
	Config                 *config.Config                      // nil: Deployment
	// Record, if set, is told of each front door's start and gives what takes its steps.
	Record func(number int, cfg *config.Config, seed uint64) func(proxy.Step)
}

// Sim is a run under way.
type Sim struct {
	*clock
	options      Options
	script       *Script
	config       *config.Config
	network      *network
	instances    []*simInstance
	backends     []*simBackend
	counter      *simCounter
	clientHost   *host // where clients are
	checker      *invariant.Checker
	findings     []Finding
	reached      map[string]int
	endpointFile string
	parsedFile   struct { // what the list came to when it was last read
		text      string
		endpoints []config.Endpoint
		err       error
	}
	keyTTL            time.Duration
	sendingInstance   int           // the door whose connection a box reads,
	sentAt            time.Duration // and when the request on it was sent
	replacements      int
	traffic           *rand.Rand
	surges            map[string]float64
	abortShare        float64
	slowShare         float64
	invalidShare      float64
	clientPools       []*clientPool // by door: idle and busy connections
	trafficMoves      map[string]int
	requests          []*invariant.Request
	outcomes          map[string]invariant.Outcome
	operations        int
	faultsOverAt      time.Duration // when the last trouble has ended
	stopped           bool
	servedAfterFaults int // in the tail
	sentAfterFaults   int
}

// Run plays a script.
func Run(script *Script, opt Options) (Outcome, error) {
	cfg := opt.Config
	if cfg == nil {
		var err error
		if cfg, err = builtInDeployment(); err != nil {
			return Outcome{}, err
		}
	}
	s := &Sim{clock: newClock(script.Seed), options: opt, script: script, reached: map[string]int{}, surges: map[string]float64{},
		trafficMoves: map[string]int{}, outcomes: map[string]invariant.Outcome{}, traffic: stream(script.Seed, "traffic")}
	s.log = opt.Log
	s.config = script.applyTo(cfg).ForInstance(0, script.Instances)
	s.network = &network{clock: s.clock, rng: stream(script.Seed, "net"), latency: time.Duration(script.Net.Latency), jitter: script.Net.Jitter,
		splitProbability: script.Net.SplitProbability, hosts: map[string]*host{}, byAddr: map[string]*host{}, links: map[[2]*host]*link{}}
	s.clientHost = s.addHost("clients", "")
	s.clientHost.alive = true
	set := s.config.Settings
	s.keyTTL = 10 * time.Second
	for _, k := range set.Classes {
		if k.Idempotency == decision.IdempotentByKey {
			s.keyTTL = min(s.keyTTL, k.KeyTTL)
		}
	}
	ceilings := map[string]invariant.Ceiling{}
	for _, p := range cfg.Plans {
		if p.Ceiling.Rate > 0 {
			// A door that starts takes its split of the slack for granted, so that a restart costs that much more.
			x := script.PlanFactor
			ceilings[p.Name] = invariant.Ceiling{Rate: x * float64(p.Ceiling.Rate), Burst: x * p.Ceiling.Burst, Slack: x * p.Ceiling.Slack}
		}
	}
	s.checker = invariant.NewChecker(invariant.Limits{DrainGrace: set.DrainGrace, Slack: 4 * s.network.latency, KeyTTL: s.keyTTL, SlowStartShare: set.SlowStartShare,
		SlowStartTime: set.SlowStartTime, OverloadFactor: set.OverloadFactor, OverloadTime: set.OverloadTime, Cores: float64(script.Backends.Cores), Ceilings: ceilings, CellOf: s.cellOfName()})
	s.checker.OnViolation = func(rule int, what string) { s.report(s.checker.Rules()[rule].Name, what) }
	s.start()
	end := time.Duration(script.Seconds * float64(time.Second))
	l := s.config.Limits
	limit := end + settleTime + time.Duration(max(l.IdleTimeout, l.BackendIdleTimeout, l.HeadTimeout, l.BodyTimeout))
	if opt.Until > 0 {
		limit = min(limit, opt.Until)
	}
	s.runEvents(limit)
	if !s.stopped && opt.Until == 0 {
		s.now = limit
		s.checkQuiescent()
	}
	o := Outcome{Findings: s.findings, Events: s.events, Virtual: s.now, Reached: s.reached, Requests: len(s.requests)}
	for _, inst := range s.instances { // what the machines know is part of what happened
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
	return o, nil
}

// runEvents makes events happen until a time. Code that panics has broken a rule like any other.
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
	s.network.hosts[name] = h
	if addr != "" {
		s.network.byAddr[addr] = h
	}
	return h
}

func (s *Sim) instanceOf(h *host) int {
	for _, inst := range s.instances {
		if inst.host == h {
			return inst.number
		}
	}
	return -2
}

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
	b := &simBackend{sim: s, name: name, number: len(s.backends), address: addr, listedState: "up", host: s.addHost(name, addr)}
	s.backends = append(s.backends, b)
	return b
}
