// Package drill plays a bad day on real sockets: front doors, boxes and the tally keeper as processes on loopback,
// seeded traffic of clients that retry, a script of troubles, and an auditor that sees only what crossed the sockets.
package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sandyard/emulator"
	"sandyard/fault"
	"sandyard/internal/server"
	"sandyard/invariant"
)

// Options say what to play. Zero values stand for defaults.
type Options struct {
	Seed      uint64
	Seconds   float64       // of traffic; 50
	Instances int           // 3
	Backends  int           // 8
	Rate      float64       // requests a second that are asked for on a usual second; 180
	Events    []fault.Event // the built-in day if nil
	Slack     time.Duration // between where things happen and where they are noted; 150 ms
	Keep      string        // folder for the processes' logs; a temporary one that is removed, if empty
	Log       io.Writer
	// Command says how to run a program: "sandyard" or "sandyard-emulator".
	Command func(program string) (exe string, args []string)
}

// Report is the outcome of a drill.
type Report struct {
	invariant.Verdict
	Seed       uint64   `json:"seed"`
	Seconds    float64  `json:"seconds"`
	Requests   int      `json:"tries"`
	ValueShare float64  `json:"worth_served_in_time"` // of the worth asked for
	Exits      []string `json:"bad_exits"`            // processes that did not end as they should
	Faults     int      `json:"troubles"`
}

// Bad tells that the drill failed.
func (r Report) Bad() bool { return r.Violations > 0 || len(r.NotExercised) > 0 || len(r.Exits) > 0 }

// The day's figures.
const (
	cores          = 2
	work           = 40 * time.Millisecond
	coldShare      = 0.25
	coldTime       = 8 * time.Second
	overloadFactor = 4
	overloadTime   = 2 * time.Second
	drainGrace     = time.Second
	keyTTL         = 6 * time.Second
	clientRetries  = 2
	lateShare      = 0.2 // of the worth, that a late answer still has
)

type plan struct {
	name                 string
	studios              int
	rate, burst, price   float64
	share                float64 // of the traffic
	ceilRate, ceilBurst  float64
	ceilSlack, overCosts float64
}

var plans = []plan{
	{name: "hobby", studios: 20, rate: 4, burst: 8, price: 0.8, share: 0.25, overCosts: 1.2},
	{name: "studio", studios: 12, rate: 8, burst: 12, price: 1.2, share: 0.33, overCosts: 0.5},
	{name: "school", studios: 5, rate: 24, burst: 36, price: 1.8, share: 0.42, overCosts: 1.2, ceilRate: 40, ceilBurst: 60, ceilSlack: 6},
}

type class struct {
	name, path, method string
	repeat             invariant.Idempotency
	share, worth       float64
	aim, deadline      time.Duration
}

var classes = []class{
	{"slot-booking", "/v1/bookings", "POST", invariant.Idempotent, 0.6, 1, 600 * time.Millisecond, 2500 * time.Millisecond},
	{"firing", "/v1/firings", "POST", invariant.IdempotentByKey, 0.25, 2, time.Second, 3 * time.Second},
	{"payment", "/v1/payments", "POST", invariant.NotIdempotent, 0.15, 4, time.Second, 3 * time.Second},
}

type studio struct {
	name  string
	plan  int
	first int // of the two doors that it uses
	hot   float64
	turn  int // adds to first; moves change it
}

type box struct {
	name    string
	addr    string
	control string
	started time.Time
	state   string
	proc    *process
}

// Drill is a day under way.
type Drill struct {
	opt    Options
	dir    string
	start0 time.Time

	mu      sync.Mutex
	audit   *invariant.Auditor
	surge   float64
	surges  map[string]float64 // by plan or studio
	tries   int
	studios []*studio
	boxes   []*box
	next    int // number of the next replacement
	list    sync.Mutex
	doors   []*process
	callers []*caller
	keeper  *process
	control string // of the keeper
	exits   []string
	all     []*process
}

func (d *Drill) command(program string) (string, []string) { return d.opt.Command(program) }

func (d *Drill) now() time.Duration { return time.Since(d.start0) }

func (d *Drill) say(format string, args ...any) {
	if d.opt.Log != nil {
		fmt.Fprintf(d.opt.Log, "%6.2fs  %s\n", d.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// Day is the bad day's script, fitted to a number of seconds.
func Day(seconds float64) []fault.Event {
	at := func(share float64) time.Duration { return time.Duration(share * seconds * float64(time.Second)) }
	return []fault.Event{
		{At: at(0.08), Duration: at(0.08), Verb: fault.Surge, Target: "*", Value: 1.9},
		{At: at(0.20), Duration: at(0.14), Verb: fault.Surge, Target: "school-0", Value: 6},
		{At: at(0.20), Duration: at(0.14), Verb: fault.Surge, Target: "hobby-1", Value: 10},
		{At: at(0.30), Duration: at(0.08), Verb: fault.Slow, Target: "*", Value: 1.8},
		{At: at(0.40), Duration: 2 * time.Second, Verb: fault.Replace, Target: "box-0"},
		{At: at(0.42), Duration: 2 * time.Second, Verb: fault.Replace, Target: "box-1"},
		{At: at(0.44), Duration: 2 * time.Second, Verb: fault.Replace, Target: "box-2"},
		{At: at(0.54), Duration: at(0.06), Verb: fault.NoReply, Target: "keeper"},
		{At: at(0.60), Verb: fault.ResetTotals, Target: "keeper"},
		{At: at(0.60), Duration: at(0.10), Verb: fault.Surge, Target: "school-1", Value: 6},
		{At: at(0.64), Duration: at(0.08), Verb: fault.Hang, Target: "box-4"},
		{At: at(0.70), Duration: at(0.06), Verb: fault.ResetResponse, Target: "box-5", Value: 20},
		{At: at(0.76), Duration: at(0.05), Verb: fault.DropResponse, Target: "box-6"},
		{At: at(0.80), Duration: at(0.04), Verb: fault.Kill, Target: "door-1"},
		{At: at(0.86), Verb: fault.MoveTraffic, Target: "*"},
	}
}

// playable are the verbs that mean something on sockets.
var playable = []fault.Verb{fault.Slow, fault.Hang, fault.ResetResponse, fault.DropResponse, fault.ServerErrors, fault.Refuse, fault.ExtraResponse, fault.FalseReports,
	fault.Stall, fault.NoReply, fault.Delay, fault.ResetTotals, fault.Kill, fault.Drain, fault.Replace, fault.Vanish, fault.Surge, fault.MoveTraffic}

// Run plays a drill.
func Run(ctx context.Context, opt Options) (Report, error) {
	def := func(p *float64, v float64) {
		if *p <= 0 {
			*p = v
		}
	}
	def(&opt.Seconds, 50)
	def(&opt.Rate, 180)
	if opt.Instances == 0 {
		opt.Instances = 3
	}
	if opt.Backends == 0 {
		opt.Backends = 8
	}
	if opt.Slack == 0 {
		opt.Slack = 150 * time.Millisecond
	}
	if opt.Events == nil {
		opt.Events = Day(opt.Seconds)
	}
	for _, e := range opt.Events {
		if !slices.Contains(playable, e.Verb) {
			return Report{}, fmt.Errorf("%s: only in virtual time", e.Verb)
		}
	}
	ceilings := map[string]invariant.Ceiling{}
	for _, p := range plans {
		if p.ceilRate > 0 {
			ceilings[p.name] = invariant.Ceiling{Rate: p.ceilRate, Burst: p.ceilBurst, Slack: p.ceilSlack}
		}
	}
	d := &Drill{opt: opt, dir: opt.Keep, start0: time.Now(), surge: 1, surges: map[string]float64{},
		audit: invariant.New(invariant.Limits{DrainGrace: drainGrace, Slack: opt.Slack, KeyTTL: keyTTL, SlowStartShare: coldShare,
			SlowStartTime: coldTime, OverloadFactor: overloadFactor, OverloadTime: overloadTime, Cores: cores, Ceilings: ceilings})}
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
	defer func() {
		for _, p := range d.all {
			p.cmd.Process.Kill()
			<-p.done
		}
	}()
	if err := d.begin(); err != nil {
		return Report{}, err
	}
	err := d.play(ctx)
	d.end()
	for _, c := range d.callers {
		c.close()
	}
	if err != nil {
		return Report{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Verdict: d.audit.Verdict(), Seed: opt.Seed, Seconds: opt.Seconds, Requests: d.tries, Exits: d.exits,
		Faults: len(opt.Events)}
	asked, served := 0.0, 0.0
	for _, p := range r.Plans {
		asked, served = asked+p.ValueOffered, served+p.ValueServed
	}
	r.ValueShare = served / max(asked, 1e-9)
	return r, nil
}

// begin starts the keeper, the boxes and the doors.
func (d *Drill) begin() error {
	var err error
	var r ready
	d.keeper, r, err = d.start("keeper", "sandyard-emulator", []string{"keeper"}, true, nil)
	if err != nil {
		return err
	}
	d.all = append(d.all, d.keeper)
	d.control = r.Control
	for i := range d.opt.Backends {
		if _, err := d.newBox(fmt.Sprintf("box-%d", i), false); err != nil {
			return err
		}
	}
	if err := d.writeList(); err != nil {
		return err
	}
	for i, p := range plans {
		for n := range p.studios {
			d.studios = append(d.studios, &studio{name: fmt.Sprintf("%s-%d", p.name, n), plan: i, first: n % d.opt.Instances, hot: 1})
		}
	}
	if err := os.WriteFile(filepath.Join(d.dir, "openapi.yaml"), []byte(description()), 0o600); err != nil {
		return err
	}
	for i := range d.opt.Instances {
		if err := os.WriteFile(d.doorConfig(i), []byte(d.gateway(i, r.Addr)), 0o600); err != nil {
			return err
		}
		d.doors = append(d.doors, nil)
		d.callers = append(d.callers, nil)
		if err := d.startDoor(i, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	return nil
}

func (d *Drill) doorConfig(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("gateway-%d.yaml", i))
}

func (d *Drill) startDoor(i int, listen string) error {
	p, r, err := d.start(fmt.Sprintf("door-%d", i), "sandyard",
		[]string{"serve", "--config", d.doorConfig(i), "--listen", listen, "--seed", strconv.FormatUint(d.opt.Seed*100+uint64(i)+1, 10)}, false, nil)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.doors[i], d.callers[i] = p, &caller{addr: r.Addr}
	d.all = append(d.all, p)
	d.mu.Unlock()
	return nil
}

// newBox starts a box; what it records goes to the auditor.
func (d *Drill) newBox(name string, isCold bool) (*box, error) {
	args := []string{"box", "--name", name, "--record", "--cores", strconv.Itoa(cores), "--work", work.String(), "--queue", "48",
		"--key-ttl", (keyTTL * 2).String(), "--seed", strconv.FormatUint(d.opt.Seed+uint64(len(d.all)), 10)}
	if isCold {
		args = append(args, "--cold-share", fmt.Sprint(coldShare), "--cold-time", coldTime.String(),
			"--overload-factor", fmt.Sprint(overloadFactor), "--overload-time", overloadTime.String())
	}
	started := time.Now()
	p, r, err := d.start(name, "sandyard-emulator", args, true, d.boxLine)
	if err != nil {
		return nil, err
	}
	b := &box{name: name, addr: r.Addr, control: r.Control, state: "up", proc: p}
	d.mu.Lock()
	defer d.mu.Unlock()
	if isCold {
		b.started = started
		d.audit.BackendStarted(name, time.Since(d.start0))
	}
	d.all = append(d.all, p)
	d.boxes = append(d.boxes, b)
	return b, nil
}

func (d *Drill) boxLine(line []byte) {
	var f struct {
		At   int64             `json:"at"`
		Box  string            `json:"box"`
		Kind emulator.FactKind `json:"kind"`
		ID   string            `json:"id"`
		Key  string            `json:"key"`
	}
	if json.Unmarshal(line, &f) != nil || f.Kind == "" {
		return
	}
	at := time.Unix(0, f.At).Sub(d.start0)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch f.Kind {
	case emulator.RequestReceived:
		d.audit.RequestReceived(invariant.Receipt{ID: f.ID, Backend: f.Box, At: at})
	case emulator.RequestExecuted:
		d.audit.RequestExecuted(invariant.Execution{ID: f.ID, Key: f.Key, Backend: f.Box, At: at})
	case emulator.BackendCollapsed:
		d.audit.BackendCollapsed(f.Box, at)
	}
}

// writeEndpoints replaces the list of boxes, which all doors watch.
func (d *Drill) writeList() error {
	d.list.Lock()
	defer d.list.Unlock()
	var s strings.Builder
	s.WriteString("boxes:\n")
	d.mu.Lock()
	for _, b := range d.boxes {
		if b.state == "gone" {
			continue
		}
		fmt.Fprintf(&s, "  - {name: %s, address: %q, state: %s", b.name, b.addr, b.state)
		if !b.started.IsZero() {
			fmt.Fprintf(&s, ", started: %q", b.started.Format(time.RFC3339Nano))
		}
		s.WriteString("}\n")
	}
	d.mu.Unlock()
	path := filepath.Join(d.dir, "boxes.yaml")
	if err := os.WriteFile(path+".new", []byte(s.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func description() string {
	var s strings.Builder
	s.WriteString("openapi: 3.0.3\ninfo: {title: drill, version: \"1\"}\nservers: [{url: /v1}]\npaths:\n")
	for _, c := range classes {
		fmt.Fprintf(&s, "  %s:\n    %s: {x-sandyard-class: %s, responses: {\"200\": {description: done}}}\n", strings.TrimPrefix(c.path, "/v1"), strings.ToLower(c.method), c.name)
	}
	return s.String()
}

func (d *Drill) gateway(i int, keeper string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "listen: \"127.0.0.1:0\"\nopenapi: openapi.yaml\ndoor: {number: %d, of: %d}\n", i, d.opt.Instances)
	s.WriteString("classes:\n")
	for _, c := range classes {
		repeat := []string{"safe", "keyed, key-ttl: " + keyTTL.String(), "unsafe"}[c.repeat]
		fmt.Fprintf(&s, "  - {name: %s, repeat: %s, aim: %v, deadline: %v, worth: %g, late-share: %g}\n", c.name, repeat, c.aim, c.deadline, c.worth, lateShare)
	}
	s.WriteString("plans:\n")
	for _, p := range plans {
		fmt.Fprintf(&s, "  - {name: %s, rate: %g/s, burst: %g, price: %g, over-cost: %g", p.name, p.rate, p.burst, p.price, p.overCosts)
		if p.ceilRate > 0 {
			fmt.Fprintf(&s, ", ceiling: {rate: %g/s, burst: %g, slack: %g}", p.ceilRate, p.ceilBurst, p.ceilSlack)
		}
		s.WriteString("}\n")
	}
	s.WriteString("studios:\n")
	for _, st := range d.studios {
		fmt.Fprintf(&s, "  - {name: %s, plan: %s, keys: [key-%s], doors: {first: %d, spread: %d}}\n", st.name, plans[st.plan].name, st.name,
			st.first, min(2, d.opt.Instances))
	}
	fmt.Fprintf(&s, "boxes: {file: boxes.yaml, drain-grace: %v, cold: {share: %g, time: %v}, overload: {factor: %d, time: %v}}\n",
		drainGrace, coldShare, coldTime, overloadFactor, overloadTime)
	s.WriteString("load: {via: answers, fields: [{name: named_metrics.in_flight, is: in-flight}, {name: cpu_utilization, is: utilization}]}\n")
	s.WriteString("attempts: {most: 3}\n")
	fmt.Fprintf(&s, "keeper: {address: %q, timeout: 80ms, price: 0.02}\n", keeper)
	return s.String()
}

// play sends traffic and plays the script until the day is over and all is answered.
func (d *Drill) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	begun := time.Now()
	g.Go(func() error { return d.traffic(ctx, begun) })
	for _, e := range d.opt.Events {
		g.Go(func() error {
			if !sleep(ctx, time.Until(begun.Add(e.At))) {
				return nil
			}
			if err := d.trouble(ctx, e, begun); err != nil && ctx.Err() == nil {
				return fmt.Errorf("%s %s: %w", e.Verb, e.Target, err)
			}
			return nil
		})
	}
	return g.Wait()
}

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

// traffic asks at random times, each ask drawn from the seed alone; what becomes of one does not change the next.
func (d *Drill) traffic(ctx context.Context, begun time.Time) error {
	var g errgroup.Group
	rng := rand.New(rand.NewPCG(d.opt.Seed, 11))
	at, n := 0.0, 0
	for {
		d.mu.Lock()
		rate := d.opt.Rate * d.surge
		weights := make([]float64, len(d.studios))
		sum := 0.0
		for i, s := range d.studios {
			p := plans[s.plan]
			w := p.share / float64(p.studios)
			for _, name := range []string{s.name, p.name} {
				if f, ok := d.surges[name]; ok {
					w *= f
				}
			}
			weights[i] = w
			sum += w
		}
		d.mu.Unlock()
		at += rng.ExpFloat64() / (rate * sum)
		if at > d.opt.Seconds {
			break
		}
		pick, s := rng.Float64()*sum, 0
		for ; s < len(weights)-1 && pick >= weights[s]; s++ {
			pick -= weights[s]
		}
		if !sleep(ctx, time.Until(begun.Add(time.Duration(at*float64(time.Second))))) {
			break
		}
		n++
		op, own := n, rand.New(rand.NewPCG(d.opt.Seed, uint64(n)+1000))
		g.Go(func() error { d.operate(ctx, op, d.studios[s], own); return nil })
	}
	return g.Wait()
}

// operate is one thing that a client wants, with its retries.
func (d *Drill) operate(ctx context.Context, n int, s *studio, rng *rand.Rand) {
	pick, k := rng.Float64(), 0
	for ; k < len(classes)-1 && pick >= classes[k].share; k++ {
		pick -= classes[k].share
	}
	c := classes[k]
	p := plans[s.plan]
	op := fmt.Sprintf("%d.%d", d.opt.Seed, n)
	takes := time.Duration((0.3 + rng.ExpFloat64()*0.7) * float64(work))
	takes = min(takes, 6*work)
	patience := time.Duration((0.6 + 0.4*rng.Float64()) * float64(c.deadline))
	for try := 0; try <= clientRetries; try++ {
		id := fmt.Sprintf("%s.%d", op, try)
		d.mu.Lock()
		doorN := (s.first + (s.turn+rng.IntN(4)/3)%2) % d.opt.Instances
		caller := d.callers[doorN]
		d.tries++
		asked := d.now()
		d.audit.RequestSent(invariant.Request{ID: id, Operation: op, Customer: s.name, Plan: p.name, Idempotency: c.repeat, Units: 1, Work: takes, Instance: doorN,
			SentAt: asked, Timeout: patience, Value: c.worth * p.price, LateShare: lateShare, LatencyObjective: c.aim})
		d.mu.Unlock()
		req := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: door\r\nX-Api-Key: key-%s\r\nX-Request-Id: %s\r\nX-Work: %.3f\r\nX-Patience: %d\r\nX-Retry: %d\r\n"+
			"Idempotency-Key: %s\r\nContent-Length: 2\r\n\r\nok", c.method, c.path, s.name, id, takes.Seconds()*1000, patience.Milliseconds(), try, op)
		if c.repeat == invariant.NotIdempotent { // a box would discard repeats of a key
			req = strings.Replace(req, "Idempotency-Key: "+op+"\r\n", "", 1)
		}
		e, _, answers := caller.call([]byte(req), c.method, d.start0.Add(asked+patience))
		d.mu.Lock()
		d.audit.RequestEnded(invariant.Outcome{ID: id, Ending: e, At: d.now(), Responses: answers})
		d.mu.Unlock()
		again := e == invariant.Rejected || e == invariant.NotAccepted || c.repeat != invariant.NotIdempotent && e != invariant.Served
		if !again || c.repeat == invariant.IdempotentByKey && d.now()-asked > keyTTL/2 {
			return
		}
		if !sleep(ctx, time.Duration((0.5+rng.Float64())*float64(100*time.Millisecond<<try))) {
			return
		}
	}
}

// trouble plays one event of the script.
func (d *Drill) trouble(ctx context.Context, e fault.Event, begun time.Time) error {
	d.say("%s %s %g for %v", e.Verb, e.Target, e.Value, e.Duration)
	switch e.Verb {
	case fault.Surge:
		d.setSurge(e, true)
		if e.Duration > 0 {
			sleep(ctx, e.Duration)
			d.setSurge(e, false)
		}
		return nil
	case fault.MoveTraffic:
		d.mu.Lock()
		for _, s := range d.studios {
			if e.Target == "*" || e.Target == s.name || e.Target == plans[s.plan].name {
				s.turn++
			}
		}
		d.mu.Unlock()
		return nil
	case fault.Kill:
		return d.kill(ctx, e)
	case fault.Drain, fault.Replace, fault.Vanish:
		return d.drain(ctx, e)
	}
	var controls []string
	d.mu.Lock()
	if e.Target == "keeper" {
		controls = append(controls, d.control)
	}
	for _, b := range d.boxes {
		if b.state != "gone" && (e.Target == "*" || e.Target == "boxes" || e.Target == b.name) {
			controls = append(controls, b.control)
		}
	}
	d.mu.Unlock()
	if len(controls) == 0 {
		return fmt.Errorf("no such target")
	}
	for _, c := range controls {
		if err := server.SendFaultCommand(c, fmt.Sprintf("set %s %g", e.Verb, e.Value)); err != nil {
			return err
		}
	}
	if e.Duration == 0 {
		return nil
	}
	sleep(ctx, e.Duration)
	for _, c := range controls {
		// a box that has gone meanwhile has taken its fault along
		_ = server.SendFaultCommand(c, "clear "+string(e.Verb))
	}
	return nil
}

func (d *Drill) setSurge(e fault.Event, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case e.Target == "*" && on:
		d.surge = e.Value
	case e.Target == "*":
		d.surge = 1
	case on:
		d.surges[e.Target] = e.Value
	default:
		delete(d.surges, e.Target)
	}
}

// kill ends a door, or a box, at once and starts it anew after the event's time.
func (d *Drill) kill(ctx context.Context, e fault.Event) error {
	i, err := strconv.Atoi(strings.TrimPrefix(e.Target, "door-"))
	if err != nil || i < 0 || i >= len(d.doors) {
		return fmt.Errorf("expected door-0 to door-%d", len(d.doors)-1)
	}
	d.mu.Lock()
	p, addr := d.doors[i], d.callers[i].addr
	d.audit.InstanceDown(i, d.now())
	d.mu.Unlock()
	p.kill()
	sleep(ctx, e.Duration)
	if err := d.startDoor(i, addr); err != nil {
		return err
	}
	d.mu.Lock()
	d.audit.InstanceUp(i, d.now())
	d.mu.Unlock()
	return nil
}

// drain lists a box as draining, then as gone, with a cold replacement if asked for; a box that leaves goes without
// notice.
func (d *Drill) drain(ctx context.Context, e fault.Event) error {
	d.mu.Lock()
	i := slices.IndexFunc(d.boxes, func(b *box) bool { return b.name == e.Target && b.state == "up" })
	if i < 0 {
		d.mu.Unlock()
		return fmt.Errorf("no such box is up")
	}
	b := d.boxes[i]
	b.state = "draining"
	if e.Verb == fault.Vanish {
		b.state = "gone"
	}
	d.mu.Unlock()
	if err := d.writeList(); err != nil {
		return err
	}
	d.mu.Lock()
	d.audit.EndpointRemoved(b.name, d.now())
	d.mu.Unlock()
	if !sleep(ctx, max(e.Duration, drainGrace)) {
		return nil
	}
	if e.Verb == fault.Replace {
		d.mu.Lock()
		d.next++
		name := fmt.Sprintf("%s-r%d", e.Target, d.next)
		d.mu.Unlock()
		if _, err := d.newBox(name, true); err != nil {
			return err
		}
	}
	d.mu.Lock()
	b.state = "gone"
	d.mu.Unlock()
	if err := d.writeList(); err != nil {
		return err
	}
	sleep(ctx, 4*time.Second) // what it holds is finished
	return b.proc.stop(5 * time.Second)
}

// end stops the doors, which must end by themselves, and the others.
func (d *Drill) end() {
	note := func(err error) {
		if err != nil {
			d.exits = append(d.exits, err.Error())
		}
	}
	for _, p := range d.doors {
		if p != nil {
			note(p.stop(10 * time.Second))
		}
	}
	d.mu.Lock()
	boxes := slices.Clone(d.boxes)
	d.mu.Unlock()
	for _, b := range boxes {
		select {
		case <-b.proc.done:
		default:
			note(b.proc.stop(5 * time.Second))
		}
	}
	note(d.keeper.stop(5 * time.Second))
}
