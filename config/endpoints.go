package config

import (
	"fmt"
	"net"
	"time"

	"sandyard/decision"
	"sandyard/internal/strictyaml"
)

// Endpoint is one line of the list of boxes.
type Endpoint struct {
	Name    string        `yaml:"name"`
	Address string        `yaml:"address"`
	Zone    string        `yaml:"zone"`
	Cell    int           `yaml:"cell"`
	State   EndpointState `yaml:"state"`
	Weight  float64       `yaml:"weight"`
	Started Timestamp     `yaml:"started"`
}

// EndpointState is up, draining or gone; a box that is not listed is gone.
type EndpointState decision.EndpointState

func (s *EndpointState) FromText(t string) error {
	state, ok := map[string]decision.EndpointState{"up": decision.Up, "draining": decision.Draining, "gone": decision.Removed}[t]
	if !ok {
		return fmt.Errorf("expected up, draining or gone")
	}
	*s = EndpointState(state)
	return nil
}

// Timestamp is a time of day on the calendar (RFC 3339).
type Timestamp time.Time

func (w *Timestamp) FromText(t string) error {
	at, err := time.Parse(time.RFC3339Nano, t)
	if err != nil {
		return fmt.Errorf("expected a time such as 2026-11-30T08:15:00Z")
	}
	*w = Timestamp(at)
	return nil
}

// MaxEndpoints bounds a list.
const MaxEndpoints = 100_000

// ParseEndpoints reads a list of boxes.
func ParseEndpoints(path string, text []byte) ([]Endpoint, error) {
	var f struct {
		Boxes []Endpoint `yaml:"boxes"`
	}
	d := strictyaml.Read(path, text, &f)
	if !d.Has("boxes") && len(d.Problems) == 0 {
		d.Reportf("boxes", "missing; an empty list is written as boxes: []")
	}
	if len(f.Boxes) > MaxEndpoints {
		d.Reportf("boxes", "%d boxes: expected at most %d", len(f.Boxes), MaxEndpoints)
	}
	names := map[string]bool{}
	for i, b := range f.Boxes {
		at := fmt.Sprintf("boxes[%d]", i)
		if b.Name == "" {
			d.Reportf(at+".name", "missing")
		} else if names[b.Name] {
			d.Reportf(at+".name", "%q stands twice", b.Name)
		}
		names[b.Name] = true
		if _, _, err := net.SplitHostPort(b.Address); err != nil {
			d.Reportf(at+".address", "%q: expected host:port", b.Address)
		}
		if b.Weight < 0 {
			d.Reportf(at+".weight", "%g: expected 0 or more", b.Weight)
		}
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return f.Boxes, nil
}
