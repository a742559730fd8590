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

	"sandyard/choice"
	"sandyard/internal/diag"
	"sandyard/internal/strict"
	"sandyard/routes"
)

// File is gateway.yaml as it is written.
type File struct {
	Listen  string `yaml:"listen"`
	OpenAPI string `yaml:"openapi"`
	Door    struct {
		Number int    `yaml:"number"`
		Of     int    `yaml:"of"`
		Zone   string `yaml:"zone"`
	} `yaml:"door"`
	Zones   []string `yaml:"zones"`
	Headers struct {
		Key      string `yaml:"key"`
		Patience string `yaml:"patience"`
		Retry    string `yaml:"retry"`
		Units    string `yaml:"units"`
	} `yaml:"headers"`
	Classes []Class  `yaml:"classes"`
	Plans   []Plan   `yaml:"plans"`
	Studios []Studio `yaml:"studios"`
	Boxes   struct {
		File         string          `yaml:"file"`
		DrainGrace   strict.Duration `yaml:"drain-grace"`
		Subscribe    bool            `yaml:"subscribe"`
		AskWithin    strict.Duration `yaml:"ask-within"`
		FullStatuses []int           `yaml:"full-statuses"`
		Cold         struct {
			Share float64         `yaml:"share"`
			Time  strict.Duration `yaml:"time"`
		} `yaml:"cold"`
		Overload struct {
			Factor float64         `yaml:"factor"`
			Time   strict.Duration `yaml:"time"`
		} `yaml:"overload"`
	} `yaml:"boxes"`
	Load struct {
		Via    string      `yaml:"via"`
		Fields []LoadField `yaml:"fields"`
	} `yaml:"load"`
	Probes struct {
		Allowed bool    `yaml:"allowed"`
		Price   float64 `yaml:"price"`
		Path    string  `yaml:"path"`
	} `yaml:"probes"`
	Attempts struct {
		Most         int  `yaml:"most"`
		Cancel       bool `yaml:"cancel"`
		SecondCopies bool `yaml:"second-copies"`
	} `yaml:"attempts"`
	RetryAfter struct {
		Tell bool            `yaml:"tell"`
		Most strict.Duration `yaml:"most"`
	} `yaml:"retry-after"`
	Keeper struct {
		Address string          `yaml:"address"`
		Timeout strict.Duration `yaml:"timeout"`
		Price   float64         `yaml:"price"`
		Pending int             `yaml:"pending"`
	} `yaml:"keeper"`
	Units struct {
		Most        float64 `yaml:"most"`
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
	Name      string          `yaml:"name"`
	Repeat    string          `yaml:"repeat"`
	Scope     string          `yaml:"scope"`
	KeyTTL    strict.Duration `yaml:"key-ttl"`
	Aim       strict.Duration `yaml:"aim"`
	Deadline  strict.Duration `yaml:"deadline"`
	Worth     float64         `yaml:"worth"`
	LateShare float64         `yaml:"late-share"`
	Stream    bool            `yaml:"stream"`
}

// Plan is what a studio on it is entitled to.
type Plan struct {
	Name      string      `yaml:"name"`
	Rate      strict.Rate `yaml:"rate"`
	Burst     float64     `yaml:"burst"`
	Open      int         `yaml:"open"`
	Price     float64     `yaml:"price"`
	OverWorth float64     `yaml:"over-worth"`
	OverCost  float64     `yaml:"over-cost"`
	Ceiling   struct {
		Rate  strict.Rate `yaml:"rate"`
		Burst float64     `yaml:"burst"`
		Slack float64     `yaml:"slack"`
	} `yaml:"ceiling"`
}

// Studio is a customer with its keys. A key is written plainly, or as sha256:HEX of it.
type Studio struct {
	Name  string   `yaml:"name"`
	Plan  string   `yaml:"plan"`
	Keys  []string `yaml:"keys"`
	Doors struct {
		First  int `yaml:"first"`
		Spread int `yaml:"spread"`
	} `yaml:"doors"`
}

// LoadField is one figure of a box's load report.
type LoadField struct {
	Name string `yaml:"name"` // as the report has it
	Is   string `yaml:"is"`   // what it stands for
}

// Limits bound what a front door holds and how long it waits. docs/operate/front-door.md has what happens at each.
type Limits struct {
	Connections     int             `yaml:"connections"`
	Lines           int             `yaml:"lines"`
	LinesPerBox     int             `yaml:"lines-per-box"`
	Queue           int             `yaml:"queue"`
	Memory          strict.Size     `yaml:"memory"`
	Body            strict.Size     `yaml:"body"`
	Head            strict.Size     `yaml:"head"`
	Fields          int             `yaml:"fields"`
	HoldAnswer      strict.Size     `yaml:"hold-answer"`
	Answer          strict.Size     `yaml:"answer"`        // a larger one is taken to be spoilt; 0: there is no such bound
	FirstTimeout    strict.Duration `yaml:"first-timeout"` // for a new connection's first request to be whole
	HeadTimeout     strict.Duration `yaml:"head-timeout"`
	BodyTimeout     strict.Duration `yaml:"body-timeout"`
	WriteTimeout    strict.Duration `yaml:"write-timeout"`
	IdleTimeout     strict.Duration `yaml:"idle-timeout"`
	ConnectTimeout  strict.Duration `yaml:"connect-timeout"`
	BoxIdleTimeout  strict.Duration `yaml:"box-idle-timeout"`
	UnsafeIdle      strict.Duration `yaml:"unsafe-idle"`
	LineRest        strict.Duration `yaml:"line-rest"` // between two requests on a line, so that bytes behind an answer are seen
	AnswerMargin    strict.Duration `yaml:"answer-margin"`
	StreamSilence   strict.Duration `yaml:"stream-silence"`
	StopDelay       strict.Duration `yaml:"stop-delay"` // from the signal to stop until no more connections are taken
	ShutdownTimeout strict.Duration `yaml:"shutdown-timeout"`
}

// Trace says what is recorded of the decisions, and where.
type Trace struct {
	Mode     string      `yaml:"mode"`      // off, sampled or full
	Folder   string      `yaml:"folder"`    // of the files
	Share    float64     `yaml:"share"`     // of the requests, when sampled
	FileSize strict.Size `yaml:"file-size"` // a file of this size is followed by another
	Most     strict.Size `yaml:"most"`      // on disk; the oldest files go
	Buffer   int         `yaml:"buffer"`    // steps that wait to be written
}

// Customer is a studio ready for use.
type Customer struct {
	Name          string
	Plan          choice.PlanID
	PlanName      string
	Spread, First int
}

// Config is a checked configuration.
type Config struct {
	File
	Path     string // of gateway.yaml
	Settings choice.Settings
	Routes   *routes.Table
	ClassOf  []choice.ClassID // by routes.Operation.Index
	Names    []string         // of classes, by choice.ClassID
	Loads    []string         // report names, in the order of Settings.LoadFields
	Digest   string           // of the files that it was read from
	Boxes    []Box            // as the file had them when it was read
	byKey    map[[32]byte]*Customer
	byName   map[string]*Customer
}

// Customer finds the studio of a key. It compares digests, so that the time taken tells nothing of other keys.
func (c *Config) Customer(key string) *Customer { return c.byKey[sha256.Sum256([]byte(key))] }

// Studio finds a studio by name.
func (c *Config) Studio(name string) *Customer { return c.byName[name] }

// ForDoor is the configuration as front door number n of a fleet of another size has it. Studios that come in through
// all doors do so there, too.
func (c *Config) ForDoor(n, of int) *Config {
	d := *c
	d.Door.Number, d.Door.Of = n, of
	d.Settings.Self, d.Settings.Gateways = n, of
	d.Settings.Plans = slices.Clone(c.Settings.Plans)
	d.byKey, d.byName = map[[32]byte]*Customer{}, map[string]*Customer{}
	for name, cu := range c.byName {
		own := *cu
		if own.Spread == c.Door.Of || own.Spread > of {
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

// BoxesPath is where the list of boxes is kept.
func (c *Config) BoxesPath() string { return c.beside(c.File.Boxes.File) }

func (c *Config) beside(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(c.Path), name)
}

func defaults() File {
	var f File
	f.Listen = "127.0.0.1:8080"
	f.Door.Of = 1
	f.Headers.Key, f.Headers.Patience, f.Headers.Retry = "X-Api-Key", "X-Patience", "X-Retry"
	f.Headers.Units = "X-Units"
	f.Attempts.Most, f.Attempts.Cancel = 2, true
	f.Boxes.DrainGrace = strict.Duration(2 * time.Second)
	f.Boxes.Cold.Share = 1
	f.Load.Via = "none"
	f.Probes.Path = "/load"
	f.RetryAfter.Most = strict.Duration(2 * time.Second)
	f.Keeper.Timeout, f.Keeper.Pending = strict.Duration(50*time.Millisecond), 4096
	f.Units.Most = 1
	f.Log.Format, f.Log.Level = "json", "info"
	f.Trace = Trace{Mode: "off", Share: 0.05, FileSize: 64 << 20, Most: 1 << 30, Buffer: 1 << 16}
	f.Limits = Limits{Connections: 10000, Lines: 8192, LinesPerBox: 256, Queue: 8192, Memory: 256 << 20, Body: 1 << 20, Head: 32 << 10,
		Fields: 128, HoldAnswer: 64 << 10, FirstTimeout: strict.Duration(75 * time.Second), HeadTimeout: strict.Duration(10 * time.Second), BodyTimeout: strict.Duration(30 * time.Second),
		WriteTimeout: strict.Duration(15 * time.Second), IdleTimeout: strict.Duration(75 * time.Second),
		ConnectTimeout: strict.Duration(250 * time.Millisecond), BoxIdleTimeout: strict.Duration(15 * time.Second),
		UnsafeIdle: strict.Duration(time.Second), AnswerMargin: strict.Duration(20 * time.Millisecond),
		StreamSilence: strict.Duration(30 * time.Second), ShutdownTimeout: strict.Duration(30 * time.Second)}
	return f
}

// Load reads gateway.yaml and the files it names. The error is a diag.Problems with all that is wrong.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, diag.Problems{{File: path, Message: plainError(err)}}.Err()
	}
	c, d := parse(path, text)
	sum := sha256.New()
	sum.Write(text)
	if c.OpenAPI != "" {
		p := c.beside(c.OpenAPI)
		if text, err := os.ReadFile(p); err != nil {
			d.Say("openapi", "%s", plainError(err))
		} else if _, err = sum.Write(text); err != nil {
			add(d, err)
		} else if c.Routes, err = routes.Compile(p, text); err != nil {
			add(d, err)
		}
	}
	if c.File.Boxes.File != "" {
		p := c.BoxesPath()
		if text, err := os.ReadFile(p); err != nil {
			d.Say("boxes.file", "%s", plainError(err))
		} else if c.Boxes, err = ParseBoxes(p, text); err != nil {
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
	if c.Boxes, err = ParseBoxes(c.File.Boxes.File, boxes); err != nil {
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

func add(d *strict.Document, err error) {
	if ps, ok := err.(diag.Problems); ok {
		d.Problems = append(d.Problems, ps...)
	} else {
		d.Say("", "%v", err)
	}
}

func parse(path string, text []byte) (*Config, *strict.Document) {
	c := &Config{File: defaults(), Path: path, byKey: map[[32]byte]*Customer{}, byName: map[string]*Customer{}}
	d := strict.Read(path, text, &c.File)
	if d.Whole() {
		c.checkTop(d)
		c.checkPlans(d)
		c.checkStudios(d)
	}
	return c, d
}

func (c *Config) finish(d *strict.Document) (*Config, error) {
	if c.Routes != nil && d.Whole() {
		c.settle(d)
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func atLeast(d *strict.Document, field string, x, least float64) {
	if x < least {
		d.Say(field, "%g: expected %g or more", x, least)
	}
}

func (c *Config) checkTop(d *strict.Document) {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		d.Say("listen", "%q: expected host:port", c.Listen)
	}
	if c.OpenAPI == "" {
		d.Say("openapi", "missing: the description that routes and costs come from")
	}
	if c.File.Boxes.File == "" {
		d.Say("boxes.file", "missing: the list of boxes")
	}
	if c.Door.Of < 1 || c.Door.Number < 0 || c.Door.Number >= max(1, c.Door.Of) {
		d.Say("door.number", "front door %d of %d: expected 0 to of-1", c.Door.Number, c.Door.Of)
	}
	if c.Door.Zone != "" && !slices.Contains(c.Zones, c.Door.Zone) {
		d.Say("door.zone", "%q is not among zones", c.Door.Zone)
	}
	for i, z := range c.Zones {
		if slices.Contains(c.Zones[:i], z) {
			d.Say(fmt.Sprintf("zones[%d]", i), "%q stands twice", z)
		}
	}
	if c.Keeper.Address != "" {
		if _, _, err := net.SplitHostPort(c.Keeper.Address); err != nil {
			d.Say("keeper.address", "%q: expected host:port", c.Keeper.Address)
		}
		atLeast(d, "keeper.pending", float64(c.Keeper.Pending), 1)
		if c.Keeper.Timeout == 0 {
			d.Say("keeper.timeout", "expected a time above 0")
		}
	}
	atLeast(d, "attempts.most", float64(c.Attempts.Most), 1)
	atLeast(d, "units.most", c.Units.Most, 0)
	atLeast(d, "probes.price", c.Probes.Price, 0)
	atLeast(d, "keeper.price", c.Keeper.Price, 0)
	if s := c.File.Boxes.Cold.Share; !(s > 0) || s > 1 {
		d.Say("boxes.cold.share", "%g: expected a share above 0, up to 1", s)
	}
	atLeast(d, "boxes.overload.factor", c.File.Boxes.Overload.Factor, 0)
	for i, s := range c.File.Boxes.FullStatuses {
		if s < 400 || s > 599 {
			d.Say(fmt.Sprintf("boxes.full-statuses[%d]", i), "%d: expected a status from 400 to 599", s)
		}
	}
	if !slices.Contains([]string{"none", "answers", "probes"}, c.Load.Via) {
		d.Say("load.via", "%q: expected none, answers or probes", c.Load.Via)
	}
	if c.Load.Via == "probes" && !c.Probes.Allowed {
		d.Say("load.via", "probes need probes.allowed")
	}
	if c.Probes.Allowed && !strings.HasPrefix(c.Probes.Path, "/") {
		d.Say("probes.path", "%q: expected a path that begins with /", c.Probes.Path)
	}
	for i, f := range c.Load.Fields {
		if _, ok := loadFields[f.Is]; !ok {
			d.Say(fmt.Sprintf("load.fields[%d].is", i), "%q: expected in-flight, queue, utilization, latency, served, errors or other", f.Is)
		}
		if f.Name == "" {
			d.Say(fmt.Sprintf("load.fields[%d].name", i), "missing: the figure's name in the report")
		}
	}
	if !slices.Contains([]string{"json", "text"}, c.Log.Format) {
		d.Say("log.format", "%q: expected json or text", c.Log.Format)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level) {
		d.Say("log.level", "%q: expected debug, info, warn or error", c.Log.Level)
	}
	if t := c.Trace; !slices.Contains([]string{"off", "sampled", "full"}, t.Mode) {
		d.Say("trace.mode", "%q: expected off, sampled or full", t.Mode)
	} else if t.Mode != "off" {
		if t.Folder == "" {
			d.Say("trace.folder", "missing: the folder for the files")
		}
		if !(t.Share > 0) || t.Share > 1 {
			d.Say("trace.share", "%g: expected a share above 0, up to 1", t.Share)
		}
		if t.FileSize < 64<<10 || t.Most < t.FileSize {
			d.Say("trace.file-size", "expected 64KiB or more, and no more than trace.most")
		}
		atLeast(d, "trace.buffer", float64(t.Buffer), 64)
	}
	l := c.Limits
	for name, n := range map[string]int{"connections": l.Connections, "lines": l.Lines, "lines-per-box": l.LinesPerBox, "queue": l.Queue,
		"fields": l.Fields, "memory": int(l.Memory), "head": int(l.Head), "hold-answer": int(l.HoldAnswer),
		"first-timeout": int(l.FirstTimeout), "head-timeout": int(l.HeadTimeout), "body-timeout": int(l.BodyTimeout), "write-timeout": int(l.WriteTimeout),
		"idle-timeout": int(l.IdleTimeout), "connect-timeout": int(l.ConnectTimeout),
		"box-idle-timeout": int(l.BoxIdleTimeout), "stream-silence": int(l.StreamSilence),
		"shutdown-timeout": int(l.ShutdownTimeout)} {
		if n < 1 {
			d.Say("limits."+name, "expected more than 0")
		}
	}
	if l.Body > l.Memory {
		d.Say("limits.body", "more than limits.memory")
	}
}

func (c *Config) checkPlans(d *strict.Document) {
	seen := map[string]bool{}
	for i := range c.Plans {
		p, at := &c.Plans[i], fmt.Sprintf("plans[%d]", i)
		if p.Name == "" {
			d.Say(at+".name", "missing")
		} else if seen[p.Name] {
			d.Say(at+".name", "%q stands twice", p.Name)
		}
		seen[p.Name] = true
		if !d.Has(at + ".price") {
			p.Price = 1
		}
		for name, x := range map[string]float64{"burst": p.Burst, "price": p.Price, "over-worth": p.OverWorth,
			"over-cost": p.OverCost, "ceiling.burst": p.Ceiling.Burst, "ceiling.slack": p.Ceiling.Slack, "open": float64(p.Open)} {
			atLeast(d, at+"."+name, x, 0)
		}
		if p.Rate > 0 && p.Burst < 1 {
			d.Say(at+".burst", "%g: a plan with a rate needs a burst of 1 unit or more", p.Burst)
		}
		if p.Ceiling.Rate > 0 && p.Ceiling.Rate < p.Rate {
			d.Say(at+".ceiling.rate", "below the plan's rate")
		}
		if p.Ceiling.Rate == 0 && p.Ceiling.Burst > 0 {
			d.Say(at+".ceiling.burst", "a ceiling needs a rate")
		}
	}
	if len(c.Plans) == 0 {
		d.Say("plans", "missing: at least one plan")
	}
}

func (c *Config) checkStudios(d *strict.Document) {
	holder := map[[32]byte]string{}
	for i := range c.Studios {
		s, at := &c.Studios[i], fmt.Sprintf("studios[%d]", i)
		plan := slices.IndexFunc(c.Plans, func(p Plan) bool { return p.Name == s.Plan })
		if plan < 0 {
			d.Say(at+".plan", "%q is not among plans", s.Plan)
		}
		if s.Name == "" {
			d.Say(at+".name", "missing")
		} else if c.byName[s.Name] != nil {
			d.Say(at+".name", "%q stands twice", s.Name)
		}
		spread := s.Doors.Spread
		if spread == 0 {
			spread = c.Door.Of
		}
		if spread < 1 || spread > max(1, c.Door.Of) {
			d.Say(at+".doors.spread", "%d: expected 1 to door.of", spread)
		}
		if s.Doors.First < 0 || s.Doors.First >= max(1, c.Door.Of) {
			d.Say(at+".doors.first", "%d: expected 0 to door.of-1", s.Doors.First)
		}
		cu := &Customer{Name: s.Name, Plan: choice.PlanID(plan), PlanName: s.Plan, Spread: spread, First: s.Doors.First}
		c.byName[s.Name] = cu
		if len(s.Keys) == 0 {
			d.Say(at+".keys", "missing: at least one key")
		}
		for j, k := range s.Keys {
			sum := sha256.Sum256([]byte(k))
			field := fmt.Sprintf("%s.keys[%d]", at, j)
			if hexed, ok := strings.CutPrefix(k, "sha256:"); ok {
				b, err := hex.DecodeString(hexed)
				if err != nil || len(b) != len(sum) {
					d.Say(field, "expected 64 hexadecimal digits after sha256:")
					continue
				}
				copy(sum[:], b)
			} else if k == "" {
				d.Say(field, "an empty key")
				continue
			}
			if other, ok := holder[sum]; ok {
				d.Say(field, "the same key as one of %q", other)
				continue
			}
			holder[sum], c.byKey[sum] = s.Name, cu
		}
	}
	if len(c.Studios) == 0 {
		d.Say("studios", "missing: at least one studio")
	}
}

var (
	loadFields = map[string]choice.LoadField{"in-flight": choice.FieldInFlight, "queue": choice.FieldQueue,
		"utilization": choice.FieldUtil, "latency": choice.FieldLatency, "served": choice.FieldServed,
		"errors": choice.FieldErrors, "other": choice.FieldOther}
	repeats = map[string]choice.Repeat{"safe": choice.Safe, "keyed": choice.Keyed, "unsafe": choice.Unsafe}
	scopes  = map[string]choice.Scope{"": choice.ScopeAll, "all": choice.ScopeAll, "zone": choice.ScopeZone,
		"cell": choice.ScopeCell}
)

// settle derives choice.Settings. A class of the configuration becomes one class of the settings for each way of
// repeating that operations of it have.
func (c *Config) settle(d *strict.Document) {
	s := &c.Settings
	*s = choice.Settings{Self: c.Door.Number, Gateways: c.Door.Of, Zone: max(0, slices.Index(c.Zones, c.Door.Zone)),
		LoadInAnswers: c.Load.Via == "answers", LoadByProbe: c.Load.Via == "probes", Probes: c.Probes.Allowed,
		ProbePrice: c.Probes.Price, Cancel: c.Attempts.Cancel, SecondCopies: c.Attempts.SecondCopies,
		RetryAfter: c.RetryAfter.Tell, MaxRetryAfter: time.Duration(c.RetryAfter.Most), MaxAttempts: c.Attempts.Most,
		Subscribe: c.File.Boxes.Subscribe, AskWithin: time.Duration(c.File.Boxes.AskWithin),
		DrainGrace: time.Duration(c.File.Boxes.DrainGrace), ColdShare: c.File.Boxes.Cold.Share,
		ColdTime: time.Duration(c.File.Boxes.Cold.Time), OverloadFactor: c.File.Boxes.Overload.Factor,
		OverloadTime: time.Duration(c.File.Boxes.Overload.Time), Counter: c.Keeper.Address != "",
		CounterTimeout: time.Duration(c.Keeper.Timeout), CounterPrice: c.Keeper.Price, MostUnits: c.Units.Most,
		UnitsSettleLater: c.Units.SettleLater}
	for _, f := range c.Load.Fields {
		s.LoadFields = append(s.LoadFields, loadFields[f.Is])
		c.Loads = append(c.Loads, f.Name)
	}
	for _, p := range c.Plans {
		s.Plans = append(s.Plans, choice.Plan{Rate: float64(p.Rate), Burst: p.Burst, Open: p.Open, Price: p.Price,
			OverWorth: p.OverWorth, OverCost: p.OverCost, CeilingRate: float64(p.Ceiling.Rate),
			CeilingBurst: p.Ceiling.Burst, CeilingSlack: p.Ceiling.Slack})
	}
	base := map[string]int{}
	for i, k := range c.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		if k.Name == "" {
			d.Say(at+".name", "missing")
		} else if _, twice := base[k.Name]; twice {
			d.Say(at+".name", "%q stands twice", k.Name)
		}
		base[k.Name] = i
		if _, ok := repeats[k.Repeat]; !ok {
			d.Say(at+".repeat", "%q: expected safe, keyed or unsafe", k.Repeat)
		}
		if _, ok := scopes[k.Scope]; !ok {
			d.Say(at+".scope", "%q: expected all, zone or cell", k.Scope)
		}
		if k.Repeat == "keyed" && k.KeyTTL == 0 {
			d.Say(at+".key-ttl", "a keyed class needs how long boxes remember its keys")
		}
		if k.Aim == 0 {
			d.Say(at+".aim", "expected a time above 0")
		}
		if k.Deadline < k.Aim || k.Deadline == 0 {
			d.Say(at+".deadline", "expected the aim or more")
		}
		if time.Duration(k.Deadline) <= time.Duration(c.Limits.AnswerMargin) {
			d.Say(at+".deadline", "no more than limits.answer-margin: no time would be left")
		}
		atLeast(d, at+".worth", k.Worth, 0)
		if k.LateShare < 0 || k.LateShare > 1 {
			d.Say(at+".late-share", "%g: expected a share from 0 to 1", k.LateShare)
		}
	}
	if len(c.Classes) == 0 {
		d.Say("classes", "missing: at least one class")
	}
	type use struct {
		class  int
		repeat routes.Repeat
	}
	ids := map[use]choice.ClassID{}
	for _, op := range c.Routes.Operations {
		i, ok := base[op.Class]
		if !ok {
			d.Problems = append(d.Problems, diag.Problem{File: c.beside(c.OpenAPI), Line: op.Line, Column: 1,
				Field: op.ID, Message: fmt.Sprintf("class %q is not among classes of %s", op.Class, c.Path)})
			c.ClassOf = append(c.ClassOf, 0)
			continue
		}
		if most := max(op.Units.Fixed, op.Units.Most); most > max(1, c.Units.Most) {
			d.Problems = append(d.Problems, diag.Problem{File: c.beside(c.OpenAPI), Line: op.Line, Column: 1,
				Field: op.ID, Message: fmt.Sprintf("up to %g units, more than units.most of %s (%g)", most, c.Path, c.Units.Most)})
		}
		u := use{i, op.Repeat}
		id, ok := ids[u]
		if !ok {
			k := c.Classes[i]
			class := choice.Class{Repeat: repeats[k.Repeat], Scope: scopes[k.Scope], KeyTTL: time.Duration(k.KeyTTL),
				Aim: time.Duration(k.Aim), Deadline: time.Duration(k.Deadline), Worth: k.Worth, LateShare: k.LateShare,
				Stream: k.Stream}
			name := k.Name
			if op.Repeat.Given {
				class.Repeat, class.Scope, class.KeyTTL = op.Repeat.Kind, op.Repeat.Scope, op.Repeat.TTL
			}
			id = choice.ClassID(len(s.Classes))
			ids[u] = id
			s.Classes, c.Names = append(s.Classes, class), append(c.Names, name)
		}
		c.ClassOf = append(c.ClassOf, id)
	}
}
