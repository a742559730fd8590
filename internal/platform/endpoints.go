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
	"sandyard/internal/diagnostic"
)

// MaxEndpointListBytes is the maximum size of one discovery message (bytes): about 30,000 entries, more than a fleet has
// backends.
const MaxEndpointListBytes = 4 << 20

// maxStartMillis is the upper bound for the start time of a backend (Unix milliseconds). A later time does not fit
// into an int64 of nanoseconds.
const maxStartMillis = math.MaxInt64 / 1e6

// ErrTooManyEndpoints is returned for a list with more than config.MaxEndpoints entries.
var ErrTooManyEndpoints = errors.New("too many endpoints")

// EndpointList is one discovery message: the full list, or the entries that changed up to a version.
type EndpointList struct {
	Version   uint64
	Full      bool
	Endpoints []config.Endpoint
	Malformed []EndpointError // entries that can't be parsed; Endpoints does not contain them
}

// EndpointError is the error for a list entry that can't be parsed. It wraps the cause.
type EndpointError struct {
	Host string // "" if the name can't be parsed either
	Err  error  // cause, with the position of the entry
}

// Error returns the text of the cause, which names the entry.
func (e *EndpointError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Err }

// endpointStates maps the operators' names for the states of an endpoint.
var endpointStates = map[string]decision.EndpointState{
	"active":  decision.Up,
	"leaving": decision.Draining,
	"left":    decision.Removed,
}

// listMessage is the JSON form of a discovery message.
type listMessage struct {
	Version *uint64           `json:"seq"`
	Full    bool              `json:"whole"`
	Entries []json.RawMessage `json:"hosts"`
}

// listEntry is the JSON form of an entry of a discovery message.
type listEntry struct {
	Host        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Cell        int     `json:"block"`
	State       string  `json:"health"`
	Weight      float64 `json:"share"`
	StartMillis float64 `json:"born_ms"` // start of the process (Unix milliseconds); 0: it started long ago
}

// ParseEndpointList parses a discovery message. An entry that can't be parsed is added to Malformed and does not affect the
// others. A message that can't be parsed as a whole is an error.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var m listMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return EndpointList{}, err
	}
	if m.Version == nil {
		return EndpointList{}, &diagnostic.PlaceError{Place: "seq", Err: diagnostic.ErrMissing}
	}
	if len(m.Entries) > config.MaxEndpoints {
		return EndpointList{}, fmt.Errorf("hosts: %w: %d of them: expected at most %d", ErrTooManyEndpoints, len(m.Entries), config.MaxEndpoints)
	}
	list := EndpointList{Version: *m.Version, Full: m.Full, Endpoints: make([]config.Endpoint, 0, len(m.Entries))}
	for i, text := range m.Entries {
		endpoint, err := parseEndpoint(text)
		if err != nil {
			list.Malformed = append(list.Malformed, EndpointError{endpoint.Name, fmt.Errorf("hosts[%d].%w", i, err)})
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// parseEndpoint parses one entry. If it returns an error, the endpoint has the entry's name if that could be parsed.
func parseEndpoint(text []byte) (config.Endpoint, error) {
	var entry listEntry
	if err := json.Unmarshal(text, &entry); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) && wrongType.Field != "" {
			return config.Endpoint{Name: entry.Host}, fmt.Errorf("%s: %s: expected another type", wrongType.Field, wrongType.Value)
		}
		return config.Endpoint{}, &diagnostic.PlaceError{Place: "host", Err: err}
	}
	return entry.endpoint()
}

func (e *listEntry) endpoint() (config.Endpoint, error) {
	out := config.Endpoint{Name: e.Host, Address: e.Address, Zone: nameReplacer.Replace(e.Zone), Cell: e.Cell, Weight: e.Weight}
	state, ok := endpointStates[e.State]
	if !ok {
		return out, &diagnostic.FieldError{Field: "health", Value: e.State, Want: "active, leaving or left"}
	}
	if e.Host == "" {
		return out, &diagnostic.PlaceError{Place: "host", Err: diagnostic.ErrMissing}
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil && state != decision.Removed {
		return out, &diagnostic.FieldError{Field: "dial", Value: e.Address, Want: "an IP address and a port"}
	}
	out.State = config.EndpointState(state)
	if e.StartMillis > 0 && e.StartMillis < maxStartMillis {
		out.Started = config.Timestamp(time.UnixMicro(int64(e.StartMillis * 1e3)))
	}
	return out, nil
}
