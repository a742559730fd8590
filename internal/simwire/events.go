package simwire

import (
	"strconv"

	"sandyard/decision"
)

// The protocol's words for the states of an endpoint and for outcomes.
var (
	endpointStates = map[string]decision.EndpointState{
		"up":       decision.Up,
		"draining": decision.Draining,
		"removed":  decision.Removed,
	}
	outcomes = map[string]decision.Outcome{
		"delivered":   decision.OK,
		"app_error":   decision.BackendError,
		"shed":        decision.Rejected,
		"expired":     decision.TimedOut,
		"dial_failed": decision.ConnectFailed,
		"dropped":     decision.ConnectionReset,
		"revoked":     decision.Cancelled,
		"unused":      decision.NotSent,
	}
)

// markRetry is the bit of a request's marks that is set if the client has tried before.
const markRetry = 2

// eventDecoders maps the name of a message to the function that reads the fields that follow the name and the instance,
// in the order of the wire. Fields that package decision does not use are read and discarded.
var eventDecoders = map[string]func(*Reader, *fields) decision.Event{
	"accept":           decodeArrival,
	"left":             decodeDisconnect,
	"reply":            decodeAttemptEnd,
	"under_way":        decodeStreamStart,
	"probed":           decodeProbeEnd,
	"added":            decodeCounterReply,
	"directory_update": decodeEndpoints,
	"timer":            decodeTimer,
	"note_from":        decodePeerMessage,
}

func decodeArrival(_ *Reader, f *fields) decision.Event {
	e := decision.RequestArrived{Request: f.request("job")}
	e.Class = decision.ClassID(f.int("lane"))
	e.Plan = decision.PlanID(f.int("tier"))
	e.Customer = f.text("user-key")
	e.TimeLeft = f.millis("time-budget-ms")
	e.Units = f.float("cost-units")
	e.Spread = f.int("width")
	e.First = f.int("base")
	e.Retry = f.int("marks")&markRetry != 0
	return e
}

func decodeDisconnect(_ *Reader, f *fields) decision.Event {
	return decision.ClientDisconnected{Request: f.request("job")}
}

func decodeAttemptEnd(_ *Reader, f *fields) decision.Event {
	e := decision.AttemptEnded{Request: f.request("job")}
	e.Latency = f.millis("wait-time-ms")
	e.Units = f.float("cost")
	f.int("usage")
	e.Outcome = word(f, "how", outcomes)
	e.Backend = f.backend("backend")
	e.Answered = f.bool("settled")
	e.Attempt = f.int("go")
	e.Load = f.load("load")
	return e
}

func decodeStreamStart(_ *Reader, f *fields) decision.Event {
	e := decision.StreamStarted{Request: f.request("job")}
	e.Attempt = f.int("go")
	e.Backend = f.backend("backend")
	f.millis("wait-time-ms")
	return e
}

func decodeProbeEnd(_ *Reader, f *fields) decision.Event {
	e := decision.ProbeEnded{Backend: f.backend("backend")}
	e.Outcome = word(f, "how", outcomes)
	f.millis("wait-time-ms")
	e.Load = f.load("load")
	return e
}

func decodeCounterReply(_ *Reader, f *fields) decision.Event {
	e := decision.CounterReplied{Outcome: word(f, "how", outcomes)}
	f.millis("wait-time-ms")
	e.Total = f.float("sum")
	e.Name = f.text("counter-key")
	return e
}

func decodeEndpoints(r *Reader, f *fields) decision.Event {
	var e decision.EndpointsChanged
	switch mode := f.text("mode"); mode {
	case "update":
	case "replace":
		e.Full = true
	case "restored":
		e.Full, e.Cached = true, true
	case "unavailable":
		e.Failed = true
	default:
		f.fail("mode", mode, "update, replace, restored or unavailable")
	}
	if number := f.int("roster-id"); !e.Failed && f.err == nil {
		list, ok := r.lists[number]
		if !ok {
			f.fail("roster-id", strconv.Itoa(number), "the number of a census sent before")
		}
		e.Endpoints = list
	}
	f.text("serial")
	return e
}

func decodeTimer(_ *Reader, f *fields) decision.Event {
	return decision.TimerFired{Timer: f.timer("token")}
}

// decodePeerMessage reads a message of another instance. It returns nil because package decision does not use it.
func decodePeerMessage(_ *Reader, f *fields) decision.Event {
	f.int("from")
	return nil
}
