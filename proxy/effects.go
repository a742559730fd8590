package proxy

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects.
const (
	// DialBackend: connect Conn to Addr, and report BackendConnected or BackendDisconnected.
	DialBackend EffectKind = iota
	// WriteAttempt: write Bytes, an attempt of Exchange, to Conn, and report ResponseReceived or BackendDisconnected.
	// Conn is connected and carries no other attempt.
	WriteAttempt
	// CloseBackend: close Conn, and report nothing more about it.
	CloseBackend
	// Respond: send Bytes to Exchange's client as its complete response. Uses CloseAfterResponse.
	Respond
	// StreamResponse: send Bytes, the first part of a response, to Exchange's client and forward the rest from Conn.
	// Uses CloseAfterResponse.
	StreamResponse
	// AbortClient: close the connection of Exchange's client, whose streamed response was cut off.
	AbortClient
	// DialCounter: connect to the counter at Addr, and report CounterConnected or CounterDisconnected.
	DialCounter
	// WriteCounter: write Bytes to the counter.
	WriteCounter
	// CloseCounter: close the connection to the counter, and report nothing more about it.
	CloseCounter
	// PollEndpoints: read the endpoint list, and report ReplaceEndpoints, UpdateEndpoints or EndpointPollFailed.
	PollEndpoints
)

// effectNames are the names of the kinds. They are JSON keys in the simulator's stable output; do not change them.
var effectNames = [...]string{
	DialBackend:    "dial",
	WriteAttempt:   "write",
	CloseBackend:   "hang",
	Respond:        "final",
	StreamResponse: "grant",
	AbortClient:    "cut",
	DialCounter:    "dial keeper",
	WriteCounter:   "send keeper",
	CloseCounter:   "hang keeper",
	PollEndpoints:  "read list",
}

// String returns the name under which the simulator reports the kind.
func (k EffectKind) String() string { return effectNames[k] }

// Effect is an operation that the runtime must execute. Effects are executed in order, and none may block the instance's
// owner.
//
// All kinds share one struct because a value of an interface type would need an allocation for each effect, and every
// request that is sent to a backend causes at least two effects. Each kind uses these fields; the others are zero:
//
//	DialBackend     Conn, Addr
//	WriteAttempt    Conn, Exchange, Bytes
//	CloseBackend    Conn
//	Respond         Exchange, Bytes, CloseAfterResponse
//	StreamResponse  Conn, Exchange, Bytes, CloseAfterResponse
//	AbortClient     Exchange
//	DialCounter     Addr
//	WriteCounter    Bytes
//	CloseCounter    none
//	PollEndpoints   none
type Effect struct {
	Kind     EffectKind
	Conn     *BackendConn
	Exchange *Exchange
	Bytes    []byte
	Addr     string // host:port
	// CloseAfterResponse means that the client's connection is closed after this response, because the response announces
	// it (Respond) or because the body is delimited by the end of the connection (StreamResponse).
	CloseAfterResponse bool
}

// Effects returns and removes the pending effects. The instance's owner calls it after each method with a parameter now, and
// executes the effects in order before it reports any of their results. The caller owns the slice.
func (inst *Instance) Effects() []Effect {
	if counter := &inst.counter; len(counter.outgoing) > 0 {
		inst.emit(Effect{Kind: WriteCounter, Bytes: counter.outgoing})
		counter.outgoing = nil
	}
	effects := inst.effects
	inst.effects = nil
	return effects
}

// emit appends an effect to those that the next call of Effects returns.
func (inst *Instance) emit(effect Effect) { inst.effects = append(inst.effects, effect) }
