package mutation

import (
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strings"
	"testing"

	"sandyard/internal/simulation"
)

// TestListFitsTheSource: every mistake can be planted in the source as it is, and changes it to what parses; its rule is
// one that runs are held to, and its script is there.
func TestListFitsTheSource(t *testing.T) {
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
			t.Errorf("%s: what does it guard against?", m.Name)
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
			t.Errorf("%s: a day of worth, though a rule sees it", m.Name)
		}
	}
	if len(all) < 30 {
		t.Errorf("%d mistakes only", len(all))
	}
}

// A list that the source has left behind is told, not passed over.
func TestMovedSource(t *testing.T) {
	m := Mutation{Name: "x", Edits: []Edit{{File: "mutation.go", Old: "no such text, except here", New: ""}}}
	if _, err := m.Apply("."); err == nil || !strings.Contains(err.Error(), "mutation.go has 0 times") {
		t.Errorf("%v", err)
	}
}
