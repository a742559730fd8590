package invariant

import "fmt"

// The rules, as positions in Verdict.Rules.
const (
	OneResponse = iota
	NoDuplicate
	Draining
	SlowStart
	Ceilings
	ruleCount
)

// maxReported bounds the violations of a rule that are kept as text, so that a broken run does not fill memory. The others are
// only counted.
const maxReported = 20

// Rule holds the findings on one rule.
type Rule struct {
	Name       string   `json:"name"`
	Cases      int      `json:"cases"`      // situations in which the rule could have been broken
	Violations []string `json:"violations"` // texts of at most maxReported violations
	Count      int      `json:"count"`      // number of violations
	Nearest    float64  `json:"nearest"`    // the largest part of the limit that was used (1: all of it)
	Limit      string   `json:"of"`         // what the limit is
}

// newRules returns the rules without findings.
func newRules() [ruleCount]Rule {
	return [ruleCount]Rule{
		OneResponse: {Name: "no request is lost", Limit: "the client's patience"},
		NoDuplicate: {Name: "no effect happens twice", Limit: "the time that keys are remembered"},
		Draining:    {Name: "drains are kept", Limit: "the grace"},
		SlowStart:   {Name: "cold boxes are not pushed over", Limit: "the load that pushes one over"},
		Ceilings:    {Name: "ceilings are kept", Limit: "the burst and its slack"},
	}
}

func (r *Rule) violation(format string, args ...any) {
	if r.Count++; len(r.Violations) < maxReported {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// noteLimitUse records which share of the rule's limit was used.
func (r *Rule) noteLimitUse(share float64) { r.Nearest = max(r.Nearest, share) }

// Reasons for which a check exempts a case that would otherwise count as a violation. They are printed with the numbers of
// exempted cases.
const (
	exemptNotAccepted      = "no answer: not accepted"
	exemptClientLeft       = "no answer: its client left"
	exemptInstanceDown     = "no answer: its door was killed or stood still"
	exemptAfterResponse    = "received after the final answer: sent before"
	exemptAfterKeyTTL      = "keyed repeat after its key's time: sent before"
	exemptAfterDrainPeriod = "received after a grace: sent before"
)
