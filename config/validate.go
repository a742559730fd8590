package config

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"sandyard/internal/strictyaml"
)

const (
	minTraceFileBytes   = 64 << 10 // minimum size of a trace file; with less, a file would hold only a few frames
	minTraceBufferSteps = 64       // minimum buffer; with less, steps would be dropped whenever the disk is slow for a moment
)

// validate validates the sections of gateway.yaml that do not depend on other files. Classes are validated together with
// the operations that name them (derive.go), and customers when they are indexed (customers.go).
func (c *Config) validate(d *strictyaml.Document) {
	c.validateListenAndFiles(d)
	c.validateInstance(d)
	c.validateCounter(d)
	c.validateAttempts(d)
	c.validateBackends(d)
	c.validateLoad(d)
	c.validateLog(d)
	c.validateTrace(d)
	c.validateLimits(d)
	c.validatePlans(d)
}

// reportBelow reports a value below a minimum.
func reportBelow(d *strictyaml.Document, field string, x, minimum float64) {
	if x < minimum {
		d.Reportf(field, "%g: expected %g or more", x, minimum)
	}
}

// reportBadAddress reports an address that is not of the form host:port.
func reportBadAddress(d *strictyaml.Document, field, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		d.Reportf(field, "%q: expected host:port", address)
	}
}

// isShare reports whether x is above 0 and at most 1. It is false for NaN.
func isShare(x float64) bool { return x > 0 && x <= 1 }

func (c *Config) validateListenAndFiles(d *strictyaml.Document) {
	reportBadAddress(d, "listen", c.Listen)
	if c.OpenAPI == "" {
		d.Reportf("openapi", "missing: the description that routes and costs come from")
	}
	if c.Backends.File == "" {
		d.Reportf("boxes.file", "missing: the list of boxes")
	}
}

func (c *Config) validateInstance(d *strictyaml.Document) {
	in := c.Instance
	if in.Total < 1 || in.Number < 0 || in.Number >= max(1, in.Total) {
		d.Reportf("door.number", "front door %d of %d: expected 0 to of-1", in.Number, in.Total)
	}
	if in.Zone != "" && !slices.Contains(c.Zones, in.Zone) {
		d.Reportf("door.zone", "%q is not among zones", in.Zone)
	}
	for i, z := range c.Zones {
		if slices.Contains(c.Zones[:i], z) {
			d.Reportf(fmt.Sprintf("zones[%d]", i), "%q occurs twice", z)
		}
	}
}

func (c *Config) validateCounter(d *strictyaml.Document) {
	reportBelow(d, "keeper.price", c.Counter.Cost, 0)
	if c.Counter.Address == "" {
		return
	}
	reportBadAddress(d, "keeper.address", c.Counter.Address)
	reportBelow(d, "keeper.pending", float64(c.Counter.MaxPending), 1)
	if c.Counter.Timeout == 0 {
		d.Reportf("keeper.timeout", "expected a time above 0")
	}
}

func (c *Config) validateAttempts(d *strictyaml.Document) {
	reportBelow(d, "attempts.most", float64(c.Attempts.Max), 1)
	reportBelow(d, "units.most", c.Units.Max, 0)
}

func (c *Config) validateBackends(d *strictyaml.Document) {
	if share := c.Backends.SlowStart.Share; !isShare(share) {
		d.Reportf("boxes.cold.share", "%g: expected a share above 0, up to 1", share)
	}
	reportBelow(d, "boxes.overload.factor", c.Backends.Overload.Factor, 0)
	for i, status := range c.Backends.RejectedStatuses {
		if status < 400 || status > 599 {
			d.Reportf(fmt.Sprintf("boxes.full-statuses[%d]", i), "%d: expected a status from 400 to 599", status)
		}
	}
}

func (c *Config) validateLoad(d *strictyaml.Document) {
	reportBelow(d, "probes.price", c.Probes.Cost, 0)
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
		if _, ok := loadFields[f.Metric]; !ok {
			d.Reportf(fmt.Sprintf("load.fields[%d].is", i), "%q: expected in-flight, queue, utilization, latency, served, errors or other", f.Metric)
		}
		if f.Name == "" {
			d.Reportf(fmt.Sprintf("load.fields[%d].name", i), "missing: the figure's name in the report")
		}
	}
}

func (c *Config) validateLog(d *strictyaml.Document) {
	if !slices.Contains([]string{"json", "text"}, c.Log.Format) {
		d.Reportf("log.format", "%q: expected json or text", c.Log.Format)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, c.Log.Level) {
		d.Reportf("log.level", "%q: expected debug, info, warn or error", c.Log.Level)
	}
}

func (c *Config) validateTrace(d *strictyaml.Document) {
	t := c.Trace
	if t.Mode == "off" {
		return
	}
	if t.Mode != "sampled" && t.Mode != "full" {
		d.Reportf("trace.mode", "%q: expected off, sampled or full", t.Mode)
		return
	}
	if t.Folder == "" {
		d.Reportf("trace.folder", "missing: the folder for the files")
	}
	if !isShare(t.Share) {
		d.Reportf("trace.share", "%g: expected a share above 0, up to 1", t.Share)
	}
	if t.FileSize < minTraceFileBytes || t.MaxTotalSize < t.FileSize {
		d.Reportf("trace.file-size", "expected 64KiB or more, and no more than trace.most")
	}
	reportBelow(d, "trace.buffer", float64(t.Buffer), minTraceBufferSteps)
}

func (c *Config) validateLimits(d *strictyaml.Document) {
	l := c.Limits
	for _, limit := range []struct {
		field string
		value int
	}{
		{"connections", l.Connections}, {"lines", l.BackendConns}, {"lines-per-box", l.ConnsPerBackend}, {"queue", l.Queue},
		{"fields", l.Fields}, {"memory", int(l.Memory)}, {"head", int(l.Head)}, {"hold-answer", int(l.HoldResponse)},
		{"first-timeout", int(l.FirstTimeout)}, {"head-timeout", int(l.HeadTimeout)}, {"body-timeout", int(l.BodyTimeout)},
		{"write-timeout", int(l.WriteTimeout)}, {"idle-timeout", int(l.IdleTimeout)}, {"connect-timeout", int(l.ConnectTimeout)},
		{"box-idle-timeout", int(l.BackendIdleTimeout)}, {"stream-silence", int(l.StreamIdleTimeout)},
		{"shutdown-timeout", int(l.ShutdownTimeout)},
	} {
		if limit.value < 1 {
			d.Reportf("limits."+limit.field, "expected more than 0")
		}
	}
	if l.Body > l.Memory {
		d.Reportf("limits.body", "more than limits.memory")
	}
}

func (c *Config) validatePlans(d *strictyaml.Document) {
	seen := map[string]bool{}
	for i := range c.Plans {
		p, at := &c.Plans[i], fmt.Sprintf("plans[%d]", i)
		if p.Name == "" {
			d.Reportf(at+".name", "missing")
		} else if seen[p.Name] {
			d.Reportf(at+".name", "%q occurs twice", p.Name)
		}
		seen[p.Name] = true
		if !d.Has(at + ".price") {
			p.WeightFactor = 1
		}
		p.validate(d, at)
	}
	if len(c.Plans) == 0 {
		d.Reportf("plans", "missing: at least one plan")
	}
}

// validate reports values of a plan that are out of range or contradict each other.
func (p *Plan) validate(d *strictyaml.Document, at string) {
	reportBelow(d, at+".burst", p.Burst, 0)
	reportBelow(d, at+".open", float64(p.MaxInFlight), 0)
	reportBelow(d, at+".price", p.WeightFactor, 0)
	reportBelow(d, at+".over-worth", p.OverQuotaValue, 0)
	reportBelow(d, at+".over-cost", p.OverQuotaCost, 0)
	reportBelow(d, at+".ceiling.burst", p.Ceiling.Burst, 0)
	reportBelow(d, at+".ceiling.slack", p.Ceiling.Slack, 0)
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
