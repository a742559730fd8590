package simwire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"sandyard/decision"
)

// initBatch returns a batch that starts one instance with the settings.
func initBatch(settings ...string) string {
	return "clock\t1\ninit\tdoor-0\t51\t" + strings.Join(settings, "\t") + "\nend\n"
}

// TestAcceptedSettings: the simulator adds keys over time and writes an absent value as "-". An unknown key is ignored,
// an absent key has its default, and the last value of a repeated key is used.
func TestAcceptedSettings(t *testing.T) {
	absent := decision.Settings{Instances: 1, MaxAttempts: 1, SlowStartShare: 1, MaxUnits: 1}
	for _, c := range []struct {
		name     string
		settings []string
		want     func(s *decision.Settings)
	}{
		{"unknown keys", []string{"new.key=x", "services.7.aim-ms=often", "limits.conn-idle-ms=long", "az="}, nil},
		{"absent values", []string{"me=-", "limits.max-attempts=-", "rules.cold-from=-", "feedback.names=-"}, nil},
		{"repeated key", []string{"me=x", "me=3"}, func(s *decision.Settings) { s.Self = 3 }},
		{"value with an equals sign", []string{"plans.0.name=a=b"}, nil},
		{"whole numbers", []string{"me=1", "peers-total=4", "az=2", "limits.max-attempts=0"}, func(s *decision.Settings) {
			s.Self, s.Instances, s.Zone, s.MaxAttempts = 1, 4, 2, 0
		}},
		{"booleans", []string{"limits.probes=1", "limits.cancel=true", "limits.retry-after=0", "specifics.settles=false"}, func(s *decision.Settings) {
			s.Probes, s.Cancel = true, true
		}},
		{"times to the microsecond", []string{"rules.cold-ms=0.0006", "rules.fall-ms=2000.0", "rules.drain-grace-ms=1e3", "rules.ask-every-ms=-5"}, func(s *decision.Settings) {
			s.SlowStartTime, s.OverloadTime, s.DrainGrace, s.PollInterval = time.Microsecond, 2*time.Second, time.Second, -5*time.Millisecond
		}},
		{"load fields", []string{"feedback.names=svc_ms,,served_ps,odd", "feedback.via=pull"}, func(s *decision.Settings) {
			s.LoadFields, s.LoadByProbe = []decision.LoadField{decision.FieldLatency, decision.FieldServed, decision.FieldOther}, true
		}},
		{"classes and plans with defaults", []string{"services.count=1", "plans.count=1"}, func(s *decision.Settings) {
			s.Classes = []decision.Class{{Idempotency: decision.NotIdempotent, KeyScope: decision.KeyScopeAll, PriorityWeight: 1}}
			s.Plans = []decision.Plan{{WeightFactor: 1}}
		}},
	} {
		want := absent
		if c.want != nil {
			c.want(&want)
		}
		if got := read(t, initBatch(c.settings...))[0].Messages[0].Settings; !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", c.name, got, want)
		}
	}
}

// TestRefusedSettings: the error for an invalid setting contains the line, the message, the setting, its value and the
// expected form. If several settings are invalid, the error is about the one that is read first.
func TestRefusedSettings(t *testing.T) {
	for _, c := range []struct{ settings, want string }{
		{"bare", `line 2: init: options: "bare": expected path=value`},
		{"me=x\tbare", `line 2: init: options: "bare": expected path=value`},
		{"me=-1", `line 2: init: me: "-1": expected a whole number, 0 or more`},
		{"az=x\tme=y", `line 2: init: me: "y": expected a whole number, 0 or more`},
		{"prices.probe=NaN", `line 2: init: prices.probe: "NaN": expected a number`},
		{"rules.cold-ms=soon", `line 2: init: rules.cold-ms: "soon": expected a number`},
		{"limits.cancel=yes", `line 2: init: limits.cancel: "yes": expected true or false`},
		{"services.count=1\tservices.0.semantics=often", `line 2: init: services.0.semantics: "often": expected a word of the wire`},
		{"services.count=1.0", `line 2: init: services.count: "1.0": expected a whole number, 0 or more`},
		{"plans.count=2\tplans.1.hard-slack=x", `line 2: init: plans.1.hard-slack: "x": expected a number`},
	} {
		if _, err := NewReader(strings.NewReader(initBatch(c.settings))).Next(); err == nil || err.Error() != c.want {
			t.Errorf("%q: %v, want %s", c.settings, err, c.want)
		}
	}
}
