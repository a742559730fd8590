package sitesettings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
)

// absentText is the text of an absent value.
const absentText = "-"

const (
	defaultConnectTimeout = 250 * time.Millisecond // same as the default of limits.connect-timeout in gateway.yaml
	defaultIdleTimeout    = 15 * time.Second       // same as the default of limits.box-idle-timeout in gateway.yaml
	maxConnectionMillis   = 1e9                    // milliseconds; a connect or idle timeout that is not shorter is invalid
)

// The operators' names for values, and their meanings.
var (
	loadFields = map[string]decision.LoadField{
		"busy_reqs": decision.FieldInFlight,
		"pending":   decision.FieldQueue,
		"cpu_share": decision.FieldUtil,
		"svc_ms":    decision.FieldLatency,
		"served_ps": decision.FieldServed,
		"failed_ps": decision.FieldErrors,
	}
	idempotencies = map[string]decision.Idempotency{
		"retryable": decision.Idempotent,
		"dedup":     decision.IdempotentByKey,
		"fragile":   decision.NotIdempotent,
	}
	keyScopes = map[string]decision.KeyScope{
		"all":  decision.KeyScopeAll,
		"zone": decision.KeyScopeZone,
		"cell": decision.KeyScopeCell,
	}
)

// Lookup returns the text of the setting at a path such as "plans.0.refill". The values of a scalar list are joined by
// commas. A list of objects has its length at the path with ".count" and its items at ".0", ".1" and so on. The text of an
// absent setting is "" or "-".
type Lookup func(path string) string

// Decode decodes the settings of a lookup. Unknown settings are ignored. The error is a *diagnostic.FieldError that names
// the first setting with an invalid value, in the order in which Decode reads them. An invalid connect or idle timeout is
// replaced by its default, and unknown names for load reports are not errors.
func Decode(lookup Lookup) (*Settings, error) {
	d := &decoder{lookup: lookup}
	s := &Settings{
		Instance:    Instance{Number: d.integer("me", 0), Total: d.integer("peers-total", 1), Zone: d.integer("az", 0)},
		LoadReports: d.loadReports(),
		Probes:      Probes{Allowed: d.boolean("limits.probes"), Cost: d.number("prices.probe", 0)},
		Attempts:    Attempts{Cancel: d.boolean("limits.cancel"), Hedging: d.boolean("limits.may-duplicate")},
		RetryAfter:  RetryAfter{Enabled: d.boolean("limits.retry-after"), Max: d.millis("limits.max-retry-after-ms")},
	}
	s.Attempts.Max = d.integer("limits.max-attempts", 1)
	s.Discovery = Discovery{
		Subscribe:    d.text("discovery") == "subscribe",
		PollInterval: d.millis("rules.ask-every-ms"),
		DrainGrace:   d.millis("rules.drain-grace-ms"),
	}
	s.SlowStart = SlowStart{Share: d.number("rules.cold-from", 1), Time: d.millis("rules.cold-ms")}
	s.Overload = Overload{Factor: d.number("rules.overload-factor", 0), Time: d.millis("rules.fall-ms")}
	s.Counter = Counter{
		Enabled: d.boolean("specifics.shared-counter"),
		Timeout: d.millis("specifics.count-limit-ms"),
		Cost:    d.number("specifics.count-fee", 0),
	}
	s.Units = Units{Max: d.number("specifics.units-top", 1), SettleLater: d.boolean("specifics.settles")}
	for i := range d.integer("services.count", 0) {
		s.Classes = append(s.Classes, d.class("services."+strconv.Itoa(i)+"."))
	}
	for i := range d.integer("plans.count", 0) {
		s.Plans = append(s.Plans, d.plan("plans."+strconv.Itoa(i)+"."))
	}
	s.ZoneNames = strings.Split(lookup("localities"), ",")
	s.ConnectTimeout = d.connectionTime("limits.connect-timeout-ms", defaultConnectTimeout)
	s.IdleTimeout = d.connectionTime("limits.conn-idle-ms", defaultIdleTimeout)
	if d.err != nil {
		return nil, d.err
	}
	return s, nil
}

// decoder decodes settings one by one and keeps the first error.
type decoder struct {
	lookup Lookup
	err    error
}

func (d *decoder) fail(path, value, want string) {
	if d.err == nil {
		d.err = &diagnostic.FieldError{Field: path, Value: value, Want: want}
	}
}

func (d *decoder) loadReports() LoadReports {
	via := d.text("feedback.via")
	return LoadReports{InResponses: via == "piggyback", ByProbe: via == "pull", Names: strings.Split(d.lookup("feedback.names"), ",")}
}

func (d *decoder) class(prefix string) Class {
	return Class{
		Name:             d.lookup(prefix + "name"),
		Idempotency:      oneOf(d, prefix+"semantics", idempotencies, decision.NotIdempotent),
		KeyScope:         oneOf(d, prefix+"dedup-scope", keyScopes, decision.KeyScopeAll),
		KeyTTL:           d.millis(prefix + "key-ttl-ms"),
		LatencyObjective: d.millis(prefix + "aim-ms"),
		Deadline:         d.millis(prefix + "deadline-ms"),
		PriorityWeight:   d.number(prefix+"value", 1),
		LateShare:        d.number(prefix+"late-share", 0),
		Stream:           d.boolean(prefix + "stream"),
	}
}

func (d *decoder) plan(prefix string) Plan {
	return Plan{
		Name:           d.lookup(prefix + "name"),
		Rate:           d.number(prefix+"refill", 0),
		Burst:          d.number(prefix+"store-size", 0),
		MaxInFlight:    d.integer(prefix+"parallel", 0),
		WeightFactor:   d.number(prefix+"worth-factor", 1),
		OverQuotaValue: d.number(prefix+"over-worth", 0),
		OverQuotaCost:  d.number(prefix+"over-cost", 0),
		CeilingRate:    d.number(prefix+"never-over-rate", 0),
		CeilingBurst:   d.number(prefix+"ceiling-burst", 0),
		CeilingSlack:   d.number(prefix+"hard-slack", 0),
	}
}

// text returns the text of a setting, or "" if it is absent.
func (d *decoder) text(path string) string {
	if text := d.lookup(path); text != absentText {
		return text
	}
	return ""
}

// number decodes a finite number.
func (d *decoder) number(path string, defaultValue float64) float64 {
	text := d.text(path)
	if text == "" {
		return defaultValue
	}
	x, ok := ParseNumber(text)
	if !ok {
		d.fail(path, text, "a number")
	}
	return x
}

func (d *decoder) integer(path string, defaultValue int) int {
	text := d.text(path)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		d.fail(path, text, "a whole number, 0 or more")
		return 0
	}
	return n
}

// boolean decodes true, 1, false or 0; the default is false.
func (d *decoder) boolean(path string) bool {
	switch text := d.text(path); text {
	case "true", "1":
		return true
	case "false", "0", "":
	default:
		d.fail(path, text, "true or false")
	}
	return false
}

func (d *decoder) millis(path string) time.Duration { return Millis(d.number(path, 0)) }

// connectionTime decodes a connect or idle timeout. It returns the default for an invalid value: an instance must start even
// if the setting can't be parsed.
func (d *decoder) connectionTime(path string, defaultValue time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(d.lookup(path), 64)
	if err != nil || !(ms > 0) || ms >= maxConnectionMillis {
		return defaultValue
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func oneOf[T any](d *decoder, path string, known map[string]T, defaultValue T) T {
	text := d.text(path)
	if text == "" {
		return defaultValue
	}
	value, ok := known[text]
	if !ok {
		d.fail(path, text, "a word of the wire")
	}
	return value
}

// ParseNumber parses a finite number. It reports false for any other text.
func ParseNumber(text string) (float64, bool) {
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
}

// Millis converts milliseconds to a duration, rounded to the microsecond and limited to the range of a duration.
func Millis(ms float64) time.Duration {
	const limit = float64(math.MaxInt64/4) / float64(time.Microsecond) // leaves room for sums of durations
	return time.Duration(math.Round(max(-limit, min(limit, ms*1000)))) * time.Microsecond
}
