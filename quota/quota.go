// Package quota tells how a studio stands with its quota as one front door sees it, from the decision module's state. It
// decides nothing: what would be decided is asked of the module itself, on a copy of its state. It has no I/O.
package quota

import (
	"time"

	"sandyard/decision"
)

// View is a studio as one front door sees it. Times are in seconds before the look; -1 is never.
type View struct {
	Customer           string  `json:"studio"`
	Known              bool    `json:"known"` // the front door has seen it lately
	Rate               float64 `json:"rate"`  // of its plan, units a second; 0: no such limit
	Burst              float64 `json:"burst"`
	CeilingRate        float64 `json:"ceiling_rate"`
	Spread             float64 `json:"spread"` // front doors that share its quota
	UsesCounter        bool    `json:"asks_keeper"`
	SplitTokens        float64 `json:"split_level"`   // units that this front door's split of the quota still holds
	SplitCeilingTokens float64 `json:"split_ceiling"` // and that of the ceiling
	CounterTotal       float64 `json:"total"`         // faded use over all front doors, as the keeper last told
	CounterTotalAge    float64 `json:"heard_ago"`
	RecentDemand       float64 `json:"asked_here"` // units asked for here lately
	PendingUse         float64 `json:"untold"`     // units spent here that the keeper was not told of yet
	InFlight           int     `json:"open"`       // attempts out
	OverQuotaFor       float64 `json:"beyond_for"` // seconds until it is asked about again, if it was beyond its quota
}

// Inspect makes a View of what the module knows.
func Inspect(set decision.Settings, plan decision.PlanID, name string, c decision.CustomerState, known bool, now time.Duration) View {
	v := View{Customer: name, Known: known, CounterTotalAge: -1}
	if plan >= 0 && int(plan) < len(set.Plans) {
		p := set.Plans[plan]
		v.Rate, v.Burst, v.CeilingRate = p.Rate, p.Burst, p.CeilingRate
	}
	if !known {
		return v
	}
	v.Spread, v.UsesCounter, v.SplitTokens, v.SplitCeilingTokens, v.CounterTotal, v.RecentDemand, v.PendingUse, v.InFlight = c.Instances, c.UsesCounter, c.Tokens, c.CeilingTokens, c.CounterTotal, c.RecentDemand, c.PendingUse, c.InFlight
	if c.CounterTotalAt > 0 {
		v.CounterTotalAge = (now - c.CounterTotalAt).Seconds()
	}
	v.OverQuotaFor = max(0, (c.OverQuotaUntil - now).Seconds())
	return v
}

// Verdict is what the module would do with a try.
type Verdict struct {
	Answer      string `json:"answer"` // admitted, asks the keeper first, refused: quota, refused: no room, failed
	Backend     uint32 `json:"box,omitempty"`
	UsesCounter bool   `json:"asks"` // the keeper would be asked, and decide
}

// WouldDecide asks a copy of the module what it would do now with a try of a studio's. The state is not changed.
func WouldDecide(set decision.Settings, st decision.State, plan decision.PlanID, name string, spread, first int, units float64, now time.Duration) (Verdict, error) {
	g, err := decision.Restore(set, st)
	if err != nil {
		return Verdict{}, err
	}
	const id = ^decision.RequestID(0) // no request's number
	v := Verdict{Answer: "held"}
	for _, a := range g.Handle(decision.RequestArrived{Request: id, Plan: plan, Customer: name, TimeLeft: set.Classes[0].Deadline, Units: units, Spread: spread, First: first}, now) {
		switch a := a.(type) {
		case decision.SendAttempt:
			v.Answer, v.Backend = "admitted", uint32(a.Backend)
		case decision.Reject:
			v.Answer = map[decision.RejectReason]string{decision.OverQuota: "refused: quota", decision.NoCapacity: "refused: no room"}[a.Reason]
		case decision.Fail:
			v.Answer = "failed"
		case decision.AddToCounter:
			v.UsesCounter = true
		}
	}
	if v.Answer == "held" && v.UsesCounter {
		v.Answer = "asks the keeper first"
	}
	return v, nil
}
