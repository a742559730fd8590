package decision

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// This file defines the configuration of a gateway. Struct tags keep the field names that recorded traces use; neither
// the tags nor the order of the fields may change.

// BackendID identifies a backend. It stays the same when the backend's process restarts.
type BackendID uint32

// RequestID identifies one request of a client. It is never reused during the lifetime of a gateway.
type RequestID uint64

// ClassID is an index into Settings.Classes.
type ClassID int

// PlanID is an index into Settings.Plans. An index out of range means a plan without limits.
type PlanID int

// Idempotency says whether a request may run more than once. The zero value is Idempotent.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times without further effect
	IdempotentByKey                    // carries an idempotency key: backends within KeyScope discard repeats for KeyTTL
	NotIdempotent                      // must never run twice
)

// KeyScope is the group of backends that know an idempotency key once one of them has seen it.
type KeyScope int

// The scopes of an idempotency key.
const (
	KeyScopeAll  KeyScope = iota // every backend
	KeyScopeZone                 // the backends of one zone
	KeyScopeCell                 // the backends of one cell
)

// Class describes a request class.
type Class struct {
	Idempotency      Idempotency   `json:"Repeat"`
	KeyScope         KeyScope      `json:"Scope"` // scope of idempotency keys; only for IdempotentByKey
	KeyTTL           time.Duration // how long backends remember an idempotency key
	LatencyObjective time.Duration `json:"Aim"` // answers within this time have their full value; 0: every attempt counts as late
	Deadline         time.Duration // how long clients wait in total; informative, since each request states its time left
	PriorityWeight   float64       `json:"Worth"` // value of an answer within the objective, in a unit that all classes share; multiplied by the plan's WeightFactor it gives the priority
	LateShare        float64       // share of that value, 0 to 1, that an answer has after the objective; 0: no retry begins after the objective
	Stream           bool          // answers are streams, which neither the attempt timeout nor the deadline may cut off
}

// Plan holds the limits of each of its customers, over all instances together. Zero means that there is no such limit.
// MaxInFlight combined with Rate or CeilingRate is an exception: the counter then holds units instead of attempts in
// flight, so each instance that uses the counter allows the full MaxInFlight.
type Plan struct {
	Rate           float64 // units per second
	Burst          float64 // units
	MaxInFlight    int     `json:"Open"`      // attempts in flight at once
	WeightFactor   float64 `json:"Price"`     // factor on the PriorityWeight of its requests
	OverQuotaValue float64 `json:"OverWorth"` // value of an answer beyond the quota, as a share of its value within the quota
	OverQuotaCost  float64 `json:"OverCost"`  // cost of such an answer, as the same share; requests beyond the quota are rejected if their value is not above the cost
	CeilingRate    float64 // hard limit in addition to the quota: units per second
	CeilingBurst   float64 // units
	CeilingSlack   float64 // units by which the ceiling may be exceeded
}

// LoadField identifies a value in a load report.
type LoadField int

// The load fields. Only FieldInFlight and FieldUtil are used. FieldOther stands for unknown fields.
const (
	FieldOther    LoadField = iota
	FieldInFlight           // requests in progress at the backend
	FieldQueue              // requests
	FieldUtil               // CPU utilization; 1 means all cores
	FieldLatency            // milliseconds
	FieldServed             // requests per second
	FieldErrors             // errors per second
)

// Settings is the configuration of a gateway. It does not change while the gateway runs. Unless a field says otherwise,
// its zero value means that the feature is absent or that there is no such limit. Fields marked as informative are
// recorded in traces, and the proxy reads some of them, but no rule of this package does.
type Settings struct {
	Self             int     // this instance's number, from 0; informative
	Instances        int     `json:"Gateways"` // number of proxy instances in front of the same backends; a value below 1 means 1
	Zone             int     // zone of this instance; backends in the same zone are slightly preferred
	Classes          []Class // at least one
	Plans            []Plan
	LoadFields       []LoadField   // meaning of the values of a load report, in order
	LoadInAnswers    bool          // load reports come with answers; informative, since every report is read
	LoadByProbe      bool          // load reports come with probes only
	Probes           bool          // probing is allowed
	ProbeCost        float64       `json:"ProbePrice"` // cost of one probe, in requests
	Cancel           bool          // attempts may be cancelled
	Hedging          bool          `json:"SecondCopies"` // a request may have two attempts in flight; informative, since requests are never hedged
	RetryAfter       bool          // rejections carry a Retry-After hint
	MaxRetryAfter    time.Duration // longest hint that clients respect; 0: no hint is given, as if RetryAfter were unset
	MaxAttempts      int           // attempts per request, including the first; a value below 1 means 1
	Subscribe        bool          // endpoints are watched, and the watch has to be requested
	PollInterval     time.Duration `json:"AskWithin"` // longest time between polls of the endpoint list; informative
	DrainGrace       time.Duration // time after which a draining or removed backend must get no new requests; informative
	SlowStartShare   float64       `json:"ColdShare"` // share of its capacity that a backend has at least when it has just started; a value outside (0, 1] means 1: no backend warms up
	SlowStartTime    time.Duration `json:"ColdTime"`  // from start to full capacity
	OverloadFactor   float64       // multiple of its current capacity at which a warming backend fails; 0: no attempt is held back
	OverloadTime     time.Duration // window over which that multiple is measured; 0: no attempt is held back
	Counter          bool          // the shared counter may be called
	CounterTimeout   time.Duration // timeout of a call; an answer that takes longer than half of it counts as slow; 0: every answer that takes any time does
	CounterCost      float64       `json:"CounterPrice"` // cost of a call, in requests; informative
	MaxUnits         float64       `json:"MostUnits"`    // maximum units of one request; a value below 1 means 1
	UnitsSettleLater bool          // units are an estimate until the first successful answer; informative
}

// ErrBadSettings is wrapped by every error about invalid settings.
var ErrBadSettings = errors.New("decision: invalid settings")

// SettingsError describes an invalid setting and its place. It wraps ErrBadSettings.
type SettingsError struct {
	Place string // "classes", or "class" or "plan" followed by its index
	Cause string
}

// Error returns a message with the place and the cause.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrBadSettings, e.Place, e.Cause)
}

// Unwrap returns ErrBadSettings.
func (e *SettingsError) Unwrap() error { return ErrBadSettings }

// validate returns a *SettingsError if the settings are invalid.
func (s Settings) validate() error {
	if len(s.Classes) == 0 {
		return &SettingsError{Place: "classes", Cause: "no class is configured"}
	}
	for i, class := range s.Classes {
		if anyNegativeOrNotFinite(class.PriorityWeight, class.LateShare, float64(class.LatencyObjective), float64(class.Deadline), float64(class.KeyTTL)) {
			return &SettingsError{Place: fmt.Sprint("class ", i), Cause: "a number is negative or not finite"}
		}
	}
	for i, plan := range s.Plans {
		if anyNegativeOrNotFinite(plan.Rate, plan.Burst, plan.WeightFactor, plan.CeilingRate, plan.CeilingBurst, plan.CeilingSlack, float64(plan.MaxInFlight)) {
			return &SettingsError{Place: fmt.Sprint("plan ", i), Cause: "a number is negative or not finite"}
		}
	}
	return nil
}

// withDefaults returns a copy in which absent values are replaced by their defaults. It appends a plan without limits,
// which applies to requests of unknown plans.
func (s Settings) withDefaults() Settings {
	if !(s.SlowStartShare > 0) || s.SlowStartShare > 1 {
		s.SlowStartShare = 1
	}
	s.MaxAttempts = max(1, s.MaxAttempts)
	s.Instances = max(1, s.Instances)
	s.MaxUnits = max(1, s.MaxUnits)
	s.Plans = append(slices.Clone(s.Plans), Plan{WeightFactor: 1})
	return s
}

// planIndex returns the index of a plan in Plans after withDefaults. An index out of range gives the last plan, which
// has no limits; so does a negative index, which wraps around to a large unsigned number.
func (s *Settings) planIndex(plan PlanID) int { return int(min(uint(plan), uint(len(s.Plans)-1))) }

// reportsInFlight reports whether load reports contain the number of requests in progress at a backend.
func (s *Settings) reportsInFlight() bool { return slices.Contains(s.LoadFields, FieldInFlight) }

// anyNegativeOrNotFinite reports whether any of the values is negative, infinite or not a number.
func anyNegativeOrNotFinite(values ...float64) bool {
	return slices.ContainsFunc(values, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
}
