// Package mutation holds the mutations that the simulator must find. Each one removes a guard of package proxy or of package
// decision by an edit of the source that is applied as a build overlay. Normal builds contain no mutation.
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

// CostOnly is the Rule of a Mutation that breaks no rule: it costs value served or calls to the counter.
const CostOnly = "worth"

// Errors in the list.
var (
	// ErrList is a list whose entries are inconsistent.
	ErrList = errors.New("mutants")
	// ErrStaleEdit is an edit whose old text does not occur exactly once in its file: the source has changed and the list
	// has not.
	ErrStaleEdit = errors.New("stale edit")
)

// Mutation is a deliberate fault in the source.
type Mutation struct {
	Name       string   `yaml:"name"`
	Guards     string   `yaml:"guards"`  // what the removed guard ensures
	Rule       string   `yaml:"rule"`    // rule that is broken without the guard, or CostOnly
	Because    string   `yaml:"because"` // why the mutation alone breaks no rule, if it breaks none
	With       []string `yaml:"with"`    // names of mutations that are applied together with it
	Script     string   `yaml:"script"`  // file in the simulator's testdata whose runs find it
	CostScript string   `yaml:"day"`     // for CostOnly: file in the same folder with runs whose cost depends on the guard
	Edits      []Edit   `yaml:"edits"`
}

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	File string `yaml:"file"` // path from the root of the module
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
}

// listError is an error in the list. It matches ErrList.
type listError struct{ text string }

func (e listError) Error() string        { return ErrList.Error() + ": " + e.text }
func (e listError) Is(target error) bool { return target == ErrList }

// StaleEditError is an edit that does not fit the source. It matches ErrStaleEdit.
type StaleEditError struct {
	Mutation string
	Edit     Edit
	Count    int // how many times the old text occurs in the file
}

func (e *StaleEditError) Error() string {
	return fmt.Sprintf("mutant %s: %s contains the old text %d times, want once: %q", e.Mutation, e.Edit.File, e.Count, e.Edit.Old)
}

// Is reports whether the target is ErrStaleEdit.
func (e *StaleEditError) Is(target error) bool { return target == ErrStaleEdit }

// List returns all mutations. The edits of each include those of the mutations named in its With, which precede it in the
// list. An error is a diagnostic.Problems or matches ErrList.
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
			return nil, listError{m.Name + " occurs twice"}
		}
		byName[m.Name] = i
	}
	for i := range file.Mutants {
		m := &file.Mutants[i]
		for _, other := range m.With {
			j, ok := byName[other]
			if !ok {
				return nil, listError{fmt.Sprintf("%s names %q in with, which is not in the list", m.Name, other)}
			}
			m.Edits = append(slices.Clone(file.Mutants[j].Edits), m.Edits...)
		}
		if len(m.Edits) == 0 {
			return nil, listError{m.Name + " has no edits"}
		}
	}
	return file.Mutants, nil
}

// Apply returns the new texts of the files that a mutation changes, by their paths from the module's root. An error is a
// *StaleEditError or the error of reading a file.
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

// Overlay writes the changed files into a folder, with a JSON file for go build's -overlay that replaces the originals by
// them. It returns the path of the JSON file.
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
