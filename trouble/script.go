package trouble

import (
	"fmt"
	"slices"
	"time"

	"sandyard/internal/strict"
)

// Version is that of the form of scripts. One written for another is refused.
const Version = 1

// Script is a day's troubles, as people write them:
//
//	version: 1
//	troubles:
//	  - {at: 5s, for: 4s, verb: surge, target: "*", value: 1.8}
//	  - {at: 20s, for: 3s, verb: replace, target: box-0}
type Script struct {
	Version int
	Events  []Event
}

type scriptFile struct {
	Version  int `yaml:"version"`
	Troubles []struct {
		At     strict.Duration `yaml:"at"`
		For    strict.Duration `yaml:"for"`
		Verb   string          `yaml:"verb"`
		Target string          `yaml:"target"`
		Value  float64         `yaml:"value"`
	} `yaml:"troubles"`
}

// ReadScript reads a script; the error is a diag.Problems.
func ReadScript(file string, text []byte) (*Script, error) {
	var f scriptFile
	d := strict.Read(file, text, &f)
	if d.Whole() && f.Version != Version {
		d.Say("version", "%d: this program reads version %d", f.Version, Version)
	}
	s := &Script{Version: f.Version}
	for i, t := range f.Troubles {
		at := fmt.Sprintf("troubles[%d]", i)
		e := Event{At: time.Duration(t.At), For: time.Duration(t.For), Verb: Verb(t.Verb), Target: t.Target, Value: t.Value}
		if !slices.Contains(verbs, e.Verb) {
			d.Say(at+".verb", "%q: expected one of %v", t.Verb, verbs)
		} else if slices.Contains(valued, e.Verb) && !d.Has(at+".value") {
			d.Say(at+".value", "%s: a value is missing", t.Verb)
		}
		if e.Verb == Fault && !d.Has(at+".value") {
			e.Value = 1
		}
		if e.Value < 0 {
			d.Say(at+".value", "%g: expected 0 or more", e.Value)
		}
		if e.Target == "" {
			d.Say(at+".target", "missing; * stands for all")
		}
		s.Events = append(s.Events, e)
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return int(a.At - b.At) })
	return s, nil
}
