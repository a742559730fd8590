package simulation

import (
	"slices"
	"time"

	"sandyard/invariant"
)

// The rules that a run is held to beside the five of package invariant, by their printed names.
const (
	RuleLeak        = "nothing is left over"
	RuleRecovery    = "service is back"
	RuleOwnResponse = "answers are one's own"
	RuleCrash       = "nothing crashes"
)

// ruleNumber returns a rule's position among the five and then those above; it goes into digests.
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
	ValueServed  float64 `json:"Worth"` // late responses by their share
	ValueOffered float64 `json:"Asked"` // of all operations that clients wanted
	CounterCalls uint64  `json:"Calls"` // increments that the counter carried out
}

const maxFindings = 20

func (s *Sim) report(rule, what string) {
	s.logEvent("BROKEN " + rule + ": " + what)
	s.digest(ruleBroken, []uint64{uint64(ruleNumber(rule))})
	if len(s.findings) < maxFindings {
		s.findings = append(s.findings, Finding{s.now, rule, what})
	}
	s.stopped = s.stopped || !s.options.ContinueAfterViolation
}

// Nearness returns how near a run came to breaking one of the five rules, as a share of the rule's limit.
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

// Violates returns what reports whether the first rule that an outcome broke is this one.
func Violates(rule string) func(Outcome) bool {
	return func(o Outcome) bool { return len(o.Findings) > 0 && o.Findings[0].Rule == rule }
}
