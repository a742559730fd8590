package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// Version is that of the form of scripts. Scripts of other versions are refused.
const Version = 1

// Script is a run of the simulator: it states all that a run needs.
//
//	version: 1
//	seed: 42
//	seconds: 20
//	doors: 3
//	rate: 40
//	boxes: {count: 4, work: 30ms}
//	troubles:
//	  - {at: 5s, for: 3s, verb: replace, target: box-0}
type Script struct {
	Version        int                 `yaml:"version"`
	Seed           uint64              `yaml:"-"`
	WrittenSeed    int                 `yaml:"seed"`
	Seconds        float64             `yaml:"seconds"` // of traffic
	Instances      int                 `yaml:"doors"`
	Rate           float64             `yaml:"rate"` // requests a second, from all clients
	Config         string              `yaml:"config"`
	Backends       Backends            `yaml:"boxes"`
	SlowStart      SlowStart           `yaml:"cold"`
	PlanFactor     float64             `yaml:"plans"`   // factor on the rates, bursts and ceilings of all plans
	OverQuotaValue float64             `yaml:"soft"`    // what plans with a ceiling earn beyond their quota, as a share; 0: as configured
	LateShare      float64             `yaml:"late"`    // share of its worth that a late answer has, in all classes but streams; 0: as configured
	KeyTTL         strictyaml.Duration `yaml:"key-ttl"` // of all keyed classes; 0: as configured
	Net            Net                 `yaml:"net"`
	Drift          float64             `yaml:"drift"` // clocks of doors run fast or slow by up to this share
	Clients        Clients             `yaml:"clients"`
	Scenario       string              `yaml:"-"` // that a generator drew, if any
	Events         []fault.Event       `yaml:"-"`
	Faults         []ScriptFault       `yaml:"troubles"`
}

// Backends are a script's boxes.
type Backends struct {
	Count       int                 `yaml:"count"`
	Cores       int                 `yaml:"cores"`
	Queue       int                 `yaml:"queue"`
	Cells       int                 `yaml:"cells"` // 2 or more: keyed repeats are discarded within one of so many cells only
	IdleTimeout strictyaml.Duration `yaml:"idle"`  // they close connections on which nothing has happened for so long; 0: never
	Work        strictyaml.Duration `yaml:"work"`  // mean work of a request
	Body        int                 `yaml:"body"`  // bytes of an answer's
}

// SlowStart is how a script's boxes start; what is 0 is as configured.
type SlowStart struct {
	Share          float64             `yaml:"share"`
	Duration       strictyaml.Duration `yaml:"time"`
	OverloadFactor float64             `yaml:"factor"` // sent this multiple of what it can do
	OverloadTime   strictyaml.Duration `yaml:"over"`   // for so long, a cold box falls over
}

// Net is a script's network.
type Net struct {
	Latency          strictyaml.Duration `yaml:"latency"`
	Jitter           float64             `yaml:"jitter"` // mean of what is added, as a share of the latency
	SplitProbability float64             `yaml:"split"`  // chance that a write is cut in two, again and again
}

// Clients is how a script's clients behave.
type Clients struct {
	Retries       int     `yaml:"retries"`
	PipelineShare float64 `yaml:"pipeline"` // share that send several requests at once
	NewConnShare  float64 `yaml:"fresh"`    // share that use a new connection
	MaxBody       int     `yaml:"body"`     // most bytes of a request's body
}

// ScriptFault is a trouble as it is written.
type ScriptFault struct {
	At       strictyaml.Duration `yaml:"at"`
	Duration strictyaml.Duration `yaml:"for"`
	Verb     string              `yaml:"verb"`
	Target   string              `yaml:"target"`
	Value    float64             `yaml:"value"`
}

// Bounds of a script.
const (
	maxInstances  = 128
	maxBackends   = 256
	maxSeconds    = 24 * 3600
	maxScriptRate = 20000
)

func defaults() Script {
	return Script{Version: Version, Seconds: 15, Instances: 3, Rate: 40, PlanFactor: 1,
		Backends: Backends{Count: 4, Cores: 2, Queue: 24, Work: strictyaml.Duration(30 * time.Millisecond), Body: 64},
		Net:      Net{Latency: strictyaml.Duration(500 * time.Microsecond), Jitter: 0.3, SplitProbability: 0.1},
		Clients:  Clients{Retries: 2, PipelineShare: 0.03, NewConnShare: 0.2, MaxBody: 40}}
}

// ReadScript reads a script; the error is a diag.Problems.
func ReadScript(file string, text []byte) (*Script, error) {
	s := defaults()
	s.Version = 0
	d := strictyaml.Read(file, text, &s)
	if d.Readable() && s.Version != Version {
		d.Reportf("version", "%d: this program reads scripts of version %d; write the script anew from its seed, or with the program that wrote it", s.Version, Version)
	}
	s.Seed = uint64(s.WrittenSeed)
	check := func(field string, x, least, most float64) {
		if !(x >= least) || x > most {
			d.Reportf(field, "%g: expected %g to %g", x, least, most)
		}
	}
	check("seed", float64(s.WrittenSeed), 0, 1<<53)
	check("seconds", s.Seconds, 0.1, maxSeconds)
	check("doors", float64(s.Instances), 1, maxInstances)
	check("rate", s.Rate, 0.01, maxScriptRate)
	check("boxes.count", float64(s.Backends.Count), 0, maxBackends)
	check("boxes.cores", float64(s.Backends.Cores), 1, 1024)
	check("boxes.cells", float64(s.Backends.Cells), 0, maxBackends)
	check("boxes.queue", float64(s.Backends.Queue), 1, 1<<20)
	check("boxes.body", float64(s.Backends.Body), 1, 16<<20)
	check("cold.share", s.SlowStart.Share, 0, 1)
	check("cold.factor", s.SlowStart.OverloadFactor, 0, 100)
	check("soft", s.OverQuotaValue, 0, 1000)
	check("late", s.LateShare, 0, 1)
	check("plans", s.PlanFactor, 0.001, 1000)
	check("net.jitter", s.Net.Jitter, 0, 100)
	check("net.split", s.Net.SplitProbability, 0, 0.95)
	check("drift", s.Drift, 0, 0.2)
	check("clients.retries", float64(s.Clients.Retries), 0, 10)
	check("clients.pipeline", s.Clients.PipelineShare, 0, 1)
	check("clients.fresh", s.Clients.NewConnShare, 0, 1)
	check("clients.body", float64(s.Clients.MaxBody), 0, 1<<20)
	if s.Net.Latency == 0 {
		d.Reportf("net.latency", "expected more than 0")
	}
	for i, t := range s.Faults {
		at := fmt.Sprintf("troubles[%d]", i)
		v, _, err := fault.Parse(t.Verb + " " + strconv.FormatFloat(t.Value, 'g', -1, 64))
		if err != nil {
			d.Reportf(at+".verb", "%v", err)
		}
		if t.Target == "" {
			d.Reportf(at+".target", "missing; * stands for all")
		}
		if time.Duration(t.At) > time.Duration(s.Seconds*float64(time.Second)) {
			d.Reportf(at+".at", "after the end of the traffic")
		}
		s.Events = append(s.Events, fault.Event{At: time.Duration(t.At), Duration: time.Duration(t.Duration), Verb: v, Target: t.Target, Value: t.Value})
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Text writes a script; ReadScript reads it back.
func (s *Script) Text() string {
	var b strings.Builder
	f := func(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
	fmt.Fprintf(&b, "version: %d\nseed: %d\nseconds: %s\ndoors: %d\nrate: %s\n", Version, s.Seed, f(s.Seconds), s.Instances, f(s.Rate))
	if s.Config != "" {
		fmt.Fprintf(&b, "config: %q\n", s.Config)
	}
	fmt.Fprintf(&b, "boxes: {count: %d, cores: %d, queue: %d, work: %v, body: %d", s.Backends.Count, s.Backends.Cores, s.Backends.Queue,
		time.Duration(s.Backends.Work), s.Backends.Body)
	if s.Backends.Cells > 1 {
		fmt.Fprintf(&b, ", cells: %d", s.Backends.Cells)
	}
	if s.Backends.IdleTimeout != 0 {
		fmt.Fprintf(&b, ", idle: %v", time.Duration(s.Backends.IdleTimeout))
	}
	b.WriteString("}\n")
	if c := s.SlowStart; c != (SlowStart{}) {
		fmt.Fprintf(&b, "cold: {share: %s, time: %v, factor: %s, over: %v}\n", f(c.Share), time.Duration(c.Duration), f(c.OverloadFactor), time.Duration(c.OverloadTime))
	}
	if s.PlanFactor != 1 {
		fmt.Fprintf(&b, "plans: %s\n", f(s.PlanFactor))
	}
	if s.OverQuotaValue != 0 {
		fmt.Fprintf(&b, "soft: %s\n", f(s.OverQuotaValue))
	}
	if s.LateShare != 0 {
		fmt.Fprintf(&b, "late: %s\n", f(s.LateShare))
	}
	if s.KeyTTL != 0 {
		fmt.Fprintf(&b, "key-ttl: %v\n", time.Duration(s.KeyTTL))
	}
	fmt.Fprintf(&b, "net: {latency: %v, jitter: %s, split: %s}\n", time.Duration(s.Net.Latency), f(s.Net.Jitter), f(s.Net.SplitProbability))
	if s.Drift != 0 {
		fmt.Fprintf(&b, "drift: %s\n", f(s.Drift))
	}
	fmt.Fprintf(&b, "clients: {retries: %d, pipeline: %s, fresh: %s, body: %d}\n", s.Clients.Retries, f(s.Clients.PipelineShare), f(s.Clients.NewConnShare), s.Clients.MaxBody)
	if len(s.Events) == 0 {
		b.WriteString("troubles: []\n")
		return b.String()
	}
	b.WriteString("troubles:\n")
	for _, e := range s.Events {
		fmt.Fprintf(&b, "  - {at: %v", e.At)
		if e.Duration > 0 {
			fmt.Fprintf(&b, ", for: %v", e.Duration)
		}
		fmt.Fprintf(&b, ", verb: %s, target: %q", e.Verb, e.Target)
		if e.Value != 0 {
			fmt.Fprintf(&b, ", value: %s", f(e.Value))
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// applyTo is the configuration as the script has it.
func (s *Script) applyTo(cfg *config.Config) *config.Config {
	c := *cfg
	c.Settings.Classes, c.Settings.Plans = slices.Clone(cfg.Settings.Classes), slices.Clone(cfg.Settings.Plans)
	set := &c.Settings
	for i := range set.Classes {
		if k := &set.Classes[i]; k.Idempotency == decision.IdempotentByKey && s.KeyTTL > 0 {
			k.KeyTTL = time.Duration(s.KeyTTL)
		}
		if k := &set.Classes[i]; s.LateShare > 0 && !k.Stream {
			k.LateShare = s.LateShare
		}
		if k := &set.Classes[i]; k.Idempotency == decision.IdempotentByKey && s.Backends.Cells > 1 {
			k.KeyScope = decision.KeyScopeCell
		}
	}
	for i := range set.Plans {
		p := &set.Plans[i]
		for _, x := range []*float64{&p.Rate, &p.Burst, &p.CeilingRate, &p.CeilingBurst, &p.CeilingSlack} {
			*x *= s.PlanFactor
		}
		if p.CeilingRate > 0 && s.OverQuotaValue > 0 {
			p.OverQuotaValue = s.OverQuotaValue
		}
	}
	if s.SlowStart.Share > 0 {
		set.SlowStartShare = s.SlowStart.Share
	}
	if s.SlowStart.Duration > 0 {
		set.SlowStartTime = time.Duration(s.SlowStart.Duration)
	}
	if s.SlowStart.OverloadFactor > 0 {
		set.OverloadFactor = s.SlowStart.OverloadFactor
	}
	if s.SlowStart.OverloadTime > 0 {
		set.OverloadTime = time.Duration(s.SlowStart.OverloadTime)
	}
	return &c
}

// Deployment is the configuration that scripts run on which name none: two front doors a studio, three plans with a
// ceiling in the highest, three ways of repeating.
func Deployment() (*config.Config, error) {
	var s strings.Builder
	s.WriteString(`openapi: openapi.yaml
door: {number: 0, of: 64}
classes:
  - {name: slot-booking, repeat: safe, aim: 600ms, deadline: 2.5s, worth: 1, late-share: 0.2}
  - {name: firing, repeat: keyed, key-ttl: 6s, aim: 1s, deadline: 3s, worth: 2, late-share: 0.2}
  - {name: payment, repeat: unsafe, aim: 1s, deadline: 3s, worth: 4}
  - {name: feed, repeat: safe, aim: 1s, deadline: 3s, worth: 0.5, stream: true}
plans:
  - {name: hobby, rate: 4/s, burst: 8, price: 0.8, over-cost: 1.2}
  - {name: studio, rate: 8/s, burst: 12, price: 1.2, over-cost: 0.5}
  - {name: school, rate: 24/s, burst: 36, price: 1.8, over-cost: 1.2, ceiling: {rate: 40/s, burst: 60, slack: 6}}
studios:
`)
	n := 0
	for _, p := range []struct {
		plan    string
		studios int
	}{{"hobby", 5}, {"studio", 3}, {"school", 2}} {
		for i := range p.studios {
			fmt.Fprintf(&s, "  - {name: %s-%d, plan: %s, keys: [key-%d], doors: {first: %d, spread: 2}}\n", p.plan, i, p.plan, n, n)
			n++
		}
	}
	s.WriteString(`boxes: {file: boxes.yaml, subscribe: true, drain-grace: 300ms, cold: {share: 0.25, time: 8s}, overload: {factor: 4, time: 2s}}
load: {via: answers, fields: [{name: named_metrics.in_flight, is: in-flight}, {name: cpu_utilization, is: utilization}]}
attempts: {most: 3}
keeper: {address: "10.0.0.1:6379", timeout: 80ms, price: 0.02}
limits: {hold-answer: 4KiB, write-timeout: 5s, idle-timeout: 20s, head-timeout: 5s, body-timeout: 5s, box-idle-timeout: 5s, stream-silence: 1500ms, lines-per-box: 64, connect-timeout: 600ms}
`)
	return config.Parse("gateway.yaml", []byte(s.String()), []byte(`openapi: 3.0.3
info: {title: simulated, version: "1"}
paths:
  /bookings: {post: {x-sandyard-class: slot-booking, responses: {}}, get: {x-sandyard-class: slot-booking, responses: {}}}
  /firings: {post: {x-sandyard-class: firing, responses: {}}}
  /payments: {post: {x-sandyard-class: payment, responses: {}}}
  /feed: {get: {x-sandyard-class: feed, responses: {}}}
`), []byte("boxes: []\n"))
}
