// Package platform is the adapter for the operators' platform. It defines the configuration that an instance starts with,
// the format of requests, attempts and responses, the messages of discovery, and the line protocol of the counter. The
// package makes no decisions, opens no connection and reads no clock. Its values are immutable and safe for concurrent
// use, except a counter codec, which belongs to one connection. docs/design/platform.md describes the checks that
// protect the protocol.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/diagnostic"
	"sandyard/internal/sitesettings"
	"sandyard/routes"
)

// Errors of a configuration. Others are *diagnostic.FieldError (a field with an invalid value), *EndpointError (an invalid
// entry of the endpoint list), the errors of encoding/json, and io.EOF if there are no settings. All are wrapped: use
// errors.Is and errors.As.
var (
	ErrNegativeLimit     = errors.New("expected no negative number")
	ErrNoClassOrPlan     = errors.New("no class or no plan")
	ErrDuplicateName     = errors.New("two classes or two plans with the same name")
	ErrSettingsNotObject = errors.New("expected an object")
)

// Node is the configuration of an instance (the platform's node), read at the start and again on SIGHUP. It implements the platform's protocol
// for that configuration.
type Node struct {
	Name            string       // of the instance, for logs
	Listen          string       // IP:port for clients
	Discovery       string       // IP:port of discovery
	Seed            uint64       // seed of all random draws
	Limits          Limits       // resource limits of the instance's processes
	CachedEndpoints EndpointList // the last list that the instance had; may be old
	Config          *config.Config

	operations      map[string]*routes.Operation // by class name
	plans           map[string]decision.PlanID   // by name
	loadReportNames []string                     // names of the load values, in the order of Settings.LoadFields
	instances       int                          // number of instances in the fleet
}

// Limits are the resource limits of an instance's processes.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores, fractions allowed; 0: not limited
	MemoryMB int     `json:"memory_mb"` // MiB; 0: not limited
	Sockets  int     `json:"sockets"`   // file descriptors; 0: not limited
}

// configFile is the JSON form of a configuration.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Counter   string          `json:"counter"`
	Seed      string          `json:"seed"` // hexadecimal, up to 16 digits
	Limits    Limits          `json:"limits"`
	Endpoints json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// ParseConfig parses a configuration. If the error is about a field, it names the first invalid one.
func ParseConfig(text []byte) (*Node, error) {
	n, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return n, nil
}

func parseConfig(text []byte) (*Node, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if err := file.checkAddresses(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, &diagnostic.FieldError{Field: "seed", Value: file.Seed, Want: "up to 16 hex digits"}
	}
	if !(file.Limits.Cores >= 0) || file.Limits.MemoryMB < 0 || file.Limits.Sockets < 0 {
		return nil, &diagnostic.PlaceError{Place: "limits", Err: ErrNegativeLimit}
	}
	endpoints, err := file.cachedEndpoints()
	if err != nil {
		return nil, &diagnostic.PlaceError{Place: "known", Err: err}
	}
	n := &Node{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Seed: seed, Limits: file.Limits, CachedEndpoints: endpoints}
	if err := n.applySettings(file.Settings, file.Counter); err != nil {
		return nil, &diagnostic.PlaceError{Place: "settings", Err: err}
	}
	return n, nil
}

// checkAddresses returns an error for the first field that is not an address. The counter's address is optional.
func (f *configFile) checkAddresses() error {
	for _, a := range []struct {
		field, address string
		optional       bool
	}{{"listen", f.Listen, false}, {"discovery", f.Discovery, false}, {"counter", f.Counter, true}} {
		if a.optional && a.address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return &diagnostic.FieldError{Field: a.field, Value: a.address, Want: "an IP address and a port"}
		}
	}
	return nil
}

// cachedEndpoints parses the endpoint list in the configuration. All of its entries must be valid.
func (f *configFile) cachedEndpoints() (EndpointList, error) {
	if len(f.Endpoints) == 0 {
		return EndpointList{}, nil
	}
	list, err := ParseEndpointList(f.Endpoints)
	if err != nil {
		return EndpointList{}, err
	}
	if len(list.Malformed) > 0 {
		return EndpointList{}, &list.Malformed[0]
	}
	return list, nil
}

// applySettings derives the instance's configuration from the operators' settings. The counter is used only if the settings
// enable it.
func (n *Node) applySettings(text json.RawMessage, counter string) error {
	lookup, err := settingsLookup(text)
	if err != nil {
		return err
	}
	s, err := sitesettings.Decode(lookup)
	if err != nil {
		return err
	}
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return ErrNoClassOrPlan
	}
	n.instances = s.Instance.Total
	n.loadReportNames = slices.Clone(s.LoadReports.Names)
	n.Config = n.newConfig(s, counter)
	return n.indexNames(s)
}

// indexNames indexes classes and plans by the names that requests use.
func (n *Node) indexNames(s *sitesettings.Settings) error {
	n.operations, n.plans = map[string]*routes.Operation{}, map[string]decision.PlanID{}
	for i, c := range s.Classes {
		n.operations[c.Name] = &routes.Operation{ID: c.Name, Class: c.Name, Index: i}
	}
	for i, p := range s.Plans {
		n.plans[p.Name] = decision.PlanID(i)
	}
	if len(n.operations) != len(s.Classes) || len(n.plans) != len(s.Plans) {
		return ErrDuplicateName
	}
	return nil
}
