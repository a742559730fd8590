package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandyard/coreid"
	"sandyard/decision"
	"sandyard/trace"
)

// run runs a program and returns its exit status and what it printed to standard output and standard error.
func run(f func([]string, *bytes.Buffer, *bytes.Buffer) int, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	return f(args, &out, &errs), out.String(), errs.String()
}

func gatewayTool(a []string, o, e *bytes.Buffer) int { return Gateway(a, o, e) }
func traceTool(a []string, o, e *bytes.Buffer) int   { return Trace(a, o, e) }
func quotaTool(a []string, o, e *bytes.Buffer) int   { return Quota(a, o, e) }
func routesTool(a []string, o, e *bytes.Buffer) int  { return Routes(a, o, e) }
func simTool(a []string, o, e *bytes.Buffer) int     { return Sim(a, o, e) }

// TestCheckReportsMistakes: check must find a mistake in a configuration, and name the file and the line, before the configuration
// is used to serve.
func TestCheckReportsMistakes(t *testing.T) {
	if code, out, _ := run(gatewayTool, "check", "--config", "../../examples/kilns/gateway.yaml"); code != Success || !strings.Contains(out, "good") {
		t.Errorf("%d %s", code, out)
	}
	bad := filepath.Join(t.TempDir(), "g.yaml")
	os.WriteFile(bad, []byte("listen: 1\nplans: [{rate: 3}]\n"), 0o600)
	if code, _, errs := run(gatewayTool, "check", "--config", bad); code != Usage || !strings.Contains(errs, "g.yaml:2") {
		t.Errorf("%d %s", code, errs)
	}
	if code, _, _ := run(gatewayTool, "nonsense"); code != Usage {
		t.Error(code)
	}
}

// traceFile writes a trace of two requests of 1 unit each, on a plan with a burst of 1 unit, and returns its path. core is the
// core identity in its header.
func traceFile(t *testing.T, core string) string {
	h := trace.Header{Core: core, Share: 1, Plans: []string{"hobby"}, Classes: []string{"c"}, Operations: []string{"book"},
		Settings: decision.Settings{Classes: []decision.Class{{LatencyObjective: time.Second, Deadline: time.Second}}, Plans: []decision.Plan{{Rate: 1, Burst: 1}}}}
	gw, first, err := decision.New(h.Settings, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	items := []trace.Record{{Initial: true, Actions: trace.NewActions(first)}}
	for i, e := range []decision.Event{decision.EndpointsChanged{Full: true, Endpoints: []decision.Endpoint{{Backend: 1}}},
		decision.RequestArrived{Request: 1, Customer: "a", TimeLeft: time.Second, Units: 1, Spread: 1}, decision.RequestArrived{Request: 2, Customer: "a", TimeLeft: time.Second, Units: 1, Spread: 1}} {
		at := time.Duration(i+1) * time.Millisecond
		items = append(items, trace.Record{At: at, Event: trace.NewEvent(e), Actions: trace.NewActions(gw.Handle(e, at)), Operation: 1})
	}
	w, err := trace.NewWriter()
	if err != nil {
		t.Fatal(err)
	}
	b, err := w.Begin(h)
	if err != nil {
		t.Fatal(err)
	}
	f, err := w.Frame(items)
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "x.trace")
	if err := os.WriteFile(name, append(b, f...), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// TestTraceCommandsReadATrace: incidents are investigated with these commands; each must show the recorded requests.
func TestTraceCommandsReadATrace(t *testing.T) {
	f := traceFile(t, coreid.Core())
	if code, out, errs := run(traceTool, "replay", f); code != Success || !strings.Contains(out, "4 steps replayed and 0 states compared, 0 differ") {
		t.Errorf("%d %s %s", code, out, errs)
	}
	if code, out, _ := run(traceTool, "show", "--outcome", "refused", f); code != Success || !strings.Contains(out, "refused (quota)") || !strings.Contains(out, "1 of 2 requests") {
		t.Errorf("%d %s", code, out)
	}
	if code, out, _ := run(traceTool, "explain", "2", f); code != Success || !strings.Contains(out, "beyond what the plan allows") {
		t.Errorf("%d %s", code, out)
	}
	if code, _, _ := run(traceTool, "follow", "3", f); code != Failure {
		t.Error("follow reports no failure for a request that the trace does not have")
	}
}

// TestToolsOfAnotherCoreGiveNoVerdict: the verdict of a tool from another build could differ from the gateway's decision. A tool
// must report a different core identity and give no verdict, whichever of the two is older, for traces and running gateways.
func TestToolsOfAnotherCoreGiveNoVerdict(t *testing.T) {
	if code, out, errs := run(traceTool, "replay", traceFile(t, "0123456789abcdef")); code != CoreMismatch || out != "" || !strings.Contains(errs, "verdicts could differ") {
		t.Errorf("%d %s %s", code, out, errs)
	}
	sameCore, otherCore := gatewaySocket(t, coreid.Core()), gatewaySocket(t, "0123456789abcdef")
	file := traceFile(t, coreid.Core())
	dir := t.TempDir()
	for _, c := range []struct {
		program string
		tool    func([]string, *bytes.Buffer, *bytes.Buffer) int
		args    string
	}{
		{"sandyard-trace", nil, "replay " + file},
		{"sandyard-quota", quotaTool, "show --studio b --socket "},
		{"sandyard-quota", quotaTool, "would --studio b --socket "},
		{"sandyard-quota", quotaTool, "total --studio b --socket "},
		{"sandyard-quota", nil, "show --studio a --trace " + file},
		{"sandyard-routes", routesTool, "match GET /a --socket "},
	} {
		args := c.args
		if c.tool != nil {
			if code, out, errs := run(c.tool, strings.Fields(args+otherCore)...); code != CoreMismatch || strings.Contains(out, "{") || !strings.Contains(errs, "verdicts could differ") {
				t.Errorf("%s, gateway with another core: status %d, %s %s", args, code, out, errs)
			}
			args += sameCore
		}
		exe := filepath.Join(dir, c.program)
		if _, err := os.Stat(exe); err != nil {
			if b, err := exec.Command("go", "build", "-ldflags", "-X sandyard/coreid.other=x", "-o", exe, "sandyard/cmd/"+c.program).CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, b)
			}
		}
		b, err := exec.Command(exe, strings.Fields(args)...).CombinedOutput()
		var ee *exec.ExitError
		if !errors.As(err, &ee) || ee.ExitCode() != CoreMismatch || !strings.Contains(string(b), coreid.Core()) {
			t.Errorf("%s %s, tool with another core: %v %s", c.program, args, err, b)
		}
	}
}

// gatewaySocket serves an admin socket that responds to every request with an empty object, as a gateway with the given core
// identity.
func gatewaySocket(t *testing.T, core string) string {
	path := filepath.Join(t.TempDir(), "a.sock")
	ln, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 4096))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSandyard-Core: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", core)
			c.Close()
		}
	}()
	return path
}

// TestSimCommands: the simulator's commands must treat a seed and the script that is generated from it as the same run.
func TestSimCommands(t *testing.T) {
	if code, out, errs := run(simTool, "run", "--seeds", "1-5", "--quiet"); code != Success || !strings.Contains(out, "5 seeds, 0 broken") || !strings.Contains(out, "not reached:") {
		t.Errorf("%d %s %s", code, out, errs)
	}
	_, a, _ := run(simTool, "digest", "3")
	if _, b, _ := run(simTool, "digest", "3"); a != b || len(a) != 17 {
		t.Errorf("%q %q", a, b)
	}
	_, script, _ := run(simTool, "generate", "3")
	f := filepath.Join(t.TempDir(), "s.yaml")
	os.WriteFile(f, []byte(script), 0o600)
	if _, b, _ := run(simTool, "digest", f); a != b {
		t.Errorf("the digests of a seed and of its script differ: %q %q", a, b)
	}
	os.WriteFile(f, []byte("version: 9\n"), 0o600)
	if code, _, errs := run(simTool, "replay", f); code != Usage || !strings.Contains(errs, "version") {
		t.Errorf("%d %s", code, errs)
	}
}

// TestCommandsPrintTablesAsJSON: each command that prints a table must be able to print the same content as JSON.
func TestCommandsPrintTablesAsJSON(t *testing.T) {
	f, api := traceFile(t, coreid.Core()), "../../examples/kilns/openapi.yaml"
	for _, c := range []struct {
		tool func([]string, *bytes.Buffer, *bytes.Buffer) int
		args string
		want string // part of the decoded value, as fmt.Sprint prints it
	}{
		{traceTool, "show " + f, "plan_name:hobby"},
		{traceTool, "follow 2 " + f, "operation:book"},
		{traceTool, "explain 2 " + f, "beyond what the plan allows"},
		{traceTool, "replay " + f, "steps:4"},
		{traceTool, "info " + f, "arrivals:2"},
		{routesTool, "diff " + api + " " + api, "differences:[]"},
		{routesTool, "match --config ../../examples/kilns/gateway.yaml GET /nowhere", "status:401"},
		{simTool, "replay 3", "Digest:"},
		{simTool, "run --seeds 3 --quiet", "seeds:1"},
	} {
		code, out, errs := run(c.tool, append(strings.Fields(c.args), "--output", "json")...)
		var v any
		if d := json.NewDecoder(strings.NewReader(out)); code != Success || d.Decode(&v) != nil || !strings.Contains(fmt.Sprint(v), c.want) {
			t.Errorf("%s: %d %s %s: %v", c.args, code, out, errs, v)
		}
	}
	if code, _, errs := run(traceTool, "info", "--output", "xml", f); code != Usage || !strings.Contains(errs, "--output") {
		t.Errorf("%d %s", code, errs)
	}
}

// TestTraceInfoReportsTruncation: a trace file that is truncated because its process was killed must not be taken for a complete
// one. info must report the truncation.
func TestTraceInfoReportsTruncation(t *testing.T) {
	f := traceFile(t, coreid.Core())
	b, _ := os.ReadFile(f)
	os.WriteFile(f, b[:len(b)-3], 0o600)
	if code, out, _ := run(traceTool, "info", f); code != Success || !strings.Contains(out, "cut at ") {
		t.Errorf("%d %s", code, out)
	}
}

// TestCompletionOfCommandLines: a program must complete a shell's command line, and print the commands that enable completion.
func TestCompletionOfCommandLines(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		if code, out, errs := run(traceTool, "completion", shell); code != Success || !strings.Contains(out, "sandyard-trace") {
			t.Errorf("%s: %d %s %s", shell, code, out, errs)
		}
	}
	if code, _, _ := run(traceTool, "completion", "edlin"); code != Usage {
		t.Error(code)
	}
	for line, want := range map[string]string{"sandyard-trace ex": "explain\n", "sandyard-trace show --outc": "--outcome\n", "sandyard-trace show --output j": "json\n"} {
		t.Setenv("COMP_LINE", line)
		if code, out, _ := run(traceTool, "sandyard-trace"); code != Success || out != want {
			t.Errorf("%s: %d %q", line, code, out)
		}
	}
}
