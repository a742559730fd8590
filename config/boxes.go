package config

import (
	"fmt"
	"net"
	"time"

	"sandyard/choice"
	"sandyard/internal/strict"
)

// Box is one line of the list of boxes.
type Box struct {
	Name    string  `yaml:"name"`
	Address string  `yaml:"address"`
	Zone    string  `yaml:"zone"`
	Cell    int     `yaml:"cell"`
	State   State   `yaml:"state"`
	Weight  float64 `yaml:"weight"`
	Started When    `yaml:"started"`
}

// State is up, draining or gone; a box that is not listed is gone.
type State choice.ServerState

func (s *State) FromText(t string) error {
	state, ok := map[string]choice.ServerState{"up": choice.Up, "draining": choice.Draining, "gone": choice.Gone}[t]
	if !ok {
		return fmt.Errorf("expected up, draining or gone")
	}
	*s = State(state)
	return nil
}

// When is a time of day on the calendar (RFC 3339).
type When time.Time

func (w *When) FromText(t string) error {
	at, err := time.Parse(time.RFC3339Nano, t)
	if err != nil {
		return fmt.Errorf("expected a time such as 2026-11-30T08:15:00Z")
	}
	*w = When(at)
	return nil
}

// MostBoxes bounds a list.
const MostBoxes = 100_000

// ParseBoxes reads a list of boxes.
func ParseBoxes(path string, text []byte) ([]Box, error) {
	var f struct {
		Boxes []Box `yaml:"boxes"`
	}
	d := strict.Read(path, text, &f)
	if !d.Has("boxes") && len(d.Problems) == 0 {
		d.Say("boxes", "missing; an empty list is written as boxes: []")
	}
	if len(f.Boxes) > MostBoxes {
		d.Say("boxes", "%d boxes: expected at most %d", len(f.Boxes), MostBoxes)
	}
	names := map[string]bool{}
	for i, b := range f.Boxes {
		at := fmt.Sprintf("boxes[%d]", i)
		if b.Name == "" {
			d.Say(at+".name", "missing")
		} else if names[b.Name] {
			d.Say(at+".name", "%q stands twice", b.Name)
		}
		names[b.Name] = true
		if _, _, err := net.SplitHostPort(b.Address); err != nil {
			d.Say(at+".address", "%q: expected host:port", b.Address)
		}
		if b.Weight < 0 {
			d.Say(at+".weight", "%g: expected 0 or more", b.Weight)
		}
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return f.Boxes, nil
}
