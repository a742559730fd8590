// Package simwire is the adapter of the simulator's wire: lines of fields, separated by tabs. It parses batches of
// messages into the events of package decision and prints actions. The wire's own words are known to this package alone;
// it decides nothing.
package simwire

import (
	"time"

	"sandyard/decision"
)

// Kind says what a Message is.
type Kind int

// The kinds of messages.
const (
	Event Kind = iota // something happened
	Start             // an instance starts, without a past
	Stop              // an instance is killed and forgets everything
)

// Message is one line of a batch, for one instance.
type Message struct {
	Instance string
	Kind     Kind
	Event    decision.Event    // with Event; nil for one that means nothing to the decisions
	Seed     uint64            // with Start
	Settings decision.Settings // with Start
}

// Batch is what happened at one time.
type Batch struct {
	Now      time.Duration // on the simulator's clock
	Messages []Message     // in the order of the wire
}
