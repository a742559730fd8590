package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sandyard/decision"
	"sandyard/trace"
)

// traceShow is the command "sandyard-trace show".
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

// nameAt returns the name at an index, or the index itself if the list has no such name.
func nameAt(list []string, i int) string {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return fmt.Sprint(i)
}

func (t traceShow) Run(c *Console) error {
	head, histories, err := t.histories(c)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	if !t.json() {
		fmt.Fprintln(w, "request\tat\tstudio\tplan\tclass\toperation\tunits\tattempts\toutcome\tms")
	}
	enc := json.NewEncoder(c.Out)
	shown, matched := 0, 0
	for _, request := range histories.All {
		at := request.At - histories.All[0].At
		if !t.matches(head, histories, request, at) {
			continue
		}
		if matched++; shown >= t.Limit {
			continue
		}
		shown++
		if !t.json() {
			printRequest(w, head, request, at)
		} else if err := enc.Encode(newRequestReport(head, histories, request)); err != nil {
			return err
		}
	}
	w.Flush()
	if t.json() {
		return nil
	}
	fmt.Fprintf(c.Out, "%d of %d requests", shown, len(histories.All))
	if matched > shown {
		fmt.Fprintf(c.Out, "; %d more match (--limit)", matched-shown)
	}
	fmt.Fprintln(c.Out)
	return nil
}

// matches reports whether a request matches the flags. at is its arrival time after that of the first request.
func (t traceShow) matches(head trace.Header, histories *trace.Histories, request *trace.RequestHistory, at time.Duration) bool {
	switch {
	case t.Customer != "" && request.Customer != t.Customer,
		t.Class != "" && nameAt(head.Classes, int(request.Class)) != t.Class,
		t.Outcome != "" && string(request.Outcome) != t.Outcome,
		at < t.From,
		t.To > 0 && at > t.To:
		return false
	}
	return t.Backend == "" || hasAttemptAt(histories, request, t.Backend)
}

// rejectReasons are appended to the printed outcome of requests that were rejected before an attempt.
var rejectReasons = map[decision.RejectReason]string{decision.OverQuota: " (quota)", decision.NoCapacity: " (no room)"}

func printRequest(w io.Writer, head trace.Header, request *trace.RequestHistory, at time.Duration) {
	outcome := string(request.Outcome)
	if request.Outcome == trace.Rejected && len(request.Attempts) == 0 {
		outcome += rejectReasons[request.Reason]
	}
	fmt.Fprintf(w, "%d\t%.3fs\t%q\t%s\t%s\t%s\t%g\t%d\t%s\t%.1f\n", request.Request, at.Seconds(), request.Customer, nameAt(head.Plans, int(request.Plan)),
		nameAt(head.Classes, int(request.Class)), nameAt(head.Operations, request.Operation-1), request.Units, len(request.Attempts), outcome,
		float64((request.Ended-request.At).Microseconds())/1000)
}

func hasAttemptAt(histories *trace.Histories, request *trace.RequestHistory, backend string) bool {
	for _, a := range request.Attempts {
		if histories.BackendNames[a.Backend] == backend {
			return true
		}
	}
	return false
}

// requestReport is the history of a request, with names for the class, plan, operation and backends that it has by number.
type requestReport struct {
	*trace.RequestHistory
	ClassName string   `json:"class_name"`
	PlanName  string   `json:"plan_name"`
	Operation string   `json:"operation"`
	Backends  []string `json:"boxes"` // of its attempts
}

func newRequestReport(head trace.Header, histories *trace.Histories, request *trace.RequestHistory) requestReport {
	v := requestReport{RequestHistory: request, ClassName: nameAt(head.Classes, int(request.Class)), PlanName: nameAt(head.Plans, int(request.Plan)), Operation: nameAt(head.Operations, request.Operation-1), Backends: []string{}}
	for _, a := range request.Attempts {
		v.Backends = append(v.Backends, histories.BackendNames[a.Backend])
	}
	return v
}
