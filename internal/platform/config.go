// Package platform is the adapter of the operators' platform: the configuration that an instance is started with, how
// requests, attempts and responses look, the messages of discovery, and the lines of the counter. It decides nothing,
// opens no connection and reads no clock. Its values are immutable and may be shared by goroutines, except a counter
// codec, which belongs to one connection. docs/design/platform.md describes the protocol's guards.
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

// Errors of a configuration. Other faults are *diagnostic.FieldError (a field with a value that can't be taken) or
// *EndpointError (an entry of the list of endpoints).
var (
	ErrNegativeLimit    = errors.New("expected no negative figure")
	ErrNoClassOrPlan    = errors.New("no class or no plan")
	ErrDuplicateName    = errors.New("two classes or two plans of one name")
	ErrSettingsNoObject = errors.New("expected an object")
)

// Node is the configuration of an instance, read when it starts and again with SIGHUP, and the protocol that the
// instance speaks by it.
type Node struct {
	Name            string       // of the instance, for logs
	Listen          string       // host:port for clients
	Discovery       string       // host:port of discovery
	Seed            uint64       // of all random draws
	Limits          Limits       // of its processes
	CachedEndpoints EndpointList // as the instance had them last; may be old
	Config          *config.Config

	operations      map[string]*routes.Operation // by name of class
	plans           map[string]decision.PlanID   // by name
	loadReportNames []string                     // of the figures, in the order of Settings.LoadFields
	instances       int                          // in the fleet
}

// Limits are what an instance's processes may take.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores, fractions allowed; 0: not limited
	MemoryMB int     `json:"memory_mb"` // MiB; 0: not limited
	Sockets  int     `json:"sockets"`   // descriptors; 0: not limited
}

// configFile is a configuration as operators write it.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Counter   string          `json:"counter"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Endpoints json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// ParseConfig reads a configuration. The error names the first field that is wrong.
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

// checkAddresses refuses what is no address. An instance may be without a counter.
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

// cachedEndpoints reads the list of endpoints that comes with the configuration. All of its entries have to be right.
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

// applySettings works out what the instance goes by from the operators' settings. The counter is called only where they
// allow it.
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

// indexNames makes classes and plans known by their names, which requests give.
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
