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

// A mutation that no longer fits the source would be skipped, and its guard would be without a check. Each must apply to the
// source as it is and leave what parses; its rule must be one that runs are held to, and its scripts must be there.
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
			t.Errorf("%s: no rule is called %q", m.Name, m.Rule)
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
			t.Errorf("%s: a script for its cost, though a rule sees it", m.Name)
		}
	}
	if len(all) < 30 {
		t.Errorf("%d mutations only", len(all))
	}
}

// When the source moves on and the list does not, that must be an error that names the file, not a mutation without effect.
func TestStaleEditIsAnError(t *testing.T) {
	m := Mutation{Name: "x", Edits: []Edit{{File: "mutation.go", Old: "no such text, except here", New: ""}}}
	if _, err := m.Apply("."); !errors.Is(err, ErrStaleEdit) || !strings.Contains(err.Error(), "mutation.go has 0 times") {
		t.Errorf("%v", err)
	}
}
