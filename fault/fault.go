// Package fault is the one vocabulary for what can go wrong: each verb is defined here, and means the same for emulators on
// sockets and in the simulator. Scripts and control connections hold verbs in the words that are their values.
package fault

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Verb says what goes wrong.
type Verb string

// Faults of backends; some are also of the counter.
const (
	// Slow makes work take value times as long.
	Slow Verb = "slow"
	// Hang takes requests and neither works on nor responds to them.
	Hang Verb = "hang"
	// ResetResponse does the work and resets the connection after value bytes of the response.
	ResetResponse Verb = "reset"
	// DropResponse does the work and closes the connection without a response.
	DropResponse Verb = "lose"
	// ServerErrors responds 500 at once, without work, to a share of the requests, value.
	ServerErrors Verb = "fault"
	// Refuse refuses connections and closes those there are; of the counter, too.
	Refuse Verb = "refuse"
	// ExtraResponse follows each response with another that nobody asked for.
	ExtraResponse Verb = "trail"
	// FalseReports makes load reports value times the truth; below 0 they are what no backend can have.
	FalseReports Verb = "lie"
	// Stall stops everything, which goes on where it was; of the counter, too.
	Stall Verb = "stall"
	// Delay holds responses back for value milliseconds; of the counter, too.
	Delay Verb = "delay"
)

// Faults of the counter.
const (
	// NoReply counts calls and does not reply.
	NoReply Verb = "silent"
	// ResetTotals drops all totals, at once.
	ResetTotals Verb = "empty"
	// Rollback takes totals back to what they were value milliseconds ago, at once.
	Rollback Verb = "old"
	// PartialOutage refuses calls for a share of the names, value.
	PartialOutage Verb = "part"
	// Split has a share of the instances, value, served by a copy that does not see the others; it is dropped at the end.
	Split Verb = "split"
	// InvalidReplies replies with something else than the protocol; in the simulator only.
	InvalidReplies Verb = "garble"
)

// Faults of processes and of the endpoint list.
const (
	// Kill ends the process at once and restarts it after the duration; a backend is in slow start then.
	Kill Verb = "kill"
	// Drain lists a backend as draining, and removes it after the duration, but not before the drain grace is over; its
	// process ends some time later.
	Drain Verb = "drain"
	// Replace does the same, and lists a replacement in slow start when the backend is removed.
	Replace Verb = "replace"
	// Vanish removes the target from the list without notice; its process ends some time later.
	Vanish Verb = "leave"
	// Pause suspends the process while the network goes on; in the simulator only.
	Pause Verb = "pause"
	// DescriptorLimit leaves an instance value descriptors for connections; in the simulator only.
	DescriptorLimit Verb = "descriptors"
	// TornEndpointFile replaces the endpoint list half-written, and repairs it after the duration; in the simulator only.
	TornEndpointFile Verb = "torn"
)

// Faults of the network, in the simulator only. The target is a process, for all its links, or two: "door-1/box-2".
const (
	// Partition lets nothing pass, either way.
	Partition Verb = "partition"
	// OneWayPartition lets nothing pass from the first to the second.
	OneWayPartition Verb = "oneway"
	// AddedLatency adds value milliseconds, each way.
	AddedLatency Verb = "lag"
	// Throttle passes value bytes a second, each way.
	Throttle Verb = "throttle"
	// NotAccepting leaves connections waiting to be accepted.
	NotAccepting Verb = "deaf"
)

// Faults of traffic.
const (
	// Surge multiplies the usual traffic of a plan or customer, or all, by value.
	Surge Verb = "surge"
	// MoveTraffic moves customers' traffic to other instances of theirs, at once.
	MoveTraffic Verb = "move"
	// ClientsAbort has a share of the clients, value, leave before their response.
	ClientsAbort Verb = "quit"
	// SlowClients has a share of the clients, value, send and read slowly.
	SlowClients Verb = "drip"
	// InvalidRequests has a share of the clients, value, send what is no request.
	InvalidRequests Verb = "noise"
)

// Targets of events that are no name of a process, plan or customer.
const (
	TargetAll       = "*"       // all of the verb's kind
	TargetBackends  = "boxes"   // all backends
	TargetInstances = "doors"   // all proxy instances
	TargetCounter   = "keeper"  // the shared counter
	TargetClients   = "clients" // of links only: the host of all clients
)

// verbs lists all verbs, in the order in which an error names them.
var verbs = []Verb{Slow, Hang, ResetResponse, DropResponse, ServerErrors, Refuse, ExtraResponse, FalseReports, Stall, NoReply, Delay, ResetTotals,
	Rollback, PartialOutage, Split, Kill, Drain, Replace, Vanish, Surge, MoveTraffic, ClientsAbort, SlowClients, InvalidRequests, Partition,
	OneWayPartition, AddedLatency, Throttle, NotAccepting, Pause, DescriptorLimit, TornEndpointFile, InvalidReplies}

// verbsWithValue lists the verbs that need a value.
var verbsWithValue = []Verb{Slow, FalseReports, Delay, Rollback, PartialOutage, Split, Surge, ClientsAbort, SlowClients, InvalidRequests,
	AddedLatency, Throttle, DescriptorLimit}

// maxValue is the largest value of any verb: beyond it a product of times would overflow.
const maxValue = 1e9

// Event is one fault of a script.
type Event struct {
	At       time.Duration // since the start of the script
	Duration time.Duration // 0: until the end, or for verbs without duration
	Verb     Verb
	Target   string // the name of a process, plan or customer, two processes for a link, or one of the targets above
	Value    float64
}

// What can be wrong with a fault's text; a ParseError wraps one of them.
var (
	ErrUnknownVerb  = errors.New("unknown verb")
	ErrMissingValue = errors.New("a value is missing")
	ErrInvalidValue = errors.New("not a value of this verb")
)

// ParseError is a text that is no fault.
type ParseError struct {
	Verb  string // the text's first word
	Value string // the rest, if that is what is wrong
	Err   error  // ErrUnknownVerb, ErrMissingValue or ErrInvalidValue
}

func (e *ParseError) Error() string {
	switch e.Err {
	case ErrUnknownVerb:
		return fmt.Sprintf("%q: expected one of %s", e.Verb, strings.Trim(fmt.Sprint(verbs), "[]"))
	case ErrInvalidValue:
		return fmt.Sprintf("%s: %q: expected a number, 0 or more", e.Verb, e.Value)
	}
	return e.Verb + ": " + e.Err.Error()
}

// Unwrap returns the kind of mistake.
func (e *ParseError) Unwrap() error { return e.Err }

// Parse reads the short form of a verb with its value, as emulators take it: "slow 3", "hang", "reset 10". The error is a
// *ParseError.
func Parse(text string) (Verb, float64, error) {
	word, rest, hasValue := strings.Cut(strings.TrimSpace(text), " ")
	verb := Verb(word)
	if !slices.Contains(verbs, verb) {
		return "", 0, &ParseError{Verb: word, Err: ErrUnknownVerb}
	}
	if !hasValue {
		if slices.Contains(verbsWithValue, verb) {
			return "", 0, &ParseError{Verb: word, Err: ErrMissingValue}
		}
		return verb, defaultValue(verb), nil
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
	if err != nil || !(value >= 0) && verb != FalseReports || !(math.Abs(value) <= maxValue) {
		return "", 0, &ParseError{Verb: word, Value: rest, Err: ErrInvalidValue}
	}
	return verb, value, nil
}

// defaultValue is the value of a verb that is written without one.
func defaultValue(v Verb) float64 {
	if v == ServerErrors {
		return 1 // all requests
	}
	return 0
}
