package simulation

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// cellOf returns the number of a backend's cell.
func (s *Sim) cellOf(b *simBackend) int { return b.number % max(1, s.script.Backends.Cells) }

// cellOfName returns a function from a backend's name to its cell. Repeats of an idempotency key are discarded within a
// cell only. It returns nil if there is one cell.
func (s *Sim) cellOfName() func(backend string) string {
	if s.script.Backends.Cells < 2 {
		return nil
	}
	return func(backend string) string {
		for _, b := range s.backends {
			if b.name == backend {
				return strconv.Itoa(s.cellOf(b))
			}
		}
		return ""
	}
}

// endpointFileText returns the current content for the endpoint file.
func (s *Sim) endpointFileText() string {
	var t strings.Builder
	t.WriteString("boxes:\n")
	n := 0
	for _, b := range s.backends {
		if b.listedState == listedRemoved {
			continue
		}
		n++
		t.WriteString("  - {name: " + b.name + ", address: \"" + b.address + "\", cell: " + strconv.Itoa(s.cellOf(b)) + ", state: " + b.listedState)
		if b.startedCold {
			t.WriteString(", started: \"" + epoch.Add(b.startedAt).Format(time.RFC3339Nano) + "\"")
		}
		t.WriteString("}\n")
	}
	if n == 0 {
		return "boxes: []\n"
	}
	return t.String()
}

// writeEndpoints replaces the endpoint file and notifies the instances.
func (s *Sim) writeEndpoints() {
	s.endpointFile = s.endpointFileText()
	s.notifyInstances()
}

// parseEndpoints parses the current endpoint file. Instances that read the same text share the result.
func (s *Sim) parseEndpoints() ([]config.Endpoint, error) {
	parsed := &s.parsedFile
	if parsed.endpoints == nil && parsed.err == nil || parsed.text != s.endpointFile {
		parsed.text = s.endpointFile
		parsed.endpoints, parsed.err = config.ParseEndpoints("boxes.yaml", []byte(parsed.text))
	}
	return slices.Clone(parsed.endpoints), parsed.err
}

// notifyInstances has every instance read the endpoint file after a short random delay.
func (s *Sim) notifyInstances() {
	rng := s.network.rng
	for _, inst := range s.instances {
		s.scheduleAfter(time.Duration(rng.Int64N(int64(20*time.Millisecond))), inst.forThisIncarnation(inst.pollEndpoints))
	}
}

// recordEndpointView reports to the checker which backends are up in the list that an instance has read.
func (s *Sim) recordEndpointView(inst *simInstance, endpoints []config.Endpoint) {
	for _, b := range s.backends {
		i := slices.IndexFunc(endpoints, func(c config.Endpoint) bool { return c.Name == b.name })
		if i < 0 || decision.EndpointState(endpoints[i].State) != decision.Up {
			s.checker.EndpointRemoved(inst.number, b.name, s.now)
		} else {
			s.checker.EndpointListed(inst.number, b.name, s.now)
		}
	}
}
