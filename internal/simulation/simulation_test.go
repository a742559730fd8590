package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"sandyard/config"
)

// Each script in testdata once broke a rule. None may break one again. This does not cover the scripts in testdata/mutants,
// which are run with a mutation.
func TestRegressionScriptsBreakNoRule(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.yaml")
	if len(files) == 0 {
		t.Fatal("no scripts")
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ReadScript(f, text)
		if err != nil {
			t.Fatal(err)
		}
		o, err := Run(s, Options{})
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range o.Findings {
			t.Errorf("%s: %v: %s: %s", f, x.At, x.Rule, x.What)
		}
	}
}

// A clean sweep proves nothing if it does not reach the code in question. No seed may break a rule, and together the seeds
// must reach the important error paths.
func TestSweepBreaksNoRuleAndReachesErrorPaths(t *testing.T) {
	reached := map[string]int{}
	for seed := uint64(1); seed <= 120; seed++ {
		o, err := Run(Generate(seed, DefaultProfile()), Options{})
		if err != nil {
			t.Fatal(err)
		}
		if len(o.Findings) > 0 {
			t.Errorf("seed %d: %+v", seed, o.Findings[0])
		}
		for k, n := range o.Reached {
			reached[k] += n
		}
	}
	for _, k := range []string{"answer flows", "client left", "line reset", "dial refused", "status 429", "status 503", "try failed", "list broken", "wish cut"} {
		if reached[k] == 0 {
			t.Errorf("not reached: %s", k)
		}
	}
}

// A run that depends on the machine can't be replayed. The events of a script must be the same in every run, for any number
// of processors and any other load.
func TestRunIsSameOnAnyNumberOfProcessors(t *testing.T) {
	for seed := uint64(200); seed < 206; seed++ {
		var logs [3]strings.Builder
		var sums [3]uint64
		for i := range logs {
			previous := runtime.GOMAXPROCS([]int{1, 4, 2}[i])
			o, err := Run(Generate(seed, DefaultProfile()), Options{ContinueAfterViolation: true, Log: func(at time.Duration, what string) { fmt.Fprintln(&logs[i], at, what) }})
			runtime.GOMAXPROCS(previous)
			if err != nil {
				t.Fatal(err)
			}
			sums[i] = o.Digest
		}
		if sums[0] != sums[1] || sums[0] != sums[2] || logs[0].String() != logs[1].String() {
			t.Errorf("seed %d: %x", seed, sums)
		}
	}
}

// A script whose text omits a setting would replay as a different run. After it was written and read back, a script must
// give the same digest and text.
func TestScriptReadBackGivesSameRun(t *testing.T) {
	for seed := uint64(300); seed < 320; seed++ {
		s := Generate(seed, DefaultProfile())
		back, err := ReadScript("x", []byte(s.Text()))
		if err != nil {
			t.Fatal(err)
		}
		a, _ := Run(s, Options{ContinueAfterViolation: true})
		b, _ := Run(back, Options{ContinueAfterViolation: true})
		if a.Digest != b.Digest || back.Text() != s.Text() {
			t.Errorf("seed %d reads back as a different script:\n%s%s", seed, s.Text(), back.Text())
		}
	}
}

// If faults drew from the random source of the traffic, a script without one of its faults would have different requests, and
// the shrinker would compare unrelated runs. An additional fault must not change the traffic.
func TestFaultsDoNotShiftTraffic(t *testing.T) {
	requests := func(faults string) string {
		s, err := ReadScript("x", []byte("version: 1\nseed: 9\nseconds: 5\nclients: {retries: 0}\ntroubles: "+faults))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		Run(s, Options{ContinueAfterViolation: true, Log: func(at time.Duration, what string) {
			if strings.HasPrefix(what, "ask") {
				fmt.Fprintln(&out, at, what)
			}
		}})
		return out.String()
	}
	if a, b := requests("[]"), requests("[{at: 1s, for: 2s, verb: hang, target: box-0}, {at: 2s, verb: empty, target: keeper}]"); a != b || a == "" {
		t.Error("the traffic differs")
	}
}

// Each error in a script must be reported with the file and the field.
func TestScriptErrorsNameFileAndField(t *testing.T) {
	for text, want := range map[string]string{
		"version: 0\n":                  "reads scripts of version 1",
		"version: 2\n":                  "reads scripts of version 1",
		"version: 1\ndoors: 0\n":        "doors: 0: expected 1 to 128",
		"version: 1\nnet: {split: 1}\n": "net.split",
		"version: 1\ntroubles: [{at: 1s, verb: hagn, target: box-0}]\n": "hagn",
		"version: 1\ntroubles: [{at: 1s, verb: hang}]\n":                "target: missing",
		"version: 1\ntroubles: [{at: 1h, verb: hang, target: x}]\n":     "after the end of the traffic",
		"version: 1\nfoo: 1\n": "unknown key",
	} {
		if _, err := ReadScript("s.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "s.yaml:") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// A run of hours of virtual time must break no rule: its timers are far apart, and its faults are at the end.
func TestRunOfHoursBreaksNoRule(t *testing.T) {
	s, err := ReadScript("x", []byte("version: 1\nseed: 3\nseconds: 14400\nrate: 0.2\ndoors: 2\ntroubles: [{at: 3h, for: 10s, verb: silent, target: keeper}, {at: 3h1m, for: 2s, verb: kill, target: door-1}]\n"))
	if err != nil {
		t.Fatal(err)
	}
	o, err := Run(s, Options{})
	if err != nil || len(o.Findings) > 0 || o.Virtual < 4*time.Hour {
		t.Errorf("%v %v %v", err, o.Findings, o.Virtual)
	}
}

// Users run the simulator with their own configuration. Requests must be served, and no rule may be broken.
func TestUserConfigurationRuns(t *testing.T) {
	cfg, err := config.Load("../../examples/kilns/gateway.yaml")
	if err != nil {
		t.Fatal(err)
	}
	served := 0
	for seed := uint64(1); seed < 20; seed++ {
		o, err := Run(Generate(seed, DefaultProfile()), Options{Config: cfg})
		if err != nil {
			t.Fatal(err)
		}
		if len(o.Findings) > 0 {
			t.Errorf("seed %d: %+v", seed, o.Findings[0])
		}
		served += o.Reached["try served"]
	}
	if served == 0 {
		t.Error("no request was served")
	}
}
