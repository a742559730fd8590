// Package platform is the operators' platform as bytes in and values out: the configuration that a front door is started
// with, how requests, attempts and answers look, what discovery tells, and the counter's lines. It decides nothing,
// opens no connection and reads no clock. Its values are immutable and may be shared by goroutines, but for a Counter's.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/simwire"
	"sandyard/internal/strictyaml"
	"sandyard/routes"
)

// Node is what a front door is told when it starts, and again with SIGHUP.
type Node struct {
	Name            string
	Listen          string // host:port
	Discovery       string // host:port
	Seed            uint64
	Limits          Limits
	CachedEndpoints EndpointList // as this front door had it last; may be old
	Config          *config.Config

	operations      map[string]*routes.Operation
	plans           map[string]decision.PlanID
	loadReportNames []string // names of the figures of a report, in the order of Settings.LoadFields
	instances       int      // in the fleet
}

// Limits are what a front door's processes may take.
type Limits struct {
	Cores    float64 `json:"cores"`     // of one core
	MemoryMB int     `json:"memory_mb"` // 0: not limited
	Sockets  int     `json:"sockets"`   // descriptors; 0: not limited
}

const (
	mostBody      = 64 << 10               // bytes, as the protocol says
	fallback      = 4096                   // descriptors where no limit is told
	clientShare   = 0.5                    // of the descriptors, for clients: they hold a third, others come besides
	lineShare     = 0.3                    // of the descriptors, for lines to backends; the rest is for all else
	idleShare     = 0.6                    // of the time after which a backend's machine closes an idle connection
	requestTime   = 2 * time.Second        // for a request to come whole; bad senders are owed an end within 3 s
	answerMargin  = 12 * time.Millisecond  // kept of a client's patience for the way back
	quiet         = 20 * time.Millisecond  // a backend's line rests between requests, so that what comes behind an answer is seen
	keeperPending = 1024                   // calls to the counter on their way
	stopTime      = 600 * time.Millisecond // more than new connections keep coming after SIGTERM
)

// ParseConfig takes a configuration apart.
func ParseConfig(text []byte) (*Node, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Counter   string          `json:"counter"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	n := &Node{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits}
	for name, addr := range map[string]string{"listen": f.Listen, "discovery": f.Discovery, "counter": f.Counter} {
		if _, err := netip.ParseAddrPort(addr); err != nil && (addr != "" || name != "counter") {
			return nil, fmt.Errorf("configuration: %s: %q: expected an IP address and a port", name, addr)
		}
	}
	var err error
	if n.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("configuration: seed: %q: expected up to 16 hex digits", f.Seed)
	}
	if !(f.Limits.Cores >= 0) || f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0 {
		return nil, fmt.Errorf("configuration: limits: expected no negative figure")
	}
	if len(f.Known) > 0 {
		if n.CachedEndpoints, err = ParseEndpointList(f.Known); err != nil {
			return nil, fmt.Errorf("configuration: known: %w", err)
		}
		if len(n.CachedEndpoints.Malformed) > 0 {
			return nil, fmt.Errorf("configuration: known: %w", n.CachedEndpoints.Malformed[0].Err)
		}
	}
	pairs, err := flatten(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	if err := n.settle(pairs, f.Counter); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return n, nil
}

// pair is one setting. A value is text as the wire has it.
type pair struct{ path, value string }

// flatten turns nested settings into the pairs that the wire has: a list of plain values is joined by commas, one of
// objects has its length under .count and its items under .0, .1 and so on.
func flatten(text []byte) ([]pair, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("expected one object")
	}
	if _, ok := v.(map[string]any); !ok {
		return nil, fmt.Errorf("expected an object")
	}
	var out []pair
	flattenInto(&out, "", v)
	slices.SortFunc(out, func(a, b pair) int { return strings.Compare(a.path, b.path) })
	return out, nil
}

func flattenInto(out *[]pair, path string, v any) {
	at := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for key, one := range v {
			flattenInto(out, at(key), one)
		}
	case []any:
		if len(v) > 0 {
			if _, ok := v[0].(map[string]any); ok {
				*out = append(*out, pair{at("count"), strconv.Itoa(len(v))})
				for i, one := range v {
					flattenInto(out, at(strconv.Itoa(i)), one)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, one := range v {
			words[i] = plain(one)
		}
		*out = append(*out, pair{path, strings.Join(words, ",")})
	default:
		*out = append(*out, pair{path, plain(v)})
	}
}

var tidy = strings.NewReplacer(" ", "_", ",", "_")

func plain(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		return tidy.Replace(v)
	case bool:
		return strconv.FormatBool(v)
	case json.Number:
		return v.String()
	}
	return "-"
}

// settle works out the settings and the bounds. The counter is called only where the settings allow it.
func (n *Node) settle(pairs []pair, counter string) error {
	text, at := make([]string, len(pairs)), make(map[string]string, len(pairs))
	for i, p := range pairs {
		text[i], at[p.path] = p.path+"="+p.value, p.value
	}
	set, err := simwire.Settings(text)
	if err != nil {
		return err
	}
	if len(set.Classes) == 0 || len(set.Plans) == 0 {
		return fmt.Errorf("settings: no class or no plan")
	}
	millis := func(key string, absent time.Duration) time.Duration {
		if ms, err := strconv.ParseFloat(at[key], 64); err == nil && ms > 0 && ms < 1e9 {
			return time.Duration(ms * float64(time.Millisecond))
		}
		return absent
	}
	n.instances = set.Instances
	cfg := &config.Config{Settings: set}
	cfg.Trace.Mode, cfg.Log.Level = "off", "info"
	n.operations = map[string]*routes.Operation{}
	for i := range set.Classes {
		name := at["services."+strconv.Itoa(i)+".name"]
		n.operations[name] = &routes.Operation{ID: name, Class: name, Index: i}
		cfg.ClassNames = append(cfg.ClassNames, name)
		cfg.ClassByOperation = append(cfg.ClassByOperation, decision.ClassID(i))
	}
	n.plans = map[string]decision.PlanID{}
	for i := range set.Plans {
		n.plans[at["plans."+strconv.Itoa(i)+".name"]] = decision.PlanID(i)
	}
	if len(n.operations) != len(set.Classes) || len(n.plans) != len(set.Plans) {
		return fmt.Errorf("settings: two classes or two plans of one name")
	}
	n.loadReportNames = append(n.loadReportNames, strings.Split(at["feedback.names"], ",")...)
	cfg.Zones = strings.Split(at["localities"], ",")
	cfg.Instance.Number, cfg.Instance.Total = set.Self, set.Instances
	cfg.RetryAfter.Enabled = set.RetryAfter
	if set.Counter {
		cfg.Counter.Address = counter
	}
	cfg.Counter.Timeout, cfg.Counter.MaxPending = strictyaml.Duration(set.CounterTimeout), keeperPending
	if cfg.Counter.Timeout <= 0 {
		cfg.Counter.Timeout = strictyaml.Duration(50 * time.Millisecond)
	}
	cfg.Endpoints = n.CachedEndpoints.Endpoints
	sockets := n.Limits.Sockets
	if sockets == 0 {
		sockets = fallback
	}
	lines := max(2, int(lineShare*float64(sockets)))
	memory := int64(math.MaxInt32)
	if n.Limits.MemoryMB > 0 {
		memory = int64(n.Limits.MemoryMB) << 20 / 4
	}
	idle := time.Duration(idleShare * float64(millis("limits.conn-idle-ms", 15*time.Second)))
	cfg.Limits = config.Limits{Connections: max(4, int(clientShare*float64(sockets))), BackendConns: lines, ConnsPerBackend: lines,
		Queue: 2048, Memory: strictyaml.Size(memory), Body: mostBody, Head: 16 << 10, Fields: 64, HoldResponse: mostBody, Response: mostBody,
		HeadTimeout: strictyaml.Duration(requestTime), BodyTimeout: strictyaml.Duration(requestTime), FirstTimeout: strictyaml.Duration(requestTime),
		WriteTimeout: strictyaml.Duration(3 * time.Second), IdleTimeout: strictyaml.Duration(30 * time.Second),
		ConnectTimeout:     strictyaml.Duration(millis("limits.connect-timeout-ms", 250*time.Millisecond)),
		BackendIdleTimeout: strictyaml.Duration(idle), NonIdempotentIdle: 0, ReuseDelay: strictyaml.Duration(quiet),
		ResponseMargin: strictyaml.Duration(answerMargin), StreamIdleTimeout: strictyaml.Duration(30 * time.Second),
		ShutdownTimeout: strictyaml.Duration(time.Minute), StopDelay: strictyaml.Duration(stopTime)}
	n.Config = cfg
	return nil
}
