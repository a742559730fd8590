package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"sandyard/config"
	"sandyard/decision"
)

// MaxEndpointListBytes bounds one message of discovery, in bytes.
const MaxEndpointListBytes = 4 << 20

// EndpointList is one message of discovery: the whole list, or the entries that changed up to a version.
type EndpointList struct {
	Version   uint64
	Full      bool
	Endpoints []config.Endpoint
	Malformed []EndpointError // entries that can't be read; they are not among Boxes
}

// EndpointError is an entry of a list that can't be read.
type EndpointError struct {
	Host string // "" if that can't be read either
	Err  error  // with its place
}

var states = map[string]decision.EndpointState{"active": decision.Up, "leaving": decision.Draining, "left": decision.Removed}

// ParseEndpointList reads a message of discovery. An entry that can't be read spoils no other.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var f struct {
		Seq   *uint64           `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return EndpointList{}, err
	}
	if f.Seq == nil {
		return EndpointList{}, fmt.Errorf("seq: missing")
	}
	if len(f.Hosts) > config.MaxEndpoints {
		return EndpointList{}, fmt.Errorf("hosts: %d of them: expected at most %d", len(f.Hosts), config.MaxEndpoints)
	}
	l := EndpointList{Version: *f.Seq, Full: f.Whole, Endpoints: make([]config.Endpoint, 0, len(f.Hosts))}
	for i, text := range f.Hosts {
		if b, err := readEntry(text); err != nil {
			l.Malformed = append(l.Malformed, EndpointError{b.Name, fmt.Errorf("hosts[%d].%w", i, err)})
		} else {
			l.Endpoints = append(l.Endpoints, b)
		}
	}
	return l, nil
}

// readEntry reads one entry. With an error, the box has the entry's name if that could be read.
func readEntry(text []byte) (config.Endpoint, error) {
	var h struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		Born   float64 `json:"born_ms"`
	}
	if err := json.Unmarshal(text, &h); err != nil {
		var field *json.UnmarshalTypeError
		if errors.As(err, &field) && field.Field != "" {
			return config.Endpoint{Name: h.Host}, fmt.Errorf("%s: %s: expected another type", field.Field, field.Value)
		}
		return config.Endpoint{}, fmt.Errorf("host: %w", err)
	}
	b := config.Endpoint{Name: h.Host, Address: h.Dial, Zone: tidy.Replace(h.Site), Cell: h.Block, Weight: h.Share}
	state, ok := states[h.Health]
	if !ok {
		return b, fmt.Errorf("health: %q: expected active, leaving or left", h.Health)
	}
	if h.Host == "" {
		return b, fmt.Errorf("host: missing")
	}
	if _, err := netip.ParseAddrPort(h.Dial); err != nil && state != decision.Removed {
		return b, fmt.Errorf("dial: %q: expected an IP address and a port", h.Dial)
	}
	b.State = config.EndpointState(state)
	if h.Born > 0 && h.Born < math.MaxInt64/1e6 {
		b.Started = config.Timestamp(time.UnixMicro(int64(h.Born * 1e3)))
	}
	return b, nil
}
