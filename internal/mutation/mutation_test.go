package mutation

import (
	"errors"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strings"
	"testing"

	"sandyard/internal/simulation"
)

// A mutation that no longer fits the source would be skipped, and nothing would check its guard. Each mutation must apply to the
// current source and leave files that parse. Its rule must be one that runs are checked against, and its scripts must exist.
func TestMutationsApplyToTheSource(t *testing.T) {
	all, err := List()
	if err != nil {
		t.Fatal(err)
	}
	rules := append(simulation.RuleNames(), simulation.RuleRecovery, simulation.RuleCrash, simulation.RuleLeak, simulation.RuleOwnResponse, CostOnly)
	for _, m := range all {
		texts, err := m.Apply("../..")
		if err != nil {
			t.Error(err)
			continue
		}
		for file, text := range texts {
			if _, err := parser.ParseFile(token.NewFileSet(), file, text, 0); err != nil {
				t.Errorf("%s: %v", m.Name, err)
			}
		}
		if !slices.Contains(rules, m.Rule) {
			t.Errorf("%s: there is no rule %q", m.Name, m.Rule)
		}
		if m.Guards == "" {
			t.Errorf("%s: does not say what it guards", m.Name)
		}
		for _, file := range []string{m.Script, m.CostScript} {
			if file == "" {
				continue
			}
			if _, err := os.Stat("../simulation/testdata/" + file); err != nil {
				t.Error(err)
			}
		}
		if m.CostScript != "" && m.Rule != CostOnly {
			t.Errorf("%s: has a script for its cost, although its rule is not CostOnly", m.Name)
		}
	}
	if len(all) < 30 {
		t.Errorf("only %d mutations", len(all))
	}
}

// If the source changes and the list does not, Apply must return an error that names the file, not a mutation without effect.
func TestStaleEditIsAnError(t *testing.T) {
	m := Mutation{Name: "x", Edits: []Edit{{File: "mutation.go", Old: "no such text, except here", New: ""}}}
	if _, err := m.Apply("."); !errors.Is(err, ErrStaleEdit) || !strings.Contains(err.Error(), "mutation.go contains the old text 0 times") {
		t.Errorf("%v", err)
	}
}
