package cli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"sandyard/decision"
	"sandyard/trace"
)

// traceShow is "sandyard-trace show".
type traceShow struct {
	traceFiles
	Customer string        `name:"studio" help:"Only this studio's."`
	Class    string        `help:"Only this class's."`
	Backend  string        `name:"box" help:"Only those with an attempt at this box."`
	Outcome  string        `help:"Only those that ended so: served, refused, failed, left, open."`
	From     time.Duration `help:"Only from this time after the first."`
	To       time.Duration `help:"Only up to this time after the first; 0 for all."`
	Limit    int           `default:"1000" help:"At most so many."`
	output
}

func nameAt(list []string, i int) string {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return fmt.Sprint(i)
}

func (t traceShow) Run(c *Console) error {
	head, s, err := t.histories(c)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	if !t.json() {
		fmt.Fprintln(w, "request\tat\tstudio\tplan\tclass\toperation\tunits\tattempts\toutcome\tms")
	}
	enc := json.NewEncoder(c.Out)
	shown, matched := 0, 0
	var first time.Duration
	for i, st := range s.All {
		if i == 0 {
			first = st.At
		}
		at := st.At - first
		class := nameAt(head.Classes, int(st.Class))
		if t.Customer != "" && st.Customer != t.Customer || t.Class != "" && class != t.Class || t.Outcome != "" && string(st.Outcome) != t.Outcome ||
			at < t.From || t.To > 0 && at > t.To || t.Backend != "" && !hasAttemptAt(s, st, t.Backend) {
			continue
		}
		if matched++; shown >= t.Limit {
			continue
		}
		shown++
		if t.json() {
			if err := enc.Encode(newRequestReport(head, s, st)); err != nil {
				return err
			}
			continue
		}
		outcome := string(st.Outcome)
		if st.Outcome == trace.Rejected && len(st.Attempts) == 0 {
			outcome += map[decision.RejectReason]string{decision.OverQuota: " (quota)", decision.NoCapacity: " (no room)"}[st.Reason]
		}
		fmt.Fprintf(w, "%d\t%.3fs\t%q\t%s\t%s\t%s\t%g\t%d\t%s\t%.1f\n", st.Request, at.Seconds(), st.Customer, nameAt(head.Plans, int(st.Plan)), class,
			nameAt(head.Operations, st.Operation-1), st.Units, len(st.Attempts), outcome, float64((st.Ended-st.At).Microseconds())/1000)
	}
	w.Flush()
	if !t.json() {
		fmt.Fprintf(c.Out, "%d of %d requests", shown, len(s.All))
		if matched > shown {
			fmt.Fprintf(c.Out, "; %d more match (--limit)", matched-shown)
		}
		fmt.Fprintln(c.Out)
	}
	return nil
}

func hasAttemptAt(s *trace.Histories, st *trace.RequestHistory, box string) bool {
	for _, a := range st.Attempts {
		if s.BackendNames[a.Backend] == box {
			return true
		}
	}
	return false
}

// requestReport is a request with the names that its history has as numbers.
type requestReport struct {
	*trace.RequestHistory
	ClassName string   `json:"class_name"`
	PlanName  string   `json:"plan_name"`
	Operation string   `json:"operation"`
	Backends  []string `json:"boxes"` // of its attempts
}

func newRequestReport(head trace.Header, s *trace.Histories, st *trace.RequestHistory) requestReport {
	v := requestReport{RequestHistory: st, ClassName: nameAt(head.Classes, int(st.Class)), PlanName: nameAt(head.Plans, int(st.Plan)), Operation: nameAt(head.Operations, st.Operation-1), Backends: []string{}}
	for _, a := range st.Attempts {
		v.Backends = append(v.Backends, s.BackendNames[a.Backend])
	}
	return v
}
