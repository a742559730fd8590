// Package mutation has the mutations that the simulator is tried against: each takes one guard of the proxy or of the decision
// package away, as a change of the source that a build overlays. Nothing of it is in a normal build.
package mutation

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"sandyard/internal/strictyaml"
)

//go:embed list.yaml
var list []byte

// CostOnly as the rule of a Mutation says that no rule can see it: it costs value served, or calls to the counter.
const CostOnly = "worth"

// What can be wrong with the list.
var (
	// ErrList is a list whose entries don't fit together.
	ErrList = errors.New("mutants")
	// ErrStaleEdit is an edit whose old text does not stand in its file exactly once: the source has moved on and the
	// list has not.
	ErrStaleEdit = errors.New("stale edit")
)

// Mutation is a planted mistake.
type Mutation struct {
	Name       string   `yaml:"name"`
	Guards     string   `yaml:"guards"`  // what the guard that is taken away protects
	Rule       string   `yaml:"rule"`    // that sees its absence, or CostOnly
	Because    string   `yaml:"because"` // why no rule sees it alone, where none does
	With       []string `yaml:"with"`    // names of mutations that are made together with it
	Script     string   `yaml:"script"`  // a file in the simulator's testdata that finds it
	CostScript string   `yaml:"day"`     // of CostOnly: a file there in whose runs the guard matters
	Edits      []Edit   `yaml:"edits"`
}

// Edit replaces a piece of a file's text that stands there once.
type Edit struct {
	File string `yaml:"file"` // from the root of the module
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
}

// listError is a mistake in the list; errors.Is finds ErrList.
type listError struct{ text string }

func (e listError) Error() string        { return ErrList.Error() + ": " + e.text }
func (e listError) Is(target error) bool { return target == ErrList }

// StaleEditError is an edit that does not fit the source; errors.Is finds ErrStaleEdit.
type StaleEditError struct {
	Mutation string
	Edit     Edit
	Count    int // how many times the old text stands in the file
}

func (e *StaleEditError) Error() string {
	return fmt.Sprintf("mutant %s: %s has %d times, not once: %q", e.Mutation, e.Edit.File, e.Count, e.Edit.Old)
}

// Is reports whether the target is ErrStaleEdit.
func (e *StaleEditError) Is(target error) bool { return target == ErrStaleEdit }

// List returns all mutations, each with the edits of those that it names in With, which stand before it in the list. The error, if any, is a
// diagnostic.Problems or ErrList.
func List() ([]Mutation, error) {
	var file struct {
		Mutants []Mutation `yaml:"mutants"`
	}
	d := strictyaml.Read("list.yaml", list, &file)
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	byName := map[string]int{}
	for i, m := range file.Mutants {
		if _, twice := byName[m.Name]; twice {
			return nil, listError{m.Name + " is there twice"}
		}
		byName[m.Name] = i
	}
	for i := range file.Mutants {
		m := &file.Mutants[i]
		for _, other := range m.With {
			j, ok := byName[other]
			if !ok {
				return nil, listError{fmt.Sprintf("%s goes with %q, which is not there", m.Name, other)}
			}
			m.Edits = append(slices.Clone(file.Mutants[j].Edits), m.Edits...)
		}
		if len(m.Edits) == 0 {
			return nil, listError{m.Name + " changes nothing"}
		}
	}
	return file.Mutants, nil
}

// Apply returns the changed texts of the files that a mutation changes, by their names below the module's root. The error
// is a *StaleEditError, or that of a file that can't be read.
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
			return nil, &StaleEditError{Mutation: m.Name, Edit: e, Count: n}
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
