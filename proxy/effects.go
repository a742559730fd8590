package proxy

// EffectKind says what an Effect asks of the runtime.
type EffectKind uint8

// The kinds of effects.
const (
	// DialBackend: connect Conn to Addr, and report BackendConnected or BackendDisconnected.
	DialBackend EffectKind = iota
	// WriteAttempt: write Bytes, an attempt of Exchange, on Conn, and report ResponseReceived or BackendDisconnected.
	// Conn is connected and carries no other attempt.
	WriteAttempt
	// CloseBackend: close Conn. Nothing more is reported of it.
	CloseBackend
	// Respond: hand Bytes to Exchange's client as its complete response. Uses CloseAfterResponse.
	Respond
	// StreamResponse: hand Bytes, the beginning of a response, to Exchange's client and pass on what follows on Conn.
	// Uses CloseAfterResponse.
	StreamResponse
	// AbortClient: close the connection of Exchange's client, whose streamed response broke off.
	AbortClient
	// DialCounter: connect to the counter at Addr, and report CounterConnected or CounterDisconnected.
	DialCounter
	// WriteCounter: write Bytes to the counter.
	WriteCounter
	// CloseCounter: close the connection to the counter. Nothing more is reported of it.
	CloseCounter
	// PollEndpoints: read the endpoint list, and report ReplaceEndpoints, UpdateEndpoints or EndpointPollFailed.
	PollEndpoints
)

// effectNames are the names of the kinds. Part of the stable output, as JSON keys of the simulator; do not change.
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

// Effect is something for the runtime to do. Effects are carried out in order and none may block the instance's owner.
//
// It is one struct for all kinds, rather than a type for each, because a value of an interface type would be allocated
// for each effect, twice a request. The comment of a kind names the fields that it uses; the others are zero:
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
	// CloseAfterResponse: the client's connection ends with this response, because the response says so (Respond) or
	// because only the connection's end can tell where its body ends (StreamResponse).
	CloseAfterResponse bool
}

// Effects returns what has to be done now and forgets it. The instance's owner calls it after each method that takes a
// time, and carries the effects out in order before it reports anything that follows from them. The slice is the caller's.
func (inst *Instance) Effects() []Effect {
	if counter := &inst.counter; len(counter.outgoing) > 0 {
		inst.emit(Effect{Kind: WriteCounter, Bytes: counter.outgoing})
		counter.outgoing = nil
	}
	effects := inst.effects
	inst.effects = nil
	return effects
}

// emit appends an effect to those that the runtime fetches next.
func (inst *Instance) emit(effect Effect) { inst.effects = append(inst.effects, effect) }
