package platform

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/diagnostic"
)

// settingsCase is one change to the settings of a valid configuration.
type settingsCase struct{ name, old, replacement string }

func (c settingsCase) parse(t *testing.T) (*Node, error) {
	t.Helper()
	if !strings.Contains(configuration, c.old) {
		t.Fatalf("%s: the configuration does not contain %s", c.name, c.old)
	}
	return ParseConfig([]byte(strings.Replace(configuration, c.old, c.replacement, 1)))
}

// TestAcceptedSettings checks the accepted forms of settings. Operators generate configurations with many tools, which may
// write a number as text, a list as an object with its length, a nested key with dots, or an absent value as null. An
// instance that rejected one of these forms after an update would not start again. Each form must keep its meaning, and
// unknown keys are ignored.
func TestAcceptedSettings(t *testing.T) {
	for _, c := range []struct {
		settingsCase
		want func(s *decision.Settings, c *config.Config)
	}{
		{settingsCase{"unknown key", `"az":1`, `"az":1,"new":{"key":[1,{"a":2}]}`}, nil},
		{settingsCase{"number as text", `"max-attempts":3`, `"max-attempts":"3"`}, nil},
		{settingsCase{"number in a list", `"me":2`, `"me":[2]`}, nil},
		{settingsCase{"fraction with exponent", `"count-limit-ms":50.0`, `"count-limit-ms":5e1`}, nil},
		{settingsCase{"boolean as text", `"retry-after":true`, `"retry-after":"true"`}, nil},
		{settingsCase{"boolean as number", `"retry-after":true`, `"retry-after":1`}, nil},
		{settingsCase{"dotted key", `"max-attempts":3,`, ``}, func(s *decision.Settings, _ *config.Config) { s.MaxAttempts = 1 }},
		{settingsCase{"dotted key at the top", `"az":1`, `"az":1,"rules.cold-from":0.5`}, func(s *decision.Settings, _ *config.Config) { s.SlowStartShare = 0.5 }},
		{settingsCase{"zero as boolean", `"retry-after":true`, `"retry-after":0`}, func(s *decision.Settings, c *config.Config) { s.RetryAfter, c.RetryAfter.Enabled = false, false }},
		{settingsCase{"null is absent", `"me":2`, `"me":null`}, func(s *decision.Settings, c *config.Config) { s.Self, c.Instance.Number = 0, 0 }},
		{settingsCase{"a dash is absent", `"units-top":6`, `"units-top":"-"`}, func(s *decision.Settings, _ *config.Config) { s.MaxUnits = 1 }},
		{settingsCase{"empty text is absent", `"units-top":6`, `"units-top":""`}, func(s *decision.Settings, _ *config.Config) { s.MaxUnits = 1 }},
		{settingsCase{"object for a number", `"units-top":6`, `"units-top":{"a":1}`}, func(s *decision.Settings, _ *config.Config) { s.MaxUnits = 1 }},
		{settingsCase{"unknown delivery of reports", `"via":"piggyback"`, `"via":"pigeon"`}, func(s *decision.Settings, _ *config.Config) { s.LoadInAnswers = false }},
		{settingsCase{"reports by probe", `"via":"piggyback"`, `"via":"pull"`}, func(s *decision.Settings, _ *config.Config) { s.LoadInAnswers, s.LoadByProbe = false, true }},
		{settingsCase{"unknown load value", `"pending"]`, `"odd"]`}, func(s *decision.Settings, _ *config.Config) { s.LoadFields[1] = decision.FieldOther }},
		{settingsCase{"load values as text", `["cpu_share","pending"]`, `"cpu_share"`}, func(s *decision.Settings, _ *config.Config) { s.LoadFields = s.LoadFields[:1] }},
		{settingsCase{"no load values", `["cpu_share","pending"]`, `[]`}, func(s *decision.Settings, _ *config.Config) { s.LoadFields = nil }},
		{settingsCase{"plans as an object", `"plans":[{"name":"free","refill":1.5,"store-size":4.0},{"name":"team","parallel":2,"refill":null}]`,
			`"plans":{"count":2,"0":{"name":"free","refill":1.5,"store-size":4.0},"1":{"name":"team","parallel":2}}`}, nil},
		{settingsCase{"plan that is not an object", `{"name":"team","parallel":2,"refill":null}`, `7`}, func(s *decision.Settings, _ *config.Config) { s.Plans[1].MaxInFlight = 0 }},
		{settingsCase{"class without idempotency", `"semantics":"dedup",`, ``}, func(s *decision.Settings, _ *config.Config) { s.Classes[1].Idempotency = decision.NotIdempotent }},
		{settingsCase{"class without a value", `,"value":2.0`, ``}, func(s *decision.Settings, _ *config.Config) { s.Classes[0].PriorityWeight = 1 }},
		{settingsCase{"scope", `"key-ttl-ms":3000.0`, `"key-ttl-ms":3000.0,"dedup-scope":"cell"`}, func(s *decision.Settings, _ *config.Config) { s.Classes[1].KeyScope = decision.KeyScopeCell }},
		{settingsCase{"negative time", `"key-ttl-ms":3000.0`, `"key-ttl-ms":-3000.0`}, func(s *decision.Settings, _ *config.Config) { s.Classes[1].KeyTTL = -3 * time.Second }},
		{settingsCase{"time beyond the range of a duration", `"key-ttl-ms":3000.0`, `"key-ttl-ms":1e300`}, func(s *decision.Settings, _ *config.Config) {
			s.Classes[1].KeyTTL = time.Duration(float64(math.MaxInt64/4)/float64(time.Microsecond)) * time.Microsecond
		}},
		{settingsCase{"idle timeout that is not a number", `"conn-idle-ms":4000.0`, `"conn-idle-ms":"long"`}, func(_ *decision.Settings, c *config.Config) { c.Limits.BackendIdleTimeout = 9e9 }},
		{settingsCase{"idle timeout of 0", `"conn-idle-ms":4000.0`, `"conn-idle-ms":0`}, func(_ *decision.Settings, c *config.Config) { c.Limits.BackendIdleTimeout = 9e9 }},
		{settingsCase{"connect timeout out of range", `"connect-timeout-ms":200.0`, `"connect-timeout-ms":1e9`}, func(_ *decision.Settings, c *config.Config) { c.Limits.ConnectTimeout = 250e6 }},
		{settingsCase{"counter without a timeout", `"count-limit-ms":50.0,`, ``}, func(s *decision.Settings, _ *config.Config) { s.CounterTimeout = 0 }},
		{settingsCase{"class name with a comma", `"name":"pay"`, `"name":"pay, later"`}, func(_ *decision.Settings, c *config.Config) { c.ClassNames[2] = "pay__later" }},
		{settingsCase{"class without a name", `"name":"pay"`, `"name":null`}, func(_ *decision.Settings, c *config.Config) { c.ClassNames[2] = "-" }},
		{settingsCase{"zones as text", `["hall a","hall b"]`, `"hall a"`}, func(_ *decision.Settings, c *config.Config) { c.Zones = []string{"hall_a"} }},
		{settingsCase{"no zones", `"localities":["hall a","hall b"],`, ``}, func(_ *decision.Settings, c *config.Config) { c.Zones = []string{""} }},
	} {
		want := newNode(t).Config
		if c.want != nil {
			c.want(&want.Settings, want)
		}
		n, err := c.parse(t)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		} else if !reflect.DeepEqual(n.Config, want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", c.name, n.Config, want)
		}
	}
}

// TestRefusedSettings checks the error for invalid settings, which is all that an operator has if an instance does not
// start. It must name the setting's path, the value and the expected form. If several settings are invalid, it names the
// one that is decoded first.
func TestRefusedSettings(t *testing.T) {
	for _, c := range []struct {
		settingsCase
		want string
	}{
		{settingsCase{"text for a whole number", `"max-attempts":3`, `"max-attempts":"x"`}, `settings: limits.max-attempts: "x": expected a whole number, 0 or more`},
		{settingsCase{"fraction for a whole number", `"max-attempts":3`, `"max-attempts":3.0`}, `settings: limits.max-attempts: "3.0": expected a whole number, 0 or more`},
		{settingsCase{"negative whole number", `"me":2`, `"me":-1`}, `settings: me: "-1": expected a whole number, 0 or more`},
		{settingsCase{"two whole numbers", `"me":2`, `"me":[2,3]`}, `settings: me: "2,3": expected a whole number, 0 or more`},
		{settingsCase{"boolean for a whole number", `"me":2`, `"me":true`}, `settings: me: "true": expected a whole number, 0 or more`},
		{settingsCase{"text for a number", `"units-top":6`, `"units-top":"six units"`}, `settings: specifics.units-top: "six_units": expected a number`},
		{settingsCase{"infinite number", `"units-top":6`, `"units-top":"Inf"`}, `settings: specifics.units-top: "Inf": expected a number`},
		{settingsCase{"number out of range", `"units-top":6`, `"units-top":1e999`}, `settings: specifics.units-top: "1e999": expected a number`},
		{settingsCase{"text for a time", `"count-limit-ms":50.0`, `"count-limit-ms":"50ms"`}, `settings: specifics.count-limit-ms: "50ms": expected a number`},
		{settingsCase{"text for a boolean", `"retry-after":true`, `"retry-after":"yes"`}, `settings: limits.retry-after: "yes": expected true or false`},
		{settingsCase{"number for a boolean", `"shared-counter":true`, `"shared-counter":2`}, `settings: specifics.shared-counter: "2": expected true or false`},
		{settingsCase{"unknown idempotency", `"retryable"`, `"often"`}, `settings: services.0.semantics: "often": expected a word of the wire`},
		{settingsCase{"unknown scope", `"key-ttl-ms":3000.0`, `"dedup-scope":"hall"`}, `settings: services.1.dedup-scope: "hall": expected a word of the wire`},
		{settingsCase{"text for a rate", `"refill":1.5`, `"refill":"fast"`}, `settings: plans.0.refill: "fast": expected a number`},
		{settingsCase{"fraction for attempts", `"parallel":2`, `"parallel":2.5`}, `settings: plans.1.parallel: "2.5": expected a whole number, 0 or more`},
		{settingsCase{"count that is not a number", `"plans":[`, `"plans":{"count":"many"},"x":[`}, `settings: plans.count: "many": expected a whole number, 0 or more`},
		{settingsCase{"two errors", `"me":2`, `"rules":{"cold-from":"x"},"me":"y"`}, `settings: me: "y": expected a whole number, 0 or more`},
		{settingsCase{"no class", `"services":[`, `"services":[],"x":[`}, `settings: no class or no plan`},
		{settingsCase{"no plan", `"plans":[`, `"plans":null,"x":[`}, `settings: no class or no plan`},
		{settingsCase{"two classes with the same name", `"name":"book"`, `"name":"pay"`}, `settings: two classes or two plans with the same name`},
		{settingsCase{"two plans with the same name", `"name":"team"`, `"name":"free"`}, `settings: two classes or two plans with the same name`},
		{settingsCase{"settings that are a list", `"settings":{`, `"settings":[],"x":{`}, `settings: expected an object`},
		{settingsCase{"no settings", `"settings":{`, `"x":{`}, `settings: EOF`},
	} {
		if _, err := c.parse(t); err == nil || !strings.HasPrefix(err.Error(), "configuration: ") || !strings.HasSuffix(err.Error(), c.want) {
			t.Errorf("%s: %v, want configuration: ... %s", c.name, err, c.want)
		}
	}
}

// TestErrorsAreTyped checks that callers can distinguish the errors of a configuration or an endpoint list without parsing
// their texts.
func TestErrorsAreTyped(t *testing.T) {
	var field *diagnostic.FieldError
	if _, err := (settingsCase{"", `"max-attempts":3`, `"max-attempts":"x"`}).parse(t); !errors.As(err, &field) || field.Field != "limits.max-attempts" || field.Value != "x" {
		t.Errorf("a setting that is not a number: %v", err)
	}
	var endpoint *EndpointError
	if _, err := (settingsCase{"", `"leaving"`, `"away"`}).parse(t); !errors.As(err, &endpoint) || endpoint.Host != "s-1" || !errors.As(err, &field) || field.Field != "health" {
		t.Errorf("an endpoint with an unknown state: %v", err)
	}
	for want, c := range map[error]settingsCase{
		ErrNoClassOrPlan:      {"", `"plans":[`, `"x":[`},
		ErrDuplicateName:      {"", `"name":"book"`, `"name":"pay"`},
		ErrNegativeLimit:      {"", `"memory_mb":64`, `"memory_mb":-1`},
		ErrSettingsNotObject:  {"", `"settings":{`, `"settings":[],"x":{`},
		diagnostic.ErrMissing: {"", `"seq":41`, `"sea":41`},
	} {
		if _, err := c.parse(t); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", c.replacement, err, want)
		}
	}
}
