package trace

import (
	"fmt"
	"strings"
	"time"

	"sandyard/decision"
)

// Attempt is one send of a request.
type Attempt struct {
	Backend decision.BackendID `json:"server"`
	SentAt  time.Duration      `json:"sent_ns"`
	EndedAt time.Duration      `json:"ended_ns"` // 0: not within the trace
	Outcome decision.Outcome   `json:"outcome"`
}

// CounterCall is a keeper call that a request waited for.
type CounterCall struct {
	Name      string           `json:"name"`
	Amount    float64          `json:"amount"`
	SentAt    time.Duration    `json:"asked_ns"`
	RepliedAt time.Duration    `json:"heard_ns"` // 0: not before its decision
	Outcome   decision.Outcome `json:"how"`
	Total     float64          `json:"total"`
}

// RequestHistory is what became of one request.
type RequestHistory struct {
	Request     decision.RequestID    `json:"request"`
	At          time.Duration         `json:"at_ns"`
	Customer    string                `json:"customer"`
	Class       decision.ClassID      `json:"class"`
	Plan        decision.PlanID       `json:"plan"`
	Operation   int                   `json:"op"` // from 1
	Units       float64               `json:"units"`
	TimeLeft    time.Duration         `json:"left_ns"`
	Retry       bool                  `json:"retry"`
	Attempts    []Attempt             `json:"attempts"`
	CounterCall *CounterCall          `json:"call"`
	Outcome     Outcome               `json:"outcome"`
	Ended       time.Duration         `json:"ended_ns"`
	Reason      decision.RejectReason `json:"why"`
}

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	Open               Outcome = "open" // the trace ends first
	Served             Outcome = "served"
	Rejected           Outcome = "refused"
	Failed             Outcome = "failed"
	ClientDisconnected Outcome = "left"
)

// Histories puts items together by request.
type Histories struct {
	All          []*RequestHistory
	BackendNames map[decision.BackendID]string
	Dropped      uint64
	Steps        uint64

	byID  map[decision.RequestID]*RequestHistory
	calls map[string][]*CounterCall // that wait for an answer, by name, in order
}

// NewHistories begins.
func NewHistories() *Histories {
	return &Histories{BackendNames: map[decision.BackendID]string{}, byID: map[decision.RequestID]*RequestHistory{}, calls: map[string][]*CounterCall{}}
}

// Find is a request's story, nil if the trace has none.
func (s *Histories) Find(id decision.RequestID) *RequestHistory { return s.byID[id] }

// Add takes the next item in.
func (s *Histories) Add(it Record) {
	s.Dropped += it.Dropped
	if it.Backend != nil {
		s.BackendNames[it.Backend.Backend] = it.Backend.Name
	}
	e := it.Event
	if e.Decision() != nil || it.Initial {
		s.Steps++
	}
	var arrived *RequestHistory
	switch {
	case e.Arrived != nil:
		a := e.Arrived
		arrived = &RequestHistory{Request: a.Request, At: it.At, Customer: a.Customer, Class: a.Class, Plan: a.Plan, Operation: it.Operation, Units: a.Units, TimeLeft: a.TimeLeft,
			Retry: a.Retry, Outcome: Open}
		s.All = append(s.All, arrived)
		s.byID[a.Request] = arrived
	case e.Disconnected != nil:
		if st := s.byID[e.Disconnected.Request]; st != nil && st.Outcome == Open {
			st.Outcome, st.Ended = ClientDisconnected, it.At
		}
	case e.StreamStarted != nil:
		if st := s.byID[e.StreamStarted.Request]; st != nil && st.Outcome == Open {
			st.Outcome, st.Ended = Served, it.At
		}
	case e.AttemptEnded != nil:
		if st := s.byID[e.AttemptEnded.Request]; st != nil && e.AttemptEnded.Attempt < len(st.Attempts) {
			at := &st.Attempts[e.AttemptEnded.Attempt]
			at.EndedAt, at.Outcome = it.At, e.AttemptEnded.Outcome
			if e.AttemptEnded.Outcome == decision.OK && st.Outcome == Open {
				st.Outcome, st.Ended = Served, it.At
			}
		}
	case e.CounterReplied != nil:
		if line := s.calls[e.CounterReplied.Name]; len(line) > 0 {
			line[0].RepliedAt, line[0].Outcome, line[0].Total = it.At, e.CounterReplied.Outcome, e.CounterReplied.Total
			s.calls[e.CounterReplied.Name] = line[1:]
		}
	}
	for _, a := range it.Actions {
		switch {
		case a.Send != nil:
			if st := s.byID[a.Send.Request]; st != nil {
				st.Attempts = append(st.Attempts, Attempt{Backend: a.Send.Backend, SentAt: it.At})
			}
		case a.Reject != nil:
			if st := s.byID[a.Reject.Request]; st != nil && st.Outcome == Open {
				st.Outcome, st.Ended, st.Reason = Rejected, it.At, a.Reject.Reason
			}
		case a.Fail != nil:
			if st := s.byID[a.Fail.Request]; st != nil && st.Outcome == Open {
				st.Outcome, st.Ended = Failed, it.At
			}
		case a.AddToCounter != nil:
			c := &CounterCall{Name: a.AddToCounter.Name, Amount: a.AddToCounter.Amount, SentAt: it.At}
			s.calls[c.Name] = append(s.calls[c.Name], c)
			if arrived != nil && arrived.CounterCall == nil && a.AddToCounter.Amount > 0 {
				arrived.CounterCall = c
			}
		}
	}
}

// OutcomeText names an attempt's outcome.
func OutcomeText(o decision.Outcome) string {
	names := [...]string{"answered", "error", "turned away", "timed out", "not reached", "connection lost", "withdrawn", "never sent"}
	if int(o) < len(names) && o >= 0 {
		return names[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// Explain tells a request's end in one paragraph that can be read to a studio.
func (s *Histories) Explain(h Header, st *RequestHistory) string {
	var b strings.Builder
	plan := "of no known plan"
	if int(st.Plan) < len(h.Plans) && st.Plan >= 0 {
		plan = "on plan " + h.Plans[st.Plan]
	}
	op := "a request"
	if st.Operation > 0 && st.Operation <= len(h.Operations) {
		op = h.Operations[st.Operation-1]
	}
	clock := time.Unix(0, h.Origin).Add(st.At).UTC().Format("15:04:05.000")
	fmt.Fprintf(&b, "At %s UTC %q, %s, asked for %s (%g units) at front door %d.", clock, st.Customer, plan, op, st.Units, h.Instance)
	if c := st.CounterCall; c != nil {
		switch {
		case c.RepliedAt == 0:
			b.WriteString(" The tally keeper was asked for its recent use and had not answered by then.")
		case c.Outcome == decision.OK:
			fmt.Fprintf(&b, " The tally keeper was asked for its recent use over all front doors and answered after %s.", ms(c.RepliedAt-c.SentAt))
		default:
			fmt.Fprintf(&b, " The tally keeper was asked for its recent use, without success (%s): the front door went by its own share of the quota.", OutcomeText(c.Outcome))
		}
	} else {
		b.WriteString(" What the front door knew of its use was enough to decide without asking the tally keeper.")
	}
	for i, a := range st.Attempts {
		name := s.BackendNames[a.Backend]
		if name == "" {
			name = fmt.Sprintf("box %d", a.Backend)
		}
		fmt.Fprintf(&b, " Attempt %d went to %s", i+1, name)
		if a.EndedAt == 0 {
			b.WriteString(".")
		} else {
			fmt.Fprintf(&b, ": %s after %s.", OutcomeText(a.Outcome), ms(a.EndedAt-a.SentAt))
		}
	}
	took := ms(st.Ended - st.At)
	switch st.Outcome {
	case Served:
		fmt.Fprintf(&b, " It was served after %s.", took)
	case Rejected:
		switch {
		case len(st.Attempts) > 0:
			fmt.Fprintf(&b, " It was refused after %s, since no attempt brought an answer; trying again does no harm.", took)
		case st.Reason == decision.OverQuota && st.CounterCall != nil && st.CounterCall.Outcome != decision.OK:
			fmt.Fprintf(&b, " It was refused after %s as beyond the plan's quota, as far as this front door could tell without the tally keeper; trying again does no harm.", took)
		case st.Reason == decision.OverQuota:
			fmt.Fprintf(&b, " It was refused after %s, since it went beyond what the plan allows at once; trying again does no harm.", took)
		default:
			fmt.Fprintf(&b, " It was refused after %s, since the boxes had no room for it in time; trying again does no harm.", took)
		}
	case Failed:
		fmt.Fprintf(&b, " It failed after %s; whether a box acted on it is not known.", took)
	case ClientDisconnected:
		fmt.Fprintf(&b, " Its client left after %s.", took)
	default:
		b.WriteString(" The trace ends before it did.")
	}
	if s.Dropped > 0 {
		fmt.Fprintf(&b, " %d steps are missing from this trace, so that some of this may be incomplete.", s.Dropped)
	}
	return b.String()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }
