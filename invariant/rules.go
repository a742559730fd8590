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

// maxReported bounds the violations of a rule that are kept in words, so that a broken run does not fill memory; the rest
// are counted.
const maxReported = 20

// Rule is what was found about one rule.
type Rule struct {
	Name       string   `json:"name"`
	Cases      int      `json:"cases"`      // situations in which it could have been broken
	Violations []string `json:"violations"` // at most maxReported, in words
	Count      int      `json:"count"`      // of violations
	Nearest    float64  `json:"nearest"`    // the most that was made of the limit, as a share of it
	Of         string   `json:"of"`         // what the limit is
}

// newRules returns the rules before anything was found.
func newRules() [ruleCount]Rule {
	return [ruleCount]Rule{
		OneResponse: {Name: "no request is lost", Of: "the client's patience"},
		NoDuplicate: {Name: "no effect happens twice", Of: "the time that keys are remembered"},
		Draining:    {Name: "drains are kept", Of: "the grace"},
		SlowStart:   {Name: "cold boxes are not pushed over", Of: "the load that pushes one over"},
		Ceilings:    {Name: "ceilings are kept", Of: "the burst and its slack"},
	}
}

func (r *Rule) violation(format string, args ...any) {
	if r.Count++; len(r.Violations) < maxReported {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// approach notes how much was made of the rule's limit, as a share of it.
func (r *Rule) approach(share float64) { r.Nearest = max(r.Nearest, share) }

// Reasons for which a check exempts a case that by its facts alone could be held against a rule. They are printed with
// the counts of exempted cases.
const (
	exemptNotAccepted      = "no answer: not accepted"
	exemptClientLeft       = "no answer: its client left"
	exemptInstanceDown     = "no answer: its door was killed or stood still"
	exemptAfterResponse    = "received after the final answer: sent before"
	exemptAfterKeyTTL      = "keyed repeat after its key's time: sent before"
	exemptAfterDrainPeriod = "received after a grace: sent before"
)
