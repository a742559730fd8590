// Package quota tells how a studio stands with its quota as one front door sees it, from the decision module's state. It
// decides nothing: what would be decided is asked of the module itself, on a copy of its state. It has no I/O.
package quota

import (
	"time"

	"sandyard/choice"
)

// View is a studio as one front door sees it. Times are in seconds before the look; -1 is never.
type View struct {
	Studio      string  `json:"studio"`
	Known       bool    `json:"known"` // the front door has seen it lately
	Rate        float64 `json:"rate"`  // of its plan, units a second; 0: no such limit
	Burst       float64 `json:"burst"`
	CeilingRate float64 `json:"ceiling_rate"`
	Spread      float64 `json:"spread"` // front doors that share its quota
	AsksKeeper  bool    `json:"asks_keeper"`
	Level       float64 `json:"split_level"`   // units that this front door's split of the quota still holds
	Ceiling     float64 `json:"split_ceiling"` // and that of the ceiling
	Total       float64 `json:"total"`         // faded use over all front doors, as the keeper last told
	HeardAgo    float64 `json:"heard_ago"`
	AskedHere   float64 `json:"asked_here"` // units asked for here lately
	Untold      float64 `json:"untold"`     // units spent here that the keeper was not told of yet
	Open        int     `json:"open"`       // attempts out
	BeyondFor   float64 `json:"beyond_for"` // seconds until it is asked about again, if it was beyond its quota
}

// Look makes a View of what the module knows.
func Look(set choice.Settings, plan choice.PlanID, name string, c choice.CustomerState, known bool, now time.Duration) View {
	v := View{Studio: name, Known: known, HeardAgo: -1}
	if plan >= 0 && int(plan) < len(set.Plans) {
		p := set.Plans[plan]
		v.Rate, v.Burst, v.CeilingRate = p.Rate, p.Burst, p.CeilingRate
	}
	if !known {
		return v
	}
	v.Spread, v.AsksKeeper, v.Level, v.Ceiling, v.Total, v.AskedHere, v.Untold, v.Open = c.Spread, c.Asks, c.Level, c.Ceiling, c.Total, c.Seen, c.Fresh, c.Open
	if c.Heard > 0 {
		v.HeardAgo = (now - c.Heard).Seconds()
	}
	v.BeyondFor = max(0, (c.Next - now).Seconds())
	return v
}

// Verdict is what the module would do with a try.
type Verdict struct {
	Answer string `json:"answer"` // admitted, asks the keeper first, refused: quota, refused: no room, failed
	Box    uint32 `json:"box,omitempty"`
	Asks   bool   `json:"asks"` // the keeper would be asked, and decide
}

// Would asks a copy of the module what it would do now with a try of a studio's. The state is not changed.
func Would(set choice.Settings, st choice.State, plan choice.PlanID, name string, spread, first int, units float64, now time.Duration) (Verdict, error) {
	g, err := choice.Restore(set, st)
	if err != nil {
		return Verdict{}, err
	}
	const id = ^choice.RequestID(0) // no request's number
	v := Verdict{Answer: "held"}
	for _, a := range g.Handle(choice.Arrived{Request: id, Plan: plan, Customer: name, Left: set.Classes[0].Deadline, Units: units, Spread: spread, First: first}, now) {
		switch a := a.(type) {
		case choice.Send:
			v.Answer, v.Box = "admitted", uint32(a.Server)
		case choice.Refuse:
			v.Answer = map[choice.Why]string{choice.OverQuota: "refused: quota", choice.NoRoom: "refused: no room"}[a.Why]
		case choice.Fail:
			v.Answer = "failed"
		case choice.Count:
			v.Asks = true
		}
	}
	if v.Answer == "held" && v.Asks {
		v.Answer = "asks the keeper first"
	}
	return v, nil
}
