package soak_test

import (
	"reflect"
	"testing"
	"time"

	"sandyard/internal/mutation"
	"sandyard/internal/soak"
)

const (
	scenarioSeeds    = 2  // per scenario in the short soak
	plantedSeeds     = 10 // seeds within which a scenario must find a planted fault
	parallelSearches = 3  // concurrent searches for planted faults
)

// requireScenarioKeepsRules runs the first seeds of a scenario whose plan is wanted, and fails the test for a broken rule.
func requireScenarioKeepsRules(t *testing.T, scenario soak.Scenario, seeds uint64, wanted func(*soak.Plan) bool) {
	t.Helper()
	judge := requireNoViolation(t)
	runSeedsUntil(t, seeds, soak.Options{Command: ownProgram(t), Scenario: scenario}, wanted, func(report soak.Report) bool {
		judge(report)
		return false
	})
}

// No rule is broken by notices that come during a shutdown in the forms of the scenarios, which plans without a scenario do not have.
func TestSoakOfScenariosBreaksNoRule(t *testing.T) {
	for _, scenario := range soak.Scenarios() {
		if scenario == soak.LateFirstList { // covered by the two tests below
			continue
		}
		t.Run(string(scenario), func(t *testing.T) {
			requireScenarioKeepsRules(t, scenario, scenarioSeeds, anyPlan)
		})
	}
}

// firstListTimeout is how long an instance waits for its first list, less a margin for the arrival of the list.
const firstListTimeout = 1900 * time.Millisecond

func answersInTime(p *soak.Plan) bool { return p.StaleStart.AnswersAfter < firstListTimeout }
func answersLate(p *soak.Plan) bool   { return !answersInTime(p) }

// A new process must not use the outdated list in its configuration while discovery's first answer is on its way.
func TestSoakWithFirstListInTimeBreaksNoRule(t *testing.T) {
	requireScenarioKeepsRules(t, soak.LateFirstList, plantedSeeds, answersInTime)
}

// Like TestSoakWithFirstListInTimeBreaksNoRule, with an answer that arrives after the instance has begun to use the outdated list.
func TestSoakWithLateFirstListBreaksNoRule(t *testing.T) {
	requireScenarioKeepsRules(t, soak.LateFirstList, scenarioSeeds, answersLate)
}

// The same seed must draw the same plan of a scenario. An unknown scenario must be an error, not a plan without a scenario.
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

// scenarioFaults are planted faults that a scenario must find by an attempt that began too late after a notice.
var scenarioFaults = []struct {
	scenario soak.Scenario
	wanted   func(*soak.Plan) bool
	mutation mutation.Mutation
}{
	{soak.FramedNotices, anyPlan, mutation.Mutation{Name: "message-in-pieces-dropped", Edits: []mutation.Edit{{
		File: "internal/server/watchbody.go",
		Old:  "\t\tb.unread = part.Data\n",
		New:  "\t\tb.unread = part.Data\n\t\tif !bytes.HasSuffix(b.unread, []byte(\"\\n\")) {\n\t\t\tb.unread = nil\n\t\t}\n",
	}}}},
	{soak.FramedNotices, anyPlan, mutation.Mutation{Name: "bytes-behind-heartbeat-dropped", Edits: []mutation.Edit{{
		File: "internal/server/watchbody.go",
		Old:  "\t\t\t\tb.events.onHeartbeat()\n",
		New:  "\t\t\t\tb.events.onHeartbeat()\n\t\t\t\tb.unparsed = nil\n",
	}}}},
	{soak.FramedNotices, anyPlan, mutation.Mutation{Name: "millisecond-per-entry-and-watch-not-asked", Edits: []mutation.Edit{{
		File: "internal/server/watchmessages.go",
		Old:  "\tendpoints := update.Endpoints\n",
		New:  "\tendpoints := update.Endpoints\n\ttime.Sleep(time.Duration(len(endpoints)) * time.Millisecond)\n",
	}, {
		File: "internal/server/watchmessages.go",
		Old:  "import (\n",
		New:  "import (\n\t\"time\"\n\n",
	}, {
		File: "internal/server/watchinput.go",
		Old:  "\tif in.unhandledSince == 0 && now < in.checkedAt+checkInterval {\n",
		New:  "\tif true {\n",
	}}}},
	{soak.LateFirstList, answersInTime, mutation.Mutation{Name: "configured-list-at-once", Edits: []mutation.Edit{{
		File: "internal/server/firstlist.go",
		Old:  "configuredListTimeout = 29 * time.Second",
		New:  "configuredListTimeout = 100 * time.Millisecond",
	}}}},
	{soak.OldFullList, anyPlan, mutation.Mutation{Name: "version-never-lowered", Edits: []mutation.Edit{{
		File: "internal/server/watchmessages.go",
		Old:  "\tw.version = update.Version\n",
		New:  "\tw.version = max(w.version, update.Version)\n",
	}}}},
	{soak.DialHangs, anyPlan, mutation.Mutation{Name: "failed-dial-waits-seconds", Edits: []mutation.Edit{{
		File: "internal/server/watchdial.go",
		Old:  "\td.dueAt = time.Now().Add(jitter(d.interval))\n",
		New:  "\td.dueAt = time.Now().Add(8 * time.Second)\n",
	}, watchNotAsked}}},
	{soak.RequestBatch, anyPlan, plantedFaults[0].mutation}, // the watch ends at SIGTERM
	{soak.DrainWaves, anyPlan, mutation.Mutation{Name: "watch-ends-after-sigterm", Edits: []mutation.Edit{{
		File: "internal/server/server.go",
		Old:  "\ts.goroutines.Go(func() { watchEndpoints(s.connectionsCtx) })\n",
		New: "\twatchCtx, endWatch := context.WithCancel(s.connectionsCtx)\n" +
			"\tcontext.AfterFunc(ctx, func() { time.AfterFunc(200*time.Millisecond, endWatch) })\n" +
			"\ts.goroutines.Go(func() { watchEndpoints(watchCtx) })\n",
	}, watchNotAsked}}},
}

// A scenario without violations is evidence only if it finds planted faults.
func TestScenariosFindPlantedFaults(t *testing.T) {
	slots := make(chan struct{}, parallelSearches)
	for _, planted := range scenarioFaults {
		t.Run(planted.mutation.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			exe := buildMutant(t, planted.mutation)
			options := soak.Options{Command: func(string) (string, []string) { return exe, nil }, Scenario: planted.scenario}
			found := false
			runSeedsUntil(t, plantedSeeds, options, planted.wanted, func(report soak.Report) bool {
				for _, v := range report.Violations {
					found = found || v.Rule == "drains kept"
				}
				return found
			})
			if !found {
				t.Errorf("%s does not find the planted fault within %d seeds", planted.scenario, plantedSeeds)
			}
		})
	}
}
