// Package fault defines the verbs of fault injection. Each verb means the same for emulators on sockets and in the simulator.
// Scripts and control connections contain verbs as their string values.
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

// Verb is a kind of fault.
type Verb string

// Faults of backends. Some also apply to the counter.
const (
	// Slow multiplies the duration of work by value.
	Slow Verb = "slow"
	// Hang accepts requests but neither executes nor answers them.
	Hang Verb = "hang"
	// ResetResponse executes requests and resets the connection after value bytes of the response.
	ResetResponse Verb = "reset"
	// DropResponse executes requests and closes the connection without a response.
	DropResponse Verb = "lose"
	// ServerErrors answers requests with 500 at once, without executing them. The share of these requests is value.
	ServerErrors Verb = "fault"
	// Refuse refuses new connections and closes the open ones. It also applies to the counter.
	Refuse Verb = "refuse"
	// ExtraResponse sends an unsolicited response after each response.
	ExtraResponse Verb = "trail"
	// ShortLength states half of the body's length in each response. The body follows whole.
	ShortLength Verb = "short"
	// FalseReports multiplies the values of load reports by value. With a negative value the reports are impossible.
	FalseReports Verb = "lie"
	// Stall stops all processing, which resumes where it stopped when the fault ends. It also applies to the counter.
	Stall Verb = "stall"
	// Delay delays responses by value milliseconds. It also applies to the counter.
	Delay Verb = "delay"
)

// Faults of the counter.
const (
	// NoReply executes calls but does not reply.
	NoReply Verb = "silent"
	// ResetTotals removes all totals, at once.
	ResetTotals Verb = "empty"
	// Rollback restores all totals to their values of value milliseconds ago, at once.
	Rollback Verb = "old"
	// PartialOutage refuses calls for some of the names. Their share is value.
	PartialOutage Verb = "part"
	// Split serves some of the instances from a separate copy of the totals, which is discarded when the fault ends. The share of
	// these instances is value.
	Split Verb = "split"
	// InvalidReplies sends replies that violate the protocol. It exists in the simulator only.
	InvalidReplies Verb = "garble"
)

// Faults of processes and of the endpoint list.
const (
	// Kill ends the process at once and restarts it after the duration. A restarted backend is in slow start.
	Kill Verb = "kill"
	// Drain lists a backend as draining, and removes it from the list after the duration, but not before the end of the drain
	// grace. Its process ends some time later.
	Drain Verb = "drain"
	// Replace does the same as Drain, and lists a replacement in slow start when it removes the backend.
	Replace Verb = "replace"
	// Vanish removes the target from the list without notice. Its process ends some time later.
	Vanish Verb = "leave"
	// Pause suspends the process while the network continues. It exists in the simulator only.
	Pause Verb = "pause"
	// DescriptorLimit limits an instance to value descriptors for connections. It exists in the simulator only.
	DescriptorLimit Verb = "descriptors"
	// TornEndpointFile replaces the endpoint list by a half-written one, and repairs it after the duration. It exists in the
	// simulator only.
	TornEndpointFile Verb = "torn"
)

// Faults of the network, in the simulator only. The target is a process, for all its links, or a pair of processes for the link
// between them: "door-1/box-2".
const (
	// Partition blocks traffic in both directions.
	Partition Verb = "partition"
	// OneWayPartition blocks traffic from the first process to the second.
	OneWayPartition Verb = "oneway"
	// AddedLatency adds value milliseconds of latency in each direction.
	AddedLatency Verb = "lag"
	// Throttle limits the bandwidth to value bytes per second in each direction.
	Throttle Verb = "throttle"
	// NotAccepting stops the accepting of connections, which wait in the backlog.
	NotAccepting Verb = "deaf"
)

// Faults of traffic.
const (
	// Surge multiplies the usual traffic of a plan, of a customer or of all customers by value.
	Surge Verb = "surge"
	// MoveTraffic moves traffic of customers to other instances that they use, at once.
	MoveTraffic Verb = "move"
	// ClientsAbort makes some of the clients disconnect before their response. Their share is value.
	ClientsAbort Verb = "quit"
	// SlowClients makes some of the clients send and read slowly. Their share is value.
	SlowClients Verb = "drip"
	// InvalidRequests makes some of the clients send bytes that are not a valid request. Their share is value.
	InvalidRequests Verb = "noise"
)

// Targets of events other than the name of a process, plan or customer.
const (
	TargetAll       = "*"       // all targets of the kind that the verb applies to
	TargetBackends  = "boxes"   // all backends
	TargetInstances = "doors"   // all proxy instances
	TargetCounter   = "keeper"  // the shared counter
	TargetClients   = "clients" // the host of all clients; only in links
)

// verbs lists all verbs, in the order used in error messages.
var verbs = []Verb{Slow, Hang, ResetResponse, DropResponse, ServerErrors, Refuse, ExtraResponse, ShortLength, FalseReports, Stall, NoReply, Delay,
	ResetTotals, Rollback, PartialOutage, Split, Kill, Drain, Replace, Vanish, Surge, MoveTraffic, ClientsAbort, SlowClients, InvalidRequests, Partition,
	OneWayPartition, AddedLatency, Throttle, NotAccepting, Pause, DescriptorLimit, TornEndpointFile, InvalidReplies}

// verbsWithValue lists the verbs that need a value.
var verbsWithValue = []Verb{Slow, FalseReports, Delay, Rollback, PartialOutage, Split, Surge, ClientsAbort, SlowClients, InvalidRequests,
	AddedLatency, Throttle, DescriptorLimit}

// maxValue is the largest value of any verb. With larger values the multiplication of times would overflow.
const maxValue = 1e9

// Event is one fault of a script.
type Event struct {
	At       time.Duration // since the start of the script
	Duration time.Duration // 0: the fault lasts until the end of the script, or its verb takes effect at once
	Verb     Verb
	Target   string // the name of a process, plan or customer, two processes for a link, or one of the targets above
	Value    float64
}

// Errors of Parse. A ParseError wraps one of them.
var (
	ErrUnknownVerb  = errors.New("unknown verb")
	ErrMissingValue = errors.New("a value is missing")
	ErrInvalidValue = errors.New("not a value of this verb")
)

// ParseError is the error of a text that is not a valid fault.
type ParseError struct {
	Verb  string // the text's first word
	Value string // the rest of the text, if Err is ErrInvalidValue
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

// Unwrap returns Err.
func (e *ParseError) Unwrap() error { return e.Err }

// Parse parses the short form of a verb with its value, as emulators accept it: "slow 3", "hang", "reset 10". The error is a
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

// defaultValue returns the value of a verb that is written without one.
func defaultValue(v Verb) float64 {
	if v == ServerErrors {
		return 1 // all requests
	}
	return 0
}
