package config

import (
	"errors"
	"fmt"
	"net"
	"time"

	"sandyard/decision"
	"sandyard/internal/strictyaml"
)

// MaxEndpoints is the maximum length of an endpoint list. A fleet has some thousands of endpoints. The limit keeps a file that
// is not an endpoint list from exhausting the memory; ParseEndpoints applies it after it has decoded the list.
const MaxEndpoints = 100_000

// Errors of values in an endpoint list. Each is the cause of a diagnostic.Problem.
var (
	ErrEndpointState = errors.New("expected up, draining or gone")
	ErrTimestamp     = errors.New("expected a time such as 2026-11-30T08:15:00Z")
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name    string        `yaml:"name"`    // unique in the list
	Address string        `yaml:"address"` // host:port
	Zone    string        `yaml:"zone"`    // one of the zones of gateway.yaml; "", the default: no zone
	Cell    int           `yaml:"cell"`    // group of backends that share idempotency keys; 0 by default
	State   EndpointState `yaml:"state"`   // up by default
	Weight  float64       `yaml:"weight"`  // capacity relative to other endpoints, 0 or more; 0, the default: unknown
	Started Timestamp     `yaml:"started"` // when its process started, for slow start; absent: long ago, so that it has its full capacity
}

// EndpointState is the state of an endpoint, written as up, draining or gone. An endpoint that is not listed is gone.
type EndpointState decision.EndpointState

// DecodeText parses a state. The error is ErrEndpointState.
func (s *EndpointState) DecodeText(t string) error {
	states := map[string]decision.EndpointState{"up": decision.Up, "draining": decision.Draining, "gone": decision.Removed}
	state, ok := states[t]
	if !ok {
		return ErrEndpointState
	}
	*s = EndpointState(state)
	return nil
}

// Timestamp is a date and time in the format of RFC 3339.
type Timestamp time.Time

// DecodeText parses a date and time. The error is ErrTimestamp.
func (ts *Timestamp) DecodeText(t string) error {
	at, err := time.Parse(time.RFC3339Nano, t)
	if err != nil {
		return ErrTimestamp
	}
	*ts = Timestamp(at)
	return nil
}

// ParseEndpoints parses an endpoint list. The error is a diagnostic.Problems with every problem. A list with problems is
// rejected as a whole.
func ParseEndpoints(path string, text []byte) ([]Endpoint, error) {
	var f struct {
		Endpoints []Endpoint `yaml:"boxes"`
	}
	d := strictyaml.Read(path, text, &f)
	if !d.Has("boxes") && len(d.Problems) == 0 {
		d.Reportf("boxes", "missing; an empty list is written as boxes: []")
	}
	if len(f.Endpoints) > MaxEndpoints {
		d.Reportf("boxes", "%d boxes: expected at most %d", len(f.Endpoints), MaxEndpoints)
	}
	validateEndpoints(d, f.Endpoints)
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return f.Endpoints, nil
}

func validateEndpoints(d *strictyaml.Document, endpoints []Endpoint) {
	names := map[string]bool{}
	for i, e := range endpoints {
		at := fmt.Sprintf("boxes[%d]", i)
		if e.Name == "" {
			d.Reportf(at+".name", "missing")
		} else if names[e.Name] {
			d.Reportf(at+".name", "%q occurs twice", e.Name)
		}
		names[e.Name] = true
		if _, _, err := net.SplitHostPort(e.Address); err != nil {
			d.Reportf(at+".address", "%q: expected host:port", e.Address)
		}
		if e.Weight < 0 {
			d.Reportf(at+".weight", "%g: expected 0 or more", e.Weight)
		}
	}
}
