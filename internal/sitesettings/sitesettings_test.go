package sitesettings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
)

// decode decodes path=value pairs, separated by white space.
func decode(text string) (*Settings, error) {
	pairs := map[string]string{}
	for _, line := range strings.Fields(text) {
		path, value, _ := strings.Cut(line, "=")
		pairs[path] = value
	}
	return Decode(func(path string) string { return pairs[path] })
}

// allSettings has a value other than the default for each setting.
const allSettings = `me=1 peers-total=3 az=2 feedback.via=pull feedback.names=svc_ms,odd limits.probes=true prices.probe=0.5 limits.cancel=true
limits.may-duplicate=true limits.max-attempts=4 limits.retry-after=true limits.max-retry-after-ms=2000 discovery=subscribe rules.ask-every-ms=10000
rules.drain-grace-ms=1500 rules.cold-from=0.25 rules.cold-ms=18000 rules.overload-factor=4 rules.fall-ms=2500 specifics.shared-counter=true
specifics.count-limit-ms=80 specifics.count-fee=0.02 specifics.units-top=6 specifics.settles=true localities=a,b,c limits.connect-timeout-ms=200
limits.conn-idle-ms=4000 services.count=1 services.0.name=book services.0.semantics=dedup services.0.dedup-scope=zone services.0.key-ttl-ms=5000
services.0.aim-ms=600 services.0.deadline-ms=2500 services.0.value=2 services.0.late-share=0.2 services.0.stream=true plans.count=1 plans.0.name=team
plans.0.refill=1.5 plans.0.store-size=5 plans.0.parallel=7 plans.0.worth-factor=1.2 plans.0.over-worth=0.1 plans.0.over-cost=0.3
plans.0.never-over-rate=40 plans.0.ceiling-burst=79 plans.0.hard-slack=8`

// TestEverySettingIsMapped checks that each setting is decoded into its field and passed to the decisions. A setting in the
// wrong field would silently change how an instance behaves. Load reports come with probes here, so that LoadInAnswers is
// the only zero field.
func TestEverySettingIsMapped(t *testing.T) {
	s, err := decode(allSettings)
	if err != nil {
		t.Fatal(err)
	}
	want := Settings{
		Instance:    Instance{Number: 1, Total: 3, Zone: 2},
		LoadReports: LoadReports{ByProbe: true, Names: []string{"svc_ms", "odd"}},
		Probes:      Probes{Allowed: true, Cost: 0.5},
		Attempts:    Attempts{Max: 4, Cancel: true, Hedging: true},
		RetryAfter:  RetryAfter{Enabled: true, Max: 2 * time.Second},
		Discovery:   Discovery{Subscribe: true, PollInterval: 10 * time.Second, DrainGrace: 1500 * time.Millisecond},
		SlowStart:   SlowStart{Share: 0.25, Time: 18 * time.Second},
		Overload:    Overload{Factor: 4, Time: 2500 * time.Millisecond},
		Counter:     Counter{Enabled: true, Timeout: 80 * time.Millisecond, Cost: 0.02},
		Units:       Units{Max: 6, SettleLater: true},
		Classes: []Class{{Name: "book", Idempotency: decision.IdempotentByKey, KeyScope: decision.KeyScopeZone, KeyTTL: 5 * time.Second,
			LatencyObjective: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 2, LateShare: 0.2, Stream: true}},
		Plans: []Plan{{Name: "team", Rate: 1.5, Burst: 5, MaxInFlight: 7, WeightFactor: 1.2, OverQuotaValue: 0.1, OverQuotaCost: 0.3,
			CeilingRate: 40, CeilingBurst: 79, CeilingSlack: 8}},
		ZoneNames:      []string{"a", "b", "c"},
		ConnectTimeout: 200 * time.Millisecond,
		IdleTimeout:    4 * time.Second,
	}
	if !reflect.DeepEqual(*s, want) {
		t.Errorf("got  %+v\nwant %+v", *s, want)
	}
	d := reflect.ValueOf(s.Decision())
	for i := range d.NumField() {
		if name := d.Type().Field(i).Name; d.Field(i).IsZero() && name != "LoadInAnswers" {
			t.Errorf("the decision settings have no %s", name)
		}
	}
}

// TestFirstErrorIsReported checks that, of several invalid settings, the one that is decoded first is reported, whatever the
// order of the input, so that repeated starts from one file give the same message.
func TestFirstErrorIsReported(t *testing.T) {
	_, err := decode("plans.count=x me=y limits.cancel=z")
	var field *diagnostic.FieldError
	if !errors.As(err, &field) || *field != (diagnostic.FieldError{Field: "me", Value: "y", Want: "a whole number, 0 or more"}) {
		t.Errorf("%v", err)
	}
}
