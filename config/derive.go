package config

import (
	"fmt"
	"slices"
	"time"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
	"sandyard/internal/strictyaml"
	"sandyard/routes"
)

// The values of package decision, by their names in gateway.yaml.
var (
	loadFields = map[string]decision.LoadField{
		"in-flight":   decision.FieldInFlight,
		"queue":       decision.FieldQueue,
		"utilization": decision.FieldUtil,
		"latency":     decision.FieldLatency,
		"served":      decision.FieldServed,
		"errors":      decision.FieldErrors,
		"other":       decision.FieldOther,
	}
	idempotencies = map[string]decision.Idempotency{
		"safe":   decision.Idempotent,
		"keyed":  decision.IdempotentByKey,
		"unsafe": decision.NotIdempotent,
	}
	keyScopes = map[string]decision.KeyScope{
		"":     decision.KeyScopeAll,
		"all":  decision.KeyScopeAll,
		"zone": decision.KeyScopeZone,
		"cell": decision.KeyScopeCell,
	}
)

// deriveSettings derives the settings of package decision. A class of gateway.yaml becomes one decision.Class for each
// idempotency that its operations have.
func (c *Config) deriveSettings(d *strictyaml.Document) {
	c.Settings = c.decisionSettings()
	for _, f := range c.Load.Fields {
		c.Settings.LoadFields = append(c.Settings.LoadFields, loadFields[f.Metric])
		c.LoadReportNames = append(c.LoadReportNames, f.Name)
	}
	for i := range c.Plans {
		c.Settings.Plans = append(c.Settings.Plans, c.Plans[i].decision())
	}
	c.deriveClasses(d, c.validateClasses(d))
}

// decisionSettings returns the settings without load fields, plans and classes.
func (c *Config) decisionSettings() decision.Settings {
	return decision.Settings{
		Self:             c.Instance.Number,
		Instances:        c.Instance.Total,
		Zone:             max(0, slices.Index(c.Zones, c.Instance.Zone)),
		LoadInAnswers:    c.Load.Via == "answers",
		LoadByProbe:      c.Load.Via == "probes",
		Probes:           c.Probes.Allowed,
		ProbeCost:        c.Probes.Cost,
		Cancel:           c.Attempts.Cancel,
		Hedging:          c.Attempts.Hedging,
		RetryAfter:       c.RetryAfter.Enabled,
		MaxRetryAfter:    time.Duration(c.RetryAfter.Max),
		MaxAttempts:      c.Attempts.Max,
		Subscribe:        c.Backends.Subscribe,
		PollInterval:     time.Duration(c.Backends.PollInterval),
		DrainGrace:       time.Duration(c.Backends.DrainGrace),
		SlowStartShare:   c.Backends.SlowStart.Share,
		SlowStartTime:    time.Duration(c.Backends.SlowStart.Time),
		OverloadFactor:   c.Backends.Overload.Factor,
		OverloadTime:     time.Duration(c.Backends.Overload.Time),
		Counter:          c.Counter.Address != "",
		CounterTimeout:   time.Duration(c.Counter.Timeout),
		CounterCost:      c.Counter.Cost,
		MaxUnits:         c.Units.Max,
		UnitsSettleLater: c.Units.SettleLater,
	}
}

func (p *Plan) decision() decision.Plan {
	return decision.Plan{
		Rate:           float64(p.Rate),
		Burst:          p.Burst,
		MaxInFlight:    p.MaxInFlight,
		WeightFactor:   p.WeightFactor,
		OverQuotaValue: p.OverQuotaValue,
		OverQuotaCost:  p.OverQuotaCost,
		CeilingRate:    float64(p.Ceiling.Rate),
		CeilingBurst:   p.Ceiling.Burst,
		CeilingSlack:   p.Ceiling.Slack,
	}
}

func (k *Class) decision() decision.Class {
	return decision.Class{
		Idempotency:      idempotencies[k.Idempotency],
		KeyScope:         keyScopes[k.KeyScope],
		KeyTTL:           time.Duration(k.KeyTTL),
		LatencyObjective: time.Duration(k.LatencyObjective),
		Deadline:         time.Duration(k.Deadline),
		PriorityWeight:   k.PriorityWeight,
		LateShare:        k.LateShare,
		Stream:           k.Stream,
	}
}

// validateClasses validates the classes and returns their indexes by name.
func (c *Config) validateClasses(d *strictyaml.Document) map[string]int {
	indexes := map[string]int{}
	for i := range c.Classes {
		k, at := &c.Classes[i], fmt.Sprintf("classes[%d]", i)
		if k.Name == "" {
			d.Reportf(at+".name", "missing")
		} else if _, duplicate := indexes[k.Name]; duplicate {
			d.Reportf(at+".name", "%q occurs twice", k.Name)
		}
		indexes[k.Name] = i
		k.validate(d, at, time.Duration(c.Limits.ResponseMargin))
	}
	if len(c.Classes) == 0 {
		d.Reportf("classes", "missing: at least one class")
	}
	return indexes
}

// validate reports settings of a class that are out of range or contradict each other.
func (k *Class) validate(d *strictyaml.Document, at string, responseMargin time.Duration) {
	if _, ok := idempotencies[k.Idempotency]; !ok {
		d.Reportf(at+".repeat", "%q: expected safe, keyed or unsafe", k.Idempotency)
	}
	if _, ok := keyScopes[k.KeyScope]; !ok {
		d.Reportf(at+".scope", "%q: expected all, zone or cell", k.KeyScope)
	}
	if k.Idempotency == "keyed" && k.KeyTTL == 0 {
		d.Reportf(at+".key-ttl", "missing: how long boxes remember the keys of a keyed class")
	}
	if k.LatencyObjective == 0 {
		d.Reportf(at+".aim", "expected a time above 0")
	}
	if k.Deadline < k.LatencyObjective || k.Deadline == 0 {
		d.Reportf(at+".deadline", "expected the aim or more")
	}
	if time.Duration(k.Deadline) <= responseMargin {
		d.Reportf(at+".deadline", "no more than limits.answer-margin: no time would be left")
	}
	reportBelow(d, at+".worth", k.PriorityWeight, 0)
	if k.LateShare < 0 || k.LateShare > 1 {
		d.Reportf(at+".late-share", "%g: expected a share from 0 to 1", k.LateShare)
	}
}

// classVariant identifies a decision.Class: a class of gateway.yaml and the idempotency that an operation declares.
type classVariant struct {
	index  int
	repeat routes.Repeat
}

// deriveClasses assigns each operation its decision.Class. It reports operations that name an unknown class, and those that
// may cost more units than UnitSettings.Max.
func (c *Config) deriveClasses(d *strictyaml.Document, indexes map[string]int) {
	ids := map[classVariant]decision.ClassID{}
	for _, op := range c.Routes.Operations {
		i, ok := indexes[op.Class]
		if !ok {
			c.reportOperation(d, op, fmt.Sprintf("class %q is not among classes of %s", op.Class, c.Path))
			c.ClassByOperation = append(c.ClassByOperation, 0)
			continue
		}
		if units := max(op.Units.Fixed, op.Units.Max); units > max(1, c.Units.Max) {
			c.reportOperation(d, op, fmt.Sprintf("up to %g units, more than units.most of %s (%g)", units, c.Path, c.Units.Max))
		}
		variant := classVariant{i, op.Repeat}
		id, ok := ids[variant]
		if !ok {
			id = c.addClass(variant)
			ids[variant] = id
		}
		c.ClassByOperation = append(c.ClassByOperation, id)
	}
}

// addClass adds a decision.Class to the settings and returns its ID.
func (c *Config) addClass(variant classVariant) decision.ClassID {
	k := &c.Classes[variant.index]
	class := k.decision()
	if variant.repeat.Given {
		class.Idempotency, class.KeyScope, class.KeyTTL = variant.repeat.Idempotency, variant.repeat.KeyScope, variant.repeat.KeyTTL
	}
	id := decision.ClassID(len(c.Settings.Classes))
	c.Settings.Classes = append(c.Settings.Classes, class)
	c.ClassNames = append(c.ClassNames, k.Name)
	return id
}

func (c *Config) reportOperation(d *strictyaml.Document, op *routes.Operation, message string) {
	d.Problems = append(d.Problems, diagnostic.Problem{File: c.resolvePath(c.OpenAPI), Line: op.Line, Column: 1, Field: op.ID, Message: message})
}
