package simulation

import (
	"testing"
	"time"

	"sandyard/invariant"
)

// Single faults at sixty requests a second never came near the load that makes a backend in slow start collapse, so that
// thousands of clean runs said nothing about its guards. Scenarios are drawn to reach a rule's limit; of each one that is for
// a rule, some run must come near that rule's limit, and none may break a rule.
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
			t.Errorf("%s: %d runs came to %.2f of the limit, %.2f expected", c.scenario, n, best, c.near)
		}
	}
}

// A find that can't be had again can't be understood. With one worker a hunt must be the same each time, must come no less near
// than its first scripts, and the script that it ends with must read back and replay.
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
		t.Errorf("came to %.3f, the first scripts to %.3f", x.Nearness(invariant.Draining), first)
	}
	back, err := ReadScript("x", []byte(a.Text()))
	if err != nil {
		t.Fatal(err)
	}
	if z, _ := Run(back, Options{}); z.Digest != x.Digest {
		t.Error("the script that a hunt ends with is another when it is read back")
	}
}

// A mutated script that ReadScript refuses would be a find that nobody can replay. Whatever is mutated or crossed, a script must
// be written and read back, and must take enough requests to make a backend collapse.
func TestEvolvedScriptsStayWithinBounds(t *testing.T) {
	rng := stream(1, "test")
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

// Backends that close idle connections while a request is in flight, and a counter whose sides do not see each other, must break
// no rule; a script that has them must say so in its text.
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

// The idle timer of a connection outlived the backend's process, and closed the connection again in the process after it. It
// must do nothing once the process is gone.
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
