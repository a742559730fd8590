package trace

import (
	"time"

	"sandyard/decision"
)

// Attempt is one attempt of a request.
type Attempt struct {
	Backend decision.BackendID `json:"server"`
	SentAt  time.Duration      `json:"sent_ns"`
	EndedAt time.Duration      `json:"ended_ns"` // on the instance's clock; 0: not within the trace
	Outcome decision.Outcome   `json:"outcome"`
}

// CounterCall is a call of the counter.
type CounterCall struct {
	Name      string           `json:"name"`
	Amount    float64          `json:"amount"`
	SentAt    time.Duration    `json:"asked_ns"`
	RepliedAt time.Duration    `json:"heard_ns"` // 0: no reply within the trace
	Outcome   decision.Outcome `json:"how"`
	Total     float64          `json:"total"`
}

// RequestHistory is the history of one request. Times are on the instance's clock, which begins at 0.
type RequestHistory struct {
	Request     decision.RequestID    `json:"request"`
	At          time.Duration         `json:"at_ns"`
	Customer    string                `json:"customer"`
	Class       decision.ClassID      `json:"class"`
	Plan        decision.PlanID       `json:"plan"`
	Operation   int                   `json:"op"` // number of its operation in Header.Operations, from 1; 0: unknown
	Units       float64               `json:"units"`
	TimeLeft    time.Duration         `json:"left_ns"`
	Retry       bool                  `json:"retry"`
	Attempts    []Attempt             `json:"attempts"`
	CounterCall *CounterCall          `json:"call"` // first call that adds units in the step of the request's arrival; nil: none
	Outcome     Outcome               `json:"outcome"`
	Ended       time.Duration         `json:"ended_ns"`
	Reason      decision.RejectReason `json:"why"`
}

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request. Tools print these values.
const (
	Open               Outcome = "open" // the trace ends before the request does
	Served             Outcome = "served"
	Rejected           Outcome = "refused"
	Failed             Outcome = "failed"
	ClientDisconnected Outcome = "left"
)

// Histories groups records by request. It must not be used by several goroutines at once.
type Histories struct {
	All          []*RequestHistory // in the order of arrival
	BackendNames map[decision.BackendID]string
	Dropped      uint64 // number of records that are missing from the trace
	Steps        uint64 // number of steps of package decision

	byID         map[decision.RequestID]*RequestHistory
	pendingCalls map[string][]*CounterCall // calls without a reply, by name, in the order in which they were sent
}

// NewHistories returns Histories without requests.
func NewHistories() *Histories {
	return &Histories{
		BackendNames: map[decision.BackendID]string{},
		byID:         map[decision.RequestID]*RequestHistory{},
		pendingCalls: map[string][]*CounterCall{},
	}
}

// Find returns the history of a request, or nil if the trace has none.
func (s *Histories) Find(id decision.RequestID) *RequestHistory { return s.byID[id] }

// Add adds the next record of the trace.
func (s *Histories) Add(r Record) {
	s.Dropped += r.Dropped
	if r.Backend != nil {
		s.BackendNames[r.Backend.Backend] = r.Backend.Name
	}
	if r.Initial || r.Event.Unwrap() != nil {
		s.Steps++
	}
	arrived := s.addEvent(r)
	for _, a := range r.Actions {
		s.addAction(a, r.At, arrived)
	}
}

// addEvent adds the event of a record. If the event is the arrival of a request, it returns the new history, else nil.
func (s *Histories) addEvent(r Record) *RequestHistory {
	switch e := r.Event; {
	case e.Arrived != nil:
		return s.begin(r)
	case e.Disconnected != nil:
		s.end(e.Disconnected.Request, ClientDisconnected, r.At)
	case e.StreamStarted != nil:
		s.end(e.StreamStarted.Request, Served, r.At)
	case e.AttemptEnded != nil:
		s.endAttempt(e.AttemptEnded, r.At)
	case e.CounterReplied != nil:
		s.endCall(e.CounterReplied, r.At)
	}
	return nil
}

// addAction adds an action. arrived is the request that arrived in the same record, or nil.
func (s *Histories) addAction(a Action, at time.Duration, arrived *RequestHistory) {
	switch {
	case a.Send != nil:
		if h := s.byID[a.Send.Request]; h != nil {
			h.Attempts = append(h.Attempts, Attempt{Backend: a.Send.Backend, SentAt: at})
		}
	case a.Reject != nil:
		if h := s.end(a.Reject.Request, Rejected, at); h != nil {
			h.Reason = a.Reject.Reason
		}
	case a.Fail != nil:
		s.end(a.Fail.Request, Failed, at)
	case a.AddToCounter != nil:
		call := &CounterCall{Name: a.AddToCounter.Name, Amount: a.AddToCounter.Amount, SentAt: at}
		s.pendingCalls[call.Name] = append(s.pendingCalls[call.Name], call)
		if arrived != nil && arrived.CounterCall == nil && call.Amount > 0 {
			arrived.CounterCall = call
		}
	}
}

// begin adds the history of a request that arrived.
func (s *Histories) begin(r Record) *RequestHistory {
	a := r.Event.Arrived
	h := &RequestHistory{Request: a.Request, At: r.At, Customer: a.Customer, Class: a.Class, Plan: a.Plan, Operation: r.Operation,
		Units: a.Units, TimeLeft: a.TimeLeft, Retry: a.Retry, Outcome: Open}
	s.All = append(s.All, h)
	s.byID[a.Request] = h
	return h
}

// end sets the outcome of a request and returns its history. If the request is unknown or has already ended, it changes
// nothing and returns nil.
func (s *Histories) end(id decision.RequestID, outcome Outcome, at time.Duration) *RequestHistory {
	h := s.byID[id]
	if h == nil || h.Outcome != Open {
		return nil
	}
	h.Outcome, h.Ended = outcome, at
	return h
}

// endAttempt sets the outcome of an attempt. A successful attempt also ends its request.
func (s *Histories) endAttempt(e *decision.AttemptEnded, at time.Duration) {
	h := s.byID[e.Request]
	if h == nil || e.Attempt >= len(h.Attempts) {
		return
	}
	attempt := &h.Attempts[e.Attempt]
	attempt.EndedAt, attempt.Outcome = at, e.Outcome
	if e.Outcome == decision.OK {
		s.end(e.Request, Served, at)
	}
}

// endCall assigns a reply of the counter to the oldest call of that name without one.
func (s *Histories) endCall(e *decision.CounterReplied, at time.Duration) {
	pending := s.pendingCalls[e.Name]
	if len(pending) == 0 {
		return
	}
	call := pending[0]
	call.RepliedAt, call.Outcome, call.Total = at, e.Outcome, e.Total
	s.pendingCalls[e.Name] = pending[1:]
}
