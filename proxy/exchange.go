package proxy

import (
	"sync/atomic"
	"time"

	"sandyard/decision"
	"sandyard/internal/protocol"
)

// State is where an exchange stands.
type State uint8

// The states of an exchange, in the order in which they are passed through; none is entered again once left.
const (
	Deciding   State = iota // the decision gateway holds it; no attempt was sent
	Forwarding              // an attempt was sent, and no answer has been given
	Streaming               // a response has begun to flow to the client
	Done                    // answered, or its client left; attempts may still be open
	stateCount
)

// exchangeEvent is what can happen to an exchange.
type exchangeEvent uint8

// The events of an exchange.
const (
	eventAttemptSent      exchangeEvent = iota // the decision gateway sends an attempt
	eventRejected                              // the decision gateway rejects the request
	eventFailed                                // the decision gateway gives the request up
	eventAttemptCancelled                      // the decision gateway cancels an attempt
	eventAttemptLost                           // an attempt ended without an answer for the client
	eventResponseComplete                      // a complete response came
	eventResponseStarted                       // a response has begun that is streamed
	eventResponseEnded                         // the streamed response is complete, or broke off
	eventClientLeft                            // the client's connection is gone
	eventCount
)

// transition is what an event does in a state.
type transition struct {
	next     State
	accepted bool // else the event is dropped: nothing is done and the state stays
}

// transitions is the life of an exchange, with an entry for every event in every state.
//
// Exactly one final answer can be read from it. The client is answered by the events Rejected, Failed, ResponseComplete
// and ResponseStarted. They are accepted in Deciding and Forwarding only, and all lead to Done or Streaming, from which
// neither state is reached again. ClientLeft ends the exchange without an answer, from any state but Done.
//
// In Deciding no attempt is open, so that nothing can be cancelled or lost and no response can come.
var transitions = [stateCount][eventCount]transition{
	Deciding: {
		eventAttemptSent:      {Forwarding, true},
		eventRejected:         {Done, true},
		eventFailed:           {Done, true},
		eventAttemptCancelled: {Deciding, false},
		eventAttemptLost:      {Deciding, false},
		eventResponseComplete: {Deciding, false},
		eventResponseStarted:  {Deciding, false},
		eventResponseEnded:    {Deciding, false},
		eventClientLeft:       {Done, true},
	},
	Forwarding: {
		eventAttemptSent:      {Forwarding, true}, // a retry or a hedged request
		eventRejected:         {Done, true},
		eventFailed:           {Done, true},
		eventAttemptCancelled: {Forwarding, true},
		eventAttemptLost:      {Forwarding, true}, // the decision gateway chooses what follows
		eventResponseComplete: {Done, true},
		eventResponseStarted:  {Streaming, true},
		eventResponseEnded:    {Forwarding, false}, // no response flows
		eventClientLeft:       {Done, true},
	},
	Streaming: {
		eventAttemptSent:      {Streaming, false},
		eventRejected:         {Streaming, false}, // the response that flows is the answer
		eventFailed:           {Streaming, false},
		eventAttemptCancelled: {Streaming, true}, // other attempts may be open
		eventAttemptLost:      {Streaming, true},
		eventResponseComplete: {Streaming, false}, // of another attempt
		eventResponseStarted:  {Streaming, false},
		eventResponseEnded:    {Done, true},
		eventClientLeft:       {Done, true},
	},
	Done: {
		eventAttemptSent:      {Done, false},
		eventRejected:         {Done, false},
		eventFailed:           {Done, false},
		eventAttemptCancelled: {Done, true}, // attempts that are still open
		eventAttemptLost:      {Done, true},
		eventResponseComplete: {Done, false}, // the client was answered, or has left
		eventResponseStarted:  {Done, false},
		eventResponseEnded:    {Done, false},
		eventClientLeft:       {Done, false},
	},
}

// Exchange is a request from its last byte until the last byte of its answer and the end of its last attempt.
//
// A ClientConn makes it and fills the exported fields but ID and Status. From Instance.RequestArrived on it belongs to the
// instance's owner; only unawaited is written by others.
type Exchange struct {
	Owner                any                // the runtime's connection, as given to NewClientConn; for the runtime's use
	ID                   decision.RequestID // set by RequestArrived
	protocol.RequestInfo                    // Timeout counts from Arrived
	Method               string
	MinorVersion         int           // the client's: 1 is HTTP/1.1
	CloseAfterResponse   bool          // the client's connection ends with the answer
	RenderedRequest      []byte        // the request as backends get it, but for what an attempt adds
	Arrived              time.Duration // when its last byte was received
	Status               int           // of the final answer; 0 while there is none

	state            State
	latenessMargin   time.Duration      // by which it is answered earlier, since timers may be late
	attempts         []attempt          // by number, from 0
	openAttempts     int                // those of attempts that have not ended
	streamingAttempt int                // in Streaming: the number of the attempt whose response flows
	streamingConn    *BackendConn       // and its connection
	isProbe          bool               // a health check of the instance's own, which has no client
	probedBackend    decision.BackendID // where isProbe
	unawaited        atomic.Bool        // its client has left, or its connection has answered in place of the instance
	attemptFieldsAt  int                // offset in RenderedRequest at which an attempt adds header fields; 0: none are added
	reservedBytes    int                // reserved in Shared.ReservedBytes until the exchange is released
}

// apply moves the exchange as the table says and reports whether the event is accepted.
//
// Where it is not, nothing may be sent to the client for it, and nothing cancelled. The end of an attempt is booked all the
// same, whatever the state: abandonAttempt and failAttempt ignore the result of eventAttemptLost, and sendAttempt, which
// has opened the attempt by then, ends it as not sent.
func (ex *Exchange) apply(event exchangeEvent) bool {
	transition := transitions[ex.state][event]
	ex.state = transition.next
	return transition.accepted
}

// State reports where the exchange stands. Only the instance's owner may call it.
func (ex *Exchange) State() State { return ex.state }
