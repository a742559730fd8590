package trace

import "sandyard/decision"

// Event is the stored form of a decision.Event. One field is set, or none if there is no event.
type Event struct {
	Arrived          *decision.RequestArrived     `cbor:"1,keyasint,omitempty"`
	Disconnected     *decision.ClientDisconnected `cbor:"2,keyasint,omitempty"`
	AttemptEnded     *decision.AttemptEnded       `cbor:"3,keyasint,omitempty"`
	StreamStarted    *decision.StreamStarted      `cbor:"4,keyasint,omitempty"`
	ProbeEnded       *decision.ProbeEnded         `cbor:"5,keyasint,omitempty"`
	CounterReplied   *decision.CounterReplied     `cbor:"6,keyasint,omitempty"`
	EndpointsChanged *decision.EndpointsChanged   `cbor:"7,keyasint,omitempty"`
	Timer            *decision.TimerFired         `cbor:"8,keyasint,omitempty"`
}

// Action is the stored form of a decision.Action. One field is set.
type Action struct {
	Send           *decision.SendAttempt    `cbor:"1,keyasint,omitempty"`
	Cancel         *decision.CancelAttempt  `cbor:"2,keyasint,omitempty"`
	Reject         *decision.Reject         `cbor:"3,keyasint,omitempty"`
	Fail           *decision.Fail           `cbor:"4,keyasint,omitempty"`
	Probe          *decision.Probe          `cbor:"5,keyasint,omitempty"`
	AddToCounter   *decision.AddToCounter   `cbor:"6,keyasint,omitempty"`
	SetTimer       *decision.SetTimer       `cbor:"7,keyasint,omitempty"`
	WatchEndpoints *decision.WatchEndpoints `cbor:"8,keyasint,omitempty"`
}

// NewEvent returns the stored form of an event.
func NewEvent(e decision.Event) (stored Event) {
	switch e := e.(type) {
	case decision.RequestArrived:
		stored.Arrived = &e
	case decision.ClientDisconnected:
		stored.Disconnected = &e
	case decision.AttemptEnded:
		stored.AttemptEnded = &e
	case decision.StreamStarted:
		stored.StreamStarted = &e
	case decision.ProbeEnded:
		stored.ProbeEnded = &e
	case decision.CounterReplied:
		stored.CounterReplied = &e
	case decision.EndpointsChanged:
		stored.EndpointsChanged = &e
	case decision.TimerFired:
		stored.Timer = &e
	}
	return stored
}

// Unwrap returns the event, or nil if there is none.
func (e Event) Unwrap() decision.Event {
	switch {
	case e.Arrived != nil:
		return *e.Arrived
	case e.Disconnected != nil:
		return *e.Disconnected
	case e.AttemptEnded != nil:
		return *e.AttemptEnded
	case e.StreamStarted != nil:
		return *e.StreamStarted
	case e.ProbeEnded != nil:
		return *e.ProbeEnded
	case e.CounterReplied != nil:
		return *e.CounterReplied
	case e.EndpointsChanged != nil:
		return *e.EndpointsChanged
	case e.Timer != nil:
		return *e.Timer
	}
	return nil
}

// NewActions returns the stored forms of actions.
func NewActions(as []decision.Action) []Action {
	out := make([]Action, len(as))
	for i, a := range as {
		switch a := a.(type) {
		case decision.SendAttempt:
			out[i].Send = &a
		case decision.CancelAttempt:
			out[i].Cancel = &a
		case decision.Reject:
			out[i].Reject = &a
		case decision.Fail:
			out[i].Fail = &a
		case decision.Probe:
			out[i].Probe = &a
		case decision.AddToCounter:
			out[i].AddToCounter = &a
		case decision.SetTimer:
			out[i].SetTimer = &a
		case decision.WatchEndpoints:
			out[i].WatchEndpoints = &a
		}
	}
	return out
}

// Unwrap returns the action, or nil if no field is set.
func (a Action) Unwrap() decision.Action {
	switch {
	case a.Send != nil:
		return *a.Send
	case a.Cancel != nil:
		return *a.Cancel
	case a.Reject != nil:
		return *a.Reject
	case a.Fail != nil:
		return *a.Fail
	case a.Probe != nil:
		return *a.Probe
	case a.AddToCounter != nil:
		return *a.AddToCounter
	case a.SetTimer != nil:
		return *a.SetTimer
	case a.WatchEndpoints != nil:
		return *a.WatchEndpoints
	}
	return nil
}
