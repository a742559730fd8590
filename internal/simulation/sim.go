package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/invariant"
	"sandyard/proxy"
)

// The figures of a run's end.
const (
	recoveryTime        = 8 * time.Second  // after the last trouble, service must be back
	minRecoveredShare   = 0.75             // share of the tries that are served then
	minRecoveryRequests = 12               // tries that tell
	maxRecoveryLoad     = 0.5              // share of what the boxes can do, above which they may be right to refuse
	settleTime          = 25 * time.Second // on top of the longest time-out, until all that idles is closed
)

// The rules that a run is held to beside the five.
const (
	RuleLeak        = "nothing is left over"
	RuleRecovery    = "service is back"
	RuleOwnResponse = "answers are one's own"
	RuleCrash       = "nothing crashes"
)

// ruleNumber is a rule's position among the five and then those above.
func ruleNumber(rule string) int {
	return slices.Index(append(RuleNames(), RuleLeak, RuleRecovery, RuleOwnResponse, RuleCrash), rule)
}

// Finding is a broken rule.
type Finding struct {
	At   time.Duration
	Rule string
	What string
}

// Outcome is what a run came to.
type Outcome struct {
	Findings     []Finding // at most maxFindings
	Digest       uint64
	Events       uint64
	Virtual      time.Duration
	Verdict      invariant.Verdict
	Reached      map[string]int
	Requests     int     `json:"Tries"`
	ValueServed  float64 `json:"Worth"` // of what was served; late answers by their share
	ValueOffered float64 `json:"Asked"` // worth of all that was asked for
	CounterCalls uint64  `json:"Calls"` // that the keeper counted
}

const maxFindings = 20

// Options say how to run a script.
type Options struct {
	Log                    func(at time.Duration, what string) // every event, in order; nil for none
	Until                  time.Duration                       // 0: to the end
	ContinueAfterViolation bool                                // after the first broken rule
	Config                 *config.Config                      // nil: Deployment
	// Record, if set, is told of each front door's start and gives what takes its steps.
	Record func(number int, cfg *config.Config, seed uint64) func(proxy.DecisionStep)
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
	for _, d := range s.instances { // what the machines know is part of what happened
		if d.core != nil {
			s.digest(instanceStats, d.core.Stats.Counts())
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

// cellOfName tells which boxes discard each other's repeats; nil: all do.
func (s *Sim) cellOfName() func(box string) string {
	if s.script.Backends.Cells < 2 {
		return nil
	}
	return func(box string) string {
		for _, b := range s.backends {
			if b.name == box {
				return strconv.Itoa(s.cellOf(b))
			}
		}
		return ""
	}
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

func (s *Sim) report(rule, what string) {
	s.logEvent("BROKEN " + rule + ": " + what)
	s.digest(ruleBroken, []uint64{uint64(ruleNumber(rule))})
	if len(s.findings) < maxFindings {
		s.findings = append(s.findings, Finding{s.now, rule, what})
	}
	s.stopped = s.stopped || !s.options.ContinueAfterViolation
}

func (s *Sim) addHost(name, addr string) *host {
	h := &host{name: name, descriptors: -1}
	s.network.hosts[name] = h
	if addr != "" {
		s.network.byAddr[addr] = h
	}
	return h
}

func (s *Sim) instanceOf(h *host) int {
	for _, d := range s.instances {
		if d.host == h {
			return d.number
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
		d := &simInstance{sim: s, number: i, config: s.config.ForInstance(i, sc.Instances), clockRate: 1 + sc.Drift*(2*drift.Float64()-1)}
		d.host = s.addHost(fmt.Sprintf("door-%d", i), fmt.Sprintf("door-%d", i))
		s.instances = append(s.instances, d)
		s.clientPools = append(s.clientPools, &clientPool{sim: s, instance: i})
		d.start(s.instanceSeed(d))
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

func (s *Sim) instanceSeed(d *simInstance) uint64 {
	return s.script.Seed*1_000_003 + uint64(d.number)*97 + uint64(d.incarnation)
}

func (s *Sim) addBackend(name string) *simBackend {
	addr := fmt.Sprintf("10.1.%d.%d:80", len(s.backends)/200, len(s.backends)%200)
	b := &simBackend{sim: s, name: name, number: len(s.backends), address: addr, listedState: "up", host: s.addHost(name, addr)}
	s.backends = append(s.backends, b)
	return b
}

// writeEndpoints replaces the file of boxes; each door hears of it a moment later.
func (s *Sim) writeEndpoints() {
	s.endpointFile = s.endpointFileText()
	s.notifyInstances()
}

// parseEndpoints reads the list as it is now, once for all doors that read the same.
func (s *Sim) parseEndpoints() ([]config.Endpoint, error) {
	r := &s.parsedFile
	if r.endpoints == nil && r.err == nil || r.text != s.endpointFile {
		r.text = s.endpointFile
		r.endpoints, r.err = config.ParseEndpoints("boxes.yaml", []byte(r.text))
	}
	return slices.Clone(r.endpoints), r.err
}

func (s *Sim) notifyInstances() {
	rng := s.network.rng
	for _, d := range s.instances {
		s.scheduleAfter(time.Duration(rng.Int64N(int64(20*time.Millisecond))), d.thisIncarnation(d.pollEndpoints))
	}
}

// recordEndpointView notes what a door was told.
func (s *Sim) recordEndpointView(d *simInstance, boxes []config.Endpoint) {
	for _, b := range s.backends {
		i := slices.IndexFunc(boxes, func(c config.Endpoint) bool { return c.Name == b.name })
		if i < 0 || decision.EndpointState(boxes[i].State) != decision.Up {
			s.checker.EndpointRemoved(d.number, b.name, s.now)
		} else {
			s.checker.EndpointListed(d.number, b.name, s.now)
		}
	}
}

// beginFault begins a trouble of the script, and plans its end.
func (s *Sim) beginFault(e fault.Event) {
	s.logEvent(fmt.Sprintf("trouble %s %s %g", e.Verb, e.Target, e.Value))
	s.digest(faultBegun, []uint64{math.Float64bits(e.Value)}, string(e.Verb), e.Target)
	s.cover("trouble " + string(e.Verb))
	end := func(do func()) {
		if e.Duration > 0 {
			s.scheduleAfter(e.Duration, func() {
				s.logEvent(fmt.Sprintf("over %s %s", e.Verb, e.Target))
				s.digest(faultOver, nil, string(e.Verb), e.Target)
				do()
			})
		}
	}
	switch e.Verb {
	case fault.Surge:
		s.surges[e.Target] = e.Value
		end(func() { delete(s.surges, e.Target) })
	case fault.ClientsAbort:
		s.abortShare = e.Value
		end(func() { s.abortShare = 0 })
	case fault.SlowClients:
		s.slowShare = e.Value
		end(func() { s.slowShare = 0 })
	case fault.InvalidRequests:
		s.invalidShare = e.Value
		end(func() { s.invalidShare = 0 })
	case fault.MoveTraffic:
		for _, st := range s.config.Customers {
			if e.Target == "*" || e.Target == st.Name || e.Target == st.Plan {
				s.trafficMoves[st.Name]++
			}
		}
	case fault.Kill:
		s.killProcesses(e, end)
	case fault.Drain, fault.Replace, fault.Vanish:
		s.drainBackend(e)
	case fault.TornEndpointFile:
		s.endpointFile = s.endpointFile[:len(s.endpointFile)/2]
		s.notifyInstances()
		end(s.writeEndpoints)
		if e.Duration == 0 {
			s.scheduleAfter(time.Second, s.writeEndpoints)
		}
	case fault.Partition, fault.OneWayPartition, fault.AddedLatency, fault.Throttle:
		s.beginLinkFault(e, end)
	case fault.Pause, fault.NotAccepting, fault.DescriptorLimit:
		for _, h := range s.targets(e.Target) {
			switch e.Verb {
			case fault.Pause:
				h.pause(true)
				s.checker.InstancePaused(s.instanceOf(h), s.now, true)
				end(func() {
					h.pause(false)
					s.network.acceptPending(h)
					s.checker.InstancePaused(s.instanceOf(h), s.now, false)
				})
			case fault.NotAccepting:
				h.notAccepting = true
				end(func() { h.notAccepting = false; s.network.acceptPending(h) })
			default:
				h.descriptors = max(0, int(e.Value)-len(h.conns))
				end(func() { h.descriptors = -1; s.network.acceptPending(h) })
			}
		}
	default:
		if s.counter != nil && e.Target == "keeper" {
			s.counter.setFault(e.Verb, e.Value, true)
			end(func() { s.counter.setFault(e.Verb, e.Value, false) })
			return
		}
		for _, b := range s.backends {
			if e.Target == "*" || e.Target == "boxes" || e.Target == b.name {
				b.setFault(e.Verb, e.Value, true)
				end(func() { b.setFault(e.Verb, e.Value, false) })
			}
		}
	}
}

func (b *simBackend) setFault(v fault.Verb, value float64, on bool) {
	b.model.Set(b.sim.now, v, value, on)
	if v == fault.ExtraResponse {
		b.extraResponses = on
	}
	if v == fault.Refuse && !b.model.HasCollapsed() {
		b.setRefusing(on)
	}
	if b.host.alive {
		b.advance()
	}
}

// targets finds processes by name; * stands for all boxes and doors.
func (s *Sim) targets(name string) (hs []*host) {
	for _, d := range s.instances {
		if name == "*" || name == "doors" || name == d.host.name {
			hs = append(hs, d.host)
		}
	}
	for _, b := range s.backends {
		if name == "*" || name == "boxes" || name == b.name {
			hs = append(hs, b.host)
		}
	}
	if s.counter != nil && name == "keeper" {
		hs = append(hs, s.counter.host)
	}
	if name == "clients" {
		hs = append(hs, s.clientHost)
	}
	return hs
}

func (s *Sim) beginLinkFault(e fault.Event, end func(func())) {
	a, b, two := strings.Cut(e.Target, "/")
	from, to := s.targets(a), s.targets(b)
	if !two {
		to = append(s.targets("*"), s.targets("keeper")...)
	}
	for _, x := range from {
		for _, y := range to {
			if x == y {
				continue
			}
			ways := []*link{s.network.link(x, y), s.network.link(y, x)}
			if e.Verb == fault.OneWayPartition {
				ways = ways[:1]
			}
			for _, l := range ways {
				switch e.Verb {
				case fault.AddedLatency:
					l.addedLatency = time.Duration(e.Value * float64(time.Millisecond))
					end(func() { l.addedLatency = 0 })
				case fault.Throttle:
					l.bytesPerSecond = max(100, e.Value)
					end(func() { l.bytesPerSecond = 0 })
				default:
					l.blocked++
					end(func() { l.blocked-- })
				}
			}
		}
	}
}

// killProcesses ends processes at once; they start anew after the trouble's time.
func (s *Sim) killProcesses(e fault.Event, end func(func())) {
	for _, d := range s.instances {
		if e.Target != d.host.name && e.Target != "doors" || !d.host.alive {
			continue
		}
		s.checker.InstanceDown(d.number, s.now)
		d.kill()
		end(func() {
			s.checker.InstanceUp(d.number, s.now)
			// who asks on a connection of the old process has not heard of its end yet
			s.checker.InstancePaused(d.number, s.now+s.roundTripAllowance(), false)
			d.start(s.instanceSeed(d))
		})
	}
	for _, b := range s.backends {
		if e.Target != b.name && e.Target != "boxes" || !b.host.alive {
			continue
		}
		b.incarnation++
		b.conns = nil
		s.network.kill(b.host)
		b.host.accept = nil
		end(func() {
			b.start(true)
			s.writeEndpoints() // with its new time of start
		})
	}
	if s.counter != nil && e.Target == "keeper" && s.counter.host.alive {
		s.network.kill(s.counter.host)
		s.counter.conns = nil
		s.counter.host.accept = nil
		s.counter.earlierIncrements += s.counter.model.Increments
		s.counter.model = emulator.NewCounter()
		end(s.counter.start)
	}
}

// drainBackend lists a box as draining and then as gone, with a cold replacement if asked for.
func (s *Sim) drainBackend(e fault.Event) {
	for _, b := range s.backends {
		if b.name != e.Target || b.listedState != "up" || !b.host.alive {
			continue
		}
		b.listedState = "draining"
		if e.Verb == fault.Vanish {
			b.listedState = "gone"
		}
		s.writeEndpoints()
		s.scheduleAfter(max(e.Duration, s.config.Settings.DrainGrace), func() {
			b.listedState = "gone"
			if e.Verb == fault.Replace {
				s.replacements++
				s.addBackend(fmt.Sprintf("%s-r%d", e.Target, s.replacements)).start(true)
			}
			s.writeEndpoints()
			s.scheduleAfter(10*time.Second, func() {
				b.incarnation++
				b.conns = nil
				s.network.kill(b.host)
				b.host.accept = nil
			})
		})
		return
	}
}

// checkQuiescent looks at what is left once all is quiet.
func (s *Sim) checkQuiescent() {
	s.checker.Overdue(s.now)
	for _, d := range s.instances {
		if !d.host.alive {
			continue
		}
		requests, _, lines := d.core.Sizes()
		if !d.core.Quiescent() || d.core.Unanswered() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d exchanges, %d owed", d.number, requests, d.core.Unanswered()))
		}
		if n := d.shared.ReservedBytes.Load(); n != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d bytes of bodies", d.number, n))
		}
		if len(d.clients) > 0 || d.shared.ClientConns.Load() != 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d connections of clients, counts %d", d.number, len(d.clients), d.shared.ClientConns.Load()))
		}
		if lines != len(d.backendConns) || lines > 0 {
			s.report(RuleLeak, fmt.Sprintf("door %d holds %d lines to boxes, its runtime %d", d.number, lines, len(d.backendConns)))
		}
	}
	cores := 0.0
	for _, b := range s.backends {
		if b.listedState == "up" && b.host.alive && !b.model.HasCollapsed() {
			cores += float64(s.script.Backends.Cores)
		}
	}
	load := s.script.Rate * time.Duration(s.script.Backends.Work).Seconds() / max(cores, 1e-9)
	if load < maxRecoveryLoad && s.sentAfterFaults >= minRecoveryRequests && float64(s.servedAfterFaults) < minRecoveredShare*float64(s.sentAfterFaults) {
		s.report(RuleRecovery, fmt.Sprintf("%d of %d tries were served later than %v after the last trouble", s.servedAfterFaults, s.sentAfterFaults, recoveryTime))
	}
}

// builtInDeployment parses Deployment once; runs side by side share it.
var builtInDeployment = sync.OnceValues(Deployment)
