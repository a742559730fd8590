package proxy

import (
	"sync/atomic"
	"time"

	"sandyard/decision"
	"sandyard/internal/protocol"
)

// State is where an exchange stands. An exchange has exactly one final answer: the one given by the step that leads
// to Done or to Relaying, neither of which can be taken twice.
type State uint8

// The states.
const (
	Deciding   State = iota // the gateway holds it; nothing is out
	Forwarding              // an attempt was sent
	Streaming               // an answer has begun to flow to the client
	Done                    // answered, or its client left; attempts may still be out
	stateCount
)

// exchangeEvent is what can happen to an exchange.
type exchangeEvent uint8

const (
	eventAttemptSent      exchangeEvent = iota // the gateway sends an attempt
	eventRejected                              // the gateway refuses
	eventFailed                                // the gateway gives up
	eventAttemptCancelled                      // the gateway withdraws an attempt
	eventAttemptLost                           // an attempt ended without an answer for the client
	eventResponseComplete                      // a whole answer came
	eventResponseStarted                       // an answer has begun that is too large to hold
	eventResponseEnded                         // the relayed answer is over, or broke off
	eventClientLeft                            // the client is gone
	eventCount
)

// transition is what becomes of a step: the next state, and whether the step is carried out. What is not carried out is
// dropped: an answer after the final one goes nowhere.
type transition struct {
	next     State
	accepted bool
}

// transitions is the whole life of an exchange. "Exactly one final answer" can be read off it: the steps that answer a
// client (refuse, fail, answer, begin, leave) act in Deciding and Trying only, and lead out of them for good.
var transitions = [stateCount][eventCount]transition{
	Deciding: {
		eventAttemptSent: {Forwarding, true}, eventRejected: {Done, true}, eventFailed: {Done, true}, eventAttemptCancelled: {Deciding, false},
		eventAttemptLost: {Deciding, false}, eventResponseComplete: {Deciding, false}, eventResponseStarted: {Deciding, false},
		eventResponseEnded: {Deciding, false}, eventClientLeft: {Done, true},
	},
	Forwarding: {
		eventAttemptSent: {Forwarding, true}, eventRejected: {Done, true}, eventFailed: {Done, true}, eventAttemptCancelled: {Forwarding, true},
		eventAttemptLost: {Forwarding, true}, eventResponseComplete: {Done, true}, eventResponseStarted: {Streaming, true},
		eventResponseEnded: {Forwarding, false}, eventClientLeft: {Done, true},
	},
	Streaming: {
		eventAttemptSent: {Streaming, false}, eventRejected: {Streaming, false}, eventFailed: {Streaming, false},
		eventAttemptCancelled: {Streaming, true}, eventAttemptLost: {Streaming, true}, eventResponseComplete: {Streaming, false},
		eventResponseStarted: {Streaming, false}, eventResponseEnded: {Done, true}, eventClientLeft: {Done, true},
	},
	Done: {
		eventAttemptSent: {Done, false}, eventRejected: {Done, false}, eventFailed: {Done, false}, eventAttemptCancelled: {Done, true},
		eventAttemptLost: {Done, true}, eventResponseComplete: {Done, false}, eventResponseStarted: {Done, false}, eventResponseEnded: {Done, false},
		eventClientLeft: {Done, false},
	},
}

// Exchange is a request from its last byte until its answer's last byte.
type Exchange struct {
	Owner                any // the runtime's connection; handed back with wishes
	ID                   decision.RequestID
	protocol.RequestInfo // Patience counts from Arrived
	Method               string
	MinorVersion         int  // the client's HTTP/1.Minor
	CloseAfterResponse   bool // the connection ends with this answer
	RenderedRequest      []byte
	Arrived              time.Duration
	Status               int // of the final answer, 0 while there is none

	state            State
	attempts         []attempt
	openAttempts     int          // attempts out
	streamingAttempt int          // the attempt whose answer flows,
	streamingConn    *BackendConn // and its line
	probedBackend    decision.BackendID
	isProbe          bool
	clientLeft       atomic.Bool // its client has gone; set where that is seen, before the core is told
	attemptFieldsAt  int         // of Wire: where an attempt adds fields; 0: nowhere
	reservedBytes    int         // bytes reserved in Shared.Memory
}

// apply carries out a step on the state and tells whether it acts.
func (ex *Exchange) apply(event exchangeEvent) bool {
	transition := transitions[ex.state][event]
	ex.state = transition.next
	return transition.accepted
}

// State tells where the exchange stands; for its owner.
func (ex *Exchange) State() State { return ex.state }
