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

// Version is the version of the script format. ReadScript rejects scripts of other versions.
const Version = 1

// Script is the complete input of a simulation. Its keys and their order are a stored format.
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
	Seconds        float64             `yaml:"seconds"` // duration of the traffic (seconds)
	Instances      int                 `yaml:"doors"`
	Rate           float64             `yaml:"rate"` // requests/s of all clients together
	Config         string              `yaml:"config"`
	Backends       Backends            `yaml:"boxes"`
	SlowStart      SlowStart           `yaml:"cold"`
	PlanFactor     float64             `yaml:"plans"`   // factor on the rates, bursts and ceilings of all plans
	OverQuotaValue float64             `yaml:"soft"`    // share of its value that a response beyond the quota has, in plans with a ceiling; 0: as configured
	LateShare      float64             `yaml:"late"`    // share of its value that a late response has, in all classes except streams; 0: as configured
	KeyTTL         strictyaml.Duration `yaml:"key-ttl"` // for all classes with idempotency keys; 0: as configured
	Net            Net                 `yaml:"net"`
	Drift          float64             `yaml:"drift"` // largest share by which instances' clocks run fast or slow
	Clients        Clients             `yaml:"clients"`
	Scenario       string              `yaml:"-"` // name of the scenario that a generator drew, if any
	Events         []fault.Event       `yaml:"-"`
	Faults         []ScriptFault       `yaml:"troubles"`
}

// Backends describes a script's backends.
type Backends struct {
	Count       int                 `yaml:"count"`
	Cores       int                 `yaml:"cores"`
	Queue       int                 `yaml:"queue"`
	Cells       int                 `yaml:"cells"` // number of cells; from 2 on, repeats of a key are discarded within a cell only
	IdleTimeout strictyaml.Duration `yaml:"idle"`  // after which a backend closes an idle connection; 0: never
	Work        strictyaml.Duration `yaml:"work"`  // mean work of a request
	Body        int                 `yaml:"body"`  // body of a response (bytes)
}

// SlowStart describes the slow start of a script's backends. A value of 0 means as configured.
type SlowStart struct {
	Share          float64             `yaml:"share"` // speed at the start, as a share of the full speed
	Duration       strictyaml.Duration `yaml:"time"`
	OverloadFactor float64             `yaml:"factor"` // multiple of its capacity at which a backend in slow start collapses
	OverloadTime   strictyaml.Duration `yaml:"over"`   // period over which that load is measured
}

// Net describes a script's network.
type Net struct {
	Latency          strictyaml.Duration `yaml:"latency"`
	Jitter           float64             `yaml:"jitter"` // mean of the added random latency, as a share of the latency
	SplitProbability float64             `yaml:"split"`  // probability that a write is split in two, applied repeatedly
}

// Clients describes how a script's clients behave.
type Clients struct {
	Retries       int     `yaml:"retries"`
	PipelineShare float64 `yaml:"pipeline"` // share of operations that pipeline several requests
	NewConnShare  float64 `yaml:"fresh"`    // share of requests that use a new connection
	MaxBody       int     `yaml:"body"`     // largest body of a request (bytes)
}

// ScriptFault is a fault as written in a script. Script.Events holds the parsed faults.
type ScriptFault struct {
	At       strictyaml.Duration `yaml:"at"`
	Duration strictyaml.Duration `yaml:"for"`
	Verb     string              `yaml:"verb"`
	Target   string              `yaml:"target"`
	Value    float64             `yaml:"value"`
}

// defaults returns a script with the default values.
func defaults() Script {
	return Script{Version: Version, Seconds: 15, Instances: 3, Rate: 40, PlanFactor: 1,
		Backends: Backends{Count: 4, Cores: 2, Queue: 24, Work: strictyaml.Duration(30 * time.Millisecond), Body: 64},
		Net:      Net{Latency: strictyaml.Duration(500 * time.Microsecond), Jitter: 0.3, SplitProbability: 0.1},
		Clients:  Clients{Retries: 2, PipelineShare: 0.03, NewConnShare: 0.2, MaxBody: 40}}
}

// trafficTime returns the duration of the traffic.
func (s *Script) trafficTime() time.Duration { return time.Duration(s.Seconds * float64(time.Second)) }

// Text formats a script. ReadScript parses the result.
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
