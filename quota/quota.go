// Package quota tells how a customer stands with its quota as one proxy instance sees it, from the state of the decision
// package. It decides nothing: what would be decided is asked of the decision package itself, on a copy of its state.
// It has no I/O.
package quota

import (
	"time"

	"sandyard/decision"
)

// never is the age in seconds of what has not happened.
const never = -1

// View is a customer's quota as one proxy instance sees it. Times are in seconds, ages are before the inspection.
type View struct {
	Customer           string  `json:"studio"`
	Known              bool    `json:"known"`         // the instance has seen it lately; without it, only the plan's figures are set
	Rate               float64 `json:"rate"`          // of its plan, units per second; 0: no such limit
	Burst              float64 `json:"burst"`         // of its plan, units
	CeilingRate        float64 `json:"ceiling_rate"`  // of its plan, units per second; 0: no ceiling
	Spread             float64 `json:"spread"`        // instances that share its quota
	UsesCounter        bool    `json:"asks_keeper"`   // the shared counter holds its use
	SplitTokens        float64 `json:"split_level"`   // units left of this instance's split of the quota
	SplitCeilingTokens float64 `json:"split_ceiling"` // units left of its split of the ceiling
	CounterTotal       float64 `json:"total"`         // units, faded use at all instances, as the counter last said
	CounterTotalAge    float64 `json:"heard_ago"`     // age of that; -1: it never did
	RecentDemand       float64 `json:"asked_here"`    // units asked for here lately
	PendingUse         float64 `json:"untold"`        // units spent here that were not added to the counter yet
	InFlight           int     `json:"open"`          // attempts
	OverQuotaFor       float64 `json:"beyond_for"`    // seconds until the counter is asked again, if it was beyond its quota
}

// Inspect makes a View of what the decision package knows of a customer. known is false if it knows nothing; customer
// is not read then.
func Inspect(settings decision.Settings, plan decision.PlanID, name string, customer decision.CustomerState, known bool, now time.Duration) View {
	view := View{Customer: name, Known: known, CounterTotalAge: never}
	if plan >= 0 && int(plan) < len(settings.Plans) {
		view.setPlan(settings.Plans[plan])
	}
	if known {
		view.setState(customer, now)
	}
	return view
}

func (v *View) setPlan(plan decision.Plan) {
	v.Rate = plan.Rate
	v.Burst = plan.Burst
	v.CeilingRate = plan.CeilingRate
}

func (v *View) setState(customer decision.CustomerState, now time.Duration) {
	v.Spread = customer.Instances
	v.UsesCounter = customer.UsesCounter
	v.SplitTokens = customer.Tokens
	v.SplitCeilingTokens = customer.CeilingTokens
	v.CounterTotal = customer.CounterTotal
	v.RecentDemand = customer.RecentDemand
	v.PendingUse = customer.PendingUse
	v.InFlight = customer.InFlight
	v.OverQuotaFor = max(0, (customer.OverQuotaUntil - now).Seconds())
	if customer.CounterTotalAt > 0 {
		v.CounterTotalAge = (now - customer.CounterTotalAt).Seconds()
	}
}

// The answers of a Verdict.
const (
	answerAdmitted   = "admitted"
	answerCounter    = "asks the keeper first"
	answerOverQuota  = "refused: quota"
	answerNoCapacity = "refused: no room"
	answerFailed     = "failed"
	answerHeld       = "held" // neither decided nor asked
)

// Verdict is what would be decided about a request.
type Verdict struct {
	Answer      string `json:"answer"`        // one of the constants above
	Backend     uint32 `json:"box,omitempty"` // that would get it, if it is admitted
	UsesCounter bool   `json:"asks"`          // the shared counter would be called
}

// WouldDecide tells what would be decided now about a request of a customer, on a copy of a gateway's state; state is
// not changed. spread and first are those of decision.RequestArrived. The error is that of decision.Restore.
func WouldDecide(settings decision.Settings, state decision.State, plan decision.PlanID, name string, spread, first int, units float64, now time.Duration) (Verdict, error) {
	gateway, err := decision.Restore(settings, state)
	if err != nil {
		return Verdict{}, err
	}
	const unusedID = ^decision.RequestID(0)
	request := decision.RequestArrived{
		Request:  unusedID,
		Plan:     plan,
		Customer: name,
		TimeLeft: settings.Classes[0].Deadline,
		Units:    units,
		Spread:   spread,
		First:    first,
	}
	return verdictOf(gateway.Handle(request, now)), nil
}

// verdictOf reads a verdict from the actions that answer a request.
func verdictOf(actions []decision.Action) Verdict {
	verdict := Verdict{Answer: answerHeld}
	for _, action := range actions {
		switch action := action.(type) {
		case decision.SendAttempt:
			verdict.Answer = answerAdmitted
			verdict.Backend = uint32(action.Backend)
		case decision.Reject:
			verdict.Answer = rejection(action.Reason)
		case decision.Fail:
			verdict.Answer = answerFailed
		case decision.AddToCounter:
			verdict.UsesCounter = true
		}
	}
	if verdict.Answer == answerHeld && verdict.UsesCounter {
		verdict.Answer = answerCounter
	}
	return verdict
}

func rejection(reason decision.RejectReason) string {
	if reason == decision.OverQuota {
		return answerOverQuota
	}
	return answerNoCapacity
}
