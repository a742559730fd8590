package trace

import (
	"fmt"
	"strings"
	"time"

	"sandyard/decision"
)

// outcomeTexts are the names of outcomes in explanations.
var outcomeTexts = [...]string{
	decision.OK:              "answered",
	decision.BackendError:    "error",
	decision.Rejected:        "turned away",
	decision.TimedOut:        "timed out",
	decision.ConnectFailed:   "not reached",
	decision.ConnectionReset: "connection lost",
	decision.Cancelled:       "withdrawn",
	decision.NotSent:         "never sent",
}

// OutcomeText returns the name of the outcome of an attempt or of a counter call.
func OutcomeText(o decision.Outcome) string {
	if o >= 0 && int(o) < len(outcomeTexts) {
		return outcomeTexts[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// Explain returns a paragraph that describes how a request ended and why, in terms that a customer understands.
func (s *Histories) Explain(header Header, h *RequestHistory) string {
	var b strings.Builder
	explainArrival(&b, header, h)
	explainCounter(&b, h.CounterCall)
	for i, a := range h.Attempts {
		s.explainAttempt(&b, i+1, a)
	}
	explainEnd(&b, h)
	if s.Dropped > 0 {
		fmt.Fprintf(&b, " %d steps are missing from this trace, so that some of this may be incomplete.", s.Dropped)
	}
	return b.String()
}

// explainArrival writes when a request arrived, its customer and plan, its operation and its units.
func explainArrival(b *strings.Builder, header Header, h *RequestHistory) {
	plan := "of no known plan"
	if h.Plan >= 0 && int(h.Plan) < len(header.Plans) {
		plan = "on plan " + header.Plans[h.Plan]
	}
	operation := "a request"
	if h.Operation > 0 && h.Operation <= len(header.Operations) {
		operation = header.Operations[h.Operation-1]
	}
	clock := time.Unix(0, header.Origin).Add(h.At).UTC().Format("15:04:05.000")
	fmt.Fprintf(b, "At %s UTC %q, %s, asked for %s (%g units) at front door %d.", clock, h.Customer, plan, operation, h.Units, header.Instance)
}

// explainCounter writes whether the counter was called, and how the call ended.
func explainCounter(b *strings.Builder, call *CounterCall) {
	switch {
	case call == nil:
		b.WriteString(" What the front door knew of its use was enough to decide without asking the tally keeper.")
	case call.RepliedAt == 0:
		b.WriteString(" The tally keeper was asked for its recent use and had not answered by then.")
	case call.Outcome == decision.OK:
		fmt.Fprintf(b, " The tally keeper was asked for its recent use over all front doors and answered after %s.", milliseconds(call.RepliedAt-call.SentAt))
	default:
		fmt.Fprintf(b, " The tally keeper was asked for its recent use, without success (%s): the front door went by its own share of the quota.", OutcomeText(call.Outcome))
	}
}

// explainAttempt writes where an attempt was sent, and how it ended.
func (s *Histories) explainAttempt(b *strings.Builder, number int, a Attempt) {
	name := s.BackendNames[a.Backend]
	if name == "" {
		name = fmt.Sprintf("box %d", a.Backend)
	}
	fmt.Fprintf(b, " Attempt %d went to %s", number, name)
	if a.EndedAt == 0 {
		b.WriteString(".")
		return
	}
	fmt.Fprintf(b, ": %s after %s.", OutcomeText(a.Outcome), milliseconds(a.EndedAt-a.SentAt))
}

// explainEnd writes how a request ended.
func explainEnd(b *strings.Builder, h *RequestHistory) {
	took := milliseconds(h.Ended - h.At)
	switch h.Outcome {
	case Served:
		fmt.Fprintf(b, " It was served after %s.", took)
	case Rejected:
		fmt.Fprintf(b, " It was refused after %s%s; trying again does no harm.", took, rejectionText(h))
	case Failed:
		fmt.Fprintf(b, " It failed after %s; whether a box acted on it is not known.", took)
	case ClientDisconnected:
		fmt.Fprintf(b, " Its client left after %s.", took)
	default:
		b.WriteString(" The trace ends before it did.")
	}
}

// rejectionText returns the reason for a rejection, as the continuation of a sentence.
func rejectionText(h *RequestHistory) string {
	switch {
	case len(h.Attempts) > 0:
		return ", since no attempt brought an answer"
	case h.Reason == decision.OverQuota && h.CounterCall != nil && h.CounterCall.Outcome != decision.OK:
		return " as beyond the plan's quota, as far as this front door could tell without the tally keeper"
	case h.Reason == decision.OverQuota:
		return ", since it went beyond what the plan allows at once"
	}
	return ", since the boxes had no room for it in time"
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}
