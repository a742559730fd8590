package trace

import "sandyard/decision"

// Event is a decision.Event in its stored form: one of the fields is set, or none where there is no event.
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

// Action is a decision.Action in its stored form: one of the fields is set.
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

// NewEvent is the stored form of an event.
func NewEvent(e decision.Event) (d Event) {
	switch e := e.(type) {
	case decision.RequestArrived:
		d.Arrived = &e
	case decision.ClientDisconnected:
		d.Disconnected = &e
	case decision.AttemptEnded:
		d.AttemptEnded = &e
	case decision.StreamStarted:
		d.StreamStarted = &e
	case decision.ProbeEnded:
		d.ProbeEnded = &e
	case decision.CounterReplied:
		d.CounterReplied = &e
	case decision.EndpointsChanged:
		d.EndpointsChanged = &e
	case decision.TimerFired:
		d.Timer = &e
	}
	return d
}

// Unwrap is the event itself; nil if there is none.
func (d Event) Unwrap() decision.Event {
	switch {
	case d.Arrived != nil:
		return *d.Arrived
	case d.Disconnected != nil:
		return *d.Disconnected
	case d.AttemptEnded != nil:
		return *d.AttemptEnded
	case d.StreamStarted != nil:
		return *d.StreamStarted
	case d.ProbeEnded != nil:
		return *d.ProbeEnded
	case d.CounterReplied != nil:
		return *d.CounterReplied
	case d.EndpointsChanged != nil:
		return *d.EndpointsChanged
	case d.Timer != nil:
		return *d.Timer
	}
	return nil
}

// NewActions are the stored forms of actions.
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

// Unwrap is the action itself.
func (d Action) Unwrap() decision.Action {
	switch {
	case d.Send != nil:
		return *d.Send
	case d.Cancel != nil:
		return *d.Cancel
	case d.Reject != nil:
		return *d.Reject
	case d.Fail != nil:
		return *d.Fail
	case d.Probe != nil:
		return *d.Probe
	case d.AddToCounter != nil:
		return *d.AddToCounter
	case d.SetTimer != nil:
		return *d.SetTimer
	case d.WatchEndpoints != nil:
		return *d.WatchEndpoints
	}
	return nil
}
