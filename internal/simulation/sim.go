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
	recovery   = 8 * time.Second  // after the last trouble, service must be back
	leastBack  = 0.75             // share of the tries that are served then
	fewestBack = 12               // tries that tell
	mostLoad   = 0.5              // share of what the boxes can do, above which they may be right to refuse
	afterwards = 25 * time.Second // on top of the longest time-out, until all that idles is closed
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
	Findings     []Finding // at most mostFindings
	Digest       uint64
	Events       uint64
	Virtual      time.Duration
	Verdict      invariant.Verdict
	Reached      map[string]int
	Requests     int
	ValueServed  float64 // of what was served; late answers by their share
	ValueOffered float64 // worth of all that was asked for
	CounterCalls uint64  // that the keeper counted
}

const mostFindings = 20

// Options say how to run a script.
type Options struct {
	Log    func(at time.Duration, what string) // every event, in order; nil for none
	Until  time.Duration                       // 0: to the end
	GoOn   bool                                // after the first broken rule
	Config *config.Config                      // nil: Deployment
	// Record, if set, is told of each front door's start and gives what takes its steps.
	Record func(number int, cfg *config.Config, seed uint64) func(proxy.DecisionStep)
}

// Sim is a run under way.
type Sim struct {
	*clock
	opt      Options
	script   *Script
	cfg      *config.Config
	net      *network
	doors    []*vdoor
	boxes    []*vbox
	keeper   *vkeeper
	world    *host // where clients are
	check    *invariant.Checker
	findings []Finding
	reached  map[string]int
	list     string
	read     struct { // what the list came to when it was last read
		text  string
		boxes []config.Endpoint
		err   error
	}
	keyTTL    time.Duration
	receiving int           // the door whose connection a box reads,
	sent      time.Duration // and when the request on it was sent
	replaced  int
	traffic   *rand.Rand
	surge     map[string]float64
	quit      float64
	drip      float64
	noise     float64
	askers    []*asker // by door: idle and busy connections
	moved     map[string]int
	tries     []*invariant.Request
	ends      map[string]invariant.End
	ops       int
	lastCalm  time.Duration // when the last trouble has ended
	stop      bool
	served    int // in the tail
	asked     int
}

// Run plays a script.
func Run(script *Script, opt Options) (Outcome, error) {
	cfg := opt.Config
	if cfg == nil {
		var err error
		if cfg, err = deployment(); err != nil {
			return Outcome{}, err
		}
	}
	s := &Sim{clock: newClock(script.Seed), opt: opt, script: script, reached: map[string]int{}, surge: map[string]float64{},
		moved: map[string]int{}, ends: map[string]invariant.End{}, traffic: stream(script.Seed, "traffic")}
	s.log = opt.Log
	s.cfg = script.adapt(cfg).ForInstance(0, script.Instances)
	s.net = &network{clock: s.clock, rng: stream(script.Seed, "net"), latency: time.Duration(script.Net.Latency), jitter: script.Net.Jitter,
		split: script.Net.Split, hosts: map[string]*host{}, byAddr: map[string]*host{}, links: map[[2]*host]*link{}}
	s.world = s.addHost("clients", "")
	s.world.alive = true
	set := s.cfg.Settings
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
			x := script.Plans
			ceilings[p.Name] = invariant.Ceiling{Rate: x * float64(p.Ceiling.Rate), Burst: x * p.Ceiling.Burst, Slack: x * p.Ceiling.Slack}
		}
	}
	s.check = invariant.NewChecker(invariant.Limits{DrainGrace: set.DrainGrace, Slack: 4 * s.net.latency, KeyTTL: s.keyTTL, SlowStartShare: set.SlowStartShare,
		SlowStartTime: set.SlowStartTime, OverloadFactor: set.OverloadFactor, OverloadTime: set.OverloadTime, Cores: float64(script.Backends.Cores), Ceilings: ceilings, Group: s.group()})
	s.check.Broken = func(rule int, what string) { s.find(s.check.Rules()[rule].Name, what) }
	s.begin()
	end := time.Duration(script.Seconds * float64(time.Second))
	l := s.cfg.Limits
	limit := end + afterwards + time.Duration(max(l.IdleTimeout, l.BackendIdleTimeout, l.HeadTimeout, l.BodyTimeout))
	if opt.Until > 0 {
		limit = min(limit, opt.Until)
	}
	s.play(limit)
	if !s.stop && opt.Until == 0 {
		s.now = limit
		s.close()
	}
	o := Outcome{Findings: s.findings, Events: s.events, Virtual: s.now, Reached: s.reached, Requests: len(s.tries)}
	for _, d := range s.doors { // what the machines know is part of what happened
		if d.core != nil {
			s.digest(instanceStats, d.core.Stats.Counts())
		}
	}
	o.Digest = s.sum.Sum64()
	o.Verdict = invariant.Judge(s.check, invariant.Summarize(s.tries, s.ends))
	for _, p := range o.Verdict.Plans {
		o.ValueServed, o.ValueOffered = o.ValueServed+p.WorthServed, o.ValueOffered+p.WorthAsked
	}
	if s.keeper != nil {
		o.CounterCalls = s.keeper.calls + s.keeper.k.Calls
	}
	return o, nil
}

// group tells which boxes discard each other's repeats; nil: all do.
func (s *Sim) group() func(box string) string {
	if s.script.Backends.Cells < 2 {
		return nil
	}
	return func(box string) string {
		for _, b := range s.boxes {
			if b.name == box {
				return strconv.Itoa(s.cellOf(b))
			}
		}
		return ""
	}
}

// play makes events happen until a time. Code that panics has broken a rule like any other.
func (s *Sim) play(limit time.Duration) {
	defer func() {
		if x := recover(); x != nil {
			s.stop = true
			s.find(RuleCrash, fmt.Sprintf("%v\n%s", x, debug.Stack()))
		}
	}()
	for !s.stop && s.step(limit) {
	}
}

func (s *Sim) reach(what string) { s.reached[what]++ }

func (s *Sim) find(rule, what string) {
	s.note("BROKEN " + rule + ": " + what)
	s.digest(ruleBroken, []uint64{uint64(ruleNumber(rule))})
	if len(s.findings) < mostFindings {
		s.findings = append(s.findings, Finding{s.now, rule, what})
	}
	s.stop = s.stop || !s.opt.GoOn
}

func (s *Sim) addHost(name, addr string) *host {
	h := &host{name: name, room: -1}
	s.net.hosts[name] = h
	if addr != "" {
		s.net.byAddr[addr] = h
	}
	return h
}

func (s *Sim) doorOf(h *host) int {
	for _, d := range s.doors {
		if d.host == h {
			return d.number
		}
	}
	return -2
}

func (s *Sim) begin() {
	sc := s.script
	if addr := s.cfg.Counter.Address; addr != "" {
		s.keeper = &vkeeper{s: s, host: s.addHost("keeper", addr), k: emulator.NewCounter()}
		s.keeper.start()
	}
	for i := range sc.Backends.Count {
		s.addBox(fmt.Sprintf("box-%d", i)).start(false)
	}
	s.list = s.listText()
	drift := stream(sc.Seed, "drift")
	for i := range sc.Instances {
		d := &vdoor{s: s, number: i, cfg: s.cfg.ForInstance(i, sc.Instances), drift: 1 + sc.Drift*(2*drift.Float64()-1)}
		d.host = s.addHost(fmt.Sprintf("door-%d", i), fmt.Sprintf("door-%d", i))
		s.doors = append(s.doors, d)
		s.askers = append(s.askers, &asker{s: s, door: i})
		d.start(s.doorSeed(d))
	}
	for _, e := range sc.Events {
		s.lastCalm = max(s.lastCalm, e.At+e.For)
		if e.Verb == fault.Replace || e.Verb == fault.Drain {
			s.lastCalm = max(s.lastCalm, e.At+e.For+s.cfg.Settings.SlowStartTime)
		}
		s.at(e.At, func() { s.trouble(e) })
	}
	s.at(0, s.next)
}

func (s *Sim) doorSeed(d *vdoor) uint64 {
	return s.script.Seed*1_000_003 + uint64(d.number)*97 + uint64(d.life)
}

func (s *Sim) addBox(name string) *vbox {
	addr := fmt.Sprintf("10.1.%d.%d:80", len(s.boxes)/200, len(s.boxes)%200)
	b := &vbox{s: s, name: name, number: len(s.boxes), addr: addr, state: "up", host: s.addHost(name, addr)}
	s.boxes = append(s.boxes, b)
	return b
}

// writeList replaces the file of boxes; each door hears of it a moment later.
func (s *Sim) writeList() {
	s.list = s.listText()
	s.tellDoors()
}

// parsed reads the list as it is now, once for all doors that read the same.
func (s *Sim) parsed() ([]config.Endpoint, error) {
	r := &s.read
	if r.boxes == nil && r.err == nil || r.text != s.list {
		r.text = s.list
		r.boxes, r.err = config.ParseEndpoints("boxes.yaml", []byte(r.text))
	}
	return slices.Clone(r.boxes), r.err
}

func (s *Sim) tellDoors() {
	rng := s.net.rng
	for _, d := range s.doors {
		s.after(time.Duration(rng.Int64N(int64(20*time.Millisecond))), d.guard(d.readList))
	}
}

// toldList notes what a door was told.
func (s *Sim) toldList(d *vdoor, boxes []config.Endpoint) {
	for _, b := range s.boxes {
		i := slices.IndexFunc(boxes, func(c config.Endpoint) bool { return c.Name == b.name })
		if i < 0 || decision.EndpointState(boxes[i].State) != decision.Up {
			s.check.EndpointRemoved(d.number, b.name, s.now)
		} else {
			s.check.EndpointListed(d.number, b.name, s.now)
		}
	}
}

// trouble begins a trouble of the script, and plans its end.
func (s *Sim) trouble(e fault.Event) {
	s.note(fmt.Sprintf("trouble %s %s %g", e.Verb, e.Target, e.Value))
	s.digest(faultBegun, []uint64{math.Float64bits(e.Value)}, string(e.Verb), e.Target)
	s.reach("trouble " + string(e.Verb))
	end := func(do func()) {
		if e.For > 0 {
			s.after(e.For, func() {
				s.note(fmt.Sprintf("over %s %s", e.Verb, e.Target))
				s.digest(faultOver, nil, string(e.Verb), e.Target)
				do()
			})
		}
	}
	switch e.Verb {
	case fault.Surge:
		s.surge[e.Target] = e.Value
		end(func() { delete(s.surge, e.Target) })
	case fault.Quit:
		s.quit = e.Value
		end(func() { s.quit = 0 })
	case fault.Drip:
		s.drip = e.Value
		end(func() { s.drip = 0 })
	case fault.Noise:
		s.noise = e.Value
		end(func() { s.noise = 0 })
	case fault.Move:
		for _, st := range s.cfg.Customers {
			if e.Target == "*" || e.Target == st.Name || e.Target == st.Plan {
				s.moved[st.Name]++
			}
		}
	case fault.Kill:
		s.kill(e, end)
	case fault.Drain, fault.Replace, fault.Leave:
		s.drain(e)
	case fault.Torn:
		s.list = s.list[:len(s.list)/2]
		s.tellDoors()
		end(s.writeList)
		if e.For == 0 {
			s.after(time.Second, s.writeList)
		}
	case fault.Partition, fault.Oneway, fault.Lag, fault.Throttle:
		s.links(e, end)
	case fault.Pause, fault.Deaf, fault.Descriptors:
		for _, h := range s.targets(e.Target) {
			switch e.Verb {
			case fault.Pause:
				h.pause(true)
				s.check.InstancePaused(s.doorOf(h), s.now, true)
				end(func() {
					h.pause(false)
					s.net.admit(h)
					s.check.InstancePaused(s.doorOf(h), s.now, false)
				})
			case fault.Deaf:
				h.deaf = true
				end(func() { h.deaf = false; s.net.admit(h) })
			default:
				h.room = max(0, int(e.Value)-len(h.ends))
				end(func() { h.room = -1; s.net.admit(h) })
			}
		}
	default:
		if s.keeper != nil && e.Target == "keeper" {
			s.keeper.set(e.Verb, e.Value, true)
			end(func() { s.keeper.set(e.Verb, e.Value, false) })
			return
		}
		for _, b := range s.boxes {
			if e.Target == "*" || e.Target == "boxes" || e.Target == b.name {
				b.set(e.Verb, e.Value, true)
				end(func() { b.set(e.Verb, e.Value, false) })
			}
		}
	}
}

func (b *vbox) set(v fault.Verb, value float64, on bool) {
	b.box.Set(b.s.now, v, value, on)
	if v == fault.Trail {
		b.trails = on
	}
	if v == fault.Refuse && !b.box.HasCollapsed() {
		b.refuse(on)
	}
	if b.host.alive {
		b.advance()
	}
}

// targets finds processes by name; * stands for all boxes and doors.
func (s *Sim) targets(name string) (hs []*host) {
	for _, d := range s.doors {
		if name == "*" || name == "doors" || name == d.host.name {
			hs = append(hs, d.host)
		}
	}
	for _, b := range s.boxes {
		if name == "*" || name == "boxes" || name == b.name {
			hs = append(hs, b.host)
		}
	}
	if s.keeper != nil && name == "keeper" {
		hs = append(hs, s.keeper.host)
	}
	if name == "clients" {
		hs = append(hs, s.world)
	}
	return hs
}

func (s *Sim) links(e fault.Event, end func(func())) {
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
			ways := []*link{s.net.link(x, y), s.net.link(y, x)}
			if e.Verb == fault.Oneway {
				ways = ways[:1]
			}
			for _, l := range ways {
				switch e.Verb {
				case fault.Lag:
					l.lag = time.Duration(e.Value * float64(time.Millisecond))
					end(func() { l.lag = 0 })
				case fault.Throttle:
					l.rate = max(100, e.Value)
					end(func() { l.rate = 0 })
				default:
					l.blocked++
					end(func() { l.blocked-- })
				}
			}
		}
	}
}

// kill ends processes at once; they start anew after the trouble's time.
func (s *Sim) kill(e fault.Event, end func(func())) {
	for _, d := range s.doors {
		if e.Target != d.host.name && e.Target != "doors" || !d.host.alive {
			continue
		}
		s.check.InstanceDown(d.number, s.now)
		d.kill()
		end(func() {
			s.check.InstanceUp(d.number, s.now)
			// who asks on a connection of the old process has not heard of its end yet
			s.check.InstancePaused(d.number, s.now+s.ways(), false)
			d.start(s.doorSeed(d))
		})
	}
	for _, b := range s.boxes {
		if e.Target != b.name && e.Target != "boxes" || !b.host.alive {
			continue
		}
		b.life++
		b.conns = nil
		s.net.kill(b.host)
		b.host.accept = nil
		end(func() {
			b.start(true)
			s.writeList() // with its new time of start
		})
	}
	if s.keeper != nil && e.Target == "keeper" && s.keeper.host.alive {
		s.net.kill(s.keeper.host)
		s.keeper.conns = nil
		s.keeper.host.accept = nil
		s.keeper.calls += s.keeper.k.Calls
		s.keeper.k = emulator.NewCounter()
		end(s.keeper.start)
	}
}

// drain lists a box as draining and then as gone, with a cold replacement if asked for.
func (s *Sim) drain(e fault.Event) {
	for _, b := range s.boxes {
		if b.name != e.Target || b.state != "up" || !b.host.alive {
			continue
		}
		b.state = "draining"
		if e.Verb == fault.Leave {
			b.state = "gone"
		}
		s.writeList()
		s.after(max(e.For, s.cfg.Settings.DrainGrace), func() {
			b.state = "gone"
			if e.Verb == fault.Replace {
				s.replaced++
				s.addBox(fmt.Sprintf("%s-r%d", e.Target, s.replaced)).start(true)
			}
			s.writeList()
			s.after(10*time.Second, func() {
				b.life++
				b.conns = nil
				s.net.kill(b.host)
				b.host.accept = nil
			})
		})
		return
	}
}

// close looks at what is left once all is quiet.
func (s *Sim) close() {
	s.check.Overdue(s.now)
	for _, d := range s.doors {
		if !d.host.alive {
			continue
		}
		requests, _, lines := d.core.Sizes()
		if !d.core.Quiescent() || d.core.Unanswered() != 0 {
			s.find(RuleLeak, fmt.Sprintf("door %d holds %d exchanges, %d owed", d.number, requests, d.core.Unanswered()))
		}
		if n := d.shared.ReservedBytes.Load(); n != 0 {
			s.find(RuleLeak, fmt.Sprintf("door %d holds %d bytes of bodies", d.number, n))
		}
		if len(d.clients) > 0 || d.shared.ClientConns.Load() != 0 {
			s.find(RuleLeak, fmt.Sprintf("door %d holds %d connections of clients, counts %d", d.number, len(d.clients), d.shared.ClientConns.Load()))
		}
		if lines != len(d.lines) || lines > 0 {
			s.find(RuleLeak, fmt.Sprintf("door %d holds %d lines to boxes, its runtime %d", d.number, lines, len(d.lines)))
		}
	}
	cores := 0.0
	for _, b := range s.boxes {
		if b.state == "up" && b.host.alive && !b.box.HasCollapsed() {
			cores += float64(s.script.Backends.Cores)
		}
	}
	load := s.script.Rate * time.Duration(s.script.Backends.Work).Seconds() / max(cores, 1e-9)
	if load < mostLoad && s.asked >= fewestBack && float64(s.served) < leastBack*float64(s.asked) {
		s.find(RuleRecovery, fmt.Sprintf("%d of %d tries were served later than %v after the last trouble", s.served, s.asked, recovery))
	}
}

// deployment parses Deployment once; runs side by side share it.
var deployment = sync.OnceValues(Deployment)
