// Package simwire implements the simulator's wire protocol: lines of fields that are separated by tabs. It parses
// batches of messages into the events of package decision and prints the actions. The words of the protocol are used
// only in this package. It makes no decisions.
package simwire

import (
	"time"

	"sandyard/decision"
)

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	Event Kind = iota // an event for an instance
	Start             // an instance starts without any state
	Stop              // an instance is killed and loses its state
)

// Message is one line of a batch, for one instance.
type Message struct {
	Instance string
	Kind     Kind
	Event    decision.Event    // for kind Event; nil for a message that package decision does not use
	Seed     uint64            // for kind Start
	Settings decision.Settings // for kind Start
}

// Batch holds the messages of one point in time.
type Batch struct {
	Now      time.Duration // on the simulator's clock
	Messages []Message     // in the order of the wire
}
