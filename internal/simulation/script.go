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

// Version is the version of the script format. Scripts of other versions are refused.
const Version = 1

// Script states all that a run of the simulator needs. Its keys and their order are a stored format.
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
	OverQuotaValue float64             `yaml:"soft"`    // value of what plans with a ceiling get beyond their quota, as a share; 0: as configured
	LateShare      float64             `yaml:"late"`    // share of its value that a late response has, in all classes but streams; 0: as configured
	KeyTTL         strictyaml.Duration `yaml:"key-ttl"` // of all classes with idempotency keys; 0: as configured
	Net            Net                 `yaml:"net"`
	Drift          float64             `yaml:"drift"` // instances' clocks run fast or slow by up to this share
	Clients        Clients             `yaml:"clients"`
	Scenario       string              `yaml:"-"` // name of the one that a generator drew, if any
	Events         []fault.Event       `yaml:"-"`
	Faults         []ScriptFault       `yaml:"troubles"`
}

// Backends describes a script's backends.
type Backends struct {
	Count       int                 `yaml:"count"`
	Cores       int                 `yaml:"cores"`
	Queue       int                 `yaml:"queue"`
	Cells       int                 `yaml:"cells"` // 2 or more: repeats of a key are discarded within one of so many cells only
	IdleTimeout strictyaml.Duration `yaml:"idle"`  // after which they close a connection; 0: never
	Work        strictyaml.Duration `yaml:"work"`  // mean work of a request
	Body        int                 `yaml:"body"`  // bytes of a response's
}

// SlowStart describes how a script's backends start; what is 0 is as configured.
type SlowStart struct {
	Share          float64             `yaml:"share"`
	Duration       strictyaml.Duration `yaml:"time"`
	OverloadFactor float64             `yaml:"factor"` // sent this multiple of its capacity
	OverloadTime   strictyaml.Duration `yaml:"over"`   // for so long, a backend in slow start collapses
}

// Net describes a script's network.
type Net struct {
	Latency          strictyaml.Duration `yaml:"latency"`
	Jitter           float64             `yaml:"jitter"` // mean of what is added, as a share of the latency
	SplitProbability float64             `yaml:"split"`  // that a write is split in two, again and again
}

// Clients describes how a script's clients behave.
type Clients struct {
	Retries       int     `yaml:"retries"`
	PipelineShare float64 `yaml:"pipeline"` // of the operations, that pipeline several requests
	NewConnShare  float64 `yaml:"fresh"`    // of the requests, that use a new connection
	MaxBody       int     `yaml:"body"`     // bytes of a request's body, at most
}

// ScriptFault is a fault as it is written; Script.Events has the parsed ones.
type ScriptFault struct {
	At       strictyaml.Duration `yaml:"at"`
	Duration strictyaml.Duration `yaml:"for"`
	Verb     string              `yaml:"verb"`
	Target   string              `yaml:"target"`
	Value    float64             `yaml:"value"`
}

func defaults() Script {
	return Script{Version: Version, Seconds: 15, Instances: 3, Rate: 40, PlanFactor: 1,
		Backends: Backends{Count: 4, Cores: 2, Queue: 24, Work: strictyaml.Duration(30 * time.Millisecond), Body: 64},
		Net:      Net{Latency: strictyaml.Duration(500 * time.Microsecond), Jitter: 0.3, SplitProbability: 0.1},
		Clients:  Clients{Retries: 2, PipelineShare: 0.03, NewConnShare: 0.2, MaxBody: 40}}
}

// trafficTime returns how long the traffic lasts.
func (s *Script) trafficTime() time.Duration { return time.Duration(s.Seconds * float64(time.Second)) }

// Text renders a script; ReadScript parses it.
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

// applyTo returns a copy of a configuration with the script's changes.
func (s *Script) applyTo(cfg *config.Config) *config.Config {
	c := *cfg
	c.Settings.Classes, c.Settings.Plans = slices.Clone(cfg.Settings.Classes), slices.Clone(cfg.Settings.Plans)
	set := &c.Settings
	for i := range set.Classes {
		if class := &set.Classes[i]; class.Idempotency == decision.IdempotentByKey && s.KeyTTL > 0 {
			class.KeyTTL = time.Duration(s.KeyTTL)
		}
		if class := &set.Classes[i]; s.LateShare > 0 && !class.Stream {
			class.LateShare = s.LateShare
		}
		if class := &set.Classes[i]; class.Idempotency == decision.IdempotentByKey && s.Backends.Cells > 1 {
			class.KeyScope = decision.KeyScopeCell
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
