package cli

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var recordOutputs = flag.Bool("record-outputs", false, "record the programs' outputs again, after an intended change")

const outputsFile = "testdata/outputs.golden"

var (
	subcommand = regexp.MustCompile(`(?m)^  ([a-z]+)( .*)?$`)
	tookField  = regexp.MustCompile(`"took_ns":\d+`)
)

// exampleWithMistakes copies an example's files, replaces the first of each pair of texts with the second, and returns the path
// of the copy's gateway.yaml.
func exampleWithMistakes(t *testing.T, example string, replacements map[string][]string) string {
	dir := filepath.Join(t.TempDir(), example)
	if err := os.CopyFS(dir, os.DirFS("../../examples/"+example)); err != nil {
		t.Fatal(err)
	}
	for name, pairs := range replacements {
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		text := string(b)
		for i := 0; i < len(pairs); i += 2 {
			if !strings.Contains(text, pairs[i]) {
				t.Fatalf("%s/%s has no %q", example, name, pairs[i])
			}
			text = strings.Replace(text, pairs[i], pairs[i+1], 1)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "gateway.yaml")
}

// TestOutputsAreAsRecorded: people and programs read the outputs of the programs. Only an intended change may alter them: the help
// of every command, the reported mistakes in configurations with their places, scripts, and JSON.
func TestOutputsAreAsRecorded(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	type tool struct {
		name string
		run  func([]string, *bytes.Buffer, *bytes.Buffer) int
	}
	gatewayProgram, traceProgram, quotaProgram, routesProgram, simProgram := tool{"sandyard", gatewayTool}, tool{"sandyard-trace", traceTool}, tool{"sandyard-quota", quotaTool}, tool{"sandyard-routes", routesTool}, tool{"sandyard-sim", simTool}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	record := func(p tool, hide string, args ...string) string {
		code, out, errs := run(p.run, args...)
		text := fmt.Sprintf("$ %s %s\n%s%sstatus %d\n\n", p.name, strings.Join(args, " "), out, errs, code)
		text = tookField.ReplaceAllString(text, `"took_ns":N`)
		text = strings.ReplaceAll(text, root+"/", "REPO/")
		if hide != "" {
			text = strings.ReplaceAll(text, hide, "DIR")
		}
		got.WriteString(text)
		return out
	}
	for _, p := range []tool{gatewayProgram, traceProgram, quotaProgram, routesProgram, simProgram, {"sandyard-bench", func(a []string, o, e *bytes.Buffer) int { return Bench(a, o, e) }},
		{"sandyard-drill", func(a []string, o, e *bytes.Buffer) int { return Drill(a, o, e) }},
		{"sandyard-emulator", func(a []string, o, e *bytes.Buffer) int { return Emulator(a, o, e) }}} {
		help := record(p, "", "--help")
		_, list, ok := strings.Cut(help, "Commands:\n")
		subcommands := subcommand.FindAllStringSubmatch(list, -1)
		if !ok || len(subcommands) < 2 {
			t.Fatalf("%s lists no commands: %s", p.name, help)
		}
		for _, m := range subcommands {
			record(p, "", m[1], "--help")
		}
	}
	for _, c := range []string{"kilns", "kiln-fleet"} {
		record(gatewayProgram, "", "check", "--config", "../../examples/"+c+"/gateway.yaml")
	}
	for _, c := range []string{
		exampleWithMistakes(t, "kilns", map[string][]string{
			"gateway.yaml": {"aim: 600ms", "aim: 6s", "rate: 1/s, burst: 5", "rate: fast, burst: -5", "two-wheels, plan: studio", "two-wheels, plan: nosuch",
				"[key-two-wheels]", "[key-glaze-lane]", "repeat: unsafe", "repeat: perhaps", "share: 0.22", "share: 3", "is: in-flight", "is: flight", "attempts:", "tries: 4\nattempts:"},
			"openapi.yaml": {"x-sandyard-class: firing", "x-sandyard-class: nosuch"},
			"boxes.yaml":   {"state: up", "state: asleep", "cell: 1", "cell: one"}}),
		exampleWithMistakes(t, "kiln-fleet", map[string][]string{
			"gateway.yaml": {"first: 30, spread: 25", "first: 300, spread: 0", "zones: [back-shed]", "zones: [back-yard]", "slack: 5}", "slack: -1}"},
			"openapi.yaml": {"operationId: ", "operationID: "}, "boxes.yaml": {"name: ", "nom: "}}),
	} {
		record(gatewayProgram, filepath.Dir(filepath.Dir(c)), "check", "--config", c)
	}
	record(simProgram, "", "generate", "3")
	record(simProgram, "", "run", "--seeds", "1000-1003", "--workers", "2", "--quiet", "--output", "json")

	const config, api, recorded = "../../examples/kilns/gateway.yaml", "../../examples/kilns/openapi.yaml", "../../trace/testdata/recorded-before-renaming.trace"
	for _, what := range []string{"POST /v1/firings", "GET /v1/slots", "POST /v1/payments", "DELETE /v1/slots", "GET /nowhere", "GET /v1/bookings/%zz"} {
		record(routesProgram, "", append([]string{"match", "--config", config, "--studio", "hill-school", "--output", "json"}, strings.Fields(what)...)...)
	}
	next := filepath.Join(filepath.Dir(exampleWithMistakes(t, "kilns", map[string][]string{"openapi.yaml": {"/payments:", "/fees:", "operationId: book\n", "operationId: book\n      x-sandyard-units: 3\n"}})), "openapi.yaml")
	for _, form := range []string{"table", "json"} {
		record(routesProgram, filepath.Dir(filepath.Dir(next)), "diff", "--output", form, "--trace", recorded, api, next)
		record(traceProgram, "", "show", "--output", form, "--studio", "clay-corner", "--class", "payment", "--from", "5s", "--to", "15s", recorded)
		for _, r := range []string{"1", "500", "1303", "2600"} {
			record(traceProgram, "", "follow", r, "--output", form, recorded)
			record(traceProgram, "", "explain", r, "--output", form, recorded)
		}
	}
	if *recordOutputs {
		if err := os.WriteFile(outputsFile, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	b, err := os.ReadFile(outputsFile)
	if err != nil {
		t.Fatal(err)
	}
	outputs, recordedOutputs := strings.Split(got.String(), "\n\n$ "), strings.Split(string(b), "\n\n$ ")
	if len(outputs) != len(recordedOutputs) {
		t.Errorf("%d commands were run, %d are recorded", len(outputs), len(recordedOutputs))
	}
	for i := range min(len(outputs), len(recordedOutputs)) {
		if outputs[i] != recordedOutputs[i] {
			t.Errorf("output\n%s\nrecorded output\n%s", outputs[i], recordedOutputs[i])
		}
	}
}
