package proxy

import (
	"sync/atomic"
	"time"

	"sandyard/decision"
	"sandyard/internal/protocol"
)

// State is the state of an exchange.
type State uint8

// The states of an exchange, in order. An exchange never returns to an earlier state.
const (
	Deciding   State = iota // waiting for the decision gateway; no attempt was sent
	Forwarding              // an attempt was sent, and the client has no answer yet
	Streaming               // a response is being streamed to the client
	Done                    // answered, or the client left; attempts may still be open
	stateCount
)

// exchangeEvent is an event in the life of an exchange.
type exchangeEvent uint8

// The events of an exchange.
const (
	eventAttemptSent      exchangeEvent = iota // the decision gateway sends an attempt
	eventRejected                              // the decision gateway rejects the request
	eventFailed                                // the decision gateway fails the request
	eventAttemptCancelled                      // the decision gateway cancels an attempt
	eventAttemptLost                           // an attempt ended without an answer for the client
	eventResponseComplete                      // a complete response was received
	eventResponseStarted                       // the first part of a streamed response was received
	eventResponseEnded                         // the streamed response is complete, or was cut off
	eventClientLeft                            // the client disconnected
	eventCount
)

// transition is the effect of an event in a state.
type transition struct {
	next     State
	accepted bool // false: the event is dropped and the state does not change
}

// transitions is the state table of an exchange, with an entry for every event in every state.
//
// The table guarantees exactly one final answer. The events Rejected, Failed, ResponseComplete and ResponseStarted answer
// the client. They are accepted only in Deciding and Forwarding, and lead to Done or Streaming, from which no path leads
// back. ClientLeft ends the exchange without an answer, from any state except Done.
//
// In Deciding no attempt is open, so that no attempt can be cancelled or lost and no response can arrive.
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
		eventAttemptLost:      {Forwarding, true}, // the decision gateway retries or fails the request
		eventResponseComplete: {Done, true},
		eventResponseStarted:  {Streaming, true},
		eventResponseEnded:    {Forwarding, false}, // no response is being streamed
		eventClientLeft:       {Done, true},
	},
	Streaming: {
		eventAttemptSent:      {Streaming, false},
		eventRejected:         {Streaming, false}, // the streamed response is the answer
		eventFailed:           {Streaming, false},
		eventAttemptCancelled: {Streaming, true}, // other attempts may be open
		eventAttemptLost:      {Streaming, true},
		eventResponseComplete: {Streaming, false}, // the response of another attempt
		eventResponseStarted:  {Streaming, false},
		eventResponseEnded:    {Done, true},
		eventClientLeft:       {Done, true},
	},
	Done: {
		eventAttemptSent:      {Done, false},
		eventRejected:         {Done, false},
		eventFailed:           {Done, false},
		eventAttemptCancelled: {Done, true}, // attempts may still be open
		eventAttemptLost:      {Done, true},
		eventResponseComplete: {Done, false}, // the client was answered, or has left
		eventResponseStarted:  {Done, false},
		eventResponseEnded:    {Done, false},
		eventClientLeft:       {Done, false},
	},
}

// Exchange is a request from its last byte until the last byte of its answer and the end of its last attempt.
//
// A ClientConn creates it and sets the exported fields except ID and Status. From Instance.RequestArrived on, the exchange
// belongs to the instance's owner; other goroutines write only clientDone.
type Exchange struct {
	Owner                any                // the runtime's connection, as passed to NewClientConn; for the runtime's use
	ID                   decision.RequestID // set by RequestArrived
	protocol.RequestInfo                    // Timeout counts from Arrived
	Method               string
	MinorVersion         int           // minor HTTP version of the client: 1 for HTTP/1.1
	CloseAfterResponse   bool          // the client's connection is closed after the answer
	RenderedRequest      []byte        // the request as sent to backends, without the fields that each attempt adds
	Arrived              time.Duration // when its last byte was received; if it was read ahead, when the first byte of the read-ahead was
	Status               int           // of the final answer; 0 while there is none

	state            State
	timerDelayMargin time.Duration      // how much earlier it is answered because timers may fire late
	attempts         []attempt          // by attempt number, from 0
	openAttempts     int                // number of attempts that have not ended
	streamingAttempt int                // in Streaming: the number of the attempt whose response is streamed
	streamingConn    *BackendConn       // in Streaming: the connection of streamingAttempt
	mayHaveRun       bool               // an attempt was written, and its outcome does not exclude that it has run
	isProbe          bool               // it is a health check, which has no client
	probedBackend    decision.BackendID // set if isProbe
	clientDone       atomic.Bool        // the client has left, or the ClientConn has answered in place of the instance
	attemptFieldsAt  int                // offset in RenderedRequest at which an attempt adds header fields; 0: none are added
	reservedBytes    int                // reserved in Shared.ReservedBytes until the exchange is released
}

// apply performs the transition of an event and reports whether the event is accepted.
//
// For an event that is not accepted, the caller must send nothing to the client and cancel nothing. The end of an attempt
// is recorded in any state: abandonAttempt and failAttempt ignore the result of eventAttemptLost, and sendAttempt, which
// has already opened the attempt, ends it as not sent.
func (ex *Exchange) apply(event exchangeEvent) bool {
	transition := transitions[ex.state][event]
	ex.state = transition.next
	return transition.accepted
}

// State returns the state of the exchange. Only the instance's owner may call it.
func (ex *Exchange) State() State { return ex.state }
