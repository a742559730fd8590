// Package quota describes the state of a customer's quota as one proxy instance sees it, from the state of package
// decision. It makes no decisions: a dry run restores a copy of the gateway and passes a request to it. It does no I/O.
package quota

import (
	"time"

	"sandyard/decision"
)

// never is the age, in seconds, of an event that has not happened.
const never = -1

// View is the state of a customer's quota as one proxy instance sees it. Times are in seconds. Ages are relative to the
// time of the inspection.
type View struct {
	Customer           string  `json:"studio"`
	Known              bool    `json:"known"`         // the instance has seen the customer recently; if false, the fields of its state are zero and CounterTotalAge is -1
	Rate               float64 `json:"rate"`          // rate of the plan, units per second; 0: no such limit
	Burst              float64 `json:"burst"`         // burst of the plan, units
	CeilingRate        float64 `json:"ceiling_rate"`  // ceiling of the plan, units per second; 0: no ceiling
	Spread             float64 `json:"spread"`        // number of instances that share the quota
	UsesCounter        bool    `json:"asks_keeper"`   // the shared counter holds the customer's use
	SplitTokens        float64 `json:"split_level"`   // remaining units of this instance's split of the quota
	SplitCeilingTokens float64 `json:"split_ceiling"` // remaining units of this instance's split of the ceiling
	CounterTotal       float64 `json:"total"`         // units, decayed use at all instances by the counter's last reply
	CounterTotalAge    float64 `json:"heard_ago"`     // age of that reply; -1: there was none
	RecentDemand       float64 `json:"asked_here"`    // units that were requested from this instance; decays exponentially (demandMemory in package decision)
	PendingUse         float64 `json:"untold"`        // units admitted by this instance that were not added to the counter yet
	InFlight           int     `json:"open"`          // attempts of the customer in flight at this instance
	OverQuotaFor       float64 `json:"beyond_for"`    // seconds until the counter may be called again, if the customer was beyond its quota
}

// Inspect returns the View of a customer's state in package decision. If known is false, the customer is unknown there
// and customer is not read.
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

// The values of Verdict.Answer.
const (
	answerAdmitted   = "admitted"
	answerCounter    = "asks the keeper first"
	answerOverQuota  = "refused: quota"
	answerNoCapacity = "refused: no room"
	answerFailed     = "failed"
	answerHeld       = "held" // neither decided nor waiting for the counter
)

// Verdict is the result of a dry run.
type Verdict struct {
	Answer       string `json:"answer"`        // one of the constants above
	Backend      uint32 `json:"box,omitempty"` // backend that would get the request if it is admitted
	CallsCounter bool   `json:"asks"`          // the shared counter would be called
}

// DryRun returns the decision that a gateway would make now on a request of a customer. The request is of class 0 and
// has that class's whole deadline left. DryRun works on a copy of the gateway's state and does not change state. spread and first are the fields of decision.RequestArrived. The error is
// that of decision.Restore.
func DryRun(settings decision.Settings, state decision.State, plan decision.PlanID, name string, spread, first int, units float64, now time.Duration) (Verdict, error) {
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

// verdictOf derives a verdict from the actions that follow a request.
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
			verdict.CallsCounter = true
		}
	}
	if verdict.Answer == answerHeld && verdict.CallsCounter {
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
