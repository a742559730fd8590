// Package config reads the settings of a front door: a YAML file, the OpenAPI description that it names and the
// list of boxes. Every mistake is told with file, line and field, all at once. What it returns is immutable and
// may be shared by goroutines. It decides nothing about requests; package choice does.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
	"sandyard/internal/strictyaml"
	"sandyard/routes"
)

// File is gateway.yaml as it is written.
type File struct {
	Listen   string `yaml:"listen"`
	OpenAPI  string `yaml:"openapi"`
	Instance struct {
		Number int    `yaml:"number"`
		Total  int    `yaml:"of"`
		Zone   string `yaml:"zone"`
	} `yaml:"door"`
	Zones   []string `yaml:"zones"`
	Headers struct {
		Key     string `yaml:"key"`
		Timeout string `yaml:"patience"`
		Retry   string `yaml:"retry"`
		Units   string `yaml:"units"`
	} `yaml:"headers"`
	Classes   []Class          `yaml:"classes"`
	Plans     []Plan           `yaml:"plans"`
	Customers []CustomerConfig `yaml:"studios"`
	Backends  struct {
		File             string              `yaml:"file"`
		DrainGrace       strictyaml.Duration `yaml:"drain-grace"`
		Subscribe        bool                `yaml:"subscribe"`
		PollInterval     strictyaml.Duration `yaml:"ask-within"`
		RejectedStatuses []int               `yaml:"full-statuses"`
		SlowStart        struct {
			Share float64             `yaml:"share"`
			Time  strictyaml.Duration `yaml:"time"`
		} `yaml:"cold"`
		Overload struct {
			Factor float64             `yaml:"factor"`
			Time   strictyaml.Duration `yaml:"time"`
		} `yaml:"overload"`
	} `yaml:"boxes"`
	Load struct {
		Via    string      `yaml:"via"`
		Fields []LoadField `yaml:"fields"`
	} `yaml:"load"`
	Probes struct {
		Allowed bool    `yaml:"allowed"`
		Cost    float64 `yaml:"price"`
		Path    string  `yaml:"path"`
	} `yaml:"probes"`
	Attempts struct {
		Max     int  `yaml:"most"`
		Cancel  bool `yaml:"cancel"`
		Hedging bool `yaml:"second-copies"`
	} `yaml:"attempts"`
	RetryAfter struct {
		Enabled bool                `yaml:"tell"`
		Max     strictyaml.Duration `yaml:"most"`
	} `yaml:"retry-after"`
	Counter struct {
		Address    string              `yaml:"address"`
		Timeout    strictyaml.Duration `yaml:"timeout"`
		Cost       float64             `yaml:"price"`
		MaxPending int                 `yaml:"pending"`
	} `yaml:"keeper"`
	Units struct {
		Max         float64 `yaml:"most"`
		SettleLater bool    `yaml:"settle-later"`
	} `yaml:"units"`
	Limits Limits `yaml:"limits"`
	Trace  Trace  `yaml:"trace"`
	Admin  struct {
		Socket string `yaml:"socket"` // path of the unix socket for tools; none if empty
	} `yaml:"admin"`
	Log struct {
		Format string `yaml:"format"`
		Level  string `yaml:"level"`
	} `yaml:"log"`
}

// Class is a kind of request, named by operations of the description.
type Class struct {
	Name             string              `yaml:"name"`
	Idempotency      string              `yaml:"repeat"`
	KeyScope         string              `yaml:"scope"`
	KeyTTL           strictyaml.Duration `yaml:"key-ttl"`
	LatencyObjective strictyaml.Duration `yaml:"aim"`
	Deadline         strictyaml.Duration `yaml:"deadline"`
	PriorityWeight   float64             `yaml:"worth"`
	LateShare        float64             `yaml:"late-share"`
	Stream           bool                `yaml:"stream"`
}

// Plan is what a studio on it is entitled to.
type Plan struct {
	Name           string          `yaml:"name"`
	Rate           strictyaml.Rate `yaml:"rate"`
	Burst          float64         `yaml:"burst"`
	MaxInFlight    int             `yaml:"open"`
	WeightFactor   float64         `yaml:"price"`
	OverQuotaValue float64         `yaml:"over-worth"`
	OverQuotaCost  float64         `yaml:"over-cost"`
	Ceiling        struct {
		Rate  strictyaml.Rate `yaml:"rate"`
		Burst float64         `yaml:"burst"`
		Slack float64         `yaml:"slack"`
	} `yaml:"ceiling"`
}

// CustomerConfig is a customer with its keys. A key is written plainly, or as sha256:HEX of it.
type CustomerConfig struct {
	Name      string   `yaml:"name"`
	Plan      string   `yaml:"plan"`
	Keys      []string `yaml:"keys"`
	Instances struct {
		First  int `yaml:"first"`
		Spread int `yaml:"spread"`
	} `yaml:"doors"`
}

// LoadField is one figure of a box's load report.
type LoadField struct {
	Name  string `yaml:"name"` // as the report has it
	Means string `yaml:"is"`   // what it stands for
}

// Limits bound what a front door holds and how long it waits. docs/operate/front-door.md has what happens at each.
type Limits struct {
	Connections        int                 `yaml:"connections"`
	BackendConns       int                 `yaml:"lines"`
	ConnsPerBackend    int                 `yaml:"lines-per-box"`
	Queue              int                 `yaml:"queue"`
	Memory             strictyaml.Size     `yaml:"memory"`
	Body               strictyaml.Size     `yaml:"body"`
	Head               strictyaml.Size     `yaml:"head"`
	Fields             int                 `yaml:"fields"`
	HoldResponse       strictyaml.Size     `yaml:"hold-answer"`
	Response           strictyaml.Size     `yaml:"answer"`        // a larger one is taken to be spoilt; 0: there is no such bound
	FirstTimeout       strictyaml.Duration `yaml:"first-timeout"` // for a new connection's first request to be whole
	HeadTimeout        strictyaml.Duration `yaml:"head-timeout"`
	BodyTimeout        strictyaml.Duration `yaml:"body-timeout"`
	WriteTimeout       strictyaml.Duration `yaml:"write-timeout"`
	IdleTimeout        strictyaml.Duration `yaml:"idle-timeout"`
	ConnectTimeout     strictyaml.Duration `yaml:"connect-timeout"`
	BackendIdleTimeout strictyaml.Duration `yaml:"box-idle-timeout"`
	NonIdempotentIdle  strictyaml.Duration `yaml:"unsafe-idle"`
	ReuseDelay         strictyaml.Duration `yaml:"line-rest"` // between two requests on a line, so that bytes behind an answer are seen
	ResponseMargin     strictyaml.Duration `yaml:"answer-margin"`
	StreamIdleTimeout  strictyaml.Duration `yaml:"stream-silence"`
	StopDelay          strictyaml.Duration `yaml:"stop-delay"` // from the signal to stop until no more connections are taken
	ShutdownTimeout    strictyaml.Duration `yaml:"shutdown-timeout"`
}

// Trace says what is recorded of the decisions, and where.
type Trace struct {
	Mode         string          `yaml:"mode"`      // off, sampled or full
	Folder       string          `yaml:"folder"`    // of the files
	Share        float64         `yaml:"share"`     // of the requests, when sampled
	FileSize     strictyaml.Size `yaml:"file-size"` // a file of this size is followed by another
	MaxTotalSize strictyaml.Size `yaml:"most"`      // on disk; the oldest files go
	Buffer       int             `yaml:"buffer"`    // steps that wait to be written
}

// Customer is a studio ready for use.
type Customer struct {
	Name          string
	Plan          decision.PlanID
	PlanName      string
	Spread, First int
}

// Config is a checked configuration.
type Config struct {
	File
	Path             string // of gateway.yaml
	Settings         decision.Settings
	Routes           *routes.Table
	ClassByOperation []decision.ClassID // by routes.Operation.Index
	ClassNames       []string           // of classes, by choice.ClassID
	LoadReportNames  []string           // report names, in the order of Settings.LoadFields
	Digest           string             // of the files that it was read from
	Endpoints        []Endpoint         // as the file had them when it was read
	byKey            map[[32]byte]*Customer
	byName           map[string]*Customer
}

// CustomerByKey finds the studio of a key. It compares digests, so that the time taken tells nothing of other keys.
func (c *Config) CustomerByKey(key string) *Customer { return c.byKey[sha256.Sum256([]byte(key))] }

// CustomerByName finds a studio by name.
func (c *Config) CustomerByName(name string) *Customer { return c.byName[name] }

// ForInstance is the configuration as front door number n of a fleet of another size has it. Studios that come in through
// all doors do so there, too.
func (c *Config) ForInstance(n, of int) *Config {
	d := *c
	d.Instance.Number, d.Instance.Total = n, of
	d.Settings.Self, d.Settings.Instances = n, of
	d.Settings.Plans = slices.Clone(c.Settings.Plans)
	d.byKey, d.byName = map[[32]byte]*Customer{}, map[string]*Customer{}
	for name, cu := range c.byName {
		own := *cu
		if own.Spread == c.Instance.Total || own.Spread > of {
			own.Spread = of
		}
		own.First %= of
		d.byName[name] = &own
	}
	for sum, cu := range c.byKey {
		d.byKey[sum] = d.byName[cu.Name]
	}
	return &d
}

// EndpointsPath is where the list of boxes is kept.
func (c *Config) EndpointsPath() string { return c.beside(c.File.Backends.File) }

func (c *Config) beside(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(c.Path), name)
}

func defaults() File {
	var f File
	f.Listen = "127.0.0.1:8080"
	f.Instance.Total = 1
	f.Headers.Key, f.Headers.Timeout, f.Headers.Retry = "X-Api-Key", "X-Patience", "X-Retry"
	f.Headers.Units = "X-Units"
	f.Attempts.Max, f.Attempts.Cancel = 2, true
	f.Backends.DrainGrace = strictyaml.Duration(2 * time.Second)
	f.Backends.SlowStart.Share = 1
	f.Load.Via = "none"
	f.Probes.Path = "/load"
	f.RetryAfter.Max = strictyaml.Duration(2 * time.Second)
	f.Counter.Timeout, f.Counter.MaxPending = strictyaml.Duration(50*time.Millisecond), 4096
	f.Units.Max = 1
	f.Log.Format, f.Log.Level = "json", "info"
	f.Trace = Trace{Mode: "off", Share: 0.05, FileSize: 64 << 20, MaxTotalSize: 1 << 30, Buffer: 1 << 16}
	f.Limits = Limits{Connections: 10000, BackendConns: 8192, ConnsPerBackend: 256, Queue: 8192, Memory: 256 << 20, Body: 1 << 20, Head: 32 << 10,
		Fields: 128, HoldResponse: 64 << 10, FirstTimeout: strictyaml.Duration(75 * time.Second), HeadTimeout: strictyaml.Duration(10 * time.Second), BodyTimeout: strictyaml.Duration(30 * time.Second),
		WriteTimeout: strictyaml.Duration(15 * time.Second), IdleTimeout: strictyaml.Duration(75 * time.Second),
		ConnectTimeout: strictyaml.Duration(250 * time.Millisecond), BackendIdleTimeout: strictyaml.Duration(15 * time.Second),
		NonIdempotentIdle: strictyaml.Duration(time.Second), ResponseMargin: strictyaml.Duration(20 * time.Millisecond),
		StreamIdleTimeout: strictyaml.Duration(30 * time.Second), ShutdownTimeout: strictyaml.Duration(30 * time.Second)}
	return f
}

// Load reads gateway.yaml and the files it names. The error is a diag.Problems with all that is wrong.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, diagnostic.Problems{{File: path, Message: plainError(err)}}.Err()
	}
	c, d := parse(path, text)
	sum := sha256.New()
	sum.Write(text)
	if c.OpenAPI != "" {
		p := c.beside(c.OpenAPI)
		if text, err := os.ReadFile(p); err != nil {
			d.Reportf("openapi", "%s", plainError(err))
		} else if _, err = sum.Write(text); err != nil {
			add(d, err)
		} else if c.Routes, err = routes.Compile(p, text); err != nil {
			add(d, err)
		}
	}
	if c.File.Backends.File != "" {
		p := c.EndpointsPath()
		if text, err := os.ReadFile(p); err != nil {
			d.Reportf("boxes.file", "%s", plainError(err))
		} else if c.Endpoints, err = ParseEndpoints(p, text); err != nil {
			add(d, err)
		}
	}
	c.Digest = hex.EncodeToString(sum.Sum(nil)[:8])
	return c.finish(d)
}

// AdminSocket is where tools find the front door; empty if nowhere.
func (c *Config) AdminSocket() string { return c.beside(c.Admin.Socket) }

// TraceFolder is where traces are kept.
func (c *Config) TraceFolder() string { return c.beside(c.Trace.Folder) }

// Parse is Load without a file system: the texts of the three files are given.
func Parse(path string, text, description, boxes []byte) (*Config, error) {
	c, d := parse(path, text)
	var err error
	if c.Routes, err = routes.Compile(c.OpenAPI, description); err != nil {
		add(d, err)
	}
	if c.Endpoints, err = ParseEndpoints(c.File.Backends.File, boxes); err != nil {
		add(d, err)
	}
	return c.finish(d)
}

func plainError(err error) string {
	if pe, ok := err.(*os.PathError); ok {
		return pe.Op + " " + pe.Path + ": " + pe.Err.Error()
	}
	return err.Error()
}

func add(d *strictyaml.Document, err error) {
	if ps, ok := err.(diagnostic.Problems); ok {
		d.Problems = append(d.Problems, ps...)
	} else {
		d.Reportf("", "%v", err)
	}
}

func parse(path string, text []byte) (*Config, *strictyaml.Document) {
	c := &Config{File: defaults(), Path: path, byKey: map[[32]byte]*Customer{}, byName: map[string]*Customer{}}
	d := strictyaml.Read(path, text, &c.File)
	if d.Whole() {
		c.checkTop(d)
		c.checkPlans(d)
		c.checkStudios(d)
	}
	return c, d
}

func (c *Config) finish(d *strictyaml.Document) (*Config, error) {
	if c.Routes != nil && d.Whole() {
		c.settle(d)
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func atLeast(d *strictyaml.Document, field string, x, least float64) {
	if x < least {
		d.Reportf(field, "%g: expected %g or more", x, least)
	}
}

func (c *Config) checkTop(d *strictyaml.Document) {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		d.Reportf("listen", "%q: expected host:port", c.Listen)
	}
	if c.OpenAPI == "" {
		d.Reportf("openapi", "missing: the description that routes and costs come from")
	}
	if c.File.Backends.File == "" {
		d.Reportf("boxes.file", "missing: the list of boxes")
	}
	if c.Instance.Total < 1 || c.Instance.Number < 0 || c.Instance.Number >= max(1, c.Instance.Total) {
		d.Reportf("door.number", "front door %d of %d: expected 0 to of-1", c.Instance.Number, c.Instance.Total)
	}
	if c.Instance.Zone != "" && !slices.Contains(c.Zones, c.Instance.Zone) {
		d.Reportf("door.zone", "%q is not among zones", c.Instance.Zone)
	}
	for i, z := range c.Zones {
		if slices.Contains(c.Zones[:i], z) {
			d.Reportf(fmt.Sprintf("zones[%d]", i), "%q stands twice", z)
		}
	}
	if c.Counter.Address != "" {
		if _, _, err := net.SplitHostPort(c.Counter.Address); err != nil {
			d.Reportf("keeper.address", "%q: expected host:port", c.Counter.Address)
		}
		atLeast(d, "keeper.pending", float64(c.Counter.MaxPending), 1)
		if c.Counter.Timeout == 0 {
			d.Reportf("keeper.timeout", "expected a time above 0")
		}
	}
	atLeast(d, "attempts.most", float64(c.Attempts.Max), 1)
	atLeast(d, "units.most", c.Units.Max, 0)
	atLeast(d, "probes.price", c.Probes.Cost, 0)
	atLeast(d, "keeper.price", c.Counter.Cost, 0)
	if s := c.File.Backends.SlowStart.Share; !(s > 0) || s > 1 {
		d.Reportf("boxes.cold.share", "%g: expected a share above 0, up to 1", s)
	}
	atLeast(d, "boxes.overload.factor", c.File.Backends.Overload.Factor, 0)
	for i, s := range c.File.Backends.RejectedStatuses {
		if s < 400 || s > 599 {
			d.Reportf(fmt.Sprintf("boxes.full-statuses[%d]", i), "%d: expected a status from 400 to 599", s)
		}
	}
	if !slices.Contains([]string{"none", "answers", "probes"}, c.Load.Via) {
		d.Reportf("load.via", "%q: expected none, answers or probes", c.Load.Via)
	}
	if c.Load.Via == "probes" && !c.Probes.Allowed {
		d.Reportf("load.via", "probes need probes.allowed")
	}
	if c.Probes.Allowed && !strings.HasPrefix(c.Probes.Path, "/") {
		d.Reportf("probes.path", "%q: expected a path that begins with /", c.Probes.Path)
	}
	for i, f := range c.Load.Fields {
		if _, ok := loadFields[f.Means]; !ok {
			d.Reportf(fmt.Sprintf("load.fields[%d].is", i), "%q: expected in-flight, queue, utilization, latency, served, errors or other", f.Means)
		}
		if f.Name == "" {
			d.Reportf(fmt.Sprintf("load.fields[%d].name", i), "missing: the figure's name in the report")
		}
	}
	if !slices.Contains([]string{"json", "text"}, c.Log.Format) {
		d.Reportf("log.format", "%q: expected json or text", c.Log.Format)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level) {
		d.Reportf("log.level", "%q: expected debug, info, warn or error", c.Log.Level)
	}
	if t := c.Trace; !slices.Contains([]string{"off", "sampled", "full"}, t.Mode) {
		d.Reportf("trace.mode", "%q: expected off, sampled or full", t.Mode)
	} else if t.Mode != "off" {
		if t.Folder == "" {
			d.Reportf("trace.folder", "missing: the folder for the files")
		}
		if !(t.Share > 0) || t.Share > 1 {
			d.Reportf("trace.share", "%g: expected a share above 0, up to 1", t.Share)
		}
		if t.FileSize < 64<<10 || t.MaxTotalSize < t.FileSize {
			d.Reportf("trace.file-size", "expected 64KiB or more, and no more than trace.most")
		}
		atLeast(d, "trace.buffer", float64(t.Buffer), 64)
	}
	l := c.Limits
	for name, n := range map[string]int{"connections": l.Connections, "lines": l.BackendConns, "lines-per-box": l.ConnsPerBackend, "queue": l.Queue,
		"fields": l.Fields, "memory": int(l.Memory), "head": int(l.Head), "hold-answer": int(l.HoldResponse),
		"first-timeout": int(l.FirstTimeout), "head-timeout": int(l.HeadTimeout), "body-timeout": int(l.BodyTimeout), "write-timeout": int(l.WriteTimeout),
		"idle-timeout": int(l.IdleTimeout), "connect-timeout": int(l.ConnectTimeout),
		"box-idle-timeout": int(l.BackendIdleTimeout), "stream-silence": int(l.StreamIdleTimeout),
		"shutdown-timeout": int(l.ShutdownTimeout)} {
		if n < 1 {
			d.Reportf("limits."+name, "expected more than 0")
		}
	}
	if l.Body > l.Memory {
		d.Reportf("limits.body", "more than limits.memory")
	}
}

func (c *Config) checkPlans(d *strictyaml.Document) {
	seen := map[string]bool{}
	for i := range c.Plans {
		p, at := &c.Plans[i], fmt.Sprintf("plans[%d]", i)
		if p.Name == "" {
			d.Reportf(at+".name", "missing")
		} else if seen[p.Name] {
			d.Reportf(at+".name", "%q stands twice", p.Name)
		}
		seen[p.Name] = true
		if !d.Has(at + ".price") {
			p.WeightFactor = 1
		}
		for name, x := range map[string]float64{"burst": p.Burst, "price": p.WeightFactor, "over-worth": p.OverQuotaValue,
			"over-cost": p.OverQuotaCost, "ceiling.burst": p.Ceiling.Burst, "ceiling.slack": p.Ceiling.Slack, "open": float64(p.MaxInFlight)} {
			atLeast(d, at+"."+name, x, 0)
		}
		if p.Rate > 0 && p.Burst < 1 {
			d.Reportf(at+".burst", "%g: a plan with a rate needs a burst of 1 unit or more", p.Burst)
		}
		if p.Ceiling.Rate > 0 && p.Ceiling.Rate < p.Rate {
			d.Reportf(at+".ceiling.rate", "below the plan's rate")
		}
		if p.Ceiling.Rate == 0 && p.Ceiling.Burst > 0 {
			d.Reportf(at+".ceiling.burst", "a ceiling needs a rate")
		}
	}
	if len(c.Plans) == 0 {
		d.Reportf("plans", "missing: at least one plan")
	}
}

func (c *Config) checkStudios(d *strictyaml.Document) {
	holder := map[[32]byte]string{}
	for i := range c.Customers {
		s, at := &c.Customers[i], fmt.Sprintf("studios[%d]", i)
		plan := slices.IndexFunc(c.Plans, func(p Plan) bool { return p.Name == s.Plan })
		if plan < 0 {
			d.Reportf(at+".plan", "%q is not among plans", s.Plan)
		}
		if s.Name == "" {
			d.Reportf(at+".name", "missing")
		} else if c.byName[s.Name] != nil {
			d.Reportf(at+".name", "%q stands twice", s.Name)
		}
		spread := s.Instances.Spread
		if spread == 0 {
			spread = c.Instance.Total
		}
		if spread < 1 || spread > max(1, c.Instance.Total) {
			d.Reportf(at+".doors.spread", "%d: expected 1 to door.of", spread)
		}
		if s.Instances.First < 0 || s.Instances.First >= max(1, c.Instance.Total) {
			d.Reportf(at+".doors.first", "%d: expected 0 to door.of-1", s.Instances.First)
		}
		cu := &Customer{Name: s.Name, Plan: decision.PlanID(plan), PlanName: s.Plan, Spread: spread, First: s.Instances.First}
		c.byName[s.Name] = cu
		if len(s.Keys) == 0 {
			d.Reportf(at+".keys", "missing: at least one key")
		}
		for j, k := range s.Keys {
			sum := sha256.Sum256([]byte(k))
			field := fmt.Sprintf("%s.keys[%d]", at, j)
			if hexed, ok := strings.CutPrefix(k, "sha256:"); ok {
				b, err := hex.DecodeString(hexed)
				if err != nil || len(b) != len(sum) {
					d.Reportf(field, "expected 64 hexadecimal digits after sha256:")
					continue
				}
				copy(sum[:], b)
			} else if k == "" {
				d.Reportf(field, "an empty key")
				continue
			}
			if other, ok := holder[sum]; ok {
				d.Reportf(field, "the same key as one of %q", other)
				continue
			}
			holder[sum], c.byKey[sum] = s.Name, cu
		}
	}
	if len(c.Customers) == 0 {
		d.Reportf("studios", "missing: at least one studio")
	}
}

var (
	loadFields = map[string]decision.LoadField{"in-flight": decision.FieldInFlight, "queue": decision.FieldQueue,
		"utilization": decision.FieldUtil, "latency": decision.FieldLatency, "served": decision.FieldServed,
		"errors": decision.FieldErrors, "other": decision.FieldOther}
	repeats = map[string]decision.Idempotency{"safe": decision.Idempotent, "keyed": decision.IdempotentByKey, "unsafe": decision.NotIdempotent}
	scopes  = map[string]decision.KeyScope{"": decision.KeyScopeAll, "all": decision.KeyScopeAll, "zone": decision.KeyScopeZone,
		"cell": decision.KeyScopeCell}
)

// settle derives choice.Settings. A class of the configuration becomes one class of the settings for each way of
// repeating that operations of it have.
func (c *Config) settle(d *strictyaml.Document) {
	s := &c.Settings
	*s = decision.Settings{Self: c.Instance.Number, Instances: c.Instance.Total, Zone: max(0, slices.Index(c.Zones, c.Instance.Zone)),
		LoadInAnswers: c.Load.Via == "answers", LoadByProbe: c.Load.Via == "probes", Probes: c.Probes.Allowed,
		ProbeCost: c.Probes.Cost, Cancel: c.Attempts.Cancel, Hedging: c.Attempts.Hedging,
		RetryAfter: c.RetryAfter.Enabled, MaxRetryAfter: time.Duration(c.RetryAfter.Max), MaxAttempts: c.Attempts.Max,
		Subscribe: c.File.Backends.Subscribe, PollInterval: time.Duration(c.File.Backends.PollInterval),
		DrainGrace: time.Duration(c.File.Backends.DrainGrace), SlowStartShare: c.File.Backends.SlowStart.Share,
		SlowStartTime: time.Duration(c.File.Backends.SlowStart.Time), OverloadFactor: c.File.Backends.Overload.Factor,
		OverloadTime: time.Duration(c.File.Backends.Overload.Time), Counter: c.Counter.Address != "",
		CounterTimeout: time.Duration(c.Counter.Timeout), CounterCost: c.Counter.Cost, MaxUnits: c.Units.Max,
		UnitsSettleLater: c.Units.SettleLater}
	for _, f := range c.Load.Fields {
		s.LoadFields = append(s.LoadFields, loadFields[f.Means])
		c.LoadReportNames = append(c.LoadReportNames, f.Name)
	}
	for _, p := range c.Plans {
		s.Plans = append(s.Plans, decision.Plan{Rate: float64(p.Rate), Burst: p.Burst, MaxInFlight: p.MaxInFlight, WeightFactor: p.WeightFactor,
			OverQuotaValue: p.OverQuotaValue, OverQuotaCost: p.OverQuotaCost, CeilingRate: float64(p.Ceiling.Rate),
			CeilingBurst: p.Ceiling.Burst, CeilingSlack: p.Ceiling.Slack})
	}
	base := map[string]int{}
	for i, k := range c.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		if k.Name == "" {
			d.Reportf(at+".name", "missing")
		} else if _, twice := base[k.Name]; twice {
			d.Reportf(at+".name", "%q stands twice", k.Name)
		}
		base[k.Name] = i
		if _, ok := repeats[k.Idempotency]; !ok {
			d.Reportf(at+".repeat", "%q: expected safe, keyed or unsafe", k.Idempotency)
		}
		if _, ok := scopes[k.KeyScope]; !ok {
			d.Reportf(at+".scope", "%q: expected all, zone or cell", k.KeyScope)
		}
		if k.Idempotency == "keyed" && k.KeyTTL == 0 {
			d.Reportf(at+".key-ttl", "a keyed class needs how long boxes remember its keys")
		}
		if k.LatencyObjective == 0 {
			d.Reportf(at+".aim", "expected a time above 0")
		}
		if k.Deadline < k.LatencyObjective || k.Deadline == 0 {
			d.Reportf(at+".deadline", "expected the aim or more")
		}
		if time.Duration(k.Deadline) <= time.Duration(c.Limits.ResponseMargin) {
			d.Reportf(at+".deadline", "no more than limits.answer-margin: no time would be left")
		}
		atLeast(d, at+".worth", k.PriorityWeight, 0)
		if k.LateShare < 0 || k.LateShare > 1 {
			d.Reportf(at+".late-share", "%g: expected a share from 0 to 1", k.LateShare)
		}
	}
	if len(c.Classes) == 0 {
		d.Reportf("classes", "missing: at least one class")
	}
	type use struct {
		class  int
		repeat routes.Repeat
	}
	ids := map[use]decision.ClassID{}
	for _, op := range c.Routes.Operations {
		i, ok := base[op.Class]
		if !ok {
			d.Problems = append(d.Problems, diagnostic.Problem{File: c.beside(c.OpenAPI), Line: op.Line, Column: 1,
				Field: op.ID, Message: fmt.Sprintf("class %q is not among classes of %s", op.Class, c.Path)})
			c.ClassByOperation = append(c.ClassByOperation, 0)
			continue
		}
		if most := max(op.Units.Fixed, op.Units.Most); most > max(1, c.Units.Max) {
			d.Problems = append(d.Problems, diagnostic.Problem{File: c.beside(c.OpenAPI), Line: op.Line, Column: 1,
				Field: op.ID, Message: fmt.Sprintf("up to %g units, more than units.most of %s (%g)", most, c.Path, c.Units.Max)})
		}
		u := use{i, op.Repeat}
		id, ok := ids[u]
		if !ok {
			k := c.Classes[i]
			class := decision.Class{Idempotency: repeats[k.Idempotency], KeyScope: scopes[k.KeyScope], KeyTTL: time.Duration(k.KeyTTL),
				LatencyObjective: time.Duration(k.LatencyObjective), Deadline: time.Duration(k.Deadline), PriorityWeight: k.PriorityWeight, LateShare: k.LateShare,
				Stream: k.Stream}
			name := k.Name
			if op.Repeat.Given {
				class.Idempotency, class.KeyScope, class.KeyTTL = op.Repeat.Kind, op.Repeat.Scope, op.Repeat.TTL
			}
			id = decision.ClassID(len(s.Classes))
			ids[u] = id
			s.Classes, c.ClassNames = append(s.Classes, class), append(c.ClassNames, name)
		}
		c.ClassByOperation = append(c.ClassByOperation, id)
	}
}
