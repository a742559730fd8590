package simulation

import (
	"fmt"
	"strconv"
	"time"

	"sandyard/fault"
	"sandyard/internal/strictyaml"
)

// Bounds of the values in a script, far beyond those of generated scripts.
const (
	maxInstances  = 128
	maxBackends   = 256
	maxSeconds    = 24 * 3600
	maxScriptRate = 20000
)

// ReadScript parses a script. The error is a diagnostic.Problems.
func ReadScript(file string, text []byte) (*Script, error) {
	s := defaults()
	s.Version = 0
	d := strictyaml.Read(file, text, &s)
	if d.Readable() && s.Version != Version {
		d.Reportf("version", "%d: this program reads scripts of version %d; generate the script again from its seed, or with the program that wrote it", s.Version, Version)
	}
	s.Seed = uint64(s.WrittenSeed)
	s.checkBounds(d)
	s.parseFaults(d)
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// checkBounds reports values that are out of bounds.
func (s *Script) checkBounds(d *strictyaml.Document) {
	check := func(field string, x, low, high float64) {
		if !(x >= low) || x > high {
			d.Reportf(field, "%g: expected %g to %g", x, low, high)
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
}

// parseFaults converts the written faults to events.
func (s *Script) parseFaults(d *strictyaml.Document) {
	for i, t := range s.Faults {
		at := fmt.Sprintf("troubles[%d]", i)
		v, _, err := fault.Parse(t.Verb + " " + strconv.FormatFloat(t.Value, 'g', -1, 64))
		if err != nil {
			d.Reportf(at+".verb", "%v", err)
		}
		if t.Target == "" {
			d.Reportf(at+".target", "missing; * stands for all")
		}
		if time.Duration(t.At) > s.trafficTime() {
			d.Reportf(at+".at", "after the end of the traffic")
		}
		s.Events = append(s.Events, fault.Event{At: time.Duration(t.At), Duration: time.Duration(t.Duration), Verb: v, Target: t.Target, Value: t.Value})
	}
}
