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

// MaxListBytes bounds one message of discovery, in bytes.
const MaxListBytes = 4 << 20

// List is one message of discovery: the whole list, or the entries that changed up to a version.
type List struct {
	Seq   uint64
	Whole bool
	Boxes []config.Endpoint
	Wrong []SettingsError // entries that can't be read; they are not among Boxes
}

// SettingsError is an entry of a list that can't be read.
type SettingsError struct {
	Host string // "" if that can't be read either
	Err  error  // with its place
}

var states = map[string]decision.EndpointState{"active": decision.Up, "leaving": decision.Draining, "left": decision.Removed}

// ParseList reads a message of discovery. An entry that can't be read spoils no other.
func ParseList(text []byte) (List, error) {
	var f struct {
		Seq   *uint64           `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return List{}, err
	}
	if f.Seq == nil {
		return List{}, fmt.Errorf("seq: missing")
	}
	if len(f.Hosts) > config.MaxEndpoints {
		return List{}, fmt.Errorf("hosts: %d of them: expected at most %d", len(f.Hosts), config.MaxEndpoints)
	}
	l := List{Seq: *f.Seq, Whole: f.Whole, Boxes: make([]config.Endpoint, 0, len(f.Hosts))}
	for i, text := range f.Hosts {
		if b, err := readEntry(text); err != nil {
			l.Wrong = append(l.Wrong, SettingsError{b.Name, fmt.Errorf("hosts[%d].%w", i, err)})
		} else {
			l.Boxes = append(l.Boxes, b)
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
