package invariant

import "slices"

// Verdict is the result of the checks of a run.
type Verdict struct {
	Rules        []Rule        `json:"rules"` // indexed by the constants OneResponse to Ceilings
	Plans        []PlanSummary `json:"plans"` // by name
	Violations   int           `json:"violations"`
	NotExercised []string      `json:"not_exercised"` // names of rules without a case
	// Exemptions counts, by reason, the cases that would otherwise count as violations.
	Exemptions map[string]int `json:"excuses,omitempty"`
}

// Judge returns a checker's verdict.
func Judge(c *Checker, plans []PlanSummary) Verdict {
	v := Verdict{Rules: c.Rules(), Plans: plans, Violations: c.Violations(), Exemptions: c.exemptions}
	for _, r := range v.Rules {
		if r.Cases == 0 {
			v.NotExercised = append(v.NotExercised, r.Name)
		}
	}
	return v
}

// PlanSummary counts the outcomes of the requests of a plan's customers.
type PlanSummary struct {
	Plan         string
	Requests     int `json:"Tries"`
	Served       int
	Late         int // served later than their latency objective; included in Served
	Rejected     int `json:"Refused"`
	Failed       int
	TimedOut     int     `json:"Lost"`
	Broken       int     `json:"Cut"`
	NotAccepted  int     `json:"NoDoor"`
	Abandoned    int     `json:"Left"`
	ValueOffered float64 `json:"WorthAsked"`  // of the operations that clients requested
	ValueServed  float64 `json:"WorthServed"` // of the operations that were served; a late response counts for its LateShare

	servedShare map[string]float64 // by operation: the share of its value that was served
}

// Summarize counts the outcomes of requests by plan, in the order of plan names. A request without an outcome counts as timed
// out.
func Summarize(requests []*Request, outcomes map[string]Outcome) []PlanSummary {
	byName := map[string]*PlanSummary{}
	var names []string
	for _, r := range requests {
		p := byName[r.Plan]
		if p == nil {
			p = &PlanSummary{Plan: r.Plan, servedShare: map[string]float64{}}
			byName[r.Plan] = p
			names = append(names, r.Plan)
		}
		p.offer(r)
		if o, ok := outcomes[r.ID]; ok {
			p.count(r, o)
		} else {
			p.TimedOut++
		}
	}
	slices.Sort(names)
	var summaries []PlanSummary
	for _, name := range names {
		summaries = append(summaries, *byName[name])
	}
	return summaries
}

// offer counts a request, and the value of its operation once.
func (p *PlanSummary) offer(r *Request) {
	p.Requests++
	if _, known := p.servedShare[r.Operation]; !known {
		p.servedShare[r.Operation] = 0
		p.ValueOffered += r.Value
	}
}

func (p *PlanSummary) count(r *Request, o Outcome) {
	switch o.Ending {
	case Served:
		p.serve(r, o)
	case Rejected:
		p.Rejected++
	case Failed:
		p.Failed++
	case ConnectionBroken:
		p.Broken++
	case NotAccepted:
		p.NotAccepted++
	case ClientLeft:
		p.Abandoned++
	case ClientTimedOut:
		p.TimedOut++
	}
}

// serve counts a success. Of several successes for one operation the one with the largest share counts.
func (p *PlanSummary) serve(r *Request, o Outcome) {
	p.Served++
	share := 1.0
	if o.At-r.SentAt > r.LatencyObjective {
		p.Late++
		share = r.LateShare
	}
	if previous := p.servedShare[r.Operation]; share > previous {
		p.servedShare[r.Operation] = share
		p.ValueServed += (share - previous) * r.Value
	}
}
