// Package fault is the one vocabulary for what can go wrong: each verb is defined here, and means the same for
// stand-ins on sockets and in virtual time.
package fault

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Verb says what goes wrong.
type Verb string

// The verbs, with what their value says.
const (
	// Of boxes.
	Slow          Verb = "slow"   // work takes value times as long
	Hang          Verb = "hang"   // requests are taken and neither worked on nor answered
	ResetResponse Verb = "reset"  // the work is done; the connection is reset after value bytes of the answer
	DropResponse  Verb = "lose"   // the work is done; the connection is closed without an answer
	ServerErrors  Verb = "fault"  // requests are answered 500 at once, unworked; value is their share
	Refuse        Verb = "refuse" // connections are refused, those there are closed; of the keeper, too
	ExtraResponse Verb = "trail"  // each answer is followed by another that nobody asked for
	FalseReports  Verb = "lie"    // load reports are value times the truth; below 0 they are what no box can have
	Stall         Verb = "stall"  // everything stands still, and goes on where it was; of the keeper, too
	// Of the tally keeper.
	NoReply       Verb = "silent" // calls are counted and not answered
	Delay         Verb = "delay"  // answers take value milliseconds more; of boxes, too
	ResetTotals   Verb = "empty"  // all totals are lost, at once
	Rollback      Verb = "old"    // totals go back to what they were value milliseconds ago, at once
	PartialOutage Verb = "part"   // calls for a share of the names, value, are refused
	Split         Verb = "split"  // a share of the front doors, value, is served by a copy that does not see the others; it is lost at the end
	// Of processes and the list.
	Kill    Verb = "kill"    // the process ends at once and starts anew after the duration; cold, if a box
	Drain   Verb = "drain"   // the list says draining; after the duration the box is gone
	Replace Verb = "replace" // the same, and a cold replacement is listed when it goes
	Vanish  Verb = "leave"   // the list loses the target without notice
	// Of the network, in virtual time only. The target is a process (all its links), or two: "door-1/box-2".
	Partition       Verb = "partition" // nothing passes, either way
	OneWayPartition Verb = "oneway"    // nothing passes from the first to the second
	AddedLatency    Verb = "lag"       // value milliseconds more, each way
	Throttle        Verb = "throttle"  // value bytes a second, each way
	NotAccepting    Verb = "deaf"      // connections are not accepted: they wait
	// Of processes, in virtual time only.
	Pause            Verb = "pause"       // the process stands still; the network goes on
	DescriptorLimit  Verb = "descriptors" // a door has value descriptors for connections
	TornEndpointFile Verb = "torn"        // the list is replaced half-written, and repaired after the duration
	InvalidReplies   Verb = "garble"      // the keeper answers something else than its protocol
	// Of traffic.
	Surge           Verb = "surge" // value times the usual traffic, of a plan or studio, or all
	MoveTraffic     Verb = "move"  // studios' traffic goes to other front doors of theirs
	ClientsAbort    Verb = "quit"  // a share of the clients, value, leave before their answer
	SlowClients     Verb = "drip"  // a share of the clients, value, send and read slowly
	InvalidRequests Verb = "noise" // a share of the clients, value, send what is no request
)

var verbs = []Verb{Slow, Hang, ResetResponse, DropResponse, ServerErrors, Refuse, ExtraResponse, FalseReports, Stall, NoReply, Delay, ResetTotals, Rollback, PartialOutage, Split, Kill, Drain, Replace, Vanish,
	Surge, MoveTraffic, ClientsAbort, SlowClients, InvalidRequests, Partition, OneWayPartition, AddedLatency, Throttle, NotAccepting, Pause, DescriptorLimit, TornEndpointFile, InvalidReplies}

// verbsWithValue lists the verbs that need a value.
var verbsWithValue = []Verb{Slow, FalseReports, Delay, Rollback, PartialOutage, Split, Surge, ClientsAbort, SlowClients, InvalidRequests, AddedLatency, Throttle, DescriptorLimit}

// Event is one trouble of a script: a verb, whom it meets, when and for how long.
type Event struct {
	At       time.Duration
	Duration time.Duration // 0: until the end, or for verbs without duration
	Verb     Verb
	Target   string // boxes, keeper, a door, a plan or studio; * for all of the verb's kind
	Value    float64
}

// Parse reads the short form of a verb with its value, as stand-ins take it: "slow 3", "hang", "reset 10".
func Parse(s string) (Verb, float64, error) {
	word, rest, has := strings.Cut(strings.TrimSpace(s), " ")
	v := Verb(word)
	if !slices.Contains(verbs, v) {
		return "", 0, fmt.Errorf("%q: expected one of %s", word, strings.Trim(fmt.Sprint(verbs), "[]"))
	}
	if !has {
		if slices.Contains(verbsWithValue, v) {
			return "", 0, fmt.Errorf("%s: a value is missing", v)
		}
		if v == ServerErrors {
			return v, 1, nil
		}
		return v, 0, nil
	}
	x, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
	if err != nil || !(x >= 0) && v != FalseReports || !(math.Abs(x) <= 1e9) {
		return "", 0, fmt.Errorf("%s: %q: expected a number, 0 or more", v, rest)
	}
	return v, x, nil
}
