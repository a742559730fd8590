package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
)

const example = "../examples/kilns/gateway.yaml"

// TestExampleConfigurationLoads checks that the example configuration loads with the settings that its comments describe, and
// that a customer is found by its complete key only. New users start from the example.
func TestExampleConfigurationLoads(t *testing.T) {
	c, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if len(s.Classes) != 3 || s.Classes[1].Idempotency != decision.IdempotentByKey || s.Classes[1].KeyTTL != 6*time.Second ||
		s.Plans[2].CeilingRate != 32 || s.MaxAttempts != 3 || s.SlowStartShare != 0.22 || !s.Counter || s.DrainGrace != 2*time.Second {
		t.Errorf("%+v", s)
	}
	if cu := c.CustomerByKey("key-hill-school"); cu == nil || cu.Name != "hill-school" || c.CustomerByKey("key-hill-schoo") != nil {
		t.Error("a key is not found, or a part of it is")
	}
}

// TestAllProblemsAreReportedAtOnce checks that all problems of all three files are reported at once, each with file, line
// and field. If each start reported one problem, an operator would need as many starts as there are problems.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	bad := strings.NewReplacer("rate: 4/s", "rate: 4", "aim: 600ms", "aim: fast", "listen:", "listne:", "plan: school, keys: [key-hill-school]",
		"plan: scool, keys: [key-two-wheels]", "most: 3", "most: 0", "share: 0.22", "share: 22", "timeout: 80ms",
		"timeout: -1s").Replace(string(text))
	path := filepath.Join(dir, "gateway.yaml")
	os.WriteFile(path, []byte(bad), 0o600)
	api, _ := os.ReadFile("../examples/kilns/openapi.yaml")
	os.WriteFile(filepath.Join(dir, "openapi.yaml"), []byte(strings.Replace(string(api), "x-sandyard-class: firing", "x-sandyard-class: frying", 1)), 0o600)
	os.WriteFile(filepath.Join(dir, "boxes.yaml"), []byte("boxes:\n  - {name: a, address: nowhere, state: upp}\n  - {name: a, address: 'x:1'}\n"), 0o600)
	_, err = Load(path)
	if err == nil {
		t.Fatal("a configuration with problems is accepted")
	}
	for _, want := range []string{"gateway.yaml:2:1: listne: unknown key; did you mean \"listen\"?", "plans[1].rate: \"4\": expected a rate",
		"classes[0].aim: \"fast\": expected a time", "studios[3].plan: \"scool\" is not among plans", "studios[3].keys[0]: the same key as one of \"two-wheels\"",
		"attempts.most: 0: expected 1", "boxes.cold.share: 22", "keeper.timeout: \"-1s\"", "openapi.yaml:", "class \"frying\" is not among classes",
		"boxes.yaml:2:", "expected up, draining or gone", "expected host:port", "boxes.yaml:3:", "occurs twice"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("want %q in:\n%v", want, err)
		}
	}
}

// TestMalformedYAMLIsReported checks that a file that is truncated, has the wrong structure or uses aliases to exhaust memory
// is reported by its name. Reading it must not panic or accept a part of it.
func TestMalformedYAMLIsReported(t *testing.T) {
	for _, text := range []string{"", "[", "- a", "a: &x [*x]", "listen: [1]", "plans: {a: b}", "studios: [1, 2]", "plans: [{name: {a: b}}]", "\x00", "a: b: c",
		"listen: x\nlisten: y", "? [a]: b", "plans:\n - name: &a x\n   rate: *a"} {
		if _, err := Parse("g.yaml", []byte(text), nil, nil); err == nil || !strings.Contains(err.Error(), "g.yaml") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestProblemsHaveCauses checks that errors.Is finds the causes of problems and errors.As finds a problem with its line and
// field. A program that runs an instance must be able to distinguish a missing file from an invalid one.
func TestProblemsHaveCauses(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "gateway.yaml"))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	_, err = ParseEndpoints("boxes.yaml", []byte("boxes:\n  - {name: a, address: 'x:1'}\n  - {name: b, address: 'x:1', state: upp, started: now}\n"))
	var p diagnostic.Problem
	if !errors.Is(err, ErrEndpointState) || !errors.Is(err, ErrTimestamp) || !errors.As(err, &p) || p.Line != 3 || p.Field != "boxes[1].state" {
		t.Errorf("endpoint list with an invalid state and time: %v, first problem %+v", err, p)
	}
}
