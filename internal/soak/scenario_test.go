package soak_test

import (
	"reflect"
	"testing"
	"time"

	"sandyard/internal/mutation"
	"sandyard/internal/soak"
)

const (
	scenarioSeeds = 2  // of each scenario in the short soak
	plantedSeeds  = 10 // within which a scenario must find a planted fault
	searches      = 3  // for planted faults, side by side
)

// requireScenarioKeepsRules plays the first seeds of a scenario whose plan is wanted and fails for a broken rule.
func requireScenarioKeepsRules(t *testing.T, scenario soak.Scenario, seeds uint64, wanted func(*soak.Plan) bool) {
	t.Helper()
	judge := requireNoViolation(t)
	playWith(t, seeds, soak.Options{Command: ownProgram(t), Scenario: scenario}, wanted, func(report soak.Report) bool {
		judge(report)
		return false
	})
}

// Notices that come in a shutdown in more forms than the plain plans have: no rule is broken.
func TestSoakOfScenariosBreaksNoRule(t *testing.T) {
	for _, scenario := range soak.Scenarios() {
		if scenario == soak.LateFirstList { // the two tests below
			continue
		}
		t.Run(string(scenario), func(t *testing.T) {
			requireScenarioKeepsRules(t, scenario, scenarioSeeds, anyPlan)
		})
	}
}

// firstListTimeout is how long an instance waits for its first list, less a moment for it to arrive.
const firstListTimeout = 1900 * time.Millisecond

func answersInTime(p *soak.Plan) bool { return p.StaleStart.AnswersAfter < firstListTimeout }
func answersLate(p *soak.Plan) bool   { return !answersInTime(p) }

// A new process must not go by the old list in its configuration while discovery's first answer is on its way.
func TestSoakWithFirstListInTimeBreaksNoRule(t *testing.T) {
	requireScenarioKeepsRules(t, soak.LateFirstList, plantedSeeds, answersInTime)
}

// As TestSoakWithFirstListInTimeBreaksNoRule, with an answer that comes after the instance has begun to go by that list.
func TestSoakWithLateFirstListBreaksNoRule(t *testing.T) {
	requireScenarioKeepsRules(t, soak.LateFirstList, scenarioSeeds, answersLate)
}

// The same seed must draw the same plan of a scenario, and an unknown scenario is an error, not a plain plan.
func TestScenariosAreDrawnFromSeed(t *testing.T) {
	for _, scenario := range soak.Scenarios() {
		for seed := range uint64(100) {
			first, err := soak.DrawScenario(seed, scenario)
			if err != nil {
				t.Fatal(err)
			}
			second, _ := soak.DrawScenario(seed, scenario)
			if !reflect.DeepEqual(first, second) {
				t.Fatalf("%s: %v and %v", scenario, first, second)
			}
		}
	}
	if _, err := soak.DrawScenario(1, "unknown"); err == nil {
		t.Error("an unknown scenario is drawn")
	}
}

// scenarioFaults are mistakes that a scenario must find, by an attempt that began too late after a notice.
var scenarioFaults = []struct {
	scenario soak.Scenario
	wanted   func(*soak.Plan) bool
	mutation mutation.Mutation
}{
	{soak.FramedNotices, anyPlan, mutation.Mutation{Name: "message-in-pieces-dropped", Edits: []mutation.Edit{{
		File: "internal/server/discovery.go",
		Old:  "\t\tb.unread = part.Data\n",
		New:  "\t\tb.unread = part.Data\n\t\tif !bytes.HasSuffix(b.unread, []byte(\"\\n\")) {\n\t\t\tb.unread = nil\n\t\t}\n",
	}}}},
	{soak.FramedNotices, anyPlan, mutation.Mutation{Name: "bytes-behind-heartbeat-dropped", Edits: []mutation.Edit{{
		File: "internal/server/discovery.go",
		Old:  "\t\t\t\tb.onHeartbeat()\n",
		New:  "\t\t\t\tb.onHeartbeat()\n\t\t\t\tb.unparsed = nil\n",
	}}}},
	{soak.FramedNotices, anyPlan, mutation.Mutation{Name: "millisecond-per-entry-and-watch-not-asked", Edits: []mutation.Edit{{
		File: "internal/server/discovery.go",
		Old:  "\tendpoints := update.Endpoints\n",
		New:  "\tendpoints := update.Endpoints\n\ttime.Sleep(time.Duration(len(endpoints)) * time.Millisecond)\n",
	}, {
		File: "internal/server/watchinput.go",
		Old:  "\tif in.unhandledSince == 0 && now < in.checkedAt+checkInterval {\n",
		New:  "\tif true {\n",
	}}}},
	{soak.LateFirstList, answersInTime, mutation.Mutation{Name: "configured-list-at-once", Edits: []mutation.Edit{{
		File: "internal/server/discovery.go",
		Old:  "firstEndpointsTimeout = watchSilenceTimeout + minWatchBackoff + watchDialTimeout + firstAnswerTime",
		New:  "firstEndpointsTimeout = 100 * time.Millisecond",
	}}}},
	{soak.OldFullList, anyPlan, mutation.Mutation{Name: "version-never-lowered", Edits: []mutation.Edit{{
		File: "internal/server/discovery.go",
		Old:  "\tw.version = update.Version\n",
		New:  "\tw.version = max(w.version, update.Version)\n",
	}}}},
	{soak.DialHangs, anyPlan, mutation.Mutation{Name: "failed-dial-waits-seconds", Edits: []mutation.Edit{{
		File: "internal/server/discovery.go",
		Old:  "minWatchBackoff = 100 * time.Millisecond",
		New:  "minWatchBackoff = 8 * time.Second",
	}}}},
	{soak.RequestBatch, anyPlan, plantedFaults[0].mutation}, // the watch ends at SIGTERM
	{soak.DrainWaves, anyPlan, mutation.Mutation{Name: "watch-ends-after-sigterm", Edits: []mutation.Edit{{
		File: "internal/server/server.go",
		Old:  "\ts.goroutines.Go(func() { watchEndpoints(s.connectionsCtx) })\n",
		New: "\twatchCtx, endWatch := context.WithCancel(s.connectionsCtx)\n" +
			"\tcontext.AfterFunc(ctx, func() { time.AfterFunc(200*time.Millisecond, endWatch) })\n" +
			"\ts.goroutines.Go(func() { watchEndpoints(watchCtx) })\n",
	}}}},
}

// A scenario that finds nothing says nothing unless it finds what is broken.
func TestScenariosFindPlantedFaults(t *testing.T) {
	slots := make(chan struct{}, searches)
	for _, planted := range scenarioFaults {
		t.Run(planted.mutation.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			exe := buildMutant(t, planted.mutation)
			options := soak.Options{Command: func(string) (string, []string) { return exe, nil }, Scenario: planted.scenario}
			found := false
			playWith(t, plantedSeeds, options, planted.wanted, func(report soak.Report) bool {
				for _, v := range report.Violations {
					found = found || v.Rule == "drains kept"
				}
				return found
			})
			if !found {
				t.Errorf("%s does not find it within %d seeds", planted.scenario, plantedSeeds)
			}
		})
	}
}
