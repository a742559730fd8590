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

// TestMain lets the test's own binary stand for the program that is played.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && strings.HasPrefix(os.Args[1], "--as=") {
		os.Exit(cli.Drill(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	lastSeed = 32 // of the short soak
	workers  = 2  // runs side by side
)

// play plays seeds whose plan is wanted and hands on their reports.
func play(t *testing.T, seeds uint64, command func(string) (string, []string), wanted func(*soak.Plan) bool, judge func(soak.Report)) {
	t.Helper()
	playWith(t, seeds, soak.Options{Command: command}, wanted, func(report soak.Report) (enough bool) {
		judge(report)
		return false
	})
}

// playWith plays seeds whose plan is wanted and hands on their reports, until one is enough.
func playWith(t *testing.T, seeds uint64, options soak.Options, wanted func(*soak.Plan) bool, judge func(soak.Report) (enough bool)) {
	t.Helper()
	reports := make(chan soak.Report)
	var runs errgroup.Group
	var over atomic.Bool
	runs.SetLimit(workers)
	go func() { // ends when all seeds are played
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

// TestFailedStartTellsLastRecord: an instance that ended before it was ready left "exit status 1" and a log that was removed.
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

// ownProgram runs this test's binary.
func ownProgram(t *testing.T) func(string) (string, []string) {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return func(program string) (string, []string) { return exe, []string{"--as=" + program} }
}

// requireNoViolation fails for a report of a broken rule, and logs what the machine was too late for.
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

func withCrowd(p *soak.Plan) bool    { return p.Crowd > 0 }
func anyPlan(*soak.Plan) bool        { return true }
func withoutCrowd(p *soak.Plan) bool { return p.Crowd == 0 }

// A process is told to end while backends leave the list, hang or reset, watches break and clients go on: no rule is broken.
func TestSoakBreaksNoRule(t *testing.T) {
	play(t, lastSeed, ownProgram(t), withoutCrowd, requireNoViolation(t))
}

// Requests lay in the backlog behind a crowd of idle clients, and were answered after their time: as
// TestSoakBreaksNoRule, with a crowd that fills the descriptors.
func TestSoakWithCrowdBreaksNoRule(t *testing.T) {
	play(t, lastSeed, ownProgram(t), withCrowd, requireNoViolation(t))
}

// The same seed must draw the same plan: a report names a seed alone.
func TestPlanIsDrawnFromSeed(t *testing.T) {
	for seed := range uint64(100) {
		if first, second := soak.Draw(seed), soak.Draw(seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("%v and %v", first, second)
		}
	}
}

// plantedFaults are mistakes that the soak must find within ten seeds, by a violation that has a text.
var plantedFaults = []struct {
	mutation mutation.Mutation
	finds    string
}{
	{mutation.Mutation{Name: "watch-ends-at-sigterm", Edits: []mutation.Edit{{
		File: "internal/server/server.go",
		Old:  "s.goroutines.Go(func() { watchEndpoints(s.connectionsCtx) })",
		New:  "s.goroutines.Go(func() { watchEndpoints(ctx) })",
	}}}, "began"},
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

// A soak that finds nothing says nothing unless it finds what is broken.
func TestSoakFindsPlantedFaults(t *testing.T) {
	for _, planted := range plantedFaults {
		t.Run(planted.mutation.Name, func(t *testing.T) {
			exe := buildMutant(t, planted.mutation)
			found := 0
			play(t, 10, func(string) (string, []string) { return exe, nil }, anyPlan, func(report soak.Report) {
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
