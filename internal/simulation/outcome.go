package simulation

import (
	"slices"
	"time"

	"sandyard/invariant"
)

// Printed names of the rules that a run is checked against in addition to the five of package invariant.
const (
	RuleLeak        = "nothing is left over"
	RuleRecovery    = "service is back"
	RuleOwnResponse = "answers are one's own"
	RuleCrash       = "nothing crashes"
)

// ruleNumber returns a rule's position among the five rules followed by those above. It is part of digests.
func ruleNumber(rule string) int {
	return slices.Index(append(RuleNames(), RuleLeak, RuleRecovery, RuleOwnResponse, RuleCrash), rule)
}

// Finding is a violation of a rule.
type Finding struct {
	At   time.Duration
	Rule string
	What string
}

// Outcome is the result of a run.
type Outcome struct {
	Findings     []Finding // at most maxFindings
	Digest       uint64
	Events       uint64
	Virtual      time.Duration
	Verdict      invariant.Verdict
	Reached      map[string]int
	Requests     int     `json:"Tries"`
	ValueServed  float64 `json:"Worth"` // late responses count with their share
	ValueOffered float64 `json:"Asked"` // value of all operations that clients requested
	CounterCalls uint64  `json:"Calls"` // increments that the counter executed
}

// maxFindings is the largest number of findings that an Outcome holds.
const maxFindings = 20

// report records a violation, and ends the run unless Options.ContinueAfterViolation is set.
func (s *Sim) report(rule, what string) {
	s.logEvent("BROKEN " + rule + ": " + what)
	s.digest(ruleBroken, []uint64{uint64(ruleNumber(rule))})
	if len(s.findings) < maxFindings {
		s.findings = append(s.findings, Finding{s.now, rule, what})
	}
	s.stopped = s.stopped || !s.options.ContinueAfterViolation
}

// Nearness returns how near a run came to breaking one of the five rules, as a share of the rule's limit. It is at least 1 if
// the rule was broken.
func (o Outcome) Nearness(rule int) float64 {
	if rule < 0 || rule >= len(o.Verdict.Rules) {
		return 0
	}
	r := o.Verdict.Rules[rule]
	if r.Count > 0 {
		return max(1, r.Nearest)
	}
	return r.Nearest
}

// RuleNames returns the names of the five rules, in the order of Verdict.Rules.
func RuleNames() (names []string) {
	for _, r := range invariant.NewChecker(invariant.Limits{}).Rules() {
		names = append(names, r.Name)
	}
	return names
}

// Violates returns a function that reports whether the first rule that an outcome broke is the given one.
func Violates(rule string) func(Outcome) bool {
	return func(o Outcome) bool { return len(o.Findings) > 0 && o.Findings[0].Rule == rule }
}
