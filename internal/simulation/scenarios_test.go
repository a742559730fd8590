package simulation

import (
	"testing"
	"time"

	"sandyard/invariant"
)

// Single faults at sixty requests a second do not come near the load that makes a backend in slow start collapse, so that
// thousands of runs without a violation do not exercise the guards against it. Scenarios load a deployment up to a rule's
// limit. For each scenario here, some run must come near the limit of its rule, and no run may break a rule.
func TestScenariosComeNearTheirRuleLimits(t *testing.T) {
	for _, c := range []struct {
		scenario string
		rule     int
		near     float64
	}{{"replacement", invariant.SlowStart, 0.3}, {"ceilings", invariant.Ceilings, 0.5}, {"keys", invariant.NoDuplicate, 0.5}} {
		best, n := 0.0, 0
		for seed := uint64(5000); n < 14 && seed < 6000; seed++ {
			s := Generate(seed, DefaultProfile())
			if s.Scenario != c.scenario {
				continue
			}
			n++
			o, err := Run(s, Options{})
			if err != nil {
				t.Fatal(err)
			}
			if len(o.Findings) > 0 {
				t.Errorf("seed %d: %+v", seed, o.Findings[0])
			}
			best = max(best, o.Nearness(c.rule))
		}
		if n == 0 || best < c.near {
			t.Errorf("%s: %d runs reached %.2f of the limit, expected %.2f", c.scenario, n, best, c.near)
		}
	}
}

// A violation that can't be reproduced can't be debugged. With one worker a hunt must be reproducible, and its final script
// must come at least as near to the limit as its first scripts. ReadScript must accept the final script, and it must replay.
func TestHuntIsReproducibleAndImproves(t *testing.T) {
	p := DefaultProfile()
	p.Seconds, p.Rate, p.ScenarioShare = 6, 30, 0
	hunt := func() (*Script, Outcome, float64) {
		runs, first := 0, 0.0
		h := Hunt{Rule: invariant.Draining, Profile: p, Workers: 1, Seed: 7, Stop: func() bool { runs++; return runs > 50 },
			Improved: func(_ *Script, o Outcome, n int) {
				if n <= populationSize/2 {
					first = o.Nearness(invariant.Draining)
				}
			}}
		s, o, _, err := h.Run()
		if err != nil {
			t.Fatal(err)
		}
		return s, o, first
	}
	a, x, first := hunt()
	b, y, _ := hunt()
	if a.Text() != b.Text() || x.Digest != y.Digest {
		t.Errorf("two hunts from one seed differ:\n%s%s", a.Text(), b.Text())
	}
	if x.Nearness(invariant.Draining) < first {
		t.Errorf("the hunt reached %.3f of the limit, its first scripts %.3f", x.Nearness(invariant.Draining), first)
	}
	back, err := ReadScript("x", []byte(a.Text()))
	if err != nil {
		t.Fatal(err)
	}
	if z, _ := Run(back, Options{}); z.Digest != x.Digest {
		t.Error("the final script of a hunt has a different digest after it is read back")
	}
}

// A violation by a mutated script that ReadScript rejects could not be replayed. After any mutations and crossovers a
// script must be readable, and it must still take at least minRequestsToCollapse requests to make a backend collapse.
func TestEvolvedScriptsStayWithinBounds(t *testing.T) {
	rng := randomSource(1, "test")
	for seed := uint64(1); seed < 60; seed++ {
		s := Generate(seed, DefaultProfile())
		o := Generate(seed+1000, DefaultProfile())
		s.crossover(o, rng)
		for range 60 {
			s.mutate(rng)
			s.clamp()
		}
		if _, err := ReadScript("x", []byte(s.Text())); err != nil {
			t.Fatalf("%v\n%s", err, s.Text())
		}
		if c := s.SlowStart; c.OverloadFactor > 0 {
			if n := c.OverloadFactor * c.Share * float64(s.Backends.Cores) * time.Duration(c.OverloadTime).Seconds() / time.Duration(s.Backends.Work).Seconds(); n < minRequestsToCollapse-0.5 {
				t.Fatalf("%.1f requests make a backend in slow start collapse", n)
			}
		}
	}
}

// Backends that close idle connections while a request is in flight, and a counter that is split in two parts, must break no
// rule. The text of a script must contain these settings.
func TestIdleConnectionsAndSplitCounterBreakNoRule(t *testing.T) {
	text := `version: 1
seed: 1
seconds: 8
doors: 4
rate: 25
late: 0.5
boxes: {count: 3, work: 15ms, idle: 1.2s}
net: {latency: 20ms}
troubles:
  - {at: 2s, for: 3s, verb: split, target: keeper, value: 0.5}
  - {at: 3s, for: 2s, verb: lie, target: boxes, value: -2}
  - {at: 3s, for: 2s, verb: surge, target: school, value: 8}
`
	s, err := ReadScript("split.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	again, err := ReadScript("again.yaml", []byte(s.Text()))
	if err != nil || again.Text() != s.Text() || again.Backends.IdleTimeout != s.Backends.IdleTimeout || again.LateShare != s.LateShare {
		t.Fatalf("%v\n%s\n%s", err, s.Text(), again.Text())
	}
	o, err := Run(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range o.Findings {
		t.Errorf("%s: %s", f.Rule, f.What)
	}
	for _, what := range []string{"box closed idle line", "trouble split", "trouble lie"} {
		if o.Reached[what] == 0 {
			t.Errorf("%s: not reached", what)
		}
	}
}

// The idle timer of a connection once outlived the backend's process, and closed the connection again during the next
// process. It must do nothing after its process has ended.
func TestIdleTimerEndsWithItsBackendProcess(t *testing.T) {
	s, err := ReadScript("killed.yaml", []byte(`version: 1
seed: 1
seconds: 1
doors: 1
rate: 30
boxes: {count: 1, work: 5ms, idle: 3s}
clients: {retries: 0}
troubles:
  - {at: 1s, for: 10ms, verb: kill, target: box-0}
`))
	if err != nil {
		t.Fatal(err)
	}
	o, err := Run(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if o.Reached["try served"] == 0 || o.Reached["trouble kill"] != 1 || o.Reached["box closed idle line"] != 0 {
		t.Errorf("%d served, %d killed, %d idle connections closed", o.Reached["try served"], o.Reached["trouble kill"], o.Reached["box closed idle line"])
	}
}
