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
	states
)

// step is what can happen to an exchange.
type step uint8

const (
	stepSend   step = iota // the gateway sends an attempt
	stepRefuse             // the gateway refuses
	stepFail               // the gateway gives up
	stepCancel             // the gateway withdraws an attempt
	stepLost               // an attempt ended without an answer for the client
	stepAnswer             // a whole answer came
	stepBegin              // an answer has begun that is too large to hold
	stepEnd                // the relayed answer is over, or broke off
	stepLeave              // the client is gone
	steps
)

// move is what becomes of a step: the next state, and whether the step is carried out. What is not carried out is
// dropped: an answer after the final one goes nowhere.
type move struct {
	next State
	act  bool
}

// moves is the whole life of an exchange. "Exactly one final answer" can be read off it: the steps that answer a
// client (refuse, fail, answer, begin, leave) act in Deciding and Trying only, and lead out of them for good.
var moves = [states][steps]move{
	Deciding: {
		stepSend: {Forwarding, true}, stepRefuse: {Done, true}, stepFail: {Done, true}, stepCancel: {Deciding, false},
		stepLost: {Deciding, false}, stepAnswer: {Deciding, false}, stepBegin: {Deciding, false},
		stepEnd: {Deciding, false}, stepLeave: {Done, true},
	},
	Forwarding: {
		stepSend: {Forwarding, true}, stepRefuse: {Done, true}, stepFail: {Done, true}, stepCancel: {Forwarding, true},
		stepLost: {Forwarding, true}, stepAnswer: {Done, true}, stepBegin: {Streaming, true},
		stepEnd: {Forwarding, false}, stepLeave: {Done, true},
	},
	Streaming: {
		stepSend: {Streaming, false}, stepRefuse: {Streaming, false}, stepFail: {Streaming, false},
		stepCancel: {Streaming, true}, stepLost: {Streaming, true}, stepAnswer: {Streaming, false},
		stepBegin: {Streaming, false}, stepEnd: {Done, true}, stepLeave: {Done, true},
	},
	Done: {
		stepSend: {Done, false}, stepRefuse: {Done, false}, stepFail: {Done, false}, stepCancel: {Done, true},
		stepLost: {Done, true}, stepAnswer: {Done, false}, stepBegin: {Done, false}, stepEnd: {Done, false},
		stepLeave: {Done, false},
	},
}

// Exchange is a request from its last byte until its answer's last byte.
type Exchange struct {
	Owner                any // the runtime's connection; handed back with wishes
	ID                   decision.RequestID
	protocol.RequestInfo // Patience counts from Arrived
	Method               string
	Minor                int  // the client's HTTP/1.Minor
	Close                bool // the connection ends with this answer
	Rendered             []byte
	Arrived              time.Duration
	Status               int // of the final answer, 0 while there is none

	state    State
	attempts []attempt
	open     int          // attempts out
	relay    int          // the attempt whose answer flows,
	carrier  *BackendConn // and its line
	probe    decision.BackendID
	isProbe  bool
	left     atomic.Bool // its client has gone; set where that is seen, before the core is told
	head     int         // of Wire: where an attempt adds fields; 0: nowhere
	held     int         // bytes reserved in Shared.Memory
}

// attempt is one send of an exchange.
type attempt struct {
	line  *BackendConn
	sent  time.Duration
	until time.Duration // when it is given up
	wrote time.Duration // when it went out on its line; 0: it has not
	open  bool
}

// take carries out a step on the state and tells whether it acts.
func (ex *Exchange) take(s step) bool {
	m := moves[ex.state][s]
	ex.state = m.next
	return m.act
}

// State tells where the exchange stands; for its owner.
func (ex *Exchange) State() State { return ex.state }
