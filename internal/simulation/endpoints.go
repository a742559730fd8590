package simulation

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// epoch is the calendar time at which virtual time is zero.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// cellOf is a box's cell.
func (s *Sim) cellOf(b *simBackend) int { return b.number % max(1, s.script.Backends.Cells) }

// cellOfName tells which boxes discard each other's repeats; nil: all do.
func (s *Sim) cellOfName() func(box string) string {
	if s.script.Backends.Cells < 2 {
		return nil
	}
	return func(box string) string {
		for _, b := range s.backends {
			if b.name == box {
				return strconv.Itoa(s.cellOf(b))
			}
		}
		return ""
	}
}

// endpointFileText is the file of boxes.
func (s *Sim) endpointFileText() string {
	var t strings.Builder
	t.WriteString("boxes:\n")
	n := 0
	for _, b := range s.backends {
		if b.listedState == "gone" {
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

// writeEndpoints replaces the file of boxes; each door hears of it a moment later.
func (s *Sim) writeEndpoints() {
	s.endpointFile = s.endpointFileText()
	s.notifyInstances()
}

// parseEndpoints reads the list as it is now, once for all doors that read the same.
func (s *Sim) parseEndpoints() ([]config.Endpoint, error) {
	parsed := &s.parsedFile
	if parsed.endpoints == nil && parsed.err == nil || parsed.text != s.endpointFile {
		parsed.text = s.endpointFile
		parsed.endpoints, parsed.err = config.ParseEndpoints("boxes.yaml", []byte(parsed.text))
	}
	return slices.Clone(parsed.endpoints), parsed.err
}

func (s *Sim) notifyInstances() {
	rng := s.network.rng
	for _, inst := range s.instances {
		s.scheduleAfter(time.Duration(rng.Int64N(int64(20*time.Millisecond))), inst.thisIncarnation(inst.pollEndpoints))
	}
}

// recordEndpointView notes what a door was told.
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
