package decision

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// This file holds the configuration of a gateway. Struct tags keep the names under which recorded traces hold the
// fields; neither they nor the order of the fields may change.

// BackendID names a backend; it survives a restart of the backend's process.
type BackendID uint32

// RequestID names one request of a client; it is never reused during a gateway's life.
type RequestID uint64

// ClassID is a position in Settings.Classes.
type ClassID int

// PlanID is a position in Settings.Plans. One that is not there stands for a plan without limits.
type PlanID int

// Idempotency says what a second run of a request would do. The zero value is Idempotent.
type Idempotency int

// What a second run of a request does.
const (
	Idempotent      Idempotency = iota // nothing new: it may run any number of times
	IdempotentByKey                    // nothing: backends within KeyScope discard it for KeyTTL
	NotIdempotent                      // harm: it must never run twice
)

// KeyScope is the group of backends that know an idempotency key once one of them has seen it.
type KeyScope int

// The scopes of an idempotency key.
const (
	KeyScopeAll  KeyScope = iota // every backend
	KeyScopeZone                 // the backends of one zone
	KeyScopeCell                 // the backends of one cell
)

// Class describes one kind of request.
type Class struct {
	Idempotency      Idempotency   `json:"Repeat"`
	KeyScope         KeyScope      `json:"Scope"` // of idempotency keys; only for IdempotentByKey
	KeyTTL           time.Duration // how long backends remember an idempotency key
	LatencyObjective time.Duration `json:"Aim"` // an answer within this has the full value; 0: every attempt counts as late
	Deadline         time.Duration // how long clients wait in all; informative, since each request states its time left
	PriorityWeight   float64       `json:"Worth"` // value of an answer in time, in any unit that all classes share; times the plan's WeightFactor it is the priority
	LateShare        float64       // share of that value that an answer after the objective still has, 0 to 1; 0: no retry begins after it
	Stream           bool          // answers are streams, which no attempt timeout and no deadline may cut
}

// Plan holds what each customer of it is entitled to, over all gateways together. Zero means no such limit. MaxInFlight
// beside Rate or CeilingRate is an exception: the counter then holds units and not attempts in flight, so each instance
// that asks the counter allows the full number.
type Plan struct {
	Rate           float64 // units per second
	Burst          float64 // units
	MaxInFlight    int     `json:"Open"`      // attempts in flight at once
	WeightFactor   float64 `json:"Price"`     // factor on the PriorityWeight of its requests
	OverQuotaValue float64 `json:"OverWorth"` // value of an answer beyond the quota, as a share of its value within
	OverQuotaCost  float64 `json:"OverCost"`  // cost of such an answer, in the same shares; with value at or below cost such requests are rejected
	CeilingRate    float64 // hard limit beside the quota: units per second
	CeilingBurst   float64 // units
	CeilingSlack   float64 // units by which the ceiling may be passed
}

// LoadField is a figure that a load report may carry.
type LoadField int

// The load fields. Only FieldInFlight and FieldUtil are used; FieldOther stands for figures that are not known.
const (
	FieldOther    LoadField = iota
	FieldInFlight           // requests in work at the backend
	FieldQueue              // requests
	FieldUtil               // use of processors, 1 is all
	FieldLatency            // milliseconds
	FieldServed             // requests per second
	FieldErrors             // errors per second
)

// Settings is the configuration of a gateway, which does not change. The zero value of a field means that the feature is absent or
// the limit does not exist, where nothing else is said at the field. Fields marked as informative
// are in traces, and some are read by the proxy, but no rule of this package reads them.
type Settings struct {
	Self             int     // this instance's number, from 0; informative
	Instances        int     `json:"Gateways"` // proxy instances before the same backends; less than 1 is taken as 1
	Zone             int     // where this instance stands; backends of it are preferred a little
	Classes          []Class // at least one
	Plans            []Plan
	LoadFields       []LoadField   // what the values of a load report stand for, in order
	LoadInAnswers    bool          // load reports come with answers; informative, since any that comes is read
	LoadByProbe      bool          // load reports come with probes only
	Probes           bool          // probing is allowed
	ProbeCost        float64       `json:"ProbePrice"` // of one probe, in requests
	Cancel           bool          // attempts may be cancelled
	Hedging          bool          `json:"SecondCopies"` // a request may have two attempts in flight; informative, none is hedged
	RetryAfter       bool          // rejections say how long the client should stay away
	MaxRetryAfter    time.Duration // longest time that clients heed; 0: no hint is given, as with RetryAfter unset
	MaxAttempts      int           // per request, the first included; less than 1 is taken as 1
	Subscribe        bool          // endpoints are watched, and the watch has to be asked for
	PollInterval     time.Duration `json:"AskWithin"` // longest time between polls of the endpoint list; informative
	DrainGrace       time.Duration // how long a draining backend finishes what it has; informative
	SlowStartShare   float64       `json:"ColdShare"` // least share of its capacity that a started backend has; outside (0, 1] it is taken as 1: none warms up
	SlowStartTime    time.Duration `json:"ColdTime"`  // from start to full capacity
	OverloadFactor   float64       // multiple of its present capacity at which a warming backend fails; 0: nothing is held back
	OverloadTime     time.Duration // window over which that multiple is measured; 0: nothing is held back
	Counter          bool          // the shared counter may be called
	CounterTimeout   time.Duration // of a call; answers slower than half of it count as slow; 0: all that take any time do
	CounterCost      float64       `json:"CounterPrice"` // of a call, in requests; informative
	MaxUnits         float64       `json:"MostUnits"`    // most units that one request counts; less than 1 is taken as 1
	UnitsSettleLater bool          // units are an estimate until the first good answer; informative
}

// ErrBadSettings is the cause of every error about settings that no deployment can mean.
var ErrBadSettings = errors.New("decision: bad settings")

// SettingsError says what is wrong with the settings, and where. errors.Is with ErrBadSettings holds for it.
type SettingsError struct {
	Place string // "classes", or "class" or "plan" and its position
	Cause string
}

// Error names the place and the cause.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrBadSettings, e.Place, e.Cause)
}

// Unwrap gives ErrBadSettings.
func (e *SettingsError) Unwrap() error { return ErrBadSettings }

// validate returns a *SettingsError for settings that no deployment can mean.
func (s Settings) validate() error {
	if len(s.Classes) == 0 {
		return &SettingsError{Place: "classes", Cause: "there are none"}
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

// withDefaults gives a copy in which absent values have their meaning, and a last plan without limits, which is that of
// requests whose plan was not described.
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

// planIndex is the position of a plan in Plans, once they have their default. A position that is not there gives the
// last plan, which has no limits; a negative one does too, since it wraps around to a large unsigned number.
func (s *Settings) planIndex(plan PlanID) int { return int(min(uint(plan), uint(len(s.Plans)-1))) }

// reportsInFlight tells whether load reports say how many requests a backend has in work.
func (s *Settings) reportsInFlight() bool { return slices.Contains(s.LoadFields, FieldInFlight) }

// anyNegativeOrNotFinite tells whether one of the values is negative, infinite or not a number.
func anyNegativeOrNotFinite(values ...float64) bool {
	return slices.ContainsFunc(values, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
}
