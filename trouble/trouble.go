// Package trouble is the one vocabulary for what can go wrong: each verb is defined here, and means the same for
// stand-ins on sockets and in virtual time.
package trouble

import (
	"fmt"
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
	Slow   Verb = "slow"   // work takes value times as long
	Hang   Verb = "hang"   // requests are taken and neither worked on nor answered
	Reset  Verb = "reset"  // the work is done; the connection is reset after value bytes of the answer
	Lose   Verb = "lose"   // the work is done; the connection is closed without an answer
	Fault  Verb = "fault"  // requests are answered 500 at once, unworked; value is their share
	Refuse Verb = "refuse" // connections are refused, those there are closed; of the keeper, too
	Lie    Verb = "lie"    // load reports are value times the truth
	Stall  Verb = "stall"  // everything stands still, and goes on where it was; of the keeper, too
	// Of the tally keeper.
	Silent Verb = "silent" // calls are counted and not answered
	Delay  Verb = "delay"  // answers take value milliseconds more; of boxes, too
	Empty  Verb = "empty"  // all totals are lost, at once
	// Of processes and the list.
	Kill    Verb = "kill"    // the process ends at once and starts anew after the duration; cold, if a box
	Drain   Verb = "drain"   // the list says draining; after the duration the box is gone
	Replace Verb = "replace" // the same, and a cold replacement is listed when it goes
	Leave   Verb = "leave"   // the list loses the target without notice
	// Of traffic.
	Surge Verb = "surge" // value times the usual traffic, of a plan or studio, or all
	Move  Verb = "move"  // studios' traffic goes to other front doors of theirs
)

var verbs = []Verb{Slow, Hang, Reset, Lose, Fault, Refuse, Lie, Stall, Silent, Delay, Empty, Kill, Drain, Replace, Leave,
	Surge, Move}

// Valued lists the verbs that need a value.
var valued = []Verb{Slow, Lie, Delay, Surge}

// Event is one trouble of a script: a verb, whom it meets, when and for how long.
type Event struct {
	At     time.Duration
	For    time.Duration // 0: until the end, or for verbs without duration
	Verb   Verb
	Target string // boxes, keeper, a door, a plan or studio; * for all of the verb's kind
	Value  float64
}

// Parse reads the short form of a verb with its value, as stand-ins take it: "slow 3", "hang", "reset 10".
func Parse(s string) (Verb, float64, error) {
	word, rest, has := strings.Cut(strings.TrimSpace(s), " ")
	v := Verb(word)
	if !slices.Contains(verbs, v) {
		return "", 0, fmt.Errorf("%q: expected one of %s", word, strings.Trim(fmt.Sprint(verbs), "[]"))
	}
	if !has {
		if slices.Contains(valued, v) {
			return "", 0, fmt.Errorf("%s: a value is missing", v)
		}
		if v == Fault {
			return v, 1, nil
		}
		return v, 0, nil
	}
	x, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
	if err != nil || !(x >= 0) || x > 1e9 {
		return "", 0, fmt.Errorf("%s: %q: expected a number, 0 or more", v, rest)
	}
	return v, x, nil
}
