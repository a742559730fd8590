package drill

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// writeEndpoints replaces the endpoint file, which all instances watch.
func (d *Drill) writeEndpoints() error {
	d.endpointFile.Lock()
	defer d.endpointFile.Unlock()
	var s strings.Builder
	s.WriteString("boxes:\n")
	d.mu.Lock()
	for _, b := range d.backends {
		if b.listedState == listedGone {
			continue
		}
		fmt.Fprintf(&s, "  - {name: %s, address: %q, state: %s", b.name, b.address, b.listedState)
		if !b.startedAt.IsZero() {
			fmt.Fprintf(&s, ", started: %q", b.startedAt.Format(time.RFC3339Nano))
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

// openAPIText returns the OpenAPI description that all instances use.
func openAPIText() string {
	var s strings.Builder
	s.WriteString("openapi: 3.0.3\ninfo: {title: drill, version: \"1\"}\nservers: [{url: /v1}]\npaths:\n")
	for _, c := range classes {
		fmt.Fprintf(&s, "  %s:\n    %s: {x-sandyard-class: %s, responses: {\"200\": {description: done}}}\n", strings.TrimPrefix(c.path, "/v1"), strings.ToLower(c.method), c.name)
	}
	return s.String()
}

// configText returns the gateway.yaml of an instance.
func (d *Drill) configText(i int, counterAddr string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "listen: \"127.0.0.1:0\"\nopenapi: openapi.yaml\ndoor: {number: %d, of: %d}\n", i, d.options.Instances)
	s.WriteString("classes:\n")
	for _, c := range classes {
		repeat := []string{"safe", "keyed, key-ttl: " + keyTTL.String(), "unsafe"}[c.idempotency]
		fmt.Fprintf(&s, "  - {name: %s, repeat: %s, aim: %v, deadline: %v, worth: %g, late-share: %g}\n", c.name, repeat, c.latencyObjective, c.deadline, c.value, lateShare)
	}
	s.WriteString("plans:\n")
	for _, p := range plans {
		fmt.Fprintf(&s, "  - {name: %s, rate: %g/s, burst: %g, price: %g, over-cost: %g", p.name, p.rate, p.burst, p.price, p.overQuotaCost)
		if p.ceilingRate > 0 {
			fmt.Fprintf(&s, ", ceiling: {rate: %g/s, burst: %g, slack: %g}", p.ceilingRate, p.ceilingBurst, p.ceilingSlack)
		}
		s.WriteString("}\n")
	}
	s.WriteString("studios:\n")
	for _, st := range d.customers {
		fmt.Fprintf(&s, "  - {name: %s, plan: %s, keys: [key-%s], doors: {first: %d, spread: %d}}\n", st.name, plans[st.plan].name, st.name,
			st.firstInstance, min(2, d.options.Instances))
	}
	fmt.Fprintf(&s, "boxes: {file: boxes.yaml, drain-grace: %v, cold: {share: %g, time: %v}, overload: {factor: %d, time: %v}}\n",
		drainGrace, slowStartShare, slowStartTime, overloadFactor, overloadTime)
	s.WriteString("load: {via: answers, fields: [{name: named_metrics.in_flight, is: in-flight}, {name: cpu_utilization, is: utilization}]}\n")
	s.WriteString("attempts: {most: 3}\nlog: {level: debug}\n")
	fmt.Fprintf(&s, "keeper: {address: %q, timeout: 80ms, price: 0.02}\n", counterAddr)
	return s.String()
}
