// Package mutation has the mistakes that the simulator is tried against: each takes one defence of the front door or of
// the decision module away, as a change of the source that a build is told of. Nothing of it is in a normal build.
package mutation

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"sandyard/internal/strictyaml"
)

//go:embed list.yaml
var list []byte

// CostOnly as the rule of a Mutation says that no rule can see it: it costs worth served, or calls to the keeper.
const CostOnly = "worth"

// Mutation is a planted mistake.
type Mutation struct {
	Name       string   `yaml:"name"`
	Guards     string   `yaml:"guards"`  // what the defence that is taken away guards against
	Rule       string   `yaml:"rule"`    // that sees it, or Worth
	Because    string   `yaml:"because"` // of those that no rule sees alone: why
	With       []string `yaml:"with"`    // other mistakes that are made together with it
	Script     string   `yaml:"script"`  // a file beside the simulator's tests that finds it
	CostScript string   `yaml:"day"`     // for those of Worth: a file there on whose day the defence matters
	Edits      []Edit   `yaml:"edits"`
}

// Edit replaces a piece of a file's text that stands there once.
type Edit struct {
	File string `yaml:"file"` // from the root of the module
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
}

// List is all mistakes. The error, if any, is a diag.Problems.
func List() ([]Mutation, error) {
	var f struct {
		Mutants []Mutation `yaml:"mutants"`
	}
	d := strictyaml.Read("list.yaml", list, &f)
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	at := map[string]int{}
	for i, m := range f.Mutants {
		if _, twice := at[m.Name]; twice {
			return nil, fmt.Errorf("mutants: %s is there twice", m.Name)
		}
		at[m.Name] = i
	}
	for i := range f.Mutants {
		m := &f.Mutants[i]
		for _, other := range m.With {
			j, ok := at[other]
			if !ok {
				return nil, fmt.Errorf("mutants: %s goes with %q, which is not there", m.Name, other)
			}
			m.Edits = append(slices.Clone(f.Mutants[j].Edits), m.Edits...)
		}
		if len(m.Edits) == 0 {
			return nil, fmt.Errorf("mutants: %s changes nothing", m.Name)
		}
	}
	return f.Mutants, nil
}

// Apply is what becomes of the files that a mistake changes, below the module's root. A piece that does not stand in its
// file exactly once is an error: the source has moved on and the list has not.
func (m Mutation) Apply(root string) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range m.Edits {
		text, ok := texts[e.File]
		if !ok {
			b, err := os.ReadFile(filepath.Join(root, e.File))
			if err != nil {
				return nil, fmt.Errorf("mutant %s: %w", m.Name, err)
			}
			text = string(b)
		}
		if n := strings.Count(text, e.Old); n != 1 {
			return nil, fmt.Errorf("mutant %s: %s has %d times, not once: %q", m.Name, e.File, n, e.Old)
		}
		texts[e.File] = strings.Replace(text, e.Old, e.New, 1)
	}
	return texts, nil
}

// Overlay writes the changed files into a folder, and the file for go build's -overlay that puts them in the place of
// the originals, whose path it returns.
func (m Mutation) Overlay(root, dir string) (string, error) {
	texts, err := m.Apply(root)
	if err != nil {
		return "", err
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return "", err
	}
	replace := map[string]string{}
	for file, text := range texts {
		path := filepath.Join(dir, m.Name+"-"+strings.ReplaceAll(file, "/", "-"))
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return "", err
		}
		replace[filepath.Join(root, file)] = path
	}
	b, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, m.Name+".json")
	return path, os.WriteFile(path, b, 0o644)
}
