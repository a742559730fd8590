package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"sandyard/internal/cli"
	"sandyard/internal/mutation"
	"sandyard/internal/soak"
)

// TestMain runs the program under test if the test binary is started with --as=.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && strings.HasPrefix(os.Args[1], "--as=") {
		os.Exit(cli.Drill(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	lastSeed = 32 // last seed of the short soak
	workers  = 2  // concurrent runs
)

// runSeeds runs the seeds whose plan is wanted and calls judge with each report.
func runSeeds(t *testing.T, seeds uint64, command func(string) (string, []string), wanted func(*soak.Plan) bool, judge func(soak.Report)) {
	t.Helper()
	runSeedsUntil(t, seeds, soak.Options{Command: command}, wanted, func(report soak.Report) (enough bool) {
		judge(report)
		return false
	})
}

// runSeedsUntil runs the seeds whose plan is wanted and calls judge with each report, until judge returns true.
func runSeedsUntil(t *testing.T, seeds uint64, options soak.Options, wanted func(*soak.Plan) bool, judge func(soak.Report) (enough bool)) {
	t.Helper()
	reports := make(chan soak.Report)
	var runs errgroup.Group
	var over atomic.Bool
	runs.SetLimit(workers)
	go func() { // ends when all seeds have run
		defer close(reports)
		for seed := uint64(1); seed <= seeds; seed++ {
			plan, err := soak.DrawScenario(seed, options.Scenario)
			if err != nil {
				t.Error(err)
				return
			}
			if !wanted(plan) {
				continue
			}
			runs.Go(func() error {
				if over.Load() {
					return nil
				}
				report, err := soak.Run(context.Background(), seed, options)
				if err != nil {
					t.Error(err)
					return nil
				}
				reports <- report
				return nil
			})
		}
		runs.Wait()
	}()
	for report := range reports {
		if judge(report) {
			over.Store(true)
		}
	}
}

// TestFailedStartTellsLastRecord guards against an unexplained failed start: the error was only "exit status 1", and the log was
// removed. The error must contain the last record.
func TestFailedStartTellsLastRecord(t *testing.T) {
	const record = "address already in use"
	failing := func(string) (string, []string) {
		return "/bin/sh", []string{"-c", "echo first >&2; echo " + record + " >&2; exit 1"}
	}
	_, err := soak.Run(context.Background(), 1, soak.Options{Command: failing})
	if err == nil || !strings.HasSuffix(err.Error(), "exit status 1; its last record: "+record) {
		t.Errorf("the error does not end with the last record: %v", err)
	}
}

// ownProgram returns a Command that runs the test binary.
func ownProgram(t *testing.T) func(string) (string, []string) {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return func(program string) (string, []string) { return exe, []string{"--as=" + program} }
}

// requireNoViolation returns a function that fails the test for a report with a broken rule, and logs other reports, with the
// violations that were not judged.
func requireNoViolation(t *testing.T) func(soak.Report) {
	return func(report soak.Report) {
		var text strings.Builder
		report.Print(&text)
		if len(report.Violations) > 0 {
			t.Error(text.String())
		} else {
			t.Log(text.String())
		}
	}
}

func withIdleConnections(p *soak.Plan) bool    { return p.IdleConnections > 0 }
func anyPlan(*soak.Plan) bool                  { return true }
func withoutIdleConnections(p *soak.Plan) bool { return p.IdleConnections == 0 }

// No rule is broken if a process is sent SIGTERM while backends leave the list, hang or reset, watches break and clients continue.
func TestSoakBreaksNoRule(t *testing.T) {
	runSeeds(t, lastSeed, ownProgram(t), withoutIdleConnections, requireNoViolation(t))
}

// Like TestSoakBreaksNoRule, with a crowd of idle connections that fill the descriptors. It guards against requests that wait in the backlog
// behind idle connections and are answered after their deadline.
func TestSoakWithCrowdBreaksNoRule(t *testing.T) {
	runSeeds(t, lastSeed, ownProgram(t), withIdleConnections, requireNoViolation(t))
}

// The same seed must draw the same plan, because a report names only the seed.
func TestPlanIsDrawnFromSeed(t *testing.T) {
	for seed := range uint64(100) {
		if first, second := soak.Draw(seed), soak.Draw(seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("%v and %v", first, second)
		}
	}
}

// watchNotAsked makes an instance ignore that its watch of discovery is not open or behind. Else it sends nothing once it can't know
// the endpoint list, and a planted fault of the watch breaks no rule.
var watchNotAsked = mutation.Edit{
	File: "internal/server/eventloop.go",
	Old:  "max(s.discovery.input.unhandledFor(now), s.discovery.input.probeAge(now))",
	New:  "time.Duration(0)",
}

// plantedFaults are faults that the soak must find within ten seeds, by a violation with the given text.
var plantedFaults = []struct {
	mutation mutation.Mutation
	finds    string
}{
	{mutation.Mutation{Name: "watch-ends-at-sigterm", Edits: []mutation.Edit{{
		File: "internal/server/server.go",
		Old:  "s.goroutines.Go(func() { watchEndpoints(s.connectionsCtx) })",
		New:  "s.goroutines.Go(func() { watchEndpoints(ctx) })",
	}, watchNotAsked}}, "began"},
	{mutation.Mutation{Name: "last-connections-unread", Edits: []mutation.Edit{{
		File: "internal/server/accept.go",
		Old:  "\t\t\ts.serveClient(conn)\n",
		New:  "\t\t\tif s.shuttingDown.Load() {\n\t\t\t\tconn.Close()\n\t\t\t\tcontinue\n\t\t\t}\n\t\t\ts.serveClient(conn)\n",
	}}}, "the first of its connection"},
	{mutation.Mutation{Name: "shutdown-without-bound", Edits: []mutation.Edit{{
		File: "internal/server/shutdown.go",
		Old:  "s.shutdownDeadline = time.Now().Add(timeout)",
		New:  "s.shutdownDeadline = time.Now().Add(time.Hour)",
	}}}, "it still ran at the kill"},
}

// A soak without violations is evidence only if it finds planted faults.
func TestSoakFindsPlantedFaults(t *testing.T) {
	for _, planted := range plantedFaults {
		t.Run(planted.mutation.Name, func(t *testing.T) {
			exe := buildMutant(t, planted.mutation)
			found := 0
			runSeeds(t, 10, func(string) (string, []string) { return exe, nil }, anyPlan, func(report soak.Report) {
				for _, v := range report.Violations {
					if strings.Contains(v.What, planted.finds) {
						found++
					}
				}
			})
			if found == 0 {
				t.Error("not found within ten seeds")
			}
		})
	}
}

// buildMutant builds sandyard with a planted fault.
func buildMutant(t *testing.T, planted mutation.Mutation) (exe string) {
	t.Helper()
	root, dir := filepath.Join("..", ".."), t.TempDir()
	overlay, err := planted.Overlay(root, dir)
	if err != nil {
		t.Fatal(err)
	}
	exe = filepath.Join(dir, "sandyard")
	build := exec.Command("go", "build", "-overlay", overlay, "-o", exe, "./cmd/sandyard")
	build.Dir = root
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return exe
}
